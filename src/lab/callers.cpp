#include "lab/callers.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace chutevane::lab {

CallerStandIns::CallerStandIns(net::Scheduler& scheduler, Shared& shared, Ledger& ledger, Front& front,
                               std::uint64_t seed)
    : scheduler_(scheduler),
      shared_(shared),
      experiment_(shared.experiment),
      ledger_(ledger),
      arrivals_(seed, "arrivals"),
      habits_(seed, "habits"),
      client_(scheduler, *this, front, static_cast<std::size_t>(experiment_.callers.connections),
              experiment_.callers.idle),
      waker_(scheduler),
      plan_waker_(scheduler),
      timer_(scheduler, waker_, due),
      plan_timer_(scheduler, plan_waker_, due),
      arriver_(arrive()),
      planner_(follow_plans()) {
  for (const TrackSpec& t : experiment_.tracks) shares_ += t.share;
  if (experiment_.callers.spread) client_.spread();
  planner_.start();
}

void CallerStandIns::begin(TimePoint at) {
  next_ = at;
  arriver_.start();
}

net::Task CallerStandIns::arrive() {
  while (!stopped_) {
    const double gap_ms = 1000.0 / (experiment_.callers.rate * factor_);
    next_ = next_ + Span::ms(experiment_.callers.even
                                 ? gap_ms
                                 : arrivals_.draw({Distribution::Kind::exponential, gap_ms, 0.0}));
    // As many as are due go at once: a lab that runs late makes up for it, and says how late it was.
    while (next_ > scheduler_.now()) {
      timer_.set(next_);
      co_await waker_.wait(due);
    }
    if (!stopped_) new_wish(next_);
  }
}

void CallerStandIns::new_wish(TimePoint intended) {
  const std::uint64_t id = ++last_wish_;
  Wish& w = wishes_[id];
  w.intended = intended;
  double at = habits_.unit() * shares_;
  while (w.track + 1 < experiment_.tracks.size() && at >= experiment_.tracks[w.track].share)
    at -= experiment_.tracks[w.track++].share;
  const TrackSpec& t = experiment_.tracks[w.track];
  if (experiment_.callers.keys > 0)
    w.key = 1 + static_cast<std::uint64_t>(habits_.unit() * experiment_.callers.keys);
  if (t.effect == TrackEffect::referenced) {
    char text[40];
    std::snprintf(text, sizeof text, "%08x%08x%016llx", habits_(), habits_(),
                  static_cast<unsigned long long>(id));
    w.reference = text;
  }
  if (habits_.one_in(experiment_.callers.leave_share))
    plan(intended + t.soft_limit * habits_.unit(), id, What::leave);
  plan(intended + t.client_timeout, id, What::expire);
  ask(id);
}

void CallerStandIns::plan(TimePoint at, std::uint64_t wish, What what) {
  plans_.push({at, wish, what});
  if (plans_.top().at == at) plan_timer_.set(at);
}

net::Task CallerStandIns::follow_plans() {
  while (true) {
    co_await plan_waker_.wait(due);
    while (!plans_.empty() && plans_.top().at <= scheduler_.now()) {
      const Plan now_due = plans_.top();
      plans_.pop();
      const auto found = wishes_.find(now_due.wish);
      if (found == wishes_.end()) continue;
      Wish& w = found->second;
      switch (now_due.what) {
        case What::ask: ask(now_due.wish); break;
        case What::leave:
          if (w.call != 0) {
            shared_.auditor.excused(w.call);
            calls_.erase(w.call);
            client_.abandon(w.call);
          }
          end(now_due.wish, Ending::left);
          break;
        case What::expire:  // one with a try in hand hears of it from its connection
          if (w.call == 0) end(now_due.wish, w.last);
          break;
      }
    }
    if (!plans_.empty()) plan_timer_.set(plans_.top().at);
  }
}

