/// One connection to the administration port: one HTTP/1.1 request, its response, and the end.
#pragma once

#include <string_view>

#include "http/parser.hpp"
#include "net/buffer.hpp"
#include "net/socket.hpp"
#include "net/task_group.hpp"

namespace chutevane::admin {

class AdminServer;

/// Owned by an AdminServer, which it leaves when it has ended.
class AdminConnection {
 public:
  /// Takes over a connected, non-blocking descriptor.
  AdminConnection(net::Scheduler& scheduler, AdminServer& server, int descriptor);
  std::size_t group_index = 0;

 private:
  friend class AdminServer;
  static constexpr net::Waker::Bits timed_out = net::Waker::own, evicted = net::Waker::own << 1U;

  net::Task run();
  void respond_to(http::Progress progress);
  void handle_request();
  void write_response(int status, std::string_view type, std::string_view body, std::string_view allow = {});

  net::Scheduler& scheduler_;
  AdminServer& server_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer buffer_;
  http::Parser parser_;
  bool has_request_ = false;  // or what is answered in place of one: the connection is evicted first
  const TimePoint opened_at_;
  net::Task task_;
};

}  // namespace chutevane::admin
