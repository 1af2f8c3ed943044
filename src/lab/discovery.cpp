#include "lab/discovery.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace chutevane::lab {
namespace {

using net::Socket;
using net::Waker;
using nlohmann::json;

constexpr Span watch_most = Span::ms(60000);

const char* state_of(Availability a) {
  return a == Availability::ready ? "SERVING" : a == Availability::draining ? "DRAINING" : "DELETED";
}

json item(const Listed& e, const std::function<std::string(const std::string&)>& seen_as) {
  return {{"id", e.id},     {"addr", seen_as ? seen_as(e.address) : e.address},
          {"zone", e.zone}, {"kind", "m1"},
          {"cell", e.cell}, {"state", state_of(e.availability)},
          {"weight", 1.0},  {"started_ms", static_cast<std::int64_t>(e.came_up.as_ms())}};
}

json list_of(std::size_t version, bool full) {
  return {{"version", version}, {"full", full}, {"servers", json::array()}};
}

}  // namespace

bool View::advance(TimePoint now, Span delay) {
  const auto& changes = book_.changes();
  const std::size_t before = seen_;
  while (seen_ < changes.size() && changes[seen_].at + delay <= now) {
    const Listed& e = changes[seen_++].entry;
    if (e.availability == Availability::gone)
      entries_.erase(e.id);
    else
      entries_[e.id] = e;
  }
  return seen_ != before;
}

TimePoint View::next(Span delay) const {
  return seen_ < book_.changes().size() ? book_.changes()[seen_].at + delay : TimePoint::never();
}

std::string View::whole() const {
  json out = list_of(seen_, true);
  for (const auto& [id, e] : entries_) out["servers"].push_back(item(e, seen_as));
  return out.dump();
}

std::string View::after(std::size_t version) const {
  json out = list_of(seen_, false);
  std::set<std::string> told;  // the newest state of each, once
  for (std::size_t i = seen_; i > version; --i) {
    const Listed& e = book_.changes()[i - 1].entry;
    if (told.insert(e.id).second) out["servers"].push_back(item(e, seen_as));
  }
  return out.dump();
}

std::vector<EndpointKey> View::closed(std::size_t after, std::size_t to) const {
  std::vector<EndpointKey> out;
  for (std::size_t i = after; i < to; ++i) {
    const Listed& e = book_.changes()[i].entry;
    if (e.availability != Availability::ready) out.push_back(e.key);
  }
  return out;
}

AgentConnection::AgentConnection(net::Scheduler& scheduler, DiscoveryAgent& owner, int fd)
    : scheduler_(scheduler),
      owner_(owner),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      task_(run()) {
  socket_.adopt(fd);
  task_.start();
}

bool AgentConnection::read_query(std::size_t& after, Span& wait) const {
  const std::string_view target = parser_.target();
  const auto figure = [&](std::string_view name, double& into) {
    const std::size_t at = target.find(name);
    if (at == std::string_view::npos) return false;
    const char* from = target.data() + at + name.size();
    return std::from_chars(from, target.data() + target.size(), into).ec == std::errc();
  };
  double version = 0, ms = 0;
  if (!figure("after=", version)) return false;
  figure("wait_ms=", ms);
  after = static_cast<std::size_t>(version);
  wait = std::min(watch_most, Span::ms(ms));
  return true;
}

