// A duty among control sidecars, in played time: won by a majority, once in each term, and filled again when
// it falls vacant.
#include "control/duty.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::control::Duty;
using chutevane::control::duty_term;
using chutevane::control::duty_vacant_after;
using chutevane::control::told_term;
using chutevane::simulated::Clockwork;
using chutevane::simulated::RandomSource;

namespace {

constexpr Span tick = Span::ms(250);

// Control sidecars that tell each other four times a second who has the duty, over ways that lose and delay.
struct Council {
  struct Node {
    std::string name;
    std::unique_ptr<Duty> duty;
    bool up = true;
    std::set<std::size_t> cut;  // those that it does not reach
  };
  Council(std::size_t n, std::uint64_t seed, double lost_part) : luck(seed), lost(lost_part), nodes(n) {
    for (std::size_t i = 0; i < n; ++i) {
      nodes[i].name = numbered("k", i);
      nodes[i].duty = std::make_unique<Duty>("list", seed * 31 + i);
      clock.later.after(tick * luck.unit(), [this, i] { work(i); });
    }
  }
  bool reaches(std::size_t a, std::size_t b) {
    return nodes[a].up && nodes[b].up && !nodes[a].cut.contains(b) && !nodes[b].cut.contains(a);
  }
  std::size_t majority() const { return nodes.size() / 2 + 1; }
  Span way() { return Span::ms(1 + 30 * luck.unit()); }

  void tell(std::size_t from) {
    const Duty& d = *nodes[from].duty;
    for (std::size_t to = 0; to < nodes.size(); ++to) {
      if (to == from || luck.chance(lost)) continue;
      clock.later.after(way(), [this, from, to, mine = d.mine(), term = d.term()] {
        if (reaches(from, to))
          nodes[to].duty->heard(nodes[from].name, mine, mine ? term : 0, clock.system.now());
      });
    }
  }
  void work(std::size_t i) {
    clock.later.after(tick, [this, i] { work(i); });
    if (!nodes[i].up) return;
    tell(i);
    std::size_t heard = 1;
    for (std::size_t j = 0; j < nodes.size(); ++j) heard += j != i && reaches(i, j) ? 1 : 0;
    Duty& duty = *nodes[i].duty;
    if (duty.mine() && heard < majority()) duty.give_up(clock.system.now());
    std::int64_t term = 0;
    if (duty.stand(clock.system.now(), term)) ballot(i, term);
  }
  void ballot(std::size_t i, std::int64_t term) {
    struct Count {
      std::size_t yes = 0, answered = 0;
      bool over = false;
    };
    auto count = std::make_shared<Count>();
    const auto hear = [this, i, term, count](bool yes) {
      ++count->answered;
      count->yes += yes ? 1 : 0;
      if (count->over) return;
      if (count->yes >= majority()) {
        count->over = true;
        nodes[i].duty->won(term, clock.system.now());
        if (nodes[i].duty->mine() && nodes[i].duty->term() == term) winners[term].insert(nodes[i].name);
        tell(i);
      } else if (count->answered == nodes.size()) {
        count->over = true;
        nodes[i].duty->lost(clock.system.now());
      }
    };
    for (std::size_t j = 0; j < nodes.size(); ++j) {
      if (luck.chance(lost)) {
        clock.later.after(Span::ms(300), [hear] { hear(false); });
        continue;
      }
      clock.later.after(way(), [this, i, j, term, hear] {
        const bool there = i == j || reaches(i, j);
        const bool yes = there && nodes[j].duty->vote(term, clock.system.now());
        if (yes) {
          const auto [at, fresh] = votes.emplace(std::pair(j, term), i);
          if (!fresh) broken = nodes[j].name + numbered(" voted twice in term ", term);
        }
        clock.later.after(there ? way() : Span::ms(300), [hear, yes] { hear(yes); });
      });
    }
  }
  std::size_t holders() const {
    std::size_t n = 0;
    for (const Node& node : nodes) n += node.up && node.duty->mine() ? 1 : 0;
    return n;
  }

