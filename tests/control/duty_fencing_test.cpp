// The list of endpoints under a duty whose terms are kept in memory alone, in played time: control machines
// are started anew, frozen and cut off, so two may hold the duty at once, also in one term. Whoever follows
// the list never goes back, and once all is well again follows what is read now.
#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/endpoint_table.hpp"
#include "control/duty.hpp"
#include "simulated_system.hpp"
#include "unit.hpp"

namespace common = chutevane::common;
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
constexpr Span reading_every = Span::ms(600);
constexpr Span hello_every = Span::ms(300);

// What the platform's list says, as of a time: one endpoint whose capacity is the time.
std::vector<common::EndpointEntry> platform_list(TimePoint now) {
  common::EndpointEntry one;
  one.id = "e";
  one.capacity = static_cast<std::int64_t>(now.as_ms());
  return {one};
}
std::int64_t read_at(const common::EndpointTable& book) {
  return book.entries().empty() ? 0 : book.entries().begin()->second.capacity;
}

class Followed {
 public:
  Followed(std::uint64_t seed, std::size_t controllers, double lost) : random_(seed), lost_(lost) {
    nodes_.resize(controllers);
    for (std::size_t i = 0; i < controllers; ++i) {
      start(i);
      clock_.later.after(tick * random_.unit(), [this, i] { work(i); });
      clock_.later.after(reading_every * random_.unit(), [this, i] { read(i); });
    }
    followers_.resize(4);
    for (std::size_t i = 0; i < followers_.size(); ++i) {
      followers_[i].sessions = {random_.below(controllers)};
      if (i == 0) followers_[i].sessions.push_back(random_.below(controllers));
      clock_.later.after(hello_every * random_.unit(), [this, i] { hello(i); });
    }
  }

  std::string run(Span troubled, Span calm) {
    for (int n = 0; n < 16; ++n) clock_.later.after(troubled * random_.unit(), [this] { trouble(); });
    clock_.play(troubled);
    for (Node& n : nodes_) {
      n.frozen = false;
      n.cut.clear();
    }
    clock_.play(calm);
    if (!broken_.empty()) return broken_;
    for (const Follower& f : followers_) {
      const double age = clock_.system.now().as_ms() - static_cast<double>(read_at(f.book));
      if (age > 2000) return numbered("a follower's list is old: ms ", static_cast<long long>(age));
    }
    return "";
  }
  std::size_t terms_of_two() const {
    std::map<std::int64_t, std::set<std::uint64_t>> holders;
    for (const auto& [told, at] : contents_) holders[duty_term(told.first)].insert(told.first & 0xffffffff);
    return static_cast<std::size_t>(
        std::count_if(holders.begin(), holders.end(), [](const auto& one) { return one.second.size() > 1; }));
  }

 private:
  struct Node {
    std::unique_ptr<Duty> duty;
    common::EndpointTable book;
    std::uint64_t holder = 0, life = 0;
    std::int64_t followed = 0;  // the latest list that a follower has told of
    bool frozen = false;
    std::set<std::size_t> cut;  // those that it does not reach
  };
  struct Follower {
    common::EndpointTable book;
    std::vector<std::size_t> sessions;
  };

  void start(std::size_t i) {
    Node& n = nodes_[i];
    n.duty = std::make_unique<Duty>("list", random_.next());
    n.book = {};
    n.followed = 0;
    n.holder = random_.next();
    ++n.life;
  }
  bool reaches(std::size_t a, std::size_t b) {
    return !nodes_[a].frozen && !nodes_[b].frozen && !nodes_[a].cut.contains(b) && !nodes_[b].cut.contains(a);
  }
  std::size_t majority() const { return nodes_.size() / 2 + 1; }
  Span way() { return Span::ms(1 + 30 * random_.unit()); }
  TimePoint now() { return clock_.system.now(); }

