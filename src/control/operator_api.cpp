#include "control/operator_api.hpp"

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>

#include "common/configuration.hpp"
#include "common/log.hpp"
#include "control/retirement.hpp"
#include "json/value.hpp"

namespace chutevane::control {
namespace {

using common::HttpResponse;
using common::HttpServer;
using common::RegisterValue;

// Both are well below the callers' timeout (`ackMs`), so that a caller gets 503 instead of a timeout.
constexpr Span submission_timeout = Span::ms(3000);
constexpr Span operation_timeout = Span::ms(2500);

constexpr std::string_view base_version_field = "X-Chutevane-Base-Version";

HttpResponse error_response(int status, const std::string& cause) {
  json::Writer out;
  out.open('{').key("cause").text(cause).close('}');
  return {status, out.result(), {}};
}

HttpResponse undetermined_response() {
  HttpResponse out = error_response(503, "not known yet whether it is taken: send it again unchanged");
  out.fields.emplace_back("Retry-After", "0.2");
  return out;
}

/// Returns a response with all findings and their places in the configuration.
HttpResponse invalid_response(const common::Findings& findings) {
  json::Writer out;
  out.open('{').key("cause").text(findings.text()).key("findings").open('[');
  for (const common::Finding& finding : findings.list())
    out.open('{').key("place").text(finding.place).key("what").text(finding.what).close('}');
  out.close(']').close('}');
  return {400, out.result(), {}};
}

HttpResponse retirement_response(bool completed) {
  return {200, completed ? "{\"state\":\"completed\"}" : "{\"state\":\"active\"}", {}};
}

std::string describe_current(const RegisterValue& current) {
  return "version " + std::to_string(current.config_version) + " is current";
}

std::string history_json(const RegisterValue& value) {
  json::Writer out;
  out.open('{').key("version").number(static_cast<std::uint64_t>(value.config_version));
  out.key("taken").open('[');
  for (const common::AppliedConfiguration& applied : value.applied_configurations) {
    out.open('{').key("version").number(static_cast<std::uint64_t>(applied.version));
    // As a string, since JSON numbers may lose the last digits of a hash.
    out.key("hash").text(common::hash_text(static_cast<std::uint64_t>(applied.hash))).close('}');
  }
  out.close(']').close('}');
  return out.result();
}

/// Returns the base version that the request names. If it is missing or malformed, adds a finding and returns
/// std::nullopt.
std::optional<std::int64_t> parse_base_version(const http::Parser& request, common::Findings& findings) {
  const auto text = request.find(base_version_field);
  if (!text) {
    findings.add(std::string(base_version_field), "missing");
    return std::nullopt;
  }
  std::int64_t base = -1;
  const char* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, base);
  if (parsed.ec == std::errc() && parsed.ptr == end && base >= 0) return base;
  findings.add(std::string(base_version_field), "not a version");
  return std::nullopt;
}

}  // namespace

OperatorApi::OperatorApi(Register& reg, Host& host, std::size_t losses, std::size_t history_limit)
    : register_(reg), host_(host), losses_(losses), history_limit_(history_limit) {}

void OperatorApi::serve(const http::Parser& request, HttpServer::Reply reply) {
  constexpr std::string_view initiate_retire = "/v1/Retire.Initiate/",
                             retrieve_retire = "/v1/Retire.Retrieve/";
  const std::string_view target = request.target();
  const std::string_view path = target.substr(0, target.find('?'));
  const auto node_after = [&](std::string_view prefix) { return std::string(path.substr(prefix.size())); };
  const bool is_get = request.method() == "GET";
  const bool is_post = request.method() == "POST";
  if (is_post && path == "/v1/Configuration.Replace") return replace_configuration(request, std::move(reply));
  if (is_get && path == "/v1/Configuration.Retrieve") return retrieve_configuration(reply);
  if (is_get && path == "/v1/Configuration.History") return retrieve_history(reply);
  if (is_post && path.starts_with(initiate_retire))
    return initiate_retirement(node_after(initiate_retire), reply);
  if (is_get && path.starts_with(retrieve_retire))
    return retrieve_retirement(node_after(retrieve_retire), reply);
  if (is_get && path == "/v1/Status.Retrieve")
    return reply({200, status_json(host_.status(), register_, host_.members()), {}});
  reject_unknown_call(request, reply);
}

