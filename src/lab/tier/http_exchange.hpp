// HTTP/1.1 for the tier's stand-ins: a port whose visitors may be answered late and in pieces, and a line
// to one, for many requests in a row.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/task_group.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::lab::tier {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

// A request, copied from the bytes that it came in.
struct ReceivedRequest {
  std::string method, target, body;
  HeaderFields fields;
  // The first of that name, empty where there is none.
  std::string find(std::string_view name) const;
  std::string path() const { return target.substr(0, target.find('?')); }
  std::string query(std::string_view name) const;
};

class HttpPort {
 public:
  class Exchange final : net::Channel::Observer {
   public:
    explicit Exchange(HttpPort& port);
    std::uint64_t id() const { return id_; }
    const ReceivedRequest& asked() const { return asked_; }
    void answer(int status, const HeaderFields& fields, std::string_view body);
    void begin(int status, const HeaderFields& fields);  // then pieces, in chunks, and an end
    void piece(std::string_view bytes);
    void finish();
    void add_behind(std::string bytes) {
      behind_ = std::move(bytes);
    }                                           // the answer, in one piece with its end
    void reset();                               // ends the connection before its answer does
    void answer_bytes(std::string_view bytes);  // whatever they are, and an end of the connection
    std::size_t group_index = 0;

   private:
    friend class HttpPort;
    void look();
    void over();
    void leave();
    void on_channel_data(net::Channel&) override { look(); }
    void on_channel_closed(net::Channel&) override { leave(); }
    HttpPort& port_;
    net::Channel channel_;
    http::Parser parser_;
    std::uint64_t id_;
    ReceivedRequest asked_;
    std::string behind_;
    bool in_hand_ = false, keep_ = true, left_ = false;
  };
  using Handler = std::function<void(Exchange&)>;

  // `gone`: its visitor left while a request was in hand.
  HttpPort(net::Scheduler& scheduler, Handler handler, Handler gone = {});
  void listen(const sockaddr_in& at) { listener_.listen(at); }
  void close();  // the listener and every connection
  // While `ends` each answer ends its connection.
  void each_answer_ends(bool ends) { ends_ = ends; }
  Exchange* find(std::uint64_t id);

 private:
  net::Scheduler& scheduler_;
  Handler handler_, gone_;
  net::Listener listener_;
  bool ends_ = false;
  std::uint64_t last_ = 0;
  std::unordered_map<std::uint64_t, Exchange*> visits_;
  net::TaskGroup<Exchange> tasks_;
};

class HttpConnector;

class HttpConnection final : net::Channel::Observer {
 public:
  class ResponseHandler {
   public:
    virtual void on_head(const http::Parser& answer) = 0;
    virtual void on_body(std::string_view piece) = 0;
    virtual void on_complete() = 0;
    // `unsent`: the connection never stood.
    virtual void on_failed(bool unsent) = 0;

   protected:
    ~ResponseHandler() = default;
  };
  explicit HttpConnection(HttpConnector& all);
  void ask(ResponseHandler& sink, std::string request);
  // In two parts, with a pause between.
  void send_in_two_parts(ResponseHandler& sink, const std::string& request, std::size_t first_part,
                         Span pause);
  // Ends the writing side once the request is out.
  void end_writing() {
    ends_writing_ = true, channel_.up() ? channel_.shutdown_write_when_flushed() : void();
  }
  void close();  // whatever is in hand; its sink hears no more
  // A next request may be sent here.
  // Told once, when it is no more.
  void on_gone(std::function<void(HttpConnection&)> told) { told_gone_ = std::move(told); }
  bool reusable() const { return keep_ && sink_ == nullptr && channel_.up() && channel_.quiet(); }
  std::size_t group_index = 0;

 private:
  friend class HttpConnector;
  void look();
  // Whether there may be more to read at once.
  bool read_head();
  bool read_body();
  void fail(bool unsent);
  void done();
  void on_channel_open(net::Channel&) override;
  void on_channel_data(net::Channel&) override { look(); }
  void on_channel_closed(net::Channel&) override;
  HttpConnector& all_;
  net::Channel channel_;
  http::Parser parser_;
  ResponseHandler* sink_ = nullptr;
  std::string request_;
  std::function<void(HttpConnection&)> told_gone_;
  net::TimerQueue::Handle due_, rest_due_;
  bool head_seen_ = false, keep_ = true, left_ = false, came_up_ = false, ends_writing_ = false;
};

// Owns the lines.
class HttpConnector {
 public:
  HttpConnector(net::Scheduler& scheduler, net::TimerQueue& later)
      : scheduler_(scheduler), timers_(later), tasks_(scheduler) {}
  // A new connection; it has a second to come up.
  HttpConnection& open(const sockaddr_in& to);

 private:
  friend class HttpConnection;
  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  net::TaskGroup<HttpConnection> tasks_;
};

// One request, its answer held whole.
class BufferedRequest final : HttpConnection::ResponseHandler,
                              public std::enable_shared_from_this<BufferedRequest> {
 public:
  struct Result {
    bool whole = false;
    int status = 0;
    std::string body;
    HeaderFields fields;
  };
  using Done = std::function<void(const Result&)>;
  // Calls back once, `most` later at the latest. Its timer owns it.
  static void run(HttpConnector& lines, net::TimerQueue& later, const sockaddr_in& to, std::string request,
                  Span most, Done done);

 private:
  struct Key {};

 public:
  BufferedRequest(Key, net::TimerQueue& later, Done done) : timers_(later), done_(std::move(done)) {}

 private:
  void end(bool whole);
  void on_head(const http::Parser& answer) override;
  void on_body(std::string_view piece) override { got_.body += piece; }
  void on_complete() override { end(true); }
  void on_failed(bool) override { end(false); }
  net::TimerQueue& timers_;
  Done done_;
  HttpConnection* line_ = nullptr;
  Result got_;
  net::TimerQueue::Handle due_;
};

std::string request_text(std::string_view method, std::string_view target, std::string_view host,
                         const HeaderFields& fields, std::string_view body);

}  // namespace chutevane::lab::tier
