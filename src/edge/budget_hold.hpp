// The part of a program's budget that one exchange holds: set aside before its turn is sent, and told once
// what came of it.
//
// Whatever is not told counts at its most for good. So the hold is closed at 0 only where the turn has not
// run and will not, and at less than its most only where no more of it can reach the client.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "edge/ledger.hpp"

namespace chutevane::edge {

class BudgetHold {
 public:
  explicit BudgetHold(Ledger& ledger) : ledger_(ledger) {}

  // Storage is about to be asked: from here on it may have the reservation.
  void open(const std::string& program, const std::string& attempt) {
    program_ = program;
    attempt_ = attempt;
    open_ = true;
  }
  bool is_open() const { return open_; }
  // `tokens`: that were handed to the client, and no more will be. Only the first word counts.
  void settle(std::int64_t tokens) {
    if (std::exchange(open_, false)) ledger_.settle(program_, attempt_, tokens);
  }
  // The turn has not run and will not.
  void release() { settle(0); }
  // It counts at its most, or another message tells what came of it.
  void close() { open_ = false; }

 private:
  Ledger& ledger_;
  std::string program_, attempt_;
  bool open_ = false;
};

}  // namespace chutevane::edge
