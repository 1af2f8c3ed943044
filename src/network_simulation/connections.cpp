/// \file
/// The part of the simulator that stands for the kernels' TCP: connecting, segments, buffers and closing.
#include <algorithm>
#include <cerrno>
#include <cmath>
#include <utility>

#include "network_simulation/simulator.hpp"

namespace chutevane::network_simulation {
namespace {

constexpr Span connect_retry_interval = Span::ms(1000);  // doubles with each attempt
constexpr std::uint32_t max_connect_attempts = 4;
constexpr std::size_t max_segment_size = 16 * 1024;  // bytes

}  // namespace

TimePoint consume_timestamps(std::deque<SendTimestamp>& timestamps, std::size_t bytes) {
  TimePoint last;
  while (bytes > 0 && !timestamps.empty()) {
    const std::size_t part = std::min(bytes, timestamps.front().bytes);
    last = timestamps.front().sent_at;
    timestamps.front().bytes -= part;
    bytes -= part;
    if (timestamps.front().bytes == 0) timestamps.pop_front();
  }
  return last;
}

// --- The table of connections

Connection& Simulator::open_connection(Process& from, int fd, const sockaddr_in& local,
                                       const sockaddr_in& to) {
  auto created = std::make_unique<Connection>();
  Connection& connection = *created;
  connection.id = ++last_connection_;
  connection.ends[0].process = &from;
  connection.ends[0].fd = fd;
  connection.ends[0].address = local;
  connection.ends[1].address = to;
  for (ConnectionEnd& end : connection.ends) {
    end.receive_buffer_size = draw_buffer_size();
    end.send_buffer_size = draw_buffer_size();
  }
  connections_[connection.id] = std::move(created);
  return connection;
}

Connection* Simulator::find_connection(std::uint64_t id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

// A connection is finished when both programs have closed it and nothing is in flight.
void Simulator::erase_if_finished(std::uint64_t id) {
  const Connection* connection = find_connection(id);
  if (connection == nullptr || connection->listener_fd >= 0) return;
  for (const ConnectionEnd& end : connection->ends) {
    if (end.fd >= 0 || end.state != ConnectionEnd::State::closed) return;
  }
  if (connection->streams[0].segments.empty() && connection->streams[1].segments.empty())
    connections_.erase(id);
}

// Evenly over the orders of magnitude between the bounds.
std::size_t Simulator::draw_buffer_size() {
  const double smallest = static_cast<double>(conditions_.min_buffer_size);
  const double largest = static_cast<double>(conditions_.max_buffer_size);
  return static_cast<std::size_t>(smallest * std::pow(largest / smallest, draw_uniform()));
}

// --- Connecting

void Simulator::attempt_connect(Connection& connection, std::uint32_t attempt) {
  const ConnectionEnd& client = connection.ends[0];
  if (client.state != ConnectionEnd::State::connecting || client.closed_by_program) return;
  ConnectionEnd& server = connection.ends[1];
  Process* const to = process_at(ntohl(server.address.sin_addr.s_addr));
  const auto retry = [&] {
    if (attempt + 1 < max_connect_attempts)
      schedule(now_ + connect_retry_interval * static_cast<double>(1U << attempt),
               Event::Kind::connect_attempt, attempt + 1, connection.id);
  };
  const Process& from = *client.process;
  if (to == nullptr || is_blocked(from.number_, to->number_) || is_blocked(to->number_, from.number_))
    return retry();
  if (conditions_.connect_loss_probability > 0.0 && to->remote_ &&
      draw_uniform() < conditions_.connect_loss_probability) {
    trace_.record(now_, "lost-connect c=%llu", static_cast<unsigned long long>(connection.id));
    return retry();
  }
  int fd = -1;
  Process::Descriptor* const listener = to->find_listener(ntohs(server.address.sin_port), fd);
  if (listener == nullptr)
    return schedule(now_ + draw_delay(to->number_, from.number_), Event::Kind::refuse, 0, connection.id);
  if (listener->accept_queue.size() > listener->backlog) return retry();
  server.process = to;
  server.state = ConnectionEnd::State::established;
  connection.listener_fd = fd;
  listener->accept_queue.push_back(connection.id);
  to->notify(fd);
  send_segment(connection, 1, Segment::Kind::established, "", now_);
}

void Simulator::refuse_connect(Connection& connection) {
  ConnectionEnd& client = connection.ends[0];
  if (client.state != ConnectionEnd::State::connecting) return;
  client.state = ConnectionEnd::State::closed;
  client.pending_error = ECONNREFUSED;
  trace_.record(now_, "refused c=%llu", static_cast<unsigned long long>(connection.id));
  notify(client);
}

// --- Segments

void Simulator::send_segment(Connection& connection, int from, Segment::Kind kind, std::string bytes,
                             TimePoint sent_at) {
  Stream& stream = connection.streams[from];
  Span delay = draw_delay(connection.ends[from].process->number_, connection.ends[1 - from].process->number_);
  if (conditions_.retransmit_probability > 0.0 && draw_uniform() < conditions_.retransmit_probability)
    delay = delay + conditions_.retransmit_delay;
  stream.bytes_in_flight += bytes.size();
  stream.last_arrival = std::max(stream.last_arrival, now_ + delay);
  stream.segments.push_back({kind, std::move(bytes), stream.last_arrival, sent_at});
  schedule_delivery(connection, from, stream.last_arrival);
}

void Simulator::schedule_delivery(Connection& connection, int from, TimePoint at) {
  Stream& stream = connection.streams[from];
  if (stream.delivery_scheduled) return;
  stream.delivery_scheduled = true;
  schedule(at, Event::Kind::deliver, static_cast<std::uint32_t>(from), connection.id);
}

void Simulator::deliver(Connection& connection, int from) {
  Stream& stream = connection.streams[from];
  stream.delivery_scheduled = false;
  ConnectionEnd& sender = connection.ends[from];
  const std::size_t own = sender.process->number_, peer = connection.ends[1 - from].process->number_;
  if (is_blocked(own, peer)) {
    // Segments wait until the partition has healed; a reset is sent only once and is lost.
    std::erase_if(stream.segments, [](const Segment& s) { return s.kind == Segment::Kind::reset; });
    return;
  }
  while (!stream.segments.empty() && stream.segments.front().arrives_at <= now_) {
    Segment segment = std::move(stream.segments.front());
    stream.segments.pop_front();
    stream.bytes_in_flight -= segment.bytes.size();
    receive_segment(connection, 1 - from, segment);
  }
  if (!stream.segments.empty()) schedule_delivery(connection, from, stream.segments.front().arrives_at);
  if (sender.waiting_for_space && sender.state == ConnectionEnd::State::established && !is_blocked(peer, own))
    schedule(now_ + conditions_.mean_delay, Event::Kind::space_available, static_cast<std::uint32_t>(from),
             connection.id);
  transmit(connection, from);
}

void Simulator::receive_segment(Connection& connection, int to, Segment& segment) {
  ConnectionEnd& end = connection.ends[to];
  static constexpr const char* kind_names[] = {"data", "fin", "reset", "up"};
  trace_.record(now_, "arrive c=%llu at=%s what=%s bytes=%zu", static_cast<unsigned long long>(connection.id),
                end.process->name_.c_str(), kind_names[static_cast<std::size_t>(segment.kind)],
                segment.bytes.size());
  const bool is_closed = end.state == ConnectionEnd::State::closed || end.closed_by_program;
  if (is_closed && segment.kind != Segment::Kind::reset)
    return receive_at_closed_end(connection, to, segment.kind);
  switch (segment.kind) {
    case Segment::Kind::data:
      end.receive_buffer += segment.bytes;
      end.receive_timestamps.push_back({segment.bytes.size(), segment.sent_at});
      break;
    case Segment::Kind::fin:
      end.fin_received = true;
      end.peer_closed_at = segment.sent_at;
      break;
    case Segment::Kind::reset:
      if (end.state == ConnectionEnd::State::closed) return;
      end.pending_error = ECONNRESET;
      end.peer_closed_at = segment.sent_at;
      end.state = ConnectionEnd::State::closed;
      end.discard_unsent();
      if (draw_uniform() < conditions_.unread_discard_probability) end.discard_unread();
      break;
    case Segment::Kind::established:
      end.state = ConnectionEnd::State::established;
      transmit(connection, to);
      break;
  }
  notify(end);
}

// The kernel of a program that has closed, or of a machine that has lost the connection, answers with a
// reset.
void Simulator::receive_at_closed_end(Connection& connection, int to, Segment::Kind kind) {
  ConnectionEnd& end = connection.ends[to];
  if (kind != Segment::Kind::fin) return reset_end(connection, to);
  if (!end.fin_sent) return;
  end.state = ConnectionEnd::State::closed;
  connection.ends[1 - to].state = ConnectionEnd::State::closed;
}

// Sends as much as the receive buffer of the peer has space for, then the fin if it is due.
void Simulator::transmit(Connection& connection, int from) {
  ConnectionEnd& end = connection.ends[from];
  const ConnectionEnd& peer = connection.ends[1 - from];
  if (end.state != ConnectionEnd::State::established) return;
  while (!end.send_buffer.empty()) {
    const std::size_t used = peer.receive_buffer.size() + connection.streams[from].bytes_in_flight;
    if (used >= peer.receive_buffer_size) return;
    std::size_t size = std::min({end.send_buffer.size(), peer.receive_buffer_size - used, max_segment_size});
    if (size > 1 && conditions_.split_probability > 0.0 && draw_uniform() < conditions_.split_probability)
      size = 1 + static_cast<std::size_t>(draw_uniform() * static_cast<double>(size - 1));
    const TimePoint sent_at = end.send_timestamps.front().sent_at;
    std::string bytes = end.send_buffer.substr(0, size);
    end.send_buffer.erase(0, size);
    consume_timestamps(end.send_timestamps, size);
    send_segment(connection, from, Segment::Kind::data, std::move(bytes), sent_at);
  }
  if (end.fin_requested && !std::exchange(end.fin_sent, true))
    send_segment(connection, from, Segment::Kind::fin, "", now_);
}

// A kernel reports space once a third of the buffer is free.
bool Simulator::has_send_space(const Connection& connection, int which) {
  const ConnectionEnd& end = connection.ends[which];
  const std::size_t used = end.send_buffer.size() + connection.streams[which].bytes_in_flight;
  return (end.send_buffer_size - std::min(end.send_buffer_size, used)) * 3 >= end.send_buffer_size;
}

void Simulator::notify(ConnectionEnd& end) {
  if (end.fd >= 0) end.process->notify(end.fd);
}

// --- Closing

void Simulator::close_end(Connection& connection, int which, bool with_reset) {
  ConnectionEnd& end = connection.ends[which];
  ConnectionEnd& peer = connection.ends[1 - which];
  if (which == 1) connection.listener_fd = -1;
  end.fd = -1;
  end.closed_by_program = true;
  trace_.record(now_, "close c=%llu process=%s reset=%d unread=%zu",
                static_cast<unsigned long long>(connection.id), end.process->name_.c_str(),
                with_reset ? 1 : 0, end.receive_buffer.size());
  on_close(*end.process, end.address);
  if (end.state == ConnectionEnd::State::connecting) {
    end.state = ConnectionEnd::State::closed;
    if (peer.process == nullptr) peer.state = ConnectionEnd::State::closed;
  } else if (end.state == ConnectionEnd::State::established) {
    if (with_reset || !end.receive_buffer.empty()) {
      reset_end(connection, which);
    } else {
      end.fin_requested = true;
      transmit(connection, which);
      if (end.fin_received && end.fin_sent && end.send_buffer.empty())
        end.state = ConnectionEnd::State::closed;
    }
  }
  erase_if_finished(connection.id);
}

void Simulator::reset_end(Connection& connection, int which) {
  ConnectionEnd& end = connection.ends[which];
  end.state = ConnectionEnd::State::closed;
  end.discard_unsent();
  send_segment(connection, which, Segment::Kind::reset, "", now_);
}

// The end goes with its machine's power: the peer is not notified.
void Simulator::drop_end(Connection& connection, int which) {
  ConnectionEnd& end = connection.ends[which];
  if (which == 1) connection.listener_fd = -1;
  on_close(*end.process, end.address);
  end.fd = -1;
  end.closed_by_program = true;
  end.state = ConnectionEnd::State::closed;
  end.discard_unread();
  end.discard_unsent();
  connection.streams[which].segments.clear();
  connection.streams[which].bytes_in_flight = 0;
}

std::size_t Simulator::break_connections(std::size_t a, std::size_t b, bool notify_both) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, connection] : connections_) {
    if (connection->ends[0].process == nullptr || connection->ends[1].process == nullptr) continue;
    const std::size_t client = connection->ends[0].process->number_;
    const std::size_t server = connection->ends[1].process->number_;
    if ((client == a && server == b) || (client == b && server == a)) ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    Connection& connection = *find_connection(id);
    for (int i = 0; i < 2; ++i) {
      ConnectionEnd& end = connection.ends[i];
      if (end.state != ConnectionEnd::State::established) continue;
      if (!notify_both && end.process->number_ != a) continue;
      trace_.record(now_, "cut c=%llu at=%s", static_cast<unsigned long long>(id),
                    end.process->name_.c_str());
      end.state = ConnectionEnd::State::closed;
      end.pending_error = ECONNRESET;
      end.peer_closed_at = now_;
      end.discard_unsent();
      connection.streams[i].segments.clear();
      connection.streams[i].bytes_in_flight = 0;
      notify(end);
    }
  }
  return ids.size();
}

}  // namespace chutevane::network_simulation
