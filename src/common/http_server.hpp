// Serves whole HTTP/1.1 requests on one address: for operators, readiness and figures, not for traffic.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/task_group.hpp"

namespace chutevane::common {

struct HttpResponse {
  int status = 200;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields = {};
};

class HttpServer {
 public:
  // The answer to one request: may be called later, once. Nothing happens where the caller has gone. Requests
  // of one connection are handled one after the other.
  using Reply = std::function<void(HttpResponse)>;
  using Handler = std::function<void(const http::Parser& request, Reply reply)>;

  HttpServer(net::Scheduler& scheduler, std::size_t body_most, Handler handler);
  void listen(const sockaddr_in& at) { listener_.listen(at); }
  std::optional<sockaddr_in> address() const { return listener_.address(); }

 private:
  class Connection final : net::Channel::Observer {
   public:
    explicit Connection(HttpServer& port);
    std::size_t group_index = 0;

   private:
    friend class HttpServer;
    void look();
    bool take_request();
    void answer(const HttpResponse& answer);
    void on_channel_data(net::Channel&) override { look(); }
    void on_channel_closed(net::Channel&) override;
    HttpServer& port_;
    net::Channel channel_;
    http::Parser parser_;
    std::uint64_t id_;
    std::uint64_t asked_number_ = 0;  // of the request that is handled, or was last
    bool asked_ = false, keep_ = true, looking_ = false;
  };
  net::Scheduler& scheduler_;
  const std::size_t body_most_;
  Handler handler_;
  net::Listener listener_;
  std::uint64_t last_ = 0;
  std::unordered_map<std::uint64_t, Connection*> connections_;
  net::TaskGroup<Connection> tasks_;
};

}  // namespace chutevane::common
