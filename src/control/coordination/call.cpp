/// Names of operations and outcomes.
#include "control/coordination/call.hpp"

namespace chutevane::control::coordination {

std::string_view name_of(Operation operation) {
  switch (operation) {
    case Operation::acquire_lock: return "acquire_lock";
    case Operation::renew_lock: return "renew_lock";
    case Operation::release_lock: return "release_lock";
    case Operation::next_number: return "next_number";
    case Operation::put_key: return "put_key";
    case Operation::get_key: return "get_key";
    case Operation::get_group_revision: return "get_group_revision";
  }
  return "unknown";
}

std::string_view name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::done: return "done";
    case Outcome::held_by_other: return "held_by_other";
    case Outcome::revision_mismatch: return "revision_mismatch";
    case Outcome::not_found: return "not_found";
    case Outcome::limit_reached: return "limit_reached";
    case Outcome::unavailable: return "unavailable";
    case Outcome::undetermined: return "undetermined";
    case Outcome::declined: return "declined";
  }
  return "unknown";
}

}  // namespace chutevane::control::coordination
