#include "edge/endpoints.hpp"

#include <algorithm>
#include <charconv>

#include "common/invariant.hpp"

namespace chutevane::edge {
namespace {

constexpr http::Limits answer_limits{.head = 16 * 1024, .body = 64U << 20U, .fields = 100};  // bytes
constexpr Span connect_most = Span::ms(600);    // an endpoint that is there answers within some ms
constexpr Span idle_unstated = Span::ms(3000);  // where an endpoint does not tell how long it keeps them
constexpr double idle_part = 0.8;               // of the time that it tells: well before it closes
constexpr std::size_t passes_most = 4;          // surplus answers that are skipped before the one that is due

}  // namespace

EndpointConnection::EndpointConnection(Endpoints& all, std::shared_ptr<Endpoint> endpoint)
    : all_(all),
      endpoint_(std::move(endpoint)),
      channel_(all.scheduler_, static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::response, answer_limits),
      idle_most_(idle_unstated) {}

void EndpointConnection::begin(AnswerSink& sink, OutgoingRequest request) {
  sink_ = &sink;
  request_ = std::move(request.head);
  request_.append(request.body);
  attempt_id_ = std::move(request.attempt_id);
  bodiless_answer_ = request.bodiless_answer;
  written_ = head_seen_ = skipping_ = false;
  // Answers to requests without an id cannot be told apart: nothing follows one.
  keep_ = !attempt_id_.empty();
  passes_ = 0;
  parser_.reset(bodiless_answer_);
  if (channel_.up()) write_out();
}

// From here on the request may run. Guards the drain rule: what waited for its connection is not sent to an
// endpoint that has begun to leave meanwhile.
void EndpointConnection::write_out() {
  if (endpoint_->draining || endpoint_->gone) return fail(Failure::unsent);
  written_ = true;
  ++requests_;
  channel_.write(request_);
  request_.clear();
  request_.shrink_to_fit();
}

void EndpointConnection::on_channel_open(net::Channel&) {
  all_.timers_.cancel(due_);
  write_out();
}

void EndpointConnection::on_channel_data(net::Channel&) {
  if (sink_ == nullptr || !written_) {  // bytes that belong to no request
    if (sink_ != nullptr) return fail(Failure::unsent);
    drop();
    return;
  }
  look();
}

// 100 Continue and 103 Early Hints; the answer is still to come. False: it is no interim answer to this
// request. Nobody has asked to switch protocols: what follows a 101 is no HTTP.
bool EndpointConnection::take_interim(http::Progress progress) {
  if (progress != http::Progress::complete || parser_.status() == 101) return false;
  channel_.in().consume(parser_.size());
  parser_.reset(bodiless_answer_);
  return true;
}

// The head names another request: of one before this one, that was not due any more.
bool EndpointConnection::is_anothers() const {
  const auto id = parser_.find("X-Chutevane-Attempt-Id");
  return id && *id != attempt_id_;
}

// Endpoints carry the id back. A head without it, where another request went before this one, may be the
// surplus of that one's answer: it neither answers this one nor proves that it did not run.
bool EndpointConnection::proves_nothing() const {
  return requests_ > 1 && !attempt_id_.empty() && !parser_.find("X-Chutevane-Attempt-Id");
}

void EndpointConnection::look() {
  while (!closed_) {
    if (!head_seen_) {
      if (channel_.in().empty()) return;
      const http::Progress progress = parser_.feed(channel_.in().bytes());
      if (progress == http::Progress::failed) return fail(Failure::broken);
      if (!parser_.head_done()) return;
      if (parser_.status() < 200) {
        if (!take_interim(progress)) return fail(Failure::broken);
        continue;
      }
      if (proves_nothing()) return fail(Failure::broken);
      head_seen_ = true;
      note_keep_alive();
      skipping_ = is_anothers();
      if (skipping_) {
        keep_ = false;
        if (++passes_ > passes_most) return fail(Failure::broken);
      } else if (!parser_.length() && !parser_.keep_alive() && parser_.has_body() &&
                 !parser_.find("Transfer-Encoding")) {
        return fail(Failure::broken);  // an end that a break-off looks like
      } else {
        sink_->answer_head(parser_);
        if (closed_ || sink_ == nullptr) return;
        if (!parser_.body().empty()) sink_->answer_piece(parser_.body());
        if (closed_ || sink_ == nullptr) return;
      }
      channel_.in().consume(parser_.size());
      parser_.detach(nullptr);
      if (progress == http::Progress::complete) {
        if (skipping_) {
          head_seen_ = false;
          parser_.reset(bodiless_answer_);
          continue;
        }
        return done();
      }
      continue;
    }
    std::size_t taken = 0;
    std::string_view piece;
    const std::span<char> bytes = channel_.in().bytes();
    if (bytes.empty()) return;
    const http::Progress progress = parser_.more(bytes, taken, piece);
    if (progress == http::Progress::failed) return fail(Failure::broken);
    if (!piece.empty() && !skipping_) {
      sink_->answer_piece(piece);
      if (closed_ || sink_ == nullptr) return;
    }
    channel_.in().consume(taken);
    if (progress == http::Progress::complete) {
      if (!skipping_) return done();
      head_seen_ = false;
      parser_.reset(bodiless_answer_);
      continue;
    }
    if (taken == 0) return;
  }
}

void EndpointConnection::note_keep_alive() {
  keep_ = keep_ && parser_.keep_alive();
  const auto value = parser_.find("Keep-Alive");
  if (!value) return;
  const std::size_t at = value->find("timeout=");
  if (at == std::string_view::npos) return;
  int seconds = 0;
  const std::string_view digits = value->substr(at + 8);
  if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec == std::errc())
    idle_most_ = Span::ms(seconds * 1000.0 * idle_part);
}

