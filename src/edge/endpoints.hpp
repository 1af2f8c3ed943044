// Connections to endpoints: one request at a time on each, the newest idle one used first.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/task_group.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::edge {

class Endpoints;
class EndpointConnection;

enum class Failure : std::uint8_t {
  unsent,  // not one byte of the request went out: it has not run
  broken,  // it may have run
};

// Who waits for an answer. After answer_whole() or answer_failed() the connection is no longer its.
class AnswerSink {
 public:
  virtual void answer_head(const http::Parser& response) = 0;  // may give the connection up
  virtual void answer_piece(std::string_view piece) = 0;
  virtual void answer_whole() = 0;
  virtual void answer_failed(Failure how) = 0;

 protected:
  ~AnswerSink() = default;
};

// A request as it goes to an endpoint.
struct OutgoingRequest {
  std::string head;              // as it is written, with its empty line
  std::string_view body;         // read before send() returns
  std::string attempt_id;        // empty: it has none
  bool bodiless_answer = false;  // it asks by HEAD: the length of its answer is not that of bytes behind it
};

struct Endpoint {
  std::string id, service, zone;
  sockaddr_in address{};
  bool draining = false, gone = false;
  std::size_t capacity = 0;
  bool cold = false;
  std::size_t connections = 0;
  std::vector<EndpointConnection*> idle;
};

class EndpointConnection final : net::Channel::Observer {
 public:
  EndpointConnection(Endpoints& all, std::shared_ptr<Endpoint> endpoint);
  std::size_t group_index = 0;

 private:
  friend class Endpoints;
  void begin(AnswerSink& sink, OutgoingRequest request);
  void on_channel_open(net::Channel&) override;
  void on_channel_data(net::Channel&) override;
  void on_channel_closed(net::Channel&) override;
  void write_out();
  void look();
  bool take_interim(http::Progress progress);
  bool is_anothers() const;
  bool proves_nothing() const;
  void done();
  void fail(Failure how);
  void drop();  // closes and retires, tells nobody
  void note_keep_alive();

  Endpoints& all_;
  std::shared_ptr<Endpoint> endpoint_;
  net::Channel channel_;
  http::Parser parser_;
  AnswerSink* sink_ = nullptr;
  std::string request_, attempt_id_;
  std::size_t requests_ = 0;  // that were written on this connection, the one in hand too
  bool bodiless_answer_ = false;
  bool written_ = false, head_seen_ = false, skipping_ = false, keep_ = true, closed_ = false;
  std::size_t passes_ = 0;  // answers to requests of before, in the place of this one's
  Span idle_most_;
  net::TimerQueue::Handle due_;
  TimePoint idle_since_;
};

class Endpoints {
 public:
  Endpoints(net::Scheduler& scheduler, net::TimerQueue& later, std::size_t connections_most);

  // Takes over the list; what is draining or gone gets nothing from now on, not even what waits to be
  // written.
  void listed(const std::vector<Endpoint>& list);
  std::shared_ptr<Endpoint> find(const std::string& id) const;
  std::vector<std::shared_ptr<Endpoint>> of_service(const std::string& service) const;
  std::size_t size() const { return endpoints_.size(); }

  // The sink hears of it, perhaps before this returns: then nothing is returned.
  EndpointConnection* send(const std::shared_ptr<Endpoint>& to, AnswerSink& sink, OutgoingRequest request);
  // Closes the connection: nothing more is told of it. Whether any of the request may have gone out.
  bool give_up(EndpointConnection& connection);
  std::size_t opened() const { return opened_; }
  std::size_t open_connections() const { return tasks_.size(); }
  // Connections that endpoints are charged with, those that have gone from the list too, equal those open.
  void check_connections();

 private:
  friend class EndpointConnection;
  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const std::size_t connections_most_;
  std::map<std::string, std::shared_ptr<Endpoint>> endpoints_;
  std::size_t opened_ = 0;
  net::TaskGroup<EndpointConnection> tasks_;
};

}  // namespace chutevane::edge
