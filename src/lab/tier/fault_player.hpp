// Plays a story of troubles on the tier's processes, the ways between them, the endpoints and the operators.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <vector>

#include "lab/tier/crowd.hpp"
#include "lab/tier/endpoint_set.hpp"
#include "lab/tier/fault_plan.hpp"
#include "lab/tier/link_relays.hpp"
#include "lab/tier/machines.hpp"
#include "lab/tier/operators.hpp"

namespace chutevane::lab::tier {

class FaultPlayer {
 public:
  FaultPlayer(net::Scheduler& scheduler, net::TimerQueue& timers, Machines& machines, LinkRelays& ways,
              EndpointSet& endpoints, OperatorStandIn& operators);
  void play(const FaultPlan& story, TimePoint begin);
  // All that was taken away is back, and no order is under way.
  bool over() const { return open_ == 0; }
  /// Since when no machine and no way between machines has had a fault; never: one has now.
  TimePoint calm_since() const { return open_faults_ > 0 ? TimePoint::never() : calm_since_; }
  std::uint64_t played(FaultKind kind) const { return played_[static_cast<std::size_t>(kind)]; }

 private:
  void strike(const Fault& trouble);
  void pause(const Fault& trouble);
  void kill(const Fault& trouble);
  void kill_planes(Span back, std::initializer_list<MachinePlane> planes);
  void terminate(const Fault& trouble);
  void interrupt_drain(const Fault& trouble);
  void cut(const Fault& trouble);
  void halves(const Fault& trouble);
  void slow_way(const Fault& trouble);
  void lose_answers(const Fault& trouble);
  void change_endpoint(const Fault& trouble);
  void change(bool race);
  void crowd(const Fault& trouble);
  // The ways are ill for the trouble's time.
  void begin_link_fault(const Fault& trouble, LinkRelays::LinkFaultOf fault_of);
  Machines::Machine& machine_of(const Fault& trouble) { return machines_.at(trouble.plane, trouble.place); }
  void after(Span span, std::function<void()> what);  // what is under way until then
  /// The same, where what is under way is a fault of a machine or of the ways between machines.
  void end_fault_after(Span span, std::function<void()> what);

  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  Machines& machines_;
  LinkRelays& relays_;
  EndpointSet& endpoints_;
  OperatorStandIn& operators_;
  std::size_t open_ = 0, open_faults_ = 0;
  TimePoint calm_since_;
  std::vector<std::unique_ptr<Crowd>> crowds_;
  std::array<std::uint64_t, fault_kinds> played_{};
};

}  // namespace chutevane::lab::tier
