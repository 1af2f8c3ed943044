/// \file
/// Clients and endpoints of a simulated tier, and the platform that lists the endpoints: agent programs call
/// through the edges over HTTP, and an auditor judges what clients and endpoints have seen.
///
/// All of them are those of the lab (lab/tier), here on the simulated network and clock. The platform, the
/// endpoints and the clients have a simulated process each.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "lab/tier/crowd.hpp"
#include "lab/tier/endpoint_set.hpp"
#include "lab/tier/load.hpp"
#include "net/timer_queue.hpp"
#include "tier_simulation/checker.hpp"
#include "tier_simulation/deployment.hpp"

namespace chutevane::tier_simulation {

/// Crowds of clients that send a large part of a body, stop short of its end and stay connected for a while.
struct CrowdLoad {
  std::size_t connections = 0;  ///< of a crowd; 0: there are none
  std::size_t body_bytes = 0;   ///< that each of them sends
  Span interval, duration;      ///< from one crowd to the next, and how long it stays
};

/// The clients' load, and how clients and endpoints misbehave.
struct TrafficLoad {
  bool is_on = false;
  double programs_per_s = 3;
  bool expects_all_served = false;  ///< no program is given up, as nothing fails
  lab::tier::Misbehavior misbehavior;
  CrowdLoad crowds;
};

/// Where the platform's list can be read by a control machine, it is read at least so often: the holder of
/// the role that reads it may have to notice that it does not reach the platform, and another to be elected.
inline constexpr Span max_list_silence = Span::ms(9000);

/// What may happen to an endpoint.
enum class EndpointChange : std::uint8_t {
  drain,    ///< it drains and another one starts
  replace,  ///< another process takes its address
  crash,    ///< it ends without notice, and another one starts elsewhere
};

class Traffic {
 public:
  /// `deployment` and `checker` must outlive this object.
  Traffic(Deployment& deployment, Checker& checker, const TrafficLoad& load, std::uint64_t seed);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  /// Starts the platform and the endpoints.
  void start_endpoints();
  /// Begins with requests.
  void begin();
  /// Begins no new programs.
  void stop();
  /// Long after the last fault: new programs continue the conversations of old ones, which must be there.
  void continue_old_conversations();
  /// Reports what has not come to its end.
  void finish();
  /// `random_bits` choose the endpoint, among those that another one can stand in for.
  void change_endpoint(EndpointChange change, std::uint64_t random_bits);
  /// `none` ends a fault of the platform's list.
  void set_platform_fault(lab::tier::ListFault fault) { list_.set_fault(fault); }

  /// Turns that a client got completely.
  [[nodiscard]] std::uint64_t turns_completed() const { return auditor_.figures().turns_whole; }

 private:
  /// A simulated process that runs nothing but an event loop.
  struct Host {
    Host(network_simulation::Simulator& simulator, const char* name, std::uint32_t ip);
    void run();
    network_simulation::Process& process;
    net::Scheduler scheduler;
    net::TimerQueue timers;
  };
  void collect_violations();
  /// Whether some control machine in contact with a majority reaches the platform, and that has no fault.
  [[nodiscard]] bool is_list_readable() const;
  void check_list_reads();
  void send_crowds();
  void check_memory();
  void update_expectations();

  Deployment& deployment_;
  Checker& checker_;
  const TrafficLoad load_spec_;
  lab::tier::Auditor auditor_;
  Host platform_, endpoint_host_, clients_;
  lab::tier::ListStandIn list_;
  lab::tier::EndpointSet endpoints_;
  lab::tier::HttpConnector lines_;
  lab::tier::Front front_;
  lab::tier::Load load_;
  std::vector<std::unique_ptr<lab::tier::Crowd>> crowds_;
  bool is_stopped_ = false;
  std::size_t reported_ = 0;     // of the auditor's violations
  TimePoint unreadable_at_;      // when the list could last not be read
  TimePoint platform_fault_at_;  // when the platform last had a fault
};

}  // namespace chutevane::tier_simulation