void EndpointConnection::done() {
  AnswerSink* const told = std::exchange(sink_, nullptr);
  // More behind a whole answer belongs to no request, and the rest of a request that was answered early would
  // stand before the next one: nothing else is sent here.
  if (!keep_ || !channel_.in().empty() || channel_.unsent() > 0 || endpoint_->draining || endpoint_->gone ||
      idle_most_ <= Span()) {
    drop();
  } else {
    endpoint_->idle.push_back(this);
    idle_since_ = all_.timers_.now();
    all_.timers_.cancel(due_);
    due_ = all_.timers_.after(idle_most_, [this] { drop(); });
  }
  told->answer_whole();
}

void EndpointConnection::fail(Failure how) {
  AnswerSink* const told = std::exchange(sink_, nullptr);
  drop();
  if (told != nullptr) told->answer_failed(how);
}

void EndpointConnection::on_channel_closed(net::Channel&) {
  if (closed_) return;
  if (sink_ != nullptr && head_seen_ && !skipping_ &&
      parser_.ended(channel_.in().bytes()) == http::Progress::complete)
    return done();
  fail(written_ ? Failure::broken : Failure::unsent);
}

void EndpointConnection::drop() {
  if (closed_) return;
  closed_ = true;
  all_.timers_.cancel(due_);
  std::erase(endpoint_->idle, this);
  --endpoint_->connections;
  channel_.close();
  all_.tasks_.retire(*this);
}

Endpoints::Endpoints(net::Scheduler& scheduler, net::TimerQueue& later, std::size_t connections_most)
    : scheduler_(scheduler), timers_(later), connections_most_(connections_most), tasks_(scheduler) {}

void Endpoints::listed(const std::vector<Endpoint>& list) {
  std::map<std::string, std::shared_ptr<Endpoint>> next;
  for (const Endpoint& e : list) {
    const auto known = endpoints_.find(e.id);
    std::shared_ptr<Endpoint> at = known != endpoints_.end() ? known->second : std::make_shared<Endpoint>(e);
    // An address under another id is another process; the id's own does not change.
    at->draining = e.draining;
    at->cold = e.cold;
    next[e.id] = std::move(at);
  }
  for (const auto& [id, e] : endpoints_) {
    if (!next.contains(id)) e->gone = true;
    if (e->gone || e->draining) {
      while (!e->idle.empty()) e->idle.back()->drop();
    }
  }
  endpoints_ = std::move(next);
}

std::shared_ptr<Endpoint> Endpoints::find(const std::string& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<Endpoint>> Endpoints::of_service(const std::string& service) const {
  std::vector<std::shared_ptr<Endpoint>> out;
  for (const auto& [id, e] : endpoints_) {
    if (e->service == service && !e->draining) out.push_back(e);
  }
  return out;
}

EndpointConnection* Endpoints::send(const std::shared_ptr<Endpoint>& to, AnswerSink& sink,
                                    OutgoingRequest request) {
  while (!to->idle.empty()) {
    EndpointConnection& c = *to->idle.back();
    to->idle.pop_back();
    timers_.cancel(c.due_);
    if (!c.channel_.up() ||
        !c.channel_.quiet()) {  // the endpoint has closed it, or sent what nobody asked for
      c.drop();
      continue;
    }
    c.begin(sink, std::move(request));
    return c.sink_ == &sink ? &c : nullptr;
  }
  if (to->draining || to->gone || tasks_.size() >= connections_most_) {
    sink.answer_failed(Failure::unsent);
    return nullptr;
  }
  ++to->connections;
  ++opened_;
  EndpointConnection& c = tasks_.add(std::make_unique<EndpointConnection>(*this, to));
  c.begin(sink, std::move(request));
  c.due_ = timers_.after(connect_most, [&c] {
    if (!c.written_ && c.sink_ != nullptr) c.fail(Failure::unsent);
  });
  if (!c.channel_.connect(to->address)) {
    c.fail(Failure::unsent);
    return nullptr;
  }
  return c.sink_ == &sink ? &c : nullptr;
}

bool Endpoints::give_up(EndpointConnection& connection) {
  const bool may_have_run = connection.written_;
  connection.sink_ = nullptr;
  connection.drop();
  return may_have_run;
}

void Endpoints::check_connections() {
  std::map<const Endpoint*, std::size_t> open;
  for (std::size_t i = 0; i < tasks_.size(); ++i) {
    const EndpointConnection& c = tasks_[i];
    if (!c.closed_) ++open[c.endpoint_.get()];
  }
  for (const auto& [id, endpoint] : endpoints_) {
    const auto found = open.find(endpoint.get());
    const std::size_t count = found == open.end() ? 0 : found->second;
    common::check_invariant(common::Invariant::connections_equal_descriptors, endpoint->connections == count,
                            [&] {
                              return id + ": charged with " + std::to_string(endpoint->connections) +
                                     ", open " + std::to_string(count);
                            });
  }
}

}  // namespace chutevane::edge
