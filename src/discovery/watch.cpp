#include "discovery/watch.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/log.hpp"
#include "http/writer.hpp"

namespace chutevane::discovery {
namespace {

constexpr Span watch_wait =
    Span::ms(4000);  // a watch without news: a connection gone silent is found this soon
// For a connection to come up and an answer to begin, past its wait. The agent is on this machine and answers
// at once; `least` is a busy machine's turn. A third of the tries in a row waits longer, for an agent that is
// slow.
constexpr Span silence_least = Span::ms(50), silence_most = Span::ms(500);
constexpr unsigned silence_steps = 3;
constexpr Span answer_most = Span::ms(300);  // from its first byte to its last
// Between tries that were refused or broke, after the first, doubling. With a grace that is told the most is
// a part of it: drawn up to half as long again, and with the try itself, news are heard within the grace.
constexpr Span pause_first = Span::ms(100), pause_most = Span::ms(1000), pause_least = Span::ms(20);
constexpr double pause_part = 0.4;
// At a service: its calls wait up to 3 s. One given up before has cost it all the same, and what it answers
// then counts as told. Its news are due within 6 s, so that tries are no further apart than this.
constexpr Span service_silence = Span::ms(3500), service_first = Span::ms(500), service_most = Span::ms(1000);
constexpr Span service_wait =
    Span::ms(2000);  // in place of watch_wait: found gone, and its turn, in under 6 s
constexpr Span come_back_most = Span::ms(60000);  // that a refusal may ask for
constexpr std::size_t list_most = 4U << 20U;      // bytes: some ten thousand entries

}  // namespace

Watch::Watch(net::Scheduler& scheduler, const std::string& address, Teller teller, std::uint64_t seed,
             Sink& sink, Span grace, Span first_over, std::optional<std::uint64_t> known)
    : scheduler_(scheduler),
      address_(address),
      teller_(teller),
      sink_(sink),
      chance_(seed),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      parser_(http::Side::response, {.head = 16 * 1024, .body = list_most, .fields = 100}),
      have_list_(known.has_value()),
      version_(known.value_or(0)),
      grace_(grace),
      first_over_(first_over),
      task_(run()) {
  task_.start();
}

void Watch::move(const std::string& address) {
  if (address == address_) return;
  log_line("discovery moves from %s to %s", address_.c_str(), address.c_str());
  address_ = address;
  moved_ = true;
  newest_ = 0;  // another's versions count from anew
  waker_.set(moved);
}

Span Watch::wait() const { return teller_ == Teller::service ? service_wait : watch_wait; }

Span Watch::pause_at_most() const {
  return teller_ == Teller::service ? service_most : std::clamp(grace_ * pause_part, pause_least, pause_most);
}

Span Watch::silence() const {
  if (teller_ == Teller::service) return service_silence;
  const Span least = std::clamp(grace_ * 0.5, silence_least, silence_most);
  return std::min(silence_most, least * static_cast<double>(1U << silent_ % silence_steps));
}

void Watch::write_request() {
  std::string target = "/v1/endpoints";
  if (have_list_) {
    target += "?after=" + std::to_string(version_) +
              "&wait_ms=" + std::to_string(static_cast<long>(wait().as_ms()));
  }
  http::Writer(buffer_).request_line("GET", target).field("Host", address_).no_body();
}

bool Watch::read_answer() {
  if (parser_.status() != 200) {
    log_line("discovery answers %d", parser_.status());
    const std::string_view after = parser_.find("Retry-After").value_or("");
    double seconds = 0.0;
    // No number, or one below zero, says nothing.
    if (std::from_chars(after.data(), after.data() + after.size(), seconds).ec == std::errc() &&
        seconds > 0.0)
      come_back_ = std::min(come_back_most, Span::ms(std::min(seconds, come_back_most.as_ms()) * 1000.0));
    return false;
  }
  try {
    List list = read_list(parser_.body());
    // It has come back with less than the version that was asked after: its changes are of another list.
    const bool behind = !list.full && list.version < version_;
    version_ = list.version;
    list.older = list.full && version_ < newest_;
    newest_ = std::max(newest_, version_);
    if (list.older)
      log_line("discovery is back with an older list: what drained or is gone stays so for now");
    have_list_ = !behind;
    pause_ = Span();
    silent_ = 0;
    sink_.list_came(list);
    return true;
  } catch (const ListError& e) {
    log_line("list not used: %s", e.what());
    have_list_ = false;
    return false;
  }
}

net::Task Watch::run() {
  using net::Socket;
  using net::Waker;
  if (first_over_ > Span()) {
    timer_.set(scheduler_.now() + first_over_ * chance_.unit());
    co_await waker_.wait(due | moved);
  }
  while (true) {
    // One connection, for as long as it answers. It begins with the whole list: what changed while there
    // was no watch is in it. At a service each call is the fleet's cost: what has changed is asked for at
    // once.
    if (moved_ || teller_ == Teller::agent) have_list_ = false;
    moved_ = false;
    bool late = false;
    waker_.clear(moved);
    buffer_.consume(buffer_.size());
    bool up = socket_.connect(*net::parse_address(address_));
    if (up) {
      timer_.set(scheduler_.now() + silence());
      const Waker::Bits bits = co_await waker_.wait(Waker::writable | Waker::hung_up | due | moved);
      late = (bits & due) != 0;
      up = (bits & (due | moved)) == 0 && socket_.connected();
    }
    while (up) {
      write_request();
      timer_.set(scheduler_.now() + (have_list_ ? wait() + silence_most : silence()));
      while (up && !buffer_.empty()) {
        std::size_t written = 0;
        const Socket::Result result = socket_.write(buffer_.bytes(), written);
        buffer_.consume(written);
        if (result == Socket::Result::broken) up = false;
        if (result != Socket::Result::later) continue;
        const Waker::Bits bits = co_await waker_.wait(Waker::writable | due | moved);
        late = (bits & due) != 0;
        up = (bits & (due | moved)) == 0;
      }
      parser_.reset();
      http::Progress progress = http::Progress::more;
      while (up && progress == http::Progress::more) {
        const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | moved);
        const bool stop = (bits & (due | moved)) != 0;
        late = (bits & due) != 0;
        const bool first = buffer_.empty();
        const Socket::Result result = stop ? Socket::Result::broken : socket_.read(buffer_);
        if (first && !buffer_.empty()) timer_.set(std::min(timer_.due(), scheduler_.now() + answer_most));
        if (result != Socket::Result::broken)
          progress = parser_.feed(buffer_.bytes(), result == Socket::Result::ended);
        if (result == Socket::Result::broken) up = false;
      }
      up = up && progress == http::Progress::complete && read_answer();
      if (!up) break;
      up = parser_.keep_alive();
      buffer_.consume(parser_.size());
      buffer_.shrink(16 * 1024);
    }
    socket_.close();
    timer_.cancel();
    if (moved_) {  // no failure
      waker_.clear(Waker::readable | Waker::writable | Waker::hung_up);
      pause_ = Span();
      continue;
    }
    if (have_list_ && !up) log_line("watch on the list broke off; asking again");
    waker_.clear(Waker::readable | Waker::writable | Waker::hung_up);
    sink_.list_failed();
    // Silence is its own pause. A discovery that is silent answers at its return what is open then, and an
    // endpoint may drain with it: guards rule 3 against a return that falls between two tries.
    if (late) {
      ++silent_;
      continue;
    }
    // The first time at once at an agent: one break is most often alone.
    if (teller_ == Teller::service) pause_ = std::max(pause_, service_first);
    const Span least = std::exchange(come_back_, Span());  // nobody comes earlier than told, nor all at once
    timer_.set(scheduler_.now() + std::max(pause_ * (0.5 + chance_.unit()), least * (1.0 + chance_.unit())));
    pause_ = std::clamp(pause_ * 2.0, std::min(pause_first, pause_at_most()), pause_at_most());
    co_await waker_.wait(due | moved);
  }
}

}  // namespace chutevane::discovery
