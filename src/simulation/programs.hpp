// Agent programs: lines of turns that set budgets aside, are kept and are found again, through any edge.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation/checker.hpp"
#include "simulation/deployment.hpp"

namespace chutevane::simulation {

struct ProgramLoad {
  std::size_t programs = 2;  // at a time
  std::size_t lines = 2;     // of turns side by side in a program
  Span pause = Span::ms(300);
  std::int64_t most = 40;  // tokens of one turn
  std::int64_t budget = 240;
  Span keep = Span::ms(120000);  // of a turn, with all that it goes on from
};

class Programs {
 public:
  Programs(Deployment& deployment, Checker& checker, const ProgramLoad& load, std::uint64_t seed);
  void begin();
  void end() { ending_ = true; }
  // Long after the last fault: each line's newest turn is looked for once more, and has to be found.
  void look_again();
  void finish();
  std::size_t turns_kept() const { return kept_.size(); }
  std::size_t turns_found() const { return found_; }

 private:
  struct Program {
    std::string id;
    std::int64_t handed = 0;  // tokens that its callers got
    bool spent = false;
  };
  struct Line {
    std::shared_ptr<Program> program;
    std::string last;  // the newest turn that was kept
    TimePoint last_kept;
    std::uint64_t attempt = 0;  // what comes to an earlier one is late
    bool found_again = true;
  };
  struct KeptTurn {
    std::string previous, output;
  };
  void next(const std::shared_ptr<Line>& line);
  void attempt(const std::shared_ptr<Line>& line);
  void find(const std::shared_ptr<Line>& line, Machine& edge);
  void found(const std::string& wanted, const edge::TurnChain& chain, const std::string& by);
  void reserve(const std::shared_ptr<Line>& line, Machine& edge);
  void run(const std::shared_ptr<Line>& line, Machine& edge, const std::string& id);
  void keep(const std::shared_ptr<Line>& line, Machine& edge, const common::Turn& turn, std::int64_t used);
  std::shared_ptr<Program> program();
  std::string new_id();

  Deployment& deployment_;
  Checker& checker_;
  const ProgramLoad load_;
  Pcg chance_;
  std::vector<std::shared_ptr<Line>> lines_;
  std::map<std::string, KeptTurn> kept_;
  std::size_t found_ = 0, last_ = 0;
  bool ending_ = false;
};

}  // namespace chutevane::simulation
