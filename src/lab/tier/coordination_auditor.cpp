#include "lab/tier/coordination_auditor.hpp"

#include <algorithm>
#include <utility>

namespace chutevane::lab::tier {
namespace {

constexpr std::size_t max_kept_violations = 100;

std::string text(std::int64_t number) { return std::to_string(number); }

std::string text_ms(Span span) { return std::to_string(static_cast<long>(span.as_ms())) + " ms"; }

}  // namespace

const char* name_of(CoordinationRule rule) {
  constexpr std::array<const char*, coordination_rules> names = {"ONE",   "ORDER",   "STALE",
                                                                 "MIXED", "REFUSED", "LOST"};
  return names[static_cast<std::size_t>(rule)];
}

void CoordinationAuditor::report(CoordinationRule rule, std::string what) {
  ++counts_[static_cast<std::size_t>(rule)];
  if (violations_.size() < max_kept_violations) violations_.push_back({rule, std::move(what)});
}

void CoordinationAuditor::report_lag(const CoordinationCall& call, CoordinationRule rule,
                                     const std::string& what) {
  report(call.at_end ? CoordinationRule::lost : rule, what);
}

// ---- Calls

CoordinationAuditor::CallId CoordinationAuditor::sent(const CoordinationCall& call, TimePoint now) {
  Sent out{call, now, 0, 0, false};
  switch (call.kind) {
    case CoordinationKind::acquire_lock:
      for (const auto& [holder, fence] : locks_[call.name].newest_fence) {
        std::int64_t& bound = holder == call.holder ? out.own_fence : out.least;
        bound = std::max(bound, fence);
      }
      break;
    case CoordinationKind::release_lock: {
      Lock& lock = locks_[call.name];
      const auto held = lock.holds.find(call.holder);
      if (held != lock.holds.end()) held->second.until = std::min(held->second.until, now);
      break;
    }
    case CoordinationKind::next_number: {
      const auto& given = numbers_[call.name].given;
      out.least = given.empty() ? 0 : *given.rbegin();
      break;
    }
    case CoordinationKind::put_key: {
      const auto [put, is_first] = puts_.try_emplace(call.value);
      if (is_first) {
        put->second.key = call.name;
        put->second.applies_to = call.applies_to;
        put->second.least_before = highest_shown(group_of_key(call.name));
      }
      ++put->second.open;
      break;
    }
    case CoordinationKind::get_key: {
      const auto known = key_revisions_.find(call.name);
      out.least = known == key_revisions_.end() ? 0 : known->second;
      break;
    }
    case CoordinationKind::watch: out.least = acknowledged_revision(call.name); break;
    case CoordinationKind::renew_lock: break;
  }
  calls_.push_back(std::move(out));
  return calls_.size() - 1;
}

void CoordinationAuditor::ended(CallId id, const CoordinationAnswer& answer, TimePoint now) {
  Sent& call = calls_.at(id);
  if (std::exchange(call.ended, true)) return;
  const bool is_done = answer.outcome == CoordinationOutcome::done;
  switch (call.call.kind) {
    case CoordinationKind::acquire_lock:
      if (is_done) acquired(call, answer.number, now);
      break;
    case CoordinationKind::renew_lock:
      if (is_done) renewed(call, now);
      break;
    case CoordinationKind::next_number:
      if (is_done) numbered(call, answer.number);
      break;
    case CoordinationKind::put_key: put_ended(call, answer); break;
    case CoordinationKind::get_key:
      if (is_done || answer.outcome == CoordinationOutcome::not_found) read(call, answer);
      break;
    case CoordinationKind::watch:
      if (is_done) watched(call, answer);
      if (answer.outcome == CoordinationOutcome::history_gone &&
          call.at - call.call.after_received_at < history_)
        report(CoordinationRule::lost, "watch " + call.call.name + " after " + text(call.call.after) +
                                           ": 410, and it was received " +
                                           text_ms(call.at - call.call.after_received_at) + " before");
      break;
    case CoordinationKind::release_lock: break;
  }
}

void CoordinationAuditor::unanswered_at_end(const CoordinationCall& call) {
  report(CoordinationRule::lost,
         std::string("at the end no answer in time: ") + name_of(call.kind) + " " + call.name);
}

// ---- Locks

void CoordinationAuditor::check_sole_holder(const std::string& name, const std::string& holder,
                                            TimePoint now) {
  for (const auto& [other, hold] : locks_[name].holds) {
    if (other == holder || hold.until <= now) continue;
    std::string what = "lock ";
    what.append(name).append(": ").append(holder).append(" and ").append(other);
    what.append(" hold it at once, the latter with ").append(text(hold.fence));
    what.append(" for ").append(text_ms(hold.until - now)).append(" more");
    report(CoordinationRule::one, std::move(what));
  }
}

void CoordinationAuditor::acquired(const Sent& sent, std::int64_t fence, TimePoint now) {
  const CoordinationCall& call = sent.call;
  Lock& lock = locks_[call.name];
  if (fence <= sent.least)
    report_lag(call, CoordinationRule::one,
               "lock " + call.name + ": " + call.holder + " got " + text(fence) + ", another holder " +
                   text(sent.least) + " before the call was sent");
  if (fence < sent.own_fence)
    report_lag(call, CoordinationRule::one,
               "lock " + call.name + ": " + call.holder + " got " + text(fence) + " after its own " +
                   text(sent.own_fence));
  const auto [owner, is_new] = lock.holder_of.emplace(fence, call.holder);
  if (!is_new && owner->second != call.holder)
    report(CoordinationRule::one,
           "lock " + call.name + ": " + text(fence) + " went to " + owner->second + " and to " + call.holder);
  std::int64_t& newest = lock.newest_fence[call.holder];
  newest = std::max(newest, fence);
  const TimePoint until = sent.at + call.hold;
  if (until <= now) return;
  check_sole_holder(call.name, call.holder, now);
  lock.holds[call.holder] = {fence, until};
}

void CoordinationAuditor::renewed(const Sent& sent, TimePoint now) {
  Lock& lock = locks_[sent.call.name];
  const auto held = lock.holds.find(sent.call.holder);
  const bool counts =
      held != lock.holds.end() && held->second.fence == sent.call.fence && held->second.until > now;
  if (!counts) return;
  check_sole_holder(sent.call.name, sent.call.holder, now);
  held->second.until = sent.at + sent.call.hold;
}

std::optional<TimePoint> CoordinationAuditor::holds_until(const std::string& lock,
                                                          const std::string& holder) const {
  const auto found = locks_.find(lock);
  if (found == locks_.end()) return std::nullopt;
  const auto held = found->second.holds.find(holder);
  if (held == found->second.holds.end()) return std::nullopt;
  return held->second.until;
}

// ---- Numbers

void CoordinationAuditor::numbered(const Sent& sent, std::int64_t value) {
  const std::string where = "number " + sent.call.name + ": " + text(value);
  if (!numbers_[sent.call.name].given.insert(value).second)
    return report(CoordinationRule::order, where + " was given twice");
  if (value <= sent.least)
    report_lag(sent.call, CoordinationRule::order,
               where + " after " + text(sent.least) + " was given before the call was sent");
}

// ---- Keys

std::int64_t CoordinationAuditor::highest_shown(const std::string& group) const {
  const auto found = groups_.find(group);
  if (found == groups_.end() || found->second.shown.empty()) return 0;
  return found->second.shown.rbegin()->first;
}

std::int64_t CoordinationAuditor::acknowledged_revision(const std::string& group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? 0 : found->second.acknowledged;
}

void CoordinationAuditor::show(const std::string& key, const std::string& value, std::int64_t revision) {
  const std::string where = "key " + key + ": '" + value + "' at " + text(revision);
  const auto put = puts_.find(value);
  if (put == puts_.end() || put->second.key != key)
    return report(CoordinationRule::mixed, where + ", which nobody put there");
  std::optional<std::int64_t>& known = put->second.revision;
  if (known && *known != revision)
    report(CoordinationRule::mixed, where + ", and it was shown at " + text(*known));
  known = revision;
  const auto [shown, is_new] = groups_[group_of_key(key)].shown.try_emplace(revision, Shown{key, value});
  if (is_new) {
    if (revision <= put->second.least_before)
      report(CoordinationRule::order,
             where + ", sent after " + text(put->second.least_before) + " of its group had been given");
  } else if (shown->second.value != value) {
    report(CoordinationRule::order,
           where + ", and so is '" + shown->second.value + "' of key " + shown->second.key);
  }
}

void CoordinationAuditor::put_ended(const Sent& sent, const CoordinationAnswer& answer) {
  Put& put = puts_.at(sent.call.value);
  --put.open;
  switch (answer.outcome) {
    case CoordinationOutcome::done: return put_done(sent, put, answer.number);
    case CoordinationOutcome::revision_mismatch:
      put.rejected = true;
      mismatches_.push_back({sent.call.name, answer.number});
      return;
    case CoordinationOutcome::refused: return;
    default: put.may_be_done = true;
  }
}

void CoordinationAuditor::put_done(const Sent& sent, Put& put, std::int64_t revision) {
  put.may_be_done = true;
  show(sent.call.name, sent.call.value, revision);
  std::int64_t& of_key = key_revisions_[sent.call.name];
  of_key = std::max(of_key, revision);
  std::int64_t& of_group = groups_[group_of_key(sent.call.name)].acknowledged;
  of_group = std::max(of_group, revision);
}

void CoordinationAuditor::read(const Sent& sent, const CoordinationAnswer& answer) {
  const bool is_found = answer.outcome == CoordinationOutcome::done;
  const std::int64_t revision = is_found ? answer.number : 0;
  if (revision < sent.least)
    report_lag(sent.call, CoordinationRule::stale,
               "key " + sent.call.name + " read at " + text(revision) + " after a put at " +
                   text(sent.least) + " was acknowledged");
  if (is_found) show(sent.call.name, answer.value, revision);
}

// ---- Watches

void CoordinationAuditor::watched(const Sent& sent, const CoordinationAnswer& answer) {
  const std::string where = "watch " + sent.call.name + " after " + text(sent.call.after);
  if (sent.call.after == 0) {
    if (answer.number < sent.least)
      report_lag(sent.call, CoordinationRule::stale,
                 where + ": the present revision is told as " + text(answer.number) + ", a put at " +
                     text(sent.least) + " was acknowledged before");
    return;
  }
  WatchedSpan span{sent.call.after, answer.number, {}};
  std::int64_t last = sent.call.after;
  for (const CoordinationEvent& event : answer.events) {
    if (event.revision <= last || event.revision > answer.number)
      report(CoordinationRule::order, where + ": event " + text(event.revision) + " behind " + text(last) +
                                          ", the answer's revision is " + text(answer.number));
    last = std::max(last, event.revision);
    span.revisions.insert(event.revision);
    if (group_of_key(event.name) != sent.call.name)
      report(CoordinationRule::mixed, where + ": an event of key " + event.name);
    show(event.name, event.value, event.revision);
  }
  if (answer.number < sent.call.after)
    report(CoordinationRule::order, where + ": the answer's revision is " + text(answer.number));
  groups_[sent.call.name].watched.push_back(std::move(span));
}

// ---- With all calls known

void CoordinationAuditor::finish() {
  for (Sent& call : calls_) {
    if (call.ended || call.call.kind != CoordinationKind::put_key) continue;
    puts_.at(call.call.value).may_be_done = true;
  }
  check_conditions();
  check_watches();
  check_mismatches();
  check_rejected();
}

void CoordinationAuditor::check_conditions() {
  for (const auto& [value, put] : puts_) {
    if (!put.applies_to || !put.revision) continue;
    const auto& shown = groups_[group_of_key(put.key)].shown;
    for (auto at = shown.upper_bound(*put.applies_to); at != shown.end() && at->first < *put.revision; ++at) {
      if (at->second.key != put.key) continue;
      report(CoordinationRule::order, "key " + put.key + ": put at " + text(*put.revision) + " on top of " +
                                          text(*put.applies_to) + ", over a later one at " + text(at->first));
    }
  }
}

void CoordinationAuditor::check_watches() {
  for (const auto& [name, group] : groups_) {
    for (const WatchedSpan& span : group.watched) {
      for (auto at = group.shown.upper_bound(span.after); at != group.shown.end() && at->first <= span.until;
           ++at) {
        if (span.revisions.contains(at->first)) continue;
        report(CoordinationRule::order, "watch " + name + " from " + text(span.after) + " to " +
                                            text(span.until) + " skips " + text(at->first) + " of key " +
                                            at->second.key);
      }
    }
  }
}

void CoordinationAuditor::check_mismatches() {
  for (const Mismatch& mismatch : mismatches_) {
    if (mismatch.revision == 0) continue;
    const auto& shown = groups_[group_of_key(mismatch.key)].shown;
    const auto known = shown.find(mismatch.revision);
    const bool may_be_of_unclear_put =
        known == shown.end() && std::any_of(puts_.begin(), puts_.end(), [&](const auto& entry) {
          const Put& put = entry.second;
          return put.key == mismatch.key && !put.revision && put.may_be_done && !put.rejected;
        });
    const bool is_of_key = known != shown.end() && known->second.key == mismatch.key;
    if (is_of_key || may_be_of_unclear_put) continue;
    report(CoordinationRule::mixed, "key " + mismatch.key + ": 412 names revision " +
                                        text(mismatch.revision) + ", which no put gave it");
  }
}

void CoordinationAuditor::check_rejected() {
  for (const auto& [value, put] : puts_) {
    if (!put.revision) continue;
    if (put.rejected || !put.may_be_done)
      report(CoordinationRule::refused, "key " + put.key + ": '" + value + "' at " + text(*put.revision) +
                                            " belongs to a put that was rejected");
  }
}

}  // namespace chutevane::lab::tier
