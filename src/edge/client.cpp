#include "edge/client.hpp"

#include <algorithm>

#include "common/invariant.hpp"
#include "edge/data_plane.hpp"
#include "http/writer.hpp"

namespace chutevane::edge {
namespace {

using http::same_name;

constexpr std::size_t pipelined_most = 256 * 1024;  // bytes that a client may send ahead of its answer
constexpr std::size_t fields_most = 100;            // of a request's head
constexpr std::size_t plain_most = 64U << 20U;      // bytes of an answer that is held whole
constexpr std::size_t event_most = 4U << 20U;       // bytes of one event
constexpr Span answer_spare = Span::ms(2);          // of the client's time, for the way back
constexpr std::size_t turned_away_most = 3;         // endpoints that were full, on top of maxAttempts' first
constexpr Span start_most = Span::ms(700);  // for what a sidecar that has just started does not know yet
constexpr double start_part = 0.5;          // of the client's time, at most, for the same
constexpr Span start_look = Span::ms(20);   // between looks whether it does
constexpr Span storage_most =
    Span::ms(1500);  // for storage that takes over: longer is told, with when to come back
constexpr Span unread_look = Span::ms(1);     // what has arrived is read by then
constexpr Span ending_most = Span::ms(1000);  // for the client's end, once its last answer has gone out
constexpr Span unlimited = Span::ms(600000);  // where neither client nor route states a time

}  // namespace

template <class F>
auto Client::guarded(F f) {
  return [this, weak = std::weak_ptr<int>(alive_), f = std::move(f)](auto&&... args) {
    if (!weak.expired()) f(std::forward<decltype(args)>(args)...);
  };
}

Client::Client(DataPlane& plane)
    : plane_(plane),
      channel_(plane.scheduler_, static_cast<net::Channel::Sink&>(*this)),
      parser_(http::Side::request) {
  set_request_timer();
}

Client::~Client() { plane_.timers_.cancel(timer_); }

void Client::close(Cause cause) {
  if (stage_ == Stage::over) return;
  channel_.close();
  leave(cause);
}

bool Client::request_in_hand() const {
  return stage_ == Stage::preparing || stage_ == Stage::asking || stage_ == Stage::relaying ||
         stage_ == Stage::keeping;
}

Span Client::left() const { return deadline_ - plane_.timers_.now(); }

// ---- the request

// A request is held to what is in force when it begins, on whatever connection it comes.
http::Limits Client::request_limits() const {
  const common::ClientLimits limits =
      plane_.configuration_ ? plane_.configuration_->limits : common::ClientLimits{};
  return {.head = limits.header_bytes, .body = limits.body_bytes, .fields = fields_most};
}

Span Client::idle_limit() const {
  return plane_.configuration_ ? plane_.configuration_->limits.idle : common::ClientLimits{}.idle;
}

void Client::set_request_timer() {
  const common::ClientLimits limits =
      plane_.configuration_ ? plane_.configuration_->limits : common::ClientLimits{};
  const bool begun = parser_.begun() || channel_.in_size() > 0;
  reading_timer_for_head_ = begun && !parser_.head_done();
  if (!begun) return set_rest_timer(limits.idle);
  plane_.timers_.cancel(timer_);
  timer_ = plane_.timers_.after(reading_timer_for_head_ ? limits.header : limits.idle, [this] {
    if (!channel_.unread()) return request_late();
    // It has arrived, and was not read yet: this process stood still, not the client.
    timer_ = plane_.timers_.after(unread_look, [this] { request_late(); });
  });
}

void Client::request_late() {
  if (stage_ != Stage::reading) return;
  if (!parser_.begun()) return close(Cause::client_stalled);
  stage_ = Stage::preparing;
  keep_ = false;
  answer_own(Cause::slow_request, 408, "the request did not come whole in time");
}

// How long the client may rest, between two requests or before it ends the connection. While an answer is
// going out to it, it does not rest. `rested`: how much of it is over.
void Client::set_rest_timer(Span most, Span rested) {
  plane_.timers_.cancel(timer_);
  timer_ = plane_.timers_.after(most - rested,
                                [this, most, unsent = channel_.unsent()] { rest_over(most, unsent); });
}

void Client::rest_over(Span most, std::size_t unsent_before) {
  if (channel_.unsent() > 0 && channel_.unsent() < unsent_before) return set_rest_timer(most);
  // Clients go by the limit that is in force: it may have grown meanwhile.
  if (stage_ == Stage::reading && idle_limit() > most) return set_rest_timer(idle_limit(), most);
  if (stage_ != Stage::reading || !channel_.unread()) return close(Cause::client_stalled);
  // A request has arrived, and was not read yet: this process stood still, not the client.
  timer_ = plane_.timers_.after(unread_look, [this] { request_late(); });
}

void Client::channel_drained(net::Channel&) {
  if (stage_ == Stage::ending) set_rest_timer(ending_most);
  if (stage_ == Stage::reading && !parser_.begun() && channel_.in_size() == 0) set_rest_timer(idle_limit());
}

void Client::channel_came(net::Channel&) {
  if (stage_ == Stage::reading) {
    look();
  } else if (stage_ == Stage::ending) {
    channel_.in().consume(channel_.in_size());  // it is not answered any more
  } else if (channel_.in_size() > pipelined_most) {
    channel_.hold(true);
  }
}

void Client::look() {
  if (stage_ != Stage::reading || channel_.in_size() == 0) return;
  if (!parser_.begun()) parser_.set_limits(request_limits());
  const bool had_head = parser_.head_done();
  const http::Progress progress = parser_.feed(channel_.in().bytes());
  if (progress == http::Progress::more) {
    if (!had_head && parser_.head_done() && !told_to_go_on_ && parser_.find("Expect")) {
      told_to_go_on_ = true;
      channel_.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!reading_timer_for_head_ || parser_.head_done()) set_request_timer();
    return;
  }
  plane_.timers_.cancel(timer_);
  alive_ = std::make_shared<int>();
  stage_ = Stage::preparing;
  if (progress == http::Progress::failed) {
    keep_ = false;
    answer_own(Cause::malformed_request, parser_.status_of_error(), parser_.error());
    return;
  }
  begin();
}

void Client::begin() {
  began_ = plane_.timers_.now();
  exchange_open_ = true;
  ++plane_.counters_.requests;
  keep_ = parser_.keep_alive() && !plane_.closing_;
  const std::string wrong = read_request(parser_, request_);
  channel_.in().consume(parser_.size());
  parser_.reset();
  told_to_go_on_ = false;
  body_.clear();
  output_.clear();
  reserved_ = may_have_run_ = false;
  attempts_ = tries_ = 0;
  placing_ = {};
  route_ = nullptr;
  service_.clear();
  endpoint_.clear();
  last_attempt_ = LastAttempt::none;
  if (!wrong.empty()) return answer_own(Cause::malformed_request, 400, wrong);
  route();
}

void Client::route() {
  // A sidecar that has just started knows within a moment where to send it: that is sooner than another try.
  const Span wait = std::min(start_most, request_.left.value_or(unlimited) * start_part);
  if (!plane_.knows_enough() && plane_.timers_.now() - began_ < wait) {
    timer_ = plane_.timers_.after(start_look, guarded([this] { route(); }));
    return;
  }
  configuration_ = plane_.configuration_;
  if (!configuration_) return answer_own(Cause::no_configuration, 503, "no configuration yet", ComeBack::yes);
  route_ = configuration_->route_of(request_.host,
                                    std::string_view(request_.target).substr(0, request_.target.find('?')));
  if (route_ == nullptr) {
    // One that hears of no control may have missed the route.
    if (plane_.sessions_->standing() == 0)
      return answer_own(Cause::route_uncertain, 503, "no route known here yet", ComeBack::yes);
    return answer_own(Cause::no_route, 404, "no route");
  }
  deadline_ = began_ + std::min(request_.left.value_or(unlimited), route_->timeout);
  service_ = plane_.service_for(*route_);
  streaming_ = route_->type == common::RouteType::streaming && request_.method != "HEAD";
  if (route_->affinity) {
    placing_.affinity = true;
    placing_.parts = request_.parts;
  }
  if (route_->retained) {
    prepare();
  } else {
    body_ = request_.body;
    attempt();
  }
}

// ---- turns

void Client::prepare() {
  if (request_.attempt_id.empty())
    return answer_own(Cause::missing_attempt_id, 400, "X-Chutevane-Attempt-Id: missing");
  if (request_.previous.empty()) {
    body_ = request_.body;
    return reserve();
  }
  plane_.ledger_.find(request_.previous, request_.program, request_.attempt_id, storage_until(),
                      guarded([this](Ledger::Chain chain) {
                        if (chain.verdict == Ledger::Sought::unknown) {
                          ++plane_.counters_.not_found;
                          return answer_own(Cause::no_such_turn, 404, "no such turn");
                        }
                        if (chain.verdict == Ledger::Sought::unsure) {
                          ++plane_.counters_.unsure;
                          return answer_own(Cause::turn_uncertain, 503,
                                            "not certain yet whether there is such a turn", ComeBack::yes);
                        }
                        std::size_t size = request_.body.size();
                        for (const auto& t : chain.turns)
                          size += t->input.data.size() + t->output.data.size();
                        body_.reserve(size);
                        for (const auto& t : chain.turns) body_.append(t->input.data).append(t->output.data);
                        body_.append(request_.body);
                        reserve();
                      }));
}

TimePoint Client::storage_until() const {
  return std::min(deadline_ - answer_spare, plane_.timers_.now() + storage_most);
}

void Client::reserve() {
  placing_.bytes = static_cast<double>(body_.size());
  if (!request_.budget) return attempt();
  if (request_.program.empty()) return answer_own(Cause::missing_program, 400, "Program: missing");
  plane_.ledger_.reserve(request_.program, request_.attempt_id, request_.most_out.value_or(0),
                         *request_.budget, storage_until(), guarded([this](Ledger::Granted granted) {
                           reserved_ = true;
                           if (granted == Ledger::Granted::spent) {
                             ++plane_.counters_.spent;
                             unreserve();
                             return answer_own(Cause::budget_spent, 402, "the budget is spent");
                           }
                           if (granted == Ledger::Granted::unclear) {
                             unreserve();
                             return answer_own(Cause::budget_uncertain, 503,
                                               "budgets cannot be set aside now", ComeBack::yes);
                           }
                           attempt();
                         }));
}

// The turn has not run and will not.
void Client::unreserve() {
  if (!std::exchange(reserved_, false)) return;
  plane_.ledger_.release(request_.program, request_.attempt_id);
}

// ---- attempts

void Client::attempt() {
  stage_ = Stage::asking;
  common::check_invariant(common::Invariant::not_sent_twice, !may_have_run_ || route_->repeatable(),
                          [&] { return request_.attempt_id + " after " + endpoint_; });
  common::check_invariant(common::Invariant::reserved_before_sent,
                          !route_->retained || !request_.budget || reserved_,
                          [&] { return request_.attempt_id; });
  const TimePoint now = plane_.timers_.now();
  const Span time = left();
  Tier& tier = plane_.tier(service_);
  if (Tier::spent(time)) return give_up(Cause::time_spent);
  if (tries_ > 0 && !tier.worth_retry(time, now)) return give_up(Cause::time_spent);
  if (attempts_ >= std::max<std::size_t>(route_->max_attempts, 1) || tries_ > turned_away_most + attempts_)
    return give_up(last_attempt_ == LastAttempt::turned_away ? Cause::endpoints_full : Cause::no_endpoint);
  std::shared_ptr<Endpoint> to;
  // What may be repeated goes once more to where it has been, rather than to nobody with time left.
  if (route_->repeatable() && !placing_.avoid.empty() && !tier.place(placing_, now)) placing_.avoid.clear();
  const std::size_t avoided = placing_.avoid.size();
  while (const auto chosen = tier.place(placing_, now)) {
    to = plane_.endpoints_.find(*chosen);
    if (to && plane_.room_at(*to)) break;
    to = nullptr;
    placing_.avoid.push_back(*chosen);
  }
  placing_.avoid.resize(avoided);
  if (!to)
    return give_up(last_attempt_ == LastAttempt::turned_away ? Cause::endpoints_full : Cause::no_endpoint);
  endpoint_ = to->id;
  ++tries_;
  ++attempts_;
  ++plane_.counters_.attempts;
  if (tries_ > 1) ++plane_.counters_.retries;
  turned_away_ = bad_answer_ = head_out_ = false;
  status_ = 0;
  answer_.clear();
  answer_fields_.clear();
  events_ = 0;
  last_event_.reset();
  output_.clear();
  sent_ = now;
  attempt_open_ = true;
  const Span ceiling = tier.ceiling(route_->timeout, time, route_->repeatable(), now);
  measured_ceiling_ = ceiling < std::min(route_->timeout, time);
  tier.sent(endpoint_, placing_, now);
  plane_.timers_.cancel(timer_);
  timer_ = plane_.timers_.after(ceiling, guarded([this] { attempt_due(); }));
  std::optional<int> priority;
  if (route_->affinity) priority = std::clamp(route_->priority * 2, 0, 9);
  OutgoingRequest outgoing;
  outgoing.head = head_for(request_, endpoint_, ceiling, priority, body_.size());
  outgoing.body = body_;
  outgoing.attempt_id = request_.attempt_id;
  outgoing.bodiless_answer = request_.method == "HEAD";
  connection_ = plane_.endpoints_.send(to, *this, std::move(outgoing));
}

void Client::attempt_over(Ended how) {
  if (!std::exchange(attempt_open_, false)) return;
  plane_.tier(service_).ended(endpoint_, placing_, how, plane_.timers_.now());
}

// Its ceiling has passed. What cannot be repeated is only held to the class deadline and the client's time.
void Client::attempt_due() {
  if (stage_ == Stage::keeping) return;
  ++plane_.counters_.cut;
  if (connection_ != nullptr) plane_.endpoints_.give_up(*std::exchange(connection_, nullptr));
  attempt_over(measured_ceiling_ ? Ended::cut : Ended::failed);
  may_have_run_ = true;
  last_attempt_ = LastAttempt::timed_out;
  if (stage_ == Stage::relaying) return break_off(Cause::stream_timeout);
  if (route_->repeatable()) {
    placing_.avoid.push_back(endpoint_);
    return attempt();
  }
  give_up(Cause::time_spent);
}

void Client::answer_head(const http::Parser& response) {
  status_ = response.status();
  stated_length_ = response.length().value_or(0);
  for (std::size_t i = 0; i < response.fields(); ++i) {
    const http::Field f = response.field(i);
    if (!of_one_connection(f.name, "")) answer_fields_.emplace_back(f.name, f.value);
  }
  if (const auto load = response.find("X-Chutevane-Server-Load")) {
    double running = 0, waiting = 0, slots = 0;
    if (std::sscanf(std::string(*load).c_str(), "%lf,%lf,%lf", &running, &waiting, &slots) == 3)
      plane_.tier(service_).load(endpoint_, running, waiting, slots, plane_.timers_.now());
  }
  turned_away_ = response.find("X-Chutevane-Not-Executed").has_value() || status_ == 421;
  if (status_ / 100 == 2) {
    const auto id = response.find("X-Chutevane-Attempt-Id");
    bad_answer_ = !response.find("X-Chutevane-Server-Seal") || response.find("Content-Encoding") ||
                  (!request_.attempt_id.empty() && (!id || *id != request_.attempt_id));
  }
}

void Client::answer_piece(std::string_view piece) {
  if (answer_.size() + piece.size() > plain_most) bad_answer_ = true;
  if (!bad_answer_) answer_.append(piece);
  if (streaming_ && status_ == 200 && !bad_answer_) relay(false);
}

void Client::answer_failed(Failure how) {
  connection_ = nullptr;
  attempt_over(Ended::failed);
  if (stage_ == Stage::relaying) return break_off(Cause::stream_broke_off);
  if (how == Failure::unsent) --attempts_;
  const bool may_run = how == Failure::broken && !turned_away_;  // a rejection's head is proof enough
  last_attempt_ = may_run        ? LastAttempt::broke_off
                  : turned_away_ ? LastAttempt::turned_away
                                 : LastAttempt::unsent;
  // From here on, and not only once it is tried again: the client may leave before.
  may_have_run_ = may_have_run_ || may_run;
  placing_.avoid.push_back(endpoint_);
  // Not from inside the call that has just failed.
  plane_.timers_.cancel(timer_);
  timer_ = plane_.timers_.after(Span(), guarded([this, may_run] { after_failure(may_run); }));
}

void Client::after_failure(bool ran) {
  may_have_run_ = may_have_run_ || ran;
  if (ran && !route_->repeatable()) return give_up(Cause::time_spent);
  attempt();
}

void Client::answer_whole() {
  connection_ = nullptr;
  const TimePoint now = plane_.timers_.now();
  if (turned_away_) {
    attempt_over(Ended::turned_away);
    last_attempt_ = LastAttempt::turned_away;
    placing_.avoid.push_back(endpoint_);
    if (status_ == 400) return deliver();
    return attempt();
  }
  if (bad_answer_) {
    attempt_over(Ended::failed);
    if (stage_ == Stage::relaying) return break_off(Cause::stream_bad);
    last_attempt_ = LastAttempt::bad_answer;
    placing_.avoid.push_back(endpoint_);
    return after_failure(true);
  }
  if (status_ / 100 == 2) {
    if (!streaming_) plane_.tier(service_).answered(endpoint_, placing_, now - sent_, now);
    attempt_over(Ended::served);
    if (streaming_ && status_ == 200) {
      relay(true);
      return finish_stream();
    }
    return deliver();
  }
  // It has run, or a promise that only an endpoint could give is missing.
  // A 500 is the request's own, and its endpoint works.
  attempt_over(status_ > 500 ? Ended::failed : Ended::served);
  may_have_run_ = true;
  last_attempt_ = LastAttempt::server_error;
  if (status_ >= 500 && route_->repeatable() && attempts_ < route_->max_attempts) {
    placing_.avoid.push_back(endpoint_);
    return attempt();
  }
  const bool promises =
      status_ == 503 || status_ == 429 || status_ == 408 || (status_ == 402 && request_.budget.has_value());
  if (promises && !route_->repeatable()) return give_up(Cause::time_spent);
  deliver();
}

void Client::give_up(Cause unsent_cause) {
  if (may_have_run_) {
    ++plane_.counters_.failed;
    const int status = Tier::spent(left()) ? 504 : 502;
    return answer_own(cause_of_last_attempt(), status, "the endpoint gave no whole answer");
  }
  unreserve();
  answer_own(unsent_cause, 503, "no endpoint can take it now", ComeBack::yes);
}

Cause Client::cause_of_last_attempt() const {
  switch (last_attempt_) {
    case LastAttempt::bad_answer: return Cause::bad_answer;
    case LastAttempt::timed_out: return Cause::endpoint_timeout;
    case LastAttempt::server_error: return Cause::refusal_without_proof;
    case LastAttempt::none:
    case LastAttempt::unsent:
    case LastAttempt::turned_away:
    case LastAttempt::broke_off: break;
  }
  return Cause::endpoint_broke_off;
}

std::string_view Client::name_of(LastAttempt how) {
  switch (how) {
    case LastAttempt::none: return "";
    case LastAttempt::unsent: return "unsent";
    case LastAttempt::broke_off: return "broke_off";
    case LastAttempt::bad_answer: return "bad_answer";
    case LastAttempt::timed_out: return "timed_out";
    case LastAttempt::turned_away: return "turned_away";
    case LastAttempt::server_error: return "server_error";
  }
  return "";
}

// ---- answers

void Client::check_answer_belongs() const {
  for (const auto& [name, value] : answer_fields_) {
    if (!same_name(name, "X-Chutevane-Attempt-Id")) continue;
    common::check_invariant(common::Invariant::answer_belongs_to_exchange,
                            exchange_open_ && value == request_.attempt_id,
                            [&] { return "answer to " + value + " for " + request_.attempt_id; });
  }
}

void Client::write_head(int status, const std::vector<std::pair<std::string, std::string>>& fields) {
  http::Writer out(channel_.out());
  out.status_line(status);
  for (const auto& [name, value] : fields) out.field(name, value);
  if (plane_.closing_ || plane_.leaving_) keep_ = false;
  if (!keep_) out.field("Connection", "close");
}

// Ends the answer. `length`: of the body that a GET would get, where it asked by HEAD.
void Client::write_body(int status, std::string_view body, std::size_t length) {
  http::Writer out(channel_.out());
  const bool no_content = status == 204 || status == 304;
  if (!no_content && request_.method != "HEAD") return out.body(body);
  if (status != 204 && length > 0) out.field("Content-Length", std::to_string(length));
  out.no_body();
}

void Client::deliver() {
  ++plane_.counters_.answered;
  check_answer_belongs();
  if (status_ >= 400 && turned_away_) unreserve();
  write_head(status_, answer_fields_);
  write_body(status_, answer_, stated_length_);
  end_exchange();
}

void Client::answer_own(Cause cause, int status, std::string_view text, ComeBack come_back) {
  if (status == 503) ++plane_.counters_.refused;
  note_failure(cause, status);
  std::vector<std::pair<std::string, std::string>> fields{{"Content-Type", "text/plain"}};
  if (!request_.attempt_id.empty()) fields.emplace_back("X-Chutevane-Attempt-Id", request_.attempt_id);
  if (come_back == ComeBack::yes) fields.emplace_back("Retry-After", plane_.come_back());
  write_head(status, fields);
  write_body(status, text, text.size());
  end_exchange();
}

void Client::note_failure(Cause cause, int status) {
  plane_.failures_.count(cause);
  const TimePoint now = plane_.timers_.now();
  plane_.failures_.log(now, [&] {
    FailureReport report;
    report.cause = cause;
    report.status = status;
    report.attempt_id = request_.attempt_id;
    if (route_ != nullptr) report.route = route_->name;
    report.service = service_;
    report.endpoint = endpoint_;
    report.held = exchange_open_ ? now - began_ : Span();
    report.attempts = attempts_;
    report.last_attempt = name_of(last_attempt_);
    plane_.describe_knowledge(report);
    return report;
  });
}

void Client::break_off(Cause cause) {
  channel_.reset();
  leave(cause);
}

void Client::end_exchange() {
  plane_.timers_.cancel(timer_);
  alive_.reset();
  exchange_open_ = false;
  // What is answered before a request is read whole says nothing of the one before.
  request_ = {};
  stage_ = Stage::reading;
  channel_.flush();
  if (!keep_) {
    stage_ = Stage::ending;
    channel_.end_writing_when_written();
    set_rest_timer(channel_.unsent() > 0 ? idle_limit() : ending_most);
    return;
  }
  set_request_timer();
  channel_.hold(false);
  // What was sent ahead comes in the next turn.
  if (channel_.in_size() > 0) {
    plane_.timers_.cancel(timer_);
    timer_ = plane_.timers_.after(Span(), [this] {
      set_request_timer();
      look();
    });
  }
}

// Passes whole events on as they come.
void Client::relay(bool all) {
  const TimePoint now = plane_.timers_.now();
  std::size_t at = 0;
  while (at < answer_.size()) {
    std::size_t size = whole_event(std::string_view(answer_).substr(at));
    if (size == 0) {
      if (answer_.size() - at > event_most) bad_answer_ = true;
      if (!all) break;
      size = answer_.size() - at;
    }
    const std::string_view one = std::string_view(answer_).substr(at, size);
    const Event event = read_event(one);
    // A piece that is missing or comes twice: what comes is no answer any more.
    if (event.id && last_event_ && *event.id <= *last_event_) {
      bad_answer_ = true;
      return;
    }
    if (event.id) last_event_ = event.id;
    if (!head_out_) {
      head_out_ = true;
      stage_ = Stage::relaying;
      ++plane_.counters_.streams;
      plane_.tier(service_).answered(endpoint_, placing_, now - sent_, now);
      check_answer_belongs();
      write_head(status_, answer_fields_);
      channel_.out().append("Transfer-Encoding: chunked\r\n\r\n");
    }
    char line[24];
    const int n = std::snprintf(line, sizeof line, "%zx\r\n", size);
    channel_.out().append({line, static_cast<std::size_t>(n)});
    channel_.out().append(one);
    channel_.out().append("\r\n");
    if (!event.data.empty()) {
      ++events_;
      ++plane_.counters_.events;
    }
    if (route_->retained) output_.append(event.data);
    at += size;
  }
  answer_.erase(0, at);
  if (at > 0) channel_.flush();
}

void Client::finish_stream() {
  if (bad_answer_) return break_off(Cause::stream_bad);
  if (!head_out_) {
    write_head(status_, answer_fields_);
    channel_.out().append("Transfer-Encoding: chunked\r\n\r\n");
    head_out_ = true;
  }
  if (route_->retained) return keep_turn();
  channel_.out().append("0\r\n\r\n");
  ++plane_.counters_.answered;
  end_exchange();
}

// The answer ends, whole, only once the turn is safe: it counts from then on.
void Client::keep_turn() {
  stage_ = Stage::keeping;
  common::Turn turn;
  turn.id = request_.attempt_id;
  turn.previous = request_.previous;
  turn.program = request_.program;
  turn.input.data = std::move(request_.body);
  turn.output.data = std::move(output_);
  turn.keep_ms = static_cast<std::int64_t>(route_->retention.as_ms());
  const common::Service* const service = configuration_->service(service_);
  const int per_event = service != nullptr && service->engine ? service->engine->tokens_per_event : 1;
  const std::int64_t used = reserved_ ? static_cast<std::int64_t>(events_) * per_event : -1;
  plane_.ledger_.keep(turn, used, deadline_, guarded([this](bool kept) {
                        if (!kept) return break_off(Cause::turn_not_kept);
                        ++plane_.counters_.turns_kept;
                        ++plane_.counters_.answered;
                        channel_.out().append("0\r\n\r\n");
                        end_exchange();
                      }));
}

void Client::channel_gone(net::Channel&) { leave(Cause::client_left); }

void Client::leave(Cause cause) {
  common::check_invariant(common::Invariant::exchange_ends_once, stage_ != Stage::over,
                          [&] { return request_.attempt_id + ", " + std::string(edge::name_of(cause)); });
  const bool answer_cut = channel_.unsent() > 0;
  if (request_in_hand() || answer_cut) note_failure(cause, 0);
  alive_.reset();
  plane_.timers_.cancel(timer_);
  bool reached_endpoint = may_have_run_;
  if (connection_ != nullptr)
    reached_endpoint = plane_.endpoints_.give_up(*std::exchange(connection_, nullptr)) || reached_endpoint;
  attempt_over(Ended::left);
  if (!reached_endpoint && (stage_ == Stage::preparing || stage_ == Stage::asking)) unreserve();
  exchange_open_ = false;
  stage_ = Stage::over;
  plane_.clients_.retire(*this);
}

}  // namespace chutevane::edge
