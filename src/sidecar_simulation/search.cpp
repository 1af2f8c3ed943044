#include "sidecar_simulation/search.hpp"

#include <poll.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <system_error>

namespace chutevane::sidecar_simulation {
namespace {

constexpr std::uint64_t days_between_coverage = 20;  // a crashed process loses what it had not told yet
constexpr int poll_ms = 200;
constexpr unsigned day_most_s = 120;  // of real time, for one day: then its process is ended by an alarm

// Lines of a worker: "S SEED" before a day, "B TEXT" for each breach, "D SEED BREACHES EVENTS CALLS
// DISPATCHES SIMULATED" after it, "C NUMBERS" now and then, "Q" at the end.
void put(int to, const std::string& line) {
  const std::string whole = line + "\n";
  for (std::size_t at = 0; at < whole.size();) {
    const ssize_t n = ::write(to, whole.data() + at, whole.size() - at);
    if (n < 0 && errno != EINTR) std::_Exit(3);
    if (n > 0) at += static_cast<std::size_t>(n);
  }
}

void tell(int to, const DayReport& r) {
  for (const std::string& b : r.breaches) put(to, "B " + b);
  std::ostringstream line;
  line.precision(9);
  line << "D " << r.seed << ' ' << r.breach_count << ' ' << r.events << ' ' << r.calls << ' ' << r.dispatches
       << ' ' << r.simulated_s << ' ' << r.service;
  put(to, line.str());
}

struct Worker {
  pid_t pid = 0;
  int from = -1;
  std::string rest;
  std::uint64_t next = 0;  // the seed that it begins with, if it is started
  std::uint64_t at = 0;    // the seed it plays
  bool playing = false, over = true;
  std::vector<std::string> breaches;
};

double seconds_of(const timeval& t) {
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
}

class Search {
 public:
  Search(const Scenario& s, std::uint64_t first, std::uint64_t last, int jobs, std::size_t enough)
      : scenario_(s), last_(last), step_(static_cast<std::uint64_t>(jobs)), enough_(enough) {
    for (int i = 0; i < jobs; ++i) {
      Worker w;
      w.next = first + static_cast<std::uint64_t>(i);
      workers_.push_back(std::move(w));
    }
  }

  ~Search() {
    for (Worker& w : workers_) end(w);
  }

  SearchReport run(const Progress& progress, std::uint64_t of) {
    const auto began = std::chrono::steady_clock::now();
    for (Worker& w : workers_) start(w);
    while (std::any_of(workers_.begin(), workers_.end(), [](const Worker& w) { return !w.over; })) {
      std::vector<pollfd> ready;
      for (const Worker& w : workers_) {
        if (!w.over) ready.push_back({w.from, POLLIN, 0});
      }
      ::poll(ready.data(), ready.size(), poll_ms);
      for (const pollfd& p : ready) {
        if (p.revents == 0) continue;
        take(
            *std::find_if(workers_.begin(), workers_.end(), [&](const Worker& w) { return w.from == p.fd; }));
      }
      report_.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
      if (progress) progress(report_, of);
      if (enough_ > 0 && report_.broken.size() >= enough_) break;
    }
    for (Worker& w : workers_) end(w);
    std::sort(report_.broken.begin(), report_.broken.end(),
              [](const Found& a, const Found& b) { return a.seed < b.seed; });
    return report_;
  }

