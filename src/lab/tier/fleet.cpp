#include "lab/tier/fleet.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "lab/statistics.hpp"

namespace chutevane::lab::tier {
namespace {

namespace fs = std::filesystem;

// On all machines alike: each has an address of its own.
constexpr std::uint16_t front_port = 8149, readiness_port = 8141, control_port = 8142, list_port = 8090,
                        endpoint_port = 8100;
constexpr int edge = 10, core = 20, storage = 30, endpoints = 40, platform = 50;  // groups of addresses
constexpr const char* zones[] = {"north", "middle", "south"};
constexpr double list_rate = 40;                       // pages a second
constexpr Span drain = Span::ms(1500);                 // of an endpoint that leaves
constexpr Span list_behind = Span::ms(800);            // the list has one that crashed for so long
constexpr Span drain_end = Span::ms(2600);             // it serves on for that and a little longer
constexpr Span down = Span::ms(400);                   // before a process that ended is started again
constexpr Span grace = Span::ms(8000);                 // of a process that is told to end
constexpr Span in_force_most = Span::ms(2000 + 1000);  // configApplyMs and settleMs
constexpr Span up_most = Span::ms(20000), end_most = Span::ms(20000), read_back_most = Span::ms(8000);
constexpr double tail_s = 4;  // of the seconds: what follows the load
constexpr std::size_t heirs_most = 60;
constexpr double trouble_part = 0.01;  // of what endpoints run: it must not be run again, nor look whole

std::size_t lines_with(const std::string& file, const std::string& word) {
  std::ifstream in(file);
  std::size_t out = 0;
  for (std::string line; std::getline(in, line);) out += line.find(word) != std::string::npos ? 1 : 0;
  return out;
}

}  // namespace

// What fails a run: every count of the auditor.
bool FleetResult::broken() const {
  return !started || std::any_of(counts.begin(), counts.end(), [](std::uint64_t n) { return n > 0; });
}

Fleet::Fleet(const FleetSpec& spec)
    : spec_(spec),
      chance_(spec.seed, "faults"),
      timers_(scheduler_),
      list_(scheduler_, timers_, list_rate, drain),
      lines_(scheduler_, timers_),
      front_(lines_, timers_) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const char* program : {"chutevane-control", "chutevane-storage", "chutevane-edge"}) {
    if (!fs::exists(fs::path(spec_.programs) / program))
      throw std::runtime_error((fs::path(spec_.programs) / program).string() +
                               ": no such program; name their folder with --programs");
  }
  list_.listen(addresses_.at(platform, 1, list_port));
  const auto endpoint = [&](const char* id, std::size_t number, bool streams) {
    EndpointSpec e;
    e.id = id;
    e.service = streams ? "words" : "tools";
    e.zone = zones[number % 3];
    e.at = addresses_.at(endpoints, number, endpoint_port);
    e.streams = streams;
    e.capacity = streams ? 5 : 16;  // few enough that turns find them full at times
    e.queue = streams ? 1 : 4;
    e.trouble = trouble_part;
    endpoints_.push_back(std::make_unique<EndpointStandIn>(scheduler_, timers_, auditor_, e, spec_.seed));
    list_.add(*endpoints_.back());
  };
  for (const char* id : {"i-w1", "i-w2", "i-w3", "i-w4"}) endpoint(id, endpoints_.size() + 1, true);
  for (const char* id : {"i-t1", "i-t2"}) endpoint(id, endpoints_.size() + 1, false);
  for (std::size_t i = 0; i < 3; ++i) add("control", i + 1, core, zones[i], true);
  for (std::size_t i = 0; i < 4; ++i) add("storage", i + 1, storage, zones[i % 3], true);
  for (std::size_t i = 0; i < 3; ++i) add("edge", i + 1, edge, zones[i], true);
  std::vector<sockaddr_in> controllers;
  for (const auto& m : machines_) {
    if (m->plane == "control") controllers.push_back(with_port(m->at, control_port));
    if (m->plane == "edge")
      front_.add(m->node, with_port(m->at, front_port), with_port(m->at, readiness_port));
  }
  operator_ = std::make_unique<OperatorStandIn>(scheduler_, timers_, lines_, auditor_, controllers);
  load_ = std::make_unique<Load>(scheduler_, timers_, lines_, front_, auditor_,
                                 Load::Spec{spec_.seed, spec_.programs_per_s});
}

