// Plays a story of troubles on the tier's processes, the ways between them, the endpoints and the operators.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "lab/tier/endpoint_set.hpp"
#include "lab/tier/machines.hpp"
#include "lab/tier/operators.hpp"
#include "lab/tier/story.hpp"
#include "lab/tier/ways.hpp"

namespace chutevane::lab::tier {

class Troubles {
 public:
  Troubles(net::TimerQueue& timers, Machines& machines, Ways& ways, EndpointSet& endpoints,
           OperatorStandIn& operators);
  void play(const Story& story, TimePoint begin);
  // All that was taken away is back, and no order is under way.
  bool over() const { return open_ == 0; }
  /// Since when no machine and no way between machines has had a fault; never: one has now.
  TimePoint calm_since() const { return open_faults_ > 0 ? TimePoint::never() : calm_since_; }
  std::uint64_t played(TroubleKind kind) const { return played_[static_cast<std::size_t>(kind)]; }

 private:
  void strike(const Trouble& trouble);
  void pause(const Trouble& trouble);
  void kill(const Trouble& trouble);
  void kill_all(const Trouble& trouble);
  void terminate(const Trouble& trouble);
  void cut(const Trouble& trouble);
  void halves(const Trouble& trouble);
  void slow_way(const Trouble& trouble);
  void lose_answers(const Trouble& trouble);
  void change_endpoint(const Trouble& trouble);
  void change(bool race);
  // The ways are ill for the trouble's time.
  void ill_ways(const Trouble& trouble, Ways::IllsOf ills);
  Machines::Machine& machine_of(const Trouble& trouble) { return machines_.at(trouble.plane, trouble.place); }
  void after(Span span, std::function<void()> what);  // what is under way until then
  /// The same, where what is under way is a fault of a machine or of the ways between machines.
  void end_fault_after(Span span, std::function<void()> what);

  net::TimerQueue& timers_;
  Machines& machines_;
  Ways& ways_;
  EndpointSet& endpoints_;
  OperatorStandIn& operators_;
  std::size_t open_ = 0, open_faults_ = 0;
  TimePoint calm_since_;
  std::array<std::uint64_t, trouble_kinds> played_{};
};

}  // namespace chutevane::lab::tier