void CallerStandIns::ask(std::uint64_t id) {
  const auto found = wishes_.find(id);
  if (found == wishes_.end() || found->second.call != 0) return;
  Wish& w = found->second;
  const TrackSpec& t = experiment_.tracks[w.track];
  const TimePoint now = scheduler_.now();
  const Span left = w.intended + t.client_timeout - now;
  if (left <= Span()) return end(id, w.last);
  if (!client_.has_room()) {  // it waits for a connection, and its time runs on
    waiting_.push_back(id);
    return;
  }
  CallText text;
  text.call = shared_.next_call();
  text.track = t.name;
  text.read_only = t.effect == TrackEffect::replayable;
  text.reference = w.reference;
  text.left = left;
  text.repeated = w.tries > 0 && experiment_.callers.marks_repeats;
  text.body = experiment_.callers.request_bytes;
  text.client = t.client;
  text.key = w.key;
  Auditor::Ask ask;
  ask.call = text.call;
  ask.track = w.track;
  ask.sent = now;
  ask.timeout = left;
  ask.key = w.key;
  ++w.tries;
  w.call = text.call;
  calls_[text.call] = id;
  shared_.auditor.asked(ask);
  if (client_.send(text.call, call_text(text), now + left + experiment_.rules.wait_most())) return;
  // The idle ones were closed by the other side, and none is left over.
  shared_.auditor.excused(text.call);
  calls_.erase(text.call);
  --w.tries;
  w.call = 0;
  waiting_.push_back(id);
}

void CallerStandIns::room() {
  while (!waiting_.empty() && client_.has_room()) {
    const std::uint64_t id = waiting_.front();
    waiting_.pop_front();
    ask(id);
  }
}

void CallerStandIns::sent(std::uint64_t request, std::size_t sidecar) {
  shared_.on_call("sent", request);
  shared_.auditor.moved(request, sidecar);
}

std::uint64_t CallerStandIns::take_wish_of(std::uint64_t request) {
  const auto found = calls_.find(request);
  if (found == calls_.end()) return 0;
  const std::uint64_t id = found->second;
  calls_.erase(found);
  wishes_.at(id).call = 0;
  return id;
}

void CallerStandIns::answered(std::uint64_t request, const http::Parser& answer) {
  const Final how = shared_.judge(request, answer, scheduler_.now() - client_.way());
  ++answered_calls_;
  const std::uint64_t id = take_wish_of(request);
  if (id == 0) return;
  const Wish& w = wishes_.at(id);
  const bool late = scheduler_.now() - w.intended > experiment_.tracks[w.track].soft_limit;
  double seconds = 0.0;
  const std::string_view after = answer.find("Retry-After").value_or("");
  std::from_chars(after.data(), after.data() + after.size(), seconds);
  try_over(id,
           how == Final::done       ? (late ? Ending::late : Ending::in_time)
           : how == Final::rejected ? Ending::rejected
                                    : Ending::broken_off,
           Span::ms(std::clamp(seconds, 0.0, 3600.0) * 1000.0));
}

void CallerStandIns::failed(std::uint64_t request, Failure how) {
  shared_.on_call("failed", request);
  if (how == Failure::nobody || how == Failure::refused) shared_.auditor.excused(request);
  const std::uint64_t id = take_wish_of(request);
  if (id == 0) return;
  const bool never_taken = how == Failure::nobody || how == Failure::refused;
  try_over(id, never_taken ? Ending::rejected : Ending::unanswered, Span());
}

void CallerStandIns::extra_bytes(std::uint64_t request) {
  shared_.auditor.answered_again(request, scheduler_.now());
}

// A client tries again by itself where that is harmless: after a rejection, or when its track may run twice.
void CallerStandIns::try_over(std::uint64_t id, Ending how, Span come_back) {
  Wish& w = wishes_.at(id);
  w.last = how;
  const TrackSpec& t = experiment_.tracks[w.track];
  const bool harmless = how == Ending::rejected || t.effect != TrackEffect::single_use;
  const TimePoint again = scheduler_.now() + std::max(come_back, experiment_.callers.repeat_after);
  const bool over = how == Ending::in_time || how == Ending::late || !harmless ||
                    w.tries > experiment_.callers.repeats || again >= w.intended + t.client_timeout;
  if (over)
    end(id, how);
  else
    plan(again, id, What::ask);
}

void CallerStandIns::end(std::uint64_t id, Ending how) {
  const auto found = wishes_.find(id);
  if (found == wishes_.end()) return;
  const Wish& w = found->second;
  ledger_.ended(w.track, w.intended, scheduler_.now(), how, w.tries);
  wishes_.erase(found);
}

void CallerStandIns::dispatched(CallKey call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const Wish& w = wishes_.at(found->second);
  ledger_.dispatched(w.track, w.intended);
}

}  // namespace chutevane::lab
