/// What the tests of chutevanectl share: a scripted transport, and a clock that moves only when it is told
/// to.
#pragma once

#include <deque>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/control_client.hpp"
#include "ctl/run.hpp"

namespace chutevane::ctl {

class ManualClock final : public Clock {
 public:
  TimePoint now() override { return now_; }
  void sleep(Span span) override {
    sleeps.push_back(span);
    now_ = now_ + span;
  }
  void advance(Span span) { now_ = now_ + span; }
  std::vector<Span> sleeps;

 private:
  TimePoint now_ = TimePoint::at_ms(1000000);
};

/// Replies to each address in the order of its script; after the end of the script it is silent.
class ScriptedTransport final : public Transport {
 public:
  explicit ScriptedTransport(ManualClock& clock) : clock_(clock) {}
  struct Sent {
    std::string address;
    Request request;
    ExchangeLimits limits;
    TimePoint at;
  };
  void add_response(const std::string& address, int status, const std::string& body = "",
                    std::vector<std::pair<std::string, std::string>> fields = {}) {
    script[address].push_back(Response{status, body, std::move(fields)});
  }
  void add_failure(const std::string& address, bool before_sent) {
    script[address].push_back(before_sent ? absl::NotFoundError(address + ": no connection")
                                          : absl::UnavailableError(address + ": closed without an answer"));
  }
  absl::StatusOr<Response> exchange(const std::string& address, const Request& request,
                                    ExchangeLimits limits) override {
    sent.push_back({address, request, limits, clock_.now()});
    auto& list = script[address];
    if (list.empty()) {
      clock_.advance(limits.idle);
      return absl::UnavailableError(address + ": silent");
    }
    absl::StatusOr<Response> out = list.front();
    list.pop_front();
    return out;
  }
  std::map<std::string, std::deque<absl::StatusOr<Response>>> script;
  std::vector<Sent> sent;

 private:
  ManualClock& clock_;
};

/// One run of the program over both.
struct ScriptedRun {
  ManualClock clock;
  ScriptedTransport transport{clock};
  std::ostringstream out, err;
  int run(const std::vector<std::string>& arguments, const std::string& control = "a:1,b:1") {
    out.str("");
    err.str("");
    Environment environment{out, err, transport, clock, control, "0"};
    return ctl::run(arguments, environment);
  }
};

/// A file for one test, removed after it.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text);
  ~TemporaryFile();
  const std::string& path() const { return path_; }

 private:
  std::string folder_, path_;
};

constexpr const char* configuration_3 =
    R"({"version":3,"routes":[{"host":"One.example","pathPrefix":"/a/","routeType":"streaming",)"
    R"("timeoutMs":6000,"service":"s"}],"services":[{"name":"s"}]})";

}  // namespace chutevane::ctl
