// The callers from outside, in an open loop: who wants something when is drawn beforehand and waits for
// nobody; a late answer delays no other call, and its latency counts from when it was meant to be asked for.
#pragma once

#include <deque>
#include <functional>
#include <queue>
#include <unordered_map>

#include "lab/auditor.hpp"
#include "lab/client.hpp"
#include "lab/endpoint.hpp"
#include "lab/front.hpp"
#include "lab/ledger.hpp"

namespace chutevane::lab {

class CallerStandIns final : public ClientSink {
 public:
  CallerStandIns(net::Scheduler& scheduler, Shared& shared, Ledger& ledger, Front& front, std::uint64_t seed);

  void begin(TimePoint at);  // the first call comes a little later
  void rate_factor(double factor) { factor_ = factor; }
  void stop() { stopped_ = true, timer_.cancel(); }  // no new wishes; those in hand go on
  std::size_t open_wishes() const { return wishes_.size(); }
  std::uint64_t answered_calls() const { return answered_calls_; }
  std::uint64_t connections_opened() const { return client_.opened(); }
  // Which wish a call of the first tier belongs to.
  void dispatched(CallKey call);

  void sent(std::uint64_t request, std::size_t sidecar) override;
  void answered(std::uint64_t request, const http::Parser& answer) override;
  void failed(std::uint64_t request, Failure how) override;
  void extra_bytes(std::uint64_t request) override;
  bool goes_again(std::uint64_t request) override { return !shared_.auditor.is_excused(request); }
  void room() override;

 private:
  static constexpr net::Waker::Bits due = net::Waker::own, planned = net::Waker::own << 1U;
  struct Wish {
    std::size_t track = 0;
    TimePoint intended;
    int tries = 0;
    CallKey call = 0;  // its open try; 0: none
    std::string reference;
    std::uint64_t key = 0;
    Ending last = Ending::unanswered;
  };
  enum class What : std::uint8_t { ask, leave, expire };
  struct Plan {
    TimePoint at;
    std::uint64_t wish = 0;
    What what = What::ask;
    bool operator>(const Plan& o) const { return at != o.at ? at > o.at : wish > o.wish; }
  };
  net::Task arrive();
  net::Task follow_plans();
  void plan(TimePoint at, std::uint64_t wish, What what);
  void new_wish(TimePoint intended);
  void ask(std::uint64_t wish);
  void try_over(std::uint64_t wish, Ending how, Span come_back);
  void end(std::uint64_t wish, Ending how);
  std::uint64_t take_wish_of(std::uint64_t request);  // 0: none

  net::Scheduler& scheduler_;
  Shared& shared_;
  const Experiment& experiment_;
  Ledger& ledger_;
  Chance arrivals_, habits_;
  Client client_;
  double factor_ = 1.0, shares_ = 0.0;
  bool stopped_ = false;
  TimePoint next_;
  std::uint64_t last_wish_ = 0, answered_calls_ = 0;
  std::unordered_map<std::uint64_t, Wish> wishes_;
  std::unordered_map<CallKey, std::uint64_t> calls_;  // open tries
  std::deque<std::uint64_t> waiting_;                 // for a connection
  std::priority_queue<Plan, std::vector<Plan>, std::greater<>> plans_;
  net::Waker waker_, plan_waker_;
  net::Timer timer_, plan_timer_;
  net::Task arriver_, planner_;
};

}  // namespace chutevane::lab
