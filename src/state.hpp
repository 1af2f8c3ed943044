// What a balancer remembers: plain state. All that decides on it is in src/policy/ and balance.cpp.
#pragma once

#include <array>
#include <deque>
#include <vector>

#include "base/answer_list.hpp"
#include "base/histogram.hpp"
#include "base/pcg.hpp"
#include "base/row.hpp"
#include "base/settings_reader.hpp"
#include "base/slab.hpp"
#include "base/windowed_count.hpp"
#include "chutevane/balancer.hpp"
#include "policy/estimate.hpp"
#include "policy/shares.hpp"

namespace chutevane {

enum class Effect : std::uint8_t { replayable, referenced, single_use };
enum class Group : std::uint8_t { all, zone, cell };

struct Track {
  Span soft_limit, client_timeout, repeat_window;
  double payoff = 1.0, late_payoff = 0.0;
  Effect effect = Effect::replayable;
  Group group = Group::all;
  bool in_turn = false;
};

// What clients of a track commonly say they will wait on a first try.
struct UsualWait {
  struct Guess {
    Span left;
    double weight = 0.0;
  };
  std::array<Guess, 3> guesses;
  std::size_t usual = 0;
};

struct KeyCount {
  std::uint64_t key = 0;
  double weight = 0.0;
};

struct Endpoint {
  EndpointId id = 0;
  std::uint64_t mark = 0;  // alike at all sidecars
  std::uint16_t zone = 0, cell = 0, model = 0;
  Availability availability = Availability::gone;
  bool ready() const { return availability == Availability::ready; }
  TimePoint came_up, quiet_since, barred_until;
  Span bar;  // the pause before it is tried again; zero: none yet
  int in_flight = 0, misses = 0;
  int connections = 0;   // that have served and may still stand
  bool in_part = false;  // of this sidecar's own part of the ring
  bool outlier = false;
  bool unlisted = false;    // called gone, and kept until it fails
  double latency_ms = 0.0;  // smoothed over done dispatches; 0: unheard
  double fresh_cap = -1.0;  // calls in flight; negative: no cap
  double cold_tokens = 0.0;
  double held = 0.0;  // calls, as last reported
  TimePoint cold_filled, held_at, told_at, last_used;
  WindowedHistogram times;  // done dispatches
};

// The calls of one key that go one at a time, as they were taken.
struct Line : Row {  // of calls; the first is out, or is next
  std::uint64_t key = 0;
  int length = 0;
  bool in_use = false;
  TimePoint rests_until;  // before it what may still run has ended, as the settings state
};

struct Dispatch {
  std::uint32_t endpoint = 0;
  TimePoint sent;
  std::uint16_t zone = 0, cell = 0;  // the endpoint's as it was sent: an id may come back elsewhere
  bool out = false, cut = false, rescued = false;
  Span idle;  // of the endpoint's connection before it
};

struct Call {
  CallId id = 0;
  std::uint32_t track = 0;
  double payoff = 0.0;
  TimePoint arrived, timeout, wait_until, moved_at;
  std::uint64_t key = 0;
  double popularity = 0.0;  // of the key, as the call came
  TimePoint soft_end;       // the soft limit counts from the client's first try
  std::uint8_t sent = 0, out = 0;
  std::uint8_t sent_elsewhere = 0;  // by other pools: one budget counts over all
  bool over = false, waiting = false, in_use = false, coming = false;
  bool queued = false;                                   // others of its key go first
  std::uint32_t line = Line::none, behind = Line::none;  // behind: the call that follows in it
  int bound_to = -1;                                     // the earliest dispatch that may have run
  TimePoint bound_since;
  std::array<Dispatch, 8> dispatches;
};

struct Balancer::State {
  State(const Settings& s, std::uint64_t seed, TimePoint now);

  // The design
  void solve(TimePoint now);
  void order();
  void widen(TimePoint now);
  double popularity(std::uint64_t key);
  int keyed(const Call& c, TimePoint now);
  bool crowded(const Endpoint& e, TimePoint now);
  double held_high() const;
  bool tried(const Call& c, std::size_t endpoint) const;
  int pick(const Call& c, TimePoint now);
  int draw(const Call& c, const Arc& part, TimePoint now);

  // Endpoints
  bool open_by_rules(const Call& c, const Endpoint& e, TimePoint now);
  bool healthy(const Endpoint& e, TimePoint now);
  bool silent(const Endpoint& e, TimePoint now);
  double warmth(const Endpoint& e, TimePoint now) const;
  void called_gone(Endpoint& e, TimePoint now);
  std::uint32_t free_place();
  Answers listed(ListKind kind, std::span<const ListedEndpoint> entries, TimePoint now);
  Endpoint* known(EndpointId id) {
    const std::uint32_t at = endpoint_index.find(id);
    return at == IdIndex::none ? nullptr : &endpoints[at];
  }
  void fill_cold(Endpoint& e, TimePoint now);
  void miss(Endpoint& e, TimePoint now, const char* what, int weight = 1);
  bool dropped(const Endpoint& e, const Dispatch& d, bool reset, TimePoint now);
  bool doubted(const Endpoint& e, TimePoint now) const;
  bool spare_connection(const Endpoint& e, TimePoint now) const;
  void tell_use(double part, TimePoint now);
  void learn(Endpoint& e, const Dispatch& d, const DispatchEnd& end, TimePoint now);

