#include "lab/tier/coordination_client.hpp"

#include <utility>

namespace chutevane::lab::tier {
namespace {

constexpr Span silence_limit = Span::ms(1000);  // a controller that has not answered by then is gone
constexpr int too_many_requests = 429;

}  // namespace

CoordinationClient::CoordinationClient(Shared& shared, std::size_t first_controller, ControllerChoice choice)
    : shared_(shared),
      controller_(first_controller % shared.controllers.size()),
      choice_(choice),
      connections_(shared.controllers.size()) {}

CoordinationClient::~CoordinationClient() {
  shared_.timers.cancel(due_);
  for (HttpConnection* const connection : connections_) {
    if (connection == nullptr) continue;
    connection->on_gone({});
    connection->close();
  }
}

HttpConnection& CoordinationClient::open_connection() {
  HttpConnection*& connection = connections_[controller_];
  if (connection != nullptr && connection->reusable()) return *connection;
  if (connection != nullptr) connection->close();
  connection = &shared_.connector.open(shared_.controllers[controller_]);
  connection->on_gone([this, at = controller_](HttpConnection&) { connections_[at] = nullptr; });
  return *connection;
}

void CoordinationClient::call(const CoordinationCall& call, Done done) {
  call_ = call;
  done_ = std::move(done);
  status_ = 0;
  body_.clear();
  sent_at_ = shared_.timers.now();
  id_ = shared_.auditor.sent(call, sent_at_);
  due_ = shared_.timers.after(silence_limit + call.wait, [this] { end(false); });
  const std::string host = net::text_of(shared_.controllers[controller_]);
  open_connection().ask(*this, coordination_request_text(call, host));
}

void CoordinationClient::end(bool is_whole) {
  shared_.timers.cancel(due_);
  if (!is_whole && connections_[controller_] != nullptr) connections_[controller_]->close();
  CoordinationAnswer answer;
  if (is_whole) answer = read_coordination_answer(call_.kind, status_, body_);
  const TimePoint now = shared_.timers.now();
  shared_.auditor.ended(id_, answer, now);
  const auto kind = static_cast<std::size_t>(call_.kind);
  ++shared_.figures.calls[kind][static_cast<std::size_t>(answer.outcome)];
  const bool is_timed = answer.outcome != CoordinationOutcome::unclear &&
                        answer.outcome != CoordinationOutcome::refused &&
                        call_.kind != CoordinationKind::watch && !call_.at_end;
  if (is_timed) shared_.figures.latency_ms[kind].push_back((now - sent_at_).as_ms());
  choose_controller(is_whole);
  const Done told = std::exchange(done_, nullptr);
  told(answer);
}

void CoordinationClient::choose_controller(bool is_whole) {
  const bool is_refusal = is_whole && (status_ / 100 == 5 || status_ == too_many_requests);
  const bool leaves = !is_whole || (is_refusal && choice_ == ControllerChoice::leaves_on_refusal);
  if (leaves && choice_ != ControllerChoice::fixed)
    controller_ = (controller_ + 1) % shared_.controllers.size();
}

}  // namespace chutevane::lab::tier
