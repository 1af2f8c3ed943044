/// Collects the balancer's answers to one event, log lines among them, in the order in which they are to be
/// executed.
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
  /// Adds a final answer. `wait` is dropped: the call is queued already.
  void add_final(const Answer& a) {
    if (a.verdict != Verdict::wait) push_back(a);
  }
  /// A line for the log, printf-style; cut to the size of Answer::text.
  void say(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    add(Verdict::log);
    va_list args;
    va_start(args, format);
    std::vsnprintf(back().text.data(), back().text.size(), format, args);
    va_end(args);
  }
  void say_of(EndpointId endpoint, const char* what, const char* more = "") {
    say("endpoint %012llx %s%s", static_cast<unsigned long long>(endpoint), what, more);
  }
};

}  // namespace chutevane
