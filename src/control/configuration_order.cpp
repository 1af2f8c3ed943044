#include "control/configuration_order.hpp"

#include <algorithm>
#include <cassert>

namespace chutevane::control {
namespace {

using common::AppliedConfiguration;

// Of a version that is not above the current one. Each configuration was taken on the version before it: the
// record holds the bases too.
OrderVerdict judge_by_record(const std::vector<AppliedConfiguration>& record, const ConfigurationOrder& order,
                             std::size_t remembered) {
  const bool reaches_the_first = record.size() < remembered;
  if (record.empty() || (!reaches_the_first && order.version <= record.front().version))
    return OrderVerdict::unclear;
  const auto at = std::lower_bound(
      record.begin(), record.end(), order.version,
      [](const AppliedConfiguration& t, std::int64_t version) { return t.version < version; });
  if (at == record.end() || at->version != order.version || at->hash != order.hash)
    return OrderVerdict::superseded;
  const std::int64_t base = at == record.begin() ? 0 : std::prev(at)->version;
  return base == order.base ? OrderVerdict::taken : OrderVerdict::superseded;
}

}  // namespace

OrderVerdict judge(const common::RegisterValue& current, const ConfigurationOrder& order,
                   std::size_t remembered) {
  if (order.version <= order.base) return OrderVerdict::not_above_base;
  if (order.version <= current.config_version)
    return judge_by_record(current.applied_configurations, order, remembered);
  if (order.base == current.config_version) return OrderVerdict::applicable;
  // A base that is passed never comes back. One that is still ahead may come, and another try of the same
  // order may meet it there: a refusal now could be of a configuration that is in force later.
  return order.base < current.config_version ? OrderVerdict::superseded : OrderVerdict::unclear;
}

common::RegisterValue applied(const common::RegisterValue& current, const ConfigurationOrder& order,
                              std::size_t remembered) {
  assert(judge(current, order, remembered) == OrderVerdict::applicable);
  common::RegisterValue out = current;
  out.config_version = order.version;
  out.config.data = order.body;
  out.applied_configurations.push_back({order.version, order.hash});
  if (out.applied_configurations.size() > remembered)
    out.applied_configurations.erase(out.applied_configurations.begin());
  return out;
}

}  // namespace chutevane::control
