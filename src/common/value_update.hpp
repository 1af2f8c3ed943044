/// How a register value is sent from one process to another: in full, or as its difference from a value that
/// the receiver has. No I/O.
///
/// A difference names its base by number and by the hash of the base's record, and contains the hash of the
/// resulting record. A receiver that has another base, or gets another result, rejects it and requests the
/// full value. So what it applies is the value that was sent, or nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "common/messages.hpp"

namespace chutevane::common {

/// False: the message that contains it has the full value.
inline bool is_difference(const ValueDifference& difference) { return !difference.content.data.empty(); }

/// From the record of the value `base_number` to another; both as encoded() makes them.
ValueDifference value_difference(std::int64_t base_number, std::string_view base_record,
                                 std::string_view target_record);

/// The value that a difference makes of the receiver's record of the value `difference.base`.
/// FailedPrecondition: that record differs from the sender's. DataLoss: the result differs from the sender's.
absl::StatusOr<RegisterValue> apply_value_difference(const ValueDifference& difference,
                                                     std::string_view base_record);

/// The newest values that a process knows, as records: the bases of differences. Bounded in number and in
/// bytes; the newest two are always there.
class RecentValues {
 public:
  /// A value whose number is not above all before is ignored.
  void add(const RegisterValue& value);
  bool empty() const { return values_.empty(); }
  /// Of the newest; -1: there is none.
  std::int64_t number() const { return values_.empty() ? -1 : values_.back().number; }
  /// Of the newest; there must be one.
  const std::string& record() const { return values_.back().record; }
  /// nullptr: the value of that number is not stored.
  const std::string* record_of(std::int64_t number) const;
  /// Of all records.
  std::size_t bytes() const { return bytes_; }

  /// From the value of that number to the newest. nullptr: that value is not stored, or the difference saves
  /// less than half of the bytes.
  const ValueDifference* difference_from(std::int64_t number);
  /// An encoded ValuePush of the newest value, as the difference from that number where there is one.
  const std::string& push_record(std::int64_t base);

 private:
  struct StoredValue {
    std::int64_t number = 0;
    std::string record;
  };
  std::deque<StoredValue> values_;  // numbers rise
  std::size_t bytes_ = 0;
  // To the newest, by base; emptied when a newer value comes.
  std::map<std::int64_t, ValueDifference> differences_;
  std::map<std::int64_t, std::string> pushes_;  // by base; -1: in full
};

/// The value that a message brings: `full`, or by a difference from one of the receiver's recent values.
/// Errors as those of apply_value_difference; FailedPrecondition too where the base is not stored.
absl::StatusOr<RegisterValue> received_value(const RegisterValue& full, const ValueDifference& difference,
                                             const RecentValues& recent);

/// The sender's side of a session: what was sent down it, and so which value the next difference may be based
/// on.
class PushCursor {
 public:
  /// Flow control: while more is unsent, the receiver does not read, and no push is sent.
  static constexpr std::size_t max_unsent_bytes = 256 * 1024;
  /// The receiver has reported the number that it has, and the push that it could not apply (0: none).
  void acknowledged(std::int64_t number, std::int64_t rejected);
  /// Whether the next push has the full value.
  bool needs_full_value(RecentValues& values) const;
  /// The record of the next push, which counts as sent; nullptr: none is to be sent now. `unsent`: bytes of
  /// the session that have not gone out yet.
  const std::string* next(RecentValues& values, std::size_t unsent);

 private:
  static constexpr std::size_t max_bases = 16;
  void sent(std::int64_t number);
  std::int64_t base(const RecentValues& values) const;
  std::int64_t acknowledged_ = 0;   // the newest number that the receiver has reported; 0: it has nothing
  std::int64_t sent_ = 0;           // the receiver has this number, or it is on its way
  std::deque<std::int64_t> bases_;  // numbers that it was sent or has reported, rising
  std::int64_t sent_full_ =
      0;  // the newest number that was sent in full: rejections of earlier ones are settled by it
  bool needs_full_value_ = false;
};

/// The receiver's side, of all its sessions together.
class ValueReceiver {
 public:
  enum class Result : std::uint8_t {
    newer,     ///< value() is this one now
    stale,     ///< not newer than value()
    rejected,  ///< it cannot be applied: the sender must send the full value
  };
  Result receive(const ValuePush& push);
  const std::optional<RegisterValue>& value() const { return value_; }
  std::int64_t number() const { return value_ ? value_->number : 0; }

 private:
  std::optional<RegisterValue> value_;
  RecentValues recent_;  // bases: sessions bring the same values, one sooner than another
};

}  // namespace chutevane::common
