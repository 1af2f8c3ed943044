#include "lab/tier/auditor.hpp"

#include <cstdio>
#include <numeric>
#include <utility>

namespace chutevane::lab::tier {
namespace {

constexpr std::size_t max_kept_violations = 100;
constexpr Span gone_most = Span::ms(500);  // after a client has left its endpoint stops work
constexpr std::uint64_t gone_excused = 3;  // a few may come later
constexpr std::size_t chain_most = 10000;  // turns: guards against names that go round in a ring

std::string shown(const std::string& text) { return text.substr(0, 40) + (text.size() > 40 ? "..." : ""); }

// Where two texts part.
std::string difference(const std::string& want, const std::string& got) {
  std::size_t at = 0;
  while (at < want.size() && at < got.size() && want[at] == got[at]) ++at;
  return std::to_string(got.size()) + " bytes, " + std::to_string(want.size()) + " due, parting at byte " +
         std::to_string(at) + ": '" + shown(got.substr(at)) + "' for '" + shown(want.substr(at)) + "'";
}

}  // namespace

const char* name_of(Rule rule) {
  static constexpr std::array<const char*, rule_count> names = {"lost",
                                                                "run twice",
                                                                "budget overrun",
                                                                "chain not exact",
                                                                "joined or short answer",
                                                                "refused and run",
                                                                "refused without a cause",
                                                                "invented turn",
                                                                "sent to one that left",
                                                                "configuration",
                                                                "unserved",
                                                                "crashed",
                                                                "at work for nobody",
                                                                "402 with budget left",
                                                                "answered late"};
  return names[static_cast<std::size_t>(rule)];
}

void Auditor::report_violation(Rule rule, std::string what) {
  const bool of_service =
      rule == Rule::unserved || rule == Rule::drained || rule == Rule::gone || rule == Rule::late;
  if (service_excused_ && of_service) {
    ++excused_;
    return;
  }
  ++counts_[static_cast<std::size_t>(rule)];
  if (violations_.size() < max_kept_violations) violations_.push_back({rule, std::move(what)});
}

std::uint64_t Auditor::all() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

void Auditor::asked(Ask ask, TimePoint now) {
  ++figures_.tries;
  if (ask.sort == RequestKind::turn) ++figures_.turns_asked;
  if (ask.budget) {
    Program& p = programs_[ask.program];
    p.has_budget = true;
    p.budget = *ask.budget;
    p.asked += ask.most;
  }
  const std::string id = ask.id;
  tries_[id].asked_at = now;
  tries_[id].ask = std::move(ask);
}

std::optional<std::string> Auditor::chain_before(const Try& of, std::size_t& length) const {
  std::vector<const Try*> chain;
  for (std::string at = of.ask.previous; !at.empty();) {
    const auto found = tries_.find(at);
    if (found == tries_.end() || !found->second.whole || chain.size() > chain_most) return std::nullopt;
    chain.push_back(&found->second);
    at = found->second.ask.previous;
  }
  length = chain.size();
  std::string out;
  for (auto it = chain.rbegin(); it != chain.rend(); ++it) out.append((*it)->ask.input).append((*it)->output);
  return out;
}

std::uint64_t Auditor::ran(const std::string& id, const std::string& endpoint, const std::string& body) {
  ++figures_.runs;
  runs_.push_back({id, endpoint, "", false});
  const std::uint64_t run = runs_.size();
  const auto found = tries_.find(id);
  if (found == tries_.end()) {
    report_violation(Rule::invented, endpoint + " ran " + id + ", which nobody asked for");
    return run;
  }
  Try& at = found->second;
  at.runs.push_back(run);
  if (at.ask.sort != RequestKind::idempotent && at.runs.size() > 1)
    report_violation(Rule::twice,
                     id + " ran at " + runs_[at.runs.front() - 1].endpoint + " and again at " + endpoint);
  if (at.promised) report_violation(Rule::promised, id + " ran at " + endpoint + " after it was refused");
  if (at.ask.sort != RequestKind::turn) {
    if (body != at.ask.input)
      report_violation(Rule::chain, id + " at " + endpoint + ": " + difference(at.ask.input, body));
    return run;
  }
  std::size_t length = 0;
  const auto before = chain_before(at, length);
  if (!before) {
    report_violation(Rule::invented,
                     id + " ran at " + endpoint + ", on from " + at.ask.previous + ", which never ended");
    return run;
  }
  ++figures_.chains_checked;
  figures_.longest_chain = std::max<std::uint64_t>(figures_.longest_chain, length + 1);
  if (const std::string due = *before + at.ask.input; due != body)
    report_violation(Rule::chain, id + " at " + endpoint + ", turn " + std::to_string(length + 1) + ": " +
                                      difference(due, body));
  return run;
}

void Auditor::check_budget(const std::string& program) {
  Program& p = programs_[program];
  if (!p.has_budget || p.told || (p.generated <= p.budget && p.handed <= p.budget)) return;
  p.told = true;
  report_violation(Rule::overrun, "program " + program + ": " + std::to_string(p.generated) +
                                      " tokens generated, " + std::to_string(p.handed) +
                                      " handed over, budget " + std::to_string(p.budget));
}

void Auditor::generated(std::uint64_t run, const std::string& data, std::int64_t tokens) {
  Run& at = runs_.at(run - 1);
  at.output += data;
  figures_.tokens_generated += static_cast<std::uint64_t>(tokens);
  const auto found = tries_.find(at.id);
  if (found == tries_.end() || tokens == 0) return;
  found->second.tokens = tokens;
  if (found->second.loses_output) return;
  found->second.generated += tokens;
  programs_[found->second.ask.program].generated += tokens;
  check_budget(found->second.ask.program);
}

void Auditor::loses_output(const std::string& id) {
  const auto found = tries_.find(id);
  if (found == tries_.end() || std::exchange(found->second.loses_output, true)) return;
  Try& at = found->second;
  programs_[at.ask.program].generated -= at.generated - at.handed;
}

void Auditor::at_work(const std::string& id, TimePoint now) {
  const auto found = left_.find(id);
  if (found == left_.end() || now - found->second < gone_most) return;
  left_.erase(found);  // once each
  if (++figures_.worked_for_nobody > gone_excused)
    report_violation(Rule::gone,
                     id + " is worked on " + std::to_string(gone_most.as_ms()) + " ms after its client left");
}

void Auditor::run_whole(std::uint64_t run) { runs_.at(run - 1).whole = true; }

std::string Auditor::seal_of(std::uint64_t run) {
  char text[40];
  std::snprintf(text, sizeof text, "r%llu.%08llx", static_cast<unsigned long long>(run),
                static_cast<unsigned long long>(run * 0x9e3779b97f4a7c15ULL >> 32U));
  return text;
}

void Auditor::came(const std::string& id, std::int64_t event, const std::string& data) {
  Try& at = tries_.at(id);
  if (at.last_event && event <= *at.last_event)
    report_violation(Rule::joined,
                     id + ": event " + std::to_string(event) + " after " + std::to_string(*at.last_event));
  at.last_event = event;
  at.output += data;
  // Tokens of an event are those of the endpoint that ran it, the same in each of its events.
  figures_.tokens_handed += static_cast<std::uint64_t>(at.tokens);
  at.handed += at.tokens;
  Program& program = programs_[at.ask.program];
  program.handed += at.tokens;
  if (at.loses_output) program.generated += at.tokens;
  check_budget(at.ask.program);
}

void Auditor::came_plain(const std::string& id, const std::string& body) { tries_.at(id).output = body; }

// Guards against an answer of two runs, of a part of one, or of another request's.
void Auditor::check_answer(Try& at, const std::string& seal) {
  for (const std::uint64_t n : at.runs) {
    const Run& run = runs_[n - 1];
    if (seal_of(n) != seal) continue;
    if (run.output != at.output) {
      report_violation(Rule::joined,
                       at.ask.id + " from " + run.endpoint + ": " + difference(run.output, at.output));
    } else if (!run.whole) {
      report_violation(Rule::joined, at.ask.id + ": whole at its client, and broken off at " + run.endpoint);
    }
    return;
  }
  report_violation(Rule::joined, at.ask.id + ": whole with the seal '" + seal + "', which none of its " +
                                     std::to_string(at.runs.size()) + " runs has");
}

std::int64_t Auditor::most_counted(const Try& of, TimePoint began) const {
  if (of.whole && of.ended_at < began) return of.handed;
  if (of.promised && of.ended_at + budget_return_time < began) return 0;
  return of.ask.most;
}

// All that others of its program may count, and still room for it.
void Auditor::check_refusal(const Try& at) {
  std::int64_t counted = at.ask.most;
  for (const auto& [id, other] : tries_) {
    if (&other != &at && other.ask.program == at.ask.program && other.ask.sort == RequestKind::turn)
      counted += most_counted(other, at.asked_at);
  }
  const Program& program = programs_[at.ask.program];
  if (counted <= program.budget)
    report_violation(Rule::budget_left, at.ask.id + ": 402, and program " + at.ask.program + " has used " +
                                            std::to_string(counted - at.ask.most) + " of " +
                                            std::to_string(program.budget) + ", it asked for " +
                                            std::to_string(at.ask.most));
}

void Auditor::answered(const std::string& id, AttemptOutcome how, const std::string& seal, TimePoint now) {
  Try& at = tries_.at(id);
  at.ended = true;
  at.ended_at = now;
  const bool turn = at.ask.sort == RequestKind::turn;
  const Program& program = programs_[at.ask.program];
  switch (how) {
    case AttemptOutcome::whole: {
      at.whole = true;
      if (turn) ++figures_.turns_whole;
      check_answer(at, seal);
      std::size_t length = 0;
      if (turn && !chain_before(at, length))
        report_violation(Rule::invented,
                         id + " was answered, on from " + at.ask.previous + ", which never ended");
      break;
    }
    case AttemptOutcome::spent:
      ++figures_.spent;
      // All that it ever asked for, at its most, and still within the budget.
      if (!program.has_budget || program.asked <= program.budget) {
        report_violation(Rule::denied, id + ": 402, and all of program " + at.ask.program + " comes to " +
                                           std::to_string(program.asked) + " of " +
                                           std::to_string(program.budget));
      } else {
        check_refusal(at);
      }
      [[fallthrough]];
    case AttemptOutcome::promised:
      if (how == AttemptOutcome::promised) ++figures_.promised;
      at.promised = true;
      if (!at.runs.empty())
        report_violation(Rule::promised,
                         id + ": refused, and it ran at " + runs_[at.runs.back() - 1].endpoint);
      break;
    case AttemptOutcome::unknown:
      if (!turn || at.ask.previous.empty()) {
        report_violation(Rule::denied, id + ": 404, and its route is there");
      } else if (continues_a_kept_turn(at)) {
        report_violation(Rule::lost, at.ask.previous + " was answered whole; then 404 to " + id);
      }
      if (!at.runs.empty()) report_violation(Rule::promised, id + ": 404, and it ran");
      break;
    case AttemptOutcome::denied: report_violation(Rule::denied, id + ": another 4xx"); break;
    case AttemptOutcome::broken: ++figures_.broken; break;
  }
}

bool Auditor::continues_a_kept_turn(const Try& at) const {
  const auto found = tries_.find(at.ask.previous);
  if (found == tries_.end() || !found->second.whole) return false;
  return !at.ask.retention || at.asked_at < found->second.ended_at + *at.ask.retention;
}

bool Auditor::is_whole(const std::string& id) const {
  const auto found = tries_.find(id);
  return found != tries_.end() && found->second.whole;
}

}  // namespace chutevane::lab::tier
