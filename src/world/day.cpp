#include "world/day.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <map>
#include <utility>

#include "base/log.hpp"
#include "lab/fleet.hpp"
#include "world/ground.hpp"

namespace chutevane::world {
namespace {

constexpr std::size_t breaches_kept = 5;
constexpr Span quiet = Span::ms(3000);            // after the last caller: dispatches end within it
constexpr Span back_after = Span::ms(200);        // a drained endpoint, from its end
constexpr Span aftermath = Span::ms(1000);        // of a fault that is over, or happens once
constexpr std::size_t descriptors_that_do = 256;  // by the platform; with fewer, callers may wait unheard
// A request or its answer may come late by a segment sent again, each way, and a connection before them.
constexpr double ways_of_a_call = 3.0;
constexpr Span doubt_after = Span::ms(1500);  // a trouble: until what was held back has come

class Day {
 public:
  Day(const Scenario& s, Trace& trace)
      : scenario_(s),
        trace_(trace),
        ground_(s.experiment.seed, s.chances, static_cast<std::size_t>(s.descriptors), trace),
        fleet_(with_slack(s), s.experiment.seed, ground_) {
    counted_.resize(ground_.sidecars().size());
    world().on_close = [this](const Process&, const sockaddr_in& at) { closed(at); };
    lab::Shared& shared = fleet_.shared();
    shared.told_when_asked_on = true;
    shared.on_taken = [this](std::uint64_t dispatch, const sockaddr_in& from) { taken(dispatch, from); };
    shared.on_call = [this](const char* what, lab::CallKey call) {
      trace_.line(world().now(), "call id=%llu %s", static_cast<unsigned long long>(call), what);
    };
    fleet_.on_begin = [this](TimePoint begins) { begin(begins); };
    fleet_.on_end = [this] { end(); };
    for (std::size_t i = 0; i < ground_.sidecars().size(); ++i) {
      ground_.sidecars()[i]->on_end_of_life = [this, i](const sidecar::Counters& c) {
        count_verdicts(i, c);
        counted_[i] = {};
        report_.coverage.add(c);
      };
      if (static_cast<std::size_t>(s.descriptors) < descriptors_that_do) fleet_.auditor().doubt(i, true);
    }
  }

  ~Day() {
    world().on_close = [](const Process&, const sockaddr_in&) {};
    send_log_to({});
  }
  Day(const Day&) = delete;
  Day& operator=(const Day&) = delete;

  DayReport play() {
    report_.seed = scenario_.experiment.seed;
    const TimePoint began = world().now();
    // Lines of the log belong to the trace; without one they go nowhere.
    send_log_to([this](std::string_view line) {
      trace_.line(world().now(), "log %.*s", static_cast<int>(line.size()), line.data());
    });
    try {
      const lab::Result result = fleet_.run({});
      for (const lab::Breach& b : result.breaches) {
        char text[80];
        std::snprintf(text, sizeof text, "rule %d: call %llu at %.3f s: ", b.rule,
                      static_cast<unsigned long long>(b.call), (b.at - began).as_ms() / 1000.0);
        tell(text + b.what);
      }
      report_.breach_count +=
          result.breach_count - std::min<std::uint64_t>(result.breach_count, result.breaches.size());
      for (const lab::SidecarResult& s : result.sidecars) {
        if (!s.crash.empty()) tell("rule 0: " + s.crash.substr(0, s.crash.find('\n')));
      }
      report_.dispatches = result.dispatches;
      const lab::Tally all = result.ledger.all();
      report_.calls = all.asked;
      report_.service = all.service();
      for (std::size_t k = 0; k < lab::fault_kinds; ++k) report_.coverage.strike(k, result.strikes[k]);
    } catch (const std::exception& e) {
      tell(std::string("rule 0: ") + e.what());
    }
    report_.simulated_s = (world().now() - began).as_ms() / 1000.0;
    report_.events = world().events();
    return report_;
  }

 private:
  static lab::Experiment with_slack(const Scenario& s) {
    lab::Experiment out = s.experiment;
    if (s.chances.resent > 0.0) out.rules.way_slack = s.chances.resent_after * ways_of_a_call;
    // Timers of a process that gets its turns late are late, several in a row for one call.
    if (s.chances.late_turn > 0.0) out.rules.slack = out.rules.slack + s.chances.late_most * 4.0;
    out.rules.slack = out.rules.slack + s.chances.delay_mean * 10.0;
    return out;
  }
  World& world() { return ground_.world(); }