  // As the control plane's gossip and its list do it.
  void work(std::size_t i) {
    clock_.later.after(tick, [this, i] { work(i); });
    Node& n = nodes_[i];
    if (n.frozen) return;
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to != i && !random_.chance(lost_)) gossip(i, to);
    }
    std::size_t heard = 0;
    for (std::size_t j = 0; j < nodes_.size(); ++j) heard += j == i || reaches(i, j) ? 1 : 0;
    if (n.duty->mine() && heard < majority()) n.duty->give_up(now());
    std::int64_t term = 0;
    if (n.duty->stand(now(), term)) ballot(i, term);
  }
  void gossip(std::size_t from, std::size_t to) {
    const Node& n = nodes_[from];
    const bool mine = n.duty->mine();
    const std::int64_t term = mine ? n.duty->term() : 0;
    const bool behind = n.followed > n.book.term();
    const std::int64_t list = behind ? n.followed : n.book.term(), number = behind ? 0 : n.book.number();
    clock_.later.after(way(), [=, this] {
      if (!reaches(from, to)) return;
      Node& at = nodes_[to];
      at.duty->heard(numbered("k", static_cast<long long>(from)), mine, term, now());
      if (at.duty->mine()) at.duty->learn_told(list, at.holder);
      if (at.duty->mine()) tell(to, from, list, number);
    });
  }
  void tell(std::size_t from, std::size_t to, std::int64_t term, std::int64_t number) {
    for (const common::EndpointList& change : nodes_[from].book.changes_since(term, number)) {
      clock_.later.after(way(), [=, this] {
        if (!reaches(from, to)) return;
        Node& at = nodes_[to];
        if (at.duty->mine()) at.duty->learn_told(change.term, at.holder);
        at.book.apply(change);
        saw(at.book);
      });
    }
  }
  void read(std::size_t i) {
    clock_.later.after(reading_every, [this, i] { read(i); });
    Node& n = nodes_[i];
    if (n.frozen || !n.duty->mine()) return;
    const std::int64_t term = n.book.term(), number = n.book.number();
    if (!n.book.update(told_term(n.duty->term(), n.holder), platform_list(now()))) return;
    saw(n.book);
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to != i && !random_.chance(lost_)) tell(i, to, term, number);
    }
  }
  void ballot(std::size_t i, std::int64_t term) {
    struct Count {
      std::size_t yes = 0, answered = 0;
      bool over = false;
    };
    auto count = std::make_shared<Count>();
    const auto hear = [this, i, term, count, life = nodes_[i].life](bool yes) {
      ++count->answered;
      count->yes += yes ? 1 : 0;
      if (count->over || nodes_[i].life != life) return;
      if (count->yes >= majority()) {
        count->over = true;
        nodes_[i].duty->won(term, now());
      } else if (count->answered == nodes_.size()) {
        count->over = true;
        nodes_[i].duty->lost(now());
      }
    };
    for (std::size_t j = 0; j < nodes_.size(); ++j) {
      const bool arrives = !random_.chance(lost_);
      clock_.later.after(way(), [=, this] {
        const bool there = arrives && (i == j || reaches(i, j));
        const bool yes = there && nodes_[j].duty->vote(term, now());
        clock_.later.after(there ? way() : Span::ms(300), [hear, yes] { hear(yes); });
      });
    }
  }
  // A session's word, and what the control machine has for it.
  void hello(std::size_t which) {
    clock_.later.after(hello_every, [this, which] { hello(which); });
    Follower& f = followers_[which];
    for (const std::size_t i : f.sessions) {
      Node& n = nodes_[i];
      if (n.frozen || random_.chance(lost_)) continue;
      n.duty->learn_told(f.book.term(), n.holder);
      n.followed = std::max(n.followed, f.book.term());
      for (const common::EndpointList& change : n.book.changes_since(f.book.term(), f.book.number())) {
        const std::pair before{f.book.term(), f.book.number()};
        if (!f.book.apply(change)) continue;
        if (std::pair{f.book.term(), f.book.number()} <= before) broken_ = "a follower went back";
        saw(f.book);
      }
    }
  }
  // One content for each number of each holder.
  void saw(const common::EndpointTable& book) {
    if (book.empty()) return;
    const auto [at, fresh] = contents_.emplace(std::pair{book.term(), book.number()}, read_at(book));
    if (!fresh && at->second != read_at(book)) broken_ = "two lists of one number";
  }

  void trouble() {
    const std::size_t i = random_.below(nodes_.size()), j = random_.below(nodes_.size());
    const double kind = random_.unit();
    if (kind < 0.5) return start(i);  // killed and there again
    if (kind < 0.7) {
      nodes_[i].frozen = true;
      clock_.later.after(Span::ms(3000 * random_.unit()), [this, i] { nodes_[i].frozen = false; });
    } else if (i != j) {
      nodes_[i].cut.insert(j);
      clock_.later.after(Span::ms(4000 * random_.unit()), [this, i, j] { nodes_[i].cut.erase(j); });
    }
  }

  // The holder is started anew while the others do not reach each other, and once more when one of them has
  // won with its vote: another may win the same term with it. Some time later one of the two is gone.
  void split_a_term() {
    for (std::size_t v = 0; v < nodes_.size(); ++v) {
      if (!nodes_[v].duty->mine()) continue;
      for (std::size_t a = 0; a < nodes_.size(); ++a) {
        for (std::size_t b = 0; b < nodes_.size(); ++b) {
          if (a != v && b != v && a != b) nodes_[a].cut.insert(b);
        }
      }
      start(v);
      for (int n = 0; n < 60; ++n) clock_.later.after(Span::ms(40.0 * n), [this, v] { forget_vote(v); });
      const std::size_t gone = (v + 1 + random_.below(nodes_.size() - 1)) % nodes_.size();
      clock_.later.after(Span::ms(2600 + 1500 * random_.unit()), [this, gone] { start(gone); });
      return;
    }
  }
  void forget_vote(std::size_t v) {
    const auto holders =
        std::count_if(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.duty->mine(); });
    if (holders != 1 || nodes_[v].duty->mine()) return;
    start(v);
  }

  Clockwork clock_;
  RandomSource random_;
  const double lost_;
  std::vector<Node> nodes_;
  std::vector<Follower> followers_;
  std::map<std::pair<std::int64_t, std::int64_t>, std::int64_t> contents_;
  std::string broken_;
};

}  // namespace

