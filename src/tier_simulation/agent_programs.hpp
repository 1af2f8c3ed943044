/// \file
/// Agent programs: conversations whose turns reserve budget, are stored and are looked up again, through any
/// edge.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tier_simulation/checker.hpp"
#include "tier_simulation/deployment.hpp"

namespace chutevane::tier_simulation {

struct ProgramLoad {
  std::size_t programs = 2;       ///< at a time
  std::size_t conversations = 2;  ///< side by side in a program
  Span pause = Span::ms(300);
  std::int64_t max_tokens = 40;       ///< of one turn
  std::int64_t budget = 240;          ///< tokens of a program
  Span retention = Span::ms(120000);  ///< of a turn and of all turns before it
  /// The shortest retention of a turn: each turn's is drawn between the two. Above `retention`: all have
  /// that.
  Span min_retention = retention;
  Span max_answer_duration = Span::ms(80);
  /// A turn is continued until so long before its retention ends.
  Span continuation_margin = Span::ms(1200);
  /// With which a conversation goes on from the last turn of any other one, also of another program.
  double fork_probability = 0;
};

class AgentPrograms {
 public:
  AgentPrograms(Deployment& deployment, Checker& checker, const ProgramLoad& load, std::uint64_t seed);
  void begin();
  /// Begins no more turns.
  void stop() { stopped_ = true; }
  /// Long after the last fault: looks up the newest turn of each conversation, which has to be found.
  void look_up_all();
  /// Reports the turns that look_up_all() has not found.
  void finish();
  /// Checks at the storage machines that every turn that has to be found now has its replicas. To be called
  /// at regular intervals.
  void check_replicas();
  std::size_t turns_found() const { return turns_found_; }

 private:
  struct Program {
    std::string id;
    std::int64_t granted_tokens = 0;  // that its turns were granted
    bool budget_spent = false;
  };
  struct Conversation {
    std::shared_ptr<Program> program;
    std::string last_turn;      // the newest one stored; empty: none
    TimePoint kept_until;       // when the retention of that turn ends
    edge::TurnList chain;       // that the turn under way continues
    std::uint64_t attempt = 0;  // replies to an earlier one are ignored
    bool found_again = true;
  };
  struct StoredTurn {
    std::string previous, program, output;
  };
  void schedule_next(const std::shared_ptr<Conversation>& conversation);
  /// Lets the conversation go on from the last turn of another one.
  void fork(Conversation& conversation);
  /// Whether a turn that the conversation continues now has to be found.
  bool can_continue(const Conversation& conversation) const;
  Span draw_retention();
  void attempt(const std::shared_ptr<Conversation>& conversation);
  void look_up(const std::shared_ptr<Conversation>& conversation, Machine& edge);
  void check_chain(const std::string& wanted, const edge::TurnChain& chain, const std::string& by);
  void reserve(const std::shared_ptr<Conversation>& conversation, Machine& edge);
  void generate(const std::shared_ptr<Conversation>& conversation, Machine& edge, const std::string& id);
  void store(const std::shared_ptr<Conversation>& conversation, Machine& edge, const common::Turn& turn,
             std::int64_t used);
  std::vector<Machine*> running_edges() const;
  std::shared_ptr<Program> new_program();
  std::string new_id();

  Deployment& deployment_;
  Checker& checker_;
  const ProgramLoad load_;
  Pcg random_;
  std::vector<std::shared_ptr<Conversation>> conversations_;
  std::map<std::string, StoredTurn> stored_;
  std::size_t turns_found_ = 0, last_id_ = 0;
  bool stopped_ = false;
};

}  // namespace chutevane::tier_simulation
