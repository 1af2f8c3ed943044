/// Implements the conversion between calls, answers and messages.
#include "control/coordination/call_messages.hpp"

namespace chutevane::control::coordination {

common::CoordinationCall to_message(const Call& call, Span time_left) {
  common::CoordinationCall out;
  out.operation = static_cast<std::int64_t>(call.operation);
  out.id = static_cast<std::int64_t>(call.id);
  out.name = call.name;
  out.holder = call.holder;
  out.fence = call.fence;
  out.hold_ms = static_cast<std::int64_t>(call.hold.as_ms());
  out.value = call.value;
  out.applies_to = call.applies_to;
  out.expired_grant_id = static_cast<std::int64_t>(call.expired_grant_id);
  out.expired_grant_number = call.expired_grant_number;
  out.time_left_ms = static_cast<std::int64_t>(time_left.as_ms());
  return out;
}

common::CoordinationAnswer to_message(const Answer& answer) {
  return {static_cast<std::int64_t>(answer.outcome), answer.number, answer.value};
}

std::optional<Call> call_of(const common::CoordinationCall& message) {
  constexpr auto first = static_cast<std::int64_t>(Operation::acquire_lock);
  constexpr auto last = static_cast<std::int64_t>(Operation::get_group_revision);
  if (message.operation < first || message.operation > last) return std::nullopt;
  Call out;
  out.operation = static_cast<Operation>(message.operation);
  out.id = static_cast<std::uint64_t>(message.id);
  out.name = message.name;
  out.holder = message.holder;
  out.fence = message.fence;
  out.hold = Span::ms(static_cast<double>(message.hold_ms));
  out.value = message.value;
  out.applies_to = message.applies_to;
  out.expired_grant_id = static_cast<std::uint64_t>(message.expired_grant_id);
  out.expired_grant_number = message.expired_grant_number;
  return out;
}

Answer from_message(const common::CoordinationAnswer& message) {
  constexpr auto last = static_cast<std::int64_t>(Outcome::declined);
  const bool is_known = message.outcome >= 0 && message.outcome <= last;
  return {is_known ? static_cast<Outcome>(message.outcome) : Outcome::undetermined, message.number,
          message.value};
}

}  // namespace chutevane::control::coordination
