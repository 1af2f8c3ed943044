#include "lab/tier/operators.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lab/tier/endpoint.hpp"
#include "lab/tier/lingering_conversations.hpp"
#include "lab/tier/load.hpp"

namespace chutevane::lab::tier {
namespace {

constexpr Span silent_most = Span::ms(1000);  // then another controller is asked
constexpr Span pause_first = Span::ms(100), pause_most = Span::ms(800);
// A majority of the acceptors that was in contact for 2 s answers; a process takes up to a second to start.
constexpr Span calm_before_judging = Span::ms(3000);
constexpr Span lab_lateness_limit = Span::ms(200);  // beyond it the lab itself was late, and judges nothing
constexpr std::size_t reads_per_status = 8;
constexpr int not_found = 404;
constexpr int taken = 200, superseded = 412;

}  // namespace

std::string mark_of(std::int64_t version) { return "/mark-" + std::to_string(version) + "/"; }

std::string configuration_text(std::int64_t version, int variant, bool with_lingering) {
  using nlohmann::json;
  const auto route = [](const char* name, const std::string& prefix, const char* type, const char* service) {
    return json{{"name", name},       {"host", host},      {"pathPrefix", prefix}, {"routeType", type},
                {"timeoutMs", 6000},  {"targetMs", 500},   {"priority", 1},        {"service", service},
                {"maxAttempts", 3},   {"retained", false}, {"retentionS", 60.0},   {"affinity", false},
                {"resumable", false}, {"gap_aim_ms", 400}};
  };
  json turns = route("r-turns", "/turns/", "streaming", "words");
  turns["retained"] = turns["affinity"] = true;
  turns["targetMs"] = 500 + variant;
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
  if (with_lingering) {
    json lingering = route("r-lingering", lingering_path, "streaming", "words");
    lingering["retained"] = lingering["affinity"] = true;
    lingering["retentionS"] = lingering_retention.as_ms() / 1000;
    all["routes"].push_back(lingering);
  }
  all["services"] = {words, tools};
  all["limits"] = {{"maxHeaderBytes", 16384},
                   {"maxBodyBytes", 4194304},
                   {"headerTimeoutMs", 3000},
                   {"idleTimeoutMs", 15000}};
  return all.dump();
}

OperatorStandIn::OperatorStandIn(net::Scheduler&, net::TimerQueue& later, HttpConnector& lines,
                                 Auditor& auditor, std::vector<sockaddr_in> controllers, std::uint64_t seed)
    : timers_(later),
      lines_(lines),
      auditor_(auditor),
      controllers_(std::move(controllers)),
      chance_(seed, "operators") {}

void OperatorStandIn::change(std::int64_t version, std::size_t first_to, std::function<void(Span)> done) {
  busy_ = true;
  Order order{acknowledged_, version, configuration_text(version, 0, true), first_to, 0, {}};
  order.done = [this, order, since = timers_.now(), done = std::move(done)](int status) {
    busy_ = false;
    // Nobody else changes it: nothing but 200 is right.
    if (status != taken)
      auditor_.report_violation(Rule::configuration,
                                "version " + std::to_string(order.version) + ": " + std::to_string(status));
    if (status == taken) acknowledge(order);
    done(timers_.now() - since);
  };
  send(std::move(order));
}

void OperatorStandIn::race(std::int64_t version, std::size_t first_to, const std::function<void()>& over) {
  busy_ = true;
  struct Race {
    std::size_t open = 2, won = 0;
  };
  const auto race = std::make_shared<Race>();
  for (int variant = 0; variant < 2; ++variant) {
    Order order{acknowledged_,
                version,
                configuration_text(version, variant, true),
                first_to + static_cast<std::size_t>(variant),
                0,
                {}};
    order.done = [this, order, race, over](int status) {
      race->won += status == taken ? 1 : 0;
      if (status == taken) acknowledge(order);
      if (--race->open > 0) return;
      busy_ = false;
      if (race->won != 1)
        auditor_.report_violation(Rule::configuration, "of two orders of version " +
                                                           std::to_string(order.version) + " on " +
                                                           std::to_string(order.base) + " " +
                                                           std::to_string(race->won) + " were taken");
      over();
    };
    send(std::move(order));
  }
}

void OperatorStandIn::acknowledge(const Order& order) {
  acknowledged_ = order.version;
  acknowledged_text_ = order.text;
}

void OperatorStandIn::send(Order order) {
  ++sent_;
  texts_[order.version].insert(order.text);
  const sockaddr_in& at = controllers_[order.to % controllers_.size()];
  std::string text = request_text(
      "POST", "/v1/Configuration.Replace", net::text_of(at),
      {{"X-Chutevane-Base-Version", std::to_string(order.base)}, {"Content-Type", "application/json"}},
      order.text);
  BufferedRequest::run(
      lines_, timers_, at, std::move(text), silent_most,
      [this, order = std::move(order)](const BufferedRequest::Result& got) mutable {
        const bool lost = chance_.one_in(lost_part_);
        if (got.whole && !lost && (got.status == taken || got.status == superseded))
          return order.done(got.status);
        if (got.whole && got.status / 100 == 4 && got.status != superseded && got.status != 408 &&
            got.status != 429)
          auditor_.report_violation(Rule::configuration, "version " + std::to_string(order.version) + ": " +
                                                             std::to_string(got.status) + " " + got.body);
        const Span pause =
            std::min(pause_most, pause_first * static_cast<double>(1 << std::min(order.times, 4)));
        ++order.to;
        ++order.times;
        timers_.after(pause, [this, order = std::move(order)]() mutable { send(std::move(order)); });
      });
}

void OperatorStandIn::keep_reading(Span every, std::function<TimePoint()> calm_since) {
  reading_ = true;
  calm_since_ = std::move(calm_since);
  read_every_ = every;
  read_once();
}

void OperatorStandIn::read_once() {
  if (!reading_) return;
  const std::size_t controller = read_next_++ % controllers_.size();
  if (read_next_ % reads_per_status == 0) ask_status(controller);
  const sockaddr_in& at = controllers_[controller];
  if (has_been_calm(calm_before_judging)) ++calm_reads_;
  BufferedRequest::run(
      lines_, timers_, at, request_text("GET", "/v1/Configuration.Retrieve", net::text_of(at), {}, ""),
      silent_most,
      [this, controller, least = acknowledged_, asked = timers_.now()](const BufferedRequest::Result& got) {
        if (got.whole && got.status == 200) return judge_read(controller, least, got.body);
        // A 5xx or silence: it is not sure, which is no breach amid faults.
        if (!got.whole || got.status != not_found)
          judge_silence(controller, asked, got.whole ? got.status : 0);
      });
  timers_.after(read_every_, [this] { read_once(); });
}

void OperatorStandIn::judge_silence(std::size_t controller, TimePoint asked, int status) {
  const Span elapsed = timers_.now() - asked;
  if (!has_been_calm(calm_before_judging + elapsed) || elapsed > silent_most + lab_lateness_limit) return;
  auditor_.report_violation(Rule::configuration,
                            "controller " + std::to_string(controller + 1) +
                                " answers no read in calm times: " + std::to_string(status));
}

void OperatorStandIn::ask_status(std::size_t controller) {
  const sockaddr_in& at = controllers_[controller];
  BufferedRequest::run(lines_, timers_, at,
                       request_text("GET", "/v1/Status.Retrieve", net::text_of(at), {}, ""), silent_most,
                       [this, controller](const BufferedRequest::Result& got) {
                         if (got.whole && got.status == taken) judge_status(controller, got.body);
                       });
}

void OperatorStandIn::judge_status(std::size_t controller, const std::string& body) {
  if (!has_been_calm(calm_before_judging)) return;
  const auto status = nlohmann::json::parse(body, nullptr, false);
  const auto non_voting =
      status.is_object() ? status.value("notVoting", nlohmann::json::array()) : nlohmann::json();
  if (non_voting.is_array() && non_voting.empty()) return;
  auditor_.report_violation(Rule::configuration,
                            "controller " + std::to_string(controller + 1) +
                                " says in calm times who does not vote: " + non_voting.dump());
}

void OperatorStandIn::judge_read(std::size_t controller, std::int64_t least, const std::string& body) {
  ++reads_;
  const auto read = nlohmann::json::parse(body, nullptr, false);
  const std::int64_t version = read.is_object() ? read.value("version", std::int64_t{0}) : 0;
  const auto sent = texts_.find(version);
  if (sent != texts_.end() && sent->second.contains(body) && version >= least) return;
  auditor_.report_violation(Rule::configuration, "controller " + std::to_string(controller + 1) +
                                                     " shows version " + std::to_string(version) + " after " +
                                                     std::to_string(least) + " was acknowledged");
}

void OperatorStandIn::read_back(Span most, const std::function<void()>& done) {
  const auto left = std::make_shared<std::size_t>(controllers_.size());
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    read(i, timers_.now() + most, [left, done] {
      if (--*left == 0) done();
    });
  }
}

void OperatorStandIn::read(std::size_t controller, TimePoint until, const std::function<void()>& done) {
  const sockaddr_in& at = controllers_[controller];
  BufferedRequest::run(lines_, timers_, at,
                       request_text("GET", "/v1/Configuration.Retrieve", net::text_of(at), {}, ""),
                       silent_most, [=, this](const BufferedRequest::Result& got) {
                         if (got.whole && got.status == 200 && got.body == acknowledged_text_) return done();
                         // A controller that answers has to answer with the newest: no second chance for an
                         // older one.
                         if (got.whole && got.status == 200) {
                           auditor_.report_violation(
                               Rule::configuration,
                               "read back from controller " + std::to_string(controller) + ", not version " +
                                   std::to_string(acknowledged_) + ": " + got.body.substr(0, 60));
                           return done();
                         }
                         if (timers_.now() > until) {
                           auditor_.report_violation(
                               Rule::configuration,
                               "controller " + std::to_string(controller) + " does not give back version " +
                                   std::to_string(acknowledged_) + ": " + std::to_string(got.status));
                           return done();
                         }
                         timers_.after(pause_first, [=, this] { read(controller, until, done); });
                       });
}

}  // namespace chutevane::lab::tier
