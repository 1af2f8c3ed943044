#include "sidecar/endpoints.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace chutevane::sidecar {
namespace {

constexpr double idle_part = 0.7;               // of the time after which endpoints close: well before it
constexpr double endpoint_part = 0.4;           // of the descriptors
constexpr Span moved_every = Span::ms(50);      // between news that a request is still coming
constexpr Span answer_stall = Span::ms(30000);  // for more of an answer: a hung endpoint comes back sooner
constexpr std::size_t piece_most = 16 * 1024;   // bytes of a body at a time
constexpr std::size_t buffer_kept = 8 * 1024;   // bytes of an idle connection

}  // namespace

EndpointConnection::EndpointConnection(net::Scheduler& scheduler, Endpoints& pool, Endpoint& endpoint)
    : scheduler_(scheduler),
      pool_(pool),
      endpoint_(endpoint),
      moves_(endpoint.moves),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      buffer_(pool.held_),
      task_(run()) {}

EndpointConnection::~EndpointConnection() {
  let_go_of_body();
  if (answer_) answer_->produced_by(nullptr, 0);
}

void EndpointConnection::let_go_of_body() {
  if (body_) body_->not_consumed_by(&waker_);
  body_.reset();
}

bool EndpointConnection::wants_pieces() const {
  if (!parser_.head_done() || parser_.status() != 200 || !parser_.has_body()) return false;
  const std::size_t most = whole_most(pool_.held_, parser_.length().has_value());
  return parser_.length() ? *parser_.length() > most : parser_.body().size() > most;
}

void EndpointConnection::report(Outcome outcome, const http::Parser* response) {
  if (!busy_) return;
  busy_ = false;
  const Dispatch over = dispatch_;  // the connection may be given the next one before this returns
  ++pool_.counters_.outcomes[static_cast<std::size_t>(outcome)];
  ++pool_.counters_.outcomes_by_stage[static_cast<std::size_t>(stage_)][static_cast<std::size_t>(outcome)];
  pool_.sink_->dispatch_over(over, outcome, response);
}

