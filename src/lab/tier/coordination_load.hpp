/// The applications' load on locks, elections, numbers, keys and watches: callers that hold briefly or long,
/// die or sleep beyond their time, put again what got no clear answer, and resume watches; and, at the end,
/// reading all of it back.
///
/// Callers come in sets with names of their own: some 30 calls a second each.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/draw.hpp"
#include "lab/tier/coordination_client.hpp"

namespace chutevane::lab::tier {

constexpr double coordination_calls_per_set = 30;  // a second

class CoordinationLoad {
 public:
  struct Spec {
    std::uint64_t seed = 1;
    std::size_t sets = 1;
    double pace = 1;  ///< of the calls: 2 halves the pauses between them
    Span history;     ///< for how long a watch may be resumed
  };
  CoordinationLoad(HttpConnector& connector, net::TimerQueue& timers, std::vector<sockaddr_in> controllers,
                   const Spec& spec);
  ~CoordinationLoad();

  void begin();
  /// Callers end what they have in hand.
  void stop();
  bool is_idle() const;
  /// With all processes back: reads each key, asks each number, resumes watches at each controller, and takes
  /// each lock. `done` once all are answered, or their time is over.
  void read_back(const std::function<void()>& done);
  /// Judges what needs all calls to be known; once.
  void finish() { shared_.auditor.finish(); }

  const CoordinationAuditor& auditor() const { return shared_.auditor; }
  const CoordinationFigures& figures() const { return shared_.figures; }

 private:
  class Caller;
  class LockCaller;
  class NumberCaller;
  class PutCaller;
  class ReadCaller;
  class WatchCaller;
  class FinalCall;
  struct Names {
    std::vector<std::string> locks, elections, numbers, keys, groups;
  };
  void add_callers(const Names& names, std::size_t set);
  template <class Kind, class... Arguments>
  Kind& add(Arguments&&... arguments);
  void add_final_calls();
  void add_final_watches();
  void add_final_call(CoordinationCall call, std::size_t controller, ControllerChoice choice, Span limit);

  CoordinationClient::Shared shared_;
  const Spec spec_;
  std::vector<Names> names_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::vector<WatchCaller*> watchers_;
  std::vector<std::unique_ptr<FinalCall>> final_calls_;
};

}  // namespace chutevane::lab::tier
