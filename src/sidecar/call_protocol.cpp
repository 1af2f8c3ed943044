#include "sidecar/call_protocol.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <initializer_list>
#include <optional>
#include <utility>

#include "base/settings_reader.hpp"
#include "http/writer.hpp"

namespace chutevane::sidecar {
namespace {

constexpr std::string_view retry_after_header = "Retry-After", readiness_path = "/ready";

constexpr std::size_t max_request_id_bytes = 256;  // ids are held while their calls are in flight
constexpr double max_stated_timeout_ms = 3.6e6;    // an hour: more is taken for a mistake

/// "480m" is 480 ms, "480000u" the same in microseconds.
std::optional<Span> parse_timeout(std::string_view text) {
  if (text.size() < 2) return std::nullopt;
  const char unit = text.back();
  text.remove_suffix(1);
  double v = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), v, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || !(v >= 0)) return std::nullopt;
  if (unit != 'm' && unit != 'u') return std::nullopt;
  const double ms = unit == 'm' ? v : v / 1000.0;
  if (ms > max_stated_timeout_ms) return std::nullopt;
  return Span::ms(ms);
}

/// Ends a head whose body follows: framed by its length, in chunks, or by the connection's end.
void write_framing(http::Writer& out, const http::Parser& message, bool chunked) {
  std::array<char, 24> digits;
  if (chunked) {
    out.field("Transfer-Encoding", "chunked");
  } else if (message.length()) {
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), *message.length()).ptr;
    out.field("Content-Length", {digits.data(), static_cast<std::size_t>(end - digits.data())});
  }
  out.no_body();
}

bool has_repeated_header(const http::Parser& request, std::initializer_list<std::string_view> names) {
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view name) { return request.count(name) > 1; });
}

ClassifiedRequest invalid(std::string_view reason) {
  ClassifiedRequest out;
  out.reason = reason;
  return out;
}

constexpr std::string_view repeated_header = "a header field that may come once comes twice";

}  // namespace

CallProtocol::CallProtocol(const Settings& settings, HeaderNames names)
    : uses_affinity_keys_(settings.contains("extra.warm_keys") &&
                          settings.find("extra.warm_keys")->second == "true"),
      names_(std::move(names)) {
  const SettingsReader reader(settings);
  for (int i = 0; i < reader.number("tracks.count"); ++i) {
    const std::string at = "tracks." + std::to_string(i) + ".";
    const std::string& effect = reader.text(at + "effect");
    tracks_.push_back({reader.text(at + "name"), reader.span(at + "client_timeout_ms"),
                       effect == "replayable", effect == "referenced"});
    uses_affinity_keys_ = uses_affinity_keys_ || (reader.has(at + "in_turn") && reader.flag(at + "in_turn"));
  }
}

std::vector<Counters::Class> CallProtocol::request_classes() const {
  std::vector<Counters::Class> out;
  for (const Track& track : tracks_) out.push_back({track.name, {}});
  return out;
}

/// False for what concerns one connection and not the message (RFC 9110, 7.6.1), and for what is written
/// anew.
bool CallProtocol::is_forwarded(std::string_view name) const {
  static constexpr std::string_view hop_by_hop[] = {"connection",
                                                    "keep-alive",
                                                    "proxy-connection",
                                                    "te",
                                                    "trailer",
                                                    "upgrade",
                                                    "transfer-encoding",
                                                    "expect",
                                                    "content-length",
                                                    "proxy-authenticate",
                                                    "proxy-authorization"};
  for (const std::string_view one : hop_by_hop) {
    if (http::same_name(name, one)) return false;
  }
  return !http::same_name(name, names_.timeout);
}

void CallProtocol::copy_headers(http::Writer& out, const http::Parser& from, std::string_view except) const {
  const std::string_view connection = from.find("Connection").value_or("");  // names more hop-by-hop fields
  for (std::size_t i = 0; i < from.fields(); ++i) {
    const http::Field field = from.field(i);
    if (is_forwarded(field.name) && !http::same_name(field.name, except) &&
        !http::has_token(connection, field.name))
      out.field(field.name, field.value);
  }
}

ClassifiedRequest CallProtocol::classify(const http::Parser& request) const {
  if (has_repeated_header(request,
                          {"Host", names_.request_id, names_.track, names_.timeout, names_.idempotency_key}))
    return invalid(repeated_header);
  const std::string_view id = request_id(request);
  if (id.empty()) {
    if (request.method() != "GET" || request.target() != readiness_path) return invalid("no X-Request-ID");
    ClassifiedRequest check;
    check.kind = RequestKind::readiness_check;
    return check;
  }
  if (id.size() > max_request_id_bytes) return invalid("X-Request-ID too long");
  const auto name = request.find(names_.track);
  if (!name) return invalid("no X-Priority-Class");
  const auto found =
      std::find_if(tracks_.begin(), tracks_.end(), [&](const Track& track) { return track.name == *name; });
  if (found == tracks_.end()) return invalid("unknown X-Priority-Class");
  const Track& track = *found;
  if (request.method() != (track.is_read_only ? "GET" : "POST"))
    return invalid("method does not fit the class");
  if (track.is_read_only && request.has_body()) return invalid("a body with GET");
  const std::string& key = names_.idempotency_key;
  if (request.find(key).value_or("").empty() == track.is_keyed || (!track.is_keyed && request.count(key) > 0))
    return invalid("Idempotency-Key does not fit the class");
  return classify_call(request, static_cast<std::uint32_t>(found - tracks_.begin()));
}

