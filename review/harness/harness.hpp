/// Test bed of the review: starts the programs of deploy/system.toml as processes on loopback addresses, and
/// has small stand-ins for clients, endpoints, the operator and the platform. Blocking sockets and threads;
/// no dependency.
#pragma once

#include <netinet/in.h>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Exit statuses of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

void sleep_ms(int ms);

/// Lines with the time since the start, in a file and on standard output.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void line(const std::string& text);
  double seconds() const;

 private:
  std::mutex mutex_;
  std::FILE* file_;
  const Clock::time_point began_ = Clock::now();
};

using Headers = std::vector<std::pair<std::string, std::string>>;
std::string header_of(const Headers& headers, const std::string& name);

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string header(const std::string& name) const { return header_of(headers, name); }
};

struct Response {
  int status = 0;         ///< 0 if no status line came
  bool complete = false;  ///< the whole answer came, by its framing
  Headers headers;
  std::string body;
  std::string header(const std::string& name) const { return header_of(headers, name); }
};

/// An address on the loopback network.
struct Address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

/// A blocking connection with time limits.
class Connection {
 public:
  explicit Connection(int fd = -1) : fd_(fd) {}
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool open(const Address& to, Ms timeout);
  bool send(const std::string& bytes) const;
  /// Reads a request; std::nullopt if the connection ends first.
  std::optional<Request> read_request();
  /// Reads a response until `deadline`.
  Response read_response(Clock::time_point deadline);
  void close();

 private:
  enum class Read : std::uint8_t { some, ended, timed_out };
  Read read_some(Clock::time_point deadline);
  bool read_until(const std::string& mark, Clock::time_point deadline, std::size_t& at);
  bool read_size(std::size_t size, Clock::time_point deadline);
  bool read_chunks(std::string& body, Clock::time_point deadline);
  bool read_body(const Headers& headers, std::string& body, bool may_end_by_close,
                 Clock::time_point deadline);

  int fd_;
  std::string buffer_;
};

std::string format_request(const Request& request);
std::string format_response(int status, const Headers& headers, const std::string& body);

/// Sends one request on a new connection.
Response exchange(const Address& to, const Request& request, Ms timeout);

/// Accepts connections and serves each in a thread of its own. The destructor ends them all.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;
  Server(const Address& at, Handler handler);
  ~Server();
  const Address& address() const { return address_; }

 private:
  void accept_loop();
  void serve(int fd);
  Address address_;
  Handler handler_;
  int fd_;
  std::atomic<bool> ending_ = false;
  std::mutex mutex_;
  std::set<int> open_;                // sockets that are being served
  std::vector<std::thread> threads_;  // one a connection
  std::thread accepting_;
};

/// A program of the project, as a process.
class Process {
 public:
  Process(std::string name, std::string program, std::string settings, std::string log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void start();
  void signal(int number) const;
  /// Sends SIGKILL and waits for the end.
  void kill();
  bool is_running();
  /// Waits for the end of the process; returns false if it still runs at the end of the time.
  bool wait(Ms timeout);
  const std::string& name() const { return name_; }

 private:
  std::string name_, program_, settings_, log_;
  pid_t pid_ = -1;
};

enum class Plane : std::uint8_t { edge, control, storage };

/// One machine: an address of its own, one process, a settings file and a data folder.
struct Machine {
  std::string node;
  Plane plane = Plane::edge;
  std::string zone;
  std::string ip;
  std::string data_folder;
  std::string settings_path;
  std::unique_ptr<Process> process;
};

struct ClusterSpec {
  int edges = 4;
  int controllers = 4;
  int storage_nodes = 4;
  int zones = 4;
  /// Lines that replace or add to the usual settings of all processes.
  std::map<std::string, std::string> settings;
};

/// One entry of the platform's list.
struct Instance {
  std::string id;
  std::string service;
  Address address;
  std::string zone;
  int capacity = 8;
  std::string state = "in_service";
};

/// The platform: answers GET /instances.
class Platform {
 public:
  explicit Platform(const Address& at);
  void set(const Instance& instance);
  void remove(const std::string& id);

 private:
  void serve(Connection& connection);
  std::mutex mutex_;
  std::map<std::string, Instance> instances_;
  std::unique_ptr<Server> server_;
};

/// A small deployment of the serving tier in a temporary folder, which is removed at the end.
class Cluster {
 public:
  Cluster(Record& record, const ClusterSpec& spec);
  ~Cluster();

  /// Starts all processes for the first time.
  void start();
  /// Sends SIGKILL to all processes.
  void kill_all();
  /// Starts all processes again.
  void start_all();
  Machine& edge(int i) { return *by_plane(Plane::edge, i); }
  Machine& controller(int i) { return *by_plane(Plane::control, i); }
  Machine& storage_node(int i) { return *by_plane(Plane::storage, i); }
  Platform& platform() { return *platform_; }
  Address front(const Machine& machine) const { return {machine.ip, front_port_}; }
  Address readiness(const Machine& machine) const { return {machine.ip, readiness_port_}; }
  Address control(const Machine& machine) const { return {machine.ip, control_port_}; }
  /// Returns an unused loopback address for a stand-in.
  Address next_address();
  std::string zone(int i) const { return "zone-" + std::to_string(i % spec_.zones); }

  /// Sends a configuration as an operator does: until it is taken or `timeout` is over.
  bool put_configuration(const std::string& body, std::int64_t base, Ms timeout);
  /// Waits until every edge says that it is ready.
  bool wait_ready(Ms timeout);
  /// Writes the settings file of a machine; later starts have `initialStart=false`.
  void write_settings(const Machine& machine, bool initial_start) const;
  /// Deletes all files of the data folder.
  static void wipe(const Machine& machine);
  /// Returns false, with a line in the record, if a process has ended by itself.
  bool all_running();

 private:
  Machine* by_plane(Plane plane, int i);
  void add_machine(Plane plane, int i, const std::string& name);
  void choose_ports();

  Record& record_;
  const ClusterSpec spec_;
  std::string folder_;
  std::string network_;  // the first three numbers of the addresses
  int next_host_ = 10;
  int front_port_ = 0, readiness_port_ = 0, control_port_ = 0, first_internal_port_ = 0, metrics_port_ = 0,
      endpoint_port_ = 0;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::unique_ptr<Platform> platform_;
  Address platform_address_;
};

/// Returns the command that the deploy file states for the role.
std::string deploy_command(const std::string& role);

}  // namespace review
