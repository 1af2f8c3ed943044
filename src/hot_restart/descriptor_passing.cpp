#include "hot_restart/descriptor_passing.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cstring>

namespace chutevane::hot_restart {
namespace {

union AncillaryData {
  cmsghdr header;  // for its alignment
  std::array<char, CMSG_SPACE(sizeof(int) * (max_listeners + 1))> bytes;
};

}  // namespace

OwnedDescriptor::~OwnedDescriptor() {
  if (is_open()) ::close(descriptor_);
}

std::optional<sockaddr_un> unix_address(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) return std::nullopt;
  std::memcpy(address.sun_path, path.data(), path.size());
  return address;
}

OwnedDescriptor open_unix_socket() {
  return OwnedDescriptor(::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

bool is_peer_same_user(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

OwnedDescriptor make_sealed_file(const std::string& text) {
  OwnedDescriptor file(::memfd_create("chutevane-handover", MFD_CLOEXEC | MFD_ALLOW_SEALING));
  if (!file.is_open()) return file;
  std::size_t written = 0;
  while (written < text.size()) {
    const ssize_t count = ::write(file.get(), text.data() + written, text.size() - written);
    if (count <= 0) return OwnedDescriptor();
    written += static_cast<std::size_t>(count);
  }
  ::fcntl(file.get(), F_ADD_SEALS, F_SEAL_SHRINK | F_SEAL_GROW | F_SEAL_WRITE | F_SEAL_SEAL);
  return file;
}

std::string read_sealed_file(int descriptor) {
  struct stat status {};
  if (::fstat(descriptor, &status) != 0 || status.st_size < 0 ||
      status.st_size > static_cast<off_t>(max_state_bytes))
    return "";
  std::string text(static_cast<std::size_t>(status.st_size), '\0');
  const ssize_t count = ::pread(descriptor, text.data(), text.size(), 0);
  return count == status.st_size ? text : "";
}

bool send_message(int socket, MessageType type, const std::vector<int>& descriptors) {
  char byte = static_cast<char>(type);
  iovec part{&byte, 1};
  AncillaryData ancillary{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  if (!descriptors.empty()) {
    message.msg_control = ancillary.bytes.data();
    message.msg_controllen = CMSG_SPACE(sizeof(int) * descriptors.size());
    cmsghdr* const header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof(int) * descriptors.size());
    std::memcpy(CMSG_DATA(header), descriptors.data(), sizeof(int) * descriptors.size());
  }
  return ::sendmsg(socket, &message, MSG_NOSIGNAL) == 1;
}

ReceivedMessage receive_message(int socket) {
  char byte = '\0';
  iovec part{&byte, 1};
  AncillaryData ancillary{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = ancillary.bytes.data();
  message.msg_controllen = ancillary.bytes.size();
  ReceivedMessage received;
  if (::recvmsg(socket, &message, MSG_CMSG_CLOEXEC) != 1) return received;
  received.type = static_cast<MessageType>(byte);
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
    const std::size_t count = (header->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    std::vector<int> descriptors(count);
    std::memcpy(descriptors.data(), CMSG_DATA(header), count * sizeof(int));
    for (const int descriptor : descriptors) received.descriptors.emplace_back(descriptor);
  }
  return received;
}

}  // namespace chutevane::hot_restart
