// How a value of the register goes from one process to another: whole, or as its difference from a value that
// the receiver holds. No I/O.
//
// A difference names its base by number and by the hash of the base's record, and carries the hash of the
// result's. A receiver that holds another base, or gets another result, takes nothing: it asks for the whole,
// or gets it by another way. So what it takes is the value that was sent, or nothing.
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

// False: the message that it stands in has the value whole.
inline bool is_difference(const ValueDifference& difference) { return !difference.content.data.empty(); }

// Between two records, as encoded() gives them, the base being the value of that number.
ValueDifference value_difference(std::int64_t base_number, std::string_view base_record,
                                 std::string_view target_record);

// The value that a difference makes of the receiver's record of the value `difference.base`.
// FailedPrecondition: that record is another than the sender's. DataLoss: the difference makes another value.
absl::StatusOr<RegisterValue> apply_value_difference(const ValueDifference& difference,
                                                     std::string_view base_record);

// The newest values that a process knows, as records. Bounded in number and in bytes; the newest two are
// always there.
class RecentValues {
 public:
  // Numbers rise; one that does not is left out.
  void add(const RegisterValue& value);
  bool empty() const { return held_.empty(); }
  std::int64_t number() const { return held_.empty() ? -1 : held_.back().number; }  // of the newest
  const std::string& record() const { return held_.back().record; }                 // of the newest
  const std::string* record_of(std::int64_t number) const;
  std::size_t bytes() const { return bytes_; }  // of all records

  // From the value of that number to the newest. Nothing where that value is not held, or where the
  // difference saves less than half of the bytes.
  const ValueDifference* difference_from(std::int64_t number);
  // An encoded Push of the newest value, as the difference from that number where there is one.
  const std::string& push_record(std::int64_t base);

 private:
  struct Held {
    std::int64_t number = 0;
    std::string record;
  };
  std::deque<Held> held_;
  std::size_t bytes_ = 0;
  // To the newest, by base; emptied when a newer value comes.
  std::map<std::int64_t, ValueDifference> differences_;
  std::map<std::int64_t, std::string> pushes_;  // -1: whole
};

// The value that a message brings, whole or as a difference from one of the receiver's recent values. Errors
// as those of apply_value_difference; FailedPrecondition too where the base is not held.
absl::StatusOr<RegisterValue> received_value(const RegisterValue& whole, const ValueDifference& difference,
                                             const RecentValues& held);

// The sender's side of a session: what was sent down it, and so what the next difference may rest on.
class PushCursor {
 public:
  // More than this lies unsent: the receiver does not read, and gets no more until it does.
  static constexpr std::size_t max_unsent_bytes = 256 * 1024;  // bytes
  // The receiver told which number it holds, and which push it could not apply (0: none).
  void acknowledged(std::int64_t number, std::int64_t rejected);
  // Whether the next push has the value whole.
  bool needs_full_value(RecentValues& values) const;
  // The record of the next push, if there is one to be sent now; it counts as sent.
  const std::string* next(RecentValues& values, std::size_t unsent);

 private:
  static constexpr std::size_t max_bases = 16;
  void sent(std::int64_t number);
  std::int64_t base(const RecentValues& values) const;
  std::int64_t held_ = 0;           // the newest number that the receiver told; 0: it holds nothing
  std::int64_t sent_ = 0;           // the receiver has this number, or it is on its way
  std::deque<std::int64_t> bases_;  // numbers that it was sent or told of, rising
  std::int64_t sent_full_ = 0;      // the newest number that went whole: what was refused before it is mended
  bool needs_full_value_ = false;
};

// The receiver's side, of all its sessions together.
class ValueReceiver {
 public:
  enum class Result : std::uint8_t {
    newer,     // value() is this one now
    stale,     // no news
    rejected,  // it can't be applied: to be sent whole
  };
  Result receive(ValuePush push);
  const std::optional<RegisterValue>& value() const { return value_; }
  std::int64_t number() const { return value_ ? value_->number : 0; }

 private:
  std::optional<RegisterValue> value_;
  RecentValues recent_;  // bases: sessions bring the same values, one sooner than another
};

}  // namespace chutevane::common