net::Task AgentConnection::run() {
  bool up = true;
  while (up) {
    parser_.reset();
    http::Progress progress = in_.empty() ? http::Progress::more : parser_.feed(in_.bytes());
    while (up && progress == http::Progress::more) {
      const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | dropped);
      if ((bits & dropped) != 0) up = false;
      const Socket::Result result = up ? socket_.read(in_) : Socket::Result::broken;
      if (result == Socket::Result::some) progress = parser_.feed(in_.bytes());
      if (result == Socket::Result::ended || result == Socket::Result::broken) up = false;
    }
    if (!up || progress == http::Progress::failed) break;
    std::size_t after = 0;
    Span wait;
    const bool watch = read_query(after, wait);
    if (!watch) owner_.shared_.on_asked(scheduler_.now());
    if (watch && owner_.shared_.told_when_asked_on)
      owner_.tell(std::exchange(told_, after), std::min(after, owner_.view_.version()),
                  scheduler_.now() - socket_.way());
    timer_.set(scheduler_.now() + wait);
    bool timed = !watch;
    // An agent that breaks or cuts its answers does so to the watches that wait, too.
    while (up && (owner_.ills_.silent || (watch && !timed && !owner_.ills_.broken &&
                                          !owner_.ills_.truncated && owner_.view_.version() <= after))) {
      const Waker::Bits bits = co_await waker_.wait(Waker::hung_up | news | due | dropped);
      if ((bits & (Waker::hung_up | dropped)) != 0) up = false;
      if ((bits & due) != 0) timed = true;
    }
    timer_.cancel();
    if (up && owner_.ills_.broken) owner_.shared_.struck(FaultKind::discovery_broken);
    if (!up || owner_.ills_.broken) break;
    if (owner_.ills_.truncated) owner_.shared_.struck(FaultKind::discovery_truncated);
    const bool whole = !watch || after > owner_.view_.version();
    const std::string body = whole ? owner_.view_.whole() : owner_.view_.after(after);
    out_.append("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n");
    out_.append(body);
    const bool cut = owner_.ills_.truncated;
    std::size_t left = cut ? out_.size() - body.size() / 2 : out_.size();
    while (up && left > 0) {
      std::size_t written = 0;
      const Socket::Result result = socket_.write(out_.bytes().first(left), written);
      out_.consume(written);
      left -= written;
      if (result == Socket::Result::broken) up = false;
      if (result != Socket::Result::later) continue;
      const Waker::Bits bits = co_await waker_.wait(Waker::writable | dropped);
      up = (bits & dropped) == 0;
    }
    if (cut || !up) break;
    if (!owner_.shared_.told_when_asked_on)
      owner_.tell(whole ? 0 : after, owner_.view_.version(), scheduler_.now());
    in_.consume(parser_.size());
  }
  socket_.close();
  timer_.cancel();
  owner_.connections_.retire(*this);
}

DiscoveryAgent::DiscoveryAgent(net::Scheduler& scheduler, const Book& book, std::size_t sidecar, Span delay,
                               Shared& shared)
    : scheduler_(scheduler),
      view_(book),
      sidecar_(sidecar),
      delay_(delay),
      shared_(shared),
      listener_(scheduler, *this),
      connections_(scheduler),
      waker_(scheduler),
      timer_(scheduler, waker_, AgentConnection::due),
      timekeeper_(keep_time()) {
  timekeeper_.start();
}

void DiscoveryAgent::accepted(int fd) {
  connections_.add(std::make_unique<AgentConnection>(scheduler_, *this, fd));
}

void DiscoveryAgent::wake_all() {
  for (std::size_t i = 0; i < connections_.size(); ++i) connections_[i].waker_.set(AgentConnection::news);
}

void DiscoveryAgent::suffer(const ListIlls& ills) {
  if (ills == ills_) return;
  ills_ = ills;
  if (ills.silent) shared_.struck(FaultKind::discovery_silent);
  if (ills.delay > Span()) shared_.struck(FaultKind::discovery_late);
  wake_all();
  look();
}

void DiscoveryAgent::look() {
  const Span delay = delay_ + ills_.delay;
  if (view_.advance(scheduler_.now(), delay)) wake_all();
  const TimePoint next = view_.next(delay);
  if (next < TimePoint::never())
    timer_.set(next);
  else
    timer_.cancel();
}

net::Task DiscoveryAgent::keep_time() {
  while (true) {
    co_await waker_.wait(AgentConnection::due);
    look();
  }
}

void DiscoveryAgent::tell(std::size_t after, std::size_t to, TimePoint at) {
  for (const EndpointKey key : view_.closed(after, to)) shared_.auditor.told(sidecar_, key, at);
}

}  // namespace chutevane::lab
