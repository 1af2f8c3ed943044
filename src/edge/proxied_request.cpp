/// ProxiedRequest before its first attempt: routing, previous turns and budget.
#include "edge/proxied_request.hpp"

#include <algorithm>

#include "edge/data_plane.hpp"
#include "edge/downstream_connection.hpp"

namespace chutevane::edge {
namespace {

constexpr Span response_reserve = Span::ms(2);    // part of the client's time kept for sending the response
constexpr Span storage_timeout = Span::ms(1500);  // a longer failover is answered with Retry-After
constexpr Span startup_wait = Span::ms(700);      // for the routing state of a process that has just started
// Wait while the routes are unknown: a response is due within half a second after any route's timeout.
constexpr Span unknown_route_wait = Span::ms(400);
constexpr double startup_wait_fraction = 0.5;  // upper bound of the wait, of the client's and route's time
constexpr Span startup_poll_interval = Span::ms(20);
constexpr Span default_time_limit = Span::ms(600000);  // if neither the client nor the route states a limit

}  // namespace

ProxiedRequest::ProxiedRequest(DataPlane& plane, DownstreamConnection& connection)
    : plane_(plane), connection_(connection), received_at_(plane.timers().now()), budget_(plane.storage()) {}

ProxiedRequest::~ProxiedRequest() { plane_.timers().cancel(timer_); }

void ProxiedRequest::start(ParsedClientRequest parsed) {
  is_in_progress_ = true;
  ++plane_.counters().requests;
  request_ = std::move(parsed.request);
  if (!parsed.error.empty()) return respond(FailureCause::malformed_request, 400, parsed.error);
  choose_route();
}

void ProxiedRequest::reject(FailureCause cause, int status, std::string_view text) {
  respond(cause, status, text, status == 503 ? RetryAfter::yes : RetryAfter::no);
}

Span ProxiedRequest::time_left() const { return deadline_ - plane_.timers().now(); }

ServiceBalancer& ProxiedRequest::balancer() const { return plane_.balancer_for(service_); }

void ProxiedRequest::add_to(FailureReport& report) const {
  report.attempt_id = request_.attempt_id;
  if (route_ != nullptr) report.route = route_->name;
  report.service = service_;
  report.endpoint = attempt_.endpoint_id;
  report.elapsed = is_in_progress_ ? plane_.timers().now() - received_at_ : Span();
  report.attempts = attempts_;
  report.last_attempt = name_of(last_result_);
}

// ---- route

Span ProxiedRequest::startup_wait_limit() const {
  const Span client_limit = request_.time_remaining.value_or(default_time_limit) * startup_wait_fraction;
  const std::string_view path = std::string_view(request_.target).substr(0, request_.target.find('?'));
  const auto& configuration = plane_.configuration();
  const common::Route* const route = configuration ? configuration->route_of(request_.host, path) : nullptr;
  if (route == nullptr) return std::min(unknown_route_wait, client_limit);
  return std::min({startup_wait, client_limit, route->timeout * startup_wait_fraction});
}

void ProxiedRequest::choose_route() {
  // A process that has just started receives its routes and endpoints shortly, so waiting for them is faster
  // than a retry by the client.
  if (!plane_.has_routing_state() && plane_.timers().now() - received_at_ < startup_wait_limit()) {
    timer_ = plane_.timers().after(startup_poll_interval, guarded([this] { choose_route(); }));
    return;
  }
  configuration_ = plane_.configuration();
  if (!configuration_)
    return respond(FailureCause::no_configuration, 503, "no configuration yet", RetryAfter::yes);
  const std::string_view path = std::string_view(request_.target).substr(0, request_.target.find('?'));
  route_ = configuration_->route_of(request_.host, path);
  if (route_ == nullptr) {
    // Without a session with control, the route may exist in a newer configuration.
    if (!plane_.has_control_session())
      return respond(FailureCause::route_uncertain, 503, "no route known here yet", RetryAfter::yes);
    return respond(FailureCause::no_route, 404, "no route");
  }
  deadline_ = received_at_ + std::min(request_.time_remaining.value_or(default_time_limit), route_->timeout);
  service_ = plane_.choose_service(*route_);
  is_stream_ = route_->type == common::RouteType::streaming && request_.method != "HEAD";
  if (route_->affinity) {
    placement_.has_affinity = true;
    placement_.prompt = request_.prompt;
  }
  if (route_->retained) return load_previous_turns();
  reserve_budget();
}

// ---- previous turns and budget

void ProxiedRequest::load_previous_turns() {
  if (request_.attempt_id.empty())
    return respond(FailureCause::missing_attempt_id, 400, "X-Chutevane-Attempt-Id: missing");
  if (request_.previous_turn.empty()) return reserve_budget();
  plane_.storage().find_chain(request_.previous_turn, request_.program, request_.attempt_id,
                              storage_deadline(),
                              guarded([this](TurnChain chain) { on_previous_turns(std::move(chain)); }));
}

void ProxiedRequest::on_previous_turns(TurnChain chain) {
  if (chain.result == LookupResult::not_found) {
    ++plane_.counters().turns_not_found;
    return respond(FailureCause::no_such_turn, 404, "no such turn");
  }
  if (chain.result == LookupResult::unavailable) {
    ++plane_.counters().turns_uncertain;
    return respond(FailureCause::turn_uncertain, 503, "not certain yet whether there is such a turn",
                   RetryAfter::yes);
  }
  previous_turns_ = std::move(chain.turns);
  previous_turns_charge_ = std::move(chain.charge);
  reserve_budget();
}

std::vector<std::string_view> ProxiedRequest::body_parts() const {
  std::vector<std::string_view> parts;
  parts.reserve(previous_turns_.size() * 2 + 1);
  for (const auto& turn : previous_turns_) {
    parts.emplace_back(turn->input.data);
    parts.emplace_back(turn->output.data);
  }
  parts.push_back(request_.body.view());
  return parts;
}

TimePoint ProxiedRequest::storage_deadline() const {
  return std::min(deadline_ - response_reserve, plane_.timers().now() + storage_timeout);
}

// Only streams generate tokens, so only they need a budget.
bool ProxiedRequest::needs_budget() const {
  return request_.token_budget && route_->type == common::RouteType::streaming;
}

void ProxiedRequest::reserve_budget() {
  std::size_t body_size = 0;
  for (const std::string_view part : body_parts()) body_size += part.size();
  placement_.body_bytes = static_cast<double>(body_size);
  if (!needs_budget()) return start_attempt();
  if (request_.attempt_id.empty())
    return respond(FailureCause::missing_attempt_id, 400, "X-Chutevane-Attempt-Id: missing");
  if (request_.program.empty()) return respond(FailureCause::missing_program, 400, "Program: missing");
  budget_.open(request_.program, request_.attempt_id);
  // A request that does not state its maximum output may use the whole budget.
  const std::int64_t tokens = request_.max_output_tokens.value_or(*request_.token_budget);
  plane_.storage().reserve(request_.program, request_.attempt_id, tokens, *request_.token_budget,
                           storage_deadline(),
                           guarded([this](ReservationResult result) { on_budget_reserved(result); }));
}

void ProxiedRequest::on_budget_reserved(ReservationResult result) {
  if (result == ReservationResult::exhausted) {
    ++plane_.counters().budgets_exhausted;
    budget_.release();
    return respond(FailureCause::budget_spent, 402, "the budget is spent");
  }
  if (result == ReservationResult::unavailable) {
    budget_.release();
    return respond(FailureCause::budget_uncertain, 503, "budgets cannot be set aside now", RetryAfter::yes);
  }
  start_attempt();
}

}  // namespace chutevane::edge
