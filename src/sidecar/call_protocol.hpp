/// How API calls are expressed in HTTP between clients, sidecars and endpoints: which header says what, and
/// which status stands for which outcome. The rest of the program knows no header by name.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"
#include "http/parser.hpp"
#include "http/writer.hpp"
#include "net/buffer.hpp"
#include "sidecar/counters.hpp"

namespace chutevane::sidecar {

/// The platform's header names, or those of an operator's file.
struct HeaderNames {
  std::string request_id = "X-Request-ID";
  std::string track = "X-Priority-Class";
  std::string timeout = "X-Timeout";
  std::string retried = "X-Retried";
  std::string idempotency_key = "Idempotency-Key";
  std::string not_processed = "X-Not-Processed";  // on a response: the call was not run
  std::string attributes = "X-Attrs";
  std::string affinity_key;  // a header of its own for the affinity key; empty: one of the attributes
};

/// What a client's request is: `invalid` is answered with 400, `no_route` with 404.
enum class RequestKind : std::uint8_t { call, readiness_check, invalid, no_route };

struct ClassifiedRequest {
  RequestKind kind = RequestKind::invalid;
  ApiCall call;             // of a call: all but its id
  std::uint32_t route = 0;  // of a call: opaque to all but the router that gave it
  std::string_view reason;  // of an invalid request, or one without a route; static storage
};

class CallProtocol {
 public:
  /// Takes the tracks from the settings. Throws SettingError.
  explicit CallProtocol(const Settings& settings, HeaderNames names = {});

  /// A counter for each track, at zero.
  std::vector<Counters::Class> request_classes() const;

  /// A request whose headers name its track. Nothing that an endpoint would reject, or would read in another
  /// way, passes as a call.
  ClassifiedRequest classify(const http::Parser& request) const;
  /// A request whose route has given its track; any method, with or without an id.
  ClassifiedRequest classify_routed(const http::Parser& request, std::uint32_t track) const;
  /// What identifies a call among those in flight; empty: nothing does.
  std::string_view request_id(const http::Parser& request) const;

  /// The request as an endpoint gets it, with its own time-out in place of the client's. `streamed`: the head
  /// alone, framed by the body's length or for chunks.
  void write_upstream_request(net::Buffer& out, const http::Parser& request, Span timeout,
                              bool streamed) const;
  Outcome outcome_of(const http::Parser& response) const;

  // What clients get. `close`: the connection ends with this response.

  /// A complete response of an endpoint. `to_head`: it answers a HEAD, and its length is that of a body that
  /// does not follow.
  void write_response(net::Buffer& out, const http::Parser& response, bool close, bool to_head) const;
  /// The head of a streamed response.
  void write_response_head(net::Buffer& out, const http::Parser& response, bool chunked, bool close) const;
  void write_rejection(net::Buffer& out, Span retry_after, bool close) const;
  void write_abort(net::Buffer& out, bool timed_out, bool close) const;
  /// A response of this process, not of an endpoint.
  void write_local_reply(net::Buffer& out, int status, std::string_view text, bool close) const;

 private:
  struct Track {
    std::string name;
    Span client_timeout;
    // A replayable track uses GET; a referenced one POST with an idempotency key; a single-use one POST
    // without.
    bool is_read_only = false, is_keyed = false;
  };
  ClassifiedRequest classify_call(const http::Parser& request, std::uint32_t track) const;
  bool is_forwarded(std::string_view name) const;
  void copy_headers(http::Writer& out, const http::Parser& from, std::string_view except = {}) const;
  std::uint64_t affinity_key_of(const http::Parser& request) const;

  bool uses_affinity_keys_;  // endpoints are warm for keys, or some tracks are served in the order of theirs
  HeaderNames names_;
  std::vector<Track> tracks_;
};

}  // namespace chutevane::sidecar
