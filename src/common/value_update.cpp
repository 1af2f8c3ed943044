#include "common/value_update.hpp"

#include <algorithm>

#include "common/value_difference.hpp"

namespace chutevane::common {
namespace {

constexpr std::size_t max_record_size = 64U << 20U;  // bytes; equals frame::max_record_size
// Values stored as bases: those of three seconds at twenty changes per second.
constexpr std::size_t max_recent_values = 64;        // values
constexpr std::size_t max_recent_bytes = 4U << 20U;  // bytes of all values but the newest
constexpr std::size_t min_recent_values = 2;         // values: the newest and one base
// A difference is sent only if its size is at most that of the value divided by this factor.
constexpr std::size_t min_saving_factor = 2;
constexpr std::int64_t no_base = -1;

}  // namespace

ValueDifference value_difference(std::int64_t base_number, std::string_view base_record,
                                 std::string_view target_record) {
  ValueDifference out;
  out.base = base_number;
  out.base_hash = static_cast<std::int64_t>(content_hash(base_record));
  out.hash = static_cast<std::int64_t>(content_hash(target_record));
  out.content.data = difference(base_record, target_record);
  return out;
}

absl::StatusOr<RegisterValue> apply_value_difference(const ValueDifference& difference,
                                                     std::string_view base_record) {
  if (static_cast<std::int64_t>(content_hash(base_record)) != difference.base_hash)
    return absl::FailedPreconditionError("the base differs from the sender's");
  const auto record = apply_difference(base_record, difference.content.data, max_record_size);
  RegisterValue out;
  if (!record || static_cast<std::int64_t>(content_hash(*record)) != difference.hash || !decode(*record, out))
    return absl::DataLossError("the result differs from the sender's value");
  return out;
}

void RecentValues::add(const RegisterValue& value) {
  if (!values_.empty() && value.number <= number()) return;
  values_.push_back({value.number, encoded(value)});
  bytes_ += values_.back().record.size();
  differences_.clear();
  pushes_.clear();
  while (values_.size() > min_recent_values &&
         (values_.size() > max_recent_values || bytes_ - values_.back().record.size() > max_recent_bytes)) {
    bytes_ -= values_.front().record.size();
    values_.pop_front();
  }
}

const std::string* RecentValues::record_of(std::int64_t number) const {
  const auto found = std::find_if(values_.begin(), values_.end(),
                                  [&](const StoredValue& stored) { return stored.number == number; });
  return found == values_.end() ? nullptr : &found->record;
}

const ValueDifference* RecentValues::difference_from(std::int64_t number) {
  const std::string* const base = record_of(number);
  if (base == nullptr || number == this->number()) return nullptr;
  auto known = differences_.find(number);
  if (known == differences_.end()) {
    ValueDifference made = value_difference(number, *base, record());
    if (made.content.data.size() > record().size() / min_saving_factor) made.content.data.clear();
    known = differences_.emplace(number, std::move(made)).first;
  }
  return is_difference(known->second) ? &known->second : nullptr;
}

const std::string& RecentValues::push_record(std::int64_t base) {
  const ValueDifference* const change = difference_from(base);
  const auto [cached, inserted] = pushes_.try_emplace(change != nullptr ? base : no_base);
  if (!inserted) return cached->second;
  ValuePush push;
  push.number = number();
  if (change != nullptr) {
    push.difference = *change;
  } else {
    static_cast<void>(decode(record(), push.value));  // cannot fail: the record was encoded by this process
  }
  cached->second = encoded(push);
  return cached->second;
}

absl::StatusOr<RegisterValue> received_value(const RegisterValue& full, const ValueDifference& difference,
                                             const RecentValues& recent) {
  if (!is_difference(difference)) return full;
  const std::string* const base = recent.record_of(difference.base);
  if (base == nullptr) return absl::FailedPreconditionError("the base is not stored");
  return apply_value_difference(difference, *base);
}

void PushCursor::acknowledged(std::int64_t number, std::int64_t rejected) {
  acknowledged_ = std::max(acknowledged_, number);
  sent(number);
  // A full value that is already in flight resolves rejections of what was sent before it.
  if (rejected > number && rejected > sent_full_) needs_full_value_ = true;
}

void PushCursor::sent(std::int64_t number) {
  if (number <= sent_) return;
  sent_ = number;
  bases_.push_back(number);
  if (bases_.size() > max_bases) bases_.pop_front();
}

// Returns the newest number that the receiver has and that is stored here too. The receiver may also have
// values from other sessions that are not stored here.
std::int64_t PushCursor::base(const RecentValues& values) const {
  const auto at = std::find_if(bases_.rbegin(), bases_.rend(),
                               [&](std::int64_t number) { return values.record_of(number) != nullptr; });
  return needs_full_value_ || at == bases_.rend() ? no_base : *at;
}

bool PushCursor::needs_full_value(RecentValues& values) const {
  return !values.empty() && values.difference_from(base(values)) == nullptr;
}

const std::string* PushCursor::next(RecentValues& values, std::size_t unsent) {
  if (values.empty() || unsent > max_unsent_bytes) return nullptr;
  if (values.number() <= (needs_full_value_ ? acknowledged_ : sent_)) return nullptr;
  const std::int64_t from = base(values);
  if (values.difference_from(from) == nullptr) sent_full_ = values.number();
  sent(values.number());
  needs_full_value_ = false;
  return &values.push_record(from);
}

ValueReceiver::Result ValueReceiver::receive(const ValuePush& push) {
  if (value_ && push.number <= value_->number) return Result::stale;
  auto value = received_value(push.value, push.difference, recent_);
  if (!value.ok() || value->number != push.number) return Result::rejected;
  value_ = std::move(*value);
  recent_.add(*value_);
  return Result::newer;
}

}  // namespace chutevane::common
