// The second address, where operators call: HTTP/1.1, one call to a connection, apart from the callers' side.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/parser.hpp"
#include "net/buffer.hpp"
#include "net/socket.hpp"
#include "net/task_group.hpp"

namespace chutevane::admin {

// What operators ask of a process. Every call is harmless when it comes twice.
class Desk {
 public:
  virtual bool takes_clients() const = 0;
  virtual std::string figures() const = 0;           // JSON
  virtual std::string coming_back_text() const = 0;  // the same: how far it is on its way to full service
  // False: this process is about to end, and the word changes nothing.
  virtual bool out_of_service() = 0;
  virtual bool in_service() = 0;

 protected:
  ~Desk() = default;
};

class Server;

class Visit {
 public:
  Visit(net::Scheduler& scheduler, Server& server, int fd);
  std::size_t group_index = 0;

 private:
  friend class Server;
  static constexpr net::Waker::Bits due = net::Waker::own, dropped = net::Waker::own << 1U;
  net::Task run();
  void answer(int status, std::string_view type, std::string_view body, std::string_view allow = {});
  void serve();

  net::Scheduler& scheduler_;
  Server& server_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer buffer_;
  http::Parser parser_;
  bool whole_ = false;  // its call has come
  const TimePoint since_;
  net::Task task_;
};

class Server {
 public:
  // `most`: connections at once, its own reserve of descriptors.
  Server(net::Scheduler& scheduler, Desk& desk, std::size_t most);
  void listen(const sockaddr_in& at);  // throws std::system_error
  std::optional<sockaddr_in> address() const { return socket_.local(); }
  std::size_t size() const { return visits_.size(); }

 private:
  friend class Visit;
  net::Task accept();
  void make_room();

  net::Scheduler& scheduler_;
  Desk& desk_;
  const std::size_t most_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::TaskGroup<Visit> visits_;
  net::Task task_;
};

}  // namespace chutevane::admin
