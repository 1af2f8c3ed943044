/// \file
/// What all clients of the coordination service have in common: the load, and how a call is sent.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "tier_simulation/coordination_checker.hpp"
#include "tier_simulation/deployment.hpp"
#include "tier_simulation/http_client.hpp"

namespace chutevane::tier_simulation {

struct CoordinationLoad {
  bool is_on = false;
  std::size_t lock_callers = 4, locks = 3;
  std::size_t election_callers = 3, elections = 2;
  std::size_t number_callers = 2, numbers = 2;
  std::size_t key_callers = 4, groups = 2, keys_of_group = 3;
  std::size_t watchers = 3;
  Span min_pause = Span::ms(20), max_pause = Span::ms(400);  ///< between a caller's calls
  Span lock_hold = Span::ms(600);
  Span election_hold = Span::ms(2500);
  double reply_loss_probability = 0.05;  ///< the caller does not wait for the answer of a call
};

/// How long a call is asked again at the end of a run, until its answer counts as lost.
inline constexpr Span max_final_duration = Span::ms(4000);

/// What the clients of one run share.
struct CoordinationContext {
  Deployment& deployment;
  HttpClient& http_client;
  CoordinationChecker& checker;
  const CoordinationLoad load;
  const Span history;
  bool is_stopped = false;
  std::size_t answered = 0;  ///< calls with a clear answer
};

class CoordinationClient {
 public:
  CoordinationClient(CoordinationContext& context, std::string name, std::uint64_t seed)
      : context_(context), name_(std::move(name)), random_(seed) {}
  virtual ~CoordinationClient() = default;
  CoordinationClient(const CoordinationClient&) = delete;
  CoordinationClient& operator=(const CoordinationClient&) = delete;

  virtual void begin() {}
  /// The run ends: asks for what was acknowledged.
  virtual void begin_final() {}
  /// Reports what has not been answered since.
  virtual void finish_final() {}

 protected:
  using Callback = std::function<void(const std::optional<HttpResult>&)>;
  /// Sends it to the client's controller. Without a clear answer the client goes to another one.
  /// `extra_wait`: for how long the controller may hold the call back.
  void send(const std::string& request, Callback callback, Span extra_wait = Span::ms(0));
  /// The next calls go to another controller, drawn at random.
  void choose_controller();
  void run_after(Span span, std::function<void()> function);
  Span draw_pause();
  bool happens(double probability) { return random_.unit() < probability; }
  std::size_t draw_below(std::size_t n) { return random_.next() % n; }
  TimePoint now() const { return context_.http_client.timers().now(); }
  CoordinationChecker& checker() { return context_.checker; }
  const CoordinationLoad& load() const { return context_.load; }

  CoordinationContext& context_;
  const std::string name_;
  Pcg random_;

 private:
  std::optional<sockaddr_in> controller_;
};

}  // namespace chutevane::tier_simulation
