#include "common/value_update.hpp"

#include <algorithm>

#include "common/value_difference.hpp"

namespace chutevane::common {
namespace {

constexpr std::size_t record_most = 64U << 20U;  // bytes: as much as a frame of a connection holds
// Held for differences: at twenty changes a second, those of three seconds.
constexpr std::size_t held_most = 64;               // values
constexpr std::size_t held_bytes_most = 4U << 20U;  // of all but the newest
constexpr std::size_t least_held = 2;               // values: the newest, and one to change it from
constexpr std::size_t saving = 2;                   // a difference is sent at a half of the whole or less
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

absl::StatusOr<Value> changed_value(const ValueDifference& difference, std::string_view base_record) {
  if (static_cast<std::int64_t>(content_hash(base_record)) != difference.base_hash)
    return absl::FailedPreconditionError("another base");
  const auto record = apply_difference(base_record, difference.content.data, record_most);
  Value out;
  if (!record || static_cast<std::int64_t>(content_hash(*record)) != difference.hash || !decode(*record, out))
    return absl::DataLossError("the difference makes another value");
  return out;
}

void RecentValues::add(const Value& value) {
  if (!held_.empty() && value.number <= number()) return;
  held_.push_back({value.number, encoded(value)});
  bytes_ += held_.back().record.size();
  differences_.clear();
  pushes_.clear();
  while (held_.size() > least_held &&
         (held_.size() > held_most || bytes_ - held_.back().record.size() > held_bytes_most)) {
    bytes_ -= held_.front().record.size();
    held_.pop_front();
  }
}

const std::string* RecentValues::record_of(std::int64_t number) const {
  const auto at =
      std::find_if(held_.begin(), held_.end(), [&](const Held& held) { return held.number == number; });
  return at == held_.end() ? nullptr : &at->record;
}

const ValueDifference* RecentValues::difference_from(std::int64_t number) {
  const std::string* const base = record_of(number);
  if (base == nullptr || number == this->number()) return nullptr;
  auto known = differences_.find(number);
  if (known == differences_.end()) {
    ValueDifference made = value_difference(number, *base, record());
    if (made.content.data.size() > record().size() / saving) made.content.data.clear();
    known = differences_.emplace(number, std::move(made)).first;
  }
  return is_difference(known->second) ? &known->second : nullptr;
}

const std::string& RecentValues::push_record(std::int64_t base) {
  const ValueDifference* const change = difference_from(base);
  const auto [at, fresh] = pushes_.try_emplace(change != nullptr ? base : no_base);
  if (!fresh) return at->second;
  Push push;
  push.number = number();
  if (change != nullptr) {
    push.difference = *change;
  } else {
    decode(record(), push.value);
  }
  at->second = encoded(push);
  return at->second;
}

absl::StatusOr<Value> received_value(const Value& whole, const ValueDifference& difference,
                                     const RecentValues& held) {
  if (!is_difference(difference)) return whole;
  const std::string* const base = held.record_of(difference.base);
  if (base == nullptr) return absl::FailedPreconditionError("the base is not held");
  return changed_value(difference, *base);
}

void PushCursor::acknowledged(std::int64_t number, std::int64_t refused) {
  held_ = std::max(held_, number);
  sent(number);
  // What it refused before a whole value that is on its way needs no other.
  if (refused > number && refused > sent_whole_) needs_whole_ = true;
}

void PushCursor::sent(std::int64_t number) {
  if (number <= sent_) return;
  sent_ = number;
  bases_.push_back(number);
  if (bases_.size() > bases_most) bases_.pop_front();
}

// The newest of what the receiver has that is held here too: other sessions bring it values that are not.
std::int64_t PushCursor::base(const RecentValues& values) const {
  const auto at = std::find_if(bases_.rbegin(), bases_.rend(),
                               [&](std::int64_t number) { return values.record_of(number) != nullptr; });
  return needs_whole_ || at == bases_.rend() ? no_base : *at;
}

bool PushCursor::needs_whole(RecentValues& values) const {
  return !values.empty() && values.difference_from(base(values)) == nullptr;
}

const std::string* PushCursor::next(RecentValues& values, std::size_t unsent) {
  if (values.empty() || unsent > unsent_most) return nullptr;
  if (values.number() <= (needs_whole_ ? held_ : sent_)) return nullptr;
  const std::int64_t from = base(values);
  if (values.difference_from(from) == nullptr) sent_whole_ = values.number();
  sent(values.number());
  needs_whole_ = false;
  return &values.push_record(from);
}

ValueReceiver::Came ValueReceiver::take(Push push) {
  if (value_ && push.number <= value_->number) return Came::old;
  auto value = received_value(push.value, push.difference, recent_);
  if (!value.ok() || value->number != push.number) return Came::refused;
  value_ = std::move(*value);
  recent_.add(*value_);
  return Came::newer;
}

}  // namespace chutevane::common
