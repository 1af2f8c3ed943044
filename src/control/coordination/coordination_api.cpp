/// Implements CoordinationApi: responses, requests, metrics and log lines.
#include "control/coordination/coordination_api.hpp"

#include <xxhash.h>

#include <utility>

#include "control/coordination/coordination_status.hpp"
#include "json/value.hpp"

namespace chutevane::control::coordination {
namespace {

using common::HttpResponse;
using common::HttpServer;

constexpr std::string_view retry_after = "Retry-After";
constexpr std::string_view short_retry_delay =
    "0.1";  // seconds; another controller may serve the call immediately

HttpResponse error_response(int status, const std::string& cause) {
  json::Writer out;
  out.open('{').key("cause").text(cause).close('}');
  return {status, out.result(), {}};
}

HttpResponse retryable_error_response(int status, const std::string& cause) {
  HttpResponse out = error_response(status, cause);
  out.fields.emplace_back(retry_after, short_retry_delay);
  return out;
}

HttpResponse number_response(int status, std::string_view key, std::int64_t number) {
  json::Writer out;
  out.open('{').key(key).number(static_cast<std::uint64_t>(number)).close('}');
  return {status, out.result(), {}};
}

HttpResponse done_response(Operation operation, const Answer& answer) {
  switch (operation) {
    case Operation::acquire_lock: return number_response(200, "fence", answer.number);
    case Operation::renew_lock:
    case Operation::release_lock: return {200, "{}", {}};
    case Operation::next_number: return number_response(200, "value", answer.number);
    case Operation::put_key:
    case Operation::get_group_revision: return number_response(200, "revision", answer.number);
    case Operation::get_key: break;
  }
  json::Writer out;
  out.open('{').key("value").text(answer.value);
  out.key("revision").number(static_cast<std::uint64_t>(answer.number)).close('}');
  return {200, out.result(), {}};
}

/// Returns the response to a watcher that asks only for the current revision.
HttpResponse current_revision_response(std::int64_t revision) {
  json::Writer out;
  out.open('{').key("events").open('[').close(']');
  out.key("revision").number(static_cast<std::uint64_t>(revision)).close('}');
  return {200, out.result(), {}};
}

HttpResponse unavailable_response() {
  return retryable_error_response(503, "nothing was done: ask another controller");
}

}  // namespace

HttpResponse response_to(Operation operation, const Answer& answer) {
  switch (answer.outcome) {
    case Outcome::done: return done_response(operation, answer);
    case Outcome::held_by_other: return error_response(409, "another holds it");
    case Outcome::revision_mismatch: return number_response(412, "revision", answer.number);
    case Outcome::not_found: return error_response(404, "no such key");
    case Outcome::limit_reached:
      return retryable_error_response(429, "nothing was done: too many calls or names");
    case Outcome::unavailable:
    case Outcome::declined: return unavailable_response();
    case Outcome::undetermined: break;
  }
  return error_response(504, "not known whether it has taken effect: send it again unchanged");
}

CoordinationApi::CoordinationApi(net::TimerQueue& timers, CoordinationService& service, std::uint64_t seed)
    : timers_(timers), service_(service), watch_hub_(timers), seed_(seed) {
  service_.on_state_changed([this] { watch_hub_.on_state(*service_.known_state()); });
}

void CoordinationApi::serve(const http::Parser& request, const HttpServer::Reply& reply) {
  common::Findings findings;
  std::optional<CoordinationRequest> parsed = read_coordination_request(request, findings);
  if (!parsed) {
    ++invalid_count_;
    if (findings.none()) return reply(error_response(405, "no such method for this target"));
    return reply(error_response(400, findings.text()));
  }
  if (const auto* const watch = std::get_if<WatchRequest>(&*parsed)) return serve_watch(*watch, reply);
  serve_call(std::get<Call>(*std::move(parsed)), reply);
}

void CoordinationApi::serve_call(Call call, const HttpServer::Reply& reply) {
  ++call_count_;
  call.id = XXH3_64bits_withSeed(&call_count_, sizeof call_count_, seed_);
  service_.call(call, [this, call, reply, started_at = timers_.now()](const Answer& answer) {
    record(call, answer, started_at);
    reply(response_to(call.operation, answer));
  });
}

void CoordinationApi::serve_watch(const WatchRequest& request, const HttpServer::Reply& reply) {
  if (is_shutting_down_ || !service_.is_available()) return reply(unavailable_response());
  if (request.after > 0) return watch_hub_.add(request, *service_.known_state(), reply);
  Call call;
  call.operation = Operation::get_group_revision;
  call.name = request.group;
  service_.call(call, [this, call, reply, started_at = timers_.now()](const Answer& answer) {
    record(call, answer, started_at);
    if (answer.outcome == Outcome::done) return reply(current_revision_response(answer.number));
    reply(response_to(call.operation, answer));
  });
}

void CoordinationApi::serve_status(const http::Parser& request, const std::string& node,
                                   const HttpServer::Reply& reply) const {
  if (request.method() != "GET") return reply(error_response(405, "no such method for this target"));
  const Register& reg = service_.state_register();
  CoordinationStatus status;
  status.node = node;
  status.proposer = service_.current_proposer();
  status.is_available = service_.is_available();
  status.queue_length = service_.queue_length();
  status.watcher_count = watch_hub_.size();
  status.epoch = reg.epoch_value();
  status.known_number = reg.known_value() ? reg.known_value()->number : 0;
  status.state_bytes = reg.known_value() ? reg.known_value()->config.data.size() : 0;
  status.known_state = service_.known_state();
  reply({200, coordination_status_json(status), {}});
}

void CoordinationApi::tick() {
  if (!service_.is_available()) watch_hub_.release_all(unavailable_response());
}

void CoordinationApi::begin_shutdown() {
  is_shutting_down_ = true;
  watch_hub_.release_all(unavailable_response());
}

// ---- Metrics and log

void CoordinationApi::record(const Call& call, const Answer& answer, TimePoint started_at) {
  ++counts_[{call.operation, answer.outcome}];
  call_seconds_ += (timers_.now() - started_at).as_ms() / 1000;
  const bool is_failure = answer.outcome == Outcome::limit_reached ||
                          answer.outcome == Outcome::unavailable || answer.outcome == Outcome::undetermined;
  if (!is_failure || !failure_log_.admits(timers_.now())) return;
  const Register& reg = service_.state_register();
  failure_log_.line("operation=" + std::string(name_of(call.operation)) + " name=" + call.name +
                    " outcome=" + std::string(name_of(answer.outcome)) + " epoch=" +
                    std::to_string(reg.epoch_value().epoch) + " proposer=" + service_.current_proposer() +
                    " queue=" + std::to_string(service_.queue_length()));
}

void CoordinationApi::write_metrics(common::MetricsWriter& out) const {
  out.begin(common::MetricsWriter::Type::counter, "chutevane_coordination_calls", "",
            "Calls for locks, numbers and keys, by what became of them.");
  for (const auto& [count, number] : counts_)
    out.sample(static_cast<double>(number),
               {{"operation", name_of(count.operation)}, {"outcome", name_of(count.outcome)}});
  out.counter("chutevane_coordination_invalid_requests", "", "Requests that were malformed.",
              static_cast<double>(invalid_count_));
  out.counter("chutevane_coordination_call_seconds", "seconds",
              "Time from calls to their answers, summed up.", call_seconds_);
  out.counter("chutevane_coordination_forwarded_calls", "", "Calls passed on to the proposing controller.",
              static_cast<double>(service_.forwarded_count()));
  out.counter("chutevane_coordination_forward_failures", "", "Of these, those without an answer in time.",
              static_cast<double>(service_.forward_failure_count()));
  out.counter("chutevane_coordination_declined_calls", "", "Forwarded calls that came too late to be begun.",
              static_cast<double>(service_.stale_call_count()));
  out.counter("chutevane_coordination_batches", "", "Changes and reads of the register, each for many calls.",
              static_cast<double>(service_.batch_count()));
  out.gauge("chutevane_coordination_queue", "", "Calls that wait for their batch here.",
            static_cast<double>(service_.queue_length()));
  out.gauge("chutevane_coordination_watchers", "", "Clients that wait for puts here.",
            static_cast<double>(watch_hub_.size()));
  const Register& reg = service_.state_register();
  out.gauge("chutevane_coordination_number", "", "Number of the newest state known to be chosen.",
            static_cast<double>(reg.known_value() ? reg.known_value()->number : 0));
  out.gauge("chutevane_coordination_epoch", "", "Epoch of the newest set of its acceptors known.",
            static_cast<double>(reg.epoch_value().epoch));
  out.gauge("chutevane_coordination_state_bytes", "bytes", "Size of the newest state known.",
            static_cast<double>(reg.known_value() ? reg.known_value()->config.data.size() : 0));
}

}  // namespace chutevane::control::coordination
