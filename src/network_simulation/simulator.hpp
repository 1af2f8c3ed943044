/// \file
/// A discrete-event simulator of processes and the network between them. It has one thread and one queue of
/// events, ordered by time and, within a moment, by when they were scheduled. All random draws come from the
/// seed, so a run repeats exactly.
///
/// What is simulated is TCP as programs see it: bytes in order, split anywhere; bounded buffers on both
/// sides; fins, resets, connects that are refused or never answered. A partition holds segments back and
/// delivers them late; a machine that loses its power notifies nobody. A turn of a process takes no simulated
/// time; the process is given the next one after a random delay.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "base/pcg.hpp"
#include "network_simulation/connection.hpp"
#include "network_simulation/link_table.hpp"
#include "network_simulation/network_conditions.hpp"
#include "network_simulation/process.hpp"
#include "network_simulation/trace.hpp"

namespace chutevane::network_simulation {

/// Owns the clock, the event queue, the processes and the connections. Not thread-safe.
class Simulator {
 public:
  /// `trace` must outlive the simulator.
  Simulator(std::uint64_t seed, const NetworkConditions& conditions, Trace& trace);
  ~Simulator();
  Simulator(const Simulator&) = delete;
  Simulator& operator=(const Simulator&) = delete;

  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] Trace& trace() { return trace_; }
  /// The process at this address; created, and not running, when first asked for.
  Process& process(const std::string& name, std::uint32_t ip);
  /// Null if there is none at this address.
  [[nodiscard]] Process* process_at(std::uint32_t ip);

  /// Runs `callback` this much later in simulated time.
  void run_after(Span delay, std::function<void()> callback);
  /// Runs the next event; false when there is none left.
  bool run_next_event();
  /// Schedules a turn of every process that has something to do: after a change from outside of the events.
  void schedule_ready_processes();

  /// Partitions one direction of the link between two processes, until as many `unblock` calls.
  void block(std::size_t from, std::size_t to);
  void unblock(std::size_t from, std::size_t to);
  /// Multiplies the delays of the link, in both directions.
  void set_delay_factor(std::size_t a, std::size_t b, double factor);
  /// Breaks the established connections between two processes; returns how many there were. With
  /// `notify_both` both ends see a reset; otherwise the end at `a` is gone and `b` is not notified.
  std::size_t break_connections(std::size_t a, std::size_t b, bool notify_both);

  /// Called when a process has closed its end of a connection, with its local address.
  std::function<void(const Process& who, const sockaddr_in& at)> on_close = [](const Process&,
                                                                               const sockaddr_in&) {};

  /// How many events have run.
  [[nodiscard]] std::uint64_t events() const { return events_; }

 private:
  friend class Process;

  struct Event {
    enum class Kind : std::uint8_t {
      turn,             // index: process, id: ticket
      deliver,          // index: sending end, id: connection; likewise below
      connect_attempt,  // index: number of the attempt
      refuse,
      transmit,
      space_available,
      callback  // id: of the callback
    };
    TimePoint at;
    std::uint64_t order = 0;
    Kind kind = Kind::turn;
    std::uint32_t index = 0;
    std::uint64_t id = 0;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  // simulator.cpp: events, processes and links
  void schedule(TimePoint at, Event::Kind kind, std::uint32_t index, std::uint64_t id);
  void run_callback(std::uint64_t id);
  void run_connection_event(Connection& connection, const Event& event);
  bool is_blocked(std::size_t from, std::size_t to) const;
  Span draw_delay(std::size_t from, std::size_t to);
  void resume_link(std::size_t from, std::size_t to);
  double draw_uniform() { return random_.unit(); }

  // connections.cpp
  Connection& open_connection(Process& from, int fd, const sockaddr_in& local, const sockaddr_in& to);
  Connection* find_connection(std::uint64_t id);
  void erase_if_finished(std::uint64_t id);
  std::size_t draw_buffer_size();
  void attempt_connect(Connection& connection, std::uint32_t attempt);
  void refuse_connect(Connection& connection);
  void send_segment(Connection& connection, int from, Segment::Kind kind, std::string bytes,
                    TimePoint sent_at);
  void schedule_delivery(Connection& connection, int from, TimePoint at);
  void deliver(Connection& connection, int from);
  void receive_segment(Connection& connection, int to, Segment& segment);
  void receive_at_closed_end(Connection& connection, int to, Segment::Kind kind);
  void transmit(Connection& connection, int from);
  void close_end(Connection& connection, int which, bool with_reset);
  void drop_end(Connection& connection, int which);
  void reset_end(Connection& connection, int which);
  static bool has_send_space(const Connection& connection, int which);
  static void notify(ConnectionEnd& end);

  Pcg random_;
  NetworkConditions conditions_;
  Trace& trace_;
  TimePoint now_;
  std::uint64_t last_order_ = 0, events_ = 0, last_connection_ = 0, last_callback_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::map<std::uint64_t, std::function<void()>> callbacks_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::uint32_t, Process*> processes_by_ip_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  LinkTable links_;
};

}  // namespace chutevane::network_simulation