  void tell(std::string what) {
    trace_.line(world().now(), "breach %s", what.c_str());
    ++report_.breach_count;
    if (report_.breaches.size() < breaches_kept) report_.breaches.push_back(std::move(what));
  }

  // --- What a sidecar has ended is over, however late its endpoint hears of it.
  using Place = std::pair<std::uint32_t, std::uint16_t>;
  static Place place(const sockaddr_in& a) { return {a.sin_addr.s_addr, a.sin_port}; }
  void closed(const sockaddr_in& at) {
    closed_[place(at)] = world().now();
    const auto found = out_.find(place(at));
    if (found == out_.end()) return;
    fleet_.auditor().over(found->second, world().now());
    out_.erase(found);
  }
  void taken(std::uint64_t dispatch, const sockaddr_in& from) {
    const auto over = closed_.find(place(from));
    if (over != closed_.end())
      fleet_.auditor().over(dispatch, over->second);
    else
      out_[place(from)] = dispatch;
  }

  // --- Coverage
  void count_verdicts() {
    for (std::size_t i = 0; i < ground_.sidecars().size(); ++i) {
      if (const sidecar::Counters* c = ground_.sidecars()[i]->counters()) count_verdicts(i, *c);
    }
  }
  void count_verdicts(std::size_t i, const sidecar::Counters& c) {
    std::array<std::uint64_t, Coverage::verdicts> since{};
    for (std::size_t v = 0; v < since.size(); ++v) since[v] = c.verdicts[v] - counted_[i][v];
    counted_[i] = c.verdicts;
    report_.coverage.add_verdicts(since, in_force_);
  }

  // --- Troubles
  void begin(TimePoint begins) {
    for (std::size_t t = 0; t < scenario_.troubles.size(); ++t)
      world().after(begins + scenario_.troubles[t].at - world().now(), [this, t] { strike(t); });
    for (const lab::FaultSpec& f : scenario_.experiment.faults) {
      const auto kind = static_cast<std::size_t>(f.kind);
      world().after(begins + f.at - world().now(), [this, kind, lasts = f.lasts] { felt(kind, lasts); });
    }
  }

  // In force until its end, and for as long as what it left is felt: what is answered then counts as under
  // it.
  void felt(std::size_t kind, Span lasts) {
    count_verdicts();
    ++in_force_[kind];
    world().after(lasts + aftermath, [this, kind] {
      count_verdicts();
      --in_force_[kind];
    });
  }

  std::size_t tier_of(const Trouble& t) const {
    return scenario_.experiment.pools ? 0 : scenario_.experiment.tier_at(t.tier);
  }

  template <class T>
  void draw(lab::Chance& chance, std::vector<T>& from, int wanted) {
    if (wanted == 0 || static_cast<std::size_t>(wanted) >= from.size()) return;
    for (std::size_t i = 0; i < static_cast<std::size_t>(wanted); ++i)
      std::swap(from[i], from[i + chance.below(from.size() - i)]);
    from.resize(static_cast<std::size_t>(wanted));
  }

  std::vector<std::size_t> sidecars(const Trouble& t, lab::Chance& chance) {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < fleet_.sidecar_count(); ++i) {
      if (fleet_.tier_of_sidecar(i) == tier_of(t)) out.push_back(i);
    }
    draw(chance, out, t.sidecars);
    return out;
  }

  std::vector<std::size_t> places(const Trouble& t, std::size_t tier, lab::Chance& chance) {
    const lab::TierSpec& spec = scenario_.experiment.tiers[tier];
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < static_cast<std::size_t>(spec.endpoints); ++i) {
      if (t.zone.empty() || spec.zones[lab::zone_of(spec, i)] == t.zone) out.push_back(i);
    }
    draw(chance, out, t.endpoints);
    return out;
  }

  Process* endpoint(std::size_t tier, std::size_t at) {
    return ground_.process(lab::endpoint_group + static_cast<int>(tier), at + 1);
  }

