#include "hot_restart/hot_restart_channel.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "base/log.hpp"
#include "hot_restart/descriptor_passing.hpp"

namespace chutevane::hot_restart {
namespace {

constexpr int listen_backlog = 4;

}  // namespace

HotRestartChannel::HotRestartChannel(net::Scheduler& scheduler, std::string socket_path,
                                     std::function<TransferPayload()> make_payload,
                                     std::function<void()> on_change)
    : socket_path_(std::move(socket_path)),
      make_payload_(std::move(make_payload)),
      on_change_(std::move(on_change)),
      predecessor_(scheduler, on_change_),
      successor_(scheduler, on_change_),
      waker_(scheduler),
      socket_(scheduler, waker_) {}

// Bound under another name and renamed over the old one: a successor finds a listening socket at any time,
// and what a dead process has left there is no obstacle.
void HotRestartChannel::listen() {
  const std::string temporary_path = socket_path_ + ".new";
  const std::optional<sockaddr_un> address = unix_address(temporary_path);
  if (!address) return;
  ::unlink(temporary_path.c_str());
  OwnedDescriptor descriptor = open_unix_socket();
  const bool is_bound =
      descriptor.is_open() &&
      ::bind(descriptor.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) == 0 &&
      ::chmod(temporary_path.c_str(), S_IRUSR | S_IWUSR) == 0 &&
      ::listen(descriptor.get(), listen_backlog) == 0 &&
      ::rename(temporary_path.c_str(), socket_path_.c_str()) == 0;
  if (!is_bound) {
    log_line("handover: %s: %s; a new version cannot take over", socket_path_.c_str(), std::strerror(errno));
    return;
  }
  socket_.adopt(descriptor.release());
  task_ = accept();
  task_.start();
}

void HotRestartChannel::announce(bool is_serving) {
  is_serving_ = is_serving;
  predecessor_.announce(is_serving);
  successor_.announce(is_serving);
}

bool HotRestartChannel::send_transfer(int descriptor) {
  const TransferPayload payload = make_payload_();
  const OwnedDescriptor state = make_sealed_file(payload.state);
  const std::vector<int>& listeners = payload.listeners;
  const bool has_closed = std::find(listeners.begin(), listeners.end(), -1) != listeners.end();
  if (!state.is_open() || has_closed || listeners.empty() || listeners.size() > max_listeners) return false;
  std::vector<int> descriptors{state.get()};
  descriptors.insert(descriptors.end(), listeners.begin(), listeners.end());
  return send_message(descriptor, MessageType::transfer, descriptors);
}

// A connection that is closed without a message tells its process to listen by itself.
void HotRestartChannel::admit(int descriptor) {
  OwnedDescriptor connection(descriptor);
  if (!is_peer_same_user(descriptor)) return;
  if (successor_.is_connected()) {
    send_message(descriptor, MessageType::refused, {});
    return;
  }
  if (!send_transfer(descriptor)) return;
  log_line("handover: a successor starts");
  successor_.adopt(connection.release());
  successor_.announce(is_serving_);
  on_change_();
}

net::Task HotRestartChannel::accept() {
  while (true) {
    bool exhausted = false;
    for (int descriptor = socket_.accept(exhausted); descriptor >= 0; descriptor = socket_.accept(exhausted))
      admit(descriptor);
    co_await waker_.wait(net::Waker::readable);
  }
}

}  // namespace chutevane::hot_restart
