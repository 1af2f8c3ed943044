#include "simulation/checker.hpp"

#include <algorithm>

namespace chutevane::simulation {
namespace {

std::string text_of(const Order& order) {
  return order.author + "'s order " + std::to_string(order.id) + " (version " +
         std::to_string(order.version) + " on " + std::to_string(order.base) + ")";
}

}  // namespace

Checker::Checker(const Deployment& deployment, network_simulation::Trace& trace)
    : deployment_(deployment), trace_(trace) {}

void Checker::broken(const std::string& rule, const std::string& text) {
  if (!told_.insert(rule + text).second) return;
  const TimePoint now = const_cast<Deployment&>(deployment_).simulator().now();
  violations_.push_back({now, rule, text});
  trace_.record(now, "BROKEN %s: %s", rule.c_str(), text.c_str());
}

Order& Checker::order_begun(const std::string& author, std::int64_t base, std::int64_t version,
                            std::string body) {
  orders_.push_back(std::make_unique<Order>());
  Order& out = *orders_.back();
  out.id = orders_.size();
  out.author = author;
  out.base = base;
  out.version = version;
  out.body = std::move(body);
  out.first_sent = const_cast<Deployment&>(deployment_).simulator().now();
  return out;
}

void Checker::order_answered(Order& order, int status) {
  const TimePoint now = const_cast<Deployment&>(deployment_).simulator().now();
  if (status == 200) {
    if (order.refused) broken("refused-then-taken", text_of(order));
    if (!order.acknowledged) {
      order.acknowledged = true;
      order.acknowledged_at = now;
      ++acknowledged_;
      ack_times_.emplace(order.version, now);
    }
    in_force(order.version, order.body, "a 200 to " + text_of(order));
    return;
  }
  ++refused_;
  order.refused = true;
  if (order.acknowledged || order.in_force)
    broken("taken-then-refused", text_of(order) + " is answered " + std::to_string(status));
}

void Checker::in_force(std::int64_t version, const std::string& body, const std::string& where) {
  newest_seen_ = std::max(newest_seen_, version);
  if (const auto known = chain_.find(version); known != chain_.end()) {
    if (known->second->body != body)
      broken("two-under-one-version", where + " differs from " + text_of(*known->second));
    return;
  }
  const auto sent = std::find_if(orders_.begin(), orders_.end(), [&](const auto& order) {
    return order->version == version && order->body == body;
  });
  if (sent == orders_.end()) return broken("never-sent", where + " of version " + std::to_string(version));
  Order& order = **sent;
  order.in_force = true;
  chain_[version] = &order;
  if (order.refused) broken("refused-in-force", text_of(order) + " by " + where);
  const auto [other, first] = built_on_.emplace(order.base, &order);
  if (!first) broken("two-on-one-base", text_of(order) + " and " + text_of(*other->second));
  // Between it and what it builds on there was never another.
  const auto next = chain_.upper_bound(order.base);
  if (next->first < version) broken("built-on-old", text_of(order) + " over " + text_of(*next->second));
  for (const auto& [base, above] : built_on_) {
    if (base < version && version < above->version && above != &order)
      broken("built-on-old", text_of(*above) + " over " + text_of(order));
  }
}

void Checker::read_answered(const Reading& reading, std::int64_t version, const std::string& body,
                            const std::string& from) {
  ++reads_;
  if (version < reading.floor)
    broken("stale-read", from + " reads version " + std::to_string(version) + " after " +
                             std::to_string(reading.floor) + " was in force");
  if (version > 0) in_force(version, body, "a read from " + from);
}

void Checker::pushed(const Machine& edge, const common::RegisterValue& value) {
  ++pushes_;
  InForce& at = edges_[edge.name()];
  if (at.life != edge.lives()) at = {edge.lives(), 0, 0};
  if (value.config_version < at.version || value.number < at.number)
    broken("pushed-back", edge.name() + " goes from version " + std::to_string(at.version) + " to " +
                              std::to_string(value.config_version));
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
  const TimePoint now = const_cast<Deployment&>(deployment_).simulator().now();
  const std::int64_t due = acknowledged_before(now - config_apply);
  for (const Machine* edge : deployment_.of(Role::edge)) {
    if (!deployment_.in_touch(*edge)) continue;
    ++bound_;
    const InForce& at = edges_[edge->name()];
    const std::int64_t version = at.life == edge->lives() ? at.version : 0;
    if (version < due && !service_may_rest_)
      broken("not-applied", edge->name() + " is in touch and has version " + std::to_string(version) +
                                ", acknowledged is " + std::to_string(due));
  }
  for (const auto& order : orders_) check_late(*order);
}

void Checker::check_late(Order& order) {
  if (order.acknowledged || order.refused || order.late_told || service_may_rest_) return;
  const TimePoint calm = deployment_.calm_since();
  if (calm == TimePoint::never()) return;
  const TimePoint now = const_cast<Deployment&>(deployment_).simulator().now();
  if (now - std::max(order.first_sent, calm + contact_within) <= ack_within) return;
  order.late_told = true;
  broken("no-answer", text_of(order) + " has no clear answer in calm times");
}

void Checker::finish() {
  sample();
  for (const auto& order : orders_) {
    if (!order->acknowledged && !order->refused) broken("no-answer", text_of(*order) + " at the end");
  }
  for (const Machine* edge : deployment_.of(Role::edge)) {
    const InForce& at = edges_[edge->name()];
    if (edge->running() && (at.life != edge->lives() || at.version < newest_seen_))
      broken("not-applied", edge->name() + " has version " + std::to_string(at.version) +
                                " at the end, not " + std::to_string(newest_seen_));
  }
}

}  // namespace chutevane::simulation
