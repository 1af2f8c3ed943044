#include "tier_simulation/agent_programs.hpp"

#include <algorithm>
#include <cstdio>

#include "tier_simulation/replica_count.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr Span reply_timeout = Span::ms(1200);    // of one call to the storage nodes
constexpr Span attempt_timeout = Span::ms(6000);  // then its edge is assumed to be gone

}  // namespace

AgentPrograms::AgentPrograms(Deployment& deployment, Checker& checker, const ProgramLoad& load,
                             std::uint64_t seed)
    : deployment_(deployment), checker_(checker), load_(load), random_(seed) {}

std::string AgentPrograms::new_id() {
  char text[24];
  std::snprintf(text, sizeof text, "%08x%08x", random_.next(), static_cast<unsigned>(++last_id_));
  return text;
}

std::shared_ptr<AgentPrograms::Program> AgentPrograms::new_program() {
  auto out = std::make_shared<Program>();
  out->id = new_id();
  return out;
}

void AgentPrograms::begin() {
  for (std::size_t i = 0; i < load_.programs; ++i) {
    const auto program = new_program();
    for (std::size_t j = 0; j < load_.conversations; ++j) {
      auto conversation = std::make_shared<Conversation>();
      conversation->program = program;
      conversations_.push_back(conversation);
      schedule_next(conversation);
    }
  }
}

void AgentPrograms::schedule_next(const std::shared_ptr<Conversation>& conversation) {
  ++conversation->attempt;
  if (conversation->program->budget_spent) {  // the next program begins
    conversation->program = new_program();
    conversation->last_turn.clear();
  }
  if (load_.fork_probability > 0 && random_.unit() < load_.fork_probability) fork(*conversation);
  deployment_.simulator().run_after(load_.pause * (0.3 + 1.4 * random_.unit()),
                                    [this, conversation] { attempt(conversation); });
}

void AgentPrograms::fork(Conversation& conversation) {
  const Conversation& other = *conversations_[random_.next() % conversations_.size()];
  if (other.last_turn.empty()) return;
  conversation.last_turn = other.last_turn;
  conversation.kept_until = other.kept_until;
}

bool AgentPrograms::can_continue(const Conversation& conversation) const {
  return !conversation.last_turn.empty() &&
         deployment_.simulator().now() + load_.continuation_margin <= conversation.kept_until;
}

Span AgentPrograms::draw_retention() {
  if (load_.min_retention >= load_.retention) return load_.retention;
  return load_.min_retention + (load_.retention - load_.min_retention) * random_.unit();
}

std::vector<Machine*> AgentPrograms::running_edges() const {
  std::vector<Machine*> out;
  for (Machine* machine : deployment_.machines_of(Role::edge)) {
    if (machine->edge() != nullptr) out.push_back(machine);
  }
  return out;
}

// One turn through one edge. If it fails the conversation continues from its last stored turn.
void AgentPrograms::attempt(const std::shared_ptr<Conversation>& conversation) {
  if (stopped_) return;
  const std::vector<Machine*> edges = running_edges();
  if (edges.empty()) return schedule_next(conversation);
  Machine& edge = *edges[random_.next() % edges.size()];
  deployment_.simulator().run_after(attempt_timeout, [this, conversation, number = conversation->attempt] {
    if (conversation->attempt == number) schedule_next(conversation);
  });
  edge::DataPlane& plane = *edge.edge();
  plane.timers().at(deployment_.simulator().now(),
                    [this, conversation, at = &edge, number = conversation->attempt] {
                      if (conversation->attempt != number) return;
                      // The turns of a conversation that paused for too long have expired.
                      if (!can_continue(*conversation)) conversation->last_turn.clear();
                      if (conversation->last_turn.empty()) {
                        reserve(conversation, *at);
                      } else {
                        look_up(conversation, *at);
                      }
                    });
  edge.process().schedule_if_ready();
}

void AgentPrograms::look_up(const std::shared_ptr<Conversation>& conversation, Machine& edge) {
  edge::DataPlane& plane = *edge.edge();
  const std::uint64_t number = conversation->attempt;
  plane.storage().find_chain(conversation->last_turn, conversation->program->id, "",
                             plane.timers().now() + reply_timeout,
                             [this, conversation, at = &edge, number,
                              wanted = conversation->last_turn](const edge::TurnChain& chain) {
                               check_chain(wanted, chain, at->name());
                               if (conversation->attempt != number) return;
                               if (chain.result != edge::LookupResult::complete)
                                 return schedule_next(conversation);
                               conversation->chain = chain.turns;
                               reserve(conversation, *at);
                             });
}

