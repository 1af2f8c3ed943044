/// Serial execution of calls with the same key: some deployments require that they are executed in order of
/// arrival. All calls of a key are in one queue, and only its first call is sent.
#include <algorithm>
#include <utility>

#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {

// A call that would be late behind those before it is rejected at once, which keeps a popular key's queue
// short.
Answer Balancer::State::enqueue_by_key(std::uint32_t index, TimePoint now) {
  Call& call = calls[index];
  std::uint32_t at = key_queue_index.find(call.key);
  if (at == KeyQueue::none) {
    at = key_queues.take();
    key_queue_index.put(call.key, at);
    key_queues[at].key = call.key;
    key_queues[at].in_use = true;
  }
  KeyQueue& queue = key_queues[at];
  call.key_queue = at;
  queue.append(index, next_in_queue());
  const Span wait_per_call = std::max(estimate.config().min_timeout, estimate.median(now));
  const Span wait = wait_per_call * queue.length++ + std::max(Span(), queue.blocked_until - now);
  if (wait == Span()) return dispatch_or_wait(index, now);
  call.is_queued = true;
  calls_in_progress -= call.is_uploading ? 0 : 1;
  call.wait_until = call.deadline - response_margin - look_interval;
  if (call.wait_until <= now || !can_be_served_in_time(call, wait, now)) return reject(index, now, true);
  return {.verdict = Verdict::wait, .call = call.id, .until = call.wait_until};
}

// The queue itself is removed after its last call, once it is no longer blocked.
void Balancer::State::leave_key_queue(std::uint32_t index, TimePoint now) {
  const std::uint32_t at = std::exchange(calls[index].key_queue, KeyQueue::none);
  KeyQueue& queue = key_queues[at];
  const bool was_first = queue.first == index;
  queue.remove(index, next_in_queue());
  --queue.length;
  if (was_first && now >= queue.blocked_until) runnable_queues.push_back(at);
}

void Balancer::State::start_next_of_queue(std::uint32_t at, TimePoint now) {
  KeyQueue& queue = key_queues[at];
  if (!queue.in_use || now < queue.blocked_until) return;
  if (queue.first == KeyQueue::none) {
    key_queue_index.erase(queue.key);
    queue.in_use = false;
    return key_queues.give_back(at);
  }
  const std::uint32_t index = queue.first;
  if (!std::exchange(calls[index].is_queued, false)) return;
  calls_in_progress += calls[index].is_uploading ? 0 : 1;
  answers.add_final(dispatch_or_wait(index, now));
}

void Balancer::State::serve_key_queues(TimePoint now) {
  for (; !blocked_queues.empty() && blocked_queues.front().first <= now; blocked_queues.pop_front())
    runnable_queues.push_back(blocked_queues.front().second);
  while (!runnable_queues.empty()) {
    const std::uint32_t at = runnable_queues.back();
    runnable_queues.pop_back();
    start_next_of_queue(at, now);
  }
}

// Rejects queued calls, at any position, while their clients can still use the response.
void Balancer::State::expire_queued(TimePoint now) {
  for (std::uint32_t at = 0; at < key_queues.size(); ++at) {
    std::uint32_t index = key_queues[at].in_use ? key_queues[at].first : KeyQueue::none;
    while (index != KeyQueue::none) {
      const Call& call = calls[index];
      const std::uint32_t next = call.next_in_queue;
      if (call.is_queued && (now >= call.wait_until || !can_be_served_in_time(call, Span(), now)))
        answers.push_back(reject(index, now, true));
      index = next;
    }
  }
}

}  // namespace chutevane