net::Task EndpointConnection::run() {
  using net::Socket;
  using net::Waker;
  // It comes up, or what it was opened for never ran.
  bool up = socket_.connect(endpoint_.address);
  if (up) {
    const TimePoint now = scheduler_.now();
    timer_.set(now + std::min(pool_.connect_timeout_, dispatch_.sent + dispatch_.wait - now));
    const Waker::Bits bits = co_await waker_.wait(Waker::writable | Waker::hung_up | due | dropped);
    up = (bits & (due | dropped)) == 0 && socket_.connected();
  }
  if (!up) report(Outcome::not_connected);
  while (up) {
    stage_ = Stage::writing;
    written_ = 0;
    timer_.set(std::min(dispatch_.sent + dispatch_.wait, dispatch_.out_by));
    while (up && (!buffer_.empty() || (body_ && !tail_))) {
      // Guards rule 2: what was decided in time may have waited for its connection past it.
      if (scheduler_.now() >= dispatch_.out_by) {
        report(begun() ? Outcome::not_connected : Outcome::not_sent);
        up = false;
        break;
      }
      // Bytes that come before the request's last are no answer to it: they would be served as one.
      if (!socket_.quiet()) {
        report(socket_.has_bytes() ? Outcome::not_sent : Outcome::not_connected);
        up = false;
        break;
      }
      if (buffer_.empty() &&
          !body_->give_out(buffer_, chunked_, tail_)) {  // the caller's pace: no clock of the dispatch runs
        if (body_->broken()) break;
        if (dispatch_.out_by == TimePoint::never()) timer_.cancel();
        const Waker::Bits bits =
            co_await waker_.wait(moved | Waker::readable | Waker::hung_up | due | dropped);
        up = (bits & dropped) == 0;
        continue;
      }
      std::size_t written = 0;
      const Socket::Result result = socket_.write(buffer_.bytes(), written);
      buffer_.consume(written);
      written_ += written;
      if (result == Socket::Result::broken) up = false;
      if (body_ && written > 0) {
        const TimePoint now = scheduler_.now();
        timer_.set(std::min(now + dispatch_.wait, dispatch_.out_by));
        if (now - told_moved_ >= moved_every) pool_.sink_->request_moved(dispatch_, false), told_moved_ = now;
      }
      if (result != Socket::Result::later) continue;
      const Waker::Bits bits = co_await waker_.wait(Waker::writable | due | dropped);
      up = (bits & (due | dropped)) == 0;
    }
    if (up && body_ && (body_->broken() || !tail_)) up = false;
    if (!up) {  // its last byte was not written: it never ran
      report(Outcome::not_connected);
      break;
    }
    stage_ = Stage::reading;
    ++pool_.counters_.forwards;
    if (body_) {  // time counts from the last byte
      dispatch_.sent = scheduler_.now();
      pool_.sink_->request_moved(dispatch_, true);
      let_go_of_body();
    }
    timer_.set(dispatch_.sent + dispatch_.wait);
    parser_.reset(bodiless_);
    http::Progress progress = http::Progress::more;
    Outcome outcome = Outcome::reset;
    while (up && progress != http::Progress::complete && !wants_pieces()) {
      const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | dropped);
      if ((bits & (due | dropped)) != 0) {
        outcome = Outcome::timed_out;
        up = false;
        break;
      }
      const Socket::Result result = socket_.read(buffer_);
      if (result != Socket::Result::broken)
        progress = parser_.feed(buffer_.bytes(), result == Socket::Result::ended);
      if (result == Socket::Result::broken || progress == http::Progress::failed) up = false;
      while (progress == http::Progress::complete && parser_.status() < 200) {  // the answer is still to come
        buffer_.consume(parser_.size());
        parser_.reset(bodiless_);
        progress = buffer_.empty() ? http::Progress::more : parser_.feed(buffer_.bytes());
      }
    }
    if (!up) {
      report(outcome);
      break;
    }
    timer_.cancel();
    if (progress != http::Progress::complete) {  // a large answer: from here on it goes through a window
      answer_ = std::make_shared<Pipe>(pool_.held_, false);
      answer_->produced_by(&waker_, moved);
      answer_->put(parser_.body());
      busy_ = !pool_.sink_->answer_began(dispatch_, parser_, answer_);
      if (busy_) {
        report(Outcome::cancelled);
        break;
      }
      ++pool_.counters_.outcomes[static_cast<std::size_t>(Outcome::done)];
      stage_ = Stage::answering;
      buffer_.consume(parser_.size());
      parser_.detach(nullptr);
      while (up && progress == http::Progress::more) {
        progress = answer_->take_in(parser_, buffer_);
        if (progress != http::Progress::more || answer_->left()) break;
        const std::size_t room = pool_.held_.full() && !answer_->ready().empty() ? 0 : answer_->room();
        if (room == 0) {  // the caller's pace
          timer_.set(scheduler_.now() + answer_stall);
          const Waker::Bits bits = co_await waker_.wait(moved | due | dropped);
          up = (bits & dropped) == 0;
          continue;
        }
        timer_.set(scheduler_.now() + answer_stall);
        const Waker::Bits bits =
            co_await waker_.wait(Waker::readable | Waker::hung_up | moved | due | dropped);
        if ((bits & (due | dropped)) != 0) up = false;
        if (!up || (bits & (Waker::readable | Waker::hung_up)) == 0) continue;
        const Socket::Result result = socket_.read(buffer_, std::min(room, piece_most));
        if (result == Socket::Result::ended) progress = parser_.ended(buffer_.bytes());
        if (progress == http::Progress::complete) answer_->end();
        if (result == Socket::Result::broken) up = false;
      }
      timer_.cancel();
      if (progress != http::Progress::complete) {
        answer_->break_off();
        if (!answer_->left()) pool_.sink_->answer_broke(endpoint_.id);
        up = false;
      }
      answer_->produced_by(nullptr, 0);
      answer_.reset();
      if (!up || !parser_.keep_alive() || !buffer_.empty() || !pool_.rest(*this)) break;
    } else {
      // It rests before the end is told: what the module sends next, on hearing it, may go out on it.
      const bool again = parser_.keep_alive() && buffer_.size() == parser_.size() && pool_.rest(*this);
      report(pool_.front_.outcome_of(parser_), &parser_);
      buffer_.consume(parser_.size());
      if (!again) break;
    }
    buffer_.shrink(buffer_kept);
    // What was told of bytes that have been read since is no word of the endpoint's.
    Waker::Bits bits = 0;
    do {
      bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | given | dropped);
    } while (bits == Waker::readable && socket_.quiet());
    if ((bits & given) == 0) {
      if (stage_ == Stage::idle) pool_.unrest(*this);
      break;
    }
    if ((bits & dropped) != 0) break;
    if ((bits & Waker::hung_up) != 0) {  // closed between the hand-over and here: nothing was written
      report(Outcome::not_connected);
      break;
    }
  }
  stage_ = Stage::closed;
  let_go_of_body();
  socket_.close();
  timer_.cancel();
  --endpoint_.connections;
  --pool_.room_.used;
  pool_.forget(endpoint_);
  pool_.connections_.retire(*this);
}