void AgentPrograms::check_chain(const std::string& wanted, const edge::TurnChain& chain,
                                const std::string& by) {
  if (chain.result == edge::LookupResult::not_found)
    return checker_.report_violation("turn-lost", by + " does not know turn " + wanted);
  if (chain.result != edge::LookupResult::complete) return;
  ++turns_found_;
  std::string previous;
  for (const auto& turn : chain.turns) {
    const auto sent = stored_.find(turn->id);
    if (turn->previous != previous || sent == stored_.end() || turn->output.data != sent->second.output)
      checker_.report_violation("turn-altered", by + " finds turn " + turn->id + " other than it was kept");
    previous = turn->id;
  }
}

void AgentPrograms::look_up_all() {
  const std::vector<Machine*> edges = running_edges();
  for (const auto& conversation : conversations_) {
    if (edges.empty() || !can_continue(*conversation)) continue;
    Machine& edge = *edges[random_.next() % edges.size()];
    conversation->found_again = false;
    edge::DataPlane& plane = *edge.edge();
    plane.storage().find_chain(
        conversation->last_turn, conversation->program->id, "", plane.timers().now() + reply_timeout,
        [this, conversation, at = &edge, wanted = conversation->last_turn](const edge::TurnChain& chain) {
          check_chain(wanted, chain, at->name());
          conversation->found_again = chain.result == edge::LookupResult::complete;
        });
    edge.process().schedule_if_ready();
  }
}

void AgentPrograms::finish() {
  for (const auto& conversation : conversations_) {
    if (!conversation->found_again)
      checker_.report_violation("turn-gone", "at the end turn " + conversation->last_turn + " is not found");
  }
}

// A turn is kept with its chain, at the replica group of its own program.
void AgentPrograms::check_replicas() {
  for (const auto& conversation : conversations_) {
    if (!can_continue(*conversation)) continue;
    const std::string program = stored_.at(conversation->last_turn).program;
    for (std::string id = conversation->last_turn; !id.empty(); id = stored_.at(id).previous) {
      const ReplicaCount count = count_replicas(deployment_, program, id);
      if (!count.is_quorum())
        checker_.report_violation("replicas-missing", "turn " + id + ": " + count.describe());
    }
  }
}

void AgentPrograms::reserve(const std::shared_ptr<Conversation>& conversation, Machine& edge) {
  edge::DataPlane& plane = *edge.edge();
  const std::uint64_t number = conversation->attempt;
  const std::string id = new_id();
  plane.storage().reserve(conversation->program->id, id, load_.max_tokens, load_.budget,
                          plane.timers().now() + reply_timeout,
                          [this, conversation, at = &edge, number, id](edge::ReservationResult granted) {
                            if (conversation->attempt != number) return;
                            if (granted == edge::ReservationResult::exhausted)
                              conversation->program->budget_spent = true;
                            if (granted != edge::ReservationResult::granted)
                              return schedule_next(conversation);
                            generate(conversation, *at, id);
                          });
}

void AgentPrograms::generate(const std::shared_ptr<Conversation>& conversation, Machine& edge,
                             const std::string& id) {
  const std::int64_t used =
      1 + static_cast<std::int64_t>(random_.next() % static_cast<std::uint32_t>(load_.max_tokens));
  Program& program = *conversation->program;
  program.granted_tokens += used;
  if (program.granted_tokens > load_.budget + load_.max_tokens)
    checker_.report_violation("budget", program.id + " was granted_tokens " +
                                            std::to_string(program.granted_tokens) + " tokens of " +
                                            std::to_string(load_.budget));
  common::Turn turn;
  turn.id = id;
  turn.previous = conversation->last_turn;
  turn.program = program.id;
  turn.input.data = "in " + id;
  turn.output.data = std::string(static_cast<std::size_t>(used), 'o') + id;
  turn.retention_ms = static_cast<std::int64_t>(draw_retention().as_ms());
  stored_[id] = {turn.previous, turn.program,
                 turn.output.data};  // it may be found even if its storing is not acknowledged
  edge.edge()->timers().after(
      load_.max_answer_duration * random_.unit(),
      [this, conversation, at = &edge, turn, used] { store(conversation, *at, turn, used); });
}

void AgentPrograms::store(const std::shared_ptr<Conversation>& conversation, Machine& edge,
                          const common::Turn& turn, std::int64_t used) {
  edge::DataPlane& plane = *edge.edge();
  const std::uint64_t number = conversation->attempt;
  plane.storage().store_turn(turn, conversation->chain, used, plane.timers().now() + reply_timeout,
                             [this, conversation, number, id = turn.id,
                              retention = Span::ms(static_cast<double>(turn.retention_ms))](bool kept) {
                               if (conversation->attempt != number) return;
                               if (kept) {
                                 conversation->last_turn = id;
                                 conversation->kept_until = deployment_.simulator().now() + retention;
                               }
                               schedule_next(conversation);
                             });
}

}  // namespace chutevane::tier_simulation
