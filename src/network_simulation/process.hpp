/// \file
/// A simulated process: a net::System whose file descriptors, signals and clock are the simulator's, so the
/// code that runs in it is the code that runs on a machine.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "net/scheduler.hpp"
#include "net/system.hpp"
#include "network_simulation/connection.hpp"

namespace chutevane::network_simulation {

class Simulator;

/// One process with an IP address of its own. Owned by the simulator; it may run, end and run again.
class Process final : public net::System {
 public:
  Process(Simulator& simulator, std::size_t number, std::string name, std::uint32_t ip);

  [[nodiscard]] const std::string& name() const { return name_; }
  /// Its index among the simulator's processes.
  [[nodiscard]] std::size_t number() const { return number_; }
  [[nodiscard]] bool is_running() const { return running_; }
  [[nodiscard]] bool is_paused() const;

  /// Starts it: `turn` is called whenever the scheduler has something to do; false ends the process. The
  /// scheduler must live until the process is killed. At most `max_descriptors` are open at a time.
  void run(net::Scheduler& scheduler, std::function<bool()> turn, std::size_t max_descriptors);
  /// Schedules a turn if there is something to do: after a change from outside of its own turns.
  void schedule_if_ready();
  void send_signal(int number);
  /// Stops its turns for this long, as SIGSTOP does: its kernel goes on receiving.
  void pause(Span duration);
  /// Ends it; the kernel closes its descriptors. The caller destroys the program before it runs the process
  /// again.
  void kill();
  /// Ends it as if its machine had lost its power: no peer is notified.
  void lose_power();
  [[nodiscard]] std::size_t open_descriptors() const { return open_descriptors_; }
  /// From now on connects to it may be lost.
  void set_remote() { remote_ = true; }
  /// While its machine is off nothing passes in either direction.
  void set_powered_off(bool powered_off) { powered_off_ = powered_off; }

  // net::System
  TimePoint now() const override;
  std::size_t wait(std::span<Event> into, Span timeout) override;
  bool watch(int fd, std::uint64_t tag) override;
  void unwatch(int fd) override;
  int connect(const sockaddr_in& to) override;
  int connect_error(int fd) override;
  int listen(const sockaddr_in& at) override;
  void backlog(int fd, int limit) override;
  int accept(int fd) override;
  long receive(int fd, std::span<char> into) override;
  long peek(int fd) override;
  long send(int fd, std::span<const char> from) override;
  Span way(int fd, bool of_first) const override;
  std::optional<sockaddr_in> local(int fd) const override;
  std::optional<sockaddr_in> peer(int fd) const override;
  void end_writing(int fd) override;
  void close(int fd, bool with_reset) override;
  int open_signals(std::initializer_list<int> numbers) override;
  int next_signal(int fd) override;
  std::size_t descriptors(std::size_t wanted) override;

 private:
  friend class Simulator;

  enum class DescriptorKind : std::uint8_t { none, connection, listener, signals };
  struct Descriptor {
    DescriptorKind kind = DescriptorKind::none;
    std::uint64_t connection = 0;
    std::uint8_t end = 0;
    bool watched = false;
    bool queued = false;  // in ready_descriptors_
    std::uint64_t tag = 0;
    // Of a listener only:
    std::uint16_t port = 0;
    std::size_t backlog = 0;
    std::deque<std::uint64_t> accept_queue;  // ids of established connections
  };
  /// The connection behind a descriptor, and which end of it; null if the descriptor is none of a connection.
  struct ConnectionView {
    explicit operator bool() const { return connection != nullptr; }
    ConnectionEnd& own_end() const { return connection->ends[end]; }
    ConnectionEnd& peer_end() const { return connection->ends[1 - end]; }
    Connection* connection = nullptr;
    int end = 0;
  };

  /// A new descriptor's number, or a negative errno value.
  int allocate_descriptor(DescriptorKind kind);
  Descriptor* find_descriptor(int fd, DescriptorKind kind);
  const Descriptor* find_descriptor(int fd, DescriptorKind kind) const;
  Descriptor* find_listener(std::uint16_t port, int& fd);
  ConnectionView connection_of(int fd) const;
  std::uint32_t readiness(const Descriptor& descriptor) const;
  void notify(int fd);
  void schedule(TimePoint at);
  void run_turn();

  Simulator& simulator_;
  std::size_t number_;
  std::string name_;
  std::uint32_t ip_;
  bool running_ = false, remote_ = false, powered_off_ = false;
  net::Scheduler* scheduler_ = nullptr;
  std::function<bool()> turn_;
  std::size_t max_descriptors_ = 0, open_descriptors_ = 0;
  TimePoint paused_until_, earliest_turn_;
  TimePoint turn_at_ = TimePoint::never();
  std::uint64_t turn_ticket_ = 0;  // tells the event of the next turn from outdated ones
  std::vector<Descriptor> descriptors_;
  std::vector<int> ready_descriptors_;  // in the order in which they became ready
  std::deque<int> pending_signals_;
  std::uint16_t next_port_ = 32768;
};

}  // namespace chutevane::network_simulation
