#include "lab/tier/coordination_call.hpp"

#include <array>
#include <nlohmann/json.hpp>

#include "lab/tier/http_exchange.hpp"

namespace chutevane::lab::tier {
namespace {

using nlohmann::json;

constexpr int ok = 200, not_found = 404, conflict = 409, gone = 410, precondition_failed = 412,
              too_many_requests = 429, unavailable = 503;

std::int64_t milliseconds(Span span) { return static_cast<std::int64_t>(span.as_ms()); }

std::string target_of(const CoordinationCall& call) {
  switch (call.kind) {
    case CoordinationKind::acquire_lock: return "/v1/Locks.Initiate/" + call.name;
    case CoordinationKind::renew_lock: return "/v1/Locks.Heartbeat/" + call.name;
    case CoordinationKind::release_lock: return "/v1/Locks.Terminate/" + call.name;
    case CoordinationKind::next_number: return "/v1/numbers/" + call.name;
    case CoordinationKind::put_key: return "/v1/Cells.Replace/" + call.name;
    case CoordinationKind::get_key: return "/v1/Cells.Retrieve/" + call.name;
    case CoordinationKind::watch: break;
  }
  return "/v1/watch/" + call.name + "?after=" + std::to_string(call.after) +
         "&waitMs=" + std::to_string(milliseconds(call.wait));
}

json body_of(const CoordinationCall& call) {
  json out = json::object();
  switch (call.kind) {
    case CoordinationKind::acquire_lock:
      out["holder"] = call.holder;
      out["holdMs"] = milliseconds(call.hold);
      break;
    case CoordinationKind::renew_lock:
      out["holder"] = call.holder;
      out["fence"] = call.fence;
      out["holdMs"] = milliseconds(call.hold);
      break;
    case CoordinationKind::release_lock:
      out["holder"] = call.holder;
      out["fence"] = call.fence;
      break;
    case CoordinationKind::put_key:
      out["value"] = call.value;
      if (call.applies_to) out["appliesTo"] = *call.applies_to;
      break;
    case CoordinationKind::next_number:
    case CoordinationKind::get_key:
    case CoordinationKind::watch: break;
  }
  return out;
}

CoordinationOutcome outcome_of(CoordinationKind kind, int status) {
  const bool is_lock_call = kind == CoordinationKind::acquire_lock || kind == CoordinationKind::renew_lock;
  if (status == ok) return CoordinationOutcome::done;
  if (status == too_many_requests || status == unavailable) return CoordinationOutcome::refused;
  if (status == conflict && is_lock_call) return CoordinationOutcome::held_by_other;
  if (status == precondition_failed && kind == CoordinationKind::put_key)
    return CoordinationOutcome::revision_mismatch;
  if (status == not_found && kind == CoordinationKind::get_key) return CoordinationOutcome::not_found;
  if (status == gone && kind == CoordinationKind::watch) return CoordinationOutcome::history_gone;
  return status / 100 == 5 ? CoordinationOutcome::unclear : CoordinationOutcome::malformed;
}

// Throws json::exception where a member is missing or of another type.
void read_members(CoordinationKind kind, const json& body, CoordinationAnswer& out) {
  switch (kind) {
    case CoordinationKind::acquire_lock: out.number = body.at("fence").get<std::int64_t>(); break;
    case CoordinationKind::next_number: out.number = body.at("value").get<std::int64_t>(); break;
    case CoordinationKind::put_key: out.number = body.at("revision").get<std::int64_t>(); break;
    case CoordinationKind::get_key:
      out.value = body.at("value").get<std::string>();
      out.number = body.at("revision").get<std::int64_t>();
      break;
    case CoordinationKind::watch:
      for (const json& event : body.at("events")) {
        out.events.push_back({event.at("name").get<std::string>(), event.at("value").get<std::string>(),
                              event.at("revision").get<std::int64_t>()});
      }
      out.number = body.at("revision").get<std::int64_t>();
      break;
    case CoordinationKind::renew_lock:
    case CoordinationKind::release_lock: break;
  }
}

}  // namespace

const char* name_of(CoordinationKind kind) {
  constexpr std::array<const char*, coordination_kinds> names = {
      "acquire lock", "renew lock", "release lock", "next number", "put key", "get key", "watch"};
  return names[static_cast<std::size_t>(kind)];
}

const char* name_of(CoordinationOutcome outcome) {
  constexpr std::array<const char*, coordination_outcomes> names = {
      "done",         "held by other", "revision mismatch", "not found",
      "history gone", "refused",       "unclear",           "malformed"};
  return names[static_cast<std::size_t>(outcome)];
}

std::string group_of_key(const std::string& key) { return key.substr(0, key.find('.') + 1); }

std::string coordination_request_text(const CoordinationCall& call, std::string_view host) {
  const bool is_read = call.kind == CoordinationKind::get_key || call.kind == CoordinationKind::watch;
  if (is_read) return request_text("GET", target_of(call), host, {}, "");
  return request_text("POST", target_of(call), host, {{"Content-Type", "application/json"}},
                      body_of(call).dump());
}

CoordinationAnswer read_coordination_answer(CoordinationKind kind, int status, const std::string& body) {
  CoordinationAnswer out;
  out.outcome = outcome_of(kind, status);
  const bool has_members =
      out.outcome == CoordinationOutcome::done || out.outcome == CoordinationOutcome::revision_mismatch;
  if (!has_members) return out;
  try {
    read_members(kind, json::parse(body), out);
  } catch (const json::exception&) {
    const bool is_empty_allowed =
        kind == CoordinationKind::renew_lock || kind == CoordinationKind::release_lock;
    if (!is_empty_allowed) out.outcome = CoordinationOutcome::malformed;
  }
  return out;
}

}  // namespace chutevane::lab::tier
