// Answers to a client: an endpoint's, passed on whole or event by event, and own ones; and the end of its
// connection.
#include <cstdio>

#include "common/invariant.hpp"
#include "edge/client.hpp"
#include "edge/data_plane.hpp"
#include "edge/server_sent_event.hpp"
#include "http/writer.hpp"

namespace chutevane::edge {
namespace {

using http::same_name;

constexpr std::size_t event_most = 4U << 20U;  // bytes of one event

}  // namespace

void Client::check_answer_belongs() const {
  for (const auto& [name, value] : answer_fields_) {
    if (!same_name(name, "X-Chutevane-Attempt-Id")) continue;
    common::check_invariant(common::Invariant::answer_belongs_to_exchange,
                            exchange_open_ && value == request_.attempt_id,
                            [&] { return "answer to " + value + " for " + request_.attempt_id; });
  }
}

void Client::write_head(int status, const std::vector<std::pair<std::string, std::string>>& fields) {
  http::Writer out(channel_.out());
  out.status_line(status);
  for (const auto& [name, value] : fields) out.field(name, value);
  if (plane_.closing_ || plane_.leaving_) keep_ = false;
  if (!keep_) out.field("Connection", "close");
}

// Ends the answer. `length`: of the body that a GET would get, where it asked by HEAD.
void Client::write_body(int status, std::string_view body, std::size_t length) {
  http::Writer out(channel_.out());
  const bool no_content = status == 204 || status == 304;
  if (!no_content && request_.method != "HEAD") return out.body(body);
  if (status != 204 && length > 0) out.field("Content-Length", std::to_string(length));
  out.no_body();
}

void Client::deliver() {
  ++plane_.counters_.answered;
  check_answer_belongs();
  if (status_ >= 400 && turned_away_) budget_.release();
  write_head(status_, answer_fields_);
  write_body(status_, answer_, stated_length_);
  end_exchange();
}

void Client::answer_own(FailureCause cause, int status, std::string_view text, ComeBack come_back) {
  if (status == 503) ++plane_.counters_.refused;
  note_failure(cause, status);
  std::vector<std::pair<std::string, std::string>> fields{{"Content-Type", "text/plain"}};
  if (!request_.attempt_id.empty()) fields.emplace_back("X-Chutevane-Attempt-Id", request_.attempt_id);
  if (come_back == ComeBack::yes) fields.emplace_back("Retry-After", plane_.come_back());
  write_head(status, fields);
  write_body(status, text, text.size());
  end_exchange();
}

void Client::note_failure(FailureCause cause, int status) {
  plane_.failures_.count(cause);
  const TimePoint now = plane_.timers_.now();
  plane_.failures_.log(now, [&] {
    FailureReport report;
    report.cause = cause;
    report.status = status;
    report.attempt_id = request_.attempt_id;
    if (route_ != nullptr) report.route = route_->name;
    report.service = service_;
    report.endpoint = endpoint_;
    report.elapsed = exchange_open_ ? now - began_ : Span();
    report.attempts = attempts_;
    report.last_attempt = name_of(last_attempt_);
    plane_.describe_knowledge(report);
    return report;
  });
}

void Client::break_off(FailureCause cause) {
  channel_.reset();
  leave(cause);
}

void Client::end_exchange() {
  plane_.timers_.cancel(timer_);
  alive_.reset();
  exchange_open_ = head_out_ = false;
  budget_.abandon();
  // What is answered before a request is read whole says nothing of the one before.
  request_ = {};
  stage_ = Stage::reading;
  channel_.flush();
  if (!keep_) {
    stage_ = Stage::ending;
    channel_.shutdown_write_when_flushed();
    set_rest_timer(channel_.unsent() > 0 ? idle_limit() : ending_most);
    return;
  }
  set_request_timer();
  channel_.set_reading_paused(false);
  // What was sent ahead comes in the next turn.
  if (channel_.in_size() > 0) {
    plane_.timers_.cancel(timer_);
    timer_ = plane_.timers_.after(Span(), [this] {
      set_request_timer();
      look();
    });
  }
}

// Passes whole events on as they come.
void Client::relay(bool all) {
  const TimePoint now = plane_.timers_.now();
  std::size_t at = 0;
  while (at < answer_.size()) {
    std::size_t size = complete_event_size(std::string_view(answer_).substr(at));
    if (size == 0) {
      if (answer_.size() - at > event_most) bad_answer_ = true;
      if (!all) break;
      size = answer_.size() - at;
    }
    const std::string_view one = std::string_view(answer_).substr(at, size);
    const ServerSentEvent event = parse_event(one);
    // A piece that is missing or comes twice: what comes is no answer any more.
    if (event.id && last_event_ && *event.id <= *last_event_) {
      bad_answer_ = true;
      return;
    }
    if (event.id) last_event_ = event.id;
    first_event_came(now);
    if (!head_out_) {
      head_out_ = true;
      ++plane_.counters_.streams;
      check_answer_belongs();
      write_head(status_, answer_fields_);
      channel_.out().append("Transfer-Encoding: chunked\r\n\r\n");
    }
    char line[24];
    const int n = std::snprintf(line, sizeof line, "%zx\r\n", size);
    channel_.out().append({line, static_cast<std::size_t>(n)});
    channel_.out().append(one);
    channel_.out().append("\r\n");
    if (!event.data.empty()) {
      ++events_;
      ++plane_.counters_.events;
    }
    if (route_->retained) output_.append(event.data);
    at += size;
  }
  answer_.erase(0, at);
  if (at > 0) channel_.flush();
}

void Client::finish_stream() {
  if (bad_answer_) return resume_or_break_off(FailureCause::stream_bad);
  if (!head_out_) {
    write_head(status_, answer_fields_);
    channel_.out().append("Transfer-Encoding: chunked\r\n\r\n");
    head_out_ = true;
  }
  if (route_->retained) return keep_turn();
  channel_.out().append("0\r\n\r\n");
  ++plane_.counters_.answered;
  settle_budget();
  end_exchange();
}

void Client::settle_budget() {
  if (const auto tokens = tokens_passed_on()) budget_.commit(*tokens);
}

// The answer ends, whole, only once the turn is safe: it counts from then on.
void Client::keep_turn() {
  stage_ = Stage::keeping;
  common::Turn turn;
  turn.id = request_.attempt_id;
  turn.previous = request_.previous_turn;
  turn.program = request_.program;
  turn.input.data = std::move(request_.body);
  turn.output.data = std::move(output_);
  turn.retention_ms = static_cast<std::int64_t>(route_->retention.as_ms());
  const std::int64_t tokens = tokens_passed_on().value_or(static_cast<std::int64_t>(events_));
  const std::int64_t used = budget_.is_open() ? tokens : -1;
  plane_.storage_.store_turn(turn, used, deadline_, guarded([this](bool kept) {
                               if (!kept) return break_off(FailureCause::turn_not_kept);
                               ++plane_.counters_.turns_kept;
                               ++plane_.counters_.answered;
                               channel_.out().append("0\r\n\r\n");
                               end_exchange();
                             }));
}

void Client::on_channel_closed(net::Channel&) { leave(FailureCause::client_left); }

void Client::leave(FailureCause cause) {
  common::check_invariant(common::Invariant::exchange_ends_once, stage_ != Stage::over,
                          [&] { return request_.attempt_id + ", " + std::string(edge::name_of(cause)); });
  const bool answer_cut = channel_.unsent() > 0;
  if (request_in_hand() || answer_cut) note_failure(cause, 0);
  alive_.reset();
  plane_.timers_.cancel(timer_);
  bool reached_endpoint = may_have_run_;
  if (connection_ != nullptr)
    reached_endpoint = std::exchange(connection_, nullptr)->cancel() || reached_endpoint;
  attempt_over(AttemptOutcome::cancelled);
  if (head_out_) {
    settle_budget();  // no more of it reaches the client
  } else if (!reached_endpoint && (stage_ == Stage::preparing || stage_ == Stage::asking)) {
    budget_.release();
  }
  exchange_open_ = false;
  stage_ = Stage::over;
  plane_.clients_.retire(*this);
}

}  // namespace chutevane::edge
