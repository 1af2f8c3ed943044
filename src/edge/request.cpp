#include "edge/request.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace chutevane::edge {
namespace {

using http::same_name;

constexpr std::int64_t left_most_ms =
    1000LL * 3600 * 24;                   // a day: a client that waits for ever waits no longer
constexpr std::size_t parts_most = 4096;  // of one prompt
constexpr std::string_view last_event_field = "Last-Event-Id";

bool whole_number(std::string_view text, std::int64_t& out) {
  const auto got = std::from_chars(text.data(), text.data() + text.size(), out);
  return got.ec == std::errc() && got.ptr == text.data() + text.size() && out >= 0;
}

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return c >= 'A' && c <= 'Z' ? c + 32 : c; });
  return out;
}

// ID:TOKENS by commas. What is no such list is left alone: it only helps to choose.
std::vector<PromptBlock> read_parts(std::string_view text, std::uint64_t model) {
  std::vector<PromptBlock> out;
  while (!text.empty() && out.size() < parts_most) {
    const std::size_t comma = std::min(text.find(','), text.size());
    const std::string_view one = text.substr(0, comma);
    const std::size_t colon = one.find(':');
    std::int64_t tokens = 0;
    if (colon == std::string_view::npos || !whole_number(one.substr(colon + 1), tokens)) return {};
    out.push_back({XXH3_64bits_withSeed(one.data(), colon, model), static_cast<double>(tokens)});
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return out;
}

}  // namespace

bool of_one_connection(std::string_view name, std::string_view also) {
  for (const std::string_view one : {"connection", "keep-alive", "proxy-connection", "te", "trailer",
                                     "transfer-encoding", "upgrade", "expect", "content-length"}) {
    if (same_name(name, one)) return true;
  }
  return !also.empty() && http::has_token(also, name);
}

std::string read_request(const http::Parser& from, Request& into) {
  into = {};
  into.method = from.method();
  into.target = from.target();
  into.body = from.body();
  const auto host = from.find("Host");
  if (from.count("Host") > 1) return "Host: comes twice";
  std::string_view name = !from.authority().empty() ? from.authority() : host.value_or("");
  name = name.substr(0, name.find(':'));
  into.host = lower(name);
  std::string also;
  for (std::size_t i = 0; i < from.fields(); ++i) {
    if (same_name(from.field(i).name, "connection")) also += std::string(from.field(i).value) + ",";
  }
  for (std::size_t i = 0; i < from.fields(); ++i) {
    const http::Field f = from.field(i);
    std::int64_t number = 0;
    if (same_name(f.name, "X-Chutevane-Attempt-Id")) {
      if (!into.attempt_id.empty()) return "X-Chutevane-Attempt-Id: comes twice";
      into.attempt_id = f.value;
    } else if (same_name(f.name, "X-Chutevane-Time-Remaining")) {
      if (!whole_number(f.value, number)) return "X-Chutevane-Time-Remaining: not a number of milliseconds";
      into.left = Span::ms(static_cast<double>(std::min(number, left_most_ms)));
      continue;  // what is left by then goes on in its place
    } else if (same_name(f.name, "Program")) {
      into.program = f.value;
    } else if (same_name(f.name, "Previous")) {
      into.previous = f.value;
    } else if (same_name(f.name, "Budget")) {
      if (!whole_number(f.value, number)) return "Budget: not a number of tokens";
      into.budget = number;
    } else if (same_name(f.name, "X-Chutevane-Token-Count")) {
      const std::size_t comma = f.value.find(',');
      if (comma != std::string_view::npos && whole_number(f.value.substr(comma + 1), number))
        into.most_out = number;
    } else if (same_name(f.name, "X-Chutevane-Prompt-Prefix")) {
      const std::string_view model = from.find("X-Chutevane-Model").value_or("");
      into.parts = read_parts(f.value, XXH3_64bits(model.data(), model.size()));  // kept for one model each
    } else if (same_name(f.name, "X-Chutevane-Target-Instance") || same_name(f.name, "Priority")) {
      continue;  // ours to say
    }
    if (!of_one_connection(f.name, also)) into.fields.emplace_back(f.name, f.value);
  }
  return "";
}

std::string head_for(const Request& request, const OwnFields& own, std::size_t size) {
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.fields) {
    if (own.last_event && same_name(name, last_event_field)) continue;
    out += name + ": " + value + "\r\n";
  }
  const auto ms = static_cast<std::int64_t>(std::max(own.left.as_ms(), 1.0));
  out += "X-Chutevane-Time-Remaining: " + std::to_string(ms) + "\r\n";
  out += "X-Chutevane-Target-Instance: " + own.endpoint_id + "\r\n";
  if (own.priority) out += "Priority: " + std::to_string(*own.priority) + "\r\n";
  if (own.last_event) out += std::string(last_event_field) + ": " + std::to_string(*own.last_event) + "\r\n";
  if (size > 0 || request.method != "GET") out += "Content-Length: " + std::to_string(size) + "\r\n";
  return out + "\r\n";
}

std::size_t whole_event(std::string_view bytes) {
  const std::size_t plain = bytes.find("\n\n"), dos = bytes.find("\r\n\r\n");
  if (plain == std::string_view::npos && dos == std::string_view::npos) return 0;
  return plain < dos ? plain + 2 : dos + 4;
}

Event read_event(std::string_view bytes) {
  Event out;
  while (!bytes.empty()) {
    const std::size_t end = std::min(bytes.find('\n'), bytes.size());
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(std::min(end + 1, bytes.size()));
    if (line.ends_with('\r')) line.remove_suffix(1);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    const std::string_view name = line.substr(0, colon);
    if (name == "data") {
      out.data.append(value);
      out.data.push_back('\n');
    } else if (name == "id") {
      std::int64_t id = 0;
      if (whole_number(value, id)) out.id = id;
    }
  }
  return out;
}

}  // namespace chutevane::edge
