/// Parsing and formatting of request heads.
#include "edge/client_request.hpp"

#include <xxhash.h>

#include <algorithm>

#include "edge/whole_number.hpp"

namespace chutevane::edge {
namespace {

using http::same_name;

constexpr std::int64_t max_time_remaining_ms = 1000LL * 3600 * 24;  // one day
constexpr std::size_t max_prompt_blocks = 4096;
constexpr std::string_view last_event_header = "Last-Event-Id";

std::string to_lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return letter >= 'A' && letter <= 'Z' ? letter + 32 : letter; });
  return lower;
}

// Parses "ID:TOKENS" items separated by commas. `model` is the hash of the model's name and becomes part of
// the block ids, because engines cache blocks per model. Returns an empty vector if an item is malformed.
std::vector<PromptBlock> parse_prompt_blocks(std::string_view text, std::uint64_t model) {
  std::vector<PromptBlock> blocks;
  while (!text.empty() && blocks.size() < max_prompt_blocks) {
    const std::size_t comma = std::min(text.find(','), text.size());
    const std::string_view block = text.substr(0, comma);
    const std::size_t colon = block.find(':');
    if (colon == std::string_view::npos) return {};
    const auto tokens = parse_whole_number(block.substr(colon + 1));
    if (!tokens) return {};
    blocks.push_back({XXH3_64bits_withSeed(block.data(), colon, model), static_cast<double>(*tokens)});
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return blocks;
}

std::string host_of(const http::Parser& parser) {
  const std::string_view authority =
      !parser.authority().empty() ? parser.authority() : parser.find("Host").value_or("");
  return to_lower(authority.substr(0, authority.find(':')));
}

std::string connection_options_of(const http::Parser& parser) {
  std::string options;
  for (std::size_t i = 0; i < parser.fields(); ++i) {
    if (same_name(parser.field(i).name, "connection")) options += std::string(parser.field(i).value) + ",";
  }
  return options;
}

// Parses X-Chutevane-Token-Count, "PROMPT_TOKENS,MAX_OUTPUT_TOKENS".
std::optional<std::int64_t> max_output_tokens_of(std::string_view token_count) {
  const std::size_t comma = token_count.find(',');
  if (comma == std::string_view::npos) return std::nullopt;
  return parse_whole_number(token_count.substr(comma + 1));
}

// Returns true for headers that the edge replaces by its own (ProxyHeaders).
bool is_set_by_proxy(std::string_view name) {
  return same_name(name, "X-Chutevane-Time-Remaining") || same_name(name, "X-Chutevane-Target-Instance") ||
         same_name(name, "Priority");
}

// Stores the value of the header in the request. Returns an error message, or an empty string on success.
std::string read_header(const http::Field& header, const http::Parser& parser, ClientRequest& request) {
  if (same_name(header.name, "X-Chutevane-Attempt-Id")) {
    if (!request.attempt_id.empty()) return "X-Chutevane-Attempt-Id: comes twice";
    request.attempt_id = header.value;
  } else if (same_name(header.name, "X-Chutevane-Time-Remaining")) {
    const auto ms = parse_whole_number(header.value);
    if (!ms) return "X-Chutevane-Time-Remaining: not a number of milliseconds";
    request.time_remaining = Span::ms(static_cast<double>(std::min(*ms, max_time_remaining_ms)));
  } else if (same_name(header.name, "Program")) {
    request.program = header.value;
  } else if (same_name(header.name, "Previous")) {
    request.previous_turn = header.value;
  } else if (same_name(header.name, "Budget")) {
    request.token_budget = parse_whole_number(header.value);
    if (!request.token_budget) return "Budget: not a number of tokens";
  } else if (same_name(header.name, "X-Chutevane-Token-Count")) {
    if (const auto tokens = max_output_tokens_of(header.value)) request.max_output_tokens = tokens;
  } else if (same_name(header.name, "X-Chutevane-Prompt-Prefix")) {
    const std::string_view model = parser.find("X-Chutevane-Model").value_or("");
    request.prompt = parse_prompt_blocks(header.value, XXH3_64bits(model.data(), model.size()));
  }
  return "";
}

/// Returns the request without its body.
ParsedClientRequest parse_head(const http::Parser& parser) {
  ParsedClientRequest parsed;
  ClientRequest& request = parsed.request;
  request.method = parser.method();
  request.target = parser.target();
  if (parser.count("Host") > 1) {
    parsed.error = "Host: comes twice";
    return parsed;
  }
  request.host = host_of(parser);
  const std::string connection_options = connection_options_of(parser);
  for (std::size_t i = 0; i < parser.fields(); ++i) {
    const http::Field header = parser.field(i);
    parsed.error = read_header(header, parser, request);
    if (!parsed.error.empty()) return parsed;
    if (!is_set_by_proxy(header.name) && !is_hop_by_hop(header.name, connection_options))
      request.headers.emplace_back(header.name, header.value);
  }
  return parsed;
}

}  // namespace

bool is_hop_by_hop(std::string_view name, std::string_view connection_options) {
  for (const std::string_view hop_by_hop : {"connection", "keep-alive", "proxy-connection", "te", "trailer",
                                            "transfer-encoding", "upgrade", "expect", "content-length"}) {
    if (same_name(name, hop_by_hop)) return true;
  }
  return !connection_options.empty() && http::has_token(connection_options, name);
}

ParsedClientRequest parse_client_request(const http::Parser& parser, net::Buffer& received) {
  ParsedClientRequest parsed = parse_head(parser);
  parsed.request.body = net::OwnedBytes::take_front(received, parser.size(), parser.body());
  return parsed;
}

std::string format_request_head(const ClientRequest& request, const ProxyHeaders& proxy_headers,
                                std::size_t body_size) {
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    if (proxy_headers.last_event_id && same_name(name, last_event_header)) continue;
    head.append(name).append(": ").append(value).append("\r\n");
  }
  const auto time_left_ms = static_cast<std::int64_t>(std::max(proxy_headers.time_left.as_ms(), 1.0));
  head += "X-Chutevane-Time-Remaining: " + std::to_string(time_left_ms) + "\r\n";
  head += "X-Chutevane-Target-Instance: " + proxy_headers.endpoint_id + "\r\n";
  if (proxy_headers.priority) head += "Priority: " + std::to_string(*proxy_headers.priority) + "\r\n";
  if (proxy_headers.last_event_id)
    head += std::string(last_event_header) + ": " + std::to_string(*proxy_headers.last_event_id) + "\r\n";
  if (body_size > 0 || request.method != "GET")
    head += "Content-Length: " + std::to_string(body_size) + "\r\n";
  return head + "\r\n";
}

}  // namespace chutevane::edge
