/// Hot restart, the serving process's side, and its links to the processes before and after it.
///
/// The process that serves listens on a Unix socket at a path that all versions of the sidecar know. To a
/// successor that connects it sends its listening sockets and its state, and keeps the connection as a link.
/// From then on both accept from the same sockets, so that no connection is refused between the two; each
/// announces on the link whether it serves. Once the successor serves it listens at the same path itself and
/// is the one that a further successor finds.
///
/// One successor at a time: while it lives, others are refused, since each would take a part of what the
/// first one was given.
#pragma once

#include <functional>
#include <string>

#include "hot_restart/peer_link.hpp"
#include "hot_restart/transfer.hpp"
#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace chutevane::hot_restart {

/// Runs on the scheduler's thread.
class HotRestartChannel {
 public:
  /// `make_payload`: what a successor is to receive now. `on_change`: a link was made, has ended, or has
  /// announced something.
  HotRestartChannel(net::Scheduler& scheduler, std::string socket_path,
                    std::function<TransferPayload()> make_payload, std::function<void()> on_change);

  /// Takes over the link that came with this process's own transfer.
  void adopt_predecessor(int link) { predecessor_.adopt(link); }
  /// Listens for successors, in place of whichever process listened there before. A failure is logged, and a
  /// new version cannot take over then.
  void listen();
  /// Tells the processes before and after whether this one serves; a later successor is told so too.
  void announce(bool is_serving);

  [[nodiscard]] const PeerLink& predecessor() const { return predecessor_; }
  [[nodiscard]] const PeerLink& successor() const { return successor_; }

 private:
  net::Task accept();
  void admit(int descriptor);
  bool send_transfer(int descriptor);

  const std::string socket_path_;
  std::function<TransferPayload()> make_payload_;
  std::function<void()> on_change_;
  bool is_serving_ = false;
  PeerLink predecessor_, successor_;
  net::Waker waker_;
  net::Socket socket_;
  net::Task task_;
};

}  // namespace chutevane::hot_restart