Fleet::~Fleet() = default;

sockaddr_in Fleet::with_port(const sockaddr_in& at, std::uint16_t port) const {
  sockaddr_in out = at;
  out.sin_port = htons(port);
  return out;
}

// ---- processes

void Fleet::add(const std::string& plane, std::size_t number, int group, const char* zone, bool first) {
  auto m = std::make_unique<Machine>();
  m->plane = plane;
  m->node = plane + "-" + std::to_string(number);
  m->zone = zone;
  m->at = addresses_.at(group, number, 1);
  const fs::path stem = fs::path(spec_.folder) / m->node;
  m->settings = stem.string() + ".conf";
  m->log = stem.string() + ".log";
  if (plane != "edge") m->data = stem.string() + ".data";
  std::ofstream(m->log, std::ios::trunc);
  if (first && !m->data.empty()) {
    fs::remove_all(m->data);
    fs::remove_all(m->data + ".gone");
  }
  machines_.push_back(std::move(m));
}

void Fleet::write_settings(Machine& m, bool first) {
  const auto ip = [](const sockaddr_in& at) {
    const std::string text = net::text_of(at);
    return text.substr(0, text.find(':'));
  };
  std::string seeds;
  for (std::size_t i = 1; i <= 3; ++i)
    seeds += (i > 1 ? "," : "") + net::text_of(addresses_.at(core, i, control_port));
  const std::string machine_class = m.plane == "edge" ? "edge" : m.plane == "control" ? "core" : "storage";
  std::ofstream out(m.settings, std::ios::trunc);
  out << "nodeName=" << m.node << "\nrole=" << m.plane << "\nmachineClass=" << machine_class << "\nserves="
      << (m.plane == "edge"      ? "edge"
          : m.plane == "control" ? "control"
                                 : "storage")
      << "\nipAddress=" << ip(m.at) << "\nzone=" << m.zone << "\nregion=lab\n";
  for (const char* zone : zones) out << "zones." << zone << "=lab\n";
  if (m.plane == "edge")
    out << "listenAddrs.front=" << net::text_of(with_port(m.at, front_port))
        << "\nlistenAddrs.readiness=" << net::text_of(with_port(m.at, readiness_port)) << "\n";
  if (m.plane == "control")
    out << "listenAddrs.control=" << net::text_of(with_port(m.at, control_port)) << "\n";
  if (!m.data.empty()) out << "dataDir=" << m.data << "\n";
  out << "internalPorts=7380,7395\nseedNodes=" << seeds << "\ninitialStart=" << (first ? "true" : "false")
      << "\nlossCounted=" << (m.plane == "edge" ? "false" : "true")
      << "\nlimits.memoryMb=260\nlimits.maxFds=1000\nlimits.diskMb=" << (m.data.empty() ? 0 : 200)
      << "\nfaultTolerance.machineLosses=1\nbounds.drainMs=" << drain.as_ms() << "\nbounds.graceS=8"
      << "\nbounds.configApplyMs=2000\nbounds.settleMs=1000\nbounds.ackMs=4000\nbounds.recoveryS=12"
      << "\ncloudApi.address=" << net::text_of(addresses_.at(platform, 1, list_port))
      << "\ncloudApi.ratePerS=" << list_rate << "\ncloudApi.lagMs=0\n";
  if (!out.flush()) throw std::runtime_error(m.settings + ": cannot be written");
}

void Fleet::start(Machine& m, bool first) {
  if (quiet_) return;
  write_settings(m, first);
  if (!m.data.empty()) fs::create_directories(m.data);
  m.process.start({(fs::path(spec_.programs) / ("chutevane-" + m.plane)).string(), "--settings", m.settings},
                  m.log);
  m.ends_by_order = false;
}

// A process that ends by itself is a result.
void Fleet::watch() {
  for (auto& m : machines_) {
    if (m->ends_by_order) continue;
    if (const auto how = m->process.ended())
      auditor_.breach(Check::crashed, m->node + ": " + *how + "\n" + last_lines(m->log, 6));
  }
  timers_.after(Span::ms(50), [this] { watch(); });
}

