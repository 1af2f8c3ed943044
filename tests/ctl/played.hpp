// What the client's tests share: a transport that is scripted, and a clock that moves when it is told to.
#pragma once

#include <deque>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/caller.hpp"
#include "ctl/run.hpp"

namespace chutevane::ctl {

class PlayedClock final : public Clock {
 public:
  TimePoint now() override { return now_; }
  void pause(Span span) override {
    pauses.push_back(span);
    now_ = now_ + span;
  }
  void pass(Span span) { now_ = now_ + span; }
  std::vector<Span> pauses;

 private:
  TimePoint now_ = TimePoint::at_ms(1000000);
};

// Answers by address in the order of its script; what comes after its end is silence.
class PlayedTransport final : public Transport {
 public:
  explicit PlayedTransport(PlayedClock& clock) : clock_(clock) {}
  struct Asked {
    std::string address;
    Ask ask;
    Span silence, most;
    TimePoint at;
  };
  void answers(const std::string& address, int status, const std::string& body = "",
               std::vector<std::pair<std::string, std::string>> fields = {}) {
    script[address].push_back(Answer{status, body, std::move(fields)});
  }
  void breaks(const std::string& address, bool before_sent) {
    script[address].push_back(before_sent ? absl::NotFoundError(address + ": no connection")
                                          : absl::UnavailableError(address + ": closed without an answer"));
  }
  absl::StatusOr<Answer> exchange(const std::string& address, const Ask& ask, Span silence,
                                  Span most) override {
    asked.push_back({address, ask, silence, most, clock_.now()});
    auto& list = script[address];
    if (list.empty()) {
      clock_.pass(silence);
      return absl::UnavailableError(address + ": silent");
    }
    absl::StatusOr<Answer> out = list.front();
    list.pop_front();
    return out;
  }
  std::map<std::string, std::deque<absl::StatusOr<Answer>>> script;
  std::vector<Asked> asked;

 private:
  PlayedClock& clock_;
};

// One run of the program over both.
struct Played {
  PlayedClock clock;
  PlayedTransport transport{clock};
  std::ostringstream out, err;
  int run(const std::vector<std::string>& arguments, const std::string& control = "a:1,b:1") {
    out.str("");
    err.str("");
    Surroundings around{out, err, transport, clock, control, "0"};
    return ctl::run(arguments, around);
  }
};

// A file for one test, gone after it.
class Scratch {
 public:
  explicit Scratch(const std::string& text);
  ~Scratch();
  const std::string& path() const { return path_; }

 private:
  std::string folder_, path_;
};

constexpr const char* configuration_3 =
    R"({"version":3,"routes":[{"host":"One.example","pathPrefix":"/a/","routeType":"streaming",)"
    R"("timeoutMs":6000,"service":"s"}],"services":[{"name":"s"}]})";

}  // namespace chutevane::ctl
