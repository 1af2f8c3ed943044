#include "sidecar/driver.hpp"

#include <xxhash.h>

#include <algorithm>

#include "base/log.hpp"

namespace chutevane::sidecar {
namespace {

std::vector<std::string> split(const std::string& list) {
  std::vector<std::string> out;
  std::size_t from = 0;
  while (from < list.size()) {
    const std::size_t comma = std::min(list.find(',', from), list.size());
    out.push_back(list.substr(from, comma - from));
    from = comma + 1;
  }
  return out;
}

std::string text_or_none(const Settings& settings, std::string_view key) {
  const auto found = settings.find(key);
  return found == settings.end() ? "" : found->second;
}

// The place of a name among those seen, at the end if it is new.
std::uint16_t place_in(std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  const auto at = static_cast<std::uint16_t>(found - names.begin());
  if (found == names.end()) names.push_back(name);
  return at;
}

constexpr net::Waker::Bits due = net::Waker::own;
// So long news of an endpoint's end outlive an older list: drains and rollbacks of discovery are over by
// then.
constexpr Span closed_for = Span::ms(60000);
constexpr std::size_t closed_most = 4096;  // endpoints: a release of some tiers; more are not remembered

}  // namespace

Driver::Driver(net::Scheduler& scheduler, const config::Config& config, Endpoints& endpoints,
               Counters& counters)
    : scheduler_(scheduler),
      endpoints_(endpoints),
      counters_(counters),
      balancer_(config.settings, config.seed, scheduler.now()),
      zones_(split(text_or_none(config.settings, "zones"))),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      timekeeper_(keep_time()) {
  endpoints.tell(*this);
  if (!config.discovery.empty())
    watch_.emplace(scheduler, config.discovery,
                   text_or_none(config.settings, "discovery") == "subscribe" ? discovery::Teller::service
                                                                             : discovery::Teller::agent,
                   config.seed, *this, config.drain_grace, config.ask_over,
                   config.known.full ? std::optional(config.known.version) : std::nullopt);
  take_list(ListKind::cached, config.known);
  timekeeper_.start();
}

net::Task Driver::keep_time() {
  while (true) {
    co_await waker_.wait(due);
    apply(balancer_.woken(scheduler_.now()));
    part_with_doubted();
  }
}

CallId Driver::take(ApiCall call, Caller& caller) {
  ++counters_.calls;
  call.id = ++last_id_;
  const std::uint32_t at = calls_.take();
  calls_[at].id = call.id;
  calls_[at].caller = &caller;
  call_index_.put(call.id, at);
  const Answer answer = balancer_.arrived(call, scheduler_.now());
  apply({&answer, 1});
  return call.id;
}

void Driver::caller_left(CallId call) {
  const std::uint32_t at = call_index_.find(call);
  if (at == IdIndex::none || release(at) == nullptr) return;
  ++counters_.callers_left;
  apply(balancer_.client_left(call, scheduler_.now()));
  withdraw_unsent(call);
  settle(at);
}

void Driver::break_off_all() {
  for (std::uint32_t at = 0; at < calls_.size(); ++at) {
    const CallId id = calls_[at].id;
    if (call_index_.find(id) != at) continue;
    Caller* const caller = release(at);
    if (caller == nullptr) continue;
    ++counters_.broken_off;
    caller->broken_off(true, spent_of(at));
    apply(balancer_.client_left(id, scheduler_.now()));
    withdraw_unsent(id);
    settle(at);
  }
}

// Takes the caller out of its call: from here on nothing more is owed to it.
Caller* Driver::release(std::uint32_t at) { return std::exchange(calls_[at].caller, nullptr); }

// What is still out may run yet. Guards rule 2 over pools: such a call has not been proven never to have run.
pool::Spent Driver::spent_of(std::uint32_t at) const {
  pool::Spent out = calls_[at].spent;
  if (calls_[at].out > 0 && !out.may_have_run) {
    out.may_have_run = true;
    out.first_sent = TimePoint();  // not known here: no memory of it is counted on
  }
  return out;
}

// Guards rule 1 where cancels are not allowed: what has not begun when its call is over must not begin later.
void Driver::withdraw_unsent(CallId call) {
  for (std::size_t i = 0; i < dispatches_most; ++i) {
    const std::uint32_t at = call_index_.find(call);
    if (at == IdIndex::none) return;
    if (EndpointConnection* const on = calls_[at].dispatches[i]) endpoints_.withdraw(*on);
  }
}

void Driver::settle(std::uint32_t at) {
  const Call& c = calls_[at];
  if (c.caller != nullptr || c.out > 0 || call_index_.find(c.id) != at) return;
  call_index_.erase(c.id);
  calls_.give_back(at);
}

void Driver::request_moved(const Dispatch& dispatch, bool last) {
  if (call_index_.find(dispatch.call) != IdIndex::none)
    balancer_.moved(dispatch.call, last, scheduler_.now());
}

// The module hears of it as of an answer that is done: from here on nothing is to be decided.
bool Driver::answer_began(const Dispatch& dispatch, const http::Parser& response,
                          const std::shared_ptr<Pipe>& body) {
  const std::uint32_t at = call_index_.find(dispatch.call);
  Caller* const caller = at == IdIndex::none ? nullptr : release(at);
  if (caller == nullptr) return false;
  calls_[at].dispatches[dispatch.number] = nullptr;
  ++counters_.done;
  caller->began(response, body);
  tell_end(dispatch, Outcome::done, true, false);
  withdraw_unsent(dispatch.call);
  pump();
  return true;
}

void Driver::tell_end(const Dispatch& dispatch, Outcome outcome, bool call_over, bool last) {
  DispatchEnd over;
  over.call = dispatch.call;
  over.endpoint = dispatch.endpoint;
  over.number = dispatch.number;
  over.call_over = call_over;
  over.last = last;
  over.outcome = outcome;
  over.elapsed = scheduler_.now() - dispatch.sent;
  ends_.push_back(over);
}

void Driver::dispatch_over(const Dispatch& dispatch, Outcome outcome, const http::Parser* response) {
  const std::uint32_t at = call_index_.find(dispatch.call);
  if (at == IdIndex::none) return;
  Call& c = calls_[at];
  c.dispatches[dispatch.number] = nullptr;
  c.timed_out = outcome == Outcome::timed_out;
  const bool never_ran =
      outcome == Outcome::not_sent || outcome == Outcome::not_connected || outcome == Outcome::turned_away;
  if (!never_ran && !std::exchange(c.spent.may_have_run, true)) c.spent.first_sent = dispatch.sent;
  if (outcome == Outcome::done) {
    if (Caller* caller = release(at)) {
      ++counters_.done;
      caller->done(*response);
    }
  }
  const Caller* const caller = calls_[at].caller;
  tell_end(dispatch, outcome, caller == nullptr,
           caller != nullptr && caller->body() != nullptr && !caller->body()->whole());
  if (outcome == Outcome::done) withdraw_unsent(dispatch.call);
  pump();
}

void Driver::list_came(const discovery::List& list) {
  ++counters_.lists;
  take_list(list.full ? ListKind::full : ListKind::changes, list);
}

void Driver::list_failed() { ++counters_.list_failures; }

snapshot::Snapshot Driver::learnt() const {
  snapshot::Snapshot out;
  for (const LearnedLatency& l : balancer_.learned_latencies()) {
    const std::string name = endpoints_.name_of(l.endpoint);
    const auto listed = listed_.find(name);
    if (listed == listed_.end()) continue;
    out.endpoints.push_back({name, listed->second.address, l.started_at, l.latency_ms});
  }
  out.load = balancer_.learned_load(scheduler_.now());
  out.endpoint_list.version = version_;
  out.endpoint_list.full = true;
  for (const auto& [id, entry] : listed_) out.endpoint_list.entries.push_back(entry);
  return out;
}

void Driver::recall(const snapshot::WarmStart& known) {
  std::vector<LearnedLatency> out;
  for (const snapshot::EndpointRecord& r : known.endpoints) {
    if (const EndpointId id = endpoints_.id_of(r.name)) out.push_back({id, r.started_at, r.latency_ms});
  }
  balancer_.restore_latencies(out, scheduler_.now());
  balancer_.restore_load(known.load, scheduler_.now());
}

void Driver::note_closed(const discovery::Entry& e) {
  if (e.availability == Availability::ready) {
    closed_.erase(e.id);
  } else if (closed_.size() < closed_most) {
    closed_[e.id] = {e.availability, e.came_up, scheduler_.now()};
  }
}

Availability Driver::still_closed(const discovery::Entry& e) const {
  const auto known = closed_.find(e.id);
  if (known == closed_.end()) return e.availability;
  // A new start of it is another process; where it is gone its start is not told.
  if (known->second.availability == Availability::draining && known->second.came_up != e.came_up)
    return e.availability;
  return known->second.availability;
}

void Driver::take_list(ListKind kind, const discovery::List& list) {
  // What the list takes back is told to the module after the list itself. Guards against its sending such a
  // call to the same endpoint again, which it would still take for ready.
  pumping_ = true;
  if (kind != ListKind::changes) listed_.clear();
  version_ = list.version;
  std::vector<ListedEndpoint> entries;
  entries.reserve(list.entries.size());
  std::erase_if(closed_, [&](const auto& one) { return scheduler_.now() - one.second.told > closed_for; });
  for (const discovery::Entry& e : list.entries) {
    const Availability availability = list.older ? still_closed(e) : e.availability;
    if (!list.older) note_closed(e);
    if (availability == Availability::gone) {
      listed_.erase(e.id);
    } else {
      listed_[e.id] = e;
      listed_[e.id].availability = availability;
    }
    const EndpointId id = endpoints_.learn(e);
    if (id == 0) continue;
    ListedEndpoint& l = entries.emplace_back();
    l.id = id;
    l.zone = place_in(zones_, e.zone);
    l.model = place_in(models_, e.model);
    l.mark = XXH3_64bits(e.id.data(), e.id.size());  // ours are numbered as they come, not alike at all
    l.cell = e.cell;
    l.availability = availability;
    l.size = e.size;
    l.came_up = e.came_up;
  }
  if (kind != ListKind::changes) {
    std::vector<EndpointId> named;
    for (const ListedEndpoint& l : entries) named.push_back(l.id);
    endpoints_.forget_unnamed(std::move(named));
  }
  pumping_ = false;
  apply(balancer_.listed(kind, entries, scheduler_.now()));
  part_with_doubted();
}

// The module judges by its calls whether what the list calls gone is gone; its connections follow.
void Driver::part_with_doubted() {
  for (std::size_t i = endpoints_.doubted().size(); i-- > 0;) {
    const EndpointId id = endpoints_.doubted()[i];
    if (!balancer_.usable(id)) endpoints_.part_with(id);
  }
}

void Driver::apply(Answers answers) {
  answers_.insert(answers_.end(), answers.begin(), answers.end());
  pump();
}

// What is done may end a dispatch at once, and its end brings new answers: all of it goes through here, one
// after the other, and never from inside a call of the balancer.
void Driver::pump() {
  if (pumping_) return;
  pumping_ = true;
  while (!answers_.empty() || !ends_.empty()) {
    if (!answers_.empty()) {
      const Answer answer = answers_.front();
      answers_.pop_front();
      act(answer);
      continue;
    }
    const DispatchEnd over = ends_.front();
    ends_.pop_front();
    const Answers more = balancer_.ended(over, scheduler_.now());
    answers_.insert(answers_.end(), more.begin(), more.end());
    const std::uint32_t at = call_index_.find(over.call);
    if (at == IdIndex::none) continue;
    --calls_[at].out;
    settle(at);
  }
  pumping_ = false;
  const TimePoint next = balancer_.next_wake();
  if (next < timer_.due()) timer_.set(next);
}

void Driver::act(const Answer& answer) {
  const std::uint32_t at = call_index_.find(answer.call);
  const bool known = at != IdIndex::none;
  ++counters_.verdicts[static_cast<std::size_t>(answer.verdict)];
  switch (answer.verdict) {
    case Verdict::nothing:
    case Verdict::wait:
    case Verdict::tell:              // none here: the configuration says so to the module
    case Verdict::subscribe: break;  // the watch on the list looks after itself
    case Verdict::dispatch:
      if (known) dispatch(at, answer);
      break;
    case Verdict::reject:
    case Verdict::break_off:
      if (!known) break;
      if (Caller* caller = release(at)) {
        const bool reject = answer.verdict == Verdict::reject;
        ++(reject ? counters_.rejected : counters_.broken_off);
        if (reject) {
          caller->rejected(answer.span, spent_of(at));
        } else {
          caller->broken_off(calls_[at].timed_out, spent_of(at));
        }
        withdraw_unsent(answer.call);
      }
      settle(at);
      break;
    case Verdict::cancel:
      if (known && answer.number < dispatches_most && calls_[at].dispatches[answer.number] != nullptr)
        endpoints_.give_up(*calls_[at].dispatches[answer.number]);
      break;
    case Verdict::log: log_line("%s", answer.text.data()); break;
  }
}

void Driver::dispatch(std::uint32_t at, const Answer& answer) {
  const TimePoint now = scheduler_.now();
  const bool any_time = answer.until == TimePoint();
  const Dispatch d{answer.call, answer.endpoint, answer.number,
                   now,         answer.span,     any_time ? TimePoint::never() : answer.until};
  ++calls_[at].out;
  ++calls_[at].spent.dispatches;
  if (calls_[at].caller == nullptr) {  // it left, or was answered, between the decision and here
    dispatch_over(d, Outcome::not_sent, nullptr);
    return;
  }
  if (answer.fresh) endpoints_.close_idle(answer.endpoint);
  EndpointConnection* const on = endpoints_.send(d, calls_[at].caller->request(), calls_[at].caller->body());
  const std::uint32_t still = call_index_.find(answer.call);
  if (on != nullptr && still != IdIndex::none) calls_[still].dispatches[answer.number] = on;
}

}  // namespace chutevane::sidecar
