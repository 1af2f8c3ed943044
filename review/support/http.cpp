#include "support/http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <stdexcept>

namespace review {
namespace {

constexpr std::size_t read_size = 16384;  // bytes

sockaddr_in socket_address(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  if (::inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr) != 1 || !address.ip.starts_with("127."))
    throw std::runtime_error("not a loopback address: " + address.text());
  return out;
}

std::string lower_case(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

std::string trimmed(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos) return "";
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

bool write_all(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// A head split into its first line and its headers.
struct Head {
  std::string first_line;
  Headers headers;
  std::size_t size = 0;  ///< bytes, with the empty line
};

std::optional<Head> parse_head(const std::string& received) {
  const std::size_t end = received.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  Head head;
  head.size = end + 4;
  std::size_t from = received.find("\r\n");
  head.first_line = received.substr(0, from);
  while (from < end) {
    const std::size_t begin = from + 2;
    from = received.find("\r\n", begin);
    const std::string line = received.substr(begin, from - begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos)
      head.headers[lower_case(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
  }
  return head;
}

enum class BodyState { more, complete, malformed };

/// Decodes chunks from the front of `received` into `body`.
BodyState take_chunks(std::string& received, std::string& body) {
  while (true) {
    const std::size_t line_end = received.find("\r\n");
    if (line_end == std::string::npos) return BodyState::more;
    char* end = nullptr;
    const std::size_t size = std::strtoul(received.c_str(), &end, 16);
    if (end == received.c_str()) return BodyState::malformed;
    if (received.size() < line_end + 2 + size + 2) return BodyState::more;
    body.append(received, line_end + 2, size);
    received.erase(0, line_end + 2 + size + 2);
    if (size == 0) return BodyState::complete;
  }
}

/// Takes what has come of a body. `length`: as stated; std::nullopt for chunks.
BodyState take_body(std::string& received, std::string& body, std::optional<std::size_t> length) {
  if (!length) return take_chunks(received, body);
  const std::size_t taken = std::min(*length - body.size(), received.size());
  body.append(received, 0, taken);
  received.erase(0, taken);
  return body.size() == *length ? BodyState::complete : BodyState::more;
}

std::optional<std::size_t> stated_length(const Headers& headers) {
  if (const auto encoding = headers.find("transfer-encoding");
      encoding != headers.end() && lower_case(encoding->second) == "chunked")
    return std::nullopt;
  const auto length = headers.find("content-length");
  return length == headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
}

/// Reads once, until `until` at the latest. Returns the number of bytes, 0 at the end of the connection, -1
/// after an error and -2 after the time.
ssize_t read_some(int descriptor, std::string& received, Clock::time_point until) {
  const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
  pollfd wait{descriptor, POLLIN, 0};
  const int ready = ::poll(&wait, 1, static_cast<int>(std::max<long>(left, 0)));
  if (ready == 0) return -2;
  char bytes[read_size];
  const ssize_t got = ::recv(descriptor, bytes, sizeof bytes, 0);
  if (got > 0) received.append(bytes, static_cast<std::size_t>(got));
  return got;
}

std::string name_of_end(ssize_t result) {
  if (result == 0) return "connection ended";
  return result == -2 ? "timeout" : "connection reset";
}

int connect_to(const Address& to, Clock::time_point until) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = socket_address(to);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd wait{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    const bool is_up = errno == EINPROGRESS &&
                       ::poll(&wait, 1, static_cast<int>(std::max<long>(left, 0))) == 1 &&
                       ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    if (!is_up) {
      ::close(descriptor);
      return -1;
    }
  }
  const int flags = 0;
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  // Blocking from here on: requests are small, and reads wait with poll().
  if (::fcntl(descriptor, F_SETFL, flags) != 0) return -1;
  return descriptor;
}

void read_response(int descriptor, Clock::time_point until, Response& out,
                   const std::function<void(std::size_t)>& on_bytes) {
  std::string received;
  std::optional<Head> head;
  while (!(head = parse_head(received))) {
    if (const ssize_t got = read_some(descriptor, received, until); got <= 0) {
      out.error = name_of_end(got);
      return;
    }
  }
  out.status = std::atoi(head->first_line.substr(std::min<std::size_t>(9, head->first_line.size())).c_str());
  out.headers = head->headers;
  received.erase(0, head->size);
  const std::optional<std::size_t> length = stated_length(head->headers);
  while (true) {
    const BodyState state = take_body(received, out.body, length);
    if (on_bytes) on_bytes(out.body.size());
    if (state == BodyState::complete) {
      out.is_complete = true;
      return;
    }
    if (state == BodyState::malformed) {
      out.error = "malformed chunk";
      return;
    }
    if (const ssize_t got = read_some(descriptor, received, until); got <= 0) {
      out.error = name_of_end(got);
      return;
    }
  }
}

}  // namespace

Response send_request(const Address& to, const Request& request, milliseconds timeout,
                      const std::function<void(std::size_t)>& on_bytes) {
  const Clock::time_point began = Clock::now();
  const Clock::time_point until = began + timeout;
  Response out;
  const int descriptor = connect_to(to, until);
  if (descriptor < 0) {
    out.error = "not connected";
    return out;
  }
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
    has_host = has_host || name == "Host";
  }
  if (!has_host) text += "Host: " + to.text() + "\r\n";
  if (request.method != "GET" || !request.body.empty())
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  text += "Connection: close\r\n\r\n" + request.body;
  if (write_all(descriptor, text)) {
    read_response(descriptor, until, out, on_bytes);
  } else {
    out.error = "not written";
  }
  ::close(descriptor);
  out.milliseconds_taken = std::chrono::duration<double, std::milli>(Clock::now() - began).count();
  return out;
}

// ---- Exchange

std::string Exchange::header(const std::string& name) const {
  const auto found = headers_.find(name);
  return found == headers_.end() ? "" : found->second;
}

bool Exchange::write(std::string_view bytes) { return write_all(descriptor_, bytes); }

bool Exchange::respond(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                       std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return write(text + std::string(body));
}

bool Exchange::is_peer_gone() const {
  char byte = 0;
  const ssize_t got = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Exchange::close_after(bool with_reset) {
  must_close_ = true;
  must_reset_ = with_reset;
}

// ---- Server

Server::Server(Address at, Handler handler) : at_(std::move(at)), handler_(std::move(handler)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = socket_address(at_);
  if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(listener_, SOMAXCONN) != 0) {
    ::close(listener_);
    throw std::runtime_error("cannot listen at " + at_.text());
  }
  acceptor_ = std::thread([this] { accept_connections(); });
}

Server::~Server() {
  is_ending_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const int descriptor : open_) ::shutdown(descriptor, SHUT_RDWR);
  }
  for (std::thread& thread : threads_) thread.join();
  ::close(listener_);
}