  // Calls
  bool may_go_again(const Call& c, TimePoint now);
  bool worth_sending(const Call& c, Span wait, TimePoint now);
  Answer line_up(std::uint32_t at, TimePoint now);
  void leave_line(std::uint32_t at, TimePoint now);
  void take_turn(std::uint32_t line, TimePoint now);
  void serve_lines(TimePoint now);
  void give_up_queued(TimePoint now);
  auto behind() {  // of a call in its line
    return [this](std::uint32_t at) -> std::uint32_t& { return calls[at].behind; };
  }
  int resends_left(TimePoint now);
  bool repeats_over(const Call& c, TimePoint now) const;
  bool within_repeats(const Call& c, const Endpoint& e, TimePoint now) const;
  Answer place(std::uint32_t at, TimePoint now);
  Answer hold_or_give_up(std::uint32_t at, TimePoint now);
  Answer give_up(std::uint32_t at, TimePoint now, bool crowded);
  Answer send(std::uint32_t at, std::uint32_t endpoint, TimePoint now);
  void finish(std::uint32_t at, TimePoint now);
  void settle(std::uint32_t at, TimePoint now);
  void serve_waiting(TimePoint now);
  void rescue(TimePoint now);
  Span age_of(const ApiCall& call);
  bool admitted(const Call& c);
  void count_answer(const Call& c, bool done, TimePoint now);
  void step_limit(TimePoint now);
  double least_limit() const;
  void tick(TimePoint now);
  State& begin_event() {  // the answers to the one before have been read
    answers.clear();
    return *this;
  }
  Answers serve(TimePoint now);

  const SettingsReader settings;
  Pcg chance;
  bool first_tier, gone_binds, can_cancel, can_come_back, must_subscribe, marks_repeats;
  bool can_tell = false, warm_keys = false, one_layer = false, will_tell = false, shared_connections = false;
  bool own_parts = false;  // a connection serves one call and no crossing is priced: few are kept in use
  double seat = 0.0;       // of this sidecar among all: 0 to under 1
  int own_zone = -1;       // where crossing zones is priced
  int near_draws = 0;      // more draws for an endpoint in it
  double sidecars, cold_share, fall_multiple, cold_part = 1.0;  // cold_part: of the sidecar's cold budgets
  Span warm_after, fall_window, most_come_back;
  std::uint8_t most_dispatches;
  std::vector<Track> tracks;
  std::vector<UsualWait> waits;   // one per track
  std::array<KeyCount, 64> keys;  // the popular ones among those seen of late

  std::vector<Endpoint> endpoints;
  IdIndex endpoint_index;
  std::vector<double> models;       // smoothed latency, ms; 0: unheard
  std::vector<std::uint32_t> ring;  // places of endpoints, in an order that all sidecars share
  Shares shares;                    // along the ring
  Arc own;                          // the part of the ring that calls without a warm key are drawn from
  int spread = 0;                   // ready endpoints that the calls of this sidecar spread over
  Slab<Call> calls;
  IdIndex call_index;
  std::vector<std::uint32_t> waiting;
  Slab<Line> lines;
  IdIndex line_index;                                     // by key
  std::deque<std::pair<TimePoint, std::uint32_t>> rests;  // lines at rest, by when it ends
  std::vector<std::uint32_t> turns;                       // lines whose first call may be sent now
  Span settle_after_doubt;
  double resend_free = -1.0, resend_ratio = 0.0;  // negative: no budget of dispatches is stated
  Span resend_span;
  std::deque<TimePoint> resends;  // within the span
  WindowedCount taken;            // calls, over the span
  int rescuing = 0;               // dispatches given up whose calls will go again
  AnswerList answers;

  Estimate estimate;
  bool all_silent = false;
  double ready_warm = 0.0;             // such endpoints, a cold one counted for what it can do
  int in_flight = 0, ready_count = 0;  // dispatches out at ready endpoints; such endpoints
  int calls_out = 0;                   // calls with a dispatch out, or waiting
  double limit = 0.0, payoff_mean = 0.0, payoff_seen = 0.0, rate = 0.0, retry_tokens = 0.0;
  double used = 0.0, mean_held = 0.0;  // means over answers: of what endpoints may have in use; calls held
  double own_part = 0.0;               // of an answer's time, spent at the endpoint itself
  double room_told = 0.0;              // calls in flight that reports had room for of late
  double late_part = 0.0, mean_out = 0.0;  // mean of calls_out
  int step_ends = 0, step_peak = 0, step_arrivals = 0;
  int on_trial = 0, trial_late = 0;    // answers that still try a remembered limit; late ones among them
  bool limited = false, told = false;  // told: answers report how busy the cores are
  TimePoint look_at, step_at, subscribe_at = TimePoint::never(), rate_since, told_at;
  double refused = 0.0;    // part of the dispatches that got no connection
  TimePoint scarce_until;  // connections are: sidecars keep to parts of the endpoints
  Span idle_safe;          // a connection that idled less is trusted
  TimePoint idle_lost_at = TimePoint::at_ms(-1e9);  // the last that was dropped unseen
  Span subscribe_pause;
};

}  // namespace chutevane
