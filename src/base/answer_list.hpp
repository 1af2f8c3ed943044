/// The balancer's answers to one event, including log lines, in the order in which they are to be executed.
#pragma once

#include <cstdarg>
#include <cstdio>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane {

struct AnswerList : std::vector<Answer> {
  void add(Verdict verdict, CallId call = 0, std::uint32_t number = 0, EndpointId endpoint = 0) {
    Answer& a = emplace_back();
    a.verdict = verdict, a.call = call, a.number = number, a.endpoint = endpoint;
  }
  /// Adds an answer to a call that has been waiting. `wait` is dropped, since the call is waiting already.
  void add_final(const Answer& a) {
    if (a.verdict != Verdict::wait) push_back(a);
  }
  /// Adds a log line, printf-style. It is truncated to the size of Answer::text.
  void add_log(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    add(Verdict::log);
    va_list args;
    va_start(args, format);
    std::vsnprintf(back().text.data(), back().text.size(), format, args);
    va_end(args);
  }
  /// Adds a log line about an endpoint.
  void add_endpoint_log(EndpointId endpoint, const char* what, const char* more = "") {
    add_log("endpoint %012llx %s%s", static_cast<unsigned long long>(endpoint), what, more);
  }
};

}  // namespace chutevane
