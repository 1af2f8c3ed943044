// One client's connection: its requests one after the other, each from its first byte to the last of its
// answer.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "common/configuration.hpp"
#include "edge/budget_reservation.hpp"
#include "edge/client_request.hpp"
#include "edge/request_failure.hpp"
#include "edge/service_balancer.hpp"
#include "edge/upstream_pool.hpp"
#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::edge {

class DataPlane;

class Client final : net::Channel::Observer, ResponseHandler {
 public:
  explicit Client(DataPlane& plane);
  ~Client();
  void adopt(int fd) { channel_.adopt(fd); }
  // Nothing of a request has come, and nothing of an answer has still to go out.
  bool idle() const { return stage_ == Stage::reading && channel_.unsent() == 0 && channel_.quiet(); }
  // Ends the connection; a request in hand ends with it, for that cause.
  void close(FailureCause cause);
  // An attempt of it is charged to an endpoint.
  bool attempt_open() const { return attempt_open_; }
  std::size_t group_index = 0;

 private:
  friend class DataPlane;
  static constexpr Span ending_most =
      Span::ms(1000);  // for the client's end, once its last answer has gone out
  enum class Stage : std::uint8_t {
    reading,
    preparing,
    asking,
    relaying,
    keeping,
    ending,  // the last answer is on its way; then the client's end is awaited
    over
  };

  void on_channel_data(net::Channel&) override;
  void on_channel_flushed(net::Channel&) override;
  void on_channel_closed(net::Channel&) override;
  void on_response_head(const http::Parser& response) override;
  void on_response_body(std::string_view piece) override;
  void on_response_complete() override;
  void on_response_failed(UpstreamFailure how) override;

  void look();
  void begin();
  void route();
  TimePoint storage_until() const;
  void set_request_timer();
  void request_late();
  void set_rest_timer(Span most, Span rested = Span());
  void rest_over(Span most, std::size_t unsent_before);
  http::Limits request_limits() const;
  Span idle_limit() const;
  // A turn: its chain, then its budget.
  void prepare();
  void reserve();
  bool holds_budget() const;
  void attempt();
  void send_attempt();
  void attempt_due();
  void attempt_over(AttemptOutcome how);
  void begin_attempt(const Endpoint& to, TimePoint now);
  void first_event_came(TimePoint now);
  void after_failure(bool may_have_run);
  // A stream of which a part is at the client has lost its endpoint: it is taken up elsewhere, or broken off.
  void resume_or_break_off(FailureCause cause);
  // Answers in place of an endpoint: 502 or 504 where it may have run, else 503 for that cause.
  void give_up(FailureCause unsent_cause);
  FailureCause cause_of_last_attempt() const;
  FailureCause cause_of_break() const;
  void deliver();
  void relay(bool all);
  void finish_stream();
  // Of what was handed to the client: no more will be.
  void settle_budget();
  void keep_turn();
  void end_exchange();

  enum class ComeBack : std::uint8_t { no, yes };
  void answer_own(FailureCause cause, int status, std::string_view text, ComeBack come_back = ComeBack::no);
  // Part of an answer is at the client: it must not look whole.
  void break_off(FailureCause cause);
  void leave(FailureCause cause);
  bool request_in_hand() const;
  void note_failure(FailureCause cause, int status);
  void check_answer_belongs() const;
  void write_head(int status, const std::vector<std::pair<std::string, std::string>>& fields);
  void write_body(int status, std::string_view body, std::size_t length);
  // Tokens of the events that were passed on; none: the configuration does not say how many an event holds.
  std::optional<std::int64_t> tokens_passed_on() const;
  Span left() const;

  // Guards callbacks that come after the exchange that they were for.
  template <class F>
  auto guarded(F f) {
    return [this, weak = std::weak_ptr<int>(alive_), f = std::move(f)](auto&&... args) {
      if (!weak.expired()) f(std::forward<decltype(args)>(args)...);
    };
  }

  DataPlane& plane_;
  net::Channel channel_;
  http::Parser parser_;
  Stage stage_ = Stage::reading;
  std::shared_ptr<int> alive_;  // of the exchange in hand
  bool keep_ = true, reading_timer_for_head_ = false, told_to_go_on_ = false;
  bool exchange_open_ = false;  // a request was read whole, and its exchange has not ended
  net::TimerQueue::Handle timer_;

  // The exchange in hand.
  ClientRequest request_;
  std::shared_ptr<const common::Configuration> configuration_;
  const common::Route* route_ = nullptr;
  std::string service_;
  TimePoint began_, deadline_;
  std::string body_;  // as the endpoint gets it
  BudgetReservation budget_;
  std::size_t attempts_ = 0, tries_ = 0;
  bool may_have_run_ = false;
  // How an attempt ended, for the cause that is told.
  enum class LastAttempt : std::uint8_t {
    none,
    unsent,
    broke_off,
    bad_answer,
    timed_out,
    turned_away,
    server_error,  // a status of 5xx without proof that it has not run
  };
  static std::string_view name_of(LastAttempt how);
  LastAttempt last_attempt_ = LastAttempt::none;
  // The attempt in hand.
  UpstreamConnection* connection_ = nullptr;
  std::string endpoint_;
  AttemptContext placing_;
  TimePoint sent_;
  bool measured_ceiling_ =
      false;  // the estimate holds the attempt, not the class deadline or the client's time
  bool attempt_open_ = false, turned_away_ = false, bad_answer_ = false, streaming_ = false;
  bool first_event_seen_ = false;  // of the attempt in hand
  int status_ = 0;
  std::size_t stated_length_ = 0;  // bytes of the answer's body, as its head says
  std::vector<std::pair<std::string, std::string>> answer_fields_;
  std::string answer_;  // its body, or the part of a stream that is no whole event yet
  // What the client has got of its answer, by whichever attempts.
  bool head_out_ = false;
  std::string output_;  // of a turn
  std::size_t events_ = 0;
  std::optional<std::int64_t> last_event_;
};

}  // namespace chutevane::edge