Endpoints::Endpoints(net::Scheduler& scheduler, const config::Config& config, const Front& front,
                     Counters& counters, Room* shared, net::BufferBudget* held)
    : scheduler_(scheduler),
      front_(front),
      counters_(counters),
      connect_timeout_(config.connect_timeout),
      idle_most_(config.idle_close * idle_part),
      held_(held != nullptr ? *held : own_held_),
      own_{static_cast<std::size_t>(static_cast<double>(config.sockets) * endpoint_part), 0, 0, {}},
      room_(shared != nullptr ? *shared : own_),
      connections_(scheduler) {
  const auto alone = config.settings.find("rules.drain_binds_alone");
  gone_binds_ = alone == config.settings.end() || alone->second != "true";
  room_.most = room_.whole = own_.most;
  room_.pools.push_back(this);
}

Endpoints::~Endpoints() { std::erase(room_.pools, this); }

std::size_t Endpoints::ready() const {
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& one) {
    return one.second.availability == Availability::ready;
  }));
}

void Endpoints::share(double part) {
  room_.most = static_cast<std::size_t>(static_cast<double>(room_.whole) * part);
}

std::size_t Endpoints::listed() const {
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& one) {
    return one.second.availability != Availability::gone;
  }));
}

EndpointId Endpoints::learn(const discovery::Entry& entry) {
  const auto known = ids_.find(entry.id);
  if (known == ids_.end() && entry.availability == Availability::gone) return 0;
  const EndpointId id = known == ids_.end() ? ++last_id_ : known->second;
  Endpoint& e = endpoints_[id];
  if (known == ids_.end()) {
    ids_.emplace(entry.id, id);
    e.id = id;
    e.name = entry.id;
    log_line("endpoint %012lx is %s at %s", id, entry.id.c_str(), entry.address.c_str());
  }
  if (!entry.address.empty() && entry.address != e.address_text) {
    now_closed_to_new(e);  // its connections lead elsewhere
    ++e.moves;
    e.address_text = entry.address;
    e.address = *net::parse_address(entry.address);
  }
  std::erase(doubted_, id);
  if (entry.availability == Availability::gone && e.availability == Availability::ready && !gone_binds_)
    return doubted_.push_back(id), id;
  e.availability = entry.availability;
  if (e.availability != Availability::ready) now_closed_to_new(e);
  forget(e);
  return id;
}

void Endpoints::forget_unnamed(std::vector<EndpointId> named) {
  std::sort(named.begin(), named.end());
  std::vector<EndpointId> unnamed;
  for (auto& [id, e] : endpoints_) {
    if (std::binary_search(named.begin(), named.end(), id)) continue;
    const bool kept = !gone_binds_ && e.availability == Availability::ready;
    if (kept) std::erase(doubted_, id);
    (kept ? doubted_ : unnamed).push_back(id);
  }
  for (const EndpointId id : unnamed) part_with(id);
}

void Endpoints::part_with(EndpointId id) {
  std::erase(doubted_, id);
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return;
  found->second.availability = Availability::gone;
  now_closed_to_new(found->second);
  forget(found->second);
}

// Guards a long day, on which endpoints come and go under ever new ids.
void Endpoints::forget(Endpoint& endpoint) {
  if (endpoint.availability != Availability::gone || endpoint.connections > 0) return;
  ids_.erase(endpoint.name);
  endpoints_.erase(endpoint.id);
}

// Guards the drain rule: what waits for a connection to come up, or for room to write its first byte, must
// not reach an endpoint that wants nothing new.
void Endpoints::now_closed_to_new(Endpoint& endpoint) {
  for (std::size_t i = connections_.size(); i-- > 0;) {
    EndpointConnection& c = connections_[i];
    if (&c.endpoint_ != &endpoint) continue;
    if (c.stage_ == EndpointConnection::Stage::idle) {
      unrest(c);
      drop(c, Outcome::not_sent);
    } else {
      withdraw(c);
    }
  }
}

// Closes at once; the coroutine finds out in its next step.
void Endpoints::drop(EndpointConnection& connection, Outcome outcome) {
  connection.socket_.close();
  connection.timer_.cancel();
  connection.waker_.set(EndpointConnection::dropped);
  connection.report(outcome);
}

void Endpoints::withdraw(EndpointConnection& connection) {
  if (connection.busy_ && !connection.begun()) drop(connection, Outcome::not_sent);
}

