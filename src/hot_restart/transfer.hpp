/// Hot restart, the successor's side: a process that starts asks the one that serves for its listeners and
/// its state.
///
/// Both processes use the same folder. The one that serves listens on a Unix socket there (see
/// hot_restart_channel.hpp). The successor connects and receives one message: a transfer, or a refusal
/// because another successor is starting already. After a transfer the connection stays open as the link on
/// which each process tells the other whether it serves; its end means that the other process has ended.
#pragma once

#include <string>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::hot_restart {

/// What a predecessor hands over.
struct TransferPayload {
  std::vector<int> listeners;  ///< descriptors of listening sockets; -1 for one that is closed
  std::string state;           ///< serialized; opaque to this module
};

/// What a successor has received. Owns its descriptors: those that nobody takes out are closed with it.
struct ReceivedTransfer {
  ReceivedTransfer() = default;
  ReceivedTransfer(ReceivedTransfer&& other) noexcept { *this = std::move(other); }
  ReceivedTransfer& operator=(ReceivedTransfer&& other) noexcept;
  ~ReceivedTransfer();

  bool is_refused = false;     ///< another successor is starting already; this process should not start
  int link = -1;               ///< the connection to the predecessor; -1: there is none, start cold
  std::vector<int> listeners;  ///< in the predecessor's order
  std::string state;           ///< empty where it could not be read
};

/// Where processes of the sidecar `name` meet in `folder`. Empty, and logged unless `folder` is empty, where
/// the path would be too long for a socket: there is no hot restart then.
[[nodiscard]] std::string socket_path_for(const std::string& folder, const std::string& name);

/// Asks the process that serves at `socket_path`, if there is one, and waits for `timeout` at most. Blocks: a
/// process that starts has nothing else to do yet. Without a process there, with a socket that a dead process
/// has left, or one of another user, the result has no link.
[[nodiscard]] ReceivedTransfer request_transfer(const std::string& socket_path, Span timeout);

}  // namespace chutevane::hot_restart
