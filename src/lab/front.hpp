// The front before the first tier: deals callers' new connections out over the sidecars it believes in. It
// takes one in once that has said that it is ready, and notices late when one has died.
#pragma once

#include <functional>
#include <vector>

#include "http/parser.hpp"
#include "lab/client.hpp"
#include "net/task_group.hpp"

namespace chutevane::lab {

// Asks `GET /ready` again and again until it is answered 200. Used for every sidecar that starts.
class ReadyChecks {
 public:
  using Heard = std::function<void(std::size_t sidecar)>;
  ReadyChecks(net::Scheduler& scheduler, Heard heard)
      : scheduler_(scheduler), heard_(std::move(heard)), checks_(scheduler) {}
  void begin(std::size_t sidecar, const sockaddr_in& address);
  void stop(std::size_t sidecar);

 private:
  class Check {
   public:
    Check(net::Scheduler& scheduler, ReadyChecks& all, std::size_t sidecar, const sockaddr_in& address);
    std::size_t group_index = 0;

   private:
    friend class ReadyChecks;
    static constexpr net::Waker::Bits due = net::Waker::own, dropped = net::Waker::own << 1U;
    net::Task run();
    net::Scheduler& scheduler_;
    ReadyChecks& all_;
    net::Waker waker_;
    net::Timer timer_;
    net::Socket socket_;
    net::Buffer in_;
    http::Parser parser_{http::Side::response};
    std::size_t sidecar_;
    sockaddr_in address_;
    net::Task task_;
  };
  net::Scheduler& scheduler_;
  Heard heard_;
  net::TaskGroup<Check> checks_;
};

class Front final : public Dealer {
 public:
  explicit Front(net::Scheduler& scheduler) : scheduler_(scheduler) {}
  void take_in(std::size_t sidecar, const sockaddr_in& address);
  // From then on nothing is dealt to it; until then it is believed in.
  void drop_at(std::size_t sidecar, TimePoint when);
  std::optional<Destination> deal() override;  // in turn

 private:
  struct Member {
    Destination to;
    TimePoint until;
  };
  net::Scheduler& scheduler_;
  std::vector<Member> members_;
  std::size_t turn_ = 0;
};

}  // namespace chutevane::lab
