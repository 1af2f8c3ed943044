/// \file
/// A client of the operators' API. Each call has a connection of its own.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/task_group.hpp"
#include "net/timer_queue.hpp"
#include "network_simulation/simulator.hpp"

namespace chutevane::tier_simulation {

struct HttpResult {
  int status = 0;
  std::string body;
  std::int64_t version = 0;  ///< of X-Chutevane-Base-Version; 0: it has none
};

class HttpClient {
 public:
  /// `result`: none if the connection was lost or the time-out came before the response.
  using Callback = std::function<void(std::optional<HttpResult> result)>;

  /// Runs the process.
  explicit HttpClient(network_simulation::Process& process);
  net::TimerQueue& timers() { return timers_; }
  net::Scheduler& scheduler() { return scheduler_; }
  void call(const sockaddr_in& to, std::string request, Span timeout, Callback callback);
  /// Requests to be passed to call().
  static std::string post(std::string_view target, std::string_view body, std::int64_t base_version);
  static std::string get(std::string_view target);

 private:
  class Call final : net::Channel::Observer {
   public:
    Call(HttpClient& client, std::string request, Callback callback);
    std::size_t group_index = 0;

   private:
    friend class HttpClient;
    void on_channel_open(net::Channel&) override { channel_.write(request_); }
    void on_channel_data(net::Channel&) override;
    void on_channel_closed(net::Channel&) override { finish(std::nullopt); }
    void finish(std::optional<HttpResult> result);
    HttpClient& client_;
    net::Channel channel_;
    http::Parser parser_{http::Side::response, {.head = 16 * 1024, .body = 16U << 20U, .fields = 100}};
    const std::string request_;
    Callback callback_;
    net::TimerQueue::Handle timeout_;
  };
  net::Scheduler scheduler_;
  net::TimerQueue timers_;
  net::TaskGroup<Call> tasks_;
};

}  // namespace chutevane::tier_simulation