  // Who calls through a sidecar.
  std::vector<Process*> callers_of(std::size_t sidecar) {
    const std::size_t tier = fleet_.tier_of_sidecar(sidecar);
    if (tier == 0) return {&ground_.lab()};
    std::vector<Process*> out;
    const lab::Experiment& e = scenario_.experiment;
    for (std::size_t i = 0; i < static_cast<std::size_t>(e.tiers[tier - 1].endpoints); ++i) {
      Process* const p = endpoint(tier - 1, i);
      if (p != nullptr && i % lab::sidecars_of(e, tier) == fleet_.place_of_sidecar(sidecar)) out.push_back(p);
    }
    return out;
  }

  std::vector<Process*> at_other_end(const Trouble& t, std::size_t sidecar, lab::Chance& chance) {
    if (t.link == Link::callers) return callers_of(sidecar);
    std::vector<Process*> out;
    const std::size_t tier = fleet_.tier_of_sidecar(sidecar);
    const std::size_t last = scenario_.experiment.pools ? scenario_.experiment.tiers.size() : tier + 1;
    for (std::size_t of = tier; of < last; ++of) {
      if (t.link == Link::discovery) {
        out.push_back(ground_.process(lab::discovery_group + static_cast<int>(of),
                                      fleet_.place_of_sidecar(sidecar) + 1));
      } else {
        for (const std::size_t i : places(t, of, chance)) out.push_back(endpoint(of, i));
      }
    }
    std::erase(out, nullptr);
    return out;
  }

  // Its callers are owed nothing in time until so much later.
  void doubt(std::size_t sidecar, Span lasts) {
    fleet_.auditor().doubt(sidecar, true);
    world().after(lasts + doubt_after, [this, sidecar] { fleet_.auditor().doubt(sidecar, false); });
  }
  void doubt_below(std::size_t tier, std::size_t at, Span lasts) {
    for (std::size_t i = 0; i < fleet_.sidecar_count(); ++i) {
      if (fleet_.tier_of_sidecar(i) == tier + 1 && !scenario_.experiment.pools &&
          at % lab::sidecars_of(scenario_.experiment, tier + 1) == fleet_.place_of_sidecar(i))
        doubt(i, lasts);
    }
  }

  void strike(std::size_t number) {
    const Trouble& t = scenario_.troubles[number];
    const std::size_t kind = lab::fault_kinds + static_cast<std::size_t>(t.kind);
    trace_.line(world().now(), "trouble n=%zu kind=%s ms=%.0f", number, kind_name(kind).c_str(),
                t.lasts.as_ms());
    felt(kind, t.lasts);
    fleet_.auditor().uncounted(world().now() + t.lasts + doubt_after);
    lab::Chance chance(scenario_.experiment.seed, "trouble " + std::to_string(number));
    const std::size_t tier = tier_of(t);
    switch (t.kind) {
      case TroubleKind::endpoint_paused:
        for (const std::size_t at : places(t, tier, chance)) {
          if (Process* const p = endpoint(tier, at)) p->pause(t.lasts);
          doubt_below(tier, at, t.lasts);
          struck(kind);
        }
        return;
      case TroubleKind::endpoint_drained:
        for (const std::size_t at : places(t, tier, chance)) {
          if (fleet_.drain_endpoint(tier, at, t.lasts, back_after)) struck(kind);
        }
        return;
      case TroubleKind::callers_paused:
        ground_.lab().pause(t.lasts);
        for (std::size_t i = 0; i < fleet_.sidecar_count(); ++i) {
          if (fleet_.tier_of_sidecar(i) == 0) doubt(i, t.lasts);
        }
        return struck(kind);
      case TroubleKind::moved: {
        const auto of = static_cast<std::size_t>(scenario_.experiment.tiers[tier].endpoints);
        if (of < 2) return;
        const std::size_t from = chance.below(of), to = (from + 1 + chance.below(of - 1)) % of;
        fleet_.move_endpoint(tier, from, to);
        return struck(kind);
      }
      default: break;
    }
    for (const std::size_t i : sidecars(t, chance)) strike_sidecar(t, kind, i, chance);
  }

