/// The operators' HTTP API of a controller (api/operators.yaml): configurations, retirements, status.
///
/// A rejection (4xx) is based on a value that a majority has chosen, or on the request alone. A request whose
/// outcome is undetermined is answered with 503 and Retry-After; the caller then sends it again unchanged.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "common/http_server.hpp"
#include "common/messages.hpp"
#include "common/metrics.hpp"
#include "common/rate_limited_log.hpp"
#include "control/configuration_submission.hpp"
#include "control/control_status.hpp"
#include "control/register.hpp"
#include "http/parser.hpp"

namespace chutevane::control {

/// Serves the calls by reading and changing the register; its host provides the rest. Everything runs on the
/// event loop.
class OperatorApi {
 public:
  /// The functions that this API needs from its controller.
  class Host {
   public:
    /// Notifies the other controllers of a value that was chosen here.
    virtual void announce(const common::RegisterValue& chosen) = 0;
    /// Calls back once the edges with a session here have acknowledged the value of that number, or after a
    /// timeout.
    virtual void notify_when_acknowledged(std::int64_t number, std::function<void()> callback) = 0;
    /// Returns the edges and storage nodes with a session at this or another controller.
    virtual std::vector<common::Member> members() const = 0;
    /// Returns true if members() contains all members in contact; false after a start and while a peer is out
    /// of contact.
    virtual bool are_members_complete() const = 0;
    virtual ControlStatus status() const = 0;

   protected:
    ~Host() = default;
  };

  /// `losses`: number of storage nodes that may be lost at the same time. `history_limit`: maximum number of
  /// accepted configurations in the history; it must be the same at all controllers.
  OperatorApi(Register& reg, Host& host, std::size_t losses,
              std::size_t history_limit = configuration_history_limit);

  /// Handles one request. Replies exactly once, from within this call or later.
  void serve(const http::Parser& request, common::HttpServer::Reply reply);
  void write_metrics(common::MetricsWriter& out) const;

 private:
  /// Outcome of a submission or a read. label_of() gives its label of the metric `chutevane_control_orders`.
  enum class Outcome : std::uint8_t { accepted, invalid, superseded, undetermined, read, read_undetermined };
  static constexpr std::size_t outcome_count = static_cast<std::size_t>(Outcome::read_undetermined) + 1;
  static std::string_view label_of(Outcome outcome);
  /// Counts the outcome. Logs rejections and undetermined outcomes with the state on which they are based.
  void record(Outcome outcome, const ConfigurationSubmission& submission, std::string_view cause);
  /// Counts and logs a call that this API does not have, and replies with 404.
  void reject_unknown_call(const http::Parser& request, const common::HttpServer::Reply& reply);

  void replace_configuration(const http::Parser& request, common::HttpServer::Reply reply);
  void submit(ConfigurationSubmission submission, common::HttpServer::Reply reply);
  void answer_submission(const ConfigurationSubmission& submission,
                         const absl::StatusOr<common::RegisterValue>& chosen,
                         const common::HttpServer::Reply& reply);
  void answer_when_acknowledged(const common::RegisterValue& chosen, std::int64_t version,
                                const common::HttpServer::Reply& reply);
  void retrieve_configuration(const common::HttpServer::Reply& reply);
  void retrieve_history(const common::HttpServer::Reply& reply);
  void initiate_retirement(const std::string& node, const common::HttpServer::Reply& reply);
  void retrieve_retirement(const std::string& node, const common::HttpServer::Reply& reply);
  common::HttpResponse unknown_node_response(const std::string& node) const;

  Register& register_;
  Host& host_;
  const std::size_t losses_;
  const std::size_t history_limit_;
  static constexpr int max_log_lines_per_second = 10;
  std::array<std::uint64_t, outcome_count> outcomes_{};
  std::uint64_t unknown_calls_ = 0;
  common::RateLimitedLog rejection_log_{"order.not_taken", max_log_lines_per_second};
  common::RateLimitedLog unknown_call_log_{"call.unknown", max_log_lines_per_second};
};

}  // namespace chutevane::control
