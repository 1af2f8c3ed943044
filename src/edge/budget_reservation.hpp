/// The part of a program's token budget that one request has reserved: from before its first attempt until it
/// is known how much was used.
///
/// A reservation whose use is never committed counts in full for good. So it may be released only where the
/// request has not run and will not, and committed below its maximum only where no more of the response can
/// reach the client.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "edge/storage_client.hpp"

namespace chutevane::edge {

/// The reservation of one request: closed at first, open from open() until commit(), release() or abandon().
class BudgetReservation {
 public:
  /// `storage` must outlive this.
  explicit BudgetReservation(StorageClient& storage) : storage_(storage) {}

  /// Storage is about to be asked: from here on its nodes may have the reservation, whatever they answer.
  void open(const std::string& program, const std::string& attempt_id) {
    program_ = program;
    attempt_id_ = attempt_id;
    is_open_ = true;
  }
  bool is_open() const { return is_open_; }
  /// `tokens` were passed on to the client, and no more will be. Only the first call after open() has an
  /// effect.
  void commit(std::int64_t tokens) {
    if (std::exchange(is_open_, false)) storage_.commit_usage(program_, attempt_id_, tokens);
  }
  /// The request has not run and will not.
  void release() { commit(0); }
  /// Nothing is sent from here: it counts in full, or another message carries its use.
  void abandon() { is_open_ = false; }

 private:
  StorageClient& storage_;
  std::string program_;
  std::string attempt_id_;
  bool is_open_ = false;
};

}  // namespace chutevane::edge
