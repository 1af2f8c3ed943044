/// A client's request as the edge works with it: what its headers say, and how it is written to an endpoint.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chutevane/types.hpp"
#include "edge/prefix_cache_index.hpp"
#include "http/parser.hpp"

namespace chutevane::edge {

/// A request as it was read. Owns copies of all that it holds: the bytes of the connection may go.
struct ClientRequest {
  std::string method;
  std::string target;
  std::string host;  ///< lower case, without the port
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;  ///< that are forwarded, in their order
  std::string attempt_id;                                    ///< X-Chutevane-Attempt-Id; empty: none
  std::string program;                                       ///< Program; empty: none
  std::string previous_turn;                                 ///< Previous: id of the turn that it continues
  std::optional<Span> time_remaining;                        ///< how long the client still waits
  std::optional<std::int64_t> token_budget;                  ///< of the whole program
  std::optional<std::int64_t> max_output_tokens;             ///< that it may generate
  std::vector<PromptBlock> prompt;                           ///< empty: not named, or not readable
};

/// The result of parse_client_request().
struct ParsedClientRequest {
  ClientRequest
      request;        ///< after an error: what was read before it, so that the answer can name the attempt
  std::string error;  ///< which header is wrong and why, for a 400; empty: none
};

/// Reads a complete request. Headers that only help to choose an endpoint are ignored where they are
/// malformed.
[[nodiscard]] ParsedClientRequest parse_client_request(const http::Parser& parser);

/// Whether a header concerns one connection only and is not forwarded (RFC 9110, 7.6.1).
/// `connection_options`: the value of the Connection header, which may name further ones.
bool is_hop_by_hop(std::string_view name, std::string_view connection_options);

/// Headers that the edge itself sets in a request to an endpoint.
struct ProxyHeaders {
  std::string endpoint_id{};
  Span time_left{};                             ///< until the endpoint is to stop work
  std::optional<int> priority{};                ///< 0 to 9
  std::optional<std::int64_t> last_event_id{};  ///< of a stream that is resumed: in place of the client's own
};
/// The head of the request to an endpoint, with its empty line. `body_size` in bytes.
std::string format_request_head(const ClientRequest& request, const ProxyHeaders& proxy_headers,
                                std::size_t body_size);

}  // namespace chutevane::edge
