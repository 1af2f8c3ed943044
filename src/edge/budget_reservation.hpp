/// The part of a program's token budget that one request has reserved, held from before its first attempt
/// until the actual usage is known.
///
/// A reservation whose usage is never committed counts in full forever. It may therefore be released only if
/// the request has not run and will not run, and committed below its maximum only if no more of the response
/// can reach the client.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "edge/storage_client.hpp"

namespace chutevane::edge {

/// The reservation of one request. It is open from open() until commit(), release() or abandon().
class BudgetReservation {
 public:
  /// `storage` must outlive this.
  explicit BudgetReservation(StorageClient& storage) : storage_(storage) {}

  /// Marks the reservation as open. Called before storage is asked, because from then on its nodes may have
  /// recorded the reservation, whatever they reply.
  void open(const std::string& program, const std::string& attempt_id) {
    program_ = program;
    attempt_id_ = attempt_id;
    is_open_ = true;
  }
  bool is_open() const { return is_open_; }
  /// Commits the usage: `tokens` were forwarded to the client, and no more will be. Only the first call after
  /// open() has an effect.
  void commit(std::int64_t tokens) {
    if (std::exchange(is_open_, false)) storage_.commit_usage(program_, attempt_id_, tokens);
  }
  /// Releases the whole reservation. The request has not run and will not run.
  void release() { commit(0); }
  /// Closes the reservation without a message to storage: it counts in full, or another message commits its
  /// usage.
  void abandon() { is_open_ = false; }

 private:
  StorageClient& storage_;
  std::string program_;
  std::string attempt_id_;
  bool is_open_ = false;
};

}  // namespace chutevane::edge
