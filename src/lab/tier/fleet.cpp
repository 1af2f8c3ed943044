#include "lab/tier/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "lab/statistics.hpp"

namespace chutevane::lab::tier {
namespace {

namespace fs = std::filesystem;

constexpr std::uint16_t list_port = 8090;
constexpr int platform = 50;  // group of addresses
constexpr const char* zones[] = {"north", "middle", "south"};
constexpr std::size_t controllers = 3, storage_nodes = 4, edges = 3;
constexpr double list_rate = 40;  // pages a second
constexpr std::uint16_t endpoint_port = 8100;
constexpr int endpoint_group = 40;                     // of addresses
constexpr Span drain = Span::ms(1500);                 // of an endpoint that leaves
constexpr Span down = Span::ms(400);                   // before a process that ended is started again
constexpr Span in_force_most = Span::ms(2000 + 1000);  // configApplyMs and settleMs
constexpr Span up_most = Span::ms(20000), end_most = Span::ms(20000), read_back_most = Span::ms(8000);
constexpr Span recovery = Span::ms(12000);  // recoveryS
constexpr Span read_every = Span::ms(70);   // the operators' reads amid a story
constexpr double tail_s = 4;                // of the seconds: what follows the load
constexpr Span figures_most = Span::ms(5000), figures_again = Span::ms(50),
               figures_answer_most = Span::ms(500);
constexpr Span history = Span::ms(4000);  // historyS: short, so that puts are dropped amid a run
constexpr Span coordination_end_most =
    Span::ms(12000);                           // for all calls at the end, holds before them included
constexpr double coordination_sets_most = 10;  // more calls than theirs come from the same callers
constexpr std::size_t heirs_most = 100;
constexpr std::size_t lingering_count = 12;  // of conversations at once, amid a story
constexpr double trouble_part = 0.01;  // of what endpoints run: it must not be run again, nor look whole

std::size_t lines_with(const std::string& file, const std::string& word) {
  std::ifstream in(file);
  std::size_t out = 0;
  for (std::string line; std::getline(in, line);) out += line.find(word) != std::string::npos ? 1 : 0;
  return out;
}

Machines::Spec machines_spec(const FleetSpec& spec, const sockaddr_in& list) {
  Machines::Spec out;
  out.programs = spec.programs;
  out.folder = spec.folder;
  out.list = list;
  out.list_rate = list_rate;
  out.drain = drain;
  out.history = history;
  out.relayed = spec.story.has_value();
  return out;
}

CoordinationLoad::Spec coordination_spec(const FleetSpec& spec) {
  CoordinationLoad::Spec out;
  out.seed = spec.seed;
  const double sets = std::ceil(spec.coordination_calls_per_s / coordination_calls_per_set);
  out.sets = static_cast<std::size_t>(std::min(sets, coordination_sets_most));
  out.pace = std::max(sets / coordination_sets_most, 1.0);
  out.history = history;
  return out;
}

}  // namespace

// What fails a run: every count of the auditors.
bool FleetResult::broken() const {
  const auto is_found = [](std::uint64_t n) { return n > 0; };
  return !started || std::any_of(counts.begin(), counts.end(), is_found) ||
         std::any_of(coordination_counts.begin(), coordination_counts.end(), is_found);
}

Fleet::Fleet(const FleetSpec& spec)
    : spec_(spec),
      chance_(spec.seed, "faults"),
      timers_(scheduler_),
      list_(scheduler_, timers_, list_rate, drain),
      machines_(timers_, addresses_, auditor_, machines_spec(spec, addresses_.at(platform, 1, list_port))),
      relays_(scheduler_, spec.seed,
              [this](const sockaddr_in& end, const sockaddr_in& own_end) {
                return machines_.node_of_connection(end, own_end);
              }),
      endpoints_(
          scheduler_, timers_,
          [this](std::size_t number) { return addresses_.at(endpoint_group, number, endpoint_port); },
          auditor_, list_, spec.seed, spec.story ? spec.story->misbehavior.endpoint_spoils : trouble_part),
      lines_(scheduler_, timers_),
      front_(lines_, timers_) {
  std::signal(SIGPIPE, SIG_IGN);
  ::setenv("CHUTEVANE_INVARIANTS", "fatal", 0);  // for the processes that are started from here
  list_.listen(addresses_.at(platform, 1, list_port));
  for (const char* id : {"i-w1", "i-w2", "i-w3", "i-w4"}) endpoints_.add(id, true);
  for (const char* id : {"i-t1", "i-t2"}) endpoints_.add(id, false);
  for (std::size_t i = 0; i < controllers; ++i) machines_.add(MachinePlane::control, i + 1, zones[i]);
  for (std::size_t i = 0; i < storage_nodes; ++i) machines_.add(MachinePlane::storage, i + 1, zones[i % 3]);
  for (std::size_t i = 0; i < edges; ++i) machines_.add(MachinePlane::edge, i + 1, zones[i]);
  std::vector<sockaddr_in> operators_see;
  for (const Machine* m : machines_.of(MachinePlane::control))
    operators_see.push_back(Machines::control_of(*m));
  for (const Machine* m : machines_.of(MachinePlane::edge))
    front_.add(m->node, Machines::front_of(*m), Machines::readiness_of(*m));
  if (spec_.story) {
    for (const auto& m : machines_.all()) {
      if (m->plane != MachinePlane::edge)
        relays_.add(m->node, Machines::announced_to_peers(*m), Machines::bound_for_peers(*m));
    }
  }
  operator_ =
      std::make_unique<OperatorStandIn>(scheduler_, timers_, lines_, auditor_, operators_see, spec_.seed);
  fault_player_ =
      std::make_unique<FaultPlayer>(scheduler_, timers_, machines_, relays_, endpoints_, *operator_);
  Load::Spec load;
  load.seed = spec_.seed;
  load.programs_per_s = spec_.programs_per_s;
  if (spec_.story) {
    load.misbehavior = spec_.story->misbehavior;
    load.judge_given_up = false;  // clients wait on machines that stand still, and some leave
  }
  coordination_ =
      std::make_unique<CoordinationLoad>(lines_, timers_, operators_see, coordination_spec(spec_));
  load_ = std::make_unique<Load>(scheduler_, timers_, lines_, front_, auditor_, load);
  lingering_ = std::make_unique<LingeringConversations>(timers_, *load_, spec_.story ? lingering_count : 0,
                                                        spec_.seed);
}

Fleet::~Fleet() = default;

Fleet::Machine& Fleet::drawn(MachinePlane plane, std::size_t& which) {
  which = chance_.below(machines_.of(plane).size());
  return machines_.at(plane, which);
}

// ---- stated faults

FaultRecord& Fleet::fault(const std::string& name) {
  FaultRecord record;
  record.name = name;
  record.at = timers_.now();
  faults_.push_back(record);
  return faults_.back();
}

// The machine's disk is gone with it: it comes back empty, under its address.
void Fleet::lose_storage_node() {
  std::size_t which = 0;
  Machine& m = drawn(MachinePlane::storage, which);
  const std::size_t record = faults_.size();
  fault(m.node + " killed, its folder gone");
  machines_.kill(m);
  machines_.lose_disk(m);
  ++orders_open_;
  timers_.after(down, [this, &m, record] {
    std::ofstream emptied(m.log, std::ios::trunc);
    machines_.start(m, Machines::Start::again);
    look_whole(record, m.log, faults_[record].at);
  });
}

void Fleet::look_whole(std::size_t record, const std::string& log, TimePoint since) {
  if (lines_with(log, "storage.whole") > 0) {
    faults_[record].note =
        "whole again after " + std::to_string(static_cast<long>((timers_.now() - since).as_ms())) + " ms";
    --orders_open_;
    return;
  }
  faults_[record].note = "not whole again";
  timers_.after(Span::ms(20), [=, this] { look_whole(record, log, since); });
}

// A change is under way at the controller that dies.
void Fleet::kill_controller() {
  std::size_t which = 0;
  Machine& m = drawn(MachinePlane::control, which);
  change(9, which);
  const Span into = Span::ms(12 * chance_.unit());
  timers_.after(into, [this, &m] {
    fault(m.node + " killed, a change in flight there");
    machines_.kill(m);
    timers_.after(down, [this, &m] { machines_.start(m, Machines::Start::again); });
  });
}

void Fleet::end_edge() {
  std::size_t which = 0;
  Machine& m = drawn(MachinePlane::edge, which);
  const std::size_t record = faults_.size();
  fault(m.node + " told to end");
  ++orders_open_;
  machines_.terminate(m, [this, &m, record](Span took) {
    faults_[record].note = "ended after " + std::to_string(static_cast<long>(took.as_ms())) + " ms";
    timers_.after(down, [this, &m] {
      machines_.start(m, Machines::Start::again);
      --orders_open_;
    });
  });
}

// ---- configurations

void Fleet::change(std::int64_t version, std::size_t first_to) {
  if (operator_->busy()) {
    timers_.after(Span::ms(50), [=, this] { change(version, first_to); });
    return;
  }
  const std::int64_t before = operator_->acknowledged();
  ++probes_open_;
  operator_->change(version, first_to, [=, this](Span took) {
    change_ms_.push_back(took.as_ms());
    const auto left = std::make_shared<std::size_t>(front_.size());
    for (std::size_t i = 0; i < front_.size(); ++i) probe(version, before, i, timers_.now(), left);
  });
}

// Asks a sidecar by the route that came, then by the one that went, until it has the change in force.
void Fleet::probe(std::int64_t version, std::int64_t before, std::size_t edge, TimePoint since,
                  const std::shared_ptr<std::size_t>& left) {
  const auto over = [this, left, since] {
    if (--*left > 0) return;
    --probes_open_;
    force_ms_.push_back((timers_.now() - since).as_ms());
  };
  const auto ask = [this, edge](std::int64_t of, const std::function<void(int)>& done) {
    const std::uint64_t high = chance_();
    const std::string id = "probe" + std::to_string(high) + std::to_string(chance_());
    auditor_.asked({id, RequestKind::idempotent, "", "", "", 0, std::nullopt});
    BufferedRequest::run(
        lines_, timers_, front_.address(edge),
        request_text("GET", mark_of(of) + "x", host,
                     {{"X-Chutevane-Attempt-Id", id}, {"X-Chutevane-Time-Remaining", "900"}}, ""),
        Span::ms(1000), [done](const BufferedRequest::Result& got) { done(got.whole ? got.status : 0); });
  };
  const Machine* const machine = &machines_.at(MachinePlane::edge, edge);
  if (machine->down_by_order) return over();  // one that is leaving need not take it
  const auto again = [=, this](const std::string& what) {
    if (timers_.now() - since > in_force_most) {
      if (!machine->down_by_order)
        auditor_.report_violation(Rule::configuration, "version " + std::to_string(version) +
                                                           " not in force at " + machine->node + " after " +
                                                           std::to_string((timers_.now() - since).as_ms()) +
                                                           " ms: " + what);
      return over();
    }
    timers_.after(Span::ms(20), [=, this] { probe(version, before, edge, since, left); });
  };
  ask(version, [=](int status) {
    if (status != 200) return again("its new route answers " + std::to_string(status));
    if (before == 0) return over();
    ask(before, [=](int old) {
      if (old == 404) return over();
      again("a route that was removed answers " + std::to_string(old));
    });
  });
}

// ---- the whole

bool Fleet::wait(Span most, const std::function<bool()>& what) {
  const TimePoint until = timers_.now() + most;
  // Guards against a turn that has nothing to do: the lab looks at its conditions now and then.
  while (!what() && timers_.now() < until && !told_to_stop_) scheduler_.turn();
  return what();
}

void Fleet::plan(TimePoint begin, Span lasts) {
  const auto at = [&](double part, std::function<void()> what) {
    timers_.at(begin + lasts * part, std::move(what));
  };
  at(0.05, [this] { change(4, 1); });
  at(0.12, [this] {
    fault("endpoint i-w1 drains, i-w5 comes");
    endpoints_.drain(*endpoints_.find("i-w1"));
  });
  at(0.20, [this] {
    fault("endpoint i-t2 is i-t3, at its address");
    endpoints_.replace(*endpoints_.find("i-t2"));
  });
  // Of planes whose losses do not add up: storage nodes, controllers, edges.
  at(0.30, [this] { lose_storage_node(); });
  at(0.55, [this] { kill_controller(); });
  at(0.75, [this] { end_edge(); });
  at(0.90, [this] { change(11, 2); });
}

bool Fleet::start_all() {
  for (const auto& m : machines_.all()) machines_.start(*m, Machines::Start::first);
  timers_.after(Span::ms(50), [this] { machines_.watch(); });
  front_.begin(Span::ms(50));
  operator_->change(1, 0, [this](Span) {});
  wait(up_most, [this] {
    return (front_.in() == front_.size() && operator_->acknowledged() == 1) ||
           auditor_.count(Rule::crashed) > 0;
  });
  return front_.in() == front_.size() && operator_->acknowledged() == 1 && auditor_.count(Rule::crashed) == 0;
}

// The story to its end, and until all that it took away is back.
void Fleet::play_story(TimePoint begin) {
  auditor_.excuse_service();
  operator_->keep_reading(read_every, [this] { return fault_player_->calm_since(); });
  fault_player_->play(*spec_.story, begin);
  wait(std::max(Span::ms(spec_.seconds * 1000), spec_.story->ends()), [] { return false; });
  if (!wait(end_most, [this] { return fault_player_->over(); }) && !told_to_stop_)
    auditor_.report_violation(
        Rule::configuration,
        "troubles have no end: an order that is never clear, or a process that does not end");
  operator_->lose_answers(0);
  restart_edges();
  // From here on service is to be whole again, within its time to recover.
  const bool ready = wait(recovery, [this] { return front_.in() == front_.size(); });
  auditor_.expect_service();
  if (!ready && !told_to_stop_)
    auditor_.report_violation(Rule::unserved, "an edge is not ready after the time to recover");
}

// What they remember is gone: what is asked for from here on has to be in storage.
void Fleet::restart_edges() {
  for (Machine* const m : machines_.of(MachinePlane::edge)) {
    machines_.kill(*m);
    machines_.start(*m, Machines::Start::again);
  }
  front_.forget();
}

void Fleet::play_load(FleetResult& result) {
  front_.every(Span::ms(1000));
  const TimePoint start = timers_.now();
  delays_ = std::make_unique<OwnDelays>(timers_, (fs::path(spec_.folder) / "sync.own").string());
  load_->begin();
  lingering_->begin();
  coordination_->begin();
  if (spec_.story) {
    play_story(start);
  } else {
    const Span lasts = Span::ms(std::max(spec_.seconds - tail_s, 1.0) * 1000);
    if (spec_.has_faults) plan(start, lasts);
    wait(lasts, [] { return false; });
  }
  load_->stop();
  lingering_->stop();
  load_->go_on_from_old(heirs_most);
  if (spec_.story) change(operator_->acknowledged() + 1, 0);
  const bool all_over = wait(end_most, [this] {
    return load_->open() == 0 && probes_open_ == 0 && orders_open_ == 0 && !operator_->busy();
  });
  if (!all_over && !told_to_stop_) {
    if (load_->open() > 0)
      auditor_.report_violation(Rule::unserved, std::to_string(load_->open()) + " programs have no end");
    if (orders_open_ > 0)
      auditor_.report_violation(Rule::unserved, "a process did not come back to its work");
    if (operator_->busy() || probes_open_ > 0)
      auditor_.report_violation(Rule::configuration, "a change has no end");
  }
  operator_->stop_reading();
  bool read = false;
  operator_->read_back(read_back_most, [&read] { read = true; });
  wait(read_back_most + Span::ms(3000), [&read] { return read; });
  end_coordination();
  judge_invariants();
  delays_->stop();
  result.lateness_ms = delays_->lateness_ms();
  result.sync_ms = delays_->sync_ms();
  judge_faults(result, start, timers_.now());
}

// All processes are back: what was acknowledged is there, and answers come in time.
void Fleet::end_coordination() {
  coordination_->stop();
  wait(coordination_end_most, [this] { return coordination_->is_idle(); });
  if (told_to_stop_) return;
  bool is_over = false;
  coordination_->read_back([&is_over] { is_over = true; });
  wait(coordination_end_most, [&is_over] { return is_over; });
  coordination_->finish();
}

// Each process tells its figures, one that has just been started once it is up; none has violated an
// invariant.
void Fleet::judge_invariants() {
  const auto due = std::make_shared<FiguresDue>();
  due->until = timers_.now() + figures_most;
  for (const auto& m : machines_.all()) due->open.insert(m.get());
  for (const auto& m : machines_.all()) ask_figures(*m, due);
  wait(figures_most, [due] { return due->open.empty(); });
  for (const Machine* m : due->open)
    auditor_.report_violation(Rule::crashed, m->node + " does not tell its figures");
}

void Fleet::ask_figures(Machine& machine, const std::shared_ptr<FiguresDue>& due) {
  const sockaddr_in at = Machines::metrics_of(machine);
  BufferedRequest::run(lines_, timers_, at, request_text("GET", "/metrics", net::text_of(at), {}, ""),
                       figures_answer_most, [this, &machine, due](const BufferedRequest::Result& got) {
                         if (got.body.find("# EOF") != std::string::npos) {
                           due->open.erase(&machine);
                           judge_figures(machine, got.body);
                         } else if (timers_.now() < due->until) {
                           timers_.after(figures_again, [this, &machine, due] { ask_figures(machine, due); });
                         }
                       });
}

void Fleet::judge_figures(const Machine& machine, const std::string& figures) {
  std::ofstream((fs::path(spec_.folder) / (machine.node + ".metrics")).string()) << figures;
  std::istringstream lines(figures);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("chutevane_invariant_violations_total") && !line.ends_with(" 0"))
      auditor_.report_violation(Rule::crashed, machine.node + ": " + line);
  }
}

