// The answers to one event as they come together, lines for the log among them.
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
  // One that says to wait is none: the call is held already.
  void add_final(const Answer& a) {
    if (a.verdict != Verdict::wait) push_back(a);
  }
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