  Clockwork clock;
  RandomSource luck;
  const double lost;
  std::vector<Node> nodes;
  std::map<std::int64_t, std::set<std::string>> winners;
  std::map<std::pair<std::size_t, std::int64_t>, std::size_t> votes;
  std::string broken;
};

void check_terms(const Council& c, const std::string& where) {
  CHECK_WHERE(c.broken.empty(), where + ": " + c.broken);
  for (const auto& [term, names] : c.winners)
    CHECK_WHERE(names.size() == 1, where + numbered(": term ", term) + " was won by several");
}

}  // namespace

TEST_GROUP(DutyCouncil){};

TEST(DutyCouncil, OneHasItSoonAndKeepsIt) {
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    Council c(3 + 2 * (seed % 2), seed, 0);
    const std::string where = numbered("seed ", seed);
    c.clock.play(Span::ms(4000));
    CHECK_WHERE(c.holders() == 1, where);
    const std::size_t terms = c.winners.size();
    c.clock.play(Span::ms(20000));
    CHECK_WHERE(c.holders() == 1 && c.winners.size() == terms, where);
    check_terms(c, where);
  }
}

// Cuts, ends and lost words: never two winners of a term; once it is calm, one holder.
TEST(DutyCouncil, OneWinnerOfEachTermInTrouble) {
  std::size_t terms = 0;
  for (std::uint64_t seed = 0; seed < 120; ++seed) {
    Council c(3 + 2 * (seed % 2), seed, 0.1);
    for (int n = 0; n < 14; ++n) {
      c.clock.later.after(Span::ms(20000 * c.luck.unit()), [&c] {
        const std::size_t i = c.luck.below(c.nodes.size()), j = c.luck.below(c.nodes.size());
        if (c.luck.chance(0.5)) {
          c.nodes[i].up = false;  // frozen: it comes back as it was
          c.clock.later.after(Span::ms(3000 * c.luck.unit()), [&c, i] { c.nodes[i].up = true; });
        } else if (i != j) {
          c.nodes[i].cut.insert(j);
          c.clock.later.after(Span::ms(3000 * c.luck.unit()), [&c, i, j] { c.nodes[i].cut.erase(j); });
        }
      });
    }
    c.clock.play(Span::ms(24000));
    const std::string where = numbered("seed ", seed);
    check_terms(c, where);
    c.clock.play(Span::ms(10000), [&] { return c.holders() == 1; });
    CHECK_WHERE(c.holders() == 1, where);
    terms += c.winners.size();
  }
  CHECK_TRUE(terms > 300);
}

// A holder that is gone is followed by another within two seconds.
TEST(DutyCouncil, VacancyIsFilled) {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    Council c(3, seed, 0);
    c.clock.play(Span::ms(4000));
    const std::string where = numbered("seed ", seed);
    CHECK_WHERE(c.holders() == 1, where);
    for (Council::Node& n : c.nodes) n.up = n.up && !n.duty->mine();
    CHECK_WHERE(c.holders() == 0, where);
    CHECK_WHERE(c.clock.play(Span::ms(2500), [&] { return c.holders() == 1; }), where);
    check_terms(c, where);
  }
}

// Cut off from the majority it steps down, and the others have one of their own; no word of the former one
// unseats it later.
TEST(DutyCouncil, TheFormerOneDoesNotUnseatTheNext) {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    Council c(3, seed, 0);
    c.clock.play(Span::ms(4000));
    std::size_t holder = 0;
    while (!c.nodes[holder].duty->mine()) ++holder;
    for (std::size_t j = 0; j < 3; ++j) {
      if (j != holder) c.nodes[holder].cut.insert(j);
    }
    c.clock.play(Span::ms(4000));
    CHECK_FALSE(c.nodes[holder].duty->mine());
    CHECK_EQUAL(static_cast<std::size_t>(1), c.holders());
    const std::size_t terms = c.winners.size();
    c.nodes[holder].cut.clear();
    c.clock.play(Span::ms(5000));
    CHECK_EQUAL(static_cast<std::size_t>(1), c.holders());
    CHECK_EQUAL(terms, c.winners.size());
    check_terms(c, numbered("seed ", seed));
  }
}

TEST_GROUP(DutyAlone) {
  Duty duty{"list", 1};
  TimePoint now = TimePoint::at_ms(1e6);
};