void Endpoints::give_up(EndpointConnection& connection) {
  const bool whole = connection.stage_ == EndpointConnection::Stage::reading;
  drop(connection, whole ? Outcome::cancelled : Outcome::not_sent);
}

// Not at an endpoint that wants nothing new, nor where it was before it moved: guards rule 3 for the one that
// still answers there. Whatever this does, it never tells the end of the dispatch that
// has just been answered: guards rule 2 against an answer from a draining endpoint told as never sent.
bool Endpoints::rest(EndpointConnection& connection) {
  Endpoint& e = connection.endpoint_;
  if (e.availability != Availability::ready || e.moves != connection.moves_) return false;
  connection.stage_ = EndpointConnection::Stage::idle;
  connection.idle_since_ = scheduler_.now();
  connection.timer_.set(connection.idle_since_ + idle_most_);
  e.idle.push_back(&connection);
  return true;
}

void Endpoints::unrest(EndpointConnection& connection) {
  std::erase(connection.endpoint_.idle, &connection);
  connection.stage_ = EndpointConnection::Stage::closed;
}

void Endpoints::close_idle(EndpointId id) {
  const auto found = endpoints_.find(id);
  while (found != endpoints_.end() && !found->second.idle.empty()) {
    EndpointConnection& c = *found->second.idle.back();
    unrest(c);
    drop(c, Outcome::not_sent);
  }
}

std::string Endpoints::name_of(EndpointId id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? "" : found->second.name;
}

EndpointId Endpoints::id_of(const std::string& name) const {
  const auto found = ids_.find(name);
  return found == ids_.end() ? 0 : found->second;
}

EndpointConnection* Endpoints::longest_idle() {
  EndpointConnection* oldest = nullptr;
  for (auto& [id, e] : endpoints_) {
    if (!e.idle.empty() && (oldest == nullptr || e.idle.front()->idle_since_ < oldest->idle_since_))
      oldest = e.idle.front();
  }
  return oldest;
}

// At the bound the longest idle connection goes, of whichever pool.
bool Endpoints::make_room() {
  if (room_.used < room_.most) return true;
  EndpointConnection* oldest = nullptr;
  for (Endpoints* pool : room_.pools) {
    EndpointConnection* const one = pool->longest_idle();
    if (one != nullptr && (oldest == nullptr || one->idle_since_ < oldest->idle_since_)) oldest = one;
  }
  if (oldest == nullptr) return false;
  oldest->pool_.unrest(*oldest);
  oldest->pool_.drop(*oldest, Outcome::not_sent);
  return true;
}

EndpointConnection* Endpoints::send(const Dispatch& dispatch, const http::Parser& request,
                                    const std::shared_ptr<Pipe>& body) {
  const auto found = endpoints_.find(dispatch.endpoint);
  Endpoint* const e = found == endpoints_.end() ? nullptr : &found->second;
  const auto begin = [&](EndpointConnection& c) {
    c.dispatch_ = dispatch;
    c.busy_ = true;
    c.bodiless_ = request.method() == "HEAD";
    c.written_ = 0;
    c.body_ = body;
    c.tail_ = false;
    c.chunked_ = body && !request.length();
    if (body) {
      body->rewind();
      body->consumed_by(&c.waker_, EndpointConnection::moved);
    }
    front_.write_dispatch(c.buffer_, request, dispatch.wait, body != nullptr);
    ++counters_.dispatches;
  };
  while (e != nullptr && !e->idle.empty()) {
    EndpointConnection& c = *e->idle.back();
    unrest(c);
    if (!c.socket_.quiet()) {  // the endpoint has closed it: this is only not known yet
      drop(c, Outcome::not_sent);
      continue;
    }
    c.timer_.cancel();
    c.stage_ = EndpointConnection::Stage::writing;
    begin(c);
    ++counters_.connections_reused;
    c.waker_.set(EndpointConnection::given);
    return &c;
  }
  if (e == nullptr || e->availability != Availability::ready || !make_room()) {
    ++counters_.dispatches;
    ++counters_.outcomes[static_cast<std::size_t>(Outcome::not_sent)];
    sink_->dispatch_over(dispatch, Outcome::not_sent, nullptr);
    return nullptr;
  }
  EndpointConnection& c = connections_.add(std::make_unique<EndpointConnection>(scheduler_, *this, *e));
  ++e->connections;
  ++room_.used;
  begin(c);
  ++counters_.connections_opened;
  c.task_.start();
  return c.busy_ ? &c : nullptr;
}

}  // namespace chutevane::sidecar
