#include "tier_simulation/traffic.hpp"

#include <algorithm>

#include "net/socket.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr std::size_t max_descriptors = 65536;
constexpr std::uint32_t service_network = 127U << 24U | 2U << 16U | 10U << 8U;
constexpr std::uint32_t endpoint_ip = service_network | 2U, client_ip = service_network | 3U;
constexpr std::uint16_t first_endpoint_port = 8100;
constexpr Span drain_limit = Span::ms(1500);         // of an endpoint that leaves
constexpr Span readiness_interval = Span::ms(1000);  // of the platform's probes
constexpr Span expectation_interval = Span::ms(100);
constexpr std::size_t streaming_endpoints = 4, plain_endpoints = 2;
constexpr std::size_t continued_conversations = 40;
constexpr std::size_t crowd_block_bytes = 4096;
constexpr std::size_t max_bytes_over_budget = 4 * 64 * 1024;  // reads of one turn

sockaddr_in address_of(std::uint32_t ip, std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr = htonl(ip);
  return out;
}

lab::tier::Load::Spec load_spec(const TrafficLoad& load, std::uint64_t seed) {
  lab::tier::Load::Spec out;
  out.seed = seed;
  out.programs_per_s = load.programs_per_s;
  out.misbehavior = load.misbehavior;
  // Amid faults clients wait for machines that are down, and some leave.
  out.judge_given_up = load.expects_all_served;
  out.judge_late = true;
  return out;
}

/// A rule's name in reports.
std::string rule_of(lab::tier::Rule rule) {
  std::string out = std::string("traffic-") + lab::tier::name_of(rule);
  std::replace(out.begin(), out.end(), ' ', '-');
  return out;
}

}  // namespace

Traffic::Host::Host(network_simulation::Simulator& simulator, const char* name, std::uint32_t ip)
    : process(simulator.process(name, ip)), scheduler(process), timers(scheduler) {}

void Traffic::Host::run() {
  process.run(
      scheduler,
      [this] {
        scheduler.turn();
        return true;
      },
      max_descriptors);
}

Traffic::Traffic(Deployment& deployment, Checker& checker, const TrafficLoad& load, std::uint64_t seed)
    : deployment_(deployment),
      checker_(checker),
      load_spec_(load),
      platform_(deployment.simulator(), "platform", ntohl(platform_address.sin_addr.s_addr)),
      endpoint_host_(deployment.simulator(), "endpoints", endpoint_ip),
      clients_(deployment.simulator(), "agents", client_ip),
      list_(platform_.scheduler, platform_.timers, platform_rate, drain_limit),
      endpoints_(
          endpoint_host_.scheduler, endpoint_host_.timers,
          [](std::size_t number) {
            return address_of(endpoint_ip, static_cast<std::uint16_t>(first_endpoint_port + number));
          },
          auditor_, list_, seed, load.misbehavior.endpoint_spoils),
      lines_(clients_.scheduler, clients_.timers),
      front_(lines_, clients_.timers),
      load_(clients_.scheduler, clients_.timers, lines_, front_, auditor_, load_spec(load, seed)) {
  auditor_.excuse_service();
}

Traffic::~Traffic() {
  for (Host* host : {&platform_, &endpoint_host_, &clients_}) host->process.kill();
}

void Traffic::start_endpoints() {
  for (Host* host : {&platform_, &endpoint_host_, &clients_}) host->run();
  list_.listen(platform_address);
  for (std::size_t i = 1; i <= streaming_endpoints; ++i) endpoints_.add("i-w" + std::to_string(i), true);
  for (std::size_t i = 1; i <= plain_endpoints; ++i) endpoints_.add("i-t" + std::to_string(i), false);
  for (const Machine* edge : deployment_.machines_of(Role::edge))
    front_.add(edge->name(), *edge->settings().front, *edge->settings().readiness);
  update_expectations();
}

void Traffic::begin() {
  front_.begin(readiness_interval);
  load_.begin();
  if (load_spec_.crowds.connections > 0) send_crowds();
}

void Traffic::stop() {
  is_stopped_ = true;
  load_.stop();
}

