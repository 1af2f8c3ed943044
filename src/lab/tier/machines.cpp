#include "lab/tier/machines.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>

#include "net/socket.hpp"

namespace chutevane::lab::tier {
namespace {

namespace fs = std::filesystem;

// On all machines alike: each has an address of its own.
constexpr std::uint16_t front_port = 8149, readiness_port = 8141, control_port = 8142;
constexpr std::uint16_t peers_first_port = 7380, peers_last_port = 7395;  // control first, storage next
constexpr std::uint16_t metrics_port = 9464;
constexpr int bound_beside = 5;  // groups of addresses on: where processes listen that are relayed
constexpr std::size_t seeds = 3;
constexpr Span grace = Span::ms(8000);
constexpr Span look_again = Span::ms(20), watch_every = Span::ms(50);

int group_of(MachinePlane plane) {
  switch (plane) {
    case MachinePlane::edge: return 10;
    case MachinePlane::control: return 20;
    case MachinePlane::storage: return 30;
  }
  return 0;
}

const char* class_of(MachinePlane plane) { return plane == MachinePlane::control ? "core" : name_of(plane); }

sockaddr_in with_port(const sockaddr_in& at, std::uint16_t port) {
  sockaddr_in out = at;
  out.sin_port = htons(port);
  return out;
}

std::uint16_t peers_port(MachinePlane plane) {
  return plane == MachinePlane::storage ? peers_first_port + 1 : peers_first_port;
}

std::string ip_of(const sockaddr_in& at) {
  const std::string text = net::text_of(at);
  return text.substr(0, text.find(':'));
}

}  // namespace

Machines::Machines(net::TimerQueue& timers, const AddressBlock& addresses, Auditor& auditor, const Spec& spec)
    : timers_(timers), addresses_(addresses), auditor_(auditor), spec_(spec) {
  for (const char* program : {"chutevane-control", "chutevane-storage", "chutevane-edge"}) {
    if (!fs::exists(fs::path(spec_.programs) / program))
      throw std::runtime_error((fs::path(spec_.programs) / program).string() +
                               ": no such program; name their folder with --programs");
  }
}

std::vector<Machines::Machine*> Machines::of(MachinePlane plane) const {
  std::vector<Machine*> out;
  for (const auto& m : machines_) {
    if (m->plane == plane) out.push_back(m.get());
  }
  return out;
}

sockaddr_in Machines::front_of(const Machine& m) { return with_port(m.at, front_port); }
sockaddr_in Machines::readiness_of(const Machine& m) { return with_port(m.at, readiness_port); }
sockaddr_in Machines::control_of(const Machine& m) { return with_port(m.at, control_port); }
sockaddr_in Machines::metrics_of(const Machine& m) { return with_port(m.at, metrics_port); }
sockaddr_in Machines::announced_to_peers(const Machine& m) { return with_port(m.at, peers_port(m.plane)); }
sockaddr_in Machines::bound_for_peers(const Machine& m) { return with_port(m.bound, peers_port(m.plane)); }

void Machines::add(MachinePlane plane, std::size_t number, const char* zone) {
  auto m = std::make_unique<Machine>();
  m->plane = plane;
  m->node = std::string(name_of(plane)) + "-" + std::to_string(number);
  m->zone = zone;
  m->at = addresses_.at(group_of(plane), number, 1);
  m->bound = spec_.relayed ? addresses_.at(group_of(plane) + bound_beside, number, 1) : m->at;
  const std::string stem = (fs::path(spec_.folder) / m->node).string();
  m->settings = stem + ".conf";
  m->log = stem + ".log";
  std::ofstream emptied(m->log, std::ios::trunc);
  if (plane != MachinePlane::edge) {
    m->data = stem + ".data";
    for (const auto& entry : fs::directory_iterator(spec_.folder)) {
      if (entry.path().string().starts_with(m->data)) fs::remove_all(entry.path());
    }
  }
  machines_.push_back(std::move(m));
}

void Machines::write_settings(Machine& m, Start start) {
  std::string seed_list;
  for (std::size_t i = 0; i < seeds; ++i) {
    const std::size_t number = (i + m.seeds_turned) % seeds + 1;
    if (i > 0) seed_list += ",";
    seed_list += net::text_of(addresses_.at(group_of(MachinePlane::control), number, control_port));
  }
  std::ofstream out(m.settings, std::ios::trunc);
  out << "nodeName=" << m.node << "\nrole=" << name_of(m.plane) << "\nmachineClass=" << class_of(m.plane)
      << "\nserves=" << name_of(m.plane) << "\nipAddress=" << ip_of(m.at) << "\nzone=" << m.zone
      << "\nregion=lab\n";
  if (spec_.relayed) out << "bindAddress=" << ip_of(m.bound) << "\n";
  std::set<std::string> zones;
  for (const auto& other : machines_) zones.insert(other->zone);
  for (const std::string& zone : zones) out << "zones." << zone << "=lab\n";
  if (m.plane == MachinePlane::edge)
    out << "listenAddrs.front=" << net::text_of(front_of(m))
        << "\nlistenAddrs.readiness=" << net::text_of(readiness_of(m)) << "\n";
  if (m.plane == MachinePlane::control) out << "listenAddrs.control=" << net::text_of(control_of(m)) << "\n";
  out << "listenAddrs.metrics=" << net::text_of(metrics_of(m)) << "\n";
  if (!m.data.empty()) out << "dataDir=" << m.data << "\n";
  out << "internalPorts=" << peers_first_port << "," << peers_last_port << "\nseedNodes=" << seed_list
      << "\ninitialStart=" << (start == Start::first ? "true" : "false")
      << "\nlossCounted=" << (m.plane == MachinePlane::edge ? "false" : "true")
      << "\nlimits.memoryMb=" << spec_.memory_mb << "\nlimits.maxFds=" << spec_.descriptors
      << "\nlimits.diskMb=" << (m.data.empty() ? 0 : 200)
      << "\nfaultTolerance.machineLosses=1\nbounds.drainMs=" << spec_.drain.as_ms() << "\nbounds.graceS=8"
      << "\nbounds.configApplyMs=2000\nbounds.settleMs=1000\nbounds.ackMs=4000\nbounds.recoveryS=12"
      << "\nbounds.historyS=" << spec_.history.as_ms() / 1000
      << "\ncloudApi.address=" << net::text_of(spec_.list) << "\ncloudApi.ratePerS=" << spec_.list_rate
      << "\ncloudApi.lagMs=0\n";
  if (!out.flush()) throw std::runtime_error(m.settings + ": cannot be written");
}

void Machines::start(Machine& m, Start start) {
  if (quiet_ || m.process.running()) return;
  write_settings(m, start);
  if (!m.data.empty()) fs::create_directories(m.data);
  const std::string program = std::string("chutevane-") + name_of(m.plane);
  m.process.start({(fs::path(spec_.programs) / program).string(), "--settings", m.settings}, m.log);
  m.down_by_order = false;
}

void Machines::kill(Machine& m) {
  m.down_by_order = true;
  m.process.kill();
}

void Machines::lose_disk(Machine& m) {
  if (!fs::exists(m.data)) return;
  fs::rename(m.data, m.data + ".gone" + std::to_string(++m.disks_lost));
}

void Machines::reload(Machine& m) {
  ++m.seeds_turned;
  write_settings(m, Start::again);
  m.process.signal(SIGHUP);
}

void Machines::judge_end(const Machine& m, const std::optional<std::string>& how) {
  if (how == "exit status 0") return;
  auditor_.report_violation(
      Rule::crashed,
      m.node + ", told to end: " + how.value_or("still there after its grace") + "\n" + last_lines(m.log, 6));
}

void Machines::terminate(Machine& m, std::function<void(Span)> ended) {
  m.down_by_order = true;
  m.process.signal(SIGTERM);
  timers_.after(look_again, [this, &m, since = timers_.now(), ended = std::move(ended)]() mutable {
    look_ended(m, since, std::move(ended));
  });
}

void Machines::look_ended(Machine& m, TimePoint since, std::function<void(Span)> ended) {
  if (quiet_) return;
  const Span took = timers_.now() - since;
  if (!m.process.running()) return ended(took);  // another trouble has killed it meanwhile
  const auto how = m.process.ended();
  if (!how && took < grace) {
    timers_.after(look_again, [this, &m, since, ended = std::move(ended)]() mutable {
      look_ended(m, since, std::move(ended));
    });
    return;
  }
  judge_end(m, how);
  m.process.kill();
  ended(took);
}

void Machines::watch() {
  for (const auto& m : machines_) {
    if (m->down_by_order) continue;
    if (const auto how = m->process.ended())
      auditor_.report_violation(Rule::crashed, m->node + ": " + *how + "\n" + last_lines(m->log, 6));
  }
  timers_.after(watch_every, [this] { watch(); });
}

void Machines::end_all(bool at_once, const Wait& wait) {
  quiet_ = true;
  // Storage first: it ends once control has seen that too few are left to empty one. The edges have shown by
  // one of them that they end in order.
  for (const MachinePlane plane : {MachinePlane::storage, MachinePlane::control})
    end_plane(plane, at_once, wait);
  for (Machine* const m : of(MachinePlane::edge)) kill(*m);
}

void Machines::end_plane(MachinePlane plane, bool at_once, const Wait& wait) {
  std::vector<Machine*> told;
  for (Machine* const m : of(plane)) {
    const bool in_order = !m->down_by_order && m->process.running();
    m->down_by_order = true;
    if (!in_order || at_once) {
      m->process.kill();
      continue;
    }
    m->process.signal(SIGTERM);
    told.push_back(m);
  }
  const TimePoint until = timers_.now() + grace;
  for (Machine* const m : told) {
    std::optional<std::string> how;
    wait(until - timers_.now(), [&] {
      if (!how) how = m->process.ended();  // told once
      return how.has_value();
    });
    judge_end(*m, how);
    m->process.kill();
  }
}

std::string Machines::node_of_connection(const sockaddr_in& end, const sockaddr_in& other_end) const {
  std::vector<pid_t> running;
  for (const auto& m : machines_) {
    if (m->process.running()) running.push_back(m->process.pid());
  }
  const pid_t owner = connected_from(end, other_end, running);
  for (const auto& m : machines_) {
    if (owner != 0 && m->process.pid() == owner) return m->node;
  }
  return "";
}

std::string Machines::last_words() const {
  std::string out;
  for (const auto& m : machines_) out += m->node + ": " + last_lines(m->log, 2);
  return out;
}

double Machines::resident_mb() const {
  double out = 0;
  for (const auto& m : machines_) {
    const auto usage = m->process.running() ? usage_of(m->process.pid()) : std::nullopt;
    if (usage) out += usage->most_resident_kb / 1024;
  }
  return out;
}

}  // namespace chutevane::lab::tier
