#include "tier_simulation/coordination_calls.hpp"

#include "json/value.hpp"

namespace chutevane::tier_simulation {
namespace {

std::uint64_t whole_ms(Span span) { return static_cast<std::uint64_t>(span.as_ms()); }

std::int64_t integer_of(const json::Value& object, const char* member) {
  const json::Value* const found = object.find(member);
  return found == nullptr ? 0 : static_cast<std::int64_t>(found->number);
}

std::string text_of(const json::Value& object, const char* member) {
  const json::Value* const found = object.find(member);
  return found == nullptr ? "" : found->text;
}

}  // namespace

CallOutcome outcome_of(const std::optional<HttpResult>& result) {
  if (!result) return CallOutcome::unclear;
  switch (result->status) {
    case 200:
    case 404: return CallOutcome::done;
    case 409:
    case 412: return CallOutcome::conflict;
    case 410: return CallOutcome::gone;
    case 429:
    case 503: return CallOutcome::refused;
    default: return CallOutcome::unclear;
  }
}

std::string acquire_request(const std::string& lock, const std::string& holder, Span hold) {
  json::Writer body;
  body.open('{').key("holder").text(holder).key("holdMs").number(whole_ms(hold)).close('}');
  return HttpClient::post("/v1/Locks.Initiate/" + lock, body.result(), 0);
}

std::string renew_request(const std::string& lock, const std::string& holder, std::int64_t fence, Span hold) {
  json::Writer body;
  body.open('{').key("holder").text(holder);
  body.key("fence").number(static_cast<std::uint64_t>(fence));
  body.key("holdMs").number(whole_ms(hold)).close('}');
  return HttpClient::post("/v1/Locks.Heartbeat/" + lock, body.result(), 0);
}

std::string release_request(const std::string& lock, const std::string& holder, std::int64_t fence) {
  json::Writer body;
  body.open('{').key("holder").text(holder);
  body.key("fence").number(static_cast<std::uint64_t>(fence)).close('}');
  return HttpClient::post("/v1/Locks.Terminate/" + lock, body.result(), 0);
}

std::string number_request(const std::string& name) {
  return HttpClient::post("/v1/numbers/" + name, "{}", 0);
}

std::string put_request(const std::string& key, const std::string& value, std::int64_t applies_to) {
  json::Writer body;
  body.open('{').key("value").text(value);
  if (applies_to >= 0) body.key("appliesTo").number(static_cast<std::uint64_t>(applies_to));
  body.close('}');
  return HttpClient::post("/v1/Cells.Replace/" + key, body.result(), 0);
}

std::string read_request(const std::string& key) { return HttpClient::get("/v1/Cells.Retrieve/" + key); }

std::string watch_request(const std::string& group, std::int64_t after, Span wait) {
  return HttpClient::get("/v1/watch/" + group + "?after=" + std::to_string(after) +
                         "&waitMs=" + std::to_string(whole_ms(wait)));
}

std::int64_t integer_in(const HttpResult& result, const char* member) {
  return integer_of(json::parse(result.body), member);
}

std::string value_in(const HttpResult& result) { return text_of(json::parse(result.body), "value"); }

std::vector<CoordinationChecker::Event> events_in(const HttpResult& result) {
  std::vector<CoordinationChecker::Event> out;
  const json::Value body = json::parse(result.body);
  const json::Value* const events = body.find("events");
  if (events == nullptr) return out;
  for (const json::Value& event : events->items)
    out.push_back({text_of(event, "name"), text_of(event, "value"), integer_of(event, "revision")});
  return out;
}

}  // namespace chutevane::tier_simulation