void OperatorApi::reject_unknown_call(const http::Parser& request, const HttpServer::Reply& reply) {
  ++unknown_calls_;
  if (unknown_call_log_.admits(host_.status().now))
    unknown_call_log_.line(std::string(request.method()) + " " + std::string(request.target()));
  reply(error_response(404, "no such call"));
}

// ---- Configurations

void OperatorApi::replace_configuration(const http::Parser& request, HttpServer::Reply reply) {
  common::Findings findings;
  ConfigurationSubmission submission;
  submission.base = parse_base_version(request, findings).value_or(-1);
  submission.body = request.body();
  submission.hash = static_cast<std::int64_t>(common::hash_of(submission.body));
  const auto configuration = common::read_configuration(submission.body, findings);
  if (configuration && findings.none() && configuration->version <= submission.base)
    findings.add("version", std::to_string(configuration->version) + " is not above its base");
  if (!findings.none() || !configuration) {
    record(Outcome::invalid, submission, findings.text());
    return reply(invalid_response(findings));
  }
  submission.version = configuration->version;
  submit(std::move(submission), std::move(reply));
}

void OperatorApi::submit(ConfigurationSubmission submission, HttpServer::Reply reply) {
  const auto shared = std::make_shared<const ConfigurationSubmission>(std::move(submission));
  register_.change(
      [shared, limit = history_limit_](const RegisterValue& current) -> std::optional<RegisterValue> {
        if (evaluate(current, *shared, limit) != SubmissionStatus::applicable) return std::nullopt;
        return apply_submission(current, *shared, limit);
      },
      submission_timeout,
      [this, shared, reply = std::move(reply)](const absl::StatusOr<RegisterValue>& chosen) {
        answer_submission(*shared, chosen, reply);
      });
}

void OperatorApi::answer_submission(const ConfigurationSubmission& submission,
                                    const absl::StatusOr<RegisterValue>& chosen,
                                    const HttpServer::Reply& reply) {
  if (!chosen.ok()) {
    record(Outcome::undetermined, submission, chosen.status().ToString());
    return reply(undetermined_response());
  }
  const std::string current = describe_current(*chosen);
  switch (evaluate(*chosen, submission, history_limit_)) {
    case SubmissionStatus::accepted:
      record(Outcome::accepted, submission, current);
      return answer_when_acknowledged(*chosen, submission.version, reply);
    case SubmissionStatus::superseded:
      record(Outcome::superseded, submission, current);
      return reply(error_response(412, current));
    case SubmissionStatus::not_above_base:
      record(Outcome::invalid, submission, "not above its base");
      return reply(error_response(400, "version: not above its base"));
    case SubmissionStatus::applicable:
    case SubmissionStatus::undetermined:
      record(Outcome::undetermined, submission, current);
      return reply(undetermined_response());
  }
}

void OperatorApi::answer_when_acknowledged(const RegisterValue& chosen, std::int64_t version,
                                           const HttpServer::Reply& reply) {
  common::log_info("config.taken",
                   "version " + std::to_string(version) + ", number " + std::to_string(chosen.number));
  host_.announce(chosen);
  json::Writer out;
  out.open('{').key("version").number(static_cast<std::uint64_t>(version)).close('}');
  host_.notify_when_acknowledged(chosen.number, [reply, body = out.result()] { reply({200, body, {}}); });
}

void OperatorApi::retrieve_configuration(const HttpServer::Reply& reply) {
  register_.read(operation_timeout, [this, reply](absl::StatusOr<RegisterValue> value) {
    if (!value.ok()) {
      record(Outcome::read_undetermined, {}, value.status().ToString());
      return reply(undetermined_response());
    }
    record(Outcome::read, {}, "");
    if (value->config_version == 0) return reply(error_response(404, "no configuration was taken yet"));
    const std::string version = std::to_string(value->config_version);
    reply({200, value->config.data, {{std::string(base_version_field), version}}});
  });
}

void OperatorApi::retrieve_history(const HttpServer::Reply& reply) {
  register_.read(operation_timeout, [reply](absl::StatusOr<RegisterValue> value) {
    if (!value.ok()) return reply(undetermined_response());
    reply({200, history_json(*value), {}});
  });
}

