#include "discovery/endpoint_watcher.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/log.hpp"
#include "http/writer.hpp"

namespace chutevane::discovery {
namespace {

using net::Socket;
using net::Waker;

// How long discovery may hold a request for changes. A connection gone silent is found within about this; a
// service's silence is to be found, and its turn had again, in under 6 s.
constexpr Span agent_poll_time = Span::ms(4000), service_poll_time = Span::ms(2000);
// For an agent's connection to come up and its response to begin, beyond a long poll. The least is a turn of
// a busy machine; the timeout doubles with each of `timeout_steps` tries in a row, for an agent that is slow.
constexpr Span min_response_timeout = Span::ms(50), max_response_timeout = Span::ms(500);
constexpr unsigned timeout_steps = 3;
constexpr double timeout_grace_fraction = 0.5;  // of the drain grace, within the two above
// A service queues a call for up to 3 s; one given up before that has cost it all the same.
constexpr Span service_response_timeout = Span::ms(3500);
constexpr Span body_timeout = Span::ms(300);  // from a response's first byte to its last
// Between tries that were refused or broke off; it doubles. At an agent the most is a fraction of the drain
// grace: drawn up to half as long again, and with the try itself, changes are received within the grace. A
// service's changes are to be received within 6 s.
constexpr Span first_backoff = Span::ms(100), min_agent_backoff = Span::ms(20),
               max_agent_backoff = Span::ms(1000);
constexpr double backoff_grace_fraction = 0.4;
constexpr Span first_service_backoff = Span::ms(500), max_service_backoff = Span::ms(1000);
constexpr Span max_retry_after = Span::ms(60000);   // that a rejection may ask for
constexpr std::size_t max_list_bytes = 4U << 20U;   // some ten thousand entries
constexpr std::size_t max_idle_buffer = 16 * 1024;  // bytes
constexpr http::Limits response_limits{.head = 16 * 1024, .body = max_list_bytes, .fields = 100};

}  // namespace

EndpointWatcher::EndpointWatcher(net::Scheduler& scheduler, const EndpointWatcherConfig& config,
                                 EndpointListObserver& observer)
    : scheduler_(scheduler),
      address_(config.address),
      kind_(config.kind),
      observer_(observer),
      random_(config.seed),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      parser_(http::Side::response, response_limits),
      has_list_(config.known_version.has_value()),
      version_(config.known_version.value_or(0)),
      drain_grace_(config.drain_grace),
      start_spread_(config.start_spread),
      task_(run()) {
  task_.start();
}

void EndpointWatcher::set_address(const std::string& address) {
  if (address == address_) return;
  log_line("discovery moves from %s to %s", address_.c_str(), address.c_str());
  address_ = address;
  address_has_changed_ = true;
  newest_version_ = 0;  // another discovery counts its versions by itself
  waker_.set(address_changed);
}

net::Task EndpointWatcher::run() {
  if (start_spread_ > Span()) {
    timer_.set(scheduler_.now() + start_spread_ * random_.unit());
    co_await waker_.wait(due | address_changed);
  }
  while (true) {
    if (const Bits events = start_connecting()) on_connect_event(co_await waker_.wait(events));
    while (is_usable_) {  // one request after another, for as long as they are answered
      start_request();
      while (const Bits events = write_request()) on_write_event(co_await waker_.wait(events));
      start_response();
      while (const Bits events = wait_for_response()) on_response_event(co_await waker_.wait(events));
      finish_response();
    }
    if (end_connection()) continue;
    start_backoff();
    co_await waker_.wait(due | address_changed);
  }
}

EndpointWatcher::Bits EndpointWatcher::start_connecting() {
  if (address_has_changed_ || kind_ == DiscoveryKind::agent) has_list_ = false;
  address_has_changed_ = timed_out_ = false;
  waker_.clear(address_changed);
  buffer_.consume(buffer_.size());
  is_usable_ = socket_.connect(*net::parse_address(address_));
  if (!is_usable_) return 0;
  timer_.set(scheduler_.now() + response_timeout());
  return Waker::writable | Waker::hung_up | due | address_changed;
}

void EndpointWatcher::on_connect_event(Bits events) {
  timed_out_ = (events & due) != 0;
  is_usable_ = (events & (due | address_changed)) == 0 && socket_.connected();
}

void EndpointWatcher::start_request() {
  std::string target = "/v1/endpoints";
  if (has_list_) {
    target += "?after=" + std::to_string(version_) +
              "&wait_ms=" + std::to_string(static_cast<long>(long_poll_time().as_ms()));
  }
  http::Writer(buffer_).request_line("GET", target).field("Host", address_).no_body();
  timer_.set(scheduler_.now() + (has_list_ ? long_poll_time() + max_response_timeout : response_timeout()));
}

EndpointWatcher::Bits EndpointWatcher::write_request() {
  while (is_usable_ && !buffer_.empty()) {
    std::size_t written = 0;
    const Socket::Result result = socket_.write(buffer_.bytes(), written);
    buffer_.consume(written);
    if (result == Socket::Result::broken) is_usable_ = false;
    if (result == Socket::Result::later) return Waker::writable | due | address_changed;
  }
  return 0;
}

void EndpointWatcher::on_write_event(Bits events) {
  timed_out_ = (events & due) != 0;
  is_usable_ = (events & (due | address_changed)) == 0;
}

void EndpointWatcher::start_response() {
  parser_.reset();
  progress_ = http::Progress::more;
}

EndpointWatcher::Bits EndpointWatcher::wait_for_response() const {
  if (!is_usable_ || progress_ != http::Progress::more) return 0;
  return Waker::readable | Waker::hung_up | due | address_changed;
}

void EndpointWatcher::on_response_event(Bits events) {
  timed_out_ = (events & due) != 0;
  if ((events & (due | address_changed)) != 0) {
    is_usable_ = false;
    return;
  }
  const bool is_first = buffer_.empty();
  const Socket::Result result = socket_.read(buffer_);
  if (is_first && !buffer_.empty()) timer_.set(std::min(timer_.due(), scheduler_.now() + body_timeout));
  if (result == Socket::Result::broken) {
    is_usable_ = false;
  } else {
    progress_ = parser_.feed(buffer_.bytes(), result == Socket::Result::ended);
  }
}

void EndpointWatcher::finish_response() {
  is_usable_ = is_usable_ && progress_ == http::Progress::complete && apply_response();
  if (!is_usable_) return;
  is_usable_ = parser_.keep_alive();
  buffer_.consume(parser_.size());
  buffer_.shrink(max_idle_buffer);
}

/// Returns whether the next try follows at once.
bool EndpointWatcher::end_connection() {
  constexpr Bits socket_events = Waker::readable | Waker::writable | Waker::hung_up;
  socket_.close();
  timer_.cancel();
  if (address_has_changed_) {  // no failure
    waker_.clear(socket_events);
    backoff_ = Span();
    return true;
  }
  if (has_list_) log_line("watch on the list broke off; asking again");
  waker_.clear(socket_events);
  observer_.on_endpoint_list_failure();
  if (!timed_out_) return false;
  // The time-out was pause enough. A discovery that comes back answers the requests that are open then; with
  // a pause a drain that it announces could fall between two tries.
  ++consecutive_timeouts_;
  return true;
}

void EndpointWatcher::start_backoff() {
  // An agent is tried again at once: a single break is mostly alone.
  if (kind_ == DiscoveryKind::service) backoff_ = std::max(backoff_, first_service_backoff);
  const Span retry_after = std::exchange(retry_after_, Span());  // no earlier, and not all sidecars at once
  timer_.set(scheduler_.now() +
             std::max(backoff_ * (0.5 + random_.unit()), retry_after * (1.0 + random_.unit())));
  backoff_ = std::clamp(backoff_ * 2.0, std::min(first_backoff, max_backoff()), max_backoff());
}

// --- Responses

/// False: the response is of no use, and the connection ends.
bool EndpointWatcher::apply_response() {
  if (parser_.status() != 200) {
    log_line("discovery answers %d", parser_.status());
    note_retry_after();
    return false;
  }
  try {
    EndpointList list = parse_endpoint_list(parser_.body());
    apply_list(list);
    return true;
  } catch (const EndpointListError& e) {
    log_line("list not used: %s", e.what());
    has_list_ = false;
    return false;
  }
}

/// What is no number, or none above zero, states nothing.
void EndpointWatcher::note_retry_after() {
  const std::string_view text = parser_.find("Retry-After").value_or("");
  double seconds = 0.0;
  if (std::from_chars(text.data(), text.data() + text.size(), seconds).ec == std::errc() && seconds > 0.0)
    retry_after_ = std::min(max_retry_after, Span::ms(std::min(seconds, max_retry_after.as_ms()) * 1000.0));
}

void EndpointWatcher::apply_list(EndpointList& list) {
  // Discovery has come back with less than the version that was asked after: its changes are of another list,
  // and the whole one is to be asked for.
  const bool is_behind = !list.full && list.version < version_;
  version_ = list.version;
  list.is_stale = list.full && version_ < newest_version_;
  newest_version_ = std::max(newest_version_, version_);
  if (list.is_stale)
    log_line("discovery is back with an older list: what drained or is gone stays so for now");
  has_list_ = !is_behind;
  backoff_ = Span();
  consecutive_timeouts_ = 0;
  observer_.on_endpoint_list(list);
}

// --- Times

Span EndpointWatcher::long_poll_time() const {
  return kind_ == DiscoveryKind::service ? service_poll_time : agent_poll_time;
}

Span EndpointWatcher::max_backoff() const {
  if (kind_ == DiscoveryKind::service) return max_service_backoff;
  return std::clamp(drain_grace_ * backoff_grace_fraction, min_agent_backoff, max_agent_backoff);
}

Span EndpointWatcher::response_timeout() const {
  if (kind_ == DiscoveryKind::service) return service_response_timeout;
  const Span least =
      std::clamp(drain_grace_ * timeout_grace_fraction, min_response_timeout, max_response_timeout);
  const unsigned doublings = consecutive_timeouts_ % timeout_steps;
  return std::min(max_response_timeout, least * static_cast<double>(1U << doublings));
}

}  // namespace chutevane::discovery
