// Tests of QuorumContact. It must never confirm the known value for a time before which a newer value was
// chosen, even if messages are delayed, lost or overtaken, processes restart or disks are replaced.
#include "control/quorum_contact.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::Acceptor;
using chutevane::common::RegisterValue;
using chutevane::control::AcceptorReport;
using chutevane::control::QuorumContact;
using chutevane::simulated::RandomSource;

namespace {

constexpr std::int64_t incarnation = 77;

RegisterValue set_of(int count) {
  RegisterValue out;
  out.epoch = 2;
  for (int i = 0; i < count; ++i) out.acceptors.push_back({numbered("a", i), numbered("d", i)});
  return out;
}

AcceptorReport report(int n, std::int64_t accepted, std::int64_t epoch = 2) {
  return {{numbered("a", n), numbered("d", n), false}, epoch, accepted};
}

TimePoint at(double ms) { return TimePoint::at_ms(ms); }

}  // namespace

TEST_GROUP(quorum_contact) {
  const RegisterValue acceptors = set_of(3);
  QuorumContact contact{incarnation};
};

TEST(quorum_contact, nothing_is_confirmed_without_echoes) {
  CHECK(!contact.confirmed_until(acceptors, report(0, 5), 5, at(1000)));
  CHECK(!contact.last_contact(acceptors, report(0, 5), at(1000)));
}

TEST(quorum_contact, uses_the_echoed_stamp_and_not_the_time_of_arrival) {
  contact.on_report(report(1, 5), incarnation, at(400));
  CHECK(*contact.confirmed_until(acceptors, report(0, 5), 5, at(20400)) == at(400));
  CHECK(*contact.last_contact(acceptors, report(0, 5), at(20400)) == at(400));
}

TEST(quorum_contact, messages_without_an_echo_prove_nothing) {
  contact.on_report(report(1, 5), 0, TimePoint());
  contact.on_report(report(2, 5), 0, TimePoint());
  CHECK(!contact.confirmed_until(acceptors, report(0, 5), 5, at(1000)));
}

TEST(quorum_contact, echo_of_an_earlier_incarnation_proves_nothing) {
  contact.on_report(report(1, 5), incarnation + 1, at(900));
  CHECK(!contact.last_contact(acceptors, report(0, 5), at(1000)));
}

TEST(quorum_contact, an_acceptor_that_has_accepted_more_does_not_agree) {
  contact.on_report(report(1, 6), incarnation, at(900));
  CHECK(!contact.confirmed_until(acceptors, report(0, 5), 5, at(1000)));
  CHECK(*contact.last_contact(acceptors, report(0, 5), at(1000)) == at(900));
  CHECK(*contact.confirmed_until(acceptors, report(0, 6), 6, at(1000)) == at(900));
}

TEST(quorum_contact, an_acceptor_in_another_epoch_does_not_agree) {
  contact.on_report(report(1, 5, 3), incarnation, at(900));
  CHECK(!contact.confirmed_until(acceptors, report(0, 5), 5, at(1000)));
}

TEST(quorum_contact, a_replaced_disk_is_not_an_acceptor) {
  AcceptorReport wiped = report(1, 0);
  wiped.acceptor.disk = "new";
  contact.on_report(wiped, incarnation, at(900));
  CHECK(!contact.confirmed_until(acceptors, report(0, 5), 5, at(1000)));
  AcceptorReport own = report(0, 0);
  own.acceptor.disk = "new";
  contact.on_report(report(1, 5), incarnation, at(900));
  CHECK(!contact.confirmed_until(acceptors, own, 5, at(1000)));
}

TEST(quorum_contact, the_first_set_consists_of_disks_that_were_new_at_the_first_start) {
  RegisterValue first = acceptors;
  first.epoch = 1;
  for (Acceptor& a : first.acceptors) a.disk.clear();
  AcceptorReport own = report(0, 5), old = report(1, 5), later = report(1, 5);
  own.acceptor.has_initial_disk = old.acceptor.has_initial_disk = true;
  contact.on_report(later, incarnation, at(900));
  CHECK(!contact.confirmed_until(first, own, 5, at(1000)));
  contact.on_report(old, incarnation, at(950));
  CHECK(*contact.confirmed_until(first, own, 5, at(1000)) == at(950));
}

TEST(quorum_contact, an_overtaken_message_changes_nothing) {
  contact.on_report(report(1, 7), incarnation, at(900));
  contact.on_report(report(1, 5), incarnation, at(300));
  CHECK(!contact.confirmed_until(acceptors, report(0, 5), 5, at(1000)));
}

