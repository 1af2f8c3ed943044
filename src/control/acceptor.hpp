/// The acceptor of the register: the voting role of a controller, on its disk. No network.
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
  full_value_required = 4,  ///< the difference does not apply to what it has accepted: send the full value
};

/// What becomes of an acceptor whose state on disk can't be read.
enum class Unreadable : std::uint8_t {
  error,  ///< it is not opened: DataLoss
  reset,  ///< it begins with an empty state, under a new identity of its disk
};

/// What an acceptor writes to its log between two checkpoints. A log is read by the form it was written in.
enum class AcceptorLogForm : std::uint8_t {
  full_state,  ///< the whole state, at each promise and each accepted value
  changes,     ///< only what was promised or accepted: for values that change often
};

/// Promises and accepts on disk before it replies.
///
/// An acceptor is identified by its address and the name of its disk. After its disk was replaced it is no
/// member of the epoch any more and rejects requests until a later epoch names its new disk; so no promise
/// that was lost with a disk can be broken.
///
/// If the disk fails, the request that met the failure gets no reply and the state in memory stays what was
/// last on disk; read-only requests are still answered from it. Nothing more is promised or accepted until a
/// full checkpoint has been written, by the next request or by retry_write().
class DurableAcceptor {
 public:
  /// `identity`: this process's address and the name of `disk`, by which sets of acceptors name it.
  /// `file_name`: begins the names of its files on `disk`.
  DurableAcceptor(common::Disk& disk, AcceptorIdentity identity, std::string file_name = "acceptor",
                  AcceptorLogForm log_form = AcceptorLogForm::full_state);

  /// Reads the state from disk; to be called once, before anything else. DataLoss: the state can't be read,
  /// so the caller must treat the disk as a new one. Other errors are the disk's: this process cannot vote.
  [[nodiscard]] absl::Status open();

  /// In place of open(), for a disk that has been given a new identity because its state can't be read:
  /// begins with an empty state, which is written over whatever the disk has.
  [[nodiscard]] absl::Status reset();

  /// Called with the initial value of each epoch that this acceptor enters, once that is on disk. It may be
  /// the only one left that knows of the epoch, so the proposer of its process has to learn of it.
  void on_epoch_entered(std::function<void(const RegisterValue& epoch_value)> callback) {
    epoch_entered_callback_ = std::move(callback);
  }

  /// Errors are the disk's. The caller must not reply then.
  [[nodiscard]] absl::StatusOr<common::Promise> prepare(const common::Prepare& request);
  [[nodiscard]] absl::StatusOr<common::Accepted> accept(const common::Accept& request);

  /// The disk has rejected a write and has taken none since.
  bool is_disk_failing() const { return storage_.needs_checkpoint(); }
  /// Writes the current state again.
  [[nodiscard]] absl::Status retry_write() { return persist({}, WriteForm::checkpoint); }

  const AcceptorIdentity& identity() const { return identity_; }

  /// 0: member of no epoch yet.
  std::int64_t epoch() const { return state_.epoch; }
  bool is_voting() const { return state_.epoch > 0; }
  const RegisterValue& epoch_value() const { return state_.initial; }
  /// The newest accepted value and the ballot under which it was accepted. Ballot round 0: the epoch's
  /// initial value.
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
