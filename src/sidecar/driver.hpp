// Drives the balancer: hands it every event with the time, and does what it answers. Decides nothing.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>

#include "base/slab.hpp"
#include "chutevane/balancer.hpp"
#include "config/config.hpp"
#include "discovery/watch.hpp"
#include "net/scheduler.hpp"
#include "pool/onward.hpp"
#include "sidecar/counters.hpp"
#include "sidecar/endpoints.hpp"
#include "snapshot/warm_start.hpp"

namespace chutevane::sidecar {

// Who waits for the final answer of an API call. Gets exactly one of the four, unless it leaves. `spent`:
// what was done for the call until then.
class Caller {
 public:
  virtual const http::Parser& request() const = 0;
  virtual sockaddr_in peer() const = 0;  // where it is
  // Its request's body, where that comes in pieces; none: the request holds it.
  virtual const std::shared_ptr<Pipe>& body() const = 0;
  virtual void done(const http::Parser& response) = 0;
  // The final answer too: its head now, the body in pieces.
  virtual void began(const http::Parser& response, const std::shared_ptr<Pipe>& body) = 0;
  virtual void rejected(Span come_back, const pool::Spent& spent) = 0;
  virtual void broken_off(bool timed_out, const pool::Spent& spent) = 0;

 protected:
  ~Caller() = default;
};

class Driver final : public DispatchSink, public discovery::Sink {
 public:
  Driver(net::Scheduler& scheduler, const config::Config& config, Endpoints& endpoints, Counters& counters);

  // A new call; its id. The answer may come before this returns.
  CallId take(ApiCall call, Caller& caller);
  void caller_left(CallId call);
  void move_discovery(const std::string& address) {
    if (watch_) watch_->move(address);
  }
  std::size_t endpoints_listed() const { return endpoints_.listed(); }
  std::size_t endpoints_avoided() const { return balancer_.avoided(scheduler_.now()); }
  std::size_t endpoints_ready() const { return endpoints_.ready(); }
  // All that is learnt, and the list; whose it is and when it was is the caller's to say.
  snapshot::Snapshot learnt() const;
  void recall(const snapshot::WarmStart& known);
  // Of the sidecar's budgets: two processes may serve as one.
  void share(double part) { balancer_.set_slow_start_share(part), endpoints_.share(part); }
  // The process is about to end: every call still in hand gets its final answer now.
  void break_off_all();

  void request_moved(const Dispatch& dispatch, bool last) override;
  bool answer_began(const Dispatch& dispatch, const http::Parser& response,
                    const std::shared_ptr<Pipe>& body) override;
  void answer_broke(EndpointId endpoint) override { balancer_.broke(endpoint, scheduler_.now()); }
  void dispatch_over(const Dispatch& dispatch, Outcome outcome, const http::Parser* response) override;
  void list_came(const discovery::List& list) override;
  void list_failed() override;

 private:
  static constexpr std::size_t dispatches_most = 8;  // as many as the module can keep
  struct Call {
    CallId id = 0;
    Caller* caller = nullptr;  // none once answered, or left
    std::uint8_t out = 0;
    bool timed_out = false;  // how its last dispatch ended
    pool::Spent spent;
    std::array<EndpointConnection*, dispatches_most> dispatches{};
  };

  void take_list(ListKind kind, const discovery::List& list);
  void note_closed(const discovery::Entry& entry);
  // As an older list's entry is to be taken.
  Availability still_closed(const discovery::Entry& entry) const;
  void part_with_doubted();
  void apply(Answers answers);
  void pump();
  void act(const Answer& answer);
  void dispatch(std::uint32_t at, const Answer& answer);
  Caller* release(std::uint32_t at);
  pool::Spent spent_of(std::uint32_t at) const;
  void tell_end(const Dispatch& dispatch, Outcome outcome, bool call_over, bool last);
  void withdraw_unsent(CallId call);
  void settle(std::uint32_t at);
  net::Task keep_time();

  net::Scheduler& scheduler_;
  Endpoints& endpoints_;
  Counters& counters_;
  Balancer balancer_;
  std::vector<std::string> zones_, models_;
  std::map<std::string, discovery::Entry> listed_;  // as discovery last told, by id
  std::uint64_t version_ = 0;                       // of it
  // What was told to drain or be gone of late, by id: an older list does not take that back.
  struct Closed {
    Availability availability = Availability::gone;
    TimePoint came_up, told;
  };
  std::map<std::string, Closed> closed_;
  CallId last_id_ = 0;
  Slab<Call> calls_;
  IdIndex call_index_;
  std::deque<Answer> answers_;    // still to be done, in order
  std::deque<DispatchEnd> ends_;  // still to be told
  bool pumping_ = false;
  std::optional<discovery::Watch> watch_;  // none: the list is the one that was given
  net::Waker waker_;
  net::Timer timer_;
  net::Task timekeeper_;
};

}  // namespace chutevane::sidecar
