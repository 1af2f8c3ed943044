// What ended dispatches tell of endpoints: speed, load, failures. An outlier, whose high quantile is far
// above its fellows', gets one call at a time; one that answers nothing while its fellows do, or fails, is
// passed over and tried again after pauses.
#include "policy/shared.hpp"

namespace chutevane {

constexpr double model_gain = 0.02;  // per answer: the mean of some 50
constexpr double held_full = 1.2;    // calls an endpoint, reported: with more there is no room to grow into
constexpr double full_held = 4.0;    // x limit_least: taken as held by one that turns calls away
constexpr Span tell_pause = Span::ms(500);    // between news of one endpoint: as old as reports are
constexpr double busy_edge = 0.02;            // a core that is never idle counts as 50 calls held
constexpr double busy_gain = 0.05;            // per answer that tells: the mean of some 20
constexpr Span told_memory = Span::ms(1000);  // so long a sidecar that hears little goes by what it heard
constexpr double used_jammed = 1.2;           // what a time-out or a full queue tells, for want of a report
constexpr double busy_most = 0.88;  // of the cores, reported: busier than that there is no room to grow into
constexpr double fresh_growth = 0.2;          // per answer: doubles in about 4 round trips
constexpr double fresh_done = 3.0;            // x mean in flight: then the cap is lifted
constexpr int misses_allowed = 3;             // in a row: chance errors are rare and alone
constexpr Span bar_first = Span::ms(500);     // about the time a passing fault takes to show it passed
constexpr Span bar_most = Span::ms(4000);     // a returned endpoint is found this soon
constexpr Span full_pause = Span::ms(50);     // a full queue drains a few calls in this time
constexpr double silence_factor = 1.5;        // x p95 without any answer with two or more out
constexpr double silence_alone = 2.5;         // x p95 with a single one out: it may just be a long call
constexpr double refused_gain = 0.1;          // per dispatch: the part of the last 10 or so
constexpr double refused_most = 0.3;          // of the dispatches: single endpoints that are down are fewer
constexpr Span idle_least = Span::ms(500);    // no network drops what was used just before
constexpr double idle_margin = 0.8;           // of the idle time that one was lost at
constexpr Span idle_doubt = Span::ms(20000);  // after a loss; new connections cost endpoints work

bool Balancer::State::healthy(const Endpoint& e, TimePoint now) {
  if (now < e.barred_until || (e.outlier && e.in_flight > 0)) return false;
  return all_silent || !silent(e, now);
}

bool Balancer::State::silent(const Endpoint& e, TimePoint now) {
  if (e.in_flight == 0 || !estimate.measured(now)) return false;
  const Span patience = estimate.high(now) * (e.in_flight > 1 ? silence_factor : silence_alone);
  return now - e.quiet_since > std::max(estimate.spec().floor, patience);
}

// Its connection has idled as long as one that was lost: a new one is needed.
bool Balancer::State::doubted(const Endpoint& e, TimePoint now) const {
  return now - idle_lost_at < idle_doubt && e.in_flight == 0 && e.last_used > TimePoint() &&
         now - e.last_used >= idle_safe;
}

bool Balancer::State::spare_connection(const Endpoint& e, TimePoint now) const {
  return e.connections > e.in_flight && !doubted(e, now);
}

void Balancer::State::miss(Endpoint& e, TimePoint now, const char* what, int weight) {
  e.misses += weight;
  if (e.misses < misses_allowed || now < e.barred_until) return;
  if (e.bar == Span()) answers.say_of(e.id, "passed over: ", what);
  e.bar = std::clamp(e.bar * 2.0, bar_first, bar_most);
  e.barred_until = now + e.bar;
  e.fresh_cap = fresh_start;
  if (e.unlisted) e.availability = Availability::gone;
}

// Dropped unseen while it idled, for all one can know: not the endpoint's fault, but doubted for a while.
// Silence is held against a connection only where many calls share it: else it may be the endpoint's.
bool Balancer::State::dropped(const Endpoint& e, const Dispatch& d, bool reset, TimePoint now) {
  if ((!shared_connections && !reset) || d.idle < idle_least || e.quiet_since > d.sent) return false;
  idle_safe =
      now - idle_lost_at < idle_doubt ? std::min(idle_safe, d.idle * idle_margin) : d.idle * idle_margin;
  idle_lost_at = now;
  return true;
}

void Balancer::State::tell_use(double part, TimePoint now) {
  used += (part - used) * (told ? std::clamp((now - told_at) / told_memory, busy_gain, 1.0) : 1.0);
  told_at = now;
}

void Balancer::State::learn(Endpoint& e, const Dispatch& d, const DispatchEnd& end, TimePoint now) {
  --e.in_flight;
  --in_flight;
  const double speed_ms = end.load.service_ms > 0.0 ? end.load.service_ms : end.elapsed.as_ms();
  if (end.outcome == Outcome::reset || end.outcome == Outcome::timed_out || end.outcome == Outcome::cancelled)
    e.connections = std::max(0, e.connections - 1);
  if (end.outcome == Outcome::not_connected) e.connections = e.in_flight;
  refused += ((end.outcome == Outcome::not_connected ? 1.0 : 0.0) - refused) * refused_gain;
  if ((warm_keys || own_parts) && refused > refused_most) scarce_until = now + idle_doubt;
  switch (end.outcome) {
    case Outcome::done:
      estimate.served(end.elapsed, now);
      e.times.add(end.elapsed, now);
      e.last_used = now, e.connections = std::max(e.connections, e.in_flight + 1);
      shares.smooth(e.latency_ms, speed_ms);
      std::replace(models.begin(), models.end(), 0.0, speed_ms);  // unheard ones are taken for like it
      models[e.model] += (speed_ms - models[e.model]) * model_gain;
      if (e.bar > Span()) answers.say_of(e.id, "answers again");
      e.misses = 0;
      e.bar = Span();
      e.quiet_since = now;
      if (end.load.busy >= 0.0 || end.load.held >= 0.0) {
        tell_use(end.load.busy >= 0.0 ? end.load.busy / busy_most : end.load.held / held_full, now);
        told = true;
        // How busy the cores are tells of calls held as one queue would have them.
        const double holds =
            end.load.held >= 0.0 ? end.load.held : end.load.busy / (1.0 + busy_edge - end.load.busy);
        mean_held += (holds - mean_held) * busy_gain;
        e.held = holds, e.held_at = now;
        if (can_tell && warm_keys && holds > held_high() && now - e.told_at > tell_pause) {
          answers.add(Verdict::tell, 0, static_cast<std::uint32_t>(holds * tell_scale), e.id);
          e.told_at = now;
        }
      }
      if (e.fresh_cap >= 0.0) {
        e.fresh_cap += fresh_growth;
        const double enough = fresh_done * (in_flight + 1.0) / std::max(1, spread);
        if (e.fresh_cap > std::max(2.0, enough) && warmth(e, now) >= 1.0) e.fresh_cap = -1.0;
      }
      break;
    case Outcome::turned_away:
      e.quiet_since = now;
      e.barred_until = std::max(e.barred_until, now + full_pause);
      if (told) e.held = full_held * limit_least, e.held_at = now, tell_use(used_jammed, now);
      break;
    case Outcome::timed_out:
      if (d.cut) estimate.cut(end.elapsed, now);
      // A wait shorter than most answers take tells of the caller, not of the endpoint.
      if (dropped(e, d, false, now) || (estimate.measured(now) && end.elapsed < estimate.high(now))) break;
      if (told) tell_use(used_jammed, now);  // a jam answers nothing, and reports come with answers
      miss(e, now, "dispatches time out");
      break;
    case Outcome::not_connected: miss(e, now, "no connection", misses_allowed); break;  // no chance error
    case Outcome::reset:
      // At once, before any work could be done: the connection was gone before the call came.
      if (!dropped(e, d, end.elapsed < estimate.spec().floor, now)) miss(e, now, "connections break");
      break;
    case Outcome::cancelled:
      if (d.rescued && !dropped(e, d, false, now)) miss(e, now, "silent");
      break;
    case Outcome::error:  // three running are the endpoint's own: failing fast, it would draw the most calls
      e.quiet_since = now;
      if (++e.misses >= misses_allowed && now >= e.barred_until)
        e.barred_until = now + (e.bar = std::clamp(e.bar * 2.0, bar_first, bar_most));
      break;
    case Outcome::not_sent: break;
  }
}

}  // namespace chutevane