Fleet::Machine& Fleet::drawn(const char* plane, std::size_t& which) {
  std::vector<Machine*> all;
  for (auto& m : machines_) {
    if (m->plane == plane) all.push_back(m.get());
  }
  which = chance_.below(all.size());
  return *all[which];
}

std::string Fleet::last_words() const {
  std::string out;
  for (const auto& m : machines_) out += m->node + ": " + last_lines(m->log, 2);
  return out;
}

// ---- faults

FaultRecord& Fleet::fault(const std::string& name) {
  FaultRecord record;
  record.name = name;
  record.at = timers_.now();
  faults_.push_back(record);
  return faults_.back();
}

void Fleet::drain_endpoint() {
  fault("endpoint i-w1 drains, i-w5 comes");
  EndpointSpec e = endpoints_.front()->spec();
  e.id = "i-w5";
  e.at = addresses_.at(endpoints, endpoints_.size() + 1, endpoint_port);
  endpoints_.push_back(std::make_unique<EndpointStandIn>(scheduler_, timers_, auditor_, e, spec_.seed));
  list_.add(*endpoints_.back());
  EndpointStandIn* const old = endpoints_.front().get();
  old->drain();
  timers_.after(drain_end, [this, old] {
    list_.remove(*old);
    old->end();
  });
}

// Another process under its address, at once: the list has the old id for a while, and requests for it are
// not the new one's.
void Fleet::replace_endpoint() {
  const auto old = std::find_if(endpoints_.begin(), endpoints_.end(),
                                [](const auto& e) { return e->spec().id == "i-t2"; });
  fault("endpoint i-t2 is i-t3, at its address");
  EndpointSpec e = (*old)->spec();
  e.id = "i-t3";
  EndpointStandIn* const gone = old->get();
  gone->end();
  endpoints_.push_back(std::make_unique<EndpointStandIn>(scheduler_, timers_, auditor_, e, spec_.seed));
  timers_.after(list_behind, [this, gone, now = endpoints_.back().get()] {
    list_.remove(*gone);
    list_.add(*now);
  });
}