FleetResult Fleet::run() {
  FleetResult result;
  const TimePoint began = timers_.now();
  result.started = start_all();
  result.up = timers_.now() - began;
  if (result.started) {
    play_load(result);
  } else {
    result.trouble = machines_.last_words();
  }
  result.resident_mb = machines_.resident_mb();
  // In order only without a story: stories have ends of their own, and the last storage node takes its whole
  // grace.
  const bool at_once = spec_.story || told_to_stop_ || auditor_.count(Rule::crashed) > 0;
  machines_.end_all(at_once,
                    [this](Span most, const std::function<bool()>& what) { return wait(most, what); });
  result.stopped = told_to_stop_;
  collect(result);
  return result;
}

void Fleet::collect(FleetResult& result) {
  result.load = load_->figures();
  result.lingering_continued = lingering_->continued();
  result.figures = auditor_.figures();
  for (std::size_t i = 0; i < rule_count; ++i) result.counts[i] = auditor_.count(static_cast<Rule>(i));
  result.violations = auditor_.violations();
  result.excused = auditor_.excused();
  result.coordination = coordination_->figures();
  for (std::size_t i = 0; i < coordination_rules; ++i)
    result.coordination_counts[i] = coordination_->auditor().count(static_cast<CoordinationRule>(i));
  result.coordination_violations = coordination_->auditor().violations();
  result.change_ms = change_ms_;
  result.force_ms = force_ms_;
  result.operator_calls = operator_->sent();
  result.operator_reads = operator_->reads();
  result.operator_calm_reads = operator_->calm_reads();
  result.list_pages = list_.pages();
  result.list_over_rate = list_.over_rate();
  for (std::size_t i = 0; i < fault_kinds; ++i)
    result.played[i] = fault_player_->played(static_cast<FaultKind>(i));
  for (const auto& e : endpoints_.all()) {
    result.turned_away += e->turned_away();
    result.troubles += e->troubles();
  }
}

