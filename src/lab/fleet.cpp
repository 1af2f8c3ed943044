#include "lab/fleet.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "lab/sidecar_config.hpp"
#include "net/socket.hpp"
#include "snapshot/snapshot_format.hpp"

namespace chutevane::lab {
namespace {

constexpr Span look_every = Span::ms(10);      // at processes, at what is due, at the auditor
constexpr Span settle_every = Span::ms(50);    // the auditor's
constexpr Span lateness_every = Span::ms(5);   // between the lab's looks at its own lateness
constexpr Span start_most = Span::ms(10000);   // for all sidecars to be ready
constexpr Span crossing = Span::ms(300);       // new connections still come after SIGTERM
constexpr Span death_notice = Span::ms(2000);  // before the front notices that a sidecar has died
constexpr Span drain_slack = Span::ms(700);    // beyond the longest client timeout, before SIGKILL
constexpr std::uint16_t service_port = 8000, discovery_port = 8500, relay_port = 9000;
constexpr Span doubt_after =
    Span::ms(1500);  // a way or a process is whole again: until what was held back has come

double own_cpu_ms() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  const auto ms = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_usec) / 1e3;
  };
  return ms(used.ru_utime) + ms(used.ru_stime);
}

}  // namespace

bool Result::crashed() const {
  return std::any_of(sidecars.begin(), sidecars.end(), [](const auto& s) { return !s.crash.empty(); });
}

// --- Putting it together ---------------------------------------------------------------------------

Fleet::Fleet(const Experiment& experiment, std::uint64_t seed, const Places& places)
    : Fleet(experiment, seed, std::make_unique<Loopback>(places), nullptr) {}

Fleet::Fleet(const Experiment& experiment, std::uint64_t seed, Ground& ground)
    : Fleet(experiment, seed, nullptr, &ground) {}

Fleet::Fleet(const Experiment& experiment, std::uint64_t seed, std::unique_ptr<Ground> own, Ground* ground)
    : experiment_(experiment),
      seed_(seed),
      own_ground_(std::move(own)),
      ground_(ground != nullptr ? *ground : *own_ground_),
      scheduler_(ground_.own()),
      timeline_(experiment_, seed),
      auditor_(experiment_.rules, experiment_.tracks, experiment_.allowed.copies),
      shared_(experiment_, auditor_, seed),
      books_(experiment_.tiers.size()),
      ready_checks_(scheduler_, [this](std::size_t number) { sidecar_ready(number); }),
      front_(scheduler_),
      begins_(TimePoint::never()),
      ledger_(experiment_, begins_),
      callers_(scheduler_, shared_, ledger_, front_, seed),
      in_force_(experiment_.faults.size(), false),
      waker_(scheduler_),
      late_waker_(scheduler_),
      timer_(scheduler_, waker_, due),
      late_timer_(scheduler_, late_waker_, due),
      timekeeper_(keep_time()),
      late_task_(measure_lateness()) {
  shared_.on_dispatch = [this](std::size_t tier, CallKey call, TimePoint at) {
    ledger_.came_to(tier, at);
    if (tier == 0 || experiment_.pools) callers_.dispatched(call);
  };
  shared_.on_connection = [this](std::size_t tier, std::size_t place, TimePoint at) {
    surges_.connected(tier, place, at);
  };
  shared_.on_asked = [this](TimePoint at) { surges_.asked(at); };
  make_sidecars();
  make_ways();
  for (std::size_t t = 0; t < experiment_.tiers.size(); ++t) {
    for (std::size_t i = 0; i < static_cast<std::size_t>(experiment_.tiers[t].endpoints); ++i) {
      endpoints_.push_back(std::make_unique<EndpointPlace>());
      endpoints_.back()->tier = t;
      endpoints_.back()->place = i;
    }
  }
}

Fleet::~Fleet() {
  for (auto& s : sidecars_) s->process->kill();
}

