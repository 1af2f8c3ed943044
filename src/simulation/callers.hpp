// Clients of the operators' API: each call on a connection of its own.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/task_group.hpp"
#include "net/timer_queue.hpp"
#include "network_simulation/simulator.hpp"

namespace chutevane::simulation {

struct HttpResult {
  int status = 0;
  std::string body;
  std::int64_t version = 0;  // of X-Chutevane-Base-Version, where it is there
};

class Callers {
 public:
  // `result`: none, where the connection was lost or `most` was over before an answer came.
  using Done = std::function<void(std::optional<HttpResult> result)>;

  explicit Callers(network_simulation::Process& process);
  net::TimerQueue& later() { return timers_; }
  net::Scheduler& scheduler() { return scheduler_; }
  void call(const sockaddr_in& to, std::string request, Span most, Done done);
  static std::string post(std::string_view target, std::string_view body, std::int64_t base_version);
  static std::string get(std::string_view target);

 private:
  class Call final : net::Channel::Observer {
   public:
    Call(Callers& callers, std::string request, Done done);
    std::size_t group_index = 0;

   private:
    friend class Callers;
    void on_channel_open(net::Channel&) override { channel_.write(request_); }
    void on_channel_data(net::Channel&) override;
    void on_channel_closed(net::Channel&) override { end(std::nullopt); }
    void end(std::optional<HttpResult> result);
    Callers& callers_;
    net::Channel channel_;
    http::Parser parser_{http::Side::response, {.head = 16 * 1024, .body = 16U << 20U, .fields = 100}};
    const std::string request_;
    Done done_;
    net::TimerQueue::Handle due_;
  };
  net::Scheduler scheduler_;
  net::TimerQueue timers_;
  net::TaskGroup<Call> tasks_;
  std::map<std::uint64_t, Call*> calls_;
};

}  // namespace chutevane::simulation
