// Reads the platform's list of endpoints, page by page, within its rate.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/messages.hpp"
#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::control {

// One page as the platform answers it; nothing where it cannot be read.
struct Page {
  std::vector<common::EndpointEntry> entries;
  std::string next;  // empty: the last
};
std::optional<Page> read_page(std::string_view body);

class Platform final : net::Channel::Observer {
 public:
  using Done = std::function<void(std::optional<std::vector<common::EndpointEntry>>)>;
  Platform(net::Scheduler& scheduler, net::TimerQueue& later, const sockaddr_in& at, double rate);
  // The whole list, or nothing. One reading at a time.
  void read(Done done);
  bool reading() const { return done_ != nullptr; }

 private:
  void ask();
  void finish(bool good);
  void on_channel_open(net::Channel&) override { ask(); }
  void on_channel_data(net::Channel&) override;
  void on_channel_closed(net::Channel&) override;
  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const sockaddr_in at_;
  const Span page_pause_;
  std::unique_ptr<net::Channel> channel_, old_;
  http::Parser parser_;
  std::vector<common::EndpointEntry> entries_;
  std::string token_;
  net::TimerQueue::Handle due_, next_;
  Done done_;
};

}  // namespace chutevane::control
