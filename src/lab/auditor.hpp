// Judges the four rules, and the further two that an experiment may state (5: calls of a key in turn, 6: a
// budget of dispatches), from what both ends of every call saw. Without I/O; hears nothing from the sidecars.
//
// Hand it each event with the lab's one clock, call settle() now and then, and finish() at the end. A breach
// names rule, call, times and what was seen. What took place within `slack` of a limit is let pass: a sidecar
// is not judged by the lab's own way.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/experiment.hpp"

namespace chutevane::lab {

using CallKey = std::uint64_t;      // the number in a call's id; numbers only grow
using EndpointKey = std::uint32_t;  // one life of an endpoint: a restarted one is another

enum class Final : std::uint8_t { done, rejected, broken_off };

struct Breach {
  int rule = 0;
  CallKey call = 0;
  TimePoint at;
  std::string what;
};

class Auditor {
 public:
  Auditor(const RulesSpec& rules, std::vector<TrackSpec> tracks, bool copies_allowed);

  // Judges nothing from here on: for a stand-in whose callers are in another process.
  void only_count() { counts_only_ = true; }

  // --- Callers
  struct Ask {
    CallKey call = 0;
    std::size_t track = 0, sidecar = 0;
    TimePoint sent;  // its last byte
    Span timeout;
    std::uint64_t key = 0;  // what it is about; 0: nothing
  };
  void asked(const Ask& ask);
  // It went out on another sidecar's connection after all.
  void moved(CallKey call, std::size_t sidecar);
  // `own`: the body is the one that an endpoint made for this call.
  void answered(CallKey call, Final how, bool own, TimePoint at);
  // More came on the call's connection than its answer.
  void answered_again(CallKey call, TimePoint at);
  // Nothing is owed any more: the caller left, or its sidecar was killed, or never took it.
  void excused(CallKey call);
  bool is_excused(CallKey call) const {
    const auto found = calls_.find(call);
    return found != calls_.end() && found->second.excused;
  }
  void sidecar_killed(std::size_t sidecar, TimePoint at);
  void sidecar_started(std::size_t sidecar) {
    taken_[sidecar].again.clear();
  }  // each process counts by itself
  // Until then dispatches may arrive later than they were sent, by no doing of a sidecar: rule 6 rests.
  void uncounted(TimePoint until) { uncounted_until_ = std::max(uncounted_until_, until); }
  // While the way from callers to it is in doubt, or it cannot run, none of its calls is owed an answer in
  // time; all other rules stay. Beginnings and ends are counted.
  void doubt(std::size_t sidecar, bool begins);

  // --- Endpoints
  struct Life {
    EndpointKey endpoint = 0;
    std::size_t group = 0, zone = 0, cell = 0;  // group: a pool; none remembers another's references
    TimePoint came_up;                          // zero: long warm
    double mean_work_ms = 0.0;
    double cores = 1.0;
  };
  void endpoint_up(const Life& life);
  // A whole request came; `first_byte` is when it began. A handle for what follows.
  std::uint64_t dispatched(CallKey call, EndpointKey endpoint, TimePoint first_byte, TimePoint last_byte);
  void ran(std::uint64_t dispatch, TimePoint at);          // its effect took place
  void turned_away(std::uint64_t dispatch, TimePoint at);  // with the proof that it never ran
  void over(std::uint64_t dispatch, TimePoint at);         // answered, or its connection has ended

  // --- Discovery
  // The sidecar has been told that the endpoint takes nothing new.
  void told(std::size_t sidecar, EndpointKey endpoint, TimePoint at);

  void settle(TimePoint now);  // judges what can be judged by now, and forgets what is over
  void finish(TimePoint now);

  const std::vector<Breach>& breaches() const { return breaches_; }  // the first hundred
  std::uint64_t breach_count() const { return breach_count_; }
  std::uint64_t dispatches() const { return next_dispatch_; }
  std::uint64_t effects() const { return effects_; }
  double most_cold_part() const { return most_cold_part_; }  // of rule 4's budget, the most that was used
  std::size_t calls_held() const { return calls_.size(); }

 private:
  struct Dispatch {
    std::uint64_t id = 0;
    EndpointKey endpoint = 0;
    TimePoint first_byte, last_byte, over_at = TimePoint::never();
    bool ran = false, turned_away = false;
  };
  struct Call {
    Ask ask;
    bool answered = false, excused = false, reported = false;
    Final how = Final::done;
    TimePoint answered_at;
    int effects = 0;
    std::vector<Dispatch> dispatches;
  };
  struct Endpoint {
    Life life;
    std::deque<TimePoint> arrivals;  // within the window, while cold
    std::unordered_map<std::size_t, TimePoint> told;
  };
  struct Sent {  // a dispatch whose circumstances are judged once all events up to it are in
    CallKey call = 0;
    std::uint64_t id = 0;
    TimePoint due;
  };
  using Due = std::pair<TimePoint, CallKey>;
  void breach(int rule, CallKey call, TimePoint at, std::string what);
  void judge(const Sent& sent);
  void judge_effects(const Call& call, const Dispatch& d, const Dispatch& before);
  void judge_turn(const Call& call, const Dispatch& d);
  void judge_budget(std::size_t sidecar, CallKey call, TimePoint at);
  void judge_cold(Endpoint& endpoint, CallKey call, TimePoint at);
  void expire(Call& call, TimePoint now);
  Dispatch* find(std::uint64_t dispatch, Call** call = nullptr);
  std::string name_of(EndpointKey endpoint) const;

  RulesSpec rules_;
  std::vector<TrackSpec> tracks_;
  bool copies_allowed_, counts_only_ = false;
  Span longest_;
  void excuse_open(std::size_t sidecar);
  std::unordered_map<std::size_t, int> doubts_;  // by sidecar
  std::unordered_map<CallKey, Call> calls_;
  std::deque<CallKey> order_;  // as asked
  std::unordered_map<std::uint64_t, CallKey> dispatch_call_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> dues_;  // when calls have to be answered
  std::unordered_map<EndpointKey, Endpoint> endpoints_;
  struct Taken {  // by one sidecar, within the span of the budget
    std::deque<TimePoint> calls, again;
  };
  std::unordered_map<std::size_t, Taken> taken_;
  TimePoint uncounted_until_;
  std::map<std::pair<std::size_t, std::uint64_t>, std::deque<CallKey>>
      turns_;  // by sidecar and key, as asked
  std::deque<Sent> to_judge_;
  std::vector<Breach> breaches_;
  std::uint64_t breach_count_ = 0, next_dispatch_ = 0, effects_ = 0;
  CallKey last_call_ = 0;
  double most_cold_part_ = 0.0;
};

}  // namespace chutevane::lab