void Fleet::make_sidecars() {
  for (std::size_t t = 0; t < experiment_.tiers.size(); ++t) {
    for (std::size_t i = 0; i < sidecars_of(experiment_, t); ++i) {
      auto s = std::make_unique<SidecarPlace>();
      s->number = sidecars_.size();
      s->tier = t;
      s->before = i;
      s->name = experiment_.tiers[t].name + "-" + std::to_string(i);
      s->listen = ground_.at(sidecar_group + static_cast<int>(t), i + 1, service_port);
      s->process = ground_.sidecar(s->name, s->listen);
      for (std::size_t of = t; of < (experiment_.pools ? experiment_.tiers.size() : t + 1); ++of) {
        SidecarPlace::Agent agent;
        agent.tier = of;
        agent.at = ground_.at(discovery_group + static_cast<int>(of), i + 1, discovery_port);
        agent.agent = std::make_unique<DiscoveryAgent>(ground_.beside(agent.at), books_[of], s->number,
                                                       experiment_.tiers[of].list_delay, shared_);
        agent.agent->open(agent.at);
        s->agents.push_back(std::move(agent));
      }
      sidecars_.push_back(std::move(s));
    }
  }
}

bool Fleet::relayed(WayTo link) const {
  return std::any_of(experiment_.faults.begin(), experiment_.faults.end(),
                     [&](const FaultSpec& f) { return breaks_ways(f.kind) && f.link == link; });
}

Fleet::Way& Fleet::add_way(const SidecarPlace& s, WayTo link, std::size_t far, const sockaddr_in& to) {
  Way w;
  w.sidecar = s.number;
  w.link = link;
  w.far = far;
  const bool many = link == WayTo::endpoints;
  w.at =
      ground_.at(way_group + static_cast<int>(link) * ways_of_a_kind + static_cast<int>(s.tier),
                 (many ? far : s.before) + 1, static_cast<std::uint16_t>(relay_port + (many ? s.before : 0)));
  w.relay = std::make_unique<Relay>(ground_.own(), w.at, to, seed_ * 1009U + ways_.size());
  w.relay->on_struck = [this](FaultKind kind) { shared_.struck(kind); };
  ways_.push_back(std::move(w));
  return ways_.back();
}

void Fleet::make_ways() {
  if (relayed(WayTo::discovery)) shared_.told_when_asked_on = true;
  for (auto& s : sidecars_) {
    if (relayed(WayTo::callers)) add_way(*s, WayTo::callers, 0, s->listen);
    if (relayed(WayTo::discovery)) add_way(*s, WayTo::discovery, 0, s->agents.front().at);
    if (!relayed(WayTo::endpoints)) continue;
    std::map<std::string, std::string> seen;
    for (std::size_t i = 0; i < static_cast<std::size_t>(experiment_.tiers[s->tier].endpoints); ++i) {
      const sockaddr_in to = ground_.at(endpoint_group + static_cast<int>(s->tier), i + 1, service_port);
      seen[net::text_of(to)] = net::text_of(add_way(*s, WayTo::endpoints, i, to).at);
    }
    s->agents.front().agent->shows([seen](const std::string& address) {
      const auto found = seen.find(address);
      return found == seen.end() ? address : found->second;
    });
  }
}

sockaddr_in Fleet::heard_at(const SidecarPlace& s) const {
  for (const Way& w : ways_) {
    if (w.sidecar == s.number && w.link == WayTo::callers) return w.at;
  }
  return s.listen;
}

std::string Fleet::config_of(SidecarPlace& s) {
  SidecarConfig c;
  c.name = s.name;
  c.listen = net::text_of(s.listen);
  c.discovery = net::text_of(s.agents.front().at);
  c.seed = seed_ * 1000003U + s.number * 101U + static_cast<unsigned>(s.starts);
  c.tier = s.tier;
  c.place = s.before;
  c.known = s.agents.front().agent->known();
  for (const Way& w : ways_) {
    if (w.sidecar == s.number && w.link == WayTo::discovery) c.discovery = net::text_of(w.at);
  }
  if (experiment_.restart.state) c.state = s.process->state_path();
  if (!experiment_.pools) return sidecar_config(experiment_, c);
  std::vector<std::string> discovery;
  for (const SidecarPlace::Agent& a : s.agents) discovery.push_back(net::text_of(a.at));
  return operator_file(experiment_, c, discovery);
}

void Fleet::start_sidecar(SidecarPlace& s) {
  ++s.starts;
  auditor_.sidecar_started(s.number);
  s.process->start(config_of(s), experiment_.pools);
  s.doing = Doing::starting;
  s.kill_at = TimePoint::never();
  ready_checks_.begin(s.number, s.listen);
}

