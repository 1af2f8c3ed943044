#include "lab/recovery.hpp"

#include <algorithm>

namespace chutevane::lab {
namespace {

Tally sum(const Ledger& of, std::size_t from, std::size_t count) {
  Tally out;
  for (std::size_t i = from; i < std::min(of.slices().size(), from + count); ++i) out.add(of.slices()[i]);
  return out;
}

}  // namespace

void Surges::count(Counts& in, TimePoint at) {
  if (at < begins_) return;
  const auto slot = static_cast<std::size_t>((at - begins_) / grain);
  if (in.size() <= slot) in.resize(slot + 1);
  ++in[slot];
}

void Surges::connected(std::size_t tier, std::size_t place, TimePoint at) {
  count(at_[{tier, place}], at);
  count(all_, at);
}

std::uint32_t Surges::most_at_one(Span from, Span to) const {
  std::uint32_t out = 0;
  for (const auto& [where, counts] : at_) {
    for (auto i = static_cast<std::size_t>(from / grain);
         i < std::min(counts.size(), static_cast<std::size_t>(to / grain)); ++i)
      out = std::max(out, counts[i]);
  }
  return out;
}

std::uint32_t Surges::most_asked_in_1s(Span from, Span to) const {
  constexpr std::size_t second = 10;  // grains
  std::uint32_t out = 0;
  const std::size_t end = std::min(asked_.size(), static_cast<std::size_t>(to / grain));
  for (auto i = static_cast<std::size_t>(from / grain); i < end; ++i) {
    std::uint32_t sum = 0;
    for (std::size_t n = i; n < std::min(end, i + second); ++n) sum += asked_[n];
    out = std::max(out, sum);
  }
  return out;
}

Recovery recover(const Ledger& with, const Ledger& without, Span fault) {
  Recovery out;
  const auto slices = [](Span s) { return static_cast<std::size_t>(s / Ledger::slice); };
  const std::size_t first = slices(fault), whole = std::min(with.slices().size(), without.slices().size());
  const std::size_t step = slices(Recovery::second), stays = slices(Recovery::stays);
  const auto served = [&](std::size_t i) {
    const double there = sum(without, i, step).service();
    return there > 0.0 ? sum(with, i, step).service() / there : 1.0;
  };
  for (std::size_t i = first; i + step <= whole; ++i) out.worst = std::min(out.worst, served(i));
  out.payoff_lost = sum(without, first, whole - first).service() - sum(with, first, whole - first).service();
  for (std::size_t i = first; i + stays <= whole && !out.took; ++i) {
    bool well = true;
    for (std::size_t at = i; at + step <= i + stays && well; ++at)
      well = served(at) >= Recovery::served_least;
    const double there = sum(without, i, stays).latency.quantile(0.99);
    const double here = sum(with, i, stays).latency.quantile(0.99);
    if (well && here <= there * Recovery::p99_most + Recovery::p99_grain_ms)
      out.took = Ledger::slice * static_cast<double>(i - first);
  }
  return out;
}

}  // namespace chutevane::lab
