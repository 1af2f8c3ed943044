#include "lab/tier/lingering_conversations.hpp"

namespace chutevane::lab::tier {
namespace {

// Of the retention: pauses between two turns, a few of them too long, and the time that an answer takes.
constexpr double min_pause = 0.3, pause_spread = 0.75;
constexpr double min_answer = 0.3, answer_spread = 1.4;
constexpr std::size_t events = 12;  // of an answer; the endpoint may leave out up to half of them
constexpr Span min_retry_pause = Span::ms(100), retry_pause_spread = Span::ms(300);
constexpr std::size_t input_bytes = 200;

}  // namespace

LingeringConversations::LingeringConversations(net::TimerQueue& timers, Load& load, std::size_t count,
                                               std::uint64_t seed)
    : timers_(timers), load_(load), chance_(seed, "lingering conversations"), conversations_(count) {}

std::string LingeringConversations::new_word() { return std::to_string(chance_()); }

void LingeringConversations::begin() {
  for (Conversation& conversation : conversations_)
    schedule(conversation, lingering_retention * chance_.unit());
}

void LingeringConversations::schedule(Conversation& conversation, Span pause) {
  timers_.after(pause, [this, &conversation] { send_turn(conversation); });
}

void LingeringConversations::send_turn(Conversation& conversation) {
  if (stopped_) return;
  if (timers_.now() >= conversation.kept_until) {  // the turn has expired, or there is none: it begins anew
    conversation.program = new_word();
    conversation.previous.clear();
  }
  RequestSpec request;
  request.path = std::string(lingering_path) + "say";
  request.program = conversation.program;
  request.session = conversation.program;
  request.previous = conversation.previous;
  request.input = "lingering " + new_word() + std::string(input_bytes, 'i') + "\n";
  request.most = tokens_per_event * static_cast<std::int64_t>(events);
  request.client = chance_();
  request.counted = false;
  request.retention = lingering_retention;
  const double answer = min_answer + answer_spread * chance_.unit();
  request.event_pause = lingering_retention * (answer / static_cast<double>(events));
  load_.ask(request, [this, &conversation](const RequestResult& result) { on_result(conversation, result); });
}

void LingeringConversations::on_result(Conversation& conversation, const RequestResult& result) {
  if (result.how != AttemptOutcome::whole) {
    if (result.how == AttemptOutcome::unknown) conversation.kept_until = TimePoint();
    return schedule(conversation, min_retry_pause + retry_pause_spread * chance_.unit());
  }
  if (!conversation.previous.empty()) ++continued_;
  conversation.previous = result.id;
  conversation.kept_until = timers_.now() + lingering_retention;
  schedule(conversation, lingering_retention * (min_pause + pause_spread * chance_.unit()));
}

}  // namespace chutevane::lab::tier
