// The platform's stand-ins: the paged list of endpoints, and the front that hands clients to sidecars.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/tier/endpoint.hpp"
#include "lab/tier/http_exchange.hpp"

namespace chutevane::lab::tier {

/// How the platform's list fails.
enum class ListFault : std::uint8_t {
  none,
  unavailable,  ///< each call is answered 503
  stale,        ///< each page shows the list as it was when the fault began
  slow,         ///< each answer comes after slow_list_delay
};
constexpr Span slow_list_delay = Span::ms(700);

class ListStandIn {
 public:
  ListStandIn(net::Scheduler& scheduler, net::TimerQueue& later, double rate_per_s, Span drain);
  void listen(const sockaddr_in& at) { port_.listen(at); }
  void add(EndpointStandIn& endpoint) { endpoints_.push_back(&endpoint); }
  void remove(const EndpointStandIn& endpoint) { std::erase(endpoints_, &endpoint); }
  void set_fault(ListFault fault);
  ListFault fault() const { return fault_; }
  /// When the last page of the list was last answered.
  TimePoint last_read_at() const { return last_read_at_; }
  std::uint64_t pages() const { return pages_; }
  std::uint64_t over_rate() const { return over_rate_; }

 private:
  /// An endpoint as it stands on the list.
  struct Entry {
    EndpointSpec spec;
    bool is_draining = false;
    EndpointStandIn* endpoint = nullptr;
  };
  std::vector<Entry> current_entries() const;
  /// Whether the rate leaves room for one more call.
  bool admit();
  std::string page_text(const std::string& zone, std::size_t first);
  void take(HttpPort::Exchange& visit);
  net::TimerQueue& timers_;
  const double rate_;
  const Span drain_;
  HttpPort port_;
  std::vector<EndpointStandIn*> endpoints_;
  ListFault fault_ = ListFault::none;
  std::vector<Entry> stale_entries_;
  TimePoint last_read_at_;
  TimePoint at_;
  double allowed_;
  std::uint64_t pages_ = 0, over_rate_ = 0;
};

// Asks each sidecar once a second whether it is ready; two misses take it out, one 200 brings it back. New
// connections go to those that are in, or to all while fewer than half are.
class Front {
 public:
  Front(HttpConnector& lines, net::TimerQueue& later) : lines_(lines), timers_(later) {}
  void add(const std::string& name, const sockaddr_in& front, const sockaddr_in& readiness);
  void begin(Span every);
  void every(Span span) { every_ = span; }
  // None counts as in until it has answered again.
  void forget() {
    for (Edge& e : edges_) e.in = false;
  }
  std::size_t in() const;
  bool is_in(std::size_t which) const { return edges_[which].in; }
  std::size_t size() const { return edges_.size(); }
  const sockaddr_in& address(std::size_t which) const { return edges_[which].front; }
  // For a new connection; `again`: how many the client has had in this request, so that it meets others.
  const sockaddr_in& pick(std::uint64_t client, std::size_t again) const;

 private:
  struct Edge {
    std::string name;
    sockaddr_in front{}, readiness{};
    bool in = false;
    int misses = 0;
  };
  void look(std::size_t which);
  HttpConnector& lines_;
  net::TimerQueue& timers_;
  Span every_ = Span::ms(1000);
  std::vector<Edge> edges_;
};

}  // namespace chutevane::lab::tier