TEST(DutyAlone, NoVoteTwiceInATerm) {
  CHECK_TRUE(duty.vote(3, now));
  CHECK_FALSE(duty.vote(3, now));
  CHECK_FALSE(duty.vote(2, now));
  CHECK_TRUE(duty.vote(4, now));
}

TEST(DutyAlone, NoVoteWhileTheHolderIsHeardOf) {
  duty.heard("k1", true, 5, now);
  CHECK_FALSE(duty.vote(6, now + duty_vacant_after));
  CHECK_TRUE(duty.vote(6, now + duty_vacant_after + Span::ms(1)));
}

TEST(DutyAlone, NoVoteForATermThatIsOver) {
  duty.heard("k1", true, 5, now);
  now = now + duty_vacant_after * 2;
  CHECK_FALSE(duty.vote(5, now));
  CHECK_FALSE(duty.vote(4, now));
}

TEST(DutyAlone, NoVoteWhileItHasItItself) {
  duty.won(3, now);
  CHECK_FALSE(duty.vote(9, now + Span::ms(60000)));
  duty.give_up(now);
  CHECK_FALSE(duty.mine());
  CHECK_TRUE(duty.vote(9, now + Span::ms(60000)));
}

TEST(DutyAlone, ItsHolderSaysThatItHasItNoMore) {
  duty.heard("k1", true, 5, now);
  duty.heard("k2", false, 0, now);  // not the holder's word
  CHECK_FALSE(duty.vote(6, now));
  duty.heard("k1", false, 0, now);
  CHECK_TRUE(duty.vote(6, now));
}

TEST(DutyAlone, StepsDownForALaterTermOnly) {
  duty.won(5, now);
  duty.heard("k1", true, 4, now);
  CHECK_TRUE(duty.mine());
  duty.heard("k1", true, 6, now);
  CHECK_FALSE(duty.mine());
  CHECK_EQUAL(6, static_cast<int>(duty.term()));
}

// A round that is won late, when a later term has begun, is no win.
TEST(DutyAlone, LateWinIsNone) {
  duty.heard("k1", true, 6, now);
  duty.won(5, now);
  CHECK_FALSE(duty.mine());
  duty.won(6, now);
  CHECK_FALSE(duty.mine());
}

TEST(DutyAlone, OneRoundAtATime) {
  std::int64_t term = 0;
  TimePoint at = now;
  while (!duty.stand(at, term)) at = at + Span::ms(10);
  CHECK_TRUE(at - now <= Span::ms(200));
  CHECK_EQUAL(1, static_cast<int>(term));
  CHECK_FALSE(duty.stand(at + Span::ms(5000), term));
  duty.lost(at);
  CHECK_FALSE(duty.stand(at, term));
  at = at + Span::ms(300);
  CHECK_TRUE(duty.stand(at, term));
}

// Never for a term that it has voted in, or that was held.
TEST(DutyAlone, StandsForANewTerm) {
  CHECK_TRUE(duty.vote(7, now));
  std::int64_t term = 0;
  TimePoint at = now;
  while (!duty.stand(at, term)) at = at + Span::ms(10);
  CHECK_EQUAL(8, static_cast<int>(term));
}

TEST_GROUP(DutyRestarted) { TimePoint now = TimePoint::at_ms(1e6); };

// A voter's process is killed and starts anew, and knows nothing of its vote: two may win one term. What they
// tell stays apart, the higher counts at all alike, and each steps down when it hears of the other.
TEST(DutyRestarted, TwoOfOneTermAreToldApart) {
  Duty one("list", 1), two("list", 2);
  one.won(5, now);
  two.won(5, now);
  CHECK_TRUE(one.mine() && two.mine());
  CHECK_TRUE(told_term(5, 0x12345) != told_term(5, 0x12346));
  CHECK_TRUE(told_term(5, 0xfffff) < told_term(6, 0));
  CHECK_EQUAL(5, static_cast<int>(duty_term(told_term(5, ~0ULL))));
  one.heard("b", true, 5, now);
  two.heard("a", true, 5, now);
  CHECK_TRUE(!one.mine() && !two.mine());
  // The next is won under a later term.
  std::int64_t term = 0;
  for (int i = 0; i < 200 && !one.stand(now, term); ++i) now = now + Span::ms(10);
  CHECK_EQUAL(6, static_cast<int>(term));
}