void Fleet::kill_sidecar(SidecarPlace& s) {
  if (s.doing == Doing::down) return;
  const std::optional<Usage> used = s.process->usage();
  if (used)
    s.used.cpu_ms += used->cpu_ms, s.used.user_ms += used->user_ms, s.used.system_ms += used->system_ms;
  ready_checks_.stop(s.number);
  s.doing = Doing::down;
  s.process->kill();
  auditor_.sidecar_killed(s.number, scheduler_.now());
  front_.drop_at(s.number, scheduler_.now() + death_notice);
}

void Fleet::watch_processes() {
  const TimePoint now = scheduler_.now();
  for (auto& s : sidecars_) {
    const std::optional<Usage> used = s->doing == Doing::draining ? s->process->usage() : std::nullopt;
    const std::optional<std::string> end = s->process->ended();
    if (end) {
      const bool meant = s->doing == Doing::draining && *end == "exit status 0";
      if (!meant) {
        s->crash = s->name + " ended with " + *end + "\n" + s->process->last_log();
        auditor_.sidecar_killed(s->number, now);
        front_.drop_at(s->number, now + death_notice);
      }
      ready_checks_.stop(s->number);
      s->doing = Doing::down;
      if (meant && s->restarts) start_sidecar(*s);
    } else if (s->doing == Doing::draining && now >= s->kill_at) {
      kill_sidecar(*s);
      if (s->restarts) start_sidecar(*s);
    } else if (used) {
      s->used.most_resident_kb = std::max(s->used.most_resident_kb, used->most_resident_kb);
    }
  }
}

void Fleet::sidecar_ready(std::size_t number) {
  SidecarPlace& s = *sidecars_[number];
  if (s.doing != Doing::starting) return;
  s.doing = Doing::serving;
  if (begins_ != TimePoint::never() && scheduler_.now() > begins_) last_up_ = scheduler_.now();
  if (s.tier == 0) front_.take_in(number, heard_at(s));
  for (auto& e : endpoints_) {
    if (e->waits_for_sidecar && sidecar_of(*e) == &s) open_endpoint(*e);
  }
}

bool Fleet::all_ready() const {
  return std::all_of(sidecars_.begin(), sidecars_.end(),
                     [](const auto& s) { return s->doing == Doing::serving; });
}

// --- Endpoints -------------------------------------------------------------------------------------

Fleet::EndpointPlace& Fleet::endpoint(std::size_t tier, std::size_t place) {
  return **std::find_if(endpoints_.begin(), endpoints_.end(),
                        [&](const auto& e) { return e->tier == tier && e->place == place; });
}

bool Fleet::calls_on(const EndpointPlace& e) const {
  return !experiment_.pools && e.tier + 1 < experiment_.tiers.size();
}

Fleet::SidecarPlace* Fleet::sidecar_at(std::size_t tier, std::size_t place) {
  for (auto& s : sidecars_) {
    if (s->tier == tier && s->before == place) return s.get();
  }
  return nullptr;
}

Fleet::SidecarPlace* Fleet::sidecar_of(const EndpointPlace& e) {
  if (!calls_on(e)) return nullptr;
  return sidecar_at(e.tier + 1, e.place % sidecars_of(experiment_, e.tier + 1));
}

bool Fleet::has_own_sidecar(const EndpointPlace& e) const {
  return calls_on(e) && experiment_.tiers[e.tier + 1].sidecars == 0;
}

