/// Client of the platform's API that lists the endpoints (`GET /instances`, paginated).
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/messages.hpp"
#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control {

/// One page of the list.
struct InstancePage {
  std::vector<common::EndpointEntry> entries;
  std::string next_token;  // token of the next page; empty if this is the last one
};

/// Parses the JSON body of a page. Returns std::nullopt if it is malformed or an instance lacks a required
/// field.
std::optional<InstancePage> parse_instance_page(std::string_view body);

/// Fetches the complete list over one persistent connection, one page at a time, within the platform's rate
/// limit.
class PlatformClient final : net::Channel::Observer {
 public:
  /// Receives the complete list, or std::nullopt if any page failed or timed out.
  using Callback = std::function<void(std::optional<std::vector<common::EndpointEntry>>)>;

  /// `rate_limit`: calls per second that the platform allows to all controllers together; 0 means no limit.
  PlatformClient(net::Scheduler& scheduler, net::TimerQueue& timers, const sockaddr_in& address,
                 double rate_limit);

  /// Starts to fetch the list; does nothing while is_fetching(). `callback` runs once, from the event loop or
  /// from within this call.
  void fetch_endpoints(Callback callback);
  bool is_fetching() const { return callback_ != nullptr; }

 private:
  void connect();
  void request_page();
  void finish(bool success);
  void drop_channel();
  void on_channel_open(net::Channel&) override { request_page(); }
  void on_channel_data(net::Channel&) override;
  void on_channel_closed(net::Channel&) override;

  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const sockaddr_in address_;
  const Span page_interval_;
  std::unique_ptr<net::Channel> channel_;
  // The previous channel. It may be the caller of the function that replaces it, so it is kept until the next
  // replacement.
  std::unique_ptr<net::Channel> retired_channel_;
  http::Parser parser_;
  std::vector<common::EndpointEntry> entries_;  // from the pages fetched so far
  std::string next_token_;
  net::TimerQueue::Handle timeout_;
  net::TimerQueue::Handle next_page_timer_;
  Callback callback_;  // of the fetch in progress; empty if there is none
};

}  // namespace chutevane::control
