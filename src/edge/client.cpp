#include "edge/client.hpp"

#include <algorithm>

#include "edge/data_plane.hpp"

namespace chutevane::edge {
namespace {

constexpr std::size_t pipelined_most = 256 * 1024;  // bytes that a client may send ahead of its answer
constexpr std::size_t fields_most = 100;            // of a request's head
constexpr Span answer_spare = Span::ms(2);          // of the client's time, for the way back
constexpr Span start_most = Span::ms(700);  // for what a sidecar that has just started does not know yet
constexpr double start_part = 0.5;          // of the client's time, at most, for the same
constexpr Span start_look = Span::ms(20);   // between looks whether it does
constexpr Span storage_most =
    Span::ms(1500);  // for storage that takes over: longer is told, with when to come back
constexpr Span unread_look = Span::ms(1);     // what has arrived is read by then
constexpr Span unlimited = Span::ms(600000);  // where neither client nor route states a time

}  // namespace

Client::Client(DataPlane& plane)
    : plane_(plane),
      channel_(plane.scheduler_, static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::request),
      budget_(plane.storage_) {
  set_request_timer();
}

Client::~Client() { plane_.timers_.cancel(timer_); }

void Client::close(FailureCause cause) {
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
  if (!parser_.begun()) return close(FailureCause::client_stalled);
  stage_ = Stage::preparing;
  keep_ = false;
  answer_own(FailureCause::slow_request, 408, "the request did not come whole in time");
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
  if (stage_ != Stage::reading || !channel_.unread()) return close(FailureCause::client_stalled);
  // A request has arrived, and was not read yet: this process stood still, not the client.
  timer_ = plane_.timers_.after(unread_look, [this] { request_late(); });
}

void Client::on_channel_flushed(net::Channel&) {
  if (stage_ == Stage::ending) set_rest_timer(ending_most);
  if (stage_ == Stage::reading && !parser_.begun() && channel_.in_size() == 0) set_rest_timer(idle_limit());
}

void Client::on_channel_data(net::Channel&) {
  if (stage_ == Stage::reading) {
    look();
  } else if (stage_ == Stage::ending) {
    channel_.in().consume(channel_.in_size());  // it is not answered any more
  } else if (channel_.in_size() > pipelined_most) {
    channel_.set_reading_paused(true);
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
    answer_own(FailureCause::malformed_request, parser_.status_of_error(), parser_.error());
    return;
  }
  begin();
}

void Client::begin() {
  began_ = plane_.timers_.now();
  exchange_open_ = true;
  ++plane_.counters_.requests;
  keep_ = parser_.keep_alive() && !plane_.closing_;
  ParsedClientRequest parsed = parse_client_request(parser_);
  request_ = std::move(parsed.request);
  const std::string wrong = std::move(parsed.error);
  channel_.in().consume(parser_.size());
  parser_.reset();
  told_to_go_on_ = false;
  body_.clear();
  output_.clear();
  budget_.abandon();
  may_have_run_ = head_out_ = false;
  attempts_ = tries_ = 0;
  events_ = 0;
  last_event_.reset();
  placing_ = {};
  route_ = nullptr;
  service_.clear();
  endpoint_.clear();
  last_attempt_ = LastAttempt::none;
  if (!wrong.empty()) return answer_own(FailureCause::malformed_request, 400, wrong);
  route();
}

void Client::route() {
  // A sidecar that has just started knows within a moment where to send it: that is sooner than another try.
  const Span wait = std::min(start_most, request_.time_remaining.value_or(unlimited) * start_part);
  if (!plane_.knows_enough() && plane_.timers_.now() - began_ < wait) {
    timer_ = plane_.timers_.after(start_look, guarded([this] { route(); }));
    return;
  }
  configuration_ = plane_.configuration_;
  if (!configuration_)
    return answer_own(FailureCause::no_configuration, 503, "no configuration yet", ComeBack::yes);
  route_ = configuration_->route_of(request_.host,
                                    std::string_view(request_.target).substr(0, request_.target.find('?')));
  if (route_ == nullptr) {
    // One that hears of no control may have missed the route.
    if (plane_.sessions_->usable_count() == 0)
      return answer_own(FailureCause::route_uncertain, 503, "no route known here yet", ComeBack::yes);
    return answer_own(FailureCause::no_route, 404, "no route");
  }
  deadline_ = began_ + std::min(request_.time_remaining.value_or(unlimited), route_->timeout);
  service_ = plane_.service_for(*route_);
  streaming_ = route_->type == common::RouteType::streaming && request_.method != "HEAD";
  if (route_->affinity) {
    placing_.has_affinity = true;
    placing_.prompt = request_.prompt;
  }
  if (route_->retained) {
    prepare();
  } else {
    body_ = request_.body;
    reserve();
  }
}

// ---- turns

void Client::prepare() {
  if (request_.attempt_id.empty())
    return answer_own(FailureCause::missing_attempt_id, 400, "X-Chutevane-Attempt-Id: missing");
  if (request_.previous_turn.empty()) {
    body_ = request_.body;
    return reserve();
  }
  plane_.storage_.find_chain(request_.previous_turn, request_.program, request_.attempt_id, storage_until(),
                             guarded([this](TurnChain chain) {
                               if (chain.result == LookupResult::not_found) {
                                 ++plane_.counters_.not_found;
                                 return answer_own(FailureCause::no_such_turn, 404, "no such turn");
                               }
                               if (chain.result == LookupResult::unavailable) {
                                 ++plane_.counters_.unsure;
                                 return answer_own(FailureCause::turn_uncertain, 503,
                                                   "not certain yet whether there is such a turn",
                                                   ComeBack::yes);
                               }
                               std::size_t size = request_.body.size();
                               for (const auto& t : chain.turns)
                                 size += t->input.data.size() + t->output.data.size();
                               body_.reserve(size);
                               for (const auto& t : chain.turns)
                                 body_.append(t->input.data).append(t->output.data);
                               body_.append(request_.body);
                               reserve();
                             }));
}

TimePoint Client::storage_until() const {
  return std::min(deadline_ - answer_spare, plane_.timers_.now() + storage_most);
}

void Client::reserve() {
  placing_.body_bytes = static_cast<double>(body_.size());
  if (!holds_budget()) return attempt();
  if (request_.attempt_id.empty())
    return answer_own(FailureCause::missing_attempt_id, 400, "X-Chutevane-Attempt-Id: missing");
  if (request_.program.empty()) return answer_own(FailureCause::missing_program, 400, "Program: missing");
  budget_.open(request_.program, request_.attempt_id);
  // One that does not say how much it may generate may generate all that there is.
  plane_.storage_.reserve(request_.program, request_.attempt_id,
                          request_.max_output_tokens.value_or(*request_.token_budget), *request_.token_budget,
                          storage_until(), guarded([this](ReservationResult granted) {
                            if (granted == ReservationResult::exhausted) {
                              ++plane_.counters_.spent;
                              budget_.release();
                              return answer_own(FailureCause::budget_spent, 402, "the budget is spent");
                            }
                            if (granted == ReservationResult::unavailable) {
                              budget_.release();
                              return answer_own(FailureCause::budget_uncertain, 503,
                                                "budgets cannot be set aside now", ComeBack::yes);
                            }
                            attempt();
                          }));
}

// Only streams generate tokens: they alone are counted.
bool Client::holds_budget() const {
  return request_.token_budget && route_->type == common::RouteType::streaming;
}

std::optional<std::int64_t> Client::tokens_passed_on() const {
  const common::Service* const service = configuration_->service(service_);
  if (service == nullptr || !service->engine) return std::nullopt;
  return static_cast<std::int64_t>(events_) * service->engine->tokens_per_event;
}

}  // namespace chutevane::edge
