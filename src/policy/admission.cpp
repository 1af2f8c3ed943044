// Admission at the first tier: a limit on calls in flight that follows lateness, reports and payoff.
#include "policy/shared.hpp"

namespace chutevane {

constexpr double late_at = 0.6;        // of the soft limit: answers beyond it warn of lateness
constexpr double late_share = 0.2;     // of answers in a step: more lowers the limit
constexpr double late_gain = 0.04;     // per answer: the share of about the last 25
constexpr double limit_cut = 0.9;      // factor per step: halves in under 2 s
constexpr double limit_growth = 0.02;  // per step when it binds: a tenth a second, as crowding shows late
constexpr double room_gain = 0.05;     // per step: the room reported over some 5 s
constexpr double room_kept = 0.5;      // of it, whatever lateness says: all sidecars then cut alike
constexpr double used_calm = 0.8;      // of what may be in use: under that the cores do not make answers late
constexpr double used_ahead = 1.5;     // x limit: so far may calls run ahead of reports that tell of room
constexpr double payoff_slope = 0.2;   // of the limit, per doubling of payoff over the mean
constexpr double level_low = 0.2, level_high = 1.3;  // bounds of a call's part of the limit
constexpr double mean_spread = 2.0;    // standard deviations of a Poisson count: what is still chance
constexpr double mean_pull = 4.0;      // a mean off by a quarter of the limit moves the bound by the whole
constexpr double same_left = 0.01;     // of the client timeout: transit varies by less
constexpr double usual_decay = 0.995;  // per call: the usual wait is learnt over some 200 calls
constexpr double usual_sure = 10.0;    // calls with the usual wait before others count as repeats

// The floor of the admission limit. A call that waits on deeper tiers keeps no core busy.
double Balancer::State::least_limit() const {
  return limit_least / own_part / sidecars * std::max(1.0, ready_warm);
}

// How long ago the client first tried, by its stated wait: repeats past their soft limit pay nothing.
Span Balancer::State::age_of(const ApiCall& call) {
  const Span whole = tracks[call.track].client_timeout;
  UsualWait& w = waits[call.track];
  const auto same = [&](const auto& g) { return std::abs((g.left - call.left) / whole) <= same_left; };
  const std::size_t at = remember(w.guesses, usual_decay, {call.left, 0.0}, same);
  w.guesses[at].weight += 1.0;
  if (w.guesses[at].weight > 2.0 * w.guesses[w.usual].weight) w.usual = at;
  if (((at == w.usual || marks_repeats) && !call.repeated) || w.guesses[w.usual].weight < usual_sure)
    return Span();
  return std::max(Span(), whole - call.left);
}

// Deeper tiers turn nothing away early: work is already in the call, and its caller was admitted.
bool Balancer::State::admitted(const Call& c) {
  if (!first_tier) return true;
  // Repeats only: with a median over a track's soft limit its first tries would all be turned away for good.
  const Span whole = tracks[c.track].soft_limit, useful = c.soft_end - c.arrived;
  if (tracks[c.track].late_payoff <= 0.0 && useful < std::min(whole, estimate.quantile(0.5, c.arrived)))
    return false;
  const double above = std::log2(std::max(1e-6, c.payoff / std::max(1e-6, payoff_mean)));
  const double level = std::clamp(1.0 + payoff_slope * above, level_low, level_high);
  // It holds the mean of the calls in flight: as a bound on the moment it turned away half idle tiers.
  const double ahead = told && used < 1.0 ? used_ahead : 1.0;  // reports lag by a second or two
  const double room = std::max(limit, least_limit()) * level * ahead;
  if (will_tell && !told) return true;
  const double chance_off = mean_spread * std::sqrt(room);
  if (calls_out - 1 < room + std::clamp((room - mean_out) * mean_pull, -chance_off, chance_off)) return true;
  limited = true;
  return false;
}

void Balancer::State::count_answer(const Call& c, bool done, TimePoint now) {
  // A call whose caller waits too little for a late answer is none, however it ends.
  if (!first_tier || c.timeout - c.arrived < tracks[c.track].soft_limit * late_at) return;
  ++step_ends;
  const bool late = !done || (now - c.arrived) / tracks[c.track].soft_limit > late_at;
  late_part += ((late ? 1.0 : 0.0) - late_part) * late_gain;
  // Guards endpoints that choke against a limit from before: it falls to the floor, and is learnt anew.
  if (on_trial > 0 && (--on_trial, late) && ++trial_late > late_share * trial_answers) limit = on_trial = 0;
}

void Balancer::State::step_limit(TimePoint now) {
  step_at = now + limit_every;
  // While endpoints report room the calls in flight may grow by it: the floor counts all sidecars alike.
  if (told && used < 1.0) room_told += (mean_out / std::max(0.25, used) - room_told) * room_gain;
  const double least = std::max(least_limit(), room_told * room_kept);
  limit = std::max({limit, least, told && used < 1.0 ? mean_out / std::max(0.25, used) : 0.0});
  // Answers late while the endpoints report room are not late by crowding: fewer calls would not mend it.
  if (step_ends > 0 && late_part > late_share && (!told || used > used_calm)) {
    limit = std::max(least, std::min<double>(limit, step_peak) * limit_cut);
  } else if (limited && step_ends > 0 && used < 1.0) {  // no answer, no evidence of room
    limit += limit * limit_growth;
  }
  widen(now);
  step_ends = 0;
  step_peak = calls_out;
  limited = false;
}

Answer Balancer::State::give_up(std::uint32_t at, TimePoint now, bool crowded) {
  Call& c = calls[at];
  const Track& t = tracks[c.track];
  const bool may_reject = c.bound_to < 0 || (t.effect == Effect::referenced && t.group == Group::all);
  Answer a{.verdict = Verdict::break_off, .call = c.id};
  if (t.effect == Effect::replayable || (may_reject && c.out == 0)) a.verdict = Verdict::reject;
  if (a.verdict == Verdict::reject && can_come_back)
    a.span = crowded ? most_come_back : most_come_back * 0.25;
  finish(at, now);
  return a;
}

}  // namespace chutevane
