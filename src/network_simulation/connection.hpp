/// \file
/// The state of one simulated TCP connection: two ends with their buffers, and the segments in flight in each
/// direction. End 0 is the one that connects, end 1 the one that accepts.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <deque>
#include <string>

#include "chutevane/types.hpp"

namespace chutevane::network_simulation {

class Process;

/// A piece of a byte stream, or a control segment, on its way.
struct Segment {
  enum class Kind : std::uint8_t {
    data,
    fin,
    reset,
    established  ///< the accepting kernel's answer to a connect
  };
  Kind kind = Kind::data;
  std::string bytes;
  TimePoint arrives_at;
  TimePoint sent_at;  ///< when the program wrote its first byte
};

/// When consecutive bytes of a buffer were written by the sending program.
struct SendTimestamp {
  std::size_t bytes = 0;
  TimePoint sent_at;
};

/// Removes the timestamps of so many bytes from the front; returns when the last of these bytes was sent.
TimePoint consume_timestamps(std::deque<SendTimestamp>& timestamps, std::size_t bytes);

/// What the kernel of one side knows of a connection.
struct ConnectionEnd {
  enum class State : std::uint8_t { connecting, established, closed };

  [[nodiscard]] bool is_readable() const { return !receive_buffer.empty() || fin_received; }
  void discard_unread() {
    receive_buffer.clear();
    receive_timestamps.clear();
  }
  void discard_unsent() {
    send_buffer.clear();
    send_timestamps.clear();
  }

  Process* process = nullptr;  ///< null at end 1 until a listener has been reached
  int fd = -1;                 ///< below 0: not accepted yet, or closed by its program
  sockaddr_in address{};
  State state = State::connecting;
  bool closed_by_program = false;
  std::string receive_buffer, send_buffer;
  std::deque<SendTimestamp> receive_timestamps, send_timestamps;
  std::size_t receive_buffer_size = 0, send_buffer_size = 0;  ///< capacity in bytes
  bool fin_received = false, fin_requested = false, fin_sent = false;
  bool waiting_for_space = false;                   ///< its program wants to write more than fitted
  int pending_error = 0;                            ///< errno value, reported once
  TimePoint peer_closed_at;                         ///< when the fin or reset that came was sent
  TimePoint first_byte_sent_at, last_byte_sent_at;  ///< of what was read last
};

/// One direction of a connection: segments in flight, in order.
struct Stream {
  std::deque<Segment> segments;
  std::size_t bytes_in_flight = 0;
  bool delivery_scheduled = false;
  TimePoint last_arrival;
};

struct Connection {
  std::uint64_t id = 0;
  ConnectionEnd ends[2];
  Stream streams[2];     ///< by the number of the sending end
  int listener_fd = -1;  ///< of the listener in whose accept queue end 1 is; -1: in none
};

}  // namespace chutevane::network_simulation
