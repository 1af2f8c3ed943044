/// Formatting of HTTP/1.1 messages.
#include "http/writer.hpp"

#include <array>
#include <charconv>

namespace chutevane::http {
namespace {

std::string_view digits_of(std::size_t n, std::array<char, 24>& digits) {
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), n).ptr;
  return {digits.data(), static_cast<std::size_t>(end - digits.data())};
}

}  // namespace

std::string_view reason_of(int status) {
  switch (status) {
    case 100: return "Continue";
    case 200: return "OK";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 413: return "Content Too Large";
    case 431: return "Request Header Fields Too Large";
    case 501: return "Not Implemented";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    case 505: return "HTTP Version Not Supported";
    default: return "Status";
  }
}

Writer& Writer::request_line(std::string_view method, std::string_view target) {
  out_.append(method);
  out_.append(" ");
  out_.append(target);
  out_.append(" HTTP/1.1\r\n");
  return *this;
}

Writer& Writer::status_line(int status) {
  std::array<char, 24> digits;
  out_.append("HTTP/1.1 ");
  out_.append(digits_of(static_cast<std::size_t>(status), digits));
  out_.append(" ");
  out_.append(reason_of(status));
  out_.append("\r\n");
  return *this;
}

Writer& Writer::field(std::string_view name, std::string_view value) {
  out_.append(name);
  out_.append(": ");
  out_.append(value);
  out_.append("\r\n");
  return *this;
}

void Writer::body(std::string_view body) {
  std::array<char, 24> digits;
  field("Content-Length", digits_of(body.size(), digits));
  out_.append("\r\n");
  out_.append(body);
}

void Writer::no_body() { out_.append("\r\n"); }

}  // namespace chutevane::http
