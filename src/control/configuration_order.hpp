// An operator's order to put a configuration in force, and what a value of the register says of it. No I/O.
//
// An order is its base version, its own version and its bytes: sent again, all three are the same. Versions
// rise with each configuration that is taken, so every order has at most one value that it may be applied to,
// and the record of what was taken tells a repeat from an order that lost. The record is bounded. What it
// does not reach any more is answered as unclear, never as refused. docs/control-side/orders.md proves it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/messages.hpp"

namespace chutevane::control {

// Configurations in the record. About 13 bytes each in the value that acceptors keep: hours of a day of
// 16,000 changes, and more than a day of hundreds.
constexpr std::size_t remembered_configurations = 4096;

struct ConfigurationOrder {
  std::int64_t base = 0;
  std::int64_t version = 0;
  std::int64_t hash = 0;  // of the body: common::hash_of()
  std::string body;
};

enum class OrderVerdict : std::uint8_t {
  applicable,      // its base is current: taking it is the next change
  taken,           // it was taken, now or at some time before
  superseded,      // another version is current than its base, and it was not taken and never will be
  not_above_base,  // its version is not above its own base: taken nowhere, whatever is current
  unclear,         // its base is not current yet, or the record does not reach back to it
};

// `remembered`: entries that the record holds at most, the same at all who judge.
OrderVerdict judge(const common::RegisterValue& current, const ConfigurationOrder& order,
                   std::size_t remembered = remembered_configurations);
// The value with the order applied. Only for one that is applicable.
common::RegisterValue applied(const common::RegisterValue& current, const ConfigurationOrder& order,
                              std::size_t remembered = remembered_configurations);

}  // namespace chutevane::control