// The machine's disk is gone with it: it comes back empty, under its address.
void Fleet::lose_storage_node() {
  std::size_t which = 0;
  Machine& m = drawn("storage", which);
  const std::size_t record = faults_.size();
  fault(m.node + " killed, its folder gone");
  m.ends_by_order = true;
  m.process.kill();
  // Put aside at once, and removed with the run: removing file by file may hold the stand-ins up.
  fs::rename(m.data, m.data + ".gone");
  ++orders_open_;
  timers_.after(down, [this, &m, record] {
    std::ofstream(m.log, std::ios::trunc);
    start(m, false);
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
  Machine& m = drawn("control", which);
  change(9, which);
  const Span into = Span::ms(12 * chance_.unit());
  timers_.after(into, [this, &m] {
    fault(m.node + " killed, a change in flight there");
    m.ends_by_order = true;
    m.process.kill();
    timers_.after(down, [this, &m] { start(m, false); });
  });
}

void Fleet::end_edge() {
  std::size_t which = 0;
  Machine& m = drawn("edge", which);
  const std::size_t record = faults_.size();
  fault(m.node + " told to end");
  m.ends_by_order = true;
  m.process.signal(SIGTERM);
  ++orders_open_;
  const auto look = std::make_shared<std::function<void()>>();
  *look = [this, &m, record, weak = std::weak_ptr(look)] {
    const auto self = weak.lock();
    const Span took = timers_.now() - faults_[record].at;
    const auto how = m.process.ended();
    if (!how && took < grace) {
      timers_.after(Span::ms(20), [self] { (*self)(); });
      return;
    }
    faults_[record].note = "ended after " + std::to_string(static_cast<long>(took.as_ms())) + " ms";
    if (!how || *how != "exit status 0")
      auditor_.breach(Check::crashed, m.node +
                                          ", told to end: " + how.value_or("still there after its grace") +
                                          "\n" + last_lines(m.log, 6));
    timers_.after(down, [this, &m] {
      start(m, false);
      --orders_open_;
    });
  };
  timers_.after(Span::ms(20), [look] { (*look)(); });
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
  const auto ask = [this, edge](std::int64_t of, std::function<void(int)> done) {
    const std::uint64_t high = chance_();
    const std::string id = "probe" + std::to_string(high) + std::to_string(chance_());
    auditor_.asked({id, Sort::idempotent, "", "", "", 0, std::nullopt});
    Errand::run(lines_, timers_, front_.address(edge),
                request_text("GET", mark_of(of) + "x", host,
                             {{"X-Chutevane-Attempt-Id", id}, {"X-Chutevane-Time-Remaining", "900"}}, ""),
                Span::ms(1000), [done](const Errand::Got& got) { done(got.whole ? got.status : 0); });
  };
  Machine* machine = nullptr;
  for (std::size_t i = 0, n = 0; i < machines_.size(); ++i) {
    if (machines_[i]->plane == "edge" && n++ == edge) machine = machines_[i].get();
  }
  if (machine->ends_by_order) return over();  // one that is leaving need not take it
  const auto again = [=, this](const std::string& what) {
    if (timers_.now() - since > in_force_most) {
      if (!machine->ends_by_order)
        auditor_.breach(Check::configuration,
                        "version " + std::to_string(version) + " not in force at " + machine->node +
                            " after " + std::to_string((timers_.now() - since).as_ms()) + " ms: " + what);
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
  at(0.12, [this] { drain_endpoint(); });
  at(0.20, [this] { replace_endpoint(); });
  // Of planes whose losses do not add up: storage nodes, controllers, edges.
  at(0.30, [this] { lose_storage_node(); });
  at(0.55, [this] { kill_controller(); });
  at(0.75, [this] { end_edge(); });
  at(0.90, [this] { change(11, 2); });
}

FleetResult Fleet::run() {
  FleetResult result;
  const TimePoint began = timers_.now();
  for (auto& m : machines_) start(*m, true);
  timers_.after(Span::ms(50), [this] { watch(); });
  front_.begin(Span::ms(50));
  operator_->change(1, 0, [this](Span) {});
  result.started = wait(up_most, [this] {
    return (front_.in() == front_.size() && operator_->acknowledged() == 1) ||
           auditor_.count(Check::crashed) > 0;
  });
  result.started = result.started && auditor_.count(Check::crashed) == 0;
  result.up = timers_.now() - began;
  if (result.started) {
    front_.every(Span::ms(1000));
    const Span lasts = Span::ms(std::max(spec_.seconds - tail_s, 1.0) * 1000);
    const TimePoint start = timers_.now();
    delays_ = std::make_unique<OwnDelays>(timers_, (fs::path(spec_.folder) / "sync.own").string());
    plan(start, lasts);
    load_->begin();
    wait(lasts, [] { return false; });
    load_->stop();
    load_->go_on_from_old(heirs_most);
    const bool all_over = wait(end_most, [this] {
      return load_->open() == 0 && probes_open_ == 0 && orders_open_ == 0 && !operator_->busy();
    });
    if (!all_over && !told_to_stop_) {
      if (load_->open() > 0)
        auditor_.breach(Check::unserved, std::to_string(load_->open()) + " programs have no end");
      if (orders_open_ > 0) auditor_.breach(Check::unserved, "a process did not come back to its work");
      if (operator_->busy() || probes_open_ > 0) auditor_.breach(Check::configuration, "a change has no end");
    }
    bool read = false;
    operator_->read_back(read_back_most, [&read] { read = true; });
    wait(read_back_most + Span::ms(3000), [&read] { return read; });
    delays_->stop();
    result.lateness_ms = delays_->lateness_ms();
    result.sync_ms = delays_->sync_ms();
    judge_faults(result, start, timers_.now());
  } else {
    result.trouble = last_words();
  }
  end_all();
  result.stopped = told_to_stop_;
  result.load = load_->figures();
  result.figures = auditor_.figures();
  for (std::size_t i = 0; i < checks; ++i) result.counts[i] = auditor_.count(static_cast<Check>(i));
  result.breaches = auditor_.breaches();
  result.change_ms = change_ms_;
  result.force_ms = force_ms_;
  result.operator_calls = operator_->sent();
  result.list_pages = list_.pages();
  result.list_over_rate = list_.over_rate();
  for (const auto& e : endpoints_) {
    result.turned_away += e->turned_away();
    result.troubles += e->troubles();
  }
  return result;
}

// Controllers and storage nodes are told to end, and have to do so in order; the edges have shown it by one
// of them.
void Fleet::end_all() {
  quiet_ = true;
  std::vector<Machine*> told;
  for (auto& m : machines_) {
    const bool in_order = m->plane != "edge" && !m->ends_by_order && m->process.running();
    m->ends_by_order = true;
    if (!in_order || told_to_stop_ || auditor_.count(Check::crashed) > 0) {
      m->process.kill();
      continue;
    }
    m->process.signal(SIGTERM);
    told.push_back(m.get());
  }
  const TimePoint until = timers_.now() + grace;
  for (Machine* const m : told) {
    std::optional<std::string> how;
    wait(until - timers_.now(), [&] {
      if (!how) how = m->process.ended();  // told once
      return how.has_value();
    });
    if ((!how || *how != "exit status 0") && !told_to_stop_)
      auditor_.breach(Check::crashed, m->node +
                                          ", told to end: " + how.value_or("still there after its grace") +
                                          "\n" + last_lines(m->log, 6));
    m->process.kill();
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
    FaultRecord& f = faults_[i];
    f.at_ms = (f.at - begin).as_ms();
    const TimePoint next = i + 1 < faults_.size() ? faults_[i + 1].at : end;
    for (const TryRecord& t : load_->records()) {
      if (t.ended < f.at || t.began >= next) continue;
      ++f.tries;
      if (t.good && t.first_ms <= objective.as_ms()) continue;
      ++f.bad_tries;
      f.full_service = std::max(f.full_service, t.ended - f.at);
      if (t.ended >= next) f.back = false;
    }
  }
  result.faults = faults_;
}

// ---- what it came to

namespace {

double quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

double most(const std::vector<double>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

std::string line(const char* name, const std::string& value) {
  char text[200];
  std::snprintf(text, sizeof text, "  %-34s %s\n", name, value.c_str());
  return text;
}

template <class... Values>
std::string filled(const char* form, Values... values) {
  char text[300];
  std::snprintf(text, sizeof text, form, values...);
  return text;
}

}  // namespace

std::string table_of(const FleetResult& r) {
  if (!r.started) return "the tier did not come up; its last words:\n" + r.trouble;
  const auto n = [](std::uint64_t v) { return std::to_string(v); };
  const auto count = [&](Check c) { return r.counts[static_cast<std::size_t>(c)]; };
  std::string out =
      "tier: 3 controllers, 4 storage_nodes, 3 edges, up after " + filled("%.0f ms\n", r.up.as_ms());
  out += line("turns asked", n(r.figures.turns_asked));
  out += line("answered whole", n(r.figures.turns_whole));
  out += line("lost (0)", n(count(Check::lost)));
  out += line("run twice (0)", n(count(Check::twice)));
  out += line("budgets overrun (0)", n(count(Check::overrun)));
  out += line("joined or short answers (0)", n(count(Check::joined)));
  out += line("chains checked, wrong (0)", n(r.figures.chains_checked) + ", " + n(count(Check::chain)) +
                                               ", the longest of " + n(r.figures.longest_chain));
  out += line("refused and run (0)", n(count(Check::promised)));
  for (const Check c : {Check::denied, Check::invented, Check::drained, Check::configuration, Check::unserved,
                        Check::crashed}) {
    if (count(c) > 0) out += line(name_of(c), n(count(c)) + " (0)");
  }
  out += line("programs, given up (0)", n(r.load.programs) + ", " + n(r.load.given_up));
  out += line("loops, ended by 402", n(r.load.loops) + ", " + n(r.load.loops_spent));
  out += line("heirs of old turns, answered", n(r.load.heirs) + ", " + n(r.load.heirs_whole));
  out += line("asked for what never was, refused", n(r.load.strangers) + ", " + n(r.load.strangers_refused));
  out += line("tool calls, answered", n(r.load.tools) + ", " + n(r.load.tools_whole));
  out += line("tries: 503 and alike, 402, broken",
              n(r.figures.promised) + ", " + n(r.figures.spent) + ", " + n(r.figures.broken));
  out += line("spoilt by endpoints, turned away", n(r.troubles) + ", " + n(r.turned_away));
  out += line("tokens generated, handed over",
              n(r.figures.tokens_generated) + ", " + n(r.figures.tokens_handed));
  out +=
      line("first event, p50, p99, most", filled("%.1f, %.1f, %.1f ms", quantile(r.first_event_ms, 0.5),
                                                 quantile(r.first_event_ms, 0.99), most(r.first_event_ms)));
  out += line("tool, p50, p99, most", filled("%.1f, %.1f, %.1f ms", quantile(r.tool_ms, 0.5),
                                             quantile(r.tool_ms, 0.99), most(r.tool_ms)));
  out += line("changes: to the 200, then in force",
              filled("at most %.0f ms, at most %.0f ms, %llu calls", most(r.change_ms), most(r.force_ms),
                     static_cast<unsigned long long>(r.operator_calls)));
  out += line("the lab's timers late, p99, most",
              filled("%.1f, %.1f ms", quantile(r.lateness_ms, 0.99), most(r.lateness_ms)));
  out += line("this disk's sync, p50, p99, most", filled("%.1f, %.1f, %.1f ms", quantile(r.sync_ms, 0.5),
                                                         quantile(r.sync_ms, 0.99), most(r.sync_ms)));
  out += "\n  fault                                     full service after   bad tries of  \n";
  for (const FaultRecord& f : r.faults)
    out += filled("  %-42s %8.0f ms%-8s %5zu of %-6zu %s\n", f.name.c_str(), f.full_service.as_ms(),
                  f.back ? "" : " (not)", f.bad_tries, f.tries, f.note.c_str());
  for (std::size_t i = 0; i < std::min<std::size_t>(r.breaches.size(), 20); ++i)
    out += std::string("BROKEN, ") + name_of(r.breaches[i].check) + ": " + r.breaches[i].what + "\n";
  out += r.broken() ? "a check failed\n" : "every check held\n";
  return out;
}

std::string json_of(const FleetResult& r) {
  nlohmann::json out;
  out["started"] = r.started;
  out["upMs"] = r.up.as_ms();
  for (std::size_t i = 0; i < checks; ++i) out["checks"][name_of(static_cast<Check>(i))] = r.counts[i];
  out["turns"] = {{"asked", r.figures.turns_asked}, {"whole", r.figures.turns_whole}};
  out["programs"] = {{"all", r.load.programs}, {"done", r.load.done}, {"givenUp", r.load.given_up}};
  out["firstEventMs"] = {{"p50", quantile(r.first_event_ms, 0.5)}, {"p99", quantile(r.first_event_ms, 0.99)}};
  out["toolMs"] = {{"p50", quantile(r.tool_ms, 0.5)}, {"p99", quantile(r.tool_ms, 0.99)}};
  out["changeMs"] = r.change_ms;
  out["inForceMs"] = r.force_ms;
  out["own"] = {{"latenessP99Ms", quantile(r.lateness_ms, 0.99)},
                {"latenessMostMs", most(r.lateness_ms)},
                {"syncP99Ms", quantile(r.sync_ms, 0.99)},
                {"syncMostMs", most(r.sync_ms)}};
  out["faults"] = nlohmann::json::array();
  for (const FaultRecord& f : r.faults)
    out["faults"].push_back({{"name", f.name},
                             {"atMs", f.at_ms},
                             {"fullServiceMs", f.full_service.as_ms()},
                             {"back", f.back},
                             {"badTries", f.bad_tries},
                             {"tries", f.tries},
                             {"note", f.note}});
  out["badTries"] = nlohmann::json::array();
  for (const FleetResult::BadTry& t : r.bad_tries)
    out["badTries"].push_back({{"id", t.id},
                               {"beganMs", t.began_ms},
                               {"lastedMs", t.lasted_ms},
                               {"firstMs", t.first_ms},
                               {"status", t.status},
                               {"turn", t.turn}});
  out["breaches"] = nlohmann::json::array();
  for (const Breach& b : r.breaches)
    out["breaches"].push_back({{"check", name_of(b.check)}, {"what", b.what}});
  return out.dump(1) + "\n";
}

}  // namespace chutevane::lab::tier
