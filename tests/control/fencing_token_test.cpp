// Tests of fencing tokens with the list of endpoints. Terms are kept in memory only, and controllers restart,
// freeze and lose contact, so two may lead at the same time, even in one term. A follower of the list must
// never go back to an older list, and must have a current one once the faults have ended.
#include "control/fencing_token.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/endpoint_table.hpp"
#include "election_cluster.hpp"
#include "unit.hpp"

namespace common = chutevane::common;
using chutevane::Span;
using chutevane::TimePoint;
using chutevane::control::FencingToken;
using chutevane::control::LeaderElection;
using chutevane::control::make_fencing_token;
using chutevane::control::Term;
using chutevane::control::term_of;
using chutevane::simulated::ElectionCluster;

namespace {

constexpr Span fetch_interval = Span::ms(600);
constexpr Span member_heartbeat_interval = Span::ms(300);
constexpr double max_list_age_ms = 2000;  // at a follower, some seconds after the last fault

// The platform's list at a time: one endpoint whose capacity is that time.
std::vector<common::EndpointEntry> platform_list(TimePoint now) {
  common::EndpointEntry one;
  one.id = "e";
  one.capacity = static_cast<std::int64_t>(now.as_ms());
  return {one};
}
std::int64_t fetched_at_ms(const common::EndpointTable& table) {
  return table.entries().empty() ? 0 : table.entries().begin()->second.capacity;
}

// Controllers that fetch, publish and follow the list as the control plane does, and members that follow it.
class PublishingCluster : public ElectionCluster {
 public:
  PublishingCluster(std::uint64_t seed, std::size_t size, double loss_rate)
      : ElectionCluster(size, seed, loss_rate), lists_(size), followers_(4) {
    for (std::size_t i = 0; i < size; ++i)
      clock.later.after(fetch_interval * random.unit(), [this, i] { fetch(i); });
    for (std::size_t i = 0; i < followers_.size(); ++i) {
      followers_[i].sessions = {random.below(size)};
      if (i == 0) followers_[i].sessions.push_back(random.below(size));
      clock.later.after(member_heartbeat_interval * random.unit(), [this, i] { send_member_heartbeat(i); });
    }
  }

  // Runs with faults, then without. Returns the first violation, or an empty string.
  std::string run(Span with_faults, Span calm) {
    for (int n = 0; n < 16; ++n) clock.later.after(with_faults * random.unit(), [this] { inject_fault(); });
    clock.play(with_faults);
    for (Controller& one : controllers) {
      one.is_frozen = false;
      one.cut_off_from.clear();
    }
    clock.play(calm);
    if (!broken.empty()) return broken;
    for (const Follower& follower : followers_) {
      const double age_ms = now().as_ms() - static_cast<double>(fetched_at_ms(follower.table));
      if (age_ms > max_list_age_ms)
        return numbered("a follower's list is old: ms ", static_cast<long long>(age_ms));
    }
    return "";
  }
  // Number of terms in which two processes have published.
  std::size_t terms_of_two_leaders() const {
    std::map<Term, std::set<FencingToken>> tokens;
    for (const auto& [position, fetched_at] : contents_)
      tokens[term_of(position.first)].insert(position.first);
    return static_cast<std::size_t>(
        std::count_if(tokens.begin(), tokens.end(), [](const auto& one) { return one.second.size() > 1; }));
  }
  void restart(std::size_t i) override {
    ElectionCluster::restart(i);
    lists_[i] = {};
  }

 private:
  struct List {
    common::EndpointTable table;
    FencingToken newest_member_token = 0;  // highest one that a member with a session has reported
  };
  struct Follower {
    common::EndpointTable table;
    std::vector<std::size_t> sessions;  // with these controllers
  };

