/// \file
/// The socket calls of a simulated process.
#include <algorithm>
#include <cerrno>
#include <utility>

#include "network_simulation/process.hpp"
#include "network_simulation/simulator.hpp"

namespace chutevane::network_simulation {
namespace {

constexpr std::size_t default_backlog = 4096;  // as SOMAXCONN
constexpr std::uint16_t first_ephemeral_port = 32768, last_ephemeral_port = 65535;

sockaddr_in make_address(std::uint32_t ip, std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr = htonl(ip);
  return out;
}

}  // namespace

// --- Connecting and accepting

int Process::connect(const sockaddr_in& to) {
  const int fd = allocate_descriptor(DescriptorKind::connection);
  if (fd < 0) return fd;
  const sockaddr_in local_address = make_address(ip_, next_port_);
  next_port_ =
      next_port_ == last_ephemeral_port ? first_ephemeral_port : static_cast<std::uint16_t>(next_port_ + 1);
  const Connection& connection = simulator_.open_connection(*this, fd, local_address, to);
  descriptors_[static_cast<std::size_t>(fd)].connection = connection.id;
  const Process* const peer = simulator_.process_at(ntohl(to.sin_addr.s_addr));
  simulator_.trace_.record(now(), "connect c=%llu from=%s to=%s",
                           static_cast<unsigned long long>(connection.id), name_.c_str(),
                           peer != nullptr ? peer->name_.c_str() : "nowhere");
  const Span delay =
      peer != nullptr ? simulator_.draw_delay(number_, peer->number_) : simulator_.conditions_.mean_delay;
  simulator_.schedule(now() + delay, Simulator::Event::Kind::connect_attempt, 0, connection.id);
  return fd;
}

int Process::connect_error(int fd) {
  const ConnectionView view = connection_of(fd);
  if (!view) return EBADF;
  ConnectionEnd& end = view.own_end();
  if (end.pending_error != 0) return std::exchange(end.pending_error, 0);
  return end.state == ConnectionEnd::State::closed ? ECONNRESET : 0;
}

int Process::listen(const sockaddr_in& at) {
  int other_listener = -1;
  const std::uint16_t port = ntohs(at.sin_port);
  if (ntohl(at.sin_addr.s_addr) != ip_) return -EADDRNOTAVAIL;
  if (find_listener(port, other_listener) != nullptr) return -EADDRINUSE;
  const int fd = allocate_descriptor(DescriptorKind::listener);
  if (fd < 0) return fd;
  descriptors_[static_cast<std::size_t>(fd)].port = port;
  descriptors_[static_cast<std::size_t>(fd)].backlog = default_backlog;
  simulator_.trace_.record(now(), "listen process=%s port=%d", name_.c_str(), port);
  return fd;
}

void Process::backlog(int fd, int limit) {
  if (Descriptor* const listener = find_descriptor(fd, DescriptorKind::listener))
    listener->backlog = static_cast<std::size_t>(std::max(0, limit));
}

int Process::accept(int fd) {
  const Descriptor* const listener = find_descriptor(fd, DescriptorKind::listener);
  if (listener == nullptr) return -EBADF;
  if (listener->accept_queue.empty()) return -EAGAIN;
  const int accepted_fd = allocate_descriptor(DescriptorKind::connection);
  if (accepted_fd < 0) {
    simulator_.trace_.record(now(), "exhausted process=%s held=%zu", name_.c_str(), open_descriptors_);
    return accepted_fd;
  }
  // The table may have been reallocated: `listener` is no longer valid.
  std::deque<std::uint64_t>& accept_queue = descriptors_[static_cast<std::size_t>(fd)].accept_queue;
  Descriptor& accepted = descriptors_[static_cast<std::size_t>(accepted_fd)];
  accepted.connection = accept_queue.front();
  accepted.end = 1;
  accept_queue.pop_front();
  if (Connection* const connection = simulator_.find_connection(accepted.connection)) {
    connection->listener_fd = -1;
    connection->ends[1].fd = accepted_fd;
    simulator_.trace_.record(now(), "accept c=%llu process=%s",
                             static_cast<unsigned long long>(connection->id), name_.c_str());
  }
  return accepted_fd;
}

// --- Reading and writing

long Process::receive(int fd, std::span<char> into) {
  const ConnectionView view = connection_of(fd);
  if (!view) return -EBADF;
  ConnectionEnd& end = view.own_end();
  if (end.state == ConnectionEnd::State::connecting) return -EAGAIN;
  if (!end.receive_buffer.empty()) {
    const std::size_t size = std::min(into.size(), end.receive_buffer.size());
    std::copy_n(end.receive_buffer.data(), size, into.data());
    end.receive_buffer.erase(0, size);
    end.first_byte_sent_at = end.receive_timestamps.front().sent_at;
    end.last_byte_sent_at = consume_timestamps(end.receive_timestamps, size);
    // The window opens: the peer's kernel is notified of it.
    if (!view.peer_end().send_buffer.empty())
      simulator_.schedule(now() + simulator_.conditions_.mean_delay, Simulator::Event::Kind::transmit,
                          static_cast<std::uint32_t>(1 - view.end), view.connection->id);
    return static_cast<long>(size);
  }
  const bool is_at_end = end.fin_received || end.state == ConnectionEnd::State::closed;
  if (end.pending_error == 0 && !is_at_end) return -EAGAIN;
  end.first_byte_sent_at = end.last_byte_sent_at = end.peer_closed_at;
  return -std::exchange(end.pending_error, 0);
}

long Process::peek(int fd) {
  const ConnectionView view = connection_of(fd);
  if (!view) return -EBADF;
  ConnectionEnd& end = view.own_end();
  if (!end.receive_buffer.empty()) return 1;
  if (end.pending_error != 0) return -std::exchange(end.pending_error, 0);
  return end.fin_received || end.state == ConnectionEnd::State::closed ? 0 : -EAGAIN;
}

long Process::send(int fd, std::span<const char> from) {
  const ConnectionView view = connection_of(fd);
  if (!view) return -EBADF;
  ConnectionEnd& end = view.own_end();
  if (end.pending_error != 0) return -std::exchange(end.pending_error, 0);
  if (end.state == ConnectionEnd::State::closed || end.fin_requested) return -EPIPE;
  const std::size_t used = end.send_buffer.size() + view.connection->streams[view.end].bytes_in_flight;
  const std::size_t space = end.send_buffer_size - std::min(end.send_buffer_size, used);
  const std::size_t size = std::min(from.size(), space);
  if (end.state == ConnectionEnd::State::connecting || size == 0) {
    end.waiting_for_space = true;
    return -EAGAIN;
  }
  end.send_buffer.append(from.data(), size);
  end.send_timestamps.push_back({size, now()});
  if (size < from.size()) end.waiting_for_space = true;
  simulator_.transmit(*view.connection, view.end);
  return static_cast<long>(size);
}

Span Process::way(int fd, bool of_first) const {
  const ConnectionView view = connection_of(fd);
  if (!view || view.own_end().last_byte_sent_at == TimePoint()) return Span();
  return now() - (of_first ? view.own_end().first_byte_sent_at : view.own_end().last_byte_sent_at);
}

// --- Addresses

std::optional<sockaddr_in> Process::local(int fd) const {
  if (const Descriptor* const listener = find_descriptor(fd, DescriptorKind::listener))
    return make_address(ip_, listener->port);
  const ConnectionView view = connection_of(fd);
  if (!view) return std::nullopt;
  return view.own_end().address;
}

std::optional<sockaddr_in> Process::peer(int fd) const {
  const ConnectionView view = connection_of(fd);
  if (!view) return std::nullopt;
  return view.peer_end().address;
}

// --- Closing

void Process::end_writing(int fd) {
  const ConnectionView view = connection_of(fd);
  if (!view) return;
  view.own_end().fin_requested = true;
  simulator_.transmit(*view.connection, view.end);
}

void Process::close(int fd, bool with_reset) {
  const auto index = static_cast<std::size_t>(fd);
  if (!running_ || fd < 0 || index >= descriptors_.size() || descriptors_[index].kind == DescriptorKind::none)
    return;
  const Descriptor closed = std::move(descriptors_[index]);
  descriptors_[index] = Descriptor{};
  --open_descriptors_;
  if (closed.queued) std::erase(ready_descriptors_, fd);
  for (const std::uint64_t id : closed.accept_queue) {
    if (Connection* const connection = simulator_.find_connection(id))
      simulator_.close_end(*connection, 1, true);
  }
  if (closed.kind != DescriptorKind::connection) return;
  if (Connection* const connection = simulator_.find_connection(closed.connection))
    simulator_.close_end(*connection, closed.end, with_reset);
}

}  // namespace chutevane::network_simulation
