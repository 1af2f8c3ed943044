// A way between two processes that can be broken: takes connections at an address, and passes what comes on
// to another. What is on its way when its sender's end closes is dropped, so that nothing arrives that its
// sender has given up.
#pragma once

#include <netinet/in.h>

#include <deque>
#include <functional>
#include <string>

#include "lab/draw.hpp"
#include "lab/listener.hpp"
#include "lab/timeline.hpp"
#include "net/buffer.hpp"
#include "net/task_group.hpp"

namespace chutevane::lab {

class Relay;

class RelayedConnection {
 public:
  RelayedConnection(net::Scheduler& scheduler, Relay& owner, int fd, const sockaddr_in& to);
  std::size_t group_index = 0;

 private:
  friend class Relay;
  static constexpr net::Waker::Bits due = net::Waker::own, told = net::Waker::own << 1U;
  struct Chunk {
    TimePoint due;
    std::string bytes;
  };
  struct Direction {
    std::deque<Chunk> way;  // in order
    std::size_t held = 0;   // bytes of it
    bool ended = false;     // its sender writes no more
    bool passed_on = false;
    TimePoint free_at;  // of a capped way
  };
  net::Task run();
  // False: the connection is over.
  bool move(net::Socket& from, net::Socket& to, Direction& direction, bool blocked, TimePoint& next);

  net::Scheduler& scheduler_;
  Relay& owner_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket near_, far_;  // near: towards who opened it
  sockaddr_in to_;
  Direction there_, back_;
  net::Buffer room_;
  bool silent_ = false;  // one end is gone, and the other was told nothing
  net::Task task_;
};

class Relay final : public Acceptor {
 public:
  Relay(net::Scheduler& scheduler, const sockaddr_in& at, const sockaddr_in& to, std::uint64_t seed);
  // Takes its connections by accepted() alone.
  Relay(net::Scheduler& scheduler, const sockaddr_in& to, std::uint64_t seed);
  // `near_is_sidecar`: whether the connections are opened by the sidecar, whose directions the ills name.
  void suffer(const WayIlls& ills, bool near_is_sidecar);
  void cut();               // resets all connections, both ends
  void lose(bool of_near);  // one end is reset; the other hears nothing any more
  void accepted(int fd) override;
  // Tells of each piece of bytes and each connection that a fault has touched.
  std::function<void(FaultKind)> on_struck = [](FaultKind) {};

 private:
  friend class RelayedConnection;
  net::Scheduler& scheduler_;
  sockaddr_in to_;
  WayIlls ills_;
  bool block_there_ = false, block_back_ = false;
  Chance chance_;
  Listener listener_;
  net::TaskGroup<RelayedConnection> connections_;
};

}  // namespace chutevane::lab
