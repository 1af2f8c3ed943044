// Tests of leader election: by a majority, at most once in each term, and again when the role becomes vacant.
#include "control/leader_election.hpp"

#include <optional>
#include <string>

#include "election_cluster.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::control::leader_lease_duration;
using chutevane::control::LeaderElection;
using chutevane::control::make_fencing_token;
using chutevane::control::Term;
using chutevane::control::term_of;
using chutevane::simulated::ElectionCluster;

namespace {

void check_terms(const ElectionCluster& cluster, const std::string& where) {
  CHECK_WHERE(cluster.broken.empty(), where + ": " + cluster.broken);
  for (const auto& [term, names] : cluster.winners)
    CHECK_WHERE(names.size() == 1, where + numbered(": term ", term) + " was won by several");
}

}  // namespace

TEST_GROUP(LeaderElectionCluster){};

TEST(LeaderElectionCluster, OneLeaderIsElectedSoonAndStays) {
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    ElectionCluster cluster(3 + 2 * (seed % 2), seed, 0);
    const std::string where = numbered("seed ", seed);
    cluster.clock.play(Span::ms(4000));
    CHECK_WHERE(cluster.leader_count() == 1, where);
    const std::size_t terms = cluster.winners.size();
    cluster.clock.play(Span::ms(20000));
    CHECK_WHERE(cluster.leader_count() == 1 && cluster.winners.size() == terms, where);
    check_terms(cluster, where);
  }
}

// With partitions, freezes and lost messages there are never two winners of a term. After the faults there is
// one leader.
TEST(LeaderElectionCluster, OneWinnerOfEachTermUnderFaults) {
  std::size_t terms = 0;
  for (std::uint64_t seed = 0; seed < 120; ++seed) {
    ElectionCluster cluster(3 + 2 * (seed % 2), seed, 0.1);
    for (int n = 0; n < 14; ++n) {
      cluster.clock.later.after(Span::ms(20000 * cluster.random.unit()), [&cluster] {
        const std::size_t i = cluster.random.below(cluster.controllers.size());
        const std::size_t j = cluster.random.below(cluster.controllers.size());
        if (cluster.random.chance(0.5)) {
          cluster.freeze(i, Span::ms(3000 * cluster.random.unit()));
        } else if (i != j) {
          cluster.cut_off(i, j, Span::ms(3000 * cluster.random.unit()));
        }
      });
    }
    cluster.clock.play(Span::ms(24000));
    const std::string where = numbered("seed ", seed);
    check_terms(cluster, where);
    cluster.clock.play(Span::ms(10000), [&] { return cluster.leader_count() == 1; });
    CHECK_WHERE(cluster.leader_count() == 1, where);
    check_terms(cluster, where);
    terms += cluster.winners.size();
  }
  CHECK_TRUE(terms > 300);
}

// A leader that is gone is replaced within 2.5 s.
TEST(LeaderElectionCluster, VacancyIsFilled) {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    ElectionCluster cluster(3, seed, 0);
    cluster.clock.play(Span::ms(4000));
    const std::string where = numbered("seed ", seed);
    CHECK_WHERE(cluster.leader_count() == 1, where);
    for (ElectionCluster::Controller& one : cluster.controllers) one.is_frozen = one.election->is_leader();
    CHECK_WHERE(cluster.leader_count() == 0, where);
    CHECK_WHERE(cluster.clock.play(Span::ms(2500), [&] { return cluster.leader_count() == 1; }), where);
    check_terms(cluster, where);
  }
}

// A leader that is cut off from the majority steps down, and the others elect a new one. Later messages of
// the former leader must not make the new one step down.
TEST(LeaderElectionCluster, FormerLeaderDoesNotDisplaceTheNext) {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    ElectionCluster cluster(3, seed, 0);
    cluster.clock.play(Span::ms(4000));
    std::size_t leader = 0;
    while (!cluster.controllers[leader].election->is_leader()) ++leader;
    for (std::size_t j = 0; j < 3; ++j) {
      if (j != leader) cluster.controllers[leader].cut_off_from.insert(j);
    }
    cluster.clock.play(Span::ms(4000));
    CHECK_FALSE(cluster.controllers[leader].election->is_leader());
    CHECK_EQUAL(static_cast<std::size_t>(1), cluster.leader_count());
    const std::size_t terms = cluster.winners.size();
    cluster.controllers[leader].cut_off_from.clear();
    cluster.clock.play(Span::ms(5000));
    CHECK_EQUAL(static_cast<std::size_t>(1), cluster.leader_count());
    CHECK_EQUAL(terms, cluster.winners.size());
    check_terms(cluster, numbered("seed ", seed));
  }
}

TEST_GROUP(LeaderElectionAlone) {
  LeaderElection election{"list", 1};
  TimePoint now = TimePoint::at_ms(1e6);
  // Returns the term of the next campaign, and sets `at` to the time at which it starts.
  Term campaign(TimePoint & at) {
    while (true) {
      if (const std::optional<Term> term = election.start_campaign(at)) return *term;
      at = at + Span::ms(10);
    }
  }
};