// ---- Retirements

void OperatorApi::initiate_retirement(const std::string& node, const HttpServer::Reply& reply) {
  register_.change(
      [this, node](const RegisterValue& current) -> std::optional<RegisterValue> {
        RegisterValue next = current;
        if (request_retirement(next, node, losses_) != RetirementOutcome::accepted) return std::nullopt;
        return next;
      },
      operation_timeout,
      [this, reply, node](absl::StatusOr<RegisterValue> value) {
        if (!value.ok()) return reply(undetermined_response());
        // An accepted request remains in the value, whatever is decided after it.
        if (find_retirement(*value, node) != nullptr) {
          host_.announce(*value);
          return reply(retirement_response(false));
        }
        if (request_retirement(*value, node, losses_) == RetirementOutcome::too_few_left)
          return reply(error_response(409, "too few would be left"));
        reply(unknown_node_response(node));
      });
}

void OperatorApi::retrieve_retirement(const std::string& node, const HttpServer::Reply& reply) {
  register_.read(operation_timeout, [this, reply, node](absl::StatusOr<RegisterValue> value) {
    if (!value.ok()) return reply(undetermined_response());
    if (const common::RetiredNode* const retirement = find_retirement(*value, node))
      return reply(retirement_response(retirement->completed));
    const bool is_in_map = std::any_of(value->storage_nodes.begin(), value->storage_nodes.end(),
                                       [&](const common::StorageNode& other) { return other.node == node; });
    if (is_in_map) return reply(retirement_response(false));
    reply(unknown_node_response(node));
  });
}

/// Returns the response for a node that is not in the map. The node may be in contact and not have joined
/// yet.
HttpResponse OperatorApi::unknown_node_response(const std::string& node) const {
  if (!host_.are_members_complete()) return undetermined_response();
  const std::vector<common::Member> members = host_.members();
  const bool is_in_contact = std::any_of(members.begin(), members.end(), [&](const common::Member& member) {
    return member.plane == "storage" && member.node == node;
  });
  return is_in_contact ? undetermined_response() : error_response(404, "no storage machine of that name");
}

// ---- Metrics and log

std::string_view OperatorApi::label_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::accepted: return "taken";
    case Outcome::invalid: return "invalid";
    case Outcome::superseded: return "superseded";
    case Outcome::undetermined: return "unclear";
    case Outcome::read: return "read";
    case Outcome::read_undetermined: return "read_unclear";
  }
  return "";
}

void OperatorApi::record(Outcome outcome, const ConfigurationSubmission& submission, std::string_view cause) {
  ++outcomes_[static_cast<std::size_t>(outcome)];
  if (outcome == Outcome::accepted || outcome == Outcome::read) return;
  const ControlStatus status = host_.status();
  if (!rejection_log_.admits(status.now)) return;
  const common::Ballot ballot = register_.known_ballot();
  const auto knowledge_age_ms = static_cast<std::int64_t>(status.knowledge_age.as_ms());
  rejection_log_.line("outcome=" + std::string(label_of(outcome)) + " version=" +
                      std::to_string(submission.version) + " base=" + std::to_string(submission.base) +
                      " hash=" + common::hash_text(static_cast<std::uint64_t>(submission.hash)) +
                      " epoch=" + std::to_string(register_.epoch_value().epoch) +
                      " ballot=" + std::to_string(ballot.round) + "." + std::to_string(ballot.proposer) +
                      " quorum_age_ms=" + std::to_string(knowledge_age_ms) + " cause=" + std::string(cause));
}

void OperatorApi::write_metrics(common::MetricsWriter& out) const {
  out.begin(common::MetricsWriter::Type::counter, "chutevane_control_orders", "",
            "Configurations and reads of operators, by what became of them.");
  for (std::size_t i = 0; i < outcome_count; ++i)
    out.sample(static_cast<double>(outcomes_[i]), {{"outcome", label_of(static_cast<Outcome>(i))}});
  out.counter("chutevane_control_unknown_calls", "",
              "Calls that this controller does not have: answered 404.", static_cast<double>(unknown_calls_));
}

}  // namespace chutevane::control
