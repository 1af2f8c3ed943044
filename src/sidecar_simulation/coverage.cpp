#include "sidecar_simulation/coverage.hpp"

#include <cstdio>
#include <sstream>

namespace chutevane::sidecar_simulation {
namespace {

constexpr const char* stage_names[] = {"connecting", "writing", "reading", "idle", "closed"};
constexpr const char* outcome_names[] = {"done",          "error", "turned-away", "timed-out",
                                         "not-connected", "reset", "cancelled",   "not-sent"};
constexpr const char* verdict_names[] = {"nothing", "dispatch", "wait",      "reject", "break-off",
                                         "cancel",  "tell",     "subscribe", "log"};
constexpr const char* caller_names[] = {"before-request", "within-request", "call-in-hand",
                                        "writing",        "after-last",     "idle"};

// Cannot come by what the code says, each with its reason: not counted as never reached.
bool is_impossible(std::size_t stage, std::size_t outcome) {
  const bool ends_after_reading = outcome <= 2 || outcome == 3 || outcome == 5 || outcome == 6;
  if (stage < 2) return ends_after_reading;             // nothing has been answered before the request is out
  if (stage == 2) return outcome == 4 || outcome == 7;  // whole requests are never told as not run
  if (stage == 3) return outcome >= 3;  // rests as its answer is told; what else ends it holds no dispatch
  return true;                          // closed: its dispatch was told before
}

}  // namespace

template <class F>
void Coverage::for_each_counter(F f) {
  for (auto& row : outcomes_)
    for (std::uint64_t& n : row) f(n);
  for (std::uint64_t& n : verdicts_) f(n);
  for (std::uint64_t& n : caller_ends_) f(n);
  for (auto& row : verdicts_by_kind_)
    for (std::uint64_t& n : row) f(n);
  for (std::uint64_t& n : fault_counts_) f(n);
}

void Coverage::add(const sidecar::Counters& c) {
  for (std::size_t s = 0; s < stages; ++s)
    for (std::size_t o = 0; o < outcomes; ++o) outcomes_[s][o] += c.outcomes_by_stage[s][o];
  for (std::size_t v = 0; v < verdicts; ++v) verdicts_[v] += c.verdicts[v];
  for (std::size_t e = 0; e < caller_ends; ++e) caller_ends_[e] += c.downstream_closes[e];
}

void Coverage::add_verdicts(const std::array<std::uint64_t, verdicts>& answered,
                            const std::vector<int>& in_force) {
  for (std::size_t k = 0; k < fault_kinds; ++k) {
    if (in_force[k] == 0) continue;
    for (std::size_t v = 0; v < verdicts; ++v) verdicts_by_kind_[k][v] += answered[v];
  }
}

void Coverage::add(const Coverage& other) { add_serialized(other.serialize()); }

std::string Coverage::serialize() const {
  std::ostringstream out;
  const_cast<Coverage*>(this)->for_each_counter([&](const std::uint64_t& n) { out << n << ' '; });
  return out.str();
}

void Coverage::add_serialized(const std::string& line) {
  std::istringstream in(line);
  for_each_counter([&](std::uint64_t& n) {
    std::uint64_t more = 0;
    if (in >> more) n += more;
  });
}

/// The verdicts while each kind of fault was in force; adds those that never came to `never`.
void Coverage::report_fault_kinds(std::ostream& out, std::string& never) const {
  for (std::size_t k = 0; k < fault_kinds; ++k) {
    if (k < lab::fault_kinds && lab::breaks_ways(static_cast<lab::FaultKind>(k))) continue;  // not here
    const auto& of = verdicts_by_kind_[k];
    out << "  " << kind_name(k) << " shown " << fault_counts_[k] << ":";
    for (const std::size_t v : {1U, 2U, 3U, 4U, 5U}) {
      out << " " << of[v];
      if (of[v] == 0) never += (never.empty() ? "" : ", ") + kind_name(k) + "/" + verdict_names[v];
    }
    out << "\n";
  }
}

std::string Coverage::report() const {
  std::ostringstream out;
  std::string never;
  const auto row = [&](const std::string& name, std::uint64_t n, bool counts) {
    if (n > 0)
      out << "  " << name << " " << n << "\n";
    else if (counts)
      never += (never.empty() ? "" : ", ") + name;
  };
  out << "dispatches by stage and outcome:\n";
  for (std::size_t s = 0; s < stages; ++s) {
    for (std::size_t o = 0; o < outcomes; ++o)
      row(std::string(stage_names[s]) + "/" + outcome_names[o], outcomes_[s][o], !is_impossible(s, o));
  }
  out << "callers' connections by where they ended:\n";
  for (std::size_t e = 0; e < caller_ends; ++e) row(caller_names[e], caller_ends_[e], true);
  out << "verdicts:\n";
  // Not asked of the module here: probes and subscriptions are off in the lab's settings.
  for (std::size_t v = 0; v < verdicts; ++v) row(verdict_names[v], verdicts_[v], v != 6 && v != 7 && v != 8);
  out << "verdicts by fault in force (dispatch, wait, reject, break-off, cancel):\n";
  report_fault_kinds(out, never);
  out << "never reached: " << (never.empty() ? "nothing" : never) << "\n";
  return out.str();
}

}  // namespace chutevane::sidecar_simulation
