// The transport of chutevanectl: one connection for each call, HTTP/1.1, waits bounded by poll(2).
#pragma once

#include "ctl/caller.hpp"

namespace chutevane::ctl {

// The address and port of "HOST:PORT" or "[::1]:PORT".
void split_address(const std::string& address, std::string& host, std::string& port);

class Wire final : public Transport {
 public:
  // NotFound: no connection, so that nothing was sent. Names are resolved by the machine's resolver, whose
  // own bounds count; numeric addresses ask nobody.
  absl::StatusOr<Answer> exchange(const std::string& address, const Ask& ask, Span silence,
                                  Span most) override;
};

class MachineClock final : public Clock {
 public:
  TimePoint now() override;
  void pause(Span span) override;
};

}  // namespace chutevane::ctl
