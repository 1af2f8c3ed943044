// Tests ProposerChoice: controllers that consider the same acceptors able to serve choose the same one.
#include "control/coordination/proposer_choice.hpp"

#include <set>
#include <string>
#include <vector>

#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::Acceptor;
using chutevane::control::coordination::ProposerChoice;

TEST_GROUP(CoordinationProposerChoice) {
  std::string choose(const std::string& own) const {
    return choice.choose(
        acceptors, own, [this](const std::string& address) { return able.contains(address); }, now);
  }
  ProposerChoice choice;
  std::vector<Acceptor> acceptors = {{"m2", "d2"}, {"m1", "d1"}, {"m3", "d3"}};
  std::set<std::string> able = {"m1", "m2", "m3"};
  TimePoint now = TimePoint::at_ms(1e6);
};

TEST(CoordinationProposerChoice, FirstAcceptorByAddress) {
  STRCMP_EQUAL("m1", choose("m3").c_str());
  STRCMP_EQUAL("m1", choose("m4").c_str());
}

TEST(CoordinationProposerChoice, AcceptorThatCannotServeIsSkipped) {
  able.erase("m1");
  STRCMP_EQUAL("m2", choose("m3").c_str());
}

TEST(CoordinationProposerChoice, OwnAddressIfNoAcceptorCanServeOrIsKnown) {
  able = {"m4"};
  STRCMP_EQUAL("m4", choose("m4").c_str());
  STRCMP_EQUAL("m5", choose("m5").c_str());
  acceptors.clear();
  STRCMP_EQUAL("m5", choose("m5").c_str());
}

TEST(CoordinationProposerChoice, SuspectedAcceptorIsSkippedForTwoSeconds) {
  choice.suspect("m1", now);
  STRCMP_EQUAL("m2", choose("m3").c_str());
  now = now + Span::ms(1999);
  STRCMP_EQUAL("m2", choose("m3").c_str());
  now = now + Span::ms(1);
  STRCMP_EQUAL("m1", choose("m3").c_str());
}

TEST(CoordinationProposerChoice, AcceptorThatFailsAgainIsSkippedForLonger) {
  choice.suspect("m1", now);
  now = now + Span::ms(1500);
  choice.suspect("m1", now);
  now = now + Span::ms(1500);
  STRCMP_EQUAL("m2", choose("m3").c_str());
}

TEST(CoordinationProposerChoice, AnswerEndsTheSuspicion) {
  choice.suspect("m1", now);
  choice.clear("m1");
  STRCMP_EQUAL("m1", choose("m3").c_str());
}

TEST(CoordinationProposerChoice, OwnAddressIfAllAreSuspected) {
  for (const char* const address : {"m1", "m2", "m3"}) choice.suspect(address, now);
  STRCMP_EQUAL("m3", choose("m3").c_str());
}