// Each edge in turn. The load's own clients are to be served all the same.
void Traffic::send_crowds() {
  if (is_stopped_) return;
  const CrowdLoad& load = load_spec_.crowds;
  const std::vector<Machine*> edges = deployment_.machines_of(Role::edge);
  crowds_.push_back(std::make_unique<lab::tier::Crowd>(clients_.scheduler));
  lab::tier::Crowd& crowd = *crowds_.back();
  const std::string head =
      "POST /turns/crowd HTTP/1.1\r\nHost: " + std::string(lab::tier::host) +
      "\r\nX-Chutevane-Attempt-Id: crowd{n}\r\nContent-Length: " + std::to_string(load.body_bytes + 1) +
      "\r\n\r\n";
  crowd.connect(*edges[crowds_.size() % edges.size()]->settings().front, load.connections,
                {head, std::string(crowd_block_bytes, 'x'), load.body_bytes / crowd_block_bytes});
  clients_.timers.after(load.duration, [&crowd] { crowd.leave(); });
  clients_.timers.after(load.interval, [this] { send_crowds(); });
}

/// What crowds make an edge hold stays within its budget, but for what it reads in one turn, and is given
/// back.
void Traffic::check_memory() {
  if (load_spec_.crowds.connections == 0) return;
  for (const Machine* edge : deployment_.machines_of(Role::edge)) {
    const net::BufferBudget* const budget = edge->buffer_budget();
    if (budget == nullptr) continue;
    if (budget->peak() > budget->limit() + max_bytes_over_budget)
      checker_.report_violation("edge-memory", edge->name() + " held " + std::to_string(budget->peak()) +
                                                   " bytes of " + std::to_string(budget->limit()));
    if (is_stopped_ && budget->tight())
      checker_.report_violation("edge-memory",
                                edge->name() + " still holds " + std::to_string(budget->bytes()) + " bytes");
  }
}

void Traffic::continue_old_conversations() { load_.go_on_from_old(continued_conversations); }

void Traffic::change_endpoint(EndpointChange change, std::uint64_t random_bits) {
  lab::tier::EndpointStandIn* const endpoint = endpoints_.one_that_may_go(random_bits);
  if (endpoint == nullptr) return;
  switch (change) {
    case EndpointChange::drain: endpoints_.drain(*endpoint); return;
    case EndpointChange::replace: endpoints_.replace(*endpoint); return;
    case EndpointChange::crash: endpoints_.lose(*endpoint); return;
  }
}

/// What depends on machines in contact is expected where there was no fault for long enough.
void Traffic::update_expectations() {
  const TimePoint calm_since = deployment_.calm_since();
  const bool is_calm = calm_since != TimePoint::never() &&
                       deployment_.simulator().now() - calm_since >= contact_window + max_apply_delay;
  // A drain's time does not run while the platform is down, slow or cut off.
  const bool has_platform_fault = list_.fault() != lab::tier::ListFault::none;
  if (has_platform_fault) platform_fault_at_ = deployment_.simulator().now();
  const bool is_list_current = deployment_.simulator().now() - platform_fault_at_ >= contact_window;
  is_calm&& is_list_current ? auditor_.expect_service() : auditor_.excuse_service();
  collect_violations();
  check_list_reads();
  clients_.timers.after(expectation_interval, [this] { update_expectations(); });
}

bool Traffic::is_list_readable() const {
  if (list_.fault() != lab::tier::ListFault::none || !deployment_.core_stable()) return false;
  const std::vector<Machine*> controls = deployment_.machines_of(Role::control);
  return std::any_of(controls.begin(), controls.end(), [&](const Machine* control) {
    return deployment_.is_undisturbed(*control, contact_window);
  });
}

void Traffic::check_list_reads() {
  const TimePoint now = deployment_.simulator().now();
  if (!is_list_readable()) unreadable_at_ = now;
  if (now - std::max(unreadable_at_, list_.last_read_at()) > max_list_silence)
    checker_.report_violation("list-unread",
                              "a control machine reaches the platform, and none reads its list");
}

void Traffic::collect_violations() {
  for (; reported_ < auditor_.violations().size(); ++reported_) {
    const lab::tier::Violation& violation = auditor_.violations()[reported_];
    checker_.report_violation(rule_of(violation.rule), violation.what);
  }
}

void Traffic::finish() {
  check_memory();
  if (load_.open() > 0)
    checker_.report_violation("traffic-endless", std::to_string(load_.open()) + " programs have no end");
  collect_violations();
}

}  // namespace chutevane::tier_simulation
