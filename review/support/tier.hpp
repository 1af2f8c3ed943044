/// A small deployment of the project's own programs as separate processes on loopback addresses, between
/// stand-ins of the platform, the model servers and the clients.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "support/http.hpp"

namespace review {

/// Writes lines with the time since its start to a file and to standard output. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path, std::ios::trunc), began_(Clock::now()) {}
  void line(const std::string& text);
  /// Writes to the file alone.
  void detail(const std::string& text);
  /// Milliseconds since the start of the record.
  double now_ms() const;

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const Clock::time_point began_;
};

/// What a case is called with.
struct Arguments {
  std::string root;         ///< of the repository
  std::string folder;       ///< a temporary folder
  std::string record;       ///< path of the record
  bool is_troubled = true;  ///< false: no disruption (TROUBLE=0)
};
Arguments parse_arguments(int argc, char** argv);

enum class Plane { control, storage, edge };

/// One process of the project, on a machine with an address of its own.
class Process {
 public:
  Process(Plane plane, std::string node, std::string zone, std::string ip)
      : plane_(plane), node_(std::move(node)), zone_(std::move(zone)), ip_(std::move(ip)) {}
  Plane plane() const { return plane_; }
  const std::string& node() const { return node_; }
  const std::string& zone() const { return zone_; }
  const std::string& ip() const { return ip_; }
  bool is_running() const { return pid_ > 0; }

 private:
  friend class Tier;
  Plane plane_;
  std::string node_;
  std::string zone_;
  std::string ip_;
  pid_t pid_ = 0;
  int disks_lost_ = 0;
};

struct TierSize {
  std::size_t controllers = 4;
  std::size_t storage_nodes = 4;
  std::size_t edges = 4;
  std::size_t machine_losses = 1;
};

/// Starts and ends the processes. All of them are killed by the destructor.
class Tier {
 public:
  Tier(const Arguments& arguments, Record& record, const TierSize& size);
  ~Tier();
  Tier(const Tier&) = delete;
  Tier& operator=(const Tier&) = delete;

  /// An address of this run for a stand-in; `number` is 1 to 99.
  Address stand_in_address(int number, int port) const;
  /// Starts all processes for the first time, with the platform's list at `platform`.
  void start_all(const Address& platform);
  Process& storage(std::size_t index) { return *storage_.at(index); }
  Process& controller(std::size_t index) { return *controllers_.at(index); }
  Process& edge(std::size_t index) { return *edges_.at(index); }
  std::size_t edge_count() const { return edges_.size(); }
  std::size_t controller_count() const { return controllers_.size(); }
  Address front(std::size_t edge_index) const { return {edges_.at(edge_index)->ip(), front_port}; }
  Address readiness(std::size_t edge_index) const { return {edges_.at(edge_index)->ip(), readiness_port}; }
  Address control(std::size_t index) const { return {controllers_.at(index)->ip(), control_port}; }

  void start(Process& process, bool is_first_start = false);
  void signal(Process& process, int number);
  /// SIGKILL, and waits for the end.
  void kill(Process& process);
  /// Waits until the process has ended by itself. Returns false after `timeout`.
  bool wait_for_end(Process& process, milliseconds timeout);
  /// Removes the data of a process that does not run.
  void lose_disk(Process& process);
  /// Returns true while the process runs; one that has ended by itself is noted.
  bool is_alive(Process& process);
  /// Returns the log of the process, of all its lives.
  std::string log_of(const Process& process) const;

  /// Sends a configuration to one controller after the other until it gets 200. Returns false after
  /// `timeout`.
  bool put_configuration(const std::string& text, std::int64_t base, milliseconds timeout);
  /// Returns what the controller answers to `GET /v1/Status.Retrieve`; empty if it does not.
  std::string status(std::size_t controller_index) const;
  /// Returns the index of the controller that says that it holds the role, or the number of controllers if
  /// none does.
  std::size_t holder_of(const std::string& role) const;
  /// Waits until each edge answers 200 at its readiness address. Returns false after `timeout`.
  bool wait_until_ready(milliseconds timeout);

  static constexpr int front_port = 8149;
  static constexpr int readiness_port = 8141;
  static constexpr int control_port = 8142;

 private:
  void write_settings(const Process& process, bool is_first_start) const;
  std::string path_of(const Process& process, const std::string& ending) const;

  const Arguments arguments_;
  Record& record_;
  const TierSize size_;
  std::string network_;  // the first three numbers of all addresses
  Address platform_;
  std::vector<std::unique_ptr<Process>> controllers_;
  std::vector<std::unique_ptr<Process>> storage_;
  std::vector<std::unique_ptr<Process>> edges_;
};

/// An endpoint of a service, as the platform lists it.
struct Instance {
  std::string id;
  std::string service;
  Address address;
  std::string zone;
  int capacity = 96;
  bool is_draining = false;
};

/// The platform's list of instances.
class Platform {
 public:
  Platform(const Address& at, std::vector<Instance> instances);
  void set(std::vector<Instance> instances);

 private:
  void serve(Exchange& exchange);
  std::mutex mutex_;
  std::vector<Instance> instances_;
  Server server_;
};

/// One run of a request at an endpoint.
struct Run {
  std::string endpoint;
  std::string attempt;
  std::string body;
  std::string output;  ///< the data of its events, each with a line feed behind
};

/// Behaviour of the model servers' stand-ins.
struct EndpointBehavior {
  int events = 5;                  ///< of a stream
  milliseconds first_event{10};    ///< until the first event
  milliseconds event_interval{5};  ///< between events
};

/// A sound endpoint: streams events, or answers a plain request, and remembers what it ran.
class Endpoint {
 public:
  Endpoint(Instance instance, EndpointBehavior behavior);
  std::vector<Run> runs() const;
  const Instance& instance() const { return instance_; }

 private:
  void serve(Exchange& exchange);
  void stream(Exchange& exchange, const std::string& attempt);
  const Instance instance_;
  const EndpointBehavior behavior_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::atomic<int> seal_ = 0;
  Server server_;
};

/// A turn as its client sees it.
struct Turn {
  std::string attempt;
  std::string program;
  std::string previous;
  std::string input;
  std::string output;  ///< the data of its events, each with a line feed behind
  int status = 0;
  bool is_whole = false;  ///< the answer came whole
  std::string error;
  double ended_at_ms = 0;  ///< by the clock of the record
};

/// Sends a turn to an edge, as a client of PROTOCOL.md does.
Turn send_turn(const Address& edge, const Record& record, const std::string& program,
               const std::string& previous, const std::string& input, int time_ms, std::int64_t budget = -1,
               std::int64_t most_tokens = -1);

/// A random identifier of 16 hexadecimal digits.
std::string random_id();
/// A configuration with a route of kept turns ("/turns/"), an idempotent route ("/tools/") and a
/// non-idempotent one ("/acts/"), all to the service "words" or "tools".
std::string configuration_text(std::int64_t version, double retention_s);

inline constexpr const char* host_name = "review.example";

/// Exit statuses of a case.
inline constexpr int rule_held = 0, rule_broken = 1, could_not_run = 2;

}  // namespace review
