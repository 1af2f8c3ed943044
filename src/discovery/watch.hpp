// Keeps the list of endpoints: asks discovery for the whole of it, then watches for what changes.
#pragma once

#include <optional>
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

// Who tells the list: an agent beside this process, which has been told and answers at once, or one service
// for the whole fleet, at which calls wait their turn and are turned away when there are too many.
enum class Teller : std::uint8_t { agent, service };

class Watch {
 public:
  // Begins and comes back by itself. `grace`: so long after news an endpoint may still get something new;
  // they are heard well within it. `first_over`: the first question is drawn over so long, so that sidecars
  // that start together do not ask together. `known`: the version of the list as had.
  Watch(net::Scheduler& scheduler, const std::string& address, Teller teller, std::uint64_t seed, Sink& sink,
        Span grace, Span first_over, std::optional<std::uint64_t> known);
  // Discovery has moved: begins anew there, with the whole list. The list as had stays until then.
  void move(const std::string& address);

 private:
  static constexpr net::Waker::Bits due = net::Waker::own, moved = net::Waker::own << 1U;
  net::Task run();
  // How long this try is silent before it is given up, and the most between two.
  Span silence() const;
  Span wait() const;  // of a watch for news
  Span pause_at_most() const;
  void write_request();
  // What a whole answer holds; tells the sink.
  bool read_answer();

  net::Scheduler& scheduler_;
  std::string address_;
  const Teller teller_;
  Sink& sink_;
  Pcg chance_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer buffer_;
  http::Parser parser_;
  bool moved_ = false;                      // since this connection was begun
  bool have_list_ = false;                  // the next request is for what has changed since
  std::uint64_t version_ = 0, newest_ = 0;  // newest_: that this discovery has ever told
  const Span grace_;
  unsigned silent_ = 0;  // tries in a row that ended by the clock
  Span pause_;
  Span first_over_;
  Span come_back_;  // as a refusal has stated it
  net::Task task_;
};

}  // namespace chutevane::discovery
