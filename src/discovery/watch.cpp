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
constexpr Span answer_slack =
    Span::ms(500);  // for an answer to begin, past its wait: the agent is on this machine
constexpr Span answer_most = Span::ms(300);  // from its first byte to its last
constexpr Span pause_first = Span::ms(100),
               pause_most = Span::ms(1000);       // between tries after the first, doubling
constexpr Span come_back_most = Span::ms(60000);  // that a refusal may ask for
constexpr std::size_t list_most = 4U << 20U;      // bytes: some ten thousand entries

}  // namespace

Watch::Watch(net::Scheduler& scheduler, const std::string& address, bool persistent, std::uint64_t seed,
             Sink& sink, Span first_over)
    : scheduler_(scheduler),
      address_(address),
      persistent_(persistent),
      sink_(sink),
      chance_(seed),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      parser_(http::Side::response, {.head = 16 * 1024, .body = list_most, .fields = 100}),
      first_over_(first_over),
      task_(run()) {
  task_.start();
}

void Watch::start() { waker_.set(asked); }

void Watch::move(const std::string& address) {
  if (address == address_) return;
  log_line("discovery moves from %s to %s", address_.c_str(), address.c_str());
  address_ = address;
  moved_ = true;
  newest_ = 0;  // another's versions count from anew
  waker_.set(moved);
}

void Watch::write_request() {
  std::string target = "/v1/endpoints";
  if (have_list_) {
    target += "?after=" + std::to_string(version_) +
              "&wait_ms=" + std::to_string(static_cast<long>(watch_wait.as_ms()));
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
    version_ = list.version;
    list.older = list.full && version_ < newest_;
    newest_ = std::max(newest_, version_);
    if (list.older)
      log_line("discovery is back with an older list: what drained or is gone stays so for now");
    have_list_ = true;
    pause_ = Span();
    sink_.list_came(list);
    return true;
  } catch (const ListError& e) {
    log_line("list not used: %s", e.what());
    return false;
  }
}

net::Task Watch::run() {
  using net::Socket;
  using net::Waker;
  if (!persistent_) co_await waker_.wait(asked);
  if (persistent_ && first_over_ > Span()) {
    timer_.set(scheduler_.now() + first_over_ * chance_.unit());
    co_await waker_.wait(due | moved);
  }
  while (true) {
    // One connection, for as long as it answers. It begins with the whole list: what changed while there
    // was no watch is in it.
    have_list_ = moved_ = false;
    waker_.clear(moved);
    buffer_.consume(buffer_.size());
    bool up = socket_.connect(*net::parse_address(address_));
    if (up) {
      timer_.set(scheduler_.now() + answer_slack);
      const Waker::Bits bits = co_await waker_.wait(Waker::writable | Waker::hung_up | due | moved);
      up = (bits & (due | moved)) == 0 && socket_.connected();
    }
    while (up) {
      write_request();
      timer_.set(scheduler_.now() + answer_slack + (have_list_ ? watch_wait : Span()));
      while (up && !buffer_.empty()) {
        std::size_t written = 0;
        const Socket::Result result = socket_.write(buffer_.bytes(), written);
        buffer_.consume(written);
        if (result == Socket::Result::broken) up = false;
        if (result != Socket::Result::later) continue;
        const Waker::Bits bits = co_await waker_.wait(Waker::writable | due | moved);
        up = (bits & (due | moved)) == 0;
      }
      parser_.reset();
      http::Progress progress = http::Progress::more;
      while (up && progress == http::Progress::more) {
        const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | moved);
        const bool stop = (bits & (due | moved)) != 0;
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
    if (have_list_ && !up) log_line("watch on the list broke off; asking for the whole list again");
    waker_.clear(Waker::readable | Waker::writable | Waker::hung_up | asked);
    sink_.list_failed();
    if (persistent_) {
      // The first time at once: one break is most often alone.
      const Span least =
          std::exchange(come_back_, Span());  // nobody comes earlier than told, nor all at once
      timer_.set(scheduler_.now() +
                 std::max(pause_ * (0.5 + chance_.unit()), least * (1.0 + chance_.unit())));
      pause_ = std::clamp(pause_ * 2.0, pause_first, pause_most);
      co_await waker_.wait(due | moved);
    } else {
      co_await waker_.wait(asked | moved);
    }
  }
}

}  // namespace chutevane::discovery
