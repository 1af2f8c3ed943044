#include "hot_restart/peer_link.hpp"

#include <utility>

#include "hot_restart/descriptor_passing.hpp"

namespace chutevane::hot_restart {

using net::Socket;
using net::Waker;

PeerLink::PeerLink(net::Scheduler& scheduler, std::function<void()> on_change)
    : on_change_(std::move(on_change)), waker_(scheduler), socket_(scheduler, waker_) {}

void PeerLink::adopt(int descriptor) {
  socket_.adopt(descriptor);
  peer_serves_ = false;
  task_ = run();
  task_.start();
}

void PeerLink::announce(bool is_serving) {
  if (!is_connected()) return;
  const char byte = static_cast<char>(is_serving ? MessageType::serving : MessageType::not_serving);
  std::size_t written = 0;
  socket_.write({&byte, 1}, written);
}

net::Task PeerLink::run() {
  while (true) {
    const Socket::Result result = socket_.read(buffer_);
    for (const char byte : buffer_.bytes()) {
      const auto type = static_cast<MessageType>(byte);
      if (type == MessageType::serving || type == MessageType::not_serving)
        peer_serves_ = type == MessageType::serving;
    }
    const bool has_received = !buffer_.empty();
    buffer_.consume(buffer_.size());
    const bool has_ended = result == Socket::Result::ended || result == Socket::Result::broken;
    if (has_ended) socket_.close();
    if (has_received || has_ended) on_change_();
    if (has_ended) break;
    co_await waker_.wait(Waker::readable | Waker::hung_up);
  }
}

}  // namespace chutevane::hot_restart
