#include "tier_simulation/coordination_client.hpp"

#include <utility>

#include "tier_simulation/coordination_calls.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr Span answer_timeout = Span::ms(1000);   // then a client goes to another controller
constexpr Span max_lossy_timeout = Span::ms(60);  // where the answer is to be lost

std::string target_of(const std::string& request) { return request.substr(0, request.find(" HTTP")); }

}  // namespace

void CoordinationClient::choose_controller() {
  const std::vector<sockaddr_in> all = context_.deployment.control_addresses();
  std::size_t next = draw_below(all.size());
  const bool is_same = controller_ && net::text_of(all[next]) == net::text_of(*controller_);
  if (is_same) next = (next + 1) % all.size();
  controller_ = all[next];
}

void CoordinationClient::send(const std::string& request, Callback callback, Span extra_wait) {
  if (!controller_) choose_controller();
  const bool loses_reply = happens(load().reply_loss_probability);
  const Span timeout = loses_reply ? max_lossy_timeout * random_.unit() : answer_timeout + extra_wait;
  const sockaddr_in to = *controller_;
  context_.http_client.call(
      to, request, timeout,
      [this, to, request, callback = std::move(callback)](const std::optional<HttpResult>& result) {
        context_.deployment.simulator().trace().record(
            now(), "coordination %s: %s, %s says %d %s", name_.c_str(), target_of(request).c_str(),
            net::text_of(to).c_str(), result ? result->status : 0, result ? result->body.c_str() : "");
        const CallOutcome outcome = outcome_of(result);
        const bool is_clear = outcome != CallOutcome::unclear && outcome != CallOutcome::refused;
        if (is_clear) ++context_.answered;
        if (!is_clear) choose_controller();
        callback(result);
      });
}

void CoordinationClient::run_after(Span span, std::function<void()> function) {
  context_.http_client.timers().after(span, std::move(function));
}

Span CoordinationClient::draw_pause() {
  return load().min_pause + (load().max_pause - load().min_pause) * random_.unit();
}

}  // namespace chutevane::tier_simulation