TEST(quorum_contact, a_quorum_of_five_uses_the_third_newest_stamp) {
  const RegisterValue five = set_of(5);
  contact.on_report(report(1, 5), incarnation, at(900));
  CHECK(!contact.confirmed_until(five, report(0, 5), 5, at(1000)));
  contact.on_report(report(2, 5), incarnation, at(700));
  contact.on_report(report(3, 5), incarnation, at(800));
  CHECK(*contact.confirmed_until(five, report(0, 5), 5, at(1000)) == at(800));
}

// A model of the register in which values are only numbers: a change is chosen once a majority has accepted
// it. The observer receives messages late, in order on each link or lost with their connection, is cut off in
// one or both directions, and learns values late. Every confirmed time is checked against the chosen values.
TEST(quorum_contact, never_confirms_a_value_that_was_replaced) {
  constexpr int runs = 3000, steps = 400;
  std::size_t claims = 0;
  for (int run = 0; run < runs; ++run) {
    RandomSource random(static_cast<std::uint64_t>(run) + 1);
    const int count = random.chance(0.5) ? 3 : 5;
    const RegisterValue set = set_of(count);
    QuorumContact checker(incarnation);
    struct Message {
      TimePoint arrives;
      TimePoint stamp;
      std::int64_t accepted;
    };
    struct Link {
      std::deque<Message> out, in;
      TimePoint newest_stamp;
      bool blocked_out = false, blocked_in = false;
    };
    std::vector<std::int64_t> accepted(static_cast<std::size_t>(count), 1);
    std::vector<Link> links(static_cast<std::size_t>(count));
    std::vector<std::pair<TimePoint, std::int64_t>> chosen{{TimePoint(), 1}};
    std::int64_t known = 1, newest = 1;
    TimePoint now = at(1000);
    for (int step = 0; step < steps; ++step) {
      now = now + Span::ms(1 + 30 * random.unit());
      const auto peer = 1 + random.below(static_cast<std::size_t>(count) - 1);
      Link& link = links[peer];
      switch (random.below(8)) {
        case 0:  // another acceptor accepts the proposed value, or a new one is proposed
          if (newest > chosen.back().second) {
            accepted[random.below(static_cast<std::size_t>(count))] = newest;
            const auto have = std::count(accepted.begin(), accepted.end(), newest);
            if (have > count / 2) chosen.emplace_back(now, newest);
          } else {
            ++newest;
          }
          break;
        case 1: link.out.push_back({now + Span::ms(200 * random.unit()), now, 0}); break;
        case 2:
          link.in.push_back({now + Span::ms(200 * random.unit()), link.newest_stamp, accepted[peer]});
          break;
        case 3: (random.chance(0.5) ? link.blocked_out : link.blocked_in) = random.chance(0.4); break;
        case 4:
          if (random.chance(0.2))
            (random.chance(0.5) ? link.out : link.in).clear();  // lost with the connection
          break;
        case 5:
          if (random.chance(0.3)) known = std::max(known, chosen.back().second);
          break;
        default: break;
      }
      for (std::size_t p = 1; p < links.size(); ++p) {
        Link& each = links[p];
        while (!each.blocked_out && !each.out.empty() && each.out.front().arrives <= now) {
          each.newest_stamp = each.out.front().stamp;
          each.out.pop_front();
        }
        while (!each.blocked_in && !each.in.empty() && each.in.front().arrives <= now) {
          const Message got = each.in.front();
          each.in.pop_front();
          if (got.stamp > TimePoint())
            checker.on_report(report(static_cast<int>(p), got.accepted), incarnation, got.stamp);
        }
      }
      const auto since = checker.confirmed_until(set, report(0, accepted[0]), known, now);
      if (!since) continue;
      ++claims;
      for (const auto& [when, number] : chosen)
        CHECK_WHERE(when >= *since || number <= known,
                    "run " + std::to_string(run) + ", step " + std::to_string(step));
    }
  }
  CHECK(claims > 100000);  // guards against a test that confirms nothing
}

TEST(quorum_contact, members_in_contact_are_those_of_the_set_with_a_new_echo) {
  AcceptorReport wiped = report(2, 0);
  wiped.acceptor.disk = "new";
  contact.on_report(report(1, 5), incarnation, at(900));
  contact.on_report(wiped, incarnation, at(950));
  contact.on_report(report(7, 5), incarnation, at(950));  // not a member
  const auto in_contact = contact.members_in_contact(acceptors, report(0, 5), at(900));
  CHECK(in_contact == (std::set<std::string>{"a0", "a1"}));
  CHECK(contact.members_in_contact(acceptors, report(0, 5), at(901)) == std::set<std::string>{"a0"});
  CHECK(contact.members_in_contact(acceptors, wiped, at(901)).empty());
}