// A new life: an id of its own, at the old address. It is listed once its sidecar is ready.
void Fleet::bring_up(EndpointPlace& e, bool cold) {
  if (e.left) return;
  const TierSpec& tier = experiment_.tiers[e.tier];
  ++e.lives;
  EndpointStandIn::Spec spec;
  spec.key = ++last_key_;
  spec.id = tier.name + "-" + std::to_string(e.place) + "-" + std::to_string(e.lives);
  if (!e.id.empty()) spec.id = std::exchange(e.id, "");
  spec.tier = e.tier;
  spec.place = e.place;
  spec.zone = zone_of(tier, e.place);
  spec.cell = e.place % static_cast<std::size_t>(tier.cells);
  spec.address = ground_.at(endpoint_group + static_cast<int>(e.tier), e.place + 1, service_port);
  spec.came_up = cold ? scheduler_.now() : TimePoint();
  e.listed = {spec.id,   net::text_of(spec.address), tier.zones[spec.zone],
              spec.cell, Availability::ready,        spec.came_up,
              spec.key};
  e.now = std::make_unique<EndpointStandIn>(ground_.beside(spec.address), shared_, spec);
  SidecarPlace* const s = sidecar_of(e);
  if (s != nullptr && has_own_sidecar(e) && s->doing == Doing::down) start_sidecar(*s);
  e.waits_for_sidecar = s != nullptr && s->doing != Doing::serving;
  if (!e.waits_for_sidecar) open_endpoint(e);
}

void Fleet::open_endpoint(EndpointPlace& e) {
  e.waits_for_sidecar = false;
  if (SidecarPlace* s = sidecar_of(e)) e.now->calls_through(Destination{heard_at(*s), s->number});
  e.now->open();
  apply_ills();
  publish(e, Availability::ready);
}

void Fleet::take_down(EndpointPlace& e) {
  if (!e.now || e.now->dead()) return;
  e.now->die();
  graves_.push_back(std::move(e.now));
  e.waits_for_sidecar = false;
  if (has_own_sidecar(e)) kill_sidecar(*sidecar_of(e));
  publish(e, Availability::gone);
}

void Fleet::look_at_books() {
  for (auto& s : sidecars_) {
    for (auto& a : s->agents) a.agent->look();
  }
}

void Fleet::publish(EndpointPlace& e, Availability availability) {
  e.listed.availability = availability;
  // What is there from the start was told long ago.
  books_[e.tier].publish(e.listed, begins_ == TimePoint::never() ? TimePoint() : scheduler_.now());
  look_at_books();
}

void Fleet::restart_sidecar(std::size_t sidecar, Span down) {
  SidecarPlace& s = *sidecars_[sidecar];
  if (s.doing == Doing::down) return;
  kill_sidecar(s);
  later(down, [this, &s] {
    if (s.doing == Doing::down) start_sidecar(s);
  });
}

void Fleet::drain_sidecar(std::size_t sidecar) {
  SidecarPlace& s = *sidecars_[sidecar];
  Span longest;
  for (const TrackSpec& t : experiment_.tracks) longest = std::max(longest, t.client_timeout);
  s.doing = Doing::draining;
  s.restarts = true;
  s.kill_at = scheduler_.now() + longest + drain_slack;
  front_.drop_at(s.number, scheduler_.now() + crossing);
  s.process->signal(SIGTERM);
}

void Fleet::move_endpoint(std::size_t tier, std::size_t place, std::size_t to) {
  EndpointPlace &from = endpoint(tier, place), &other = endpoint(tier, to);
  if (place == to || !from.now || !other.now || from.waits_for_sidecar || has_own_sidecar(from)) return;
  take_down(other);
  publish(from, Availability::gone);
  graves_.push_back(std::move(from.now));
  from.left = true;
  other.id = from.listed.id;
  bring_up(other, true);
}

// --- The time line ---------------------------------------------------------------------------------

void Fleet::later(Span in, std::function<void()> what) {
  later_.push_back({scheduler_.now() + in, std::move(what)});
}

void Fleet::apply_ills() {
  for (auto& e : endpoints_) {
    if (e->now && !e->waits_for_sidecar) e->now->suffer(timeline_.ills(e->tier, e->place, in_force_));
  }
  for (auto& s : sidecars_) {
    for (auto& a : s->agents) a.agent->suffer(timeline_.list_ills(a.tier, in_force_));
  }
  for (Way& w : ways_) {
    const SidecarPlace& s = *sidecars_[w.sidecar];
    w.relay->suffer(timeline_.way_ills(s.tier, s.before, w.link, w.far, in_force_), w.link != WayTo::callers);
  }
  const double factor = timeline_.rate_factor(in_force_);
  if (factor != 1.0) shared_.struck(FaultKind::burst);
  callers_.rate_factor(factor);
}

