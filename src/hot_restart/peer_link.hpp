/// One end of the connection between a predecessor and its successor: it tells either process whether the
/// other one lives and serves.
#pragma once

#include <functional>

#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace chutevane::hot_restart {

/// Runs on the scheduler's thread. Not connected until adopt(); connected again with the next adopt() after
/// the other end is gone.
class PeerLink {
 public:
  /// `on_change`: the other process has announced something, or has ended.
  PeerLink(net::Scheduler& scheduler, std::function<void()> on_change);
  /// Takes over a connected, non-blocking descriptor.
  void adopt(int descriptor);
  [[nodiscard]] bool is_connected() const { return socket_.open(); }
  /// By the other process's last announcement; it does not serve before its first one.
  [[nodiscard]] bool is_serving() const { return is_connected() && peer_serves_; }
  /// Tells the other process whether this one serves. Nothing happens where there is none.
  void announce(bool is_serving);

 private:
  net::Task run();

  std::function<void()> on_change_;
  net::Waker waker_;
  net::Socket socket_;
  net::Buffer buffer_;
  bool peer_serves_ = false;
  net::Task task_;
};

}  // namespace chutevane::hot_restart
