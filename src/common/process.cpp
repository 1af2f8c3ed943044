#include "common/process.hpp"

#include <arpa/inet.h>
#include <malloc.h>
#include <sys/stat.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <optional>
#include <system_error>

#include "common/http_server.hpp"
#include "common/log.hpp"
#include "net/signals.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::common {
namespace {

constexpr Span settings_check_interval = Span::ms(2000);  // a change of the file needs no signal
constexpr std::size_t max_metrics_body_bytes = 1024;      // limit for a request's body
constexpr double metrics_connection_fraction = 0.02;      // of the process's file descriptors
constexpr double buffer_budget_fraction = 0.45;           // of the process's memory
constexpr int mmap_threshold_bytes = 128 * 1024;

// Exit statuses.
constexpr int success = 0, output_failed = 1, bad_usage = 2, start_failed = 3;

/// Returns a string that changes whenever the file does, from its modification time and size. Empty if the
/// file does not exist.
std::string file_version(const std::string& path) {
  struct stat info {};
  if (::stat(path.c_str(), &info) != 0) return "";
  return std::to_string(info.st_mtim.tv_sec) + "." + std::to_string(info.st_mtim.tv_nsec) + "." +
         std::to_string(info.st_size);
}

/// Serves the metrics of the process and its plane at `GET /metrics`. If the port cannot be bound, the
/// process continues without it.
class MetricsServer {
 public:
  MetricsServer(net::Scheduler& scheduler, Plane& plane, const sockaddr_in& at, std::size_t descriptors)
      : plane_(plane),
        scheduler_(scheduler),
        server_(
            scheduler, "metrics",
            {.body_bytes = max_metrics_body_bytes,
             .connections = connections_of(descriptors, metrics_connection_fraction)},
            [this](const http::Parser& request, const HttpServer::Reply& reply) { serve(request, reply); }) {
    try {
      server_.listen(at);
    } catch (const std::system_error& e) {
      log_warning("metrics.not_served", net::text_of(at) + ": " + e.what());
    }
  }

 private:
  void serve(const http::Parser& request, const HttpServer::Reply& reply) {
    const std::string_view path = request.target().substr(0, request.target().find('?'));
    if (path != "/metrics") return reply({404, "", {}});
    if (request.method() != "GET") return reply({405, "", {}});
    MetricsWriter out;
    write_process_metrics(out);
    write_buffer_metrics(out, scheduler_.buffer_budget());
    std::vector<const ConnectionLimiter*> ports = plane_.ports();
    ports.push_back(&server_.connections());
    write_connection_metrics(out, ports);
    plane_.write_metrics(out);
    reply({200, std::move(out).finish(), {{"Content-Type", std::string(metrics_content_type)}}});
  }
  Plane& plane_;
  net::Scheduler& scheduler_;
  HttpServer server_;
};

sockaddr_in metrics_address(const Program& program, const ProcessSettings& settings) {
  if (settings.metrics) return *settings.metrics;
  sockaddr_in out = settings.internal_address(0);
  out.sin_port = htons(program.metrics_port);
  return out;
}

/// Handles signals and watches the settings file.
class LifecycleEvents {
 public:
  LifecycleEvents(net::Scheduler& scheduler, Plane& plane, std::string path, std::string node)
      : plane_(plane),
        path_(std::move(path)),
        node_(std::move(node)),
        timers_(scheduler),
        waker_(scheduler),
        signals_(scheduler, waker_, {SIGTERM, SIGINT, SIGHUP}),
        settings_version_(file_version(path_)),
        task_(handle_signals()) {
    task_.start();
    timers_.after(settings_check_interval, [this] { check_settings_file(); });
  }