// Drained, ended, back cold; then the next one.
void Fleet::release_next(std::size_t fault, std::size_t nth) {
  const FaultSpec& spec = experiment_.faults[fault];
  if (nth >= timeline_.targets(fault).size()) return;
  EndpointPlace& e = endpoint(timeline_.tier_of(fault), timeline_.targets(fault)[nth]);
  if (!e.now) return release_next(fault, nth + 1);
  shared_.struck(FaultKind::release);
  drain_out(e, spec.drain, spec.down, [this, fault, nth] { release_next(fault, nth + 1); });
}

void Fleet::drain_out(EndpointPlace& e, Span drain, Span down, std::function<void()> then) {
  e.now->drain();
  publish(e, Availability::draining);
  later(drain, [this, &e, down, then = std::move(then)] {
    take_down(e);
    later(down, [this, &e, then] {
      if (!e.now) bring_up(e, true);
      then();
    });
  });
}

bool Fleet::drain_endpoint(std::size_t tier, std::size_t place, Span drain, Span down) {
  EndpointPlace& e = endpoint(tier, place);
  if (!e.now || e.waits_for_sidecar || e.listed.availability != Availability::ready) return false;
  drain_out(e, drain, down, [] {});
  return true;
}

// Its callers are owed nothing in time until so much later.
void Fleet::doubt(const SidecarPlace& s, Span lasts) {
  const std::size_t number = s.number;
  auditor_.doubt(number, true);
  later(lasts + doubt_after, [this, number] { auditor_.doubt(number, false); });
}

void Fleet::stop_for(SidecarPlace& s, Span lasts) {
  doubt(s, lasts);
  auditor_.uncounted(scheduler_.now() + lasts + doubt_after);
  s.process->pause(lasts);
  if (s.tier == 0) front_.drop_at(s.number, scheduler_.now() + death_notice);
  later(lasts, [this, &s] {
    s.process->resume();
    if (s.tier == 0 && s.doing == Doing::serving) front_.take_in(s.number, heard_at(s));
  });
}

void Fleet::loop(std::size_t fault, SidecarPlace& s) {
  if (!in_force_[fault]) return;
  const FaultSpec& spec = experiment_.faults[fault];
  shared_.struck(spec.kind);
  if (s.doing != Doing::down) restart_sidecar(s.number, spec.down);
  later(spec.every, [this, fault, &s] { loop(fault, s); });
}

void Fleet::spoil_state(const FaultSpec& fault, SidecarPlace& s, Chance& chance) {
  std::vector<std::string> stored = s.process->stored();
  if (stored.empty()) return;
  switch (fault.kind) {
    case FaultKind::state_lost: stored.clear(); break;
    case FaultKind::state_torn: stored.front().resize(chance.below(stored.front().size())); break;
    case FaultKind::state_old:
      for (std::string& text : stored) {
        try {
          snapshot::Snapshot snapshot = snapshot::parse(text);
          if (snapshot.written_at.uptime < fault.age) snapshot.written_at.boot_id = "an earlier start";
          snapshot.written_at.uptime = std::max(Span(), snapshot.written_at.uptime - fault.age);
          snapshot.written_at.unix_time = snapshot.written_at.unix_time - fault.age;
          text = snapshot::serialize(snapshot);
        } catch (const snapshot::FormatError&) {  // torn by another fault: it has no age to change
        }
      }
      break;
    default: return;
  }
  shared_.struck(fault.kind);
  s.process->store(stored);
}

void Fleet::strike_sidecar(std::size_t fault, SidecarPlace& s) {
  const FaultSpec& spec = experiment_.faults[fault];
  switch (spec.kind) {
    case FaultKind::state_lost:
    case FaultKind::state_torn:
    case FaultKind::state_old: {
      Chance chance(seed_, "state " + std::to_string(fault) + "/" + std::to_string(s.number));
      return spoil_state(spec, s, chance);
    }
    case FaultKind::state_refused: return shared_.struck(spec.kind);
    case FaultKind::sidecar_loop: return loop(fault, s);
    case FaultKind::sidecar_stopped:
      if (s.doing != Doing::serving) return;
      shared_.struck(spec.kind);
      return stop_for(s, spec.lasts);
    case FaultKind::sidecar_killed:
      if (s.doing == Doing::serving) restart_sidecar(s.number, spec.down);
      return;
    case FaultKind::sidecar_drained:
      if (s.doing == Doing::serving) drain_sidecar(s.number);
      return;
    default: return;
  }
}

