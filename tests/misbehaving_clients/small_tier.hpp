/// A small serving tier of real processes on loopback, with low limits: three controllers, four storage nodes
/// and two edges, between a stand-in list of endpoints and one stand-in endpoint for all services.
#pragma once

#include <functional>
#include <string>

#include "lab/loopback.hpp"
#include "lab/tier/auditor.hpp"
#include "lab/tier/crowd.hpp"
#include "lab/tier/http_exchange.hpp"
#include "lab/tier/machines.hpp"

namespace chutevane::misbehaving_clients {

// The limits of the processes under test, from which the tests' bounds follow.
constexpr double memory_limit_mb = 64;             // 10^6 bytes, of each process
constexpr std::size_t descriptor_limit = 400;      // of each process
constexpr std::size_t max_body_bytes = 1U << 20U;  // of a client's request
constexpr const char* host = "agents.example";

class SmallTier {
 public:
  using Machine = lab::tier::Machines::Machine;
  using Plane = lab::tier::MachinePlane;

  /// `programs`: folder of the three programs, unless CHUTEVANE_TEST_PROGRAMS names another one, with those
  /// of another build. `body_limit`: the operator's `maxBodyBytes`.
  explicit SmallTier(const std::string& programs, std::size_t body_limit = max_body_bytes);
  ~SmallTier();
  /// Starts all processes, sends the configuration, and waits until both edges are ready. False: they did not
  /// get ready.
  bool start();

  Machine& edge(std::size_t index = 0) { return machines_.at(Plane::edge, index); }
  Machine& controller() { return machines_.at(Plane::control, 0); }
  Machine& storage_node(std::size_t index = 0) { return machines_.at(Plane::storage, index); }
  static constexpr std::size_t storage_node_count = 4;
  net::Scheduler& scheduler() { return scheduler_; }

  /// Turns the event loop until `done`, or for `limit`. Returns done().
  bool wait(Span limit, const std::function<bool()>& done);
  /// Lowers the kernel's limit on descriptors of a process to that of its settings.
  static void enforce_descriptor_limit(const Machine& machine);
  /// Makes the most memory that it had so far count from now on only.
  static void forget_peak_memory(const Machine& machine);
  /// The most resident memory, in bytes.
  static double peak_memory(const Machine& machine);
  static std::size_t open_descriptors(const Machine& machine);
  static bool is_alive(Machine& machine) { return machine.process.running() && !machine.process.ended(); }

  /// The status of one request on a connection of its own; 0: no whole answer.
  int ask(const sockaddr_in& to, const std::string& method, const std::string& target,
          const std::string& body = "", const lab::tier::HeaderFields& fields = {});
  /// The status of an ordinary turn at an edge: a stream that is stored.
  int turn(const Machine& edge);
  /// The status of a turn of that id and input, which continues `previous` if that is not empty.
  int turn(const Machine& edge, const std::string& id, const std::string& previous, const std::string& input);
  /// The status of an ordinary read of the configuration at a controller.
  int read_configuration(const Machine& controller);
  /// Sizes of the bodies that the endpoint has received, but for `/large/`.
  const std::vector<std::size_t>& received_bodies() const { return received_bodies_; }
  /// SIGTERM; how the process ended, or "still there" after its grace.
  std::string terminate(Machine& machine);

 private:
  void serve_list(lab::tier::HttpPort::Exchange& exchange);
  void serve_endpoint(lab::tier::HttpPort::Exchange& exchange);
  bool is_configured();

  std::string folder_;
  const std::size_t body_limit_;
  lab::AddressBlock addresses_;
  net::Scheduler scheduler_;
  net::TimerQueue timers_;
  lab::tier::Auditor auditor_;  // unused: Machines reports to it
  lab::tier::Machines machines_;
  lab::tier::HttpPort list_, endpoint_;
  lab::tier::HttpConnector connector_;
  std::vector<std::size_t> received_bodies_;
  std::size_t requests_ = 0;
};

}  // namespace chutevane::misbehaving_clients