  void strike_sidecar(const Trouble& t, std::size_t kind, std::size_t i, lab::Chance& chance) {
    PlayedSidecar& s = *ground_.sidecars()[i];
    const std::size_t own = s.process().number();
    switch (t.kind) {
      case TroubleKind::partition:
        for (Process* p : at_other_end(t, i, chance)) block(t, own, p->number());
        if (t.link == Link::callers) doubt(i, t.lasts);
        break;
      case TroubleKind::slow_link:
        for (Process* p : at_other_end(t, i, chance)) {
          world().slow(own, p->number(), t.factor);
          world().after(t.lasts, [this, own, other = p->number()] { world().slow(own, other, 1.0); });
        }
        if (t.link == Link::callers) doubt(i, t.lasts);
        break;
      case TroubleKind::cut:
      case TroubleKind::lost_end:
        if (t.link == Link::callers) doubt(i, t.lasts);
        for (Process* p : at_other_end(t, i, chance)) {
          const bool here = t.direction == Direction::to_sidecar;
          world().cut(here ? own : p->number(), here ? p->number() : own, t.kind == TroubleKind::cut);
        }
        break;
      case TroubleKind::sidecar_paused:
        doubt(i, t.lasts);
        s.process().pause(t.lasts);
        break;
      case TroubleKind::discovery_paused: {
        const int group = lab::discovery_group + static_cast<int>(fleet_.tier_of_sidecar(i));
        if (Process* const p = ground_.process(group, fleet_.place_of_sidecar(i) + 1)) p->pause(t.lasts);
        break;
      }
      case TroubleKind::power_lost:
        if (!fleet_.serving(i)) return;
        doubt(i, t.lasts);
        s.process().dark(true);
        s.process().vanish();
        s.new_start_of_machine();
        fleet_.restart_sidecar(i, t.lasts);
        break;
      case TroubleKind::clock_stepped:
        s.step_clock(Span::ms(t.factor * (chance.one_in(0.5) ? 1000.0 : -1000.0)));
        break;
      case TroubleKind::reload:
      case TroubleKind::reload_wrong:
      case TroubleKind::reload_and_end:
        if (!fleet_.serving(i)) return;
        s.next_reading(t.kind == TroubleKind::reload_wrong ? "{ \"name\": 7" : s.configuration());
        s.signal(SIGHUP);
        if (t.kind == TroubleKind::reload_and_end) fleet_.drain_sidecar(i);
        break;
      default: return;
    }
    struck(kind);
  }

  void struck(std::size_t kind) { report_.coverage.strike(kind, 1); }

  void block(const Trouble& t, std::size_t sidecar, std::size_t other) {
    const bool to = t.direction != Direction::from_sidecar, from = t.direction != Direction::to_sidecar;
    if (to) world().block(other, sidecar);
    if (from) world().block(sidecar, other);
    world().after(t.lasts, [this, to, from, sidecar, other] {
      if (to) world().unblock(other, sidecar);
      if (from) world().unblock(sidecar, other);
    });
  }

  // All is quiet: no sidecar may still hold a call that nobody waits for.
  void end() {
    const TimePoint until = world().now() + quiet;
    while (world().now() < until) ground_.turn();
    count_verdicts();
    for (PlayedSidecar* s : ground_.sidecars()) {
      const sidecar::Counters* const c = s->counters();
      if (c == nullptr || s->process().paused()) continue;
      const std::uint64_t over = c->completed + c->rejected + c->aborted + c->client_disconnects;
      if (c->calls != over)
        tell("rule 0: " + s->process().name() + " took " + std::to_string(c->calls) + " calls, " +
             std::to_string(over) + " of them are over");
    }
  }

  const Scenario& scenario_;
  Trace& trace_;
  DayReport report_;
  std::vector<std::array<std::uint64_t, Coverage::verdicts>> counted_;
  std::vector<int> in_force_ = std::vector<int>(Coverage::kinds, 0);
  std::map<Place, std::uint64_t> out_;
  std::map<Place, TimePoint> closed_;
  PlayedGround ground_;
  lab::Fleet fleet_;
};

}  // namespace

std::string DayReport::kind() const {
  return breaches.empty() ? "" : breaches.front().substr(0, breaches.front().find(':'));
}

DayReport play(const Scenario& scenario, Trace& trace) {
  Day day(scenario, trace);
  return day.play();
}

}  // namespace chutevane::world