TEST_GROUP(DutyFencing){};

TEST(DutyFencing, FollowersNeverGoBackAndAreNeverLeftBehind) {
  std::size_t terms_of_two = 0;
  for (std::uint64_t seed = 0; seed < 3000; ++seed) {
    Followed one(seed, seed % 4 == 0 ? 5 : 3, seed % 3 == 0 ? 0.1 : 0);
    const std::string fault = one.run(Span::ms(9000), Span::ms(5000));
    CHECK_WHERE(fault.empty(), numbered("seed ", static_cast<long long>(seed)) + ": " + fault);
    terms_of_two += one.terms_of_two();
  }
  CHECK_WHERE(terms_of_two > 10, numbered("terms of two holders: ", static_cast<long long>(terms_of_two)));
}

// Two won one term; the list of the one who is gone counts higher. The other steps down when it hears of it,
// and what it tells next counts higher still.
TEST(DutyFencing, OvertakenWithinItsTerm) {
  const TimePoint start = TimePoint::at_ms(1e6);
  constexpr std::uint64_t low = 0x1000, high = 0x2000;
  Duty duty("list", 1);
  duty.won(5, start);
  duty.learn_told(told_term(5, low), low);
  CHECK_TRUE(duty.mine());
  duty.learn_told(told_term(4, high), low);
  CHECK_TRUE(duty.mine());
  duty.learn_told(told_term(5, high), low);
  CHECK_FALSE(duty.mine());
  std::int64_t term = 0;
  TimePoint now = start;
  while (!duty.stand(now, term) && now - start < Span::ms(2000)) now = now + Span::ms(10);
  CHECK_EQUAL(6, static_cast<int>(term));
  CHECK_TRUE(told_term(6, low) > told_term(5, high));
}

// All who kept the term in mind were started anew: it is learnt from those who follow the list.
TEST(DutyFencing, TheTermIsLearntFromFollowers) {
  const TimePoint start = TimePoint::at_ms(1e6);
  Duty duty("list", 1);
  duty.heard("k1", true, 1, start);
  duty.learn_told(told_term(40, 7), 9);
  CHECK_TRUE(duty.vote(41, start));
  CHECK_FALSE(duty.vote(40, start));
}
