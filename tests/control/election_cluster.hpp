/// Controllers that elect the leader of one role among themselves on a simulated clock. Heartbeats and votes
/// are lost and delayed, and controllers freeze, restart and lose contact, as determined by a seed.
///
/// In every test it checks that no process votes twice in one term.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "control/leader_election.hpp"
#include "simulated_system.hpp"
#include "unit.hpp"

namespace chutevane::simulated {

/// The simulated controllers and the network between them.
class ElectionCluster {
 public:
  struct Controller {
    std::string name;
    std::unique_ptr<control::LeaderElection> election;
    std::uint64_t incarnation = 0;  // of the process
    std::uint64_t restarts = 0;
    bool is_frozen = false;              // neither acts nor receives, and later resumes with its state
    std::set<std::size_t> cut_off_from;  // controllers with which no messages are exchanged
  };

  /// `loss_rate`: fraction of the heartbeats and vote requests that is lost.
  ElectionCluster(std::size_t size, std::uint64_t seed, double loss_rate)
      : random(seed), loss_rate_(loss_rate), controllers(size) {
    for (std::size_t i = 0; i < size; ++i) {
      controllers[i].name = numbered("k", static_cast<long long>(i));
      start_process(i);
      clock.later.after(tick_interval * random.unit(), [this, i] { tick(i); });
    }
  }
  virtual ~ElectionCluster() = default;
  ElectionCluster(const ElectionCluster&) = delete;
  ElectionCluster& operator=(const ElectionCluster&) = delete;

  TimePoint now() { return clock.system.now(); }
  bool reaches(std::size_t a, std::size_t b) const {
    const Controller &from = controllers[a], &to = controllers[b];
    return !from.is_frozen && !to.is_frozen && !from.cut_off_from.contains(b) && !to.cut_off_from.contains(a);
  }
  std::size_t quorum_size() const { return controllers.size() / 2 + 1; }
  std::size_t leader_count() const {
    std::size_t count = 0;
    for (const Controller& one : controllers) count += !one.is_frozen && one.election->is_leader() ? 1 : 0;
    return count;
  }

  /// Kills the process and starts a new one, which does not know the votes of the former one.
  virtual void restart(std::size_t i) {
    ++controllers[i].restarts;
    start_process(i);
  }
  void freeze(std::size_t i, Span span) {
    controllers[i].is_frozen = true;
    clock.later.after(span, [this, i] { controllers[i].is_frozen = false; });
  }
  void cut_off(std::size_t from, std::size_t to, Span span) {
    controllers[from].cut_off_from.insert(to);
    clock.later.after(span, [this, from, to] { controllers[from].cut_off_from.erase(to); });
  }

  Clockwork clock;
  RandomSource random;

 private:
  const double loss_rate_;

 public:
  std::vector<Controller> controllers;
  std::map<control::Term, std::set<std::string>> winners;  // by term
  std::string broken;                                      // the first violated invariant, or empty

 protected:
  bool is_lost() { return random.chance(loss_rate_); }
  Span delay() { return Span::ms(1 + 30 * random.unit()); }
  /// Returns a function that is called when a heartbeat arrives, after the election has processed it.
  virtual std::function<void()> attachment(std::size_t /*from*/, std::size_t /*to*/) { return nullptr; }

 private:
  static constexpr Span tick_interval = Span::ms(250);
  static constexpr Span vote_timeout = Span::ms(300);

  struct Tally {
    std::size_t granted = 0, answered = 0;
    bool is_decided = false;
  };

  void start_process(std::size_t i) {
    controllers[i].election = std::make_unique<control::LeaderElection>("list", random.next());
    controllers[i].incarnation = random.next();
  }

  // Corresponds to the control plane's loop.
  void tick(std::size_t i) {
    clock.later.after(tick_interval, [this, i] { tick(i); });
    if (controllers[i].is_frozen) return;
    send_heartbeats(i);
    std::size_t in_contact = 1;
    for (std::size_t j = 0; j < controllers.size(); ++j) in_contact += j != i && reaches(i, j) ? 1 : 0;
    control::LeaderElection& election = *controllers[i].election;
    if (election.is_leader() && in_contact < quorum_size()) election.step_down(now());
    if (const std::optional<control::Term> term = election.start_campaign(now())) request_votes(i, *term);
  }

  void send_heartbeats(std::size_t from) {
    const control::LeaderElection& election = *controllers[from].election;
    const std::optional<control::Term> led_term =
        election.is_leader() ? std::optional(election.term()) : std::nullopt;
    for (std::size_t to = 0; to < controllers.size(); ++to) {
      if (to == from || is_lost()) continue;
      clock.later.after(delay(), [this, from, to, led_term, attached = attachment(from, to)] {
        if (!reaches(from, to)) return;
        controllers[to].election->on_heartbeat(controllers[from].name, led_term, now());
        if (attached) attached();
      });
    }
  }

  void request_votes(std::size_t candidate, control::Term term) {
    const auto tally = std::make_shared<Tally>();
    const auto on_vote = [this, candidate, term, tally,
                          restarts = controllers[candidate].restarts](bool granted) {
      ++tally->answered;
      tally->granted += granted ? 1 : 0;
      if (controllers[candidate].restarts == restarts) decide(candidate, term, *tally);
    };
    for (std::size_t voter = 0; voter < controllers.size(); ++voter) {
      const bool arrives = !is_lost();
      clock.later.after(delay(), [this, candidate, voter, term, arrives, on_vote] {
        const bool is_heard = arrives && (candidate == voter || reaches(candidate, voter));
        const bool granted = is_heard && grant_vote(voter, candidate, term);
        clock.later.after(is_heard ? delay() : vote_timeout, [on_vote, granted] { on_vote(granted); });
      });
    }
  }

  bool grant_vote(std::size_t voter, std::size_t candidate, control::Term term) {
    if (!controllers[voter].election->grant_vote(term, now())) return false;
    const auto [vote, is_new] =
        votes_.emplace(std::tuple(voter, controllers[voter].restarts, term), candidate);
    if (!is_new) broken = controllers[voter].name + numbered(" voted twice in term ", term);
    return true;
  }

  void decide(std::size_t candidate, control::Term term, Tally& tally) {
    if (tally.is_decided) return;
    control::LeaderElection& election = *controllers[candidate].election;
    if (tally.granted >= quorum_size()) {
      tally.is_decided = true;
      election.on_elected(term, now());
      if (election.is_leader() && election.term() == term) winners[term].insert(controllers[candidate].name);
      send_heartbeats(candidate);
    } else if (tally.answered == controllers.size()) {
      tally.is_decided = true;
      election.on_campaign_lost(now());
    }
  }

  std::map<std::tuple<std::size_t, std::uint64_t, control::Term>, std::size_t>
      votes_;  // candidate by voter, restarts and term
};

}  // namespace chutevane::simulated
