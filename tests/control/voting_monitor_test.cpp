// Tests of VotingMonitor: it finds the acceptors that are in contact and do not vote, and no others.
#include "control/voting_monitor.hpp"

#include <set>
#include <string>

#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::control::AcceptorReply;
using chutevane::control::non_voting_delay;
using chutevane::control::VotingMonitor;

namespace {

constexpr std::int64_t epoch = 2;
const std::set<std::string> all{"a1", "a2", "a3"};

}  // namespace

TEST_GROUP(VotingMonitoring) {
  VotingMonitor monitor;
  TimePoint now = TimePoint::at_ms(1000);

  // Every 250 ms, `a1` votes and `a2` gives `reply`. Returns true if an acceptor was found not to vote.
  bool finds(AcceptorReply reply, Span span, const std::set<std::string>& in_contact) {
    bool found = false;
    for (const TimePoint end = now + span; now < end; now = now + Span::ms(250)) {
      monitor.on_reply(epoch, "a1", AcceptorReply::member, now);
      monitor.on_reply(epoch, "a2", reply, now);
      monitor.update(epoch, in_contact, now);
      found = found || !monitor.non_voting().empty();
    }
    return found;
  }
};

TEST(VotingMonitoring, NonMemberInContactIsFoundAfterTheDelay) {
  CHECK_FALSE(finds(AcceptorReply::non_member, non_voting_delay, all));
  CHECK_TRUE(finds(AcceptorReply::non_member, Span::ms(500), all));
  CHECK_TRUE(monitor.non_voting() == std::set<std::string>{"a2"});
}

TEST(VotingMonitoring, AcceptorWithoutRepliesIsFound) {
  CHECK_TRUE(finds(AcceptorReply::none, non_voting_delay + Span::ms(500), all));
}

TEST(VotingMonitoring, VotingAcceptorIsNotFound) {
  CHECK_FALSE(finds(AcceptorReply::member, non_voting_delay * 5, all));
}

// An acceptor that is out of contact is not expected to vote. The delay starts again when it is back in
// contact.
TEST(VotingMonitoring, AcceptorOutOfContactIsNotFound) {
  CHECK_FALSE(finds(AcceptorReply::none, non_voting_delay * 2, {"a1", "a3"}));
  CHECK_FALSE(finds(AcceptorReply::non_member, non_voting_delay, all));
}

// After a single failure the acceptor is probed again, and its vote clears the suspicion.
TEST(VotingMonitoring, SuspectIsListedUntilItVotesOrLosesContact) {
  CHECK_TRUE(monitor.suspects().empty());
  monitor.on_reply(epoch, "a2", AcceptorReply::none, now);
  monitor.on_reply(epoch, "a3", AcceptorReply::none, now);
  CHECK_FALSE(monitor.update(epoch, all, now));
  CHECK_EQUAL(static_cast<std::size_t>(2), monitor.suspects().size());
  monitor.on_reply(epoch, "a2", AcceptorReply::member, now);
  monitor.update(epoch, {"a1", "a2"}, now);
  CHECK_TRUE(monitor.suspects().empty());
}

TEST(VotingMonitoring, VoteClearsTheFinding) {
  CHECK_TRUE(finds(AcceptorReply::non_member, non_voting_delay * 2, all));
  monitor.on_reply(epoch, "a2", AcceptorReply::member, now);
  CHECK_TRUE(monitor.update(epoch, all, now));
  CHECK_TRUE(monitor.non_voting().empty());
  CHECK_FALSE(monitor.update(epoch, all, now));
}

// After a change of the set, refusals and late replies of the former epoch no longer count.
TEST(VotingMonitoring, LaterEpochDiscardsEarlierReplies) {
  CHECK_TRUE(finds(AcceptorReply::non_member, non_voting_delay * 2, all));
  CHECK_TRUE(monitor.update(epoch + 1, all, now));
  CHECK_TRUE(monitor.non_voting().empty());
  monitor.on_reply(epoch, "a2", AcceptorReply::non_member, now);
  now = now + non_voting_delay * 2;
  CHECK_FALSE(monitor.update(epoch + 1, all, now));
}