 private:
  void start(Worker& w) {
    w.over = w.next > last_;
    if (w.over) return;
    int ends[2];
    if (::pipe(ends) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
    std::fflush(nullptr);
    w.pid = ::fork();
    if (w.pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
    if (w.pid == 0) {
      ::close(ends[0]);
      work(w.next, ends[1]);
      std::_Exit(0);
    }
    ::close(ends[1]);
    w.from = ends[0];
    w.rest.clear();
    w.playing = false;
  }

  void work(std::uint64_t from, int to) const {
    network_simulation::Trace none;
    Coverage coverage;
    std::uint64_t days = 0;
    for (std::uint64_t seed = from; seed <= last_; seed += step_) {
      put(to, "S " + std::to_string(seed));
      ::alarm(day_most_s);
      const DayReport r = play(draw_scenario(scenario_, seed), none);
      coverage.add(r.coverage);
      tell(to, r);
      if (++days % days_between_coverage != 0) continue;
      put(to, "C " + coverage.as_line());
      coverage = Coverage();
    }
    put(to, "C " + coverage.as_line());
    put(to, "Q");
  }

  void take(Worker& w) {
    char room[65536];
    const ssize_t n = ::read(w.from, room, sizeof room);
    if (n < 0 && errno == EINTR) return;
    if (n > 0) w.rest.append(room, static_cast<std::size_t>(n));
    std::size_t at = 0;
    for (std::size_t line; (line = w.rest.find('\n', at)) != std::string::npos; at = line + 1)
      heard(w, w.rest.substr(at, line - at));
    w.rest.erase(0, at);
    if (n <= 0) ended(w);
  }

  void heard(Worker& w, const std::string& line) {
    const std::string text = line.size() > 2 ? line.substr(2) : "";
    std::istringstream in(text);
    switch (line.empty() ? ' ' : line[0]) {
      case 'S':
        in >> w.at;
        w.playing = true;
        w.breaches.clear();
        break;
      case 'B': w.breaches.push_back(text); break;
      case 'D': {
        std::uint64_t seed = 0, breaches = 0, events = 0, calls = 0, dispatches = 0;
        double simulated = 0.0;
        in >> seed >> breaches >> events >> calls >> dispatches >> simulated;
        w.playing = false;
        w.next = seed + step_;
        ++report_.days;
        report_.events += events;
        report_.calls += calls;
        report_.dispatches += dispatches;
        report_.simulated_s += simulated;
        if (breaches > 0) report_.broken.push_back({seed, w.breaches});
        break;
      }
      case 'C': report_.coverage.add_line(text); break;
      case 'Q': w.next = last_ + 1; break;
      default: break;
    }
  }

  // Its process has ended: by itself, or amid a day, which is broken then; the days after it are played on.
  void ended(Worker& w) {
    const int status = reap(w);
    if (w.playing) {
      ++report_.days;
      w.breaches.push_back(WIFSIGNALED(status)
                               ? "rule 0: signal " + std::to_string(WTERMSIG(status))
                               : "rule 0: exit status " + std::to_string(WEXITSTATUS(status)));
      report_.broken.push_back({w.at, w.breaches});
      w.next = w.at + step_;
    }
    start(w);
  }

  int reap(Worker& w) {
    int status = 0;
    rusage used{};
    ::close(w.from);
    while (::wait4(w.pid, &status, 0, &used) < 0 && errno == EINTR) {
    }
    report_.cpu_s += seconds_of(used.ru_utime) + seconds_of(used.ru_stime);
    w.pid = 0;
    w.from = -1;
    return status;
  }

  void end(Worker& w) {
    if (w.pid <= 0) return;
    ::kill(w.pid, SIGKILL);
    reap(w);
    w.over = true;
  }

  const Scenario& scenario_;
  std::uint64_t last_, step_;
  std::size_t enough_;
  std::vector<Worker> workers_;
  SearchReport report_;
};

// --- Making it small -------------------------------------------------------------------------------

class Shrinker {
 public:
  Shrinker(const Scenario& s, std::string kind, std::size_t tries,
           const std::function<void(const std::string&)>& told)
      : best_(s), kind_(std::move(kind)), left_(tries), told_(told) {}

  Scenario run() {
    bool smaller = true;
    while (smaller && left_ > 0) {
      smaller = false;
      smaller = drop(best_.troubles, &Scenario::troubles, "trouble") || smaller;
      smaller = drop_faults() || smaller;
      smaller = fewer() || smaller;
      smaller = plainer() || smaller;
    }
    return best_;
  }

 private:
  // Takes over what still breaks.
  bool keeps(Scenario candidate, const std::string& what) {
    if (left_ == 0) return false;
    --left_;
    try {
      candidate = read_scenario(write_scenario(candidate), "shrunk");
    } catch (const std::exception&) {
      return false;  // no scenario: a fault that needs what was dropped
    }
    if (play_apart(candidate).kind() != kind_) return false;
    best_ = std::move(candidate);
    told_(what);
    return true;
  }

  template <class T>
  bool drop(const std::vector<T>& from, std::vector<T> Scenario::*member, const char* name) {
    bool out = false;
    for (std::size_t i = from.size(); i-- > 0;) {
      Scenario s = best_;
      (s.*member).erase((s.*member).begin() + static_cast<long>(i));
      out = keeps(s, std::string("without ") + name + " " + std::to_string(i)) || out;
    }
    return out;
  }

  bool drop_faults() {
    bool out = false;
    for (std::size_t i = best_.experiment.faults.size(); i-- > 0;) {
      Scenario s = best_;
      s.experiment.faults.erase(s.experiment.faults.begin() + static_cast<long>(i));
      out = keeps(s, "without fault " + std::to_string(i)) || out;
    }
    return out;
  }

  // Less of everything that comes in numbers, halved for as long as that works.
  bool fewer() {
    bool out = false;
    const auto halve = [&](const char* what, auto change) {
      for (bool again = true; again && left_ > 0;) {
        Scenario s = best_;
        again = change(s) && keeps(s, what);
        out = out || again;
      }
    };
    halve("a shorter day", [](Scenario& s) {
      lab::Experiment& e = s.experiment;
      e.lasts = Span::ms(static_cast<double>(static_cast<int>(e.lasts.as_ms() * 0.6)));
      return e.lasts >= Span::ms(300);
    });
    halve("fewer calls", [](Scenario& s) { return (s.experiment.callers.rate /= 2.0) >= 2.0; });
    for (std::size_t t = 0; t < best_.experiment.tiers.size(); ++t) {
      halve("an endpoint less", [t](Scenario& s) { return --s.experiment.tiers[t].endpoints >= 1; });
      halve("a sidecar less", [t](Scenario& s) { return --s.experiment.tiers[t].sidecars >= 1; });
    }
    for (std::size_t t = best_.experiment.tracks.size(); t-- > 0 && best_.experiment.tracks.size() > 1;) {
      Scenario s = best_;
      s.experiment.tracks.erase(s.experiment.tracks.begin() + static_cast<long>(t));
      out = keeps(s, "without a track") || out;
    }
    return out;
  }

  // The network as it is by default, one property after another.
  bool plainer() {
    const network_simulation::NetworkConditions plain;
    bool out = false;
    const auto set = [&](auto member, const char* what) {
      if (best_.chances.*member == plain.*member) return;
      Scenario s = best_;
      s.chances.*member = plain.*member;
      out = keeps(s, what) || out;
    };
    set(&network_simulation::NetworkConditions::retransmit_probability, "nothing sent again");
    set(&network_simulation::NetworkConditions::connect_loss_probability, "no connect lost");
    set(&network_simulation::NetworkConditions::late_turn_probability, "no turn late");
    set(&network_simulation::NetworkConditions::mean_delay, "usual delays");
    if (best_.chances.max_buffer_size != plain.max_buffer_size) {
      Scenario s = best_;
      s.chances.min_buffer_size = plain.min_buffer_size, s.chances.max_buffer_size = plain.max_buffer_size;
      out = keeps(s, "usual buffers") || out;
    }
    set(&network_simulation::NetworkConditions::split_probability, "usual splits");
    const auto usual = [&](auto member, auto value, const char* what) {
      if (best_.experiment.callers.*member == value) return;
      Scenario s = best_;
      s.experiment.callers.*member = value;
      out = keeps(s, what) || out;
    };
    usual(&lab::CallersSpec::leave_share, 0.0, "no caller leaves");
    usual(&lab::CallersSpec::repeats, 0, "no repeats");
    usual(&lab::CallersSpec::spread, false, "connections used again");
    return out;
  }

  Scenario best_;
  std::string kind_;
  std::size_t left_;
  const std::function<void(const std::string&)>& told_;
};

}  // namespace

DayReport play_apart(const Scenario& scenario) {
  DayReport out;
  out.seed = scenario.experiment.seed;
  Scenario explicit_one = scenario;
  explicit_one.swarm = false;
  Search one(explicit_one, out.seed, out.seed, 1, 0);
  const SearchReport r = one.run({}, 1);
  out.events = r.events, out.calls = r.calls, out.dispatches = r.dispatches, out.simulated_s = r.simulated_s;
  out.coverage = r.coverage;
  if (!r.broken.empty()) out.breaches = r.broken.front().breaches;
  out.breach_count = out.breaches.size();
  return out;
}

SearchReport search(const Scenario& scenario, std::uint64_t first, std::uint64_t last, int jobs,
                    std::size_t enough, const Progress& progress) {
  Search all(scenario, first, last, std::max(1, jobs), enough);
  return all.run(progress, last - first + 1);
}

Scenario shrink(const Scenario& scenario, const std::string& kind, std::size_t tries,
                const std::function<void(const std::string&)>& told) {
  Shrinker shrinker(scenario, kind, tries, told);
  return shrinker.run();
}

}  // namespace chutevane::sidecar_simulation
