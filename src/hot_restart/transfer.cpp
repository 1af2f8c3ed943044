#include "hot_restart/transfer.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cctype>
#include <utility>

#include "base/log.hpp"
#include "hot_restart/descriptor_passing.hpp"

namespace chutevane::hot_restart {

ReceivedTransfer& ReceivedTransfer::operator=(ReceivedTransfer&& other) noexcept {
  std::swap(is_refused, other.is_refused);
  std::swap(link, other.link);
  std::swap(listeners, other.listeners);
  std::swap(state, other.state);
  return *this;
}

ReceivedTransfer::~ReceivedTransfer() {
  if (link >= 0) ::close(link);
  for (const int listener : listeners) {
    if (listener >= 0) ::close(listener);
  }
}

std::string socket_path_for(const std::string& folder, const std::string& name) {
  if (folder.empty()) return "";
  std::string safe_name;
  for (const char c : name) safe_name += std::isalnum(static_cast<unsigned char>(c)) != 0 ? c : '_';
  std::string path = folder + "/chutevane-" + safe_name + ".sock";
  if (unix_address(path + ".new")) return path;
  log_line("handover: %s is too long a name for a socket; a new version cannot take over", path.c_str());
  return "";
}

ReceivedTransfer request_transfer(const std::string& socket_path, Span timeout) {
  ReceivedTransfer transfer;
  const std::optional<sockaddr_un> address = unix_address(socket_path);
  if (!address) return transfer;
  OwnedDescriptor link = open_unix_socket();
  if (!link.is_open()) return transfer;
  if (::connect(link.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0 ||
      !is_peer_same_user(link.get()))
    return transfer;
  pollfd readable{link.get(), POLLIN, 0};
  if (::poll(&readable, 1, static_cast<int>(timeout.as_ms())) != 1) {
    log_line("handover: the process at %s does not answer", socket_path.c_str());
    return transfer;
  }
  ReceivedMessage message = receive_message(link.get());
  transfer.is_refused = message.type == MessageType::refused;
  // The state's file and at least one listener.
  if (message.type != MessageType::transfer || message.descriptors.size() < 2) return transfer;
  transfer.state = read_sealed_file(message.descriptors.front().get());
  for (std::size_t i = 1; i < message.descriptors.size(); ++i)
    transfer.listeners.push_back(message.descriptors[i].release());
  transfer.link = link.release();
  return transfer;
}

}  // namespace chutevane::hot_restart