void Fleet::break_ways(std::size_t fault) {
  const FaultSpec& spec = experiment_.faults[fault];
  auditor_.uncounted(scheduler_.now() + spec.lasts + doubt_after);
  for (Way& w : ways_) {
    const SidecarPlace& s = *sidecars_[w.sidecar];
    if (!timeline_.hits_way(fault, s.tier, s.before, w.link, w.far)) continue;
    if (w.link == WayTo::callers) doubt(s, spec.lasts);
    if (spec.kind == FaultKind::cut) w.relay->cut();
    if (spec.kind == FaultKind::lost_end)
      w.relay->lose((w.link == WayTo::callers) == (spec.heading == Heading::from_sidecar));
  }
}

void Fleet::step(const Step& step) {
  const FaultSpec& spec = experiment_.faults[step.fault];
  in_force_[step.fault] = step.begins && spec.lasts > Span();
  const auto& targets = timeline_.targets(step.fault);
  const std::size_t tier = timeline_.tier_of(step.fault);
  if (step.begins && spec.kind == FaultKind::release) release_next(step.fault, 0);
  for (const std::size_t place : targets) {
    if (!step.begins) break;
    // What breaks ways or spoils states is told where it touches something.
    if (spec.lasts == Span() && spec.kind < FaultKind::sidecar_stopped) shared_.struck(spec.kind);
    if (spec.kind == FaultKind::zone_lost) shared_.struck(spec.kind);
    if (spec.kind == FaultKind::end) take_down(endpoint(tier, place));
    if (spec.kind == FaultKind::restart) {
      EndpointPlace& e = endpoint(tier, place);
      take_down(e);
      later(spec.down, [this, &e] {
        if (!e.now) bring_up(e, true);
      });
    }
    if (!hits_sidecars(spec.kind)) continue;
    strike_sidecar(step.fault, *sidecar_at(tier, place));
  }
  if (spec.kind == FaultKind::state_swapped && step.begins) {
    for (std::size_t i = 0; i + 1 < targets.size(); i += 2) {
      SidecarProcess &one = *sidecar_at(tier, targets[i])->process,
                     &other = *sidecar_at(tier, targets[i + 1])->process;
      const std::vector<std::string> first = one.stored(), second = other.stored();
      if (first.empty() || second.empty()) continue;
      one.store(second);
      other.store(first);
      shared_.struck(spec.kind);
    }
  }
  if (spec.kind == FaultKind::state_refused) {
    for (const std::size_t place : targets) sidecar_at(tier, place)->process->refuse_state(step.begins);
  }
  if (breaks_ways(spec.kind) && step.begins) break_ways(step.fault);
  apply_ills();
}

net::Task Fleet::keep_time() {
  TimePoint settle_at;
  while (true) {
    const TimePoint now = scheduler_.now();
    watch_processes();
    while (next_step_ < timeline_.steps().size() && begins_ + timeline_.steps()[next_step_].at <= now)
      step(timeline_.steps()[next_step_++]);
    for (std::size_t i = 0; i < later_.size();) {
      if (later_[i].at > now) {
        ++i;
        continue;
      }
      const std::function<void()> what = std::move(later_[i].what);
      later_.erase(later_.begin() + static_cast<long>(i));
      what();
    }
    std::erase_if(graves_, [](const auto& g) { return g->connections() == 0; });
    if (now >= settle_at) {
      auditor_.settle(now);
      settle_at = now + settle_every;
    }
    timer_.set(now + look_every);
    co_await waker_.wait(due);
  }
}

net::Task Fleet::measure_lateness() {
  while (true) {
    const TimePoint wanted = scheduler_.now() + lateness_every;
    late_timer_.set(wanted);
    co_await late_waker_.wait(due);
    const double late = (scheduler_.now() - wanted).as_ms();
    most_late_ms_ = std::max(most_late_ms_, late);
    lateness_.add(late);
  }
}

