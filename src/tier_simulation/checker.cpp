#include "tier_simulation/checker.hpp"

#include <algorithm>

namespace chutevane::tier_simulation {
namespace {

std::string text_of(const Submission& submission) {
  return submission.author + "'s order " + std::to_string(submission.id) + " (version " +
         std::to_string(submission.version) + " on " + std::to_string(submission.base) + ")";
}

}  // namespace

Checker::Checker(const Deployment& deployment, network_simulation::Trace& trace)
    : deployment_(deployment), trace_(trace) {}

TimePoint Checker::now() const { return deployment_.simulator().now(); }

void Checker::report_violation(const std::string& rule, const std::string& text) {
  if (!reported_.insert(rule + text).second) return;
  const TimePoint current = now();
  violations_.push_back({current, rule, text});
  trace_.record(current, "BROKEN %s: %s", rule.c_str(), text.c_str());
}

Submission& Checker::begin_submission(const std::string& author, std::int64_t base, std::int64_t version,
                                      std::string body) {
  submissions_.push_back(std::make_unique<Submission>());
  Submission& out = *submissions_.back();
  out.id = submissions_.size();
  out.author = author;
  out.base = base;
  out.version = version;
  out.body = std::move(body);
  out.first_sent = now();
  return out;
}

void Checker::record_reply(Submission& submission, int status) {
  const TimePoint current = now();
  if (status == 200) {
    if (submission.rejected) report_violation("refused-then-taken", text_of(submission));
    if (!submission.acknowledged) {
      submission.acknowledged = true;
      ++acknowledged_;
      ack_times_.emplace(submission.version, current);
    }
    in_force(submission.version, submission.body, "a 200 to " + text_of(submission));
    return;
  }
  ++rejected_;
  submission.rejected = true;
  if (submission.acknowledged || submission.in_force)
    report_violation("taken-then-refused", text_of(submission) + " is answered " + std::to_string(status));
}

void Checker::in_force(std::int64_t version, const std::string& body, const std::string& where) {
  newest_seen_ = std::max(newest_seen_, version);
  if (const auto known = chain_.find(version); known != chain_.end()) {
    if (known->second->body != body)
      report_violation("two-under-one-version", where + " differs from " + text_of(*known->second));
    return;
  }
  const auto sent = std::find_if(submissions_.begin(), submissions_.end(), [&](const auto& order) {
    return order->version == version && order->body == body;
  });
  if (sent == submissions_.end())
    return report_violation("never-sent", where + " of version " + std::to_string(version));
  Submission& submission = **sent;
  submission.in_force = true;
  chain_[version] = &submission;
  if (submission.rejected) report_violation("refused-in-force", text_of(submission) + " by " + where);
  const auto [other, first] = built_on_.emplace(submission.base, &submission);
  if (!first) report_violation("two-on-one-base", text_of(submission) + " and " + text_of(*other->second));
  // Between it and what it builds on there was never another.
  const auto next = chain_.upper_bound(submission.base);
  if (next->first < version)
    report_violation("built-on-old", text_of(submission) + " over " + text_of(*next->second));
  for (const auto& [base, above] : built_on_) {
    if (base < version && version < above->version && above != &submission)
      report_violation("built-on-old", text_of(*above) + " over " + text_of(submission));
  }
}

void Checker::record_read(const Reading& reading, std::int64_t version, const std::string& body,
                          const std::string& from) {
  ++reads_;
  if (version < reading.min_version)
    report_violation("stale-read", from + " reads version " + std::to_string(version) + " after " +
                                       std::to_string(reading.min_version) + " was in force");
  if (version > 0) in_force(version, body, "a read from " + from);
}

void Checker::record_push(const Machine& edge, const common::RegisterValue& value) {
  ++pushes_;
  InForce& at = edges_[edge.name()];
  if (at.incarnation != edge.incarnations()) at = {edge.incarnations(), 0, 0};
  if (value.config_version < at.version || value.number < at.number)
    report_violation("pushed-back", edge.name() + " goes from version " + std::to_string(at.version) +
                                        " to " + std::to_string(value.config_version));
  at.version = value.config_version;
  at.number = value.number;
  if (value.config_version > 0) in_force(value.config_version, value.config.data, "a push to " + edge.name());
}

std::int64_t Checker::acknowledged_before(TimePoint then) const {
  std::int64_t out = 0;
  for (auto at = ack_times_.rbegin(); at != ack_times_.rend() && out == 0; ++at) {
    if (at->second < then) out = at->first;
  }
  return out;
}

void Checker::sample() {
  const TimePoint current = now();
  const std::int64_t due = acknowledged_before(current - max_apply_delay);
  for (const Machine* edge : deployment_.machines_of(Role::edge)) {
    if (!deployment_.in_touch(*edge)) continue;
    ++checked_samples_;
    const InForce& at = edges_[edge->name()];
    const std::int64_t version = at.incarnation == edge->incarnations() ? at.version : 0;
    if (version < due && !availability_suspended_)
      report_violation("not-applied", edge->name() + " is in touch and has version " +
                                          std::to_string(version) + ", acknowledged is " +
                                          std::to_string(due));
  }
  for (const auto& order : submissions_) check_reply_deadline(*order);
}

void Checker::check_reply_deadline(Submission& submission) {
  if (submission.acknowledged || submission.rejected || submission.is_late_reported ||
      availability_suspended_)
    return;
  const TimePoint calm = deployment_.calm_since();
  if (calm == TimePoint::never()) return;
  const TimePoint current = now();
  if (current - std::max(submission.first_sent, calm + contact_window) <= max_acknowledge_delay) return;
  submission.is_late_reported = true;
  report_violation("no-answer", text_of(submission) + " has no clear answer in calm times");
}

void Checker::finish() {
  sample();
  for (const auto& order : submissions_) {
    if (!order->acknowledged && !order->rejected)
      report_violation("no-answer", text_of(*order) + " at the end");
  }
  for (const Machine* edge : deployment_.machines_of(Role::edge)) {
    const InForce& at = edges_[edge->name()];
    if (edge->is_running() && (at.incarnation != edge->incarnations() || at.version < newest_seen_))
      report_violation("not-applied", edge->name() + " has version " + std::to_string(at.version) +
                                          " at the end, not " + std::to_string(newest_seen_));
  }
}

}  // namespace chutevane::tier_simulation
