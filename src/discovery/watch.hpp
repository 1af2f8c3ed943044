// Keeps the list of endpoints: asks discovery for the whole of it, then watches for what changes.
#pragma once

#include <string>

#include "base/pcg.hpp"
#include "discovery/list.hpp"
#include "http/parser.hpp"
#include "net/buffer.hpp"
#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace chutevane::discovery {

class Sink {
 public:
  virtual void list_came(const List& list) = 0;
  virtual void list_failed() = 0;  // discovery could not be asked, or the watch broke

 protected:
  ~Sink() = default;
};

class Watch {
 public:
  // `persistent`: begins by itself and comes back by itself; otherwise each start() is one try, and a
  // failure ends it. `first_over`: a persistent watch's first question is drawn over so long, so that
  // sidecars that start together do not ask together.
  Watch(net::Scheduler& scheduler, const std::string& address, bool persistent, std::uint64_t seed,
        Sink& sink, Span first_over = Span());
  void start();
  // Discovery has moved: begins anew there, with the whole list. The list as had stays until then.
  void move(const std::string& address);

 private:
  static constexpr net::Waker::Bits due = net::Waker::own, asked = net::Waker::own << 1U,
                                    moved = net::Waker::own << 2U;
  net::Task run();
  void write_request();
  // What a whole answer holds; tells the sink.
  bool read_answer();

  net::Scheduler& scheduler_;
  std::string address_;
  bool persistent_;
  Sink& sink_;
  Pcg chance_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer buffer_;
  http::Parser parser_;
  bool moved_ = false;                      // since this connection was begun
  bool have_list_ = false;                  // on this connection: the next request is for what has changed
  std::uint64_t version_ = 0, newest_ = 0;  // newest_: that this discovery has ever told
  Span pause_;
  Span first_over_;
  Span come_back_;  // as a refusal has stated it
  net::Task task_;
};

}  // namespace chutevane::discovery
