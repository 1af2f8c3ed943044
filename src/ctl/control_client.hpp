/// A client of the operators' API of control sidecars, with the retry rules of that protocol.
///
/// A request is sent to one sidecar after another, unchanged, until a response is conclusive or the time is
/// over. Not conclusive are: a transport error, a time-out, a 5xx, a 408 and a 429. Requests that change
/// something must therefore be idempotent. After a time-out they may have been executed all the same.
///
/// Transport and clock are interfaces, so that tests can script them. Everything blocks the calling thread.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "chutevane/types.hpp"

namespace chutevane::ctl {

struct Request {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> fields = {};
  std::string body = {};
};

struct Response {
  int status = 0;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields = {};
  /// The value of a header field, whose name is compared without case; nullptr: it is absent.
  const std::string* find(std::string_view name) const;
};

/// Limits of one exchange.
struct ExchangeLimits {
  Span idle;   ///< longest time without any bytes
  Span total;  ///< for all of it
};

class Transport {
 public:
  virtual ~Transport() = default;
  /// Sends one request over a connection of its own, and reads the response. NotFound: no connection, so that
  /// nothing was sent. Unavailable: the request may have been executed, but there is no complete response.
  virtual absl::StatusOr<Response> exchange(const std::string& address, const Request& request,
                                            ExchangeLimits limits) = 0;
};

class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint now() = 0;  ///< steady
  virtual void sleep(Span span) = 0;
};

/// The outcome of a call.
struct CallResult {
  Response response;  ///< the conclusive one
  std::string from;   ///< address of the sidecar that sent it
  std::size_t attempts = 0;
  bool may_have_been_executed = false;  ///< by an attempt before the last one
};

class ControlClient {
 public:
  /// `addresses`: HOST:PORT each, not empty where anything is called. `timeout`: for all calls together, from
  /// now on.
  ControlClient(Transport& transport, Clock& clock, std::vector<std::string> addresses, Span timeout);

  /// Unavailable: there was no conclusive response in time; the message has the last failure and its address.
  /// `limit`: a closer bound, for a request that may be repeated for a limited time only.
  absl::StatusOr<CallResult> call(const Request& request, Span limit = Span::ms(1e9));
  /// One attempt at one address, without retries: returns inconclusive responses too.
  absl::StatusOr<Response> call_once(const std::string& address, const Request& request);
  bool has_time_left() { return clock_.now() < end_; }
  /// False, without sleeping: the time would be over.
  [[nodiscard]] bool sleep(Span span);
  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  /// One attempt, which follows redirects; `from` is set to the address that was asked last.
  absl::StatusOr<Response> exchange_following_redirects(std::string address, Request request, TimePoint end,
                                                        std::string& from);
  /// The address to try next: the first after `current` that may be tried at `due`, else the one that may be
  /// first.
  std::size_t next_address(std::size_t current, const std::vector<TimePoint>& not_before,
                           TimePoint due) const;
  Transport& transport_;
  Clock& clock_;
  const std::vector<std::string> addresses_;
  const TimePoint end_;
  std::size_t current_ = 0;  // in addresses_: where the last conclusive response came from
};

/// Where a redirect leads.
struct RedirectTarget {
  std::string address;  ///< HOST:PORT
  std::string target;   ///< of the request
};
/// `location`: value of the header field. `current_address`: where the redirect came from. Nothing: it cannot
/// be followed.
std::optional<RedirectTarget> parse_location(const std::string& location, const std::string& current_address);

}  // namespace chutevane::ctl
