// Acceptors in contact that do not vote are found, and no others.
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

  // `a2` gets one reply of that kind and all others vote, once each 250 ms; true once it is found.
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

TEST(VotingMonitoring, AStrangerInContactIsFoundAfterItsTime) {
  CHECK_FALSE(finds(AcceptorReply::stranger, non_voting_delay, all));
  CHECK_TRUE(finds(AcceptorReply::stranger, Span::ms(500), all));
  CHECK_TRUE(monitor.non_voting() == std::set<std::string>{"a2"});
}

TEST(VotingMonitoring, OneThatDoesNotAnswerIsFoundToo) {
  CHECK_TRUE(finds(AcceptorReply::none, non_voting_delay + Span::ms(500), all));
}

TEST(VotingMonitoring, OneThatVotesIsNotFound) {
  CHECK_FALSE(finds(AcceptorReply::member, non_voting_delay * 5, all));
}

// Nobody expects the vote of one that is out of contact; the time begins anew when it is back.
TEST(VotingMonitoring, OneOutOfContactIsNotFound) {
  CHECK_FALSE(finds(AcceptorReply::none, non_voting_delay * 2, {"a1", "a3"}));
  CHECK_FALSE(finds(AcceptorReply::stranger, non_voting_delay, all));
}

// One failure in quiet times: it is asked again, and its vote clears it.
TEST(VotingMonitoring, ASuspectIsNamedUntilItVotesOrIsGone) {
  CHECK_TRUE(monitor.suspects().empty());
  monitor.on_reply(epoch, "a2", AcceptorReply::none, now);
  monitor.on_reply(epoch, "a3", AcceptorReply::none, now);
  CHECK_FALSE(monitor.update(epoch, all, now));
  CHECK_EQUAL(static_cast<std::size_t>(2), monitor.suspects().size());
  monitor.on_reply(epoch, "a2", AcceptorReply::member, now);
  monitor.update(epoch, {"a1", "a2"}, now);
  CHECK_TRUE(monitor.suspects().empty());
}

TEST(VotingMonitoring, AVoteEndsIt) {
  CHECK_TRUE(finds(AcceptorReply::stranger, non_voting_delay * 2, all));
  monitor.on_reply(epoch, "a2", AcceptorReply::member, now);
  CHECK_TRUE(monitor.update(epoch, all, now));
  CHECK_TRUE(monitor.non_voting().empty());
  CHECK_FALSE(monitor.update(epoch, all, now));
}

// The set has changed: what was refused in the epoch before counts no more, nor does a late reply of it.
TEST(VotingMonitoring, ALaterEpochBeginsAnew) {
  CHECK_TRUE(finds(AcceptorReply::stranger, non_voting_delay * 2, all));
  CHECK_TRUE(monitor.update(epoch + 1, all, now));
  CHECK_TRUE(monitor.non_voting().empty());
  monitor.on_reply(epoch, "a2", AcceptorReply::stranger, now);
  now = now + non_voting_delay * 2;
  CHECK_FALSE(monitor.update(epoch + 1, all, now));
}
