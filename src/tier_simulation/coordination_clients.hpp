/// \file
/// The applications that call for locks, elections, numbers, keys and watches, and what they ask for at the
/// end of a run. What they saw goes to a CoordinationChecker.
///
/// A client that has waited a second without an answer closes the connection and goes to another controller.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tier_simulation/coordination_checker.hpp"
#include "tier_simulation/coordination_client.hpp"

namespace chutevane::tier_simulation {

class CoordinationClients {
 public:
  /// `history`: for how long a watch may resume. All that is passed must outlive this object.
  CoordinationClients(Deployment& deployment, HttpClient& http_client, const CoordinationLoad& load,
                      Span history, std::function<void(const std::string&, const std::string&)> report,
                      std::uint64_t seed);
  CoordinationClients(const CoordinationClients&) = delete;
  CoordinationClients& operator=(const CoordinationClients&) = delete;
  void begin();
  /// Begins no more calls but those of watches; puts are sent again until they are clear.
  void stop();
  /// Asks for all keys, locks and numbers, and resumes watches from saved revisions. All has to be answered
  /// within max_final_duration, then finish() may be called.
  void ask_for_all();
  void finish();
  /// Calls with a clear answer.
  [[nodiscard]] std::size_t answered() const { return context_.answered; }

 private:
  CoordinationChecker checker_;
  CoordinationContext context_;
  std::vector<std::unique_ptr<CoordinationClient>> clients_;
};

}  // namespace chutevane::tier_simulation
