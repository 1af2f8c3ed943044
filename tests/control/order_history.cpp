#include "order_history.hpp"

#include <algorithm>

namespace chutevane::simulated {
namespace {

std::string named(const OrderKey& order) {
  return std::to_string(order.base) + " to " + std::to_string(order.version);
}

}  // namespace

bool OrderHistory::Order::had(int status) const {
  return std::any_of(answers.begin(), answers.end(), [&](const Try& t) { return t.status == status; });
}

void OrderHistory::sent(const OrderKey& order, TimePoint at) {
  const auto [found, fresh] = orders_.emplace(order, Order{});
  if (fresh) found->second.first_sent = at;
}

void OrderHistory::answered(const OrderKey& order, TimePoint sent, TimePoint at, int status) {
  orders_.at(order).answers.push_back({sent, at, status});
}

void OrderHistory::read(TimePoint sent, TimePoint at, std::int64_t version, const std::string& body) {
  reads_.push_back({sent, at, version, body});
}

std::size_t OrderHistory::count(int status) const {
  return static_cast<std::size_t>(
      std::count_if(orders_.begin(), orders_.end(), [&](const auto& one) { return one.second.had(status); }));
}

std::vector<OrderHistory::Seen> OrderHistory::all_seen() const {
  std::vector<Seen> out;
  for (const auto& [key, order] : orders_) {
    for (const Try& t : order.answers) {
      if (t.status == 200) out.push_back({order.first_sent, t.at, key.version, &key.body, &key});
    }
  }
  for (const Read& r : reads_)
    out.push_back({r.sent, r.at, r.version, r.version == 0 ? nullptr : &r.body, nullptr});
  return out;
}

// Of two that were acknowledged one comes whole before the other.
std::string OrderHistory::fault_of_orders() const {
  const OrderKey* before = nullptr;  // the last one acknowledged, by base and version
  for (const auto& [key, order] : orders_) {
    if (!order.had(200)) continue;
    if (order.was_refused()) return named(key) + " was acknowledged and refused";
    if (key.version <= key.base) return named(key) + " is invalid and was acknowledged";
    if (before != nullptr && before->version > key.base)
      return named(*before) + " and " + named(key) + " were both acknowledged";
    before = &key;
  }
  return "";
}

std::string OrderHistory::fault_of_times(const std::vector<Seen>& seen) const {
  for (const Seen& a : seen) {
    const std::string version = std::to_string(a.version);
    for (const Seen& b : seen) {
      if (a.version == b.version && a.body != nullptr && *a.body != *b.body)
        return "two configurations of version " + version;
      if (b.order == nullptr && a.at < b.sent && b.version < a.version)
        return "version " + std::to_string(b.version) + " was read after " + version;
      // In force between an order's base and its version was nothing.
      if (b.order != nullptr && b.order->base < a.version && a.version < b.version)
        return version + " was seen, and " + named(*b.order) + " acknowledged";
      if (b.order != nullptr && a.at < b.sent && b.order->base < a.version && a.version != b.version)
        return named(*b.order) + " was acknowledged, and first sent after " + version + " was seen";
    }
  }
  return "";
}

std::string OrderHistory::fault_of_refusals(const std::vector<Seen>& seen) const {
  for (const auto& [key, order] : orders_) {
    if (order.had(400) && key.version > key.base) return named(key) + " is valid and was answered 400";
    if (!order.was_refused()) continue;
    const auto in_force = std::any_of(seen.begin(), seen.end(), [&](const Seen& s) {
      return s.version == key.version && s.body != nullptr && *s.body == key.body;
    });
    // Equal bytes on another base are another order, and may be what is in force.
    const auto another = std::any_of(orders_.begin(), orders_.end(), [&](const auto& other) {
      return other.first.version == key.version && other.first.body == key.body &&
             other.first.base != key.base;
    });
    if (in_force && !another) return named(key) + " was refused and is in force";
    for (const Try& t : order.answers) {
      if (t.status != 412) continue;
      const bool before = std::any_of(seen.begin(), seen.end(),
                                      [&](const Seen& s) { return s.version == key.base && s.at < t.sent; });
      const bool after = std::any_of(seen.begin(), seen.end(), [&](const Seen& s) {
        return s.version == key.base && s.order == nullptr && t.at < s.sent;
      });
      if (before && after && key.version > key.base)
        return named(key) + " was refused on the current version";
    }
  }
  return "";
}

std::string OrderHistory::fault() const {
  const std::vector<Seen> seen = all_seen();
  for (const std::string& found : {fault_of_orders(), fault_of_times(seen), fault_of_refusals(seen)}) {
    if (!found.empty()) return found;
  }
  return "";
}

}  // namespace chutevane::simulated
