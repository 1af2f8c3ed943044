#include "lab/tier/operators.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lab/tier/endpoint.hpp"
#include "lab/tier/load.hpp"

namespace chutevane::lab::tier {
namespace {

constexpr Span silent_most = Span::ms(1000);  // then another controller is asked
constexpr Span pause_first = Span::ms(100), pause_most = Span::ms(800);

}  // namespace

std::string mark_of(std::int64_t version) { return "/mark-" + std::to_string(version) + "/"; }

std::string configuration_text(std::int64_t version) {
  using nlohmann::json;
  const auto route = [](const char* name, const std::string& prefix, const char* type, const char* service) {
    return json{{"name", name},       {"host", host},      {"pathPrefix", prefix}, {"routeType", type},
                {"timeoutMs", 6000},  {"targetMs", 500},   {"priority", 1},        {"service", service},
                {"maxAttempts", 3},   {"retained", false}, {"retentionS", 60.0},   {"affinity", false},
                {"resumable", false}, {"gap_aim_ms", 400}};
  };
  json turns = route("r-turns", "/turns/", "streaming", "words");
  turns["retained"] = turns["affinity"] = true;
  json words{{"name", "words"},
             {"healthPath", "/health"},
             {"maxConnections", 200},
             {"protocol", "h1"},
             {"tls", false}};
  json tools = words;
  tools["name"] = "tools";
  words["engine"] = {{"capacity", 8},
                     {"kvCapacity", 90000},
                     {"kvTokenBytes", 131072},
                     {"linkMbps", 550000.0},
                     {"tokensPerEvent", tokens_per_event},
                     {"models", json::array({{{"name", "m"}}})}};
  json all;
  all["version"] = version;
  all["routes"] = {turns, route("r-tools", "/tools/", "idempotent", "tools"),
                   route("r-acts", "/acts/", "non_idempotent", "tools"),
                   route("r-mark", mark_of(version), "idempotent", "tools")};
  all["services"] = {words, tools};
  all["limits"] = {{"maxHeaderBytes", 16384},
                   {"maxBodyBytes", 4194304},
                   {"headerTimeoutMs", 3000},
                   {"idleTimeoutMs", 15000}};
  return all.dump();
}

OperatorStandIn::OperatorStandIn(net::Scheduler&, net::TimerQueue& later, Lines& lines, Auditor& auditor,
                                 std::vector<sockaddr_in> controllers)
    : timers_(later), lines_(lines), auditor_(auditor), controllers_(std::move(controllers)) {}

void OperatorStandIn::change(std::int64_t version, std::size_t first_to, std::function<void(Span)> taken) {
  busy_ = true;
  send(version, first_to, 0, timers_.now(), std::move(taken));
}

void OperatorStandIn::send(std::int64_t version, std::size_t to, int times, TimePoint since,
                           std::function<void(Span)> taken) {
  ++sent_;
  const sockaddr_in& at = controllers_[to % controllers_.size()];
  std::string text = request_text(
      "POST", "/v1/Configuration.Replace", net::text_of(at),
      {{"X-Chutevane-Base-Version", std::to_string(acknowledged_)}, {"Content-Type", "application/json"}},
      configuration_text(version));
  Errand::run(lines_, timers_, at, std::move(text), silent_most, [=, this](const Errand::Got& got) {
    if (got.whole && got.status == 200) {
      acknowledged_ = version;
      busy_ = false;
      return taken(timers_.now() - since);
    }
    // Nobody else changes it: no answer but 200 is final.
    if (got.whole && got.status / 100 == 4 && got.status != 408 && got.status != 429)
      auditor_.breach(Check::configuration, "version " + std::to_string(version) + ": " +
                                                std::to_string(got.status) + " " + got.body);
    const Span pause = std::min(pause_most, pause_first * static_cast<double>(1 << std::min(times, 4)));
    timers_.after(pause, [=, this] { send(version, to + 1, times + 1, since, taken); });
  });
}

void OperatorStandIn::read_back(Span most, std::function<void()> done) {
  const auto left = std::make_shared<std::size_t>(controllers_.size());
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    read(i, timers_.now() + most, [left, done] {
      if (--*left == 0) done();
    });
  }
}

void OperatorStandIn::read(std::size_t controller, TimePoint until, std::function<void()> done) {
  const sockaddr_in& at = controllers_[controller];
  Errand::run(
      lines_, timers_, at, request_text("GET", "/v1/Configuration.Retrieve", net::text_of(at), {}, ""),
      silent_most, [=, this](const Errand::Got& got) {
        if (got.whole && got.status == 200 && got.body == configuration_text(acknowledged_)) return done();
        // A controller that answers has to answer with the newest: no second chance for an older one.
        if (got.whole && got.status == 200) {
          auditor_.breach(Check::configuration, "read back from controller " + std::to_string(controller) +
                                                    ", not version " + std::to_string(acknowledged_) + ": " +
                                                    got.body.substr(0, 60));
          return done();
        }
        if (timers_.now() > until) {
          auditor_.breach(Check::configuration,
                          "controller " + std::to_string(controller) + " does not give back version " +
                              std::to_string(acknowledged_) + ": " + std::to_string(got.status));
          return done();
        }
        timers_.after(pause_first, [=, this] { read(controller, until, done); });
      });
}

}  // namespace chutevane::lab::tier
