// Calls of a key in turn, which some deployments state.
#include "policy/shared.hpp"

namespace chutevane {

// Guards the order of calls with one key: all of them stand in a line, and only its first is sent. One that
// would come too late behind those before it is turned away now, so that a popular key's line stays short.
Answer Balancer::State::line_up(std::uint32_t at, TimePoint now) {
  Call& c = calls[at];
  std::uint32_t l = line_index.find(c.key);
  if (l == Line::none) {
    line_index.put(c.key, l = lines.take());
    lines[l].key = c.key, lines[l].in_use = true;
  }
  Line& line = lines[l];
  c.line = l;
  line.append(at, behind());
  const Span each = std::max(estimate.spec().floor, estimate.median(now));
  const Span wait = each * line.length++ + std::max(Span(), line.rests_until - now);
  if (wait == Span()) return place(at, now);
  c.queued = true;
  calls_out -= c.coming ? 0 : 1;
  c.wait_until = c.timeout - answer_guard - look_every;
  if (c.wait_until <= now || !worth_sending(c, wait, now)) return give_up(at, now, true);
  return {.verdict = Verdict::wait, .call = c.id, .until = c.wait_until};
}

// The line ends with its last call, once its rest is over too.
void Balancer::State::leave_line(std::uint32_t at, TimePoint now) {
  const std::uint32_t l = std::exchange(calls[at].line, Line::none);
  Line& line = lines[l];
  const bool was_first = line.first == at;
  line.remove(at, behind());
  --line.length;
  if (was_first && now >= line.rests_until) turns.push_back(l);
}

void Balancer::State::take_turn(std::uint32_t l, TimePoint now) {
  Line& line = lines[l];
  if (!line.in_use || now < line.rests_until) return;
  if (line.first == Line::none) {
    line_index.erase(line.key);
    line.in_use = false;
    return lines.give_back(l);
  }
  const std::uint32_t at = line.first;
  if (!std::exchange(calls[at].queued, false)) return;
  calls_out += calls[at].coming ? 0 : 1;
  answers.add_final(place(at, now));
}

void Balancer::State::serve_lines(TimePoint now) {
  for (; !rests.empty() && rests.front().first <= now; rests.pop_front())
    turns.push_back(rests.front().second);
  while (!turns.empty()) {
    const std::uint32_t l = turns.back();
    turns.pop_back();
    take_turn(l, now);
  }
}

// A call that waits for its turn is answered while its client can still use it, wherever it stands.
void Balancer::State::give_up_queued(TimePoint now) {
  for (std::uint32_t l = 0; l < lines.size(); ++l) {
    for (std::uint32_t at = lines[l].in_use ? lines[l].first : Line::none; at != Line::none;) {
      const Call& c = calls[at];
      const std::uint32_t next = c.behind;
      if (c.queued && (now >= c.wait_until || !worth_sending(c, Span(), now)))
        answers.push_back(give_up(at, now, true));
      at = next;
    }
  }
}

}  // namespace chutevane
