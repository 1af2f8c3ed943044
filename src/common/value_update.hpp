/// Transfer of register values between processes: in full, or as the difference from a value that the
/// receiver has. No I/O.
///
/// A difference identifies its base by number and by the hash of the base's record, and contains the hash of
/// the resulting record. A receiver whose base or result differs rejects it and requests the full value. A
/// receiver therefore applies either exactly the value that was sent or nothing.
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

/// Returns false if `difference` is empty, which means that its message contains the full value.
inline bool is_difference(const ValueDifference& difference) { return !difference.content.data.empty(); }

/// Returns the difference from the value `base_number` to another value. Both records are the results of
/// encoded().
ValueDifference value_difference(std::int64_t base_number, std::string_view base_record,
                                 std::string_view target_record);

/// Applies a difference to `base_record`, the receiver's record of the value `difference.base`. Returns
/// FailedPrecondition if that record differs from the sender's, and DataLoss if the result does.
absl::StatusOr<RegisterValue> apply_value_difference(const ValueDifference& difference,
                                                     std::string_view base_record);

/// The newest values that a process knows, stored as records to serve as bases of differences. Their number
/// and total size are limited, but the newest two are always stored.
class RecentValues {
 public:
  /// Adds a value. It is ignored unless its number is higher than all before.
  void add(const RegisterValue& value);
  bool empty() const { return values_.empty(); }
  /// Returns the number of the newest value, or -1 if there is none.
  std::int64_t number() const { return values_.empty() ? -1 : values_.back().number; }
  /// Returns the record of the newest value. There must be one.
  const std::string& record() const { return values_.back().record; }
  /// Returns the record of the value with that number, or nullptr if it is not stored.
  const std::string* record_of(std::int64_t number) const;
  /// Returns the total size of all records in bytes.
  std::size_t bytes() const { return bytes_; }

  /// Returns the difference from the value with that number to the newest, or nullptr if that value is not
  /// stored or the difference would save less than half of the bytes.
  const ValueDifference* difference_from(std::int64_t number);
  /// Returns an encoded ValuePush of the newest value, as the difference from the value `base` if
  /// difference_from() returns one.
  const std::string& push_record(std::int64_t base);

 private:
  struct StoredValue {
    std::int64_t number = 0;
    std::string record;
  };
  std::deque<StoredValue> values_;  // by rising number
  std::size_t bytes_ = 0;
  // Caches of difference_from() and push_record() by base, cleared when a newer value is added.
  std::map<std::int64_t, ValueDifference> differences_;
  std::map<std::int64_t, std::string> pushes_;  // -1 has the push of the full value
};

/// Returns the value that a message contains: `full`, or the result of applying the difference to one of the
/// receiver's recent values. Errors are those of apply_value_difference(), and FailedPrecondition if the base
/// is not stored.
absl::StatusOr<RegisterValue> received_value(const RegisterValue& full, const ValueDifference& difference,
                                             const RecentValues& recent);

/// The sender's state of one session: tracks what was sent, and thus on which value the next difference may
/// be based.
class PushCursor {
 public:
  /// Flow control: no push is sent while more bytes than this are unsent, since the receiver does not read.
  static constexpr std::size_t max_unsent_bytes = 256 * 1024;
  /// Records the receiver's report: the number of its newest value, and that of the newest push that it could
  /// not apply (0 if none).
  void acknowledged(std::int64_t number, std::int64_t rejected);
  /// Returns true if the next push will have the full value.
  bool needs_full_value(RecentValues& values) const;
  /// Returns the record of the next push and marks it as sent, or returns nullptr if none is due. `unsent` is
  /// the number of bytes of the session that have not been sent yet.
  const std::string* next(RecentValues& values, std::size_t unsent);

 private:
  static constexpr std::size_t max_bases = 16;
  void sent(std::int64_t number);
  std::int64_t base(const RecentValues& values) const;
  std::int64_t acknowledged_ = 0;  // the newest number that the receiver has reported; 0 if it has no value
  std::int64_t sent_ = 0;          // the newest number that the receiver has or that is in flight
  std::deque<std::int64_t>
      bases_;  // rising numbers of values that were sent or that the receiver has reported
  // The newest number that was sent in full. It resolves rejections of earlier numbers.
  std::int64_t sent_full_ = 0;
  bool needs_full_value_ = false;
};

/// The receiver's state, shared by all of its sessions.
class ValueReceiver {
 public:
  enum class Result : std::uint8_t {
    newer,     ///< the push was applied and is now value()
    stale,     ///< the push is not newer than value()
    rejected,  ///< the push cannot be applied: the sender must send the full value
  };
  Result receive(const ValuePush& push);
  const std::optional<RegisterValue>& value() const { return value_; }
  std::int64_t number() const { return value_ ? value_->number : 0; }

 private:
  std::optional<RegisterValue> value_;
  RecentValues recent_;  // bases; sessions deliver the same values at different times
};

}  // namespace chutevane::common