  // Sends the list position with a heartbeat; a leader replies with the changes that the sender lacks.
  std::function<void()> attachment(std::size_t from, std::size_t to) override {
    const List& list = lists_[from];
    const bool is_overtaken = list.newest_member_token > list.table.term();
    const FencingToken token = is_overtaken ? list.newest_member_token : list.table.term();
    const std::int64_t number = is_overtaken ? 0 : list.table.number();
    return [this, from, to, token, number] {
      observe_if_leader(to, token);
      if (controllers[to].election->is_leader()) send_changes(to, from, token, number);
    };
  }
  void observe_if_leader(std::size_t i, FencingToken token) {
    const Controller& controller = controllers[i];
    if (controller.election->is_leader())
      controller.election->observe_fencing_token(token, controller.incarnation);
  }
  void send_changes(std::size_t from, std::size_t to, FencingToken token, std::int64_t number) {
    for (const common::EndpointList& change : lists_[from].table.changes_since(token, number)) {
      clock.later.after(delay(), [this, from, to, change] {
        if (!reaches(from, to)) return;
        observe_if_leader(to, change.term);
        lists_[to].table.apply(change);
        check_content(lists_[to].table);
      });
    }
  }
  void fetch(std::size_t i) {
    clock.later.after(fetch_interval, [this, i] { fetch(i); });
    const Controller& controller = controllers[i];
    if (controller.is_frozen || !controller.election->is_leader()) return;
    common::EndpointTable& table = lists_[i].table;
    const FencingToken token = table.term();
    const std::int64_t number = table.number();
    const FencingToken own_token = make_fencing_token(controller.election->term(), controller.incarnation);
    if (!table.update(own_token, platform_list(now()))) return;
    check_content(table);
    for (std::size_t to = 0; to < controllers.size(); ++to) {
      if (to != i && !is_lost()) send_changes(i, to, token, number);
    }
  }
  // Processes a member's heartbeat, and pushes changes over the session.
  void send_member_heartbeat(std::size_t which) {
    clock.later.after(member_heartbeat_interval, [this, which] { send_member_heartbeat(which); });
    Follower& follower = followers_[which];
    for (const std::size_t i : follower.sessions) {
      if (controllers[i].is_frozen || is_lost()) continue;
      const FencingToken token = follower.table.term();
      controllers[i].election->observe_fencing_token(token, controllers[i].incarnation);
      lists_[i].newest_member_token = std::max(lists_[i].newest_member_token, token);
      for (const common::EndpointList& change :
           lists_[i].table.changes_since(token, follower.table.number())) {
        const std::pair before{follower.table.term(), follower.table.number()};
        if (!follower.table.apply(change)) continue;
        if (std::pair{follower.table.term(), follower.table.number()} <= before)
          broken = "a follower went back";
        check_content(follower.table);
      }
    }
  }
  // Checks that each position has a single content.
  void check_content(const common::EndpointTable& table) {
    if (table.empty()) return;
    const std::pair position{table.term(), table.number()};
    const auto [known, is_new] = contents_.emplace(position, fetched_at_ms(table));
    if (!is_new && known->second != fetched_at_ms(table)) broken = "two lists of one number";
  }

  void inject_fault() {
    const std::size_t i = random.below(controllers.size()), j = random.below(controllers.size());
    const double kind = random.unit();
    if (kind < 0.5) return restart(i);
    if (kind < 0.7) {
      freeze(i, Span::ms(3000 * random.unit()));
    } else if (i != j) {
      cut_off(i, j, Span::ms(4000 * random.unit()));
    }
  }

  std::vector<List> lists_;  // of the controllers
  std::vector<Follower> followers_;
  std::map<std::pair<FencingToken, std::int64_t>, std::int64_t> contents_;  // by position
};

}  // namespace

TEST_GROUP(FencingTokens){};

TEST(FencingTokens, FollowersNeverGoBackAndCatchUp) {
  std::size_t terms_of_two_leaders = 0;
  for (std::uint64_t seed = 0; seed < 3000; ++seed) {
    PublishingCluster one(seed, seed % 4 == 0 ? 5 : 3, seed % 3 == 0 ? 0.1 : 0);
    const std::string fault = one.run(Span::ms(9000), Span::ms(5000));
    CHECK_WHERE(fault.empty(), numbered("seed ", static_cast<long long>(seed)) + ": " + fault);
    terms_of_two_leaders += one.terms_of_two_leaders();
  }
  CHECK_WHERE(terms_of_two_leaders > 10,
              numbered("terms of two leaders: ", static_cast<long long>(terms_of_two_leaders)));
}

// Two controllers won one term, and the list of the one that is gone has the higher token. The other one
// steps down when it learns of that token, and publishes next under an even higher one.
TEST(FencingTokens, HigherTokenOfTheSameTermForcesStepDown) {
  const TimePoint start = TimePoint::at_ms(1e6);
  constexpr std::uint64_t low = 0x1000, high = 0x2000;
  LeaderElection election("list", 1);
  election.on_elected(5, start);
  election.observe_fencing_token(make_fencing_token(5, low), low);
  CHECK_TRUE(election.is_leader());
  election.observe_fencing_token(make_fencing_token(4, high), low);
  CHECK_TRUE(election.is_leader());
  election.observe_fencing_token(make_fencing_token(5, high), low);
  CHECK_FALSE(election.is_leader());
  std::optional<Term> term;
  for (TimePoint now = start; !term && now - start < Span::ms(2000); now = now + Span::ms(10))
    term = election.start_campaign(now);
  CHECK_EQUAL(6, static_cast<int>(term.value_or(0)));
  CHECK_TRUE(make_fencing_token(6, low) > make_fencing_token(5, high));
}

// All controllers that knew the term have restarted, so it is learnt from followers of the list.
TEST(FencingTokens, TermIsLearntFromFollowers) {
  const TimePoint start = TimePoint::at_ms(1e6);
  LeaderElection election("list", 1);
  election.on_heartbeat("k1", 1, start);
  election.observe_fencing_token(make_fencing_token(40, 7), 9);
  CHECK_TRUE(election.grant_vote(41, start));
  CHECK_FALSE(election.grant_vote(40, start));
}
