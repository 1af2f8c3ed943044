#include "network_simulation/simulator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chutevane::network_simulation {
namespace {

// A plausible Unix time, since programs compare it with the start times in endpoint lists.
constexpr TimePoint start_of_simulation = TimePoint::at_ms(1.8e12);
// After a partition has healed, until what it held back is retransmitted.
constexpr Span max_resume_delay = Span::ms(400);

}  // namespace

Simulator::Simulator(std::uint64_t seed, const NetworkConditions& conditions, Trace& trace)
    : random_(seed * 0x9e3779b97f4a7c15ULL + 17),
      conditions_(conditions),
      trace_(trace),
      now_(start_of_simulation) {}

Simulator::~Simulator() = default;

// --- Processes and events

Process& Simulator::process(const std::string& name, std::uint32_t ip) {
  if (Process* known = process_at(ip)) return *known;
  processes_.push_back(std::make_unique<Process>(*this, processes_.size(), name, ip));
  processes_by_ip_[ip] = processes_.back().get();
  return *processes_.back();
}

Process* Simulator::process_at(std::uint32_t ip) {
  const auto found = processes_by_ip_.find(ip);
  return found == processes_by_ip_.end() ? nullptr : found->second;
}

void Simulator::schedule(TimePoint at, Event::Kind kind, std::uint32_t index, std::uint64_t id) {
  queue_.push({at, ++last_order_, kind, index, id});
}

void Simulator::run_after(Span delay, std::function<void()> callback) {
  callbacks_[++last_callback_] = std::move(callback);
  schedule(now_ + delay, Event::Kind::callback, 0, last_callback_);
}

void Simulator::schedule_ready_processes() {
  for (const auto& process : processes_) process->schedule_if_ready();
}

bool Simulator::run_next_event() {
  if (queue_.empty()) return false;
  const Event event = queue_.top();
  queue_.pop();
  now_ = std::max(now_, event.at);
  ++events_;
  if (event.kind == Event::Kind::turn) {
    Process& process = *processes_[event.index];
    if (event.id == process.turn_ticket_ && process.turn_at_ != TimePoint::never()) process.run_turn();
  } else if (event.kind == Event::Kind::callback) {
    run_callback(event.id);
  } else if (Connection* const connection = find_connection(event.id)) {
    run_connection_event(*connection, event);
    erase_if_finished(event.id);
  }
  return true;
}

void Simulator::run_callback(std::uint64_t id) {
  const auto found = callbacks_.find(id);
  const std::function<void()> callback = std::move(found->second);
  callbacks_.erase(found);
  callback();
  schedule_ready_processes();
}

void Simulator::run_connection_event(Connection& connection, const Event& event) {
  const int end = static_cast<int>(event.index);
  switch (event.kind) {
    case Event::Kind::deliver: deliver(connection, end); break;
    case Event::Kind::connect_attempt: attempt_connect(connection, event.index); break;
    case Event::Kind::refuse: refuse_connect(connection); break;
    case Event::Kind::transmit: transmit(connection, end); break;
    case Event::Kind::space_available:
      // Still too full: the segments in flight schedule this event again when they have arrived.
      if (!has_send_space(connection, end)) break;
      connection.ends[end].waiting_for_space = false;
      notify(connection.ends[end]);
      break;
    case Event::Kind::turn:
    case Event::Kind::callback: break;
  }
}

// --- Links

bool Simulator::is_blocked(std::size_t from, std::size_t to) const {
  if (processes_[from]->powered_off_ || processes_[to]->powered_off_) return true;
  return links_.is_blocked(from, to);
}

Span Simulator::draw_delay(std::size_t from, std::size_t to) {
  const double mean_rest_ms = (conditions_.mean_delay - conditions_.min_delay).as_ms();
  const double rest_ms = -std::log(1.0 - draw_uniform()) * mean_rest_ms;
  return (conditions_.min_delay + Span::ms(rest_ms)) * links_.delay_factor(from, to);
}

void Simulator::set_delay_factor(std::size_t a, std::size_t b, double factor) {
  links_.set_delay_factor(a, b, factor);
}

void Simulator::block(std::size_t from, std::size_t to) {
  trace_.record(now_, "block from=%s to=%s", processes_[from]->name_.c_str(), processes_[to]->name_.c_str());
  links_.block(from, to);
}

void Simulator::unblock(std::size_t from, std::size_t to) {
  if (!links_.unblock(from, to)) return;
  trace_.record(now_, "unblock from=%s to=%s", processes_[from]->name_.c_str(),
                processes_[to]->name_.c_str());
  resume_link(from, to);
}

// Each connection retransmits what was held back at a moment of its own.
void Simulator::resume_link(std::size_t from, std::size_t to) {
  for (auto& [id, connection] : connections_) {
    for (int end = 0; end < 2; ++end) {
      const Process* const own = connection->ends[end].process;
      const Process* const peer = connection->ends[1 - end].process;
      if (own == nullptr || peer == nullptr) continue;
      if (own->number_ == from && peer->number_ == to && !connection->streams[end].segments.empty())
        schedule_delivery(*connection, end, now_ + max_resume_delay * draw_uniform());
      if (own->number_ == to && peer->number_ == from)  // acknowledgements come through again
        schedule(now_ + max_resume_delay * draw_uniform(), Event::Kind::space_available,
                 static_cast<std::uint32_t>(end), id);
    }
  }
}

}  // namespace chutevane::network_simulation
