#include "lab/ledger.hpp"

#include <algorithm>

namespace chutevane::lab {
namespace {

constexpr Span aftermath = Span::ms(2000);  // of what happens at one moment: on-call would look at so much

std::size_t place(Span at) { return static_cast<std::size_t>(std::max(0.0, at / Ledger::slice)); }

Span end_of(const FaultSpec& f) { return f.at + (f.lasts > Span() ? f.lasts : aftermath); }

}  // namespace

std::string_view name_of(Ending ending) {
  static constexpr std::string_view names[endings] = {"done in time", "done late",  "rejected",
                                                      "broken off",   "unanswered", "left"};
  return names[static_cast<std::size_t>(ending)];
}

void Tally::add(const Tally& o) {
  asked += o.asked;
  tries += o.tries;
  dispatches += o.dispatches;
  for (std::size_t i = 0; i < endings; ++i) ended[i] += o.ended[i];
  payoff_asked += o.payoff_asked;
  payoff_got += o.payoff_got;
  latency.add(o.latency);
}

Ledger::Ledger(const Experiment& experiment, TimePoint begins)
    : experiment_(experiment),
      begins_(begins),
      tracks_(experiment.tracks.size()),
      slices_(place(experiment.lasts - Span::us(1)) + 1),
      came_(experiment.tiers.size(), std::vector<std::uint32_t>(slices_.size())) {}

Tally* Ledger::slice_of(TimePoint intended) {
  if (intended < begins_ || intended - begins_ >= experiment_.lasts) return nullptr;
  return &slices_[std::min(slices_.size() - 1, place(intended - begins_))];
}

void Ledger::ended(std::size_t track, TimePoint intended, TimePoint at, Ending how, int tries) {
  Tally* const in = slice_of(intended);
  if (in == nullptr) return;
  const TrackSpec& t = experiment_.tracks[track];
  for (Tally* tally : {in, &tracks_[track]}) {
    ++tally->asked;
    tally->tries += static_cast<std::uint64_t>(tries);
    ++tally->ended[static_cast<std::size_t>(how)];
    if (how == Ending::left) continue;  // nobody waited for it: worth nothing, and nothing lost
    tally->payoff_asked += t.payoff;
    if (how == Ending::in_time) tally->payoff_got += t.payoff;
    if (how == Ending::late) tally->payoff_got += t.payoff * t.late_payoff;
    if (how == Ending::in_time || how == Ending::late) tally->latency.add((at - intended).as_ms());
  }
}

void Ledger::dispatched(std::size_t track, TimePoint intended) {
  Tally* const in = slice_of(intended);
  if (in == nullptr) return;
  ++in->dispatches;
  ++tracks_[track].dispatches;
}

void Ledger::came_to(std::size_t tier, TimePoint at) {
  if (at < begins_ || at - begins_ >= experiment_.lasts) return;
  ++came_[tier][std::min(slices_.size() - 1, place(at - begins_))];
}

Tally Ledger::all() const {
  Tally out;
  for (const Tally& t : tracks_) out.add(t);
  return out;
}

Tally Ledger::during(const FaultSpec& fault) const {
  Tally out;
  const std::size_t end = std::min(slices_.size(), place(end_of(fault) - Span::us(1)) + 1);
  for (std::size_t i = place(fault.at); i < end; ++i) out.add(slices_[i]);
  return out;
}

Tally Ledger::outside_faults() const {
  Tally out;
  for (std::size_t i = 0; i < slices_.size(); ++i) {
    const bool hit = std::any_of(experiment_.faults.begin(), experiment_.faults.end(), [&](const auto& f) {
      return i >= place(f.at) && i <= place(end_of(f) - Span::us(1));
    });
    if (!hit) out.add(slices_[i]);
  }
  return out;
}

}  // namespace chutevane::lab