void Server::accept_connections() {
  while (!is_ending_) {
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) continue;
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(mutex_);
    open_.insert(descriptor);
    threads_.emplace_back([this, descriptor] { serve(descriptor); });
  }
}

void Server::serve(int descriptor) {
  std::string received;
  while (!is_ending_ && serve_next(descriptor, received)) {
  }
  const std::lock_guard lock(mutex_);
  open_.erase(descriptor);
  ::close(descriptor);
}

bool Server::serve_next(int descriptor, std::string& received) {
  constexpr milliseconds idle_time(60000);
  const Clock::time_point until = Clock::now() + idle_time;
  std::optional<Head> head;
  while (!(head = parse_head(received))) {
    if (read_some(descriptor, received, until) <= 0) return false;
  }
  received.erase(0, head->size);
  const std::optional<std::size_t> length = stated_length(head->headers);
  std::string body;
  while (true) {
    const BodyState state = take_body(received, body, length);
    if (state == BodyState::complete) break;
    if (state == BodyState::malformed || read_some(descriptor, received, until) <= 0) return false;
  }
  const std::size_t one = head->first_line.find(' ');
  const std::size_t two = head->first_line.rfind(' ');
  Exchange exchange(descriptor, head->first_line.substr(0, one),
                    head->first_line.substr(one + 1, two - one - 1), head->headers, std::move(body));
  handler_(exchange);
  if (exchange.must_reset()) {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  return !exchange.must_close();
}

}  // namespace review
