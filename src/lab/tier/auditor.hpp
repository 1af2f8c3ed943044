// The tier's auditor: hears clients and endpoints, never the tier itself, and says what was lost, run twice,
// overrun or made up. Without I/O; told the time by nobody, since nothing it judges depends on it.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::lab::tier {

enum class RequestKind : std::uint8_t { idempotent, once, turn };

// How one try of a client ended.
enum class AttemptOutcome : std::uint8_t {
  whole,
  promised,  // it has not run and will not: 503, 429, 408, 421
  spent,     // 402
  unknown,   // 404
  denied,    // any other 4xx
  broken,    // nothing is promised
};

enum class Rule : std::uint8_t {
  lost,           // answered whole, and later no such turn
  twice,          // what may run once ran again
  overrun,        // more tokens than the program's budget
  chain,          // an endpoint got other bytes than the chain and the new input
  joined,         // an answer that is not one whole run
  promised,       // refused with a promise, and run
  denied,         // a refusal that nothing explains
  invented,       // a turn that goes on from one that never ended whole
  drained,        // sent to an endpoint that had long begun to leave
  configuration,  // an acknowledged one that is not in force, or not read back
  unserved,       // a program that was given up, where none should be
  crashed,        // a process that ended by itself
  gone,           // an endpoint at work for a client that had left
  budget_left,    // 402, though the budget holds that turn
  late,           // no answer half a second after the time that its client gave
};
constexpr std::size_t rule_count = 15;
// A request that is refused gives its part of the budget back within this time.
constexpr Span budget_return_time = Span::ms(1000);
const char* name_of(Rule rule);

struct Violation {
  Rule rule = Rule::lost;
  std::string what;
};

class Auditor {
 public:
  // ---- clients
  struct Ask {
    std::string id;
    RequestKind sort = RequestKind::turn;
    std::string program, previous, input;
    std::int64_t most = 0;  // tokens that it may generate
    std::optional<std::int64_t> budget;
    // For how long the turn before has to be found after its answer; none: for ever.
    std::optional<Span> retention = std::nullopt;
  };
  void asked(Ask ask, TimePoint now = {});
  void came(const std::string& id, std::int64_t event, const std::string& data);  // with its line feed
  void came_plain(const std::string& id, const std::string& body);
  void answered(const std::string& id, AttemptOutcome how, const std::string& seal, TimePoint now = {});
  // Its client has closed its connection.
  void left(const std::string& id, TimePoint at) {
    ++figures_.left;
    left_[id] = at;
    loses_output(id);
  }
  // Its client reads no more of the answer, or its endpoint breaks off: what was generated may not reach the
  // client, nor the edge. The budget is on the tokens handed to clients, and of this try only these count.
  void loses_output(const std::string& id);

  // ---- endpoints
  // Begins to run; which run it is.
  std::uint64_t ran(const std::string& id, const std::string& endpoint, const std::string& body);
  void generated(std::uint64_t run, const std::string& data, std::int64_t tokens);
  void run_whole(std::uint64_t run);
  // An endpoint is at work on it now.
  void at_work(const std::string& id, TimePoint now);
  // The endpoint is about to spoil it: what its client sees is not the tier's doing.
  void troubled(const std::string& id) {
    troubled_.insert(id);
    loses_output(id);
  }
  bool was_troubled(const std::string& id) const { return troubled_.contains(id); }
  static std::string seal_of(std::uint64_t run);

  // ---- whatever else is found
  void report_violation(Rule rule, std::string what);
  // What depends on machines being in touch is counted and breaks nothing: troubles are under way.
  void excuse_service() { service_excused_ = true; }
  void expect_service() { service_excused_ = false; }
  std::uint64_t excused() const { return excused_; }

  // Whether an answer to it came to a client whole.
  bool is_whole(const std::string& id) const;
  std::uint64_t count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t all() const;
  const std::vector<Violation>& violations() const { return violations_; }

  struct Figures {
    std::uint64_t turns_asked = 0, turns_whole = 0, tries = 0, runs = 0, tokens_generated = 0,
                  tokens_handed = 0;
    std::uint64_t spent = 0, promised = 0, broken = 0, chains_checked = 0, longest_chain = 0;
    std::uint64_t left = 0, worked_for_nobody = 0;  // by clients; of these, with an endpoint at work too long
  };
  const Figures& figures() const { return figures_; }

 private:
  struct Run {
    std::string id, endpoint, output;
    bool whole = false;
  };
  struct Try {
    Ask ask;
    std::vector<std::uint64_t> runs;
    std::string output;  // as the client has it
    std::optional<std::int64_t> last_event;
    std::int64_t tokens = 0;
    TimePoint asked_at, ended_at;
    std::int64_t generated = 0, handed = 0;  // tokens; of output that may be lost `handed` alone
    bool ended = false, whole = false, promised = false, loses_output = false;
  };
  struct Program {
    std::int64_t budget = 0, generated = 0, handed = 0, asked = 0;
    bool has_budget = false, told = false;
  };
  // Nothing where the chain has a turn that never ended whole.
  std::optional<std::string> chain_before(const Try& of, std::size_t& length) const;
  void check_budget(const std::string& program);
  void check_refusal(const Try& at);
  // Whether the turn that it continues was answered whole, and its retention had not ended when it was asked.
  bool continues_a_kept_turn(const Try& at) const;
  // The most that it may count against its program's budget for a request that began then.
  std::int64_t most_counted(const Try& of, TimePoint began) const;
  void check_answer(Try& at, const std::string& seal);

  std::map<std::string, Try> tries_;
  std::vector<Run> runs_;
  std::map<std::string, Program> programs_;
  std::array<std::uint64_t, rule_count> counts_{};
  std::set<std::string> troubled_;
  std::map<std::string, TimePoint> left_;  // clients' closes, by id
  bool service_excused_ = false;
  std::uint64_t excused_ = 0;
  std::vector<Violation> violations_;
  Figures figures_;
};

}  // namespace chutevane::lab::tier
