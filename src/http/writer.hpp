// Writes HTTP/1.1 messages at the end of a buffer.
#pragma once

#include <string_view>

#include "net/buffer.hpp"

namespace chutevane::http {

std::string_view reason_of(int status);

class Writer {
 public:
  explicit Writer(net::Buffer& out) : out_(out) {}
  Writer& request_line(std::string_view method, std::string_view target);
  Writer& status_line(int status);
  Writer& field(std::string_view name, std::string_view value);
  void body(std::string_view body);  // with its length; ends the message
  void no_body();                    // without one: for requests that carry none

 private:
  net::Buffer& out_;
};

}  // namespace chutevane::http
