// The load on the tier: agent programs with conversations of several turns, tools between them, sub-agents
// side by side and a budget each; some loop until it is spent. All that they will ask is drawn beforehand.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/draw.hpp"
#include "lab/tier/auditor.hpp"
#include "lab/tier/fault_plan.hpp"
#include "lab/tier/http_exchange.hpp"
#include "lab/tier/platform.hpp"

namespace chutevane::lab::tier {

constexpr const char* host = "agents.example";
constexpr Span objective = Span::ms(500);  // until the first event of a turn, or the answer of a tool

// What one try came to, for the time to full service.
struct TryRecord {
  TimePoint began, ended;
  bool good = false;  // answered whole, or refused as it should be
  bool turn = false;
  double first_ms = 0;  // to the first event, or the whole answer
  std::string id;
  int status = 0;  // 0: no answer
};

struct RequestSpec {
  RequestKind sort = RequestKind::turn;
  std::string path, program, session, previous, input, parts;
  std::optional<std::int64_t> budget;
  std::int64_t most = 0;
  Span lasts = Span::ms(6000);
  std::optional<Span> retention;  // of the route; none: longer than any run
  Span event_pause;               // that the endpoint is asked to make between events; zero: its own
  std::uint64_t client = 0;
  bool counted = true;  // in the records
};

struct RequestResult {
  AttemptOutcome how = AttemptOutcome::broken;
  std::string id;  // of the try that ended it
};

class Load {
 public:
  struct Spec {
    std::uint64_t seed = 1;
    double programs_per_s = 12;
    Misbehavior misbehavior = {};
    bool judge_given_up = true;  // a program that is given up is a breach
    bool judge_late = false;     // a client waits on after its time, and no answer by then is a breach
  };
  Load(net::Scheduler& scheduler, net::TimerQueue& later, HttpConnector& lines, Front& front,
       Auditor& auditor, const Spec& spec);
  ~Load();

  void begin();
  // No new programs, and clients that are there behave from now on.
  void stop() {
    stopped_ = true;
    spec_.misbehavior = {};
  }
  // One request, in as many tries as its kind and its time allow.
  void ask(const RequestSpec& want, std::function<void(const RequestResult&)> done);
  // New programs that go on from the last turns of those that are over, `from` the oldest on.
  void go_on_from_old(std::size_t most);
  std::size_t open() const { return open_; }  // programs and heirs that are not over
  const std::vector<TryRecord>& records() const { return records_; }

  struct Figures {
    std::uint64_t programs = 0, done = 0, given_up = 0, loops = 0, loops_spent = 0, tools = 0,
                  tools_whole = 0;
    std::uint64_t heirs = 0, heirs_whole = 0, strangers = 0, strangers_refused = 0, sent_anew = 0;
  };
  const Figures& figures() const { return figures_; }

 private:
  class RequestInProgress;
  class Program;
  void next_program();
  void next_stranger();
  std::string new_id();
  HttpConnection& line_for(std::uint64_t client, std::size_t again);
  void idle(std::uint64_t client, HttpConnection& line);
  void part(std::uint64_t client);

  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  HttpConnector& lines_;
  Front& front_;
  Auditor& auditor_;
  Spec spec_;
  Chance arrivals_, ids_, habits_;
  bool stopped_ = false;
  std::size_t open_ = 0;
  std::vector<std::unique_ptr<Program>> programs_;
  std::vector<std::string> last_turns_;  // of programs that are over
  std::map<std::uint64_t, std::vector<HttpConnection*>> idle_;
  std::map<std::uint64_t, std::shared_ptr<RequestInProgress>> requests_;
  std::uint64_t last_request_ = 0;
  std::vector<TryRecord> records_;
  Figures figures_;
};

}  // namespace chutevane::lab::tier
