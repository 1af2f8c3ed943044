/// The acceptor of the register: the voting role of a controller, with its state on disk. No network I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/disk.hpp"
#include "common/durable_state.hpp"
#include "common/messages.hpp"
#include "control/acceptor_membership.hpp"
#include "control/register_value.hpp"

namespace chutevane::control {

/// Outcome of a prepare or accept request. The numbers go over the wire in `Promise` and `Accepted`.
enum class AcceptorStatus : std::int64_t {
  ok = 0,               ///< promised, or accepted
  ballot_outdated = 1,  ///< a later ballot has been promised
  epoch_ended = 2,      ///< the acceptor is in a later epoch; the reply carries that epoch's initial value
  not_a_member = 3,     ///< not an acceptor of the request's epoch
  full_value_required = 4,  ///< the difference does not apply to the accepted value: send the full value
};

/// How to open an acceptor whose state on disk cannot be read.
enum class Unreadable : std::uint8_t {
  error,  ///< opening fails with DataLoss
  reset,  ///< the acceptor starts with an empty state; its disk needs a new identity
};

/// What an acceptor writes to its log between two checkpoints. A log must be read in the form in which it was
/// written.
enum class AcceptorLogForm : std::uint8_t {
  full_state,  ///< the full state, for each promise and each accepted value
  changes,     ///< only the promise or the accepted value: for values that change often
};

/// Handles prepare and accept requests. Each promise and each accepted value is on disk before the reply.
///
/// An acceptor is identified by its address and the name of its disk. After its disk is replaced it is no
/// longer a member of the epoch and rejects requests until a later epoch names the new disk. So promises that
/// are lost with a disk cannot be broken.
///
/// If a write fails, the request gets no reply and the state in memory remains what was last on disk;
/// read-only requests are still answered from it. Nothing more is promised or accepted until a full
/// checkpoint has been written, by the next request or by retry_write().
class DurableAcceptor {
 public:
  /// `identity`: this process's address and the name of `disk`, which acceptor sets contain.
  /// `file_name`: prefix of the names of its files on `disk`.
  DurableAcceptor(common::Disk& disk, AcceptorIdentity identity, std::string file_name = "acceptor",
                  AcceptorLogForm log_form = AcceptorLogForm::full_state);

  /// Reads the state from disk. Must be called once, before any other function. Returns DataLoss if the state
  /// cannot be read; the caller must then treat the disk as a new one. After any other error, which comes
  /// from the disk, this process cannot vote.
  [[nodiscard]] absl::Status open();

  /// Replaces open() for a disk that has been given a new identity because its state cannot be read. Starts
  /// with an empty state and writes it over whatever is on the disk.
  [[nodiscard]] absl::Status reset();

  /// Sets a callback that is called with the initial value of each epoch that this acceptor enters, once that
  /// value is on disk. This acceptor may be the only one left in the epoch, so the proposer of the same
  /// process must learn of it.
  void on_epoch_entered(std::function<void(const RegisterValue& epoch_value)> callback) {
    epoch_entered_callback_ = std::move(callback);
  }

  /// Processes a prepare request. Returns an error if the disk fails; the caller must then not reply.
  [[nodiscard]] absl::StatusOr<common::Promise> prepare(const common::Prepare& request);
  /// Processes an accept request. Returns an error if the disk fails; the caller must then not reply.
  [[nodiscard]] absl::StatusOr<common::Accepted> accept(const common::Accept& request);

  /// Returns true if a write has failed and none has succeeded since.
  bool is_disk_failing() const { return storage_.needs_checkpoint(); }
  /// Writes the current state again, as a full checkpoint.
  [[nodiscard]] absl::Status retry_write() { return persist({}, WriteForm::checkpoint); }

  const AcceptorIdentity& identity() const { return identity_; }

  /// The epoch that this acceptor is in, or 0 before it has entered one.
  std::int64_t epoch() const { return state_.epoch; }
  bool is_voting() const { return state_.epoch > 0; }
  const RegisterValue& epoch_value() const { return state_.initial; }
  /// The newest accepted value, and the ballot under which it was accepted. The ballot's round is 0 if the
  /// value is the epoch's initial value.
  const RegisterValue& accepted_value() const { return state_.value; }
  const Ballot& accepted_ballot() const { return state_.accepted; }
  std::int64_t accepted_number() const { return state_.value.number; }

 private:
  /// A checkpoint is written in full; a log record is appended, unless the log is full or a write has failed.
  enum class WriteForm : std::uint8_t { checkpoint, log_record };
  bool enter_epoch(std::int64_t epoch, const RegisterValue& epoch_value);
  absl::Status persist(const common::AcceptorChange& change, WriteForm form);
  absl::Status apply_log_record(const std::string& record);
  absl::StatusOr<RegisterValue> value_after(const RegisterValue& full,
                                            const common::ValueDifference& difference) const;

  common::DurableState storage_;
  const AcceptorIdentity identity_;
  const AcceptorLogForm log_form_;
  common::AcceptorRecord state_;
  std::function<void(const RegisterValue&)> epoch_entered_callback_;
};

}  // namespace chutevane::control
