#include "control/platform_client.hpp"

#include <simdjson.h>

#include "common/log.hpp"
#include "http/writer.hpp"

namespace chutevane::control {
namespace {

constexpr Span page_timeout = Span::ms(800);  // a page is small, and the next poll is due by then
// Share of the rate limit to use, since two controllers may fetch for a moment while the leader changes.
constexpr double rate_fraction = 0.6;
constexpr http::Limits page_limits{.head = 16 * 1024, .body = 8U << 20U, .fields = 100};

/// Returns std::nullopt if a required field is missing or has the wrong type.
std::optional<common::EndpointEntry> parse_instance(const simdjson::dom::element& instance) {
  std::string_view id, service, address, state;
  if (instance["id"].get(id) != simdjson::SUCCESS || instance["service"].get(service) != simdjson::SUCCESS ||
      instance["address"].get(address) != simdjson::SUCCESS ||
      instance["state"].get(state) != simdjson::SUCCESS)
    return std::nullopt;
  common::EndpointEntry entry;
  entry.id = id;
  entry.service = service;
  entry.address = address;
  entry.draining = state == "draining";
  std::string_view zone;
  if (instance["zone"].get(zone) == simdjson::SUCCESS) entry.zone = zone;
  double capacity = 0, slow_start_ms = 0;
  if (instance["capacity"].get(capacity) == simdjson::SUCCESS)
    entry.capacity = static_cast<std::int64_t>(capacity);
  if (instance["coldLeftMs"].get(slow_start_ms) == simdjson::SUCCESS)
    entry.slow_start_ms = static_cast<std::int64_t>(slow_start_ms);
  return entry;
}

}  // namespace

std::optional<InstancePage> parse_instance_page(std::string_view body) {
  simdjson::dom::parser parser;
  const simdjson::padded_string padded(body);
  simdjson::dom::object root;
  simdjson::dom::array instances;
  if (parser.parse(padded).get(root) != simdjson::SUCCESS ||
      root["instances"].get(instances) != simdjson::SUCCESS)
    return std::nullopt;
  InstancePage page;
  for (const simdjson::dom::element instance : instances) {
    std::optional<common::EndpointEntry> entry = parse_instance(instance);
    if (!entry) return std::nullopt;
    page.entries.push_back(*std::move(entry));
  }
  std::string_view next_token;
  if (root["nextToken"].get(next_token) == simdjson::SUCCESS) page.next_token = next_token;
  return page;
}

PlatformClient::PlatformClient(net::Scheduler& scheduler, net::TimerQueue& timers, const sockaddr_in& address,
                               double rate_limit)
    : scheduler_(scheduler),
      timers_(timers),
      address_(address),
      page_interval_(Span::ms(rate_limit > 0 ? 1000.0 / (rate_limit * rate_fraction) : 0)),
      parser_(http::Side::response, page_limits) {}

void PlatformClient::fetch_endpoints(Callback callback) {
  if (is_fetching()) return;
  callback_ = std::move(callback);
  entries_.clear();
  next_token_.clear();
  if (channel_ && channel_->up()) {
    request_page();
  } else {
    connect();
  }
}

void PlatformClient::connect() {
  timeout_ = timers_.after(page_timeout, [this] { finish(false); });
  retired_channel_ = std::move(channel_);
  channel_ = std::make_unique<net::Channel>(scheduler_, static_cast<net::Channel::Observer&>(*this));
  if (!channel_->connect(address_)) finish(false);
}

void PlatformClient::request_page() {
  if (!is_fetching() || !channel_ || !channel_->up()) return;
  timers_.cancel(timeout_);
  timeout_ = timers_.after(page_timeout, [this] { finish(false); });
  parser_.reset();
  http::Writer out(channel_->out());
  out.request_line("GET", next_token_.empty() ? "/instances" : "/instances?pageToken=" + next_token_);
  out.field("Host", net::text_of(address_)).no_body();
  channel_->flush();
}

void PlatformClient::drop_channel() {
  channel_->close();
  retired_channel_ = std::move(channel_);
}

void PlatformClient::finish(bool success) {
  timers_.cancel(timeout_);
  timers_.cancel(next_page_timer_);
  if (!success && channel_) drop_channel();
  if (!is_fetching()) return;
  const Callback callback = std::move(callback_);
  callback_ = nullptr;
  if (success) {
    callback(std::move(entries_));
  } else {
    callback(std::nullopt);
  }
}

void PlatformClient::on_channel_data(net::Channel& channel) {
  if (&channel != channel_.get()) return;
  const http::Progress progress = parser_.feed(channel.in().bytes());
  if (progress == http::Progress::more) return;
  if (progress == http::Progress::failed || parser_.status() != 200 || !is_fetching()) return finish(false);
  std::optional<InstancePage> page = parse_instance_page(parser_.body());
  const bool keep_alive = parser_.keep_alive();
  channel.in().consume(parser_.size());
  if (!page) {
    common::log_warning("list.unreadable", "cannot parse a page of the platform's list of instances");
    return finish(false);
  }
  for (common::EndpointEntry& entry : page->entries) entries_.push_back(std::move(entry));
  next_token_ = page->next_token;
  const bool is_complete = next_token_.empty();
  if (!keep_alive) drop_channel();
  if (is_complete || !keep_alive) return finish(is_complete);
  next_page_timer_ = timers_.after(page_interval_, [this] { request_page(); });
}

void PlatformClient::on_channel_closed(net::Channel& channel) {
  if (&channel != channel_.get()) return;
  retired_channel_ = std::move(channel_);
  if (is_fetching()) finish(false);
}

}  // namespace chutevane::control
