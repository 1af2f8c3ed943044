/// Messages with descriptors between two processes of one host, over Unix stream sockets.
///
/// A message is one byte, its type; descriptors travel beside it as SCM_RIGHTS ancillary data. Text travels
/// as the descriptor of a sealed memory file, so that it arrives complete whatever its size.
#pragma once

#include <sys/un.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chutevane::hot_restart {

inline constexpr std::size_t max_listeners = 32;           // in one message; the kernel takes 253 descriptors
inline constexpr std::size_t max_state_bytes = 4U << 20U;  // some ten thousand endpoints

/// The wire between processes of different versions: values are never reused.
enum class MessageType : char {
  none = '\0',        ///< nothing was received; never sent
  transfer = 'h',     ///< predecessor to successor: the state's memory file, then the listeners
  refused = 'b',      ///< predecessor to successor: another successor has the state already
  serving = 'S',      ///< either way: the sender accepts requests
  not_serving = 'N',  ///< either way: the sender accepts no further requests
};

/// Owns a descriptor and closes it.
class OwnedDescriptor {
 public:
  OwnedDescriptor() = default;
  explicit OwnedDescriptor(int descriptor) : descriptor_(descriptor) {}
  OwnedDescriptor(OwnedDescriptor&& other) noexcept : descriptor_(other.release()) {}
  OwnedDescriptor& operator=(OwnedDescriptor&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~OwnedDescriptor();

  [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
  [[nodiscard]] int get() const { return descriptor_; }
  /// Leaves the descriptor to the caller; -1 where there is none.
  [[nodiscard]] int release() { return std::exchange(descriptor_, -1); }

 private:
  int descriptor_ = -1;
};

struct ReceivedMessage {
  MessageType type = MessageType::none;
  std::vector<OwnedDescriptor> descriptors;
};

/// The address of a socket at `path`; nothing where the path is empty or too long for one.
[[nodiscard]] std::optional<sockaddr_un> unix_address(const std::string& path);
/// Non-blocking and closed on exec. Not open, with errno set, where the kernel refuses one.
[[nodiscard]] OwnedDescriptor open_unix_socket();
/// Whether the process at the other end runs as this process's user: others may reach the socket's folder.
[[nodiscard]] bool is_peer_same_user(int socket);

/// A memory file that holds `text` and cannot be changed any more. Not open where the kernel refuses it.
[[nodiscard]] OwnedDescriptor make_sealed_file(const std::string& text);
/// What such a file holds; empty where it is none or holds more than `max_state_bytes`.
[[nodiscard]] std::string read_sealed_file(int descriptor);

/// Sends one message; descriptors stay the caller's. At most `max_listeners` + 1 of them.
bool send_message(int socket, MessageType type, const std::vector<int>& descriptors);
/// Receives one message. Its type may be unknown to this version.
[[nodiscard]] ReceivedMessage receive_message(int socket);

}  // namespace chutevane::hot_restart
