#include "control/platform.hpp"

#include <simdjson.h>

#include "common/log.hpp"
#include "http/writer.hpp"

namespace chutevane::control {
namespace {

constexpr Span page_most = Span::ms(800);  // for one page: it is small, and the next reading is due by then
constexpr double rate_part = 0.6;  // of the platform's rate: others may have the duty for a moment too

}  // namespace

std::optional<Page> read_page(std::string_view body) {
  simdjson::dom::parser parser;
  const simdjson::padded_string padded(body);
  simdjson::dom::object all;
  simdjson::dom::array instances;
  if (parser.parse(padded).get(all) != simdjson::SUCCESS ||
      all["instances"].get(instances) != simdjson::SUCCESS)
    return std::nullopt;
  Page out;
  for (const simdjson::dom::element e : instances) {
    common::EndpointEntry one;
    std::string_view id, service, address, zone, state;
    if (e["id"].get(id) != simdjson::SUCCESS || e["service"].get(service) != simdjson::SUCCESS ||
        e["address"].get(address) != simdjson::SUCCESS || e["state"].get(state) != simdjson::SUCCESS)
      return std::nullopt;
    if (e["zone"].get(zone) == simdjson::SUCCESS) one.zone = zone;
    double capacity = 0, cold = 0;
    if (e["capacity"].get(capacity) == simdjson::SUCCESS) one.capacity = static_cast<std::int64_t>(capacity);
    if (e["coldLeftMs"].get(cold) == simdjson::SUCCESS) one.slow_start_ms = static_cast<std::int64_t>(cold);
    one.id = id;
    one.service = service;
    one.address = address;
    one.draining = state == "draining";
    out.entries.push_back(std::move(one));
  }
  std::string_view next;
  if (all["nextToken"].get(next) == simdjson::SUCCESS) out.next = next;
  return out;
}

Platform::Platform(net::Scheduler& scheduler, net::TimerQueue& later, const sockaddr_in& at, double rate)
    : scheduler_(scheduler),
      timers_(later),
      at_(at),
      page_pause_(Span::ms(rate > 0 ? 1000.0 / (rate * rate_part) : 0)),
      parser_(http::Side::response, {.head = 16 * 1024, .body = 8U << 20U, .fields = 100}) {}

void Platform::read(Done done) {
  if (done_) return;
  done_ = std::move(done);
  entries_.clear();
  token_.clear();
  if (channel_ && channel_->up()) {
    ask();
    return;
  }
  due_ = timers_.after(page_most, [this] { finish(false); });
  old_ = std::move(channel_);
  channel_ = std::make_unique<net::Channel>(scheduler_, static_cast<net::Channel::Observer&>(*this));
  if (!channel_->connect(at_)) finish(false);
}

void Platform::ask() {
  if (!done_ || !channel_ || !channel_->up()) return;
  timers_.cancel(due_);
  due_ = timers_.after(page_most, [this] { finish(false); });
  parser_.reset();
  http::Writer out(channel_->out());
  out.request_line("GET", token_.empty() ? "/instances" : "/instances?pageToken=" + token_);
  out.field("Host", net::text_of(at_)).no_body();
  channel_->flush();
}

void Platform::finish(bool good) {
  timers_.cancel(due_);
  timers_.cancel(next_);
  if (!good && channel_) {
    channel_->close();
    old_ = std::move(channel_);
  }
  if (!done_) return;
  const Done done = std::move(done_);
  done_ = nullptr;
  if (good) {
    done(std::move(entries_));
  } else {
    done(std::nullopt);
  }
}

void Platform::on_channel_data(net::Channel& channel) {
  if (&channel != channel_.get()) return;
  const http::Progress progress = parser_.feed(channel.in().bytes());
  if (progress == http::Progress::more) return;
  if (progress == http::Progress::failed || parser_.status() != 200 || !done_) {
    finish(false);
    return;
  }
  std::optional<Page> page = read_page(parser_.body());
  const bool keep = parser_.keep_alive();
  channel.in().consume(parser_.size());
  if (!page) {
    common::log_warning("list.unreadable", "a page of the platform's list could not be read");
    finish(false);
    return;
  }
  for (common::EndpointEntry& one : page->entries) entries_.push_back(std::move(one));
  token_ = page->next;
  if (token_.empty() || !keep) {
    const bool whole = token_.empty();
    if (!keep) {
      channel.close();
      old_ = std::move(channel_);
    }
    finish(whole);
    return;
  }
  next_ = timers_.after(page_pause_, [this] { ask(); });
}

void Platform::on_channel_closed(net::Channel& channel) {
  if (&channel != channel_.get()) return;
  old_ = std::move(channel_);
  if (done_) finish(false);
}

}  // namespace chutevane::control
