#include "sidecar_simulation/search.hpp"

#include <poll.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <sstream>
#include <system_error>

namespace chutevane::sidecar_simulation {
namespace {

// A worker that crashes loses the coverage that it has not reported yet.
constexpr std::uint64_t runs_between_coverage_reports = 20;
constexpr int poll_timeout_ms = 200;
// Real time for one run: then an alarm ends its process.
constexpr unsigned run_timeout_s = 120;
constexpr int write_failed_status = 3;

// A worker writes lines to its pipe; the first character is the kind:
//   S SEED            a run begins
//   B TEXT            a breach of the run
//   D SEED BREACHES EVENTS CALLS DISPATCHES SIMULATED_S SERVICE   the run is done
//   C NUMBERS         coverage since the last such line
//   Q                 all seeds are done
constexpr char run_begins = 'S', breach = 'B', run_done = 'D', coverage_counts = 'C', all_done = 'Q';

void write_line(int fd, char kind, const std::string& text) {
  const std::string line =
      text.empty() ? std::string(1, kind) + "\n" : std::string(1, kind) + " " + text + "\n";
  for (std::size_t written = 0; written < line.size();) {
    const ssize_t n = ::write(fd, line.data() + written, line.size() - written);
    if (n < 0 && errno != EINTR) std::_Exit(write_failed_status);
    if (n > 0) written += static_cast<std::size_t>(n);
  }
}

void write_report(int fd, const RunReport& report) {
  for (const std::string& text : report.breaches) write_line(fd, breach, text);
  std::ostringstream line;
  line.precision(9);
  line << report.seed << ' ' << report.breach_count << ' ' << report.events << ' ' << report.calls << ' '
       << report.dispatches << ' ' << report.simulated_s << ' ' << report.service;
  write_line(fd, run_done, line.str());
}

struct Worker {
  pid_t pid = 0;
  int output_fd = -1;
  std::string incomplete_line;
  std::uint64_t next_seed = 0;  // with which it begins when it is started (again)
  std::uint64_t current_seed = 0;
  bool is_running_seed = false, is_finished = true;
  std::vector<std::string> breaches;  // of the current seed
};

double seconds_of(const timeval& t) {
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
}

class Search {
 public:
  Search(const Scenario& scenario, std::uint64_t first, std::uint64_t last, int jobs, std::size_t max_broken)
      : scenario_(scenario),
        last_seed_(last),
        seed_step_(static_cast<std::uint64_t>(jobs)),
        max_broken_(max_broken) {
    for (int i = 0; i < jobs; ++i) {
      Worker worker;
      worker.next_seed = first + static_cast<std::uint64_t>(i);
      workers_.push_back(std::move(worker));
    }
  }

  ~Search() {
    for (Worker& worker : workers_) kill_worker(worker);
  }
  Search(const Search&) = delete;
  Search& operator=(const Search&) = delete;

  SearchReport run(const Progress& progress, std::uint64_t total) {
    const auto began = std::chrono::steady_clock::now();
    for (Worker& worker : workers_) start(worker);
    while (std::any_of(workers_.begin(), workers_.end(), [](const Worker& w) { return !w.is_finished; })) {
      read_ready_workers();
      report_.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
      if (progress) progress(report_, total);
      if (max_broken_ > 0 && report_.broken.size() >= max_broken_) break;
    }
    for (Worker& worker : workers_) kill_worker(worker);
    std::sort(report_.broken.begin(), report_.broken.end(),
              [](const BrokenRun& a, const BrokenRun& b) { return a.seed < b.seed; });
    return report_;
  }

