/// The transport of chutevanectl: HTTP/1.1 over one connection for each request, with blocking calls that
/// poll(2) bounds.
#pragma once

#include "ctl/control_client.hpp"

namespace chutevane::ctl {

struct HostAndPort {
  std::string host;
  std::string port;  ///< digits; empty: there is no colon
};
/// The parts of "HOST:PORT" or "[::1]:PORT".
HostAndPort split_address(const std::string& address);

class HttpTransport final : public Transport {
 public:
  /// As Transport says. Names are resolved by the machine's resolver, whose own time-outs count; numeric
  /// addresses need none.
  absl::StatusOr<Response> exchange(const std::string& address, const Request& request,
                                    ExchangeLimits limits) override;
};

/// The machine's steady clock.
class SystemClock final : public Clock {
 public:
  TimePoint now() override;
  void sleep(Span span) override;
};

}  // namespace chutevane::ctl
