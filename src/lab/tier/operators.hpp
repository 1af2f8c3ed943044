// The operator's stand-in: the first configuration and changes of it, sent until they are taken, and what the
// tier has of them afterwards.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/tier/auditor.hpp"
#include "lab/tier/web.hpp"

namespace chutevane::lab::tier {

// Turns, tools, acts, and a route that only this version has.
std::string configuration_text(std::int64_t version);
std::string mark_of(std::int64_t version);  // that route's prefix

class OperatorStandIn {
 public:
  OperatorStandIn(net::Scheduler& scheduler, net::TimerQueue& later, Lines& lines, Auditor& auditor,
                  std::vector<sockaddr_in> controllers);

  // Sends the version on top of the one before, first to that controller, until it is taken; how long it
  // took.
  void change(std::int64_t version, std::size_t first_to, std::function<void(Span)> taken);
  bool busy() const { return busy_; }
  std::int64_t acknowledged() const { return acknowledged_; }
  std::uint64_t sent() const { return sent_; }  // calls, repeats among them

  // Asks each controller until it answers with what was acknowledged last, or `most` is over, which is a
  // breach.
  void read_back(Span most, std::function<void()> done);

 private:
  void send(std::int64_t version, std::size_t to, int times, TimePoint since,
            std::function<void(Span)> taken);
  void read(std::size_t controller, TimePoint until, std::function<void()> done);
  net::TimerQueue& timers_;
  Lines& lines_;
  Auditor& auditor_;
  std::vector<sockaddr_in> controllers_;
  bool busy_ = false;
  std::int64_t acknowledged_ = 0;
  std::uint64_t sent_ = 0;
};

}  // namespace chutevane::lab::tier
