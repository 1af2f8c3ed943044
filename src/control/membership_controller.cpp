#include "control/membership_controller.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "common/configuration.hpp"
#include "common/log.hpp"
#include "common/storage_map.hpp"

namespace chutevane::control {
namespace {

constexpr Span change_timeout = Span::ms(1500);

/// Returns true if the planner may need to know how long to wait for an absent disk.
bool may_replicas_expire(const RegisterValue& value, const std::vector<common::Member>& members) {
  const auto is_absent = [&](const common::StorageNode& node) {
    return std::none_of(members.begin(), members.end(),
                        [&](const common::Member& member) { return member.node == node.node; });
  };
  return common::missing_replicas(value) > 0 ||
         std::any_of(value.storage_nodes.begin(), value.storage_nodes.end(), is_absent);
}

}  // namespace

MembershipController::MembershipController(Register& reg, std::size_t losses, ChangedCallback on_changed)
    : register_(reg),
      on_changed_(std::move(on_changed)),
      acceptor_planner_(losses),
      storage_planner_(losses) {}

void MembershipController::set_leading(bool is_leading) {
  if (is_leading && !is_leading_) {
    acceptor_planner_.restart();
    storage_planner_.restart();
  }
  is_leading_ = is_leading;
}

/// Returns the longest retention in the chosen configuration, which is parsed once per version.
Span MembershipController::longest_retention(const RegisterValue& value) {
  if (retention_version_ == value.config_version) return longest_retention_;
  common::Findings findings;
  const auto configuration = common::read_configuration(value.config.data, findings);
  if (!configuration) return longest_retention_;
  retention_version_ = value.config_version;
  longest_retention_ = Span();
  for (const common::Route& route : configuration->routes) {
    if (route.retained) longest_retention_ = std::max(longest_retention_, route.retention);
  }
  return longest_retention_;
}

void MembershipController::reconcile(const std::vector<LiveController>& controllers,
                                     const std::vector<common::Member>& members, TimePoint now) {
  if (is_change_pending_ || !register_.known_value()) return;
  const RegisterValue& value = *register_.known_value();
  const std::optional<NamedAcceptorSet> acceptors = acceptor_planner_.plan(value, controllers, now);
  if (may_replicas_expire(value, members)) storage_planner_.set_longest_retention(longest_retention(value));
  if (acceptors) {
    const auto seal = [next = *acceptors](const RegisterValue& current) {
      return std::optional(sealed_with(current, next));
    };
    return submit(value.number, seal, true);
  }
  std::optional<RegisterValue> next = storage_planner_.plan(value, members, now);
  if (!next) return;
  const auto replace = [planned = *std::move(next)](const RegisterValue&) { return std::optional(planned); };
  submit(value.number, replace, false);
}

/// Submits a planned change. `planned_on`: number of the value that the plan was based on. If another value
/// is current by then, the change is dropped and the next tick makes a new plan.
void MembershipController::submit(std::int64_t planned_on, Register::Change change, bool acceptors_changed) {
  is_change_pending_ = true;
  register_.change(
      [planned_on, change = std::move(change)](const RegisterValue& current) -> std::optional<RegisterValue> {
        if (current.number != planned_on) return std::nullopt;
        return change(current);
      },
      change_timeout,
      [this, acceptors_changed](absl::StatusOr<RegisterValue> chosen) {
        is_change_pending_ = false;
        if (!chosen.ok()) return;
        on_changed_(*chosen, acceptors_changed);
      });
}

}  // namespace chutevane::control
