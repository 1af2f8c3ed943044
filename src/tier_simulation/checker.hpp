/// \file
/// Checks what clients of the tier have seen against what they were promised.
///
/// It knows nothing of the tier's internals, only submissions and their replies, configurations that were
/// read, and those that came into force at edges. Configurations in force form one chain by version: each
/// builds on one before it, and no two build on the same.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tier_simulation/deployment.hpp"

namespace chutevane::tier_simulation {

struct Violation {
  TimePoint at;
  std::string rule, text;
};

/// A change of the configuration, retried unchanged until its outcome is clear.
struct Submission {
  std::size_t id = 0;
  std::string author;
  std::int64_t base = 0, version = 0;
  std::string body;
  TimePoint first_sent;
  bool acknowledged = false, rejected = false, in_force = false;
  bool is_late_reported = false;
};

class Checker {
 public:
  Checker(const Deployment& deployment, network_simulation::Trace& trace);

  /// For plans whose losses exceed the tolerance: whether changes are applied and submissions are answered in
  /// time is checked at the end alone, when all machines have been back for long enough.
  void suspend_availability_rules() { availability_suspended_ = true; }

  Submission& begin_submission(const std::string& author, std::int64_t base, std::int64_t version,
                               std::string body);
  /// `status`: 200, or a clear rejection; any other reply leaves the outcome open and is not recorded.
  void record_reply(Submission& submission, int status);

  struct Reading {
    std::int64_t min_version = 0;  ///< the newest version known to be in force when it began
  };
  Reading begin_read() const { return {newest_seen_}; }
  void record_read(const Reading& reading, std::int64_t version, const std::string& body,
                   const std::string& from);

  /// A configuration was seen in force; `where` is for messages. Version 0: none was.
  void record_in_force(std::int64_t version, const std::string& body, const std::string& where) {
    if (version > 0) in_force(version, body, where);
  }
  /// The newest version that was acknowledged before this time; 0: none was.
  std::int64_t acknowledged_before(TimePoint then) const;

  /// A value has come into force at an edge.
  void record_push(const Machine& edge, const common::RegisterValue& value);
  /// Checks the promises that are bound by time; to be called at regular intervals.
  void sample();
  /// Checks what has to hold long after the last fault.
  void finish();
  /// Each pair of rule and text is reported once.
  void report_violation(const std::string& rule, const std::string& text);

  const std::vector<Violation>& violations() const { return violations_; }
  std::size_t submissions() const { return submissions_.size(); }
  std::size_t acknowledged() const { return acknowledged_; }
  std::size_t rejected() const { return rejected_; }
  std::size_t pushes() const { return pushes_; }
  std::size_t reads() const { return reads_; }
  std::size_t checked_samples() const { return checked_samples_; }  // samples of edges that were in contact

 private:
  struct InForce {  // at an edge, in one incarnation of its process
    std::uint64_t incarnation = 0;
    std::int64_t version = 0, number = 0;
  };
  void in_force(std::int64_t version, const std::string& body, const std::string& where);
  void check_reply_deadline(Submission& submission);
  TimePoint now() const;

  const Deployment& deployment_;
  network_simulation::Trace& trace_;
  std::vector<std::unique_ptr<Submission>> submissions_;
  std::map<std::int64_t, Submission*> chain_;     // in force, by version
  std::map<std::int64_t, Submission*> built_on_;  // in force, by base
  std::map<std::int64_t, TimePoint> ack_times_;   // by version
  std::map<std::string, InForce> edges_;
  std::int64_t newest_seen_ = 0;
  bool availability_suspended_ = false;
  std::size_t acknowledged_ = 0, rejected_ = 0, pushes_ = 0, reads_ = 0, checked_samples_ = 0;
  std::vector<Violation> violations_;
  std::set<std::string> reported_;  // once each
};

}  // namespace chutevane::tier_simulation
