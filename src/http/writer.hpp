/// Appends HTTP/1.1 messages to a buffer. Values are written as given: the caller sees to it that they hold
/// no line ends.
#pragma once

#include <string_view>

#include "net/buffer.hpp"

namespace chutevane::http {

/// "Status" for a code that this project does not send.
std::string_view reason_of(int status);

/// A start line first, then fields, then body() or no_body(), which end the head.
class Writer {
 public:
  explicit Writer(net::Buffer& out) : out_(out) {}
  Writer& request_line(std::string_view method, std::string_view target);
  Writer& status_line(int status);
  Writer& field(std::string_view name, std::string_view value);
  /// With its Content-Length.
  void body(std::string_view body);
  /// The head alone: for messages without a body, or whose framing is written as fields.
  void no_body();

 private:
  net::Buffer& out_;
};

}  // namespace chutevane::http
