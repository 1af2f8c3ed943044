// Calls control sidecars by the operator's rules, over a transport and a clock that tests play.
//
// One call is sent again unchanged, to the next sidecar, until its answer is clear or the time is over: a
// failure, silence, a 5xx, a 408 and a 429 are not clear. What is over by then may be in force all the same.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "chutevane/types.hpp"

namespace chutevane::ctl {

struct Ask {
  std::string method, target;
  std::vector<std::pair<std::string, std::string>> fields = {};
  std::string body = {};
};

struct Answer {
  int status = 0;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields = {};
  const std::string* find(std::string_view name) const;  // names know no case
};

class Transport {
 public:
  virtual ~Transport() = default;
  // Over a connection of its own. An error: no whole answer came; NotFound:
  // nothing was sent either. `silence`: the longest wait for any bytes;
  // `most`: for all of it.
  virtual absl::StatusOr<Answer> exchange(const std::string& address, const Ask& ask, Span silence,
                                          Span most) = 0;
};

class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint now() = 0;
  virtual void pause(Span span) = 0;
};

// What a call came to.
struct Heard {
  Answer answer;     // the last clear one
  std::string from;  // its sidecar
  std::size_t tries = 0;
  bool doubt = false;  // a try before it may have had its effect
};

class Caller {
 public:
  Caller(Transport& transport, Clock& clock, std::vector<std::string> addresses, Span timeout);
  // An error: nothing clear came in time; it says what came last, and from where. `most` bounds an order
  // that may be repeated for a limited time only.
  absl::StatusOr<Heard> call(const Ask& ask, Span most = Span::ms(1e9));
  // One try at one of them; also an unclear answer is given back.
  absl::StatusOr<Answer> once(const std::string& address, const Ask& ask);
  bool time_left() { return clock_.now() < end_; }
  // False: the time would be over.
  bool pause(Span span);
  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  absl::StatusOr<Answer> follow(std::string address, Ask ask, TimePoint end, std::string& from);
  Transport& transport_;
  Clock& clock_;
  const std::vector<std::string> addresses_;
  const TimePoint end_;
  std::size_t next_ = 0;  // where the last clear answer came from stays the first to be asked
};

// Where a redirect leads: address and target. False: it cannot be followed.
bool read_location(const std::string& location, std::string& address, std::string& target);

}  // namespace chutevane::ctl