 private:
  void start(Worker& worker) {
    worker.is_finished = worker.next_seed > last_seed_;
    if (worker.is_finished) return;
    int pipe_fds[2];
    if (::pipe(pipe_fds) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
    std::fflush(nullptr);
    worker.pid = ::fork();
    if (worker.pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
    if (worker.pid == 0) {
      ::close(pipe_fds[0]);
      run_seeds(worker.next_seed, pipe_fds[1]);
      std::_Exit(0);
    }
    ::close(pipe_fds[1]);
    worker.output_fd = pipe_fds[0];
    worker.incomplete_line.clear();
    worker.is_running_seed = false;
  }

  // In the worker's process.
  void run_seeds(std::uint64_t first, int fd) const {
    network_simulation::Trace no_trace;
    Coverage coverage;
    std::uint64_t runs = 0;
    for (std::uint64_t seed = first; seed <= last_seed_; seed += seed_step_) {
      write_line(fd, run_begins, std::to_string(seed));
      ::alarm(run_timeout_s);
      const RunReport report = simulate(sample_scenario(scenario_, seed), no_trace);
      coverage.add(report.coverage);
      write_report(fd, report);
      if (++runs % runs_between_coverage_reports != 0) continue;
      write_line(fd, coverage_counts, coverage.serialize());
      coverage = Coverage();
    }
    write_line(fd, coverage_counts, coverage.serialize());
    write_line(fd, all_done, "");
  }

  void read_ready_workers() {
    std::vector<pollfd> polled;
    for (const Worker& worker : workers_) {
      if (!worker.is_finished) polled.push_back({worker.output_fd, POLLIN, 0});
    }
    ::poll(polled.data(), polled.size(), poll_timeout_ms);
    for (const pollfd& ready : polled) {
      if (ready.revents == 0) continue;
      read_output(*std::find_if(workers_.begin(), workers_.end(),
                                [&](const Worker& w) { return w.output_fd == ready.fd; }));
    }
  }

  void read_output(Worker& worker) {
    char buffer[65536];
    const ssize_t n = ::read(worker.output_fd, buffer, sizeof buffer);
    if (n < 0 && errno == EINTR) return;
    if (n > 0) worker.incomplete_line.append(buffer, static_cast<std::size_t>(n));
    std::size_t begin = 0;
    for (std::size_t end; (end = worker.incomplete_line.find('\n', begin)) != std::string::npos;
         begin = end + 1)
      handle_line(worker, worker.incomplete_line.substr(begin, end - begin));
    worker.incomplete_line.erase(0, begin);
    if (n <= 0) handle_exit(worker);
  }

  void handle_line(Worker& worker, const std::string& line) {
    const std::string text = line.size() > 2 ? line.substr(2) : "";
    switch (line.empty() ? ' ' : line[0]) {
      case run_begins:
        std::istringstream(text) >> worker.current_seed;
        worker.is_running_seed = true;
        worker.breaches.clear();
        break;
      case breach: worker.breaches.push_back(text); break;
      case run_done: handle_run_done(worker, text); break;
      case coverage_counts: report_.coverage.add_serialized(text); break;
      case all_done: worker.next_seed = last_seed_ + 1; break;
      default: break;
    }
  }

  void handle_run_done(Worker& worker, const std::string& text) {
    std::uint64_t seed = 0, breaches = 0, events = 0, calls = 0, dispatches = 0;
    double simulated_s = 0.0;
    std::istringstream(text) >> seed >> breaches >> events >> calls >> dispatches >> simulated_s;
    worker.is_running_seed = false;
    worker.next_seed = seed + seed_step_;
    ++report_.runs;
    report_.events += events;
    report_.calls += calls;
    report_.dispatches += dispatches;
    report_.simulated_s += simulated_s;
    if (breaches > 0) report_.broken.push_back({seed, worker.breaches});
  }

  // A process that ended amid a run has broken that run; its further seeds are run by a new process.
  void handle_exit(Worker& worker) {
    const int status = reap(worker);
    if (worker.is_running_seed) {
      ++report_.runs;
      worker.breaches.push_back(WIFSIGNALED(status)
                                    ? "rule 0: signal " + std::to_string(WTERMSIG(status))
                                    : "rule 0: exit status " + std::to_string(WEXITSTATUS(status)));
      report_.broken.push_back({worker.current_seed, worker.breaches});
      worker.next_seed = worker.current_seed + seed_step_;
    }
    start(worker);
  }

  int reap(Worker& worker) {
    int status = 0;
    rusage used{};
    ::close(worker.output_fd);
    while (::wait4(worker.pid, &status, 0, &used) < 0 && errno == EINTR) {
    }
    report_.cpu_s += seconds_of(used.ru_utime) + seconds_of(used.ru_stime);
    worker.pid = 0;
    worker.output_fd = -1;
    return status;
  }

  void kill_worker(Worker& worker) {
    if (worker.pid <= 0) return;
    ::kill(worker.pid, SIGKILL);
    reap(worker);
    worker.is_finished = true;
  }

  const Scenario& scenario_;
  std::uint64_t last_seed_, seed_step_;
  std::size_t max_broken_;
  std::vector<Worker> workers_;
  SearchReport report_;
};

}  // namespace

RunReport simulate_in_subprocess(const Scenario& scenario) {
  RunReport out;
  out.seed = scenario.experiment.seed;
  Scenario as_it_stands = scenario;
  as_it_stands.is_sampled = false;
  Search search_one(as_it_stands, out.seed, out.seed, 1, 0);
  const SearchReport result = search_one.run({}, 1);
  out.events = result.events;
  out.calls = result.calls;
  out.dispatches = result.dispatches;
  out.simulated_s = result.simulated_s;
  out.coverage = result.coverage;
  if (!result.broken.empty()) out.breaches = result.broken.front().breaches;
  out.breach_count = out.breaches.size();
  return out;
}

SearchReport search(const Scenario& scenario, std::uint64_t first, std::uint64_t last, int jobs,
                    std::size_t max_broken, const Progress& progress) {
  Search search_all(scenario, first, last, std::max(1, jobs), max_broken);
  return search_all.run(progress, last - first + 1);
}

}  // namespace chutevane::sidecar_simulation