 private:
  net::Task handle_signals() {
    while (true) {
      for (int signal = signals_.next(); signal != 0; signal = signals_.next()) on_signal(signal);
      co_await waker_.wait(net::Waker::readable);
    }
  }
  void on_signal(int signal) {
    if (signal == SIGHUP) return reload();
    log_info("process.leaving", signal == SIGTERM ? "SIGTERM" : "SIGINT");
    plane_.begin_shutdown();
  }
  void check_settings_file() {
    if (file_version(path_) != settings_version_) reload();
    timers_.after(settings_check_interval, [this] { check_settings_file(); });
  }
  /// Reloads the settings. Invalid settings are logged and have no effect.
  void reload() {
    settings_version_ = file_version(path_);
    const auto settings = load_settings(path_);
    if (!settings.ok()) {
      log_warning("settings.refused", std::string(settings.status().message()));
    } else if (settings->node != node_) {
      log_warning("settings.refused", "nodeName has changed, which requires a restart");
    } else {
      plane_.reload(*settings);
      log_info("settings.read", path_);
    }
  }
  Plane& plane_;
  const std::string path_;
  const std::string node_;
  net::TimerQueue timers_;
  net::Waker waker_;
  net::Signals signals_;
  std::string settings_version_;  // file_version() when the file was last read
  net::Task task_;
};

struct CommandLine {
  std::string settings_path;
  bool check = false;
  std::optional<int> exit_status;  // set if only the help or the version was printed
};

/// Throws an exception of cxxopts if the command line is invalid.
CommandLine parse_command_line(const Program& program, int argc, char** argv) {
  cxxopts::Options options(program.name, program.about);
  options.add_options()("settings", "path of the settings file (default: $CHUTEVANE_SETTINGS)",
                        cxxopts::value<std::string>())("check", "check the settings and exit")(
      "version", "print the version")("help", "print this help");
  const char* const variable = std::getenv(settings_variable);
  CommandLine out;
  out.settings_path = variable != nullptr && *variable != '\0' ? variable : settings_default;
  const auto given = options.parse(argc, argv);
  if (given.count("help") > 0) {
    out.exit_status = std::printf("%s", options.help().c_str()) < 0 ? output_failed : success;
  } else if (given.count("version") > 0) {
    const int printed = std::printf("%s %s\n", program.name.c_str(), CHUTEVANE_VERSION);
    out.exit_status = printed < 0 ? output_failed : success;
  }
  if (given.count("settings") > 0) out.settings_path = given["settings"].as<std::string>();
  out.check = given.count("check") > 0;
  return out;
}

/// Sets the budget for what peers make the process hold.
void limit_buffers(net::Scheduler& scheduler, const ProcessSettings& settings) {
  // A fixed threshold: large blocks go back to the system when they are freed, and grow without a copy.
  ::mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
  if (settings.memory_mb > 0)
    scheduler.buffer_budget().set_limit(
        static_cast<std::size_t>(settings.memory_mb * 1e6 * buffer_budget_fraction));
}

int run_plane(const Program& program, const std::string& settings_path, const ProcessSettings& settings,
              const MakePlane& make) {
  open_log(settings.node, program.name);
  net::Scheduler scheduler;
  if (settings.descriptors > 0) scheduler.system().descriptors(settings.descriptors);
  limit_buffers(scheduler, settings);
  const std::unique_ptr<Plane> plane = make(scheduler, settings);
  if (absl::Status opened = plane->open(); !opened.ok()) {
    log_event(Level::error, "process.start_failed", opened.ToString());
    return start_failed;
  }
  LifecycleEvents events(scheduler, *plane, settings_path, settings.node);
  const MetricsServer metrics(scheduler, *plane, metrics_address(program, settings), settings.descriptors);
  while (!plane->finished()) scheduler.turn();
  log_info("process.ended", "");
  return success;
}

}  // namespace

int run_process(const Program& program, int argc, char** argv, const MakePlane& make) {
  try {
    const CommandLine command = parse_command_line(program, argc, argv);
    if (command.exit_status) return *command.exit_status;
    const auto settings = load_settings(command.settings_path);
    if (!settings.ok()) {
      std::fprintf(stderr, "%s: %s\n", program.name.c_str(),
                   std::string(settings.status().message()).c_str());
      return bad_usage;
    }
    if (command.check)
      return std::printf("%s: good\n", command.settings_path.c_str()) < 0 ? output_failed : success;
    return run_plane(program, command.settings_path, *settings, make);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s: %s\n", program.name.c_str(), e.what());
    return bad_usage;
  }
}

}  // namespace chutevane::common
