// What callers of the tier have seen, checked against what they were promised.
//
// Knows nothing of the tier's insides: orders that were sent and their answers, configurations that were
// read, and those that came into force at edges. A configuration's version names its place in one chain: each
// one that is in force builds on one before it, and no two on the same.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulation/deployment.hpp"

namespace chutevane::simulation {

struct Violation {
  TimePoint at;
  std::string rule, text;
};

// A change of the configuration, sent again unchanged until it has a clear answer.
struct Order {
  std::size_t id = 0;
  std::string author;
  std::int64_t base = 0, version = 0;
  std::string body;
  TimePoint first_sent;
  bool acknowledged = false, refused = false, in_force = false;
  bool late_told = false;
  TimePoint acknowledged_at;
};

class Checker {
 public:
  Checker(const Deployment& deployment, network_simulation::Trace& trace);

  // While losses overlap beyond the tolerance service may rest: whether changes are in force and orders are
  // answered is judged at the end alone, when all have been back for as long as they may take.
  void service_may_rest() { service_may_rest_ = true; }

  Order& order_begun(const std::string& author, std::int64_t base, std::int64_t version, std::string body);
  // 200, or a clear refusal; anything else is no answer.
  void order_answered(Order& order, int status);

  struct Reading {
    std::int64_t floor = 0;  // the newest version that was known to be in force when it began
  };
  Reading read_begun() const { return {newest_seen_}; }
  void read_answered(const Reading& reading, std::int64_t version, const std::string& body,
                     const std::string& from);

  // A configuration is in force, as somebody else has seen.
  void seen(std::int64_t version, const std::string& body, const std::string& where) {
    if (version > 0) in_force(version, body, where);
  }
  // The newest version that was acknowledged before then; 0: none was.
  std::int64_t acknowledged_before(TimePoint then) const;

  // A value came into force at an edge.
  void pushed(const Machine& edge, const common::RegisterValue& value);
  // To be called now and then: what is bound by time.
  void sample();
  // The end, long after the last fault.
  void finish();
  void broken(const std::string& rule, const std::string& text);

  const std::vector<Violation>& violations() const { return violations_; }
  std::int64_t newest_seen() const { return newest_seen_; }
  std::size_t orders() const { return orders_.size(); }
  std::size_t acknowledged() const { return acknowledged_; }
  std::size_t refused() const { return refused_; }
  std::size_t pushes() const { return pushes_; }
  std::size_t reads() const { return reads_; }
  std::size_t bound() const { return bound_; }  // samples of edges that were in touch

 private:
  bool service_may_rest_ = false;
  struct InForce {  // at an edge, in the life of one process
    std::uint64_t life = 0;
    std::int64_t version = 0, number = 0;
  };
  void in_force(std::int64_t version, const std::string& body, const std::string& where);
  void check_late(Order& order);

  const Deployment& deployment_;
  network_simulation::Trace& trace_;
  std::vector<std::unique_ptr<Order>> orders_;
  std::map<std::int64_t, Order*> chain_;         // in force, by version
  std::map<std::int64_t, Order*> built_on_;      // in force, by base
  std::map<std::int64_t, TimePoint> ack_times_;  // by version
  std::map<std::string, InForce> edges_;
  std::int64_t newest_seen_ = 0;
  std::size_t acknowledged_ = 0, refused_ = 0, pushes_ = 0, reads_ = 0, bound_ = 0;
  std::vector<Violation> violations_;
  std::set<std::string> told_;  // once each
};

}  // namespace chutevane::simulation
