/// One caller of the controllers' coordination calls: its connections, one call at a time, and the figures of
/// all callers.
///
/// A connection that is open is used until it is gone: its process has ended it or reset it, or has not
/// answered for a second. Then another controller is asked.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/statistics.hpp"
#include "lab/tier/coordination_auditor.hpp"
#include "lab/tier/coordination_call.hpp"
#include "lab/tier/http_exchange.hpp"

namespace chutevane::lab::tier {

struct CoordinationFigures {
  std::array<std::array<std::uint64_t, coordination_outcomes>, coordination_kinds> calls{};
  /// In milliseconds, from sending, of calls with a clear answer. Neither of watches, which wait on purpose,
  /// nor of calls at the end, which come all at once.
  std::array<std::vector<double>, coordination_kinds> latency_ms;
  std::uint64_t of(CoordinationKind kind, CoordinationOutcome outcome) const {
    return calls[static_cast<std::size_t>(kind)][static_cast<std::size_t>(outcome)];
  }
};

/// When a caller goes to another controller.
enum class ControllerChoice : std::uint8_t {
  leaves_on_refusal,  ///< after a 5xx or a 429 too; the open connection is kept for later
  stays_until_gone,   ///< only once the connection is gone
  fixed,              ///< never
};

class CoordinationClient final : HttpConnection::ResponseHandler {
 public:
  using Done = std::function<void(const CoordinationAnswer&)>;
  /// What all callers have in common; outlives them.
  struct Shared {
    HttpConnector& connector;
    net::TimerQueue& timers;
    std::vector<sockaddr_in> controllers;
    CoordinationAuditor auditor;
    CoordinationFigures figures;
  };
  CoordinationClient(Shared& shared, std::size_t first_controller, ControllerChoice choice);
  ~CoordinationClient();
  CoordinationClient(const CoordinationClient&) = delete;
  CoordinationClient& operator=(const CoordinationClient&) = delete;

  /// `done` is called once. No other call may be under way.
  void call(const CoordinationCall& call, Done done);
  bool is_calling() const { return done_ != nullptr; }

 private:
  HttpConnection& open_connection();
  void end(bool is_whole);
  void choose_controller(bool is_whole);
  void on_head(const http::Parser& answer) override { status_ = answer.status(); }
  void on_body(std::string_view piece) override { body_ += piece; }
  void on_complete() override { end(true); }
  void on_failed(bool) override { end(false); }

  Shared& shared_;
  std::size_t controller_;
  const ControllerChoice choice_;
  std::vector<HttpConnection*> connections_;  ///< by controller; null: none is open
  CoordinationCall call_;
  CoordinationAuditor::CallId id_ = 0;
  TimePoint sent_at_;
  Done done_;
  int status_ = 0;
  std::string body_;
  net::TimerQueue::Handle due_;
};

}  // namespace chutevane::lab::tier
