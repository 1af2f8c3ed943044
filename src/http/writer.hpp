/// Appends HTTP/1.1 messages to a buffer. Values are written verbatim; the caller must ensure that they
/// contain no line ends.
#pragma once

#include <string_view>

#include "net/buffer.hpp"

namespace chutevane::http {

/// Returns the reason phrase for a status code, or "Status" for a code that this project does not send.
std::string_view reason_of(int status);

/// Writes one message: first a start line, then fields, then body() or no_body(), which ends the head.
class Writer {
 public:
  explicit Writer(net::Buffer& out) : out_(out) {}
  Writer& request_line(std::string_view method, std::string_view target);
  Writer& status_line(int status);
  Writer& field(std::string_view name, std::string_view value);
  /// Writes the Content-Length and the body.
  void body(std::string_view body);
  /// Ends the head without a body. For messages that have no body, or whose framing was written with field().
  void no_body();

 private:
  net::Buffer& out_;
};

}  // namespace chutevane::http
