#include "control/pending_acknowledgements.hpp"

#include <utility>

namespace chutevane::control {

void PendingAcknowledgements::add(std::int64_t number, TimePoint deadline, Callback callback) {
  pending_.push_back({number, deadline, std::move(callback)});
}

void PendingAcknowledgements::complete(TimePoint now,
                                       const std::function<bool(std::int64_t number)>& is_acknowledged) {
  while (!pending_.empty()) {
    const Pending& oldest = pending_.front();
    if (!is_acknowledged(oldest.number) && now < oldest.deadline) return;
    const Callback callback = oldest.callback;
    pending_.pop_front();
    callback();
  }
}

}  // namespace chutevane::control