ClassifiedRequest CallProtocol::classify_routed(const http::Parser& request, std::uint32_t track) const {
  if (has_repeated_header(request, {"Host", names_.request_id, names_.timeout, names_.idempotency_key}))
    return invalid(repeated_header);
  if (request_id(request).size() > max_request_id_bytes) return invalid("id too long");
  // Without the key its endpoints could not recognise a retry, and the call might run twice.
  if (tracks_[track].is_keyed && request.find(names_.idempotency_key).value_or("").empty())
    return invalid("this track's calls carry a reference");
  return classify_call(request, track);
}

/// What all calls have in common: the time left, whether the client retries, the affinity key.
ClassifiedRequest CallProtocol::classify_call(const http::Parser& request, std::uint32_t track) const {
  ClassifiedRequest out;
  out.call.track = track;
  out.call.time_left = tracks_[track].client_timeout;
  if (const auto stated = request.find(names_.timeout)) {
    const auto timeout = parse_timeout(*stated);
    if (!timeout) return invalid("malformed time to wait");
    out.call.time_left = *timeout;
  }
  out.call.is_marked_retry = request.find(names_.retried) == "1";
  if (uses_affinity_keys_) out.call.key = affinity_key_of(request);
  out.kind = RequestKind::call;
  return out;
}

/// The hash, alike in every process, of what the call is about; 0: not stated.
std::uint64_t CallProtocol::affinity_key_of(const http::Parser& request) const {
  constexpr std::string_view attribute = "affinity=";
  if (!names_.affinity_key.empty()) {
    const std::string_view own = request.find(names_.affinity_key).value_or("");
    return own.empty() ? 0 : XXH3_64bits(own.data(), own.size());
  }
  std::string_view rest = request.find(names_.attributes).value_or("");
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    std::string_view one = rest.substr(0, comma);
    rest.remove_prefix(std::min(comma + 1, rest.size()));
    one.remove_prefix(std::min(one.find_first_not_of(' '), one.size()));
    if (one.starts_with(attribute) && one.size() > attribute.size())
      return XXH3_64bits(one.data() + attribute.size(), one.size() - attribute.size());
  }
  return 0;
}

std::string_view CallProtocol::request_id(const http::Parser& request) const {
  return request.find(names_.request_id).value_or("");
}

void CallProtocol::write_upstream_request(net::Buffer& out, const http::Parser& request, Span timeout,
                                          bool streamed) const {
  std::array<char, 24> digits;
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), timeout.as_us()).ptr;
  *end = 'u';
  http::Writer writer(out);
  writer.request_line(request.method(), request.target());
  // The authority of a target in absolute form overrides the Host field (RFC 9112, 3.2.2).
  const std::string_view authority = request.authority();
  if (!authority.empty() || !request.find("Host")) writer.field("Host", authority);
  copy_headers(writer, request, authority.empty() ? std::string_view() : "Host");
  writer.field(names_.timeout, {digits.data(), static_cast<std::size_t>(end - digits.data()) + 1});
  if (streamed) {
    write_framing(writer, request, !request.length());
  } else if (request.body().empty() && request.method() != "POST") {
    writer.no_body();
  } else {
    writer.body(request.body());
  }
}

Outcome CallProtocol::outcome_of(const http::Parser& response) const {
  const int status = response.status();
  if (status == 200) return Outcome::done;
  if ((status == 503 || status == 504) && response.find(names_.not_processed) == "1")
    return Outcome::rejected;
  return Outcome::error;
}

void CallProtocol::write_response_head(net::Buffer& out, const http::Parser& response, bool chunked,
                                       bool close) const {
  http::Writer writer(out);
  writer.status_line(response.status());
  copy_headers(writer, response);
  if (close) writer.field("Connection", "close");
  write_framing(writer, response, chunked);
}

void CallProtocol::write_response(net::Buffer& out, const http::Parser& response, bool close,
                                  bool to_head) const {
  http::Writer writer(out);
  writer.status_line(response.status());
  copy_headers(writer, response);
  if (close) writer.field("Connection", "close");
  if (to_head) {
    write_framing(writer, response, false);
  } else {
    writer.body(response.body());
  }
}

void CallProtocol::write_rejection(net::Buffer& out, Span retry_after, bool close) const {
  http::Writer writer(out);
  writer.status_line(503);
  if (retry_after > Span()) {
    std::array<char, 32> digits;
    const int n = std::snprintf(digits.data(), digits.size(), "%.3f", retry_after.as_ms() / 1000.0);
    writer.field(retry_after_header, {digits.data(), static_cast<std::size_t>(n)});
  }
  if (close) writer.field("Connection", "close");
  writer.body("");
}

void CallProtocol::write_abort(net::Buffer& out, bool timed_out, bool close) const {
  write_local_reply(out, timed_out ? 504 : 502, "", close);
}

void CallProtocol::write_local_reply(net::Buffer& out, int status, std::string_view text, bool close) const {
  http::Writer writer(out);
  writer.status_line(status);
  if (!text.empty()) writer.field("Content-Type", "text/plain");
  if (close) writer.field("Connection", "close");
  writer.body(text);
}

}  // namespace chutevane::sidecar