// Full service after a fault: the end of the last try that went badly, of those until the next fault.
void Fleet::judge_faults(FleetResult& result, TimePoint begin, TimePoint end) {
  for (const TryRecord& t : load_->records()) {
    if (t.good && t.first_ms > 0) (t.turn ? result.first_event_ms : result.tool_ms).push_back(t.first_ms);
    if (!t.good || t.first_ms > objective.as_ms())
      result.bad_tries.push_back(
          {t.id, (t.began - begin).as_ms(), (t.ended - t.began).as_ms(), t.first_ms, t.status, t.turn});
  }
  for (std::size_t i = 0; i < faults_.size(); ++i) {
    faults_[i].at_ms = (faults_[i].at - begin).as_ms();
    judge_fault(faults_[i], i + 1 < faults_.size() ? faults_[i + 1].at : end);
  }
  result.faults = faults_;
}

// `next`: when the next fault began.
void Fleet::judge_fault(FaultRecord& fault, TimePoint next) const {
  for (const TryRecord& attempt : load_->records()) {
    if (attempt.ended < fault.at || attempt.began >= next) continue;
    ++fault.tries;
    if (attempt.good && attempt.first_ms <= objective.as_ms()) continue;
    ++fault.bad_tries;
    fault.full_service = std::max(fault.full_service, attempt.ended - fault.at);
    if (attempt.ended >= next) fault.back = false;
  }
}

}  // namespace chutevane::lab::tier
