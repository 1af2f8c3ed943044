// An experiment as its file describes it: who calls, what fleet answers, and what goes wrong when.
//
// The file is TOML. Every key is checked; each that is unknown, missing or out of range is named with its
// line and column, all of them at once.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"
#include "lab/draw.hpp"
#include "lab/machine.hpp"
#include "toml/table_reader.hpp"

namespace chutevane::lab {

enum class TrackEffect : std::uint8_t { replayable, referenced, single_use };
enum class Scope : std::uint8_t { all, zone, cell };  // which endpoints remember a reference together

struct TrackSpec {
  std::string name;
  double share = 1.0;  // of the callers' calls, against the other tracks' shares
  TrackEffect effect = TrackEffect::replayable;
  Scope scope = Scope::all;
  Span remembered;  // a reference, by its group
  double payoff = 1.0, late_payoff = 0.0;
  Span soft_limit, client_timeout;
  std::string client;    // who its callers say they are; empty: nobody
  bool in_turn = false;  // calls with one key go one at a time, as a sidecar took them
};

struct TierSpec {
  std::string name;
  int endpoints = 1;
  int sidecars = 1;  // 0: one for each endpoint of the tier before
  std::vector<std::string> zones;
  int cells = 1;
  MachineSpec machine;
  Distribution work;  // ms on one warm core, of tracks without their own
  std::map<std::string, Distribution> work_by_track;
  double connect_cost_ms = 0.0;  // work of a new connection
  int connections = 1000;        // that an endpoint holds; one more is closed
  Span idle_close;
  Span list_delay;             // before discovery tells of a change
  double carries_per_s = 0.0;  // with `pools`: calls that the pool is stated to carry; 0: not stated
  int calls_next = 1;          // calls to the next tier, one after another, for each request
  std::size_t answer_bytes = 200;
};

struct CallersSpec {
  int keys = 0;         // that calls are about, drawn evenly; 0: none
  double rate = 100.0;  // first tries a second, over all tracks
  bool even = false;    // evenly spaced instead of Poisson
  int connections = 200;
  bool spread = false;  // each connection is another client's: all are opened before one is used again
  int repeats = 0;      // a client's own tries again, at most
  Span repeat_after;    // where no Retry-After is stated
  bool marks_repeats = true;
  double leave_share = 0.0;  // of calls whose client goes away before its answer
  std::size_t request_bytes = 100;
  Span idle;  // before a caller closes a connection
};

struct RulesSpec {
  Span drain_grace = Span::ms(2000);
  double cold_share = 0.2;
  double fall_multiple = 3.0;
  Span fall_window = Span::ms(1500);
  Span warm_after = Span::ms(10000);
  Span slack = Span::ms(50);  // of each time limit, for the lab's own part of it
  Span settle_after_doubt;    // a key rests, where tracks go in turn
  double budget_free = 0.0,
         resend_ratio = 0.0;  // dispatches beyond each call's first, and for each call taken
  Span resend_span;           // that they are counted over; zero: no such rule
  Span way_slack;             // beyond it, of an answer's: set where the way itself may take long
  Span wait_most() const { return slack + way_slack; }
};

struct AllowedSpec {
  bool cancel = true, copies = false, retry_after = true;
  Span most_retry_after = Span::ms(2000);
  int dispatches = 4;
  Span connect_timeout = Span::ms(250);
};

enum class FaultKind : std::uint8_t {
  silent,               // the endpoint says nothing, accepts nothing; what it has runs on
  slow,                 // its cores work at 1/factor
  neighbour,            // another takes `part` of its cores
  refused,              // connections are refused; those open go on
  reset_before,         // connections reset as they are accepted, and those at rest as it begins
  reset_amid,           // in the middle of a request
  reset_after,          // after the whole request, which may have run
  reset_answer,         // in the middle of the answer
  half_answer,          // half an answer, then nothing more
  spoilt,               // an answer that no one could have made for this request
  doubled,              // the answer twice
  error,                // 500
  end,                  // gone at once, connections reset; the list tells later
  restart,              // gone at once, back cold after `down_ms` at its address under a new id
  release,              // the tier's endpoints one after another: drained, ended, back under new ids
  zone_lost,            // all endpoints of a zone silent
  sidecar_killed,       // and started again after `down_ms`
  sidecar_drained,      // told to end, and started again after its end
  discovery_silent,     // agents take requests and say nothing
  discovery_late,       // news held back by `delay_ms`
  discovery_broken,     // connections closed without an answer
  discovery_truncated,  // answers cut in the middle
  burst,                // rate times `factor`
  sidecar_stopped,      // as by SIGSTOP, then on with all that it believed
  sidecar_loop,         // killed again each `every_ms`, and started after `down_ms`
  state_lost,           // what sidecars have stored: wiped
  state_torn,           // the newest snapshot cut off at a byte that the seed draws
  state_old,            // brought back from `age_ms` ago
  state_swapped,        // between the first and the second, the third and the fourth
  state_refused,        // the disk takes nothing
  partition,            // of the ways between sidecars and `link`: nothing comes through, nothing comes up
  slow_link,            // later by `delay_ms` and up to `spread_ms`
  capped_link,          // `bytes_per_s` in each direction
  held_link,            // what stands goes on, nothing new comes up
  cut,                  // connections reset at both ends
  lost_end,             // reset at one end; the other hears nothing any more
};
inline constexpr std::size_t fault_kinds = 36;
std::string_view name_of(FaultKind kind);
// The ways between processes, by who is at the other end from the sidecar.
enum class WayTo : std::uint8_t { endpoints, callers, discovery };
enum class Heading : std::uint8_t { both, to_sidecar, from_sidecar };  // what does not come through
// Whether a kind breaks a way: on this machine a relay does it, in the world its own troubles.
bool breaks_ways(FaultKind kind);

struct FaultSpec {
  FaultKind kind = FaultKind::silent;
  std::string tier;   // the first, where none is named
  Span at, lasts;     // from the beginning of the measured time
  int endpoints = 1;  // or sidecars, drawn by the seed; of `zone` where one is named
  std::string zone;
  double factor = 3.0;
  double part = 0.5;
  double probability = 1.0;  // of a request, where it is one that is spoilt
  Span down, delay, drain;
  Span every = Span::ms(2000), age = Span::ms(3600000), spread;
  WayTo link = WayTo::endpoints;
  Heading heading = Heading::both;
  int far = 0;  // endpoints at the other end, drawn by the seed; 0: all
  double bytes_per_s = 0.0;
};

// What sidecars keep for their next start, and how they start.
struct RestartSpec {
  bool state = false;
  Span snapshot_every = Span::ms(1000);
  Span ask_over;
  double part_with = 0.0;  // a second
};

struct Experiment {
  std::string name;
  std::uint64_t seed = 1;
  Span settle = Span::ms(1000);  // load before what is measured begins
  Span lasts = Span::ms(10000);
  Span lateness_bound = Span::ms(25);  // the lab's own, 99th percentile; a run beyond it is void
  CallersSpec callers;
  RulesSpec rules;
  AllowedSpec allowed;
  RestartSpec restart;
  // The tiers are pools of one service, by priority, behind the first one's sidecars, instead of a chain.
  bool pools = false;
  std::string service;  // with `pools`: further keys of the service, in the operator's form
  std::vector<TrackSpec> tracks;
  std::vector<TierSpec> tiers;
  std::vector<FaultSpec> faults;
  std::size_t tier_at(std::string_view name) const;  // tiers.size() when there is none
};

// What is wrong with a file: a line each, "FILE:LINE:COLUMN: KEY: WHY".
struct ExperimentError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws ExperimentError. `file` is for messages.
Experiment read_experiment(std::string_view text, const std::string& file);
Experiment load_experiment(const std::string& file);
// The same in steps, for files that hold more than an experiment: what is wrong goes to `errors`.
toml::table parse_experiment(std::string_view text, const std::string& file);
Experiment read_experiment(const toml::table& root, toml_reader::ErrorList& errors);

}  // namespace chutevane::lab