Result Fleet::run(const Progress& progress) {
  for (auto& e : endpoints_) {
    if (!calls_on(*e)) bring_up(*e, false);
  }
  // Tiers come up from the last to the first, so that each list that a sidecar starts with is whole.
  for (std::size_t t = experiment_.tiers.size(); t-- > 0;) {
    const auto of_tier = [&](const auto& one) { return one->tier == t; };
    for (auto& s : sidecars_) {
      if (of_tier(s)) look_at_books();
    }
    for (auto& s : sidecars_) {
      if (of_tier(s) && s->doing == Doing::down) start_sidecar(*s);
    }
    if (!std::exchange(timekeeper_started_, true)) timekeeper_.start();
    const TimePoint latest = scheduler_.now() + start_most;
    const auto up = [&] {
      return std::all_of(sidecars_.begin(), sidecars_.end(),
                         [&](const auto& s) { return !of_tier(s) || s->doing == Doing::serving; });
    };
    while (!up() && !stopped_) {
      ground_.turn();
      for (const auto& s : sidecars_) {
        if (!s->crash.empty()) throw std::runtime_error("a sidecar does not start: " + s->crash);
      }
      if (scheduler_.now() > latest) throw std::runtime_error("the sidecars were not ready within 10 s");
    }
    if (t == 0) break;
    for (auto& e : endpoints_) {
      if (e->tier + 1 == t && !e->now) bring_up(*e, false);
    }
  }
  const double cpu_before = own_cpu_ms();
  const TimePoint starts = scheduler_.now();
  begins_ = starts + experiment_.settle;
  ledger_.set_begin(begins_);
  surges_.set_begin(begins_);
  callers_.begin(starts);
  on_begin(begins_);
  const TimePoint ends = begins_ + experiment_.lasts;
  bool measuring = false;
  TimePoint next_progress = starts;
  while (scheduler_.now() < ends && !stopped_) {
    ground_.turn();
    const TimePoint now = scheduler_.now();
    if (!measuring && now >= begins_) {
      measuring = true;
      if (ground_.real_time()) late_task_.start();
      for (auto& s : sidecars_) s->at_begin = s->process->usage().value_or(Usage{});
    }
    if (progress && now >= next_progress) {
      progress(now - begins_, experiment_.lasts, ledger_);
      next_progress = now + Span::ms(200);
    }
  }
  callers_.stop();
  Span longest;
  for (const TrackSpec& t : experiment_.tracks) longest = std::max(longest, t.client_timeout);
  const TimePoint latest = scheduler_.now() + longest + experiment_.rules.slack * 2.0;
  while (callers_.open_wishes() > 0 && scheduler_.now() < latest && !stopped_) ground_.turn();

  on_end();

  Result out(ledger_);
  out.seed = seed_;
  out.stopped = stopped_;
  for (auto& s : sidecars_) {
    SidecarResult r;
    r.name = s->name;
    r.usage = s->used;
    r.crash = s->crash;
    if (const auto used = s->process->usage()) {
      const bool same = s->starts == 1;  // else what it used before the measured time went with its process
      r.usage.cpu_ms += used->cpu_ms - (same ? s->at_begin.cpu_ms : 0.0);
      r.usage.user_ms += used->user_ms - (same ? s->at_begin.user_ms : 0.0);
      r.usage.system_ms += used->system_ms - (same ? s->at_begin.system_ms : 0.0);
      r.usage.resident_kb = used->resident_kb;
      r.usage.most_resident_kb = std::max(s->used.most_resident_kb, used->most_resident_kb);
    }
    out.sidecars.push_back(r);
  }
  if (!stopped_) auditor_.finish(scheduler_.now());
  out.breaches = auditor_.breaches();
  out.breach_count = auditor_.breach_count();
  out.dispatches = auditor_.dispatches();
  out.effects = auditor_.effects();
  out.strikes = shared_.strikes;
  out.most_cold_part = auditor_.most_cold_part();
  out.lateness = {lateness_.quantile(0.5), lateness_.quantile(0.99), most_late_ms_};
  out.is_void = out.lateness.p99_ms > experiment_.lateness_bound.as_ms();
  out.lab_cpu_ms = own_cpu_ms() - cpu_before;
  out.caller_connections = callers_.connections_opened();
  out.surges = surges_;
  if (last_up_ > begins_) out.last_up = last_up_ - begins_;
  for (auto& s : sidecars_) s->process->kill();
  return out;
}

}  // namespace chutevane::lab
