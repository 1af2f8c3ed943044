/// Blocking HTTP/1.1 for the stand-ins of the review's cases: one client request, and a server with a thread
/// a connection. Loopback addresses only.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// An IPv4 loopback address and a port.
struct Address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

/// Names in lower case.
using Headers = std::map<std::string, std::string>;

/// How a request of a client ended.
struct Response {
  int status = 0;            ///< 0: no response head came
  Headers headers;           ///< of the response
  std::string body;          ///< without its framing
  bool is_complete = false;  ///< the body came whole, as its framing states
  std::string error;         ///< what ended it, if it is not complete
  double milliseconds_taken = 0;
};

struct Request {
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// Sends one request over a new connection and reads the response. `on_bytes`, if given, is called with the
/// decoded size of the body so far, each time that bytes have come.
Response send_request(const Address& to, const Request& request, milliseconds timeout,
                      const std::function<void(std::size_t)>& on_bytes = {});

/// A connection of a server, for one request after the other.
class Exchange {
 public:
  Exchange(int descriptor, std::string method, std::string target, Headers headers, std::string body)
      : descriptor_(descriptor),
        method_(std::move(method)),
        target_(std::move(target)),
        headers_(std::move(headers)),
        body_(std::move(body)) {}
  const std::string& method() const { return method_; }
  const std::string& target() const { return target_; }
  const std::string& body() const { return body_; }
  /// Returns an empty string if the request has no such header. `name` is in lower case.
  std::string header(const std::string& name) const;
  /// Writes bytes as they are. Returns false if the peer has closed the connection.
  bool write(std::string_view bytes);
  /// Writes a whole response with its length.
  bool respond(int status, const std::vector<std::pair<std::string, std::string>>& headers,
               std::string_view body);
  /// Returns true if the peer has closed the connection.
  bool is_peer_gone() const;
  /// Ends the connection after this request: with a reset, or in order.
  void close_after(bool with_reset);
  bool must_close() const { return must_close_; }
  bool must_reset() const { return must_reset_; }

 private:
  int descriptor_;
  std::string method_;
  std::string target_;
  Headers headers_;
  std::string body_;
  bool must_close_ = false;
  bool must_reset_ = false;
};

/// Serves each request by `handler`, on the connection's own thread.
class Server {
 public:
  using Handler = std::function<void(Exchange&)>;
  /// Throws std::runtime_error if the address is in use.
  Server(Address at, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  void accept_connections();
  void serve(int descriptor);
  bool serve_next(int descriptor, std::string& received);

  const Address at_;
  const Handler handler_;
  int listener_ = -1;
  std::atomic<bool> is_ending_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace review
