/// Parsed client requests, and the formatting of their heads for endpoints.
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
#include "net/owned_bytes.hpp"

namespace chutevane::edge {

/// A parsed client request. Owns all its data, so it does not depend on the connection's buffer.
struct ClientRequest {
  std::string method;
  std::string target;
  std::string host;  ///< lower case, without the port
  net::OwnedBytes body;
  std::vector<std::pair<std::string, std::string>> headers;  ///< headers to forward, in order
  std::string attempt_id;                                    ///< X-Chutevane-Attempt-Id; empty if absent
  std::string program;                                       ///< Program; empty if absent
  std::string previous_turn;                                 ///< Previous: id of the turn that it continues
  std::optional<Span> time_remaining;                        ///< how long the client still waits
  std::optional<std::int64_t> token_budget;                  ///< tokens of the whole program
  std::optional<std::int64_t> max_output_tokens;             ///< tokens that the request may generate
  std::vector<PromptBlock> prompt;                           ///< empty if absent or malformed
};

/// The result of parse_client_request().
struct ParsedClientRequest {
  ClientRequest request;  ///< after an error, the part before it, so that the response can name the attempt
  std::string error;      ///< which header is wrong and why, for a 400 response; empty if there is no error
};

/// Converts a completely parsed HTTP message, and takes it out of `received`, in which it was parsed. A large
/// body is moved, not copied. Malformed headers are ignored if they only influence the choice of the
/// endpoint.
[[nodiscard]] ParsedClientRequest parse_client_request(const http::Parser& parser, net::Buffer& received);

/// Returns true if a header is hop-by-hop and is not forwarded (RFC 9110, 7.6.1). `connection_options` is the
/// value of the Connection header, which may name additional hop-by-hop headers.
bool is_hop_by_hop(std::string_view name, std::string_view connection_options);

/// Headers that the edge sets itself in a request to an endpoint.
struct ProxyHeaders {
  std::string endpoint_id{};
  Span time_left{};                             ///< time after which the endpoint should stop working
  std::optional<int> priority{};                ///< 0 to 9
  std::optional<std::int64_t> last_event_id{};  ///< for a resumed stream; replaces the client's own header
};
/// Returns the head of the request to an endpoint, including the empty line. `body_size` is in bytes.
std::string format_request_head(const ClientRequest& request, const ProxyHeaders& proxy_headers,
                                std::size_t body_size);

}  // namespace chutevane::edge
