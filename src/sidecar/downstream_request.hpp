/// The client's side of one API call: its request, and where its one final response goes.
#pragma once

#include <netinet/in.h>

#include <memory>

#include "http/parser.hpp"
#include "pool/cross_pool_retry.hpp"
#include "sidecar/body_pipe.hpp"

namespace chutevane::sidecar {

/// Implemented by the connection that a request came in on, and by the router between that and a pool.
/// Exactly one of the four on_...() functions is called for each submitted call, unless the call is cancelled
/// first (CallRouter::cancel()). It may be called from within CallRouter::submit().
class DownstreamRequest {
 public:
  virtual const http::Parser& request() const = 0;
  virtual sockaddr_in peer() const = 0;
  /// The body of a streamed request; null: request() holds the body.
  virtual const std::shared_ptr<BodyPipe>& body() const = 0;

  /// The complete response of an endpoint; valid until this returns.
  virtual void on_response(const http::Parser& response) = 0;
  /// The head of a streamed response, whose body follows in `body`.
  virtual void on_response_started(const http::Parser& response, const std::shared_ptr<BodyPipe>& body) = 0;
  /// No endpoint has run the call, and it is safe to send it again, after `retry_after` where that is not
  /// zero. `history`: the attempts that were made.
  virtual void on_rejected(Span retry_after, const pool::AttemptHistory& history) = 0;
  /// An endpoint may have run the call, but there is no response. `timed_out`: how the last attempt ended.
  virtual void on_aborted(bool timed_out, const pool::AttemptHistory& history) = 0;

 protected:
  ~DownstreamRequest() = default;
};

}  // namespace chutevane::sidecar
