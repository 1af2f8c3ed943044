/// One attempt to have a call answered by one endpoint, and who is told how it went.
#pragma once

#include <cstdint>
#include <memory>

#include "chutevane/types.hpp"
#include "http/parser.hpp"
#include "sidecar/body_pipe.hpp"

namespace chutevane::sidecar {

struct Dispatch {
  CallId call = 0;
  EndpointId endpoint = 0;
  std::uint32_t number = 0;  // of the call's dispatches, from 0
  /// When it was handed to the pool; once a streamed request's last byte is out, when that was.
  TimePoint sent;
  Span timeout;  // for the response, from `sent` on
  /// The request's last byte is written by then or never.
  TimePoint send_deadline = TimePoint::never();
};

/// Told by an UpstreamPool how each dispatch goes. May be called from within UpstreamPool::send().
class DispatchObserver {
 public:
  /// Of a streamed request: some more of it has been written, or its last byte.
  virtual void on_request_progress(const Dispatch& dispatch, bool is_last) = 0;
  /// The head of a streamed response has come, and `body` will give the rest: the dispatch is over, with
  /// success so far. False: nobody wants the response, and on_dispatch_end() follows.
  virtual bool on_response_started(const Dispatch& dispatch, const http::Parser& response,
                                   const std::shared_ptr<BodyPipe>& body) = 0;
  /// A streamed response has broken off before its end.
  virtual void on_response_broken(EndpointId endpoint) = 0;
  /// Exactly once for each dispatch whose response was not streamed. `response`, null without one, is valid
  /// until this returns.
  virtual void on_dispatch_end(const Dispatch& dispatch, Outcome outcome, const http::Parser* response) = 0;

 protected:
  ~DispatchObserver() = default;
};

}  // namespace chutevane::sidecar
