#include "common/process.hpp"

#include <arpa/inet.h>
#include <sys/stat.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <system_error>

#include "common/http_server.hpp"
#include "common/log.hpp"
#include "net/signals.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::common {
namespace {

constexpr Span look_every = Span::ms(2000);  // at the settings file, which may change without a signal

constexpr std::size_t metrics_body_most = 1024;  // bytes of a request for figures

std::string stamp_of(const std::string& path) {
  struct stat info {};
  if (::stat(path.c_str(), &info) != 0) return "";
  return std::to_string(info.st_mtim.tv_sec) + "." + std::to_string(info.st_mtim.tv_nsec) + "." +
         std::to_string(info.st_size);
}

// Answers `GET /metrics` with the figures of process and plane. A port that is taken costs the figures alone.
class MetricsPort {
 public:
  MetricsPort(net::Scheduler& scheduler, Plane& plane, const sockaddr_in& at)
      : plane_(plane),
        port_(scheduler, metrics_body_most, [this](const http::Parser& request, HttpServer::Reply reply) {
          serve(request, std::move(reply));
        }) {
    try {
      port_.listen(at);
    } catch (const std::system_error& e) {
      log_warning("metrics.not_served", net::text_of(at) + ": " + e.what());
    }
  }

 private:
  void serve(const http::Parser& request, HttpServer::Reply reply) {
    const std::string_view path = request.target().substr(0, request.target().find('?'));
    if (path != "/metrics") return reply({404, "", {}});
    if (request.method() != "GET") return reply({405, "", {}});
    MetricsWriter out;
    write_process_metrics(out);
    plane_.write_metrics(out);
    reply({200, std::move(out).finish(), {{"Content-Type", std::string(metrics_content_type)}}});
  }
  Plane& plane_;
  HttpServer port_;
};

sockaddr_in metrics_address(const Program& program, const ProcessSettings& settings) {
  if (settings.metrics) return *settings.metrics;
  sockaddr_in out = settings.internal_address(0);
  out.sin_port = htons(program.metrics_port);
  return out;
}

class Loop {
 public:
  Loop(net::Scheduler& scheduler, Plane& plane, std::string path, std::string node)
      : plane_(plane),
        path_(std::move(path)),
        node_(std::move(node)),
        timers_(scheduler),
        waker_(scheduler),
        signals_(scheduler, waker_, {SIGTERM, SIGINT, SIGHUP}),
        stamp_(stamp_of(path_)),
        task_(hear()) {
    task_.start();
    timers_.after(look_every, [this] { look(); });
  }

 private:
  net::Task hear() {
    while (true) {
      for (int n = signals_.next(); n != 0; n = signals_.next()) {
        if (n == SIGHUP) {
          reload();
        } else {
          log_info("process.leaving", n == SIGTERM ? "SIGTERM" : "SIGINT");
          plane_.begin_shutdown();
        }
      }
      co_await waker_.wait(net::Waker::readable);
    }
  }
  void look() {
    if (stamp_of(path_) != stamp_) reload();
    timers_.after(look_every, [this] { look(); });
  }
  // A bad file changes nothing: what runs stays.
  void reload() {
    stamp_ = stamp_of(path_);
    const auto settings = load_settings(path_);
    if (!settings.ok()) {
      log_warning("settings.refused", std::string(settings.status().message()));
    } else if (settings->node != node_) {
      log_warning("settings.refused", "nodeName has changed: that needs a new start");
    } else {
      plane_.reload(*settings);
      log_info("settings.read", path_);
    }
  }
  Plane& plane_;
  const std::string path_, node_;
  net::TimerQueue timers_;
  net::Waker waker_;
  net::Signals signals_;
  std::string stamp_;
  net::Task task_;
};

}  // namespace

int run_process(const Program& program, int argc, char** argv, const MakePlane& make) {
  cxxopts::Options options(program.name, program.about);
  options.add_options()("settings", "the settings file; else $CHUTEVANE_SETTINGS",
                        cxxopts::value<std::string>())("check", "read and check the settings, and end")(
      "version", "print the version")("help", "print this");
  const char* const named = std::getenv(settings_variable);
  std::string path = named != nullptr && *named != '\0' ? named : settings_default;
  try {
    const auto given = options.parse(argc, argv);
    if (given.count("help") > 0) return std::printf("%s", options.help().c_str()) < 0 ? 1 : 0;
    if (given.count("version") > 0)
      return std::printf("%s %s\n", program.name.c_str(), CHUTEVANE_VERSION) < 0 ? 1 : 0;
    if (given.count("settings") > 0) path = given["settings"].as<std::string>();
    const auto settings = load_settings(path);
    if (!settings.ok()) {
      std::fprintf(stderr, "%s: %s\n", program.name.c_str(),
                   std::string(settings.status().message()).c_str());
      return 2;
    }
    if (given.count("check") > 0) return std::printf("%s: good\n", path.c_str()) < 0 ? 1 : 0;
    open_log(settings->node, program.name);
    net::Scheduler scheduler;
    if (settings->descriptors > 0) scheduler.system().descriptors(settings->descriptors);
    const std::unique_ptr<Plane> plane = make(scheduler, *settings);
    if (absl::Status s = plane->open(); !s.ok()) {
      log_event(Level::error, "process.start_failed", s.ToString());
      return 3;
    }
    Loop loop(scheduler, *plane, path, settings->node);
    const MetricsPort metrics(scheduler, *plane, metrics_address(program, *settings));
    while (!plane->finished()) scheduler.turn();
    log_info("process.ended", "");
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s: %s\n", program.name.c_str(), e.what());
    return 2;
  }
}

}  // namespace chutevane::common
