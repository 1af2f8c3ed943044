// The callers' side: the listener and the connections that API calls come in on.
#pragma once

#include <netinet/in.h>

#include <string>
#include <unordered_set>
#include <utility>

#include "http/parser.hpp"
#include "net/buffer.hpp"
#include "net/socket.hpp"
#include "net/task_group.hpp"
#include "sidecar/driver.hpp"
#include "sidecar/parting.hpp"
#include "sidecar/pipe.hpp"

namespace chutevane::sidecar {

class Callers;

// What requests are handed to: one service, or many behind routes.
class Intake {
 public:
  // What a request is, and of a call all but its id. `way`: what the intake needs to remember of it until
  // take().
  virtual Front::Kind read(const http::Parser& request, ApiCall& call, std::uint32_t& way,
                           std::string_view& why) const = 0;
  // A new call; its id. The answer may come before this returns.
  virtual CallId take(const ApiCall& call, std::uint32_t way, Caller& caller) = 0;
  virtual void caller_left(CallId call) = 0;
  // The process is about to end: every call still in hand gets its final answer now.
  virtual void break_off_all() = 0;

 protected:
  ~Intake() = default;
};

using OpenIds = std::unordered_set<std::string>;

// The id of an open call, held by its connection: the one place that takes and gives it back.
class OpenId {
 public:
  explicit OpenId(std::unordered_set<std::string>& all) : all_(all) {}
  ~OpenId() { give_back(); }
  OpenId(const OpenId&) = delete;
  OpenId& operator=(const OpenId&) = delete;
  bool take(std::string_view id) {  // false when another call holds it
    const auto [at, fresh] = all_.emplace(id);
    if (fresh) mine_ = *at;
    return fresh;
  }
  void give_back() {
    if (!mine_.empty()) all_.erase(std::exchange(mine_, ""));
  }

 private:
  std::unordered_set<std::string>& all_;
  std::string mine_;
};

class CallerConnection final : public Caller {
 public:
  CallerConnection(net::Scheduler& scheduler, Callers& all, int fd);
  ~CallerConnection();

  const http::Parser& request() const override { return parser_; }
  sockaddr_in peer() const override { return socket_.peer().value_or(sockaddr_in{}); }
  const std::shared_ptr<Pipe>& body() const override { return body_; }
  void done(const http::Parser& response) override;
  void began(const http::Parser& response, const std::shared_ptr<Pipe>& body) override;
  void rejected(Span come_back, const pool::Spent& spent) override;
  void broken_off(bool timed_out, const pool::Spent& spent) override;

  std::size_t group_index = 0;

 private:
  friend class Callers;
  static constexpr net::Waker::Bits due = net::Waker::own, answered = net::Waker::own << 1U,
                                    dropped = net::Waker::own << 2U, moved = net::Waker::own << 3U;
  net::Task run();
  // How long the next bytes of the request may take.
  TimePoint read_by() const;
  bool wants_pieces() const;  // the request is too large to be held
  void take_in_pieces();
  // The call in hand is over without an answer to it.
  void leave_call();
  // Puts an answer in the place of the request.
  template <class Write>
  void answer(Write write);
  void answer_plain(int status, std::string_view text);
  void refuse_request(int status, std::string_view text);
  void begin_request();
  std::optional<TimePoint> spare_since() const;
  void count_end(Result result);
  void end_outstanding();
  CallerEnd stage() const;
  bool idle() const { return call_ == 0 && to_write_ == 0 && !parser_.begun(); }

  net::Scheduler& scheduler_;
  Callers& all_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer buffer_;  // the request, then its answer in its place
  http::Parser parser_{http::Side::request, {.head = 16 * 1024, .body = 32U << 20U, .fields = 100}};
  // Of a request that comes in pieces: its head, where its body goes, and whether all has come.
  std::string head_;
  std::shared_ptr<Pipe> body_;
  bool come_whole_ = false, withheld_ = false;  // withheld: its caller waits for a word to send it
  // Of an answer that goes in pieces: where it comes from, what is about to be written, how it is framed.
  std::shared_ptr<Pipe> answer_;
  net::Buffer out_;
  bool chunked_ = false, tail_ = false;
  TimePoint body_since_;
  OpenId id_;
  std::uint32_t track_ = 0;   // of the request in hand
  bool outstanding_ = false;  // it counts as taken and not ended
  CallId call_ = 0;           // 0: none in hand
  std::size_t taken_ = 0;     // bytes of the request at the buffer's front
  std::size_t to_write_ = 0;  // bytes of the answer at the buffer's front
  bool last_ = false;         // the connection ends with this answer
  bool left_call_ = false;    // its caller went away while a call was in hand
  bool told_to_go_on_ = false, served_ = false, came_behind_ = false;
  bool lingering_ = false;  // the last answer is out; the peer may still be sending what nobody reads
  const TimePoint accepted_;
  TimePoint idle_since_, request_since_, read_at_;
  net::Task task_;
};

class Callers {
 public:
  Callers(net::Scheduler& scheduler, const config::Config& config, const Front& front, Intake& intake,
          Counters& counters, OpenIds& open_ids, net::BufferBudget& held);
  void listen(const sockaddr_in& at);  // throws std::system_error
  void listen_on(int fd);              // a listening descriptor that was handed over
  int listener() const { return socket_.descriptor(); }
  // Leaves new connections to the other process that listens with the same descriptor, until told otherwise.
  void leave_new(bool to_other);
  void share(double part);  // of the descriptors
  std::optional<sockaddr_in> address() const { return socket_.local(); }

  // The bounds on slow requests and idle connections, from the next wait of each connection on.
  void set_bounds(Span request_most, Span idle_most) { request_most_ = request_most, idle_most_ = idle_most; }
  // From now on `GET /ready` says no; all else is served as before.
  void begin_drain() { draining_ = true; }
  // All that a drain began is over: yes, and connections are kept.
  void end_drain() { draining_ = closing_ = false; }
  // Takes what has come up so far, but what the other process is left, then no new connection.
  void stop_listening();
  // From now on each answer ends its connection.
  void end_with_answers() { closing_ = true; }
  // Closes what has had nothing on it for so long.
  void close_idle(Span least);
  std::size_t size() const { return connections_.size(); }

 private:
  friend class CallerConnection;
  net::Task accept();
  void accept_all();
  CallerConnection* longest_idle();
  void shed(CallerConnection& connection);
  void left(CallerConnection& connection);

  net::Scheduler& scheduler_;
  const Front& front_;
  Intake& intake_;
  Counters& counters_;
  Span idle_most_, request_most_;
  const std::size_t connections_whole_;
  std::size_t connections_most_;
  bool leave_new_ = false, draining_ = false, closing_ = false, paused_ = false;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  OpenIds& open_ids_;
  net::BufferBudget& held_;
  Parting parting_;
  net::TaskGroup<CallerConnection> connections_;
  net::Task task_;
};

}  // namespace chutevane::sidecar
