/// \file
/// Operators that change the configuration, and readers that read it.
#pragma once

#include <string>

#include "tier_simulation/checker.hpp"
#include "tier_simulation/deployment.hpp"
#include "tier_simulation/http_client.hpp"

namespace chutevane::tier_simulation {

struct OperatorLoad {
  std::size_t operators = 2, readers = 1;
  Span min_pause = Span::ms(50), max_pause = Span::ms(1200);  ///< between an operator's submissions
  Span read_pause = Span::ms(600);
  double next_number_probability = 0.5;  ///< a submission takes the next version, as others do
  double reply_loss_probability = 0.05;  ///< the reply to a call is lost
  double duplicate_probability = 0.05;   ///< a call is sent a second time at once
  double preferred_probability = 0.0;    ///< a call goes to the preferred machine
  std::size_t filler_size = 0;           ///< bytes added to each configuration
  bool has_traffic_routes = false;       ///< each configuration has the routes that clients call
};

/// The control machine that the newest fault was done to: calls that go there meet it. Null: none.
struct PreferredMachine {
  const Machine* machine = nullptr;
};

/// One operator: one submission at a time, retried unchanged at any control machine until its outcome is
/// clear.
class Operator {
 public:
  Operator(Deployment& deployment, HttpClient& http_client, Checker& checker, const OperatorLoad& load,
           const PreferredMachine& preferred, std::string name, std::uint64_t seed);
  void begin() { schedule_next(); }
  /// Begins no more submissions; the last one is retried until it is clear.
  void stop() { stopped_ = true; }
  /// Called with the control machine that has acknowledged a submission.
  std::function<void(const sockaddr_in&)> on_acknowledged;

 private:
  void schedule_next();
  void submit_new();
  void send_attempt();
  void handle_result(Submission& submission, const sockaddr_in& from,
                     const std::optional<HttpResult>& result);
  void on_reply(Submission& submission);
  void read_current();
  sockaddr_in choose_control();

  Deployment& deployment_;
  HttpClient& http_client_;
  Checker& checker_;
  const OperatorLoad load_;
  const PreferredMachine& preferred_machine_;
  const std::string name_;
  Pcg random_;
  std::int64_t base_ = 0;  // the newest version that it knows
  Submission* submission_ = nullptr;
  std::size_t attempts_ = 0, last_number_ = 0;
  bool stopped_ = false;
};

// Reads the configuration from any control machine, again and again.
class Reader {
 public:
  Reader(Deployment& deployment, HttpClient& http_client, Checker& checker, const OperatorLoad& load,
         const PreferredMachine& preferred, std::uint64_t seed);
  void begin();

 private:
  Deployment& deployment_;
  HttpClient& http_client_;
  Checker& checker_;
  const OperatorLoad load_;
  const PreferredMachine& preferred_machine_;
  Pcg random_;
};

}  // namespace chutevane::tier_simulation
