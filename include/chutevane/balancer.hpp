// Decides for one sidecar: where an API call goes, whether it goes again, how long it waits.
//
// Ask with an event, act on what comes back, and call woken() no later than next_wake(). The views
// that are returned hold until the next call. One instance serves one thread; instances share nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane {

using Answers = std::span<const Answer>;

class Balancer {
 public:
  // Throws SettingError, naming key and value, when a needed setting is missing or no number.
  Balancer(const Settings& settings, std::uint64_t seed, TimePoint now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // The list of endpoints, whole or in part, or the news that asking for it failed.
  Answers listed(ListKind kind, std::span<const ListedEndpoint> entries, TimePoint now);
  // A new API call: exactly one answer, which may be to wait.
  Answer arrived(const ApiCall& call, TimePoint now);
  // A dispatch has ended. Without `call_over` the call is still owed its answer.
  Answers ended(const DispatchEnd& end, TimePoint now);
  // More of a coming call's request has gone out, or the last of it: its time counts from here, and with the
  // last its place among the calls in flight.
  void moved(CallId call, bool last, TimePoint now);
  // An answer that had begun to go on, and whose dispatch was told as done then, has broken.
  void broke(EndpointId endpoint, TimePoint now);
  // The client has left; nothing more is owed.
  Answers client_left(CallId call, TimePoint now);
  // Another sidecar's `tell` has come: its endpoint and number.
  void told(EndpointId endpoint, std::uint32_t news, TimePoint now);
  Answers woken(TimePoint now);
  TimePoint next_wake() const;
  std::vector<Learnt> learnt() const;
  // Takes what another process learnt of endpoints that the list has named; what is known already stands.
  void recall(std::span<const Learnt> known, TimePoint now);
  Carried carried(TimePoint now) const;
  void carry(const Carried& from, TimePoint now);  // once the list has come
  // The part of this sidecar's budgets at cold endpoints that is this process's: two may serve as one
  // sidecar.
  void share(double part);
  std::size_t avoided(TimePoint now) const;  // ready endpoints that are passed over now
  bool usable(EndpointId endpoint) const;    // calls may go to it, though a list may have called it gone
  std::size_t endpoints_kept() const;  // places: as many as were listed or still answered calls at one time

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace chutevane
