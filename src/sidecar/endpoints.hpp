// Connections to endpoints: one dispatch at a time on each, the newest idle one reused first.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "discovery/list.hpp"
#include "http/parser.hpp"
#include "net/buffer.hpp"
#include "net/socket.hpp"
#include "net/task_group.hpp"
#include "sidecar/counters.hpp"
#include "sidecar/front.hpp"
#include "sidecar/pipe.hpp"

namespace chutevane::sidecar {

struct Dispatch {
  CallId call = 0;
  EndpointId endpoint = 0;
  std::uint32_t number = 0;
  TimePoint sent;
  Span wait;
  TimePoint out_by = TimePoint::never();  // its last byte has gone out by then or never does
};

// Hears how each dispatch ended, once; the response is there until it returns.
class DispatchSink {
 public:
  // Of a request that comes in pieces: some of it has gone out, or the last.
  virtual void request_moved(const Dispatch& dispatch, bool last) = 0;
  // A large answer has begun: the dispatch is over, well so far. False: nobody wants it.
  virtual bool answer_began(const Dispatch& dispatch, const http::Parser& response,
                            const std::shared_ptr<Pipe>& body) = 0;
  // Such an answer has broken.
  virtual void answer_broke(EndpointId endpoint) = 0;
  virtual void dispatch_over(const Dispatch& dispatch, Outcome outcome, const http::Parser* response) = 0;

 protected:
  ~DispatchSink() = default;
};

class Endpoints;

class EndpointConnection;

struct Endpoint {
  EndpointId id = 0;
  std::string name, address_text;  // the name is discovery's id
  sockaddr_in address{};
  Availability availability = Availability::gone;
  std::uint32_t moves = 0;                // times that its address has changed
  std::size_t connections = 0;            // all of them
  std::vector<EndpointConnection*> idle;  // the newest last
};

constexpr http::Limits answer_limits{.head = 16 * 1024, .body = 32U << 20U, .fields = 100};  // bytes

class EndpointConnection {
 public:
  ~EndpointConnection();
  EndpointConnection(net::Scheduler& scheduler, Endpoints& pool, Endpoint& endpoint);

  std::size_t group_index = 0;

 private:
  friend class Endpoints;
  static constexpr net::Waker::Bits due = net::Waker::own, given = net::Waker::own << 1U,
                                    dropped = net::Waker::own << 2U, moved = net::Waker::own << 3U;
  enum class Stage : std::uint8_t { connecting, writing, reading, idle, closed, answering };
  net::Task run();
  void report(Outcome outcome, const http::Parser* response = nullptr);
  bool begun() const { return written_ > 0; }
  bool wants_pieces() const;  // the answer is too large to be held
  void let_go_of_body();

  net::Scheduler& scheduler_;
  Endpoints& pool_;
  Endpoint& endpoint_;         // stays while it has connections
  const std::uint32_t moves_;  // of the endpoint's, as this was opened: later it leads elsewhere
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer buffer_;                   // the request, then its answer
  std::shared_ptr<Pipe> body_, answer_;  // of a request, an answer, that comes in pieces
  bool tail_ = false, chunked_ = false;  // of the request: its last byte is in the buffer; how it is framed
  TimePoint told_moved_;
  http::Parser parser_{http::Side::response, answer_limits};
  Stage stage_ = Stage::connecting;
  bool busy_ = false;      // holds a dispatch whose end has not been told
  bool bodiless_ = false;  // the answer has a length but no body
  std::size_t written_ = 0;
  Dispatch dispatch_;
  TimePoint idle_since_;
  net::Task task_;
};

// Descriptors for connections to endpoints, over all pools.
struct Room {
  std::size_t most = 0, used = 0, whole = 0;  // whole: where no other process has a part
  std::vector<Endpoints*> pools;
};

class Endpoints {
 public:
  // Of its own room, or of one shared with other pools, which outlives it.
  Endpoints(net::Scheduler& scheduler, const config::Config& config, const Front& front, Counters& counters,
            Room* shared = nullptr, net::BufferBudget* held = nullptr);
  ~Endpoints();
  Endpoints(const Endpoints&) = delete;
  Endpoints& operator=(const Endpoints&) = delete;
  void tell(DispatchSink& sink) { sink_ = &sink; }

  // Takes over what discovery says; the id under which the module knows the endpoint, or 0 for one that is
  // gone and was not known. Nothing is kept of an endpoint once it is gone and its last connection is closed;
  // should it return, it is another.
  EndpointId learn(const discovery::Entry& entry);
  // All but these are gone.
  void forget_unnamed(std::vector<EndpointId> named);
  // Where only draining binds: those that the list calls gone, and that are kept until part_with().
  const std::vector<EndpointId>& doubted() const { return doubted_; }
  void part_with(EndpointId id);
  // Closes what idles at it: the next dispatch there opens a new connection.
  void close_idle(EndpointId id);
  std::string name_of(EndpointId id) const;               // discovery's; empty: not known
  EndpointId id_of(const std::string& name) const;        // 0: not known
  std::size_t size() const { return endpoints_.size(); }  // known ones
  void share(double part);                                // of the descriptors
  std::size_t listed() const;                             // those in the list
  std::size_t ready() const;                              // those that take calls, by the list

  // Sends `request` to the endpoint; how it ends is told to the sink, perhaps before this returns.
  // `body`: where it comes in pieces.
  EndpointConnection* send(const Dispatch& dispatch, const http::Parser& request,
                           const std::shared_ptr<Pipe>& body = {});
  // Takes a dispatch back whose first byte has not been written; any other goes on.
  void withdraw(EndpointConnection& connection);
  // Gives a dispatch up and closes its connection.
  void give_up(EndpointConnection& connection);

 private:
  friend class EndpointConnection;
  void now_closed_to_new(Endpoint& endpoint);
  void forget(Endpoint& endpoint);  // if nothing holds it
  bool make_room();
  EndpointConnection* longest_idle();
  bool rest(EndpointConnection& connection);  // whether it is kept for the next dispatch
  void unrest(EndpointConnection& connection);
  void drop(EndpointConnection& connection, Outcome outcome);

  net::Scheduler& scheduler_;
  const Front& front_;
  Counters& counters_;
  DispatchSink* sink_ = nullptr;
  const Span connect_timeout_, idle_most_;
  net::BufferBudget own_held_;
  net::BufferBudget& held_;
  Room own_;
  bool gone_binds_ = true;
  std::vector<EndpointId> doubted_;
  Room& room_;
  EndpointId last_id_ = 0;
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  std::unordered_map<std::string, EndpointId> ids_;  // by discovery's
  net::TaskGroup<EndpointConnection> connections_;
};

}  // namespace chutevane::sidecar
