#include "sidecar/front.hpp"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <utility>

#include "base/settings_reader.hpp"
#include "http/writer.hpp"

namespace chutevane::sidecar {
namespace {

constexpr std::string_view come_back_after = "Retry-After", ready_path = "/ready";

constexpr std::size_t id_most = 256;  // bytes: kept while the call is open
constexpr double longest_ms = 3.6e6;  // of a stated wait: an hour is no longer a figure to believe

// "480m" or "480000u"
std::optional<Span> read_wait(std::string_view text) {
  if (text.size() < 2) return std::nullopt;
  const char unit = text.back();
  text.remove_suffix(1);
  double v = 0;
  const auto got = std::from_chars(text.data(), text.data() + text.size(), v, std::chars_format::fixed);
  if (got.ec != std::errc() || got.ptr != text.data() + text.size() || !(v >= 0)) return std::nullopt;
  if (unit != 'm' && unit != 'u') return std::nullopt;
  const double ms = unit == 'm' ? v : v / 1000.0;
  if (ms > longest_ms) return std::nullopt;
  return Span::ms(ms);
}

// How a body is framed that follows: by its length, in chunks, or by the connection's end.
void write_framing(http::Writer& out, const http::Parser& of, bool chunked) {
  std::array<char, 24> room;
  if (chunked) {
    out.field("Transfer-Encoding", "chunked");
  } else if (of.length()) {
    const auto end = std::to_chars(room.data(), room.data() + room.size(), *of.length()).ptr;
    out.field("Content-Length", {room.data(), static_cast<std::size_t>(end - room.data())});
  }
  out.no_body();
}

}  // namespace

// What is said for one connection and not for the message, or is written anew, stays here.
bool Front::passed_on(std::string_view name) const {
  static constexpr std::string_view kept_back[] = {"connection",
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
  for (const std::string_view k : kept_back) {
    if (http::same_name(name, k)) return false;
  }
  return !http::same_name(name, names_.wait);
}

void Front::copy_fields(http::Writer& out, const http::Parser& from, std::string_view but) const {
  const std::string_view dropped = from.find("Connection").value_or("");
  for (std::size_t i = 0; i < from.fields(); ++i) {
    const http::Field f = from.field(i);
    if (passed_on(f.name) && !http::same_name(f.name, but) && !http::has_token(dropped, f.name))
      out.field(f.name, f.value);
  }
}

Front::Front(const Settings& settings, HeaderNames names)
    : uses_keys_(settings.contains("extra.warm_keys") && settings.find("extra.warm_keys")->second == "true"),
      names_(std::move(names)) {
  const SettingsReader reader(settings);
  for (int i = 0; i < reader.number("tracks.count"); ++i) {
    const std::string at = "tracks." + std::to_string(i) + ".";
    const std::string& effect = reader.text(at + "effect");
    tracks_.push_back({reader.text(at + "name"), reader.span(at + "client_timeout_ms"),
                       effect == "replayable", effect == "referenced"});
    uses_keys_ = uses_keys_ || (reader.has(at + "in_turn") && reader.flag(at + "in_turn"));
  }
}

std::vector<Counters::Class> Front::classes() const {
  std::vector<Counters::Class> out;
  for (const Track& t : tracks_) out.push_back({t.name, {}});
  return out;
}

Front::Kind Front::read_request(const http::Parser& request, ApiCall& call, std::string_view& why) const {
  const auto bad = [&](std::string_view text) {
    why = text;
    return Kind::bad;
  };
  // Nothing that an endpoint would turn away, or read in another way, leaves here.
  for (const std::string_view once :
       {std::string_view("Host"), std::string_view(names_.id), std::string_view(names_.track),
        std::string_view(names_.wait), std::string_view(names_.reference)}) {
    if (request.count(once) > 1) return bad("a header field that may come once comes twice");
  }
  const std::string_view id = id_of(request);
  if (id.empty()) {
    if (request.method() == "GET" && request.target() == ready_path) return Kind::ready;
    return bad("no X-Request-ID");
  }
  if (id.size() > id_most) return bad("X-Request-ID too long");
  const auto name = request.find(names_.track);
  if (!name) return bad("no X-Priority-Class");
  call.track = 0;
  while (call.track < tracks_.size() && tracks_[call.track].name != *name) ++call.track;
  if (call.track == tracks_.size()) return bad("unknown X-Priority-Class");
  const Track& track = tracks_[call.track];
  if (request.method() != (track.read_only ? "GET" : "POST")) return bad("method does not fit the class");
  if (track.read_only && request.has_body()) return bad("a body with GET");
  const std::string& key = names_.reference;
  if (request.find(key).value_or("").empty() == track.keyed || (!track.keyed && request.count(key) > 0))
    return bad("Idempotency-Key does not fit the class");
  return read_rest(request, call, why) ? Kind::call : Kind::bad;
}

Front::Kind Front::read_routed(const http::Parser& request, ApiCall& call, std::string_view& why) const {
  for (const std::string_view once : {std::string_view("Host"), std::string_view(names_.id),
                                      std::string_view(names_.wait), std::string_view(names_.reference)}) {
    if (request.count(once) > 1) return why = "a header field that may come once comes twice", Kind::bad;
  }
  if (id_of(request).size() > id_most) return why = "id too long", Kind::bad;
  // Guards rule 2: what the endpoints tell repeats by must be there.
  if (tracks_[call.track].keyed && request.find(names_.reference).value_or("").empty())
    return why = "this track's calls carry a reference", Kind::bad;
  return read_rest(request, call, why) ? Kind::call : Kind::bad;
}

// What the call is about, where that counts: an attribute, hashed alike everywhere.
std::uint64_t Front::key_of(const http::Parser& request) const {
  constexpr std::string_view name = "affinity=";
  if (!names_.key.empty()) {
    const std::string_view own = request.find(names_.key).value_or("");
    return own.empty() ? 0 : XXH3_64bits(own.data(), own.size());
  }
  std::string_view rest = request.find(names_.attributes).value_or("");
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    std::string_view one = rest.substr(0, comma);
    rest.remove_prefix(std::min(comma + 1, rest.size()));
    one.remove_prefix(std::min(one.find_first_not_of(' '), one.size()));
    if (one.starts_with(name) && one.size() > name.size())
      return XXH3_64bits(one.data() + name.size(), one.size() - name.size());
  }
  return 0;
}

bool Front::read_rest(const http::Parser& request, ApiCall& call, std::string_view& why) const {
  call.left = tracks_[call.track].client_timeout;
  if (const auto wait = request.find(names_.wait)) {
    const auto left = read_wait(*wait);
    if (!left) return why = "malformed time to wait", false;
    call.left = *left;
  }
  call.repeated = request.find(names_.repeated) == "1";
  if (uses_keys_) call.key = key_of(request);
  return true;
}

std::string_view Front::id_of(const http::Parser& request) const {
  return request.find(names_.id).value_or("");
}

void Front::write_dispatch(net::Buffer& out, const http::Parser& request, Span wait, bool in_pieces) const {
  std::array<char, 24> room;
  const auto end = std::to_chars(room.data(), room.data() + room.size(), wait.as_us()).ptr;
  *end = 'u';
  http::Writer writer(out);
  writer.request_line(request.method(), request.target());
  const std::string_view authority = request.authority();  // of an absolute form: it overrides the field
  if (!authority.empty() || !request.find("Host")) writer.field("Host", authority);
  copy_fields(writer, request, authority.empty() ? std::string_view() : "Host");
  writer.field(names_.wait, {room.data(), static_cast<std::size_t>(end - room.data()) + 1});
  if (in_pieces) {
    write_framing(writer, request, !request.length());
  } else if (request.body().empty() && request.method() != "POST") {
    writer.no_body();
  } else {
    writer.body(request.body());
  }
}

Outcome Front::outcome_of(const http::Parser& response) const {
  const int status = response.status();
  if (status == 200) return Outcome::done;
  if ((status == 503 || status == 504) && response.find(names_.never_ran) == "1") return Outcome::turned_away;
  return Outcome::error;
}

void Front::write_begun(net::Buffer& out, const http::Parser& response, bool chunked, bool close) const {
  http::Writer writer(out);
  writer.status_line(response.status());
  copy_fields(writer, response);
  if (close) writer.field("Connection", "close");
  write_framing(writer, response, chunked);
}

void Front::write_done(net::Buffer& out, const http::Parser& response, bool close, bool to_head) const {
  http::Writer writer(out);
  writer.status_line(response.status());
  copy_fields(writer, response);
  if (close) writer.field("Connection", "close");
  if (to_head) {
    write_framing(writer, response, false);
  } else {
    writer.body(response.body());
  }
}

void Front::write_rejection(net::Buffer& out, Span come_back, bool close) const {
  http::Writer writer(out);
  writer.status_line(503);
  if (come_back > Span()) {
    std::array<char, 32> room;
    const int n = std::snprintf(room.data(), room.size(), "%.3f", come_back.as_ms() / 1000.0);
    writer.field(come_back_after, {room.data(), static_cast<std::size_t>(n)});
  }
  if (close) writer.field("Connection", "close");
  writer.body("");
}

void Front::write_broken_off(net::Buffer& out, bool timed_out, bool close) const {
  write_plain(out, timed_out ? 504 : 502, "", close);
}

void Front::write_plain(net::Buffer& out, int status, std::string_view text, bool close) const {
  http::Writer writer(out);
  writer.status_line(status);
  if (!text.empty()) writer.field("Content-Type", "text/plain");
  if (close) writer.field("Connection", "close");
  writer.body(text);
}

}  // namespace chutevane::sidecar
