// The calling side over HTTP/1.1: connections that are kept, each with one request at a time. Used by the
// callers, by endpoints that call the next tier, and by whoever asks whether something is ready.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "http/parser.hpp"
#include "net/buffer.hpp"
#include "net/socket.hpp"
#include "net/task_group.hpp"

namespace chutevane::lab {

// Where a new connection leads, and who answers there.
struct Destination {
  sockaddr_in address{};
  std::size_t sidecar = 0;
};

class Dealer {
 public:
  virtual std::optional<Destination> deal() = 0;  // none: nobody is there

 protected:
  ~Dealer() = default;
};

enum class Failure : std::uint8_t { nobody, refused, broken, timed_out };

// Hears of each request once: one of answered and failed. `extra_bytes`, of its connection's later bytes, may
// follow.
class ClientSink {
 public:
  // It goes out on a connection to this sidecar; once more if a kept connection turned out to be closed.
  virtual void sent(std::uint64_t request, std::size_t sidecar) = 0;
  virtual void answered(std::uint64_t request, const http::Parser& answer) = 0;
  virtual void failed(std::uint64_t request, Failure how) = 0;
  virtual void extra_bytes(std::uint64_t request) = 0;
  // Its kept connection was closed as it crossed. Whether it may go out once more: not where its first going
  // out may have been taken.
  virtual bool goes_again(std::uint64_t request) = 0;
  virtual void room() {}  // a connection has become free, or has ended

 protected:
  ~ClientSink() = default;
};

class Client;

class ClientConnection {
 public:
  ClientConnection(net::Scheduler& scheduler, Client& all, const Destination& to);
  std::size_t group_index = 0;

 private:
  friend class Client;
  static constexpr net::Waker::Bits due = net::Waker::own, given = net::Waker::own << 1U,
                                    dropped = net::Waker::own << 2U;
  enum class Stage : std::uint8_t { connecting, busy, idle, closed };
  net::Task run();
  void begin(std::uint64_t request, std::string text, TimePoint deadline);

  net::Scheduler& scheduler_;
  Client& all_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer out_, in_;
  http::Parser parser_{http::Side::response};
  Destination to_;
  Stage stage_ = Stage::connecting;
  std::uint64_t request_ = 0, last_request_ = 0;  // 0: none in hand
  std::string text_;                              // of the request, for the one time it may go out again
  TimePoint deadline_;
  bool reused_ = false;
  net::Task task_;
};

class Client {
 public:
  // Keeps at most `most` connections, idle ones for `idle_most`.
  Client(net::Scheduler& scheduler, ClientSink& sink, Dealer& dealer, std::size_t most, Span idle_most);

  // As many clients with a connection each: new ones are opened up to the most before one is used again.
  void spread() { spread_ = true; }
  // Sends it on the connection that has rested longest, or a new one; false when all are busy. `request` is
  // not 0.
  bool send(std::uint64_t request, std::string text, TimePoint deadline);
  // Nobody waits for it any more: its connection is closed, and nothing is told.
  void abandon(std::uint64_t request);
  void close_all();
  // How long what came last of the answer being told was on its way.
  Span way() const { return way_; }
  bool has_room() const { return !idle_.empty() || connections_.size() < most_; }
  std::size_t size() const { return connections_.size(); }
  std::uint64_t opened() const { return opened_; }

 private:
  friend class ClientConnection;
  bool dispatch(std::uint64_t request, std::string text, TimePoint deadline, bool fresh);
  void rest(ClientConnection& one);
  void unrest(ClientConnection& one);

  net::Scheduler& scheduler_;
  Span way_;
  ClientSink& sink_;
  Dealer& dealer_;
  std::size_t most_;
  Span idle_most_;
  bool spread_ = false;
  std::uint64_t opened_ = 0;
  std::deque<ClientConnection*> idle_;  // the one that has rested longest first
  std::unordered_map<std::uint64_t, ClientConnection*> busy_;
  net::TaskGroup<ClientConnection> connections_;
};

// The request of an API call, in the platform's form. `reference`: for tracks that have one.
struct CallText {
  std::uint64_t call = 0;
  std::string_view track;
  bool read_only = false;
  std::string_view reference;
  Span left;
  bool repeated = false;
  std::size_t body = 0;
  std::string_view client;  // who asks; empty: not said
  std::uint64_t key = 0;    // what it is about; 0: not said
};
std::string call_text(const CallText& call);
// An id's number, or 0 when it is none that the lab makes.
std::uint64_t call_of(std::string_view id);

}  // namespace chutevane::lab
