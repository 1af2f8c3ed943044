#include "simulation/programs.hpp"

#include <algorithm>
#include <cstdio>

namespace chutevane::simulation {
namespace {

constexpr Span ask_within = Span::ms(1200);      // of the ledger, for one answer
constexpr Span attempt_within = Span::ms(6000);  // then its edge is taken to be gone

}  // namespace

Programs::Programs(Deployment& deployment, Checker& checker, const ProgramLoad& load, std::uint64_t seed)
    : deployment_(deployment), checker_(checker), load_(load), chance_(seed) {}

std::string Programs::new_id() {
  char text[24];
  std::snprintf(text, sizeof text, "%08x%08x", chance_.next(), static_cast<unsigned>(++last_));
  return text;
}

std::shared_ptr<Programs::Program> Programs::program() {
  auto out = std::make_shared<Program>();
  out->id = new_id();
  return out;
}

void Programs::begin() {
  for (std::size_t i = 0; i < load_.programs; ++i) {
    const auto of = program();
    for (std::size_t j = 0; j < load_.lines; ++j) {
      auto line = std::make_shared<Line>();
      line->program = of;
      lines_.push_back(line);
      next(line);
    }
  }
}

void Programs::next(const std::shared_ptr<Line>& line) {
  ++line->attempt;
  if (line->program->spent) {  // the next program begins
    line->program = program();
    line->last.clear();
  }
  deployment_.simulator().run_after(load_.pause * (0.3 + 1.4 * chance_.unit()),
                                    [this, line] { attempt(line); });
}

// One turn through one edge. Where nothing comes of it the line goes on from its last kept turn.
void Programs::attempt(const std::shared_ptr<Line>& line) {
  if (ending_) return;
  std::vector<Machine*> edges;
  for (Machine* m : deployment_.of(Role::edge)) {
    if (m->edge() != nullptr) edges.push_back(m);
  }
  if (edges.empty()) return next(line);
  Machine& edge = *edges[chance_.next() % edges.size()];
  deployment_.simulator().run_after(attempt_within, [this, line, number = line->attempt] {
    if (line->attempt == number) next(line);
  });
  EdgePlane& plane = *edge.edge();
  plane.later().at(deployment_.simulator().now(), [this, line, at = &edge, number = line->attempt] {
    if (line->attempt != number) return;
    // A line that could not go on for long has nothing to go on from.
    if (deployment_.simulator().now() + ask_within > line->last_kept + load_.keep) line->last.clear();
    if (line->last.empty()) {
      reserve(line, *at);
    } else {
      find(line, *at);
    }
  });
  edge.process().schedule_if_ready();
}

void Programs::find(const std::shared_ptr<Line>& line, Machine& edge) {
  EdgePlane& plane = *edge.edge();
  const std::uint64_t number = line->attempt;
  plane.storage().find_chain(line->last, line->program->id, "", plane.later().now() + ask_within,
                             [this, line, at = &edge, number, wanted = line->last](edge::TurnChain chain) {
                               found(wanted, chain, at->name());
                               if (line->attempt != number) return;
                               if (chain.result != edge::LookupResult::complete) return next(line);
                               reserve(line, *at);
                             });
}

void Programs::found(const std::string& wanted, const edge::TurnChain& chain, const std::string& by) {
  if (chain.result == edge::LookupResult::not_found)
    return checker_.broken("turn-lost", by + " does not know turn " + wanted);
  if (chain.result != edge::LookupResult::complete) return;
  ++found_;
  std::string previous;
  for (const auto& turn : chain.turns) {
    const auto sent = kept_.find(turn->id);
    if (turn->previous != previous || sent == kept_.end() || turn->output.data != sent->second.output)
      checker_.broken("turn-altered", by + " finds turn " + turn->id + " other than it was kept");
    previous = turn->id;
  }
}

void Programs::look_again() {
  std::vector<Machine*> edges;
  for (Machine* m : deployment_.of(Role::edge)) {
    if (m->edge() != nullptr) edges.push_back(m);
  }
  for (const auto& line : lines_) {
    const bool over = deployment_.simulator().now() + ask_within > line->last_kept + load_.keep;
    if (edges.empty() || line->last.empty() || over) continue;
    Machine& edge = *edges[chance_.next() % edges.size()];
    line->found_again = false;
    EdgePlane& plane = *edge.edge();
    plane.storage().find_chain(line->last, line->program->id, "", plane.later().now() + ask_within,
                               [this, line, at = &edge, wanted = line->last](const edge::TurnChain& chain) {
                                 found(wanted, chain, at->name());
                                 line->found_again = chain.result == edge::LookupResult::complete;
                               });
    edge.process().schedule_if_ready();
  }
}

void Programs::finish() {
  for (const auto& line : lines_) {
    if (!line->found_again) checker_.broken("turn-gone", "at the end turn " + line->last + " is not found");
  }
}

void Programs::reserve(const std::shared_ptr<Line>& line, Machine& edge) {
  EdgePlane& plane = *edge.edge();
  const std::uint64_t number = line->attempt;
  const std::string id = new_id();
  plane.storage().reserve(line->program->id, id, load_.most, load_.budget, plane.later().now() + ask_within,
                          [this, line, at = &edge, number, id](edge::ReservationResult granted) {
                            if (line->attempt != number) return;
                            if (granted == edge::ReservationResult::exhausted) line->program->spent = true;
                            if (granted != edge::ReservationResult::granted) return next(line);
                            run(line, *at, id);
                          });
}

void Programs::run(const std::shared_ptr<Line>& line, Machine& edge, const std::string& id) {
  const std::int64_t used =
      1 + static_cast<std::int64_t>(chance_.next() % static_cast<std::uint32_t>(load_.most));
  Program& program = *line->program;
  program.handed += used;
  if (program.handed > load_.budget + load_.most)
    checker_.broken("budget", program.id + " was handed " + std::to_string(program.handed) + " tokens of " +
                                  std::to_string(load_.budget));
  common::Turn turn;
  turn.id = id;
  turn.previous = line->last;
  turn.program = program.id;
  turn.input.data = "in " + id;
  turn.output.data = std::string(static_cast<std::size_t>(used), 'o') + id;
  turn.retention_ms = static_cast<std::int64_t>(load_.keep.as_ms());
  kept_[id] = {turn.previous, turn.output.data};  // it may be found whether it is told of or not
  edge.edge()->later().after(Span::ms(80) * chance_.unit(),
                             [this, line, at = &edge, turn, used] { keep(line, *at, turn, used); });
}

void Programs::keep(const std::shared_ptr<Line>& line, Machine& edge, const common::Turn& turn,
                    std::int64_t used) {
  EdgePlane& plane = *edge.edge();
  const std::uint64_t number = line->attempt;
  plane.storage().store_turn(turn, used, plane.later().now() + ask_within,
                             [this, line, number, id = turn.id](bool kept) {
                               if (line->attempt != number) return;
                               if (kept) {
                                 line->last = id;
                                 line->last_kept = deployment_.simulator().now();
                               }
                               next(line);
                             });
}

}  // namespace chutevane::simulation