TEST(LeaderElectionAlone, NoSecondVoteInATerm) {
  CHECK_TRUE(election.grant_vote(3, now));
  CHECK_FALSE(election.grant_vote(3, now));
  CHECK_FALSE(election.grant_vote(2, now));
  CHECK_TRUE(election.grant_vote(4, now));
}

TEST(LeaderElectionAlone, NoVoteWhileTheLeaderSendsHeartbeats) {
  election.on_heartbeat("k1", 5, now);
  CHECK_FALSE(election.grant_vote(6, now + leader_lease_duration));
  CHECK_TRUE(election.grant_vote(6, now + leader_lease_duration + Span::ms(1)));
}

TEST(LeaderElectionAlone, NoVoteForAPastTerm) {
  election.on_heartbeat("k1", 5, now);
  now = now + leader_lease_duration * 2;
  CHECK_FALSE(election.grant_vote(5, now));
  CHECK_FALSE(election.grant_vote(4, now));
}

TEST(LeaderElectionAlone, NoVoteWhileLeading) {
  election.on_elected(3, now);
  CHECK_FALSE(election.grant_vote(9, now + Span::ms(60000)));
  election.step_down(now);
  CHECK_FALSE(election.is_leader());
  CHECK_TRUE(election.grant_vote(9, now + Span::ms(60000)));
}

TEST(LeaderElectionAlone, LeaderReportsStepDown) {
  election.on_heartbeat("k1", 5, now);
  election.on_heartbeat("k2", std::nullopt, now);  // not the leader's message
  CHECK_FALSE(election.grant_vote(6, now));
  election.on_heartbeat("k1", std::nullopt, now);
  CHECK_TRUE(election.grant_vote(6, now));
}

TEST(LeaderElectionAlone, StepsDownForALaterTermOnly) {
  election.on_elected(5, now);
  election.on_heartbeat("k1", 4, now);
  CHECK_TRUE(election.is_leader());
  election.on_heartbeat("k1", 6, now);
  CHECK_FALSE(election.is_leader());
  CHECK_EQUAL(6, static_cast<int>(election.term()));
}

// A win has no effect if the same or a later term has become known in the meantime.
TEST(LeaderElectionAlone, LateWinHasNoEffect) {
  election.on_heartbeat("k1", 6, now);
  election.on_elected(5, now);
  CHECK_FALSE(election.is_leader());
  election.on_elected(6, now);
  CHECK_FALSE(election.is_leader());
}

TEST(LeaderElectionAlone, OneCampaignAtATime) {
  TimePoint at = now;
  const Term term = campaign(at);
  CHECK_TRUE(at - now <= Span::ms(200));
  CHECK_EQUAL(1, static_cast<int>(term));
  CHECK_FALSE(election.start_campaign(at + Span::ms(5000)).has_value());
  CHECK_FALSE(election.next_campaign_at().has_value());
  election.on_campaign_lost(at);
  CHECK_FALSE(election.start_campaign(at).has_value());
  at = at + Span::ms(300);
  CHECK_TRUE(election.start_campaign(at).has_value());
}

// It never campaigns for a term in which it has voted or that had a leader.
TEST(LeaderElectionAlone, CampaignsForANewTerm) {
  CHECK_TRUE(election.grant_vote(7, now));
  TimePoint at = now;
  CHECK_EQUAL(8, static_cast<int>(campaign(at)));
}

TEST_GROUP(LeaderElectionRestarted) { TimePoint now = TimePoint::at_ms(1e6); };

// A voter that restarts does not know its former vote, so two controllers may win one term. Their fencing
// tokens differ, receivers follow the higher one, and each leader steps down when it learns of the other.
TEST(LeaderElectionRestarted, TwoLeadersOfOneTermHaveDifferentTokens) {
  LeaderElection one("list", 1), two("list", 2);
  one.on_elected(5, now);
  two.on_elected(5, now);
  CHECK_TRUE(one.is_leader() && two.is_leader());
  CHECK_TRUE(make_fencing_token(5, 0x12345) != make_fencing_token(5, 0x12346));
  CHECK_TRUE(make_fencing_token(5, 0xfffff) < make_fencing_token(6, 0));
  CHECK_EQUAL(5, static_cast<int>(term_of(make_fencing_token(5, ~0ULL))));
  one.on_heartbeat("b", 5, now);
  two.on_heartbeat("a", 5, now);
  CHECK_TRUE(!one.is_leader() && !two.is_leader());
  // The next campaign is for a later term.
  std::optional<Term> term;
  for (int i = 0; i < 200 && !term; ++i, now = now + Span::ms(10)) term = one.start_campaign(now);
  CHECK_EQUAL(6, static_cast<int>(term.value_or(0)));
}
