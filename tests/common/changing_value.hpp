// Generates register values as changed by operators: each change modifies a small part of a configuration of
// a given size.
#pragma once

#include <string>

#include "common/messages.hpp"
#include "simulated_system.hpp"

namespace chutevane::simulated {

class ChangingValue {
 public:
  ChangingValue(std::uint64_t seed, std::size_t config_bytes) : random_(seed) {
    for (std::size_t size = 0, i = 0; size < config_bytes; size += routes_.back().size(), ++i)
      routes_.push_back(route(i, 1500));
  }
  // Returns `value` with the next configuration, version and number.
  common::RegisterValue next(const common::RegisterValue& value) {
    ++version_;
    const std::size_t at = random_.below(routes_.size());
    routes_[at] = route(at, 500 + random_.below(5000));
    if (random_.chance(0.1))
      routes_.insert(routes_.begin() + static_cast<std::ptrdiff_t>(at), route(version_, 700));
    if (random_.chance(0.1) && routes_.size() > 3)
      routes_.erase(routes_.begin() + static_cast<std::ptrdiff_t>(random_.below(routes_.size() - 1)));
    common::RegisterValue out = value;
    ++out.number;
    out.config_version = static_cast<std::int64_t>(version_);
    out.config.data = text();
    out.applied_configurations.push_back({out.config_version, static_cast<std::int64_t>(random_.next())});
    if (out.applied_configurations.size() > max_applied_configurations)
      out.applied_configurations.erase(out.applied_configurations.begin());
    return out;
  }

 private:
  static constexpr std::size_t max_applied_configurations = 64;
  static std::string route(std::size_t name, std::size_t timeout) {
    const std::string n = std::to_string(name);
    return "{\"name\":\"route-" + n + "\",\"match\":{\"host\":\"api.example\",\"prefix\":\"/v1/r" + n +
           "\"},\"type\":\"idempotent\",\"timeoutMs\":" + std::to_string(timeout) +
           ",\"maxAttempts\":2,\"split\":[{\"service\":\"s" + std::to_string(name % 7) +
           "\",\"weight\":1.0}]}";
  }
  std::string text() const {
    std::string out = "{\"version\":" + std::to_string(version_) + ",\"routes\":[";
    for (const std::string& one : routes_) out += one + ",";
    out.back() = ']';
    return out + "}";
  }
  RandomSource random_;
  std::vector<std::string> routes_;
  std::size_t version_ = 0;
};

}  // namespace chutevane::simulated
