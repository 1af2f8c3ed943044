/// The watch on the endpoint list: changes, failures, backoff.
#include "helpers.hpp"

namespace chutevane::sidecar {
namespace {

// Guards against a watch gone silent on an open connection: the wait it states, and 2 s, is how long that is
// taken for no news. With 20 s a release of endpoints went by unheard.
TEST(EndpointWatcher, TakesTheListAndGoesOnWatching) {
  SidecarBench b;
  Peer discovery, endpoint;
  ASSERT_TRUE(b.until([&] { return b.discovery.take(discovery); }));
  ASSERT_TRUE(b.hears(discovery, "GET /v1/endpoints HTTP/1.1"));
  Port moved;
  discovery.say(answer_text(list_text(moved.text(), "SERVING", 7)));
  ASSERT_TRUE(b.hears(discovery, "GET /v1/endpoints?after=7&wait_ms=4000 HTTP/1.1"));
  Peer caller = b.caller();
  caller.say(request_text("a", "plan"));
  EXPECT_TRUE(b.until([&] { return moved.take(endpoint); }));
}

// Guards rule 3 at the return of a discovery that is refused: a drain is told with it.
TEST(EndpointWatcher, ComesBackWithinTheGraceOfADrain) {
  SidecarBench b(R"("cold_share")", R"("drain_grace_ms":100,"cold_share")");
  b.discovery.close();
  EXPECT_TRUE(b.until([&] { return b.sidecar->counters().list_failures >= 20; }));
}

// Where the list is to be asked for, calls wait their turn and cost the fleet. Guards rule 3 against sidecars
// that give up what is answered a moment later, which counts as told, and that ask twice where once is
// enough.
TEST(EndpointWatcher, WaitsItsTurnAtAServiceAndAsksForNoMoreThanItLacks) {
  SidecarBench b("automatic", "subscribe");
  Peer discovery, again, whole, endpoint;
  ASSERT_TRUE(b.until([&] { return b.discovery.take(discovery); }));
  ASSERT_TRUE(b.hears(discovery, "GET /v1/endpoints?after=1&wait_ms=2000 HTTP/1.1"));
  discovery.say(answer_text("", "503 Busy"));
  ASSERT_TRUE(b.until([&] { return b.discovery.take(again); }));
  ASSERT_TRUE(b.hears(again, "GET /v1/endpoints?after=1&wait_ms=2000 HTTP/1.1"));
  again.say(answer_text(R"({"version":0,"full":false,"servers":[]})"));  // less than it was asked after
  ASSERT_TRUE(b.hears(again, "GET /v1/endpoints HTTP/1.1"));
  const TimePoint in_turn = b.scheduler.now() + Span::ms(700);
  ASSERT_TRUE(b.until([&] { return b.scheduler.now() > in_turn; }));
  ASSERT_FALSE(again.over());
  again.say(answer_text(list_text(b.endpoint.text(), "DRAINING", 0)));
  ASSERT_TRUE(b.hears(again, "after=0"));
  EXPECT_EQ(b.sidecar->counters().list_failures, 1U);
  EXPECT_EQ(b.sidecar->counters().list_updates, 2U);
}

// Guards rule 3 at the return of a discovery that is silent: it answers what is open then, and a try that
// ends is followed by the next before anything else is done.
TEST(EndpointWatcher, HasAnAskOpenThroughoutASilence) {
  SidecarBench b(R"("cold_share")", R"("drain_grace_ms":100,"cold_share")");
  Peer silent, next, endpoint;
  ASSERT_TRUE(b.until([&] { return b.discovery.take(silent); }));
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(b.hears(silent, "GET /v1/endpoints HTTP/1.1"));
    ASSERT_TRUE(b.until([&] { return silent.over(); }));
    ASSERT_TRUE(b.discovery.take(next)) << i;
    silent = std::move(next);
  }
  ASSERT_TRUE(b.hears(silent, "GET /v1/endpoints HTTP/1.1"));
  silent.say(answer_text(list_text(b.endpoint.text(), "DRAINING")));
  ASSERT_TRUE(b.until([&] { return b.sidecar->counters().list_updates == 1; }));
  Peer caller = b.caller();
  caller.say(request_text("a", "plan"));
  EXPECT_TRUE(b.hears(caller, "HTTP/1.1 503"));
  EXPECT_EQ(b.sidecar->counters().upstream_opened, 0U);
}

// Guards against what a drain takes back going to the same endpoint again, until its dispatches are used up.
TEST(EndpointWatcher, WhatADrainTakesBackGoesElsewhere) {
  SidecarBench b;
  Port blocked(0);
  const Peer fill = Peer::to(blocked.at), fill_more = Peer::to(blocked.at);
  Peer discovery, endpoint;
  ASSERT_TRUE(b.until([&] { return b.discovery.take(discovery); }));
  ASSERT_TRUE(b.hears(discovery, "HTTP/1.1"));
  discovery.say(answer_text(list_text(blocked.text())));
  ASSERT_TRUE(b.hears(discovery, "after="));
  Peer caller = b.caller();
  caller.say(request_text("a", "sale"));
  ASSERT_TRUE(b.until([&] { return b.sidecar->counters().upstream_opened == 1; }));
  discovery.say(answer_text(R"({"version":2,"full":false,"servers":[{"id":"s-1","addr":")" + blocked.text() +
                            R"(","zone":"a","state":"DRAINING"},{"id":"s-2","addr":")" + b.endpoint.text() +
                            R"(","zone":"a","state":"SERVING"}]})"));
  ASSERT_TRUE(b.until([&] { return b.endpoint.take(endpoint); }));
  ASSERT_TRUE(b.hears(endpoint, "X-Request-ID: a"));
  endpoint.say(answer_text("done"));
  EXPECT_TRUE(b.hears(caller, "done"));
}

// Guards rule 2: what a draining endpoint finishes is done. Told as never sent, a single-use call ran twice.
TEST(EndpointWatcher, WhatADrainingEndpointFinishesIsDone) {
  SidecarBench b;
  Peer discovery, endpoint;
  Peer caller = b.call(request_text("a", "sale"), endpoint);
  ASSERT_TRUE(b.until([&] { return b.discovery.take(discovery); }));
  discovery.say(answer_text(list_text(b.endpoint.text(), "DRAINING")));
  ASSERT_TRUE(b.hears(discovery, "after="));
  endpoint.say(answer_text("finished"));
  EXPECT_TRUE(b.hears(caller, "finished"));
  EXPECT_EQ(b.sidecar->counters().outcomes[static_cast<std::size_t>(Outcome::done)], 1U);
  EXPECT_TRUE(b.until([&] { return endpoint.over(); }));
}

// Where only draining binds, the endpoint serves on though the list calls it gone, until it refuses.
TEST(EndpointWatcher, AnEndpointThatAnswersOutlastsAListThatLacksIt) {
  SidecarBench b(R"("fall_ms":1500)", R"("fall_ms":1500,"drain_binds_alone":true)");
  Peer discovery, endpoint;
  Peer caller = b.call(request_text("a", "plan"), endpoint);
  endpoint.say(answer_text("one"));
  ASSERT_TRUE(b.hears(caller, "one"));
  ASSERT_TRUE(b.until([&] { return b.discovery.take(discovery); }));
  discovery.say(answer_text(R"({"version":2,"full":true,"servers":[]})"));
  ASSERT_TRUE(b.hears(discovery, "after=2"));
  caller.say(request_text("b", "plan"));
  ASSERT_TRUE(b.hears(endpoint, "X-Request-ID: b"));
  endpoint.say(answer_text("two"));
  ASSERT_TRUE(b.hears(caller, "two"));
  endpoint.leave();
  b.endpoint.close();
  for (const char* id : {"c", "d"}) {
    caller.heard.clear();
    caller.say(request_text(id, "plan"));
    ASSERT_TRUE(b.hears(caller, "HTTP/1.1"));
  }
  EXPECT_TRUE(caller.has("HTTP/1.1 429") || caller.has("HTTP/1.1 503"));
}

// Guards against news that come late because the answer before stands still; the list stays meanwhile.
TEST(EndpointWatcher, AnAnswerThatStallsIsAskedForAgainAtOnce) {
  SidecarBench b;
  Peer stalls, again, endpoint;
  ASSERT_TRUE(b.until([&] { return b.discovery.take(stalls); }));
  ASSERT_TRUE(b.hears(stalls, "GET /v1/endpoints HTTP/1.1"));
  const TimePoint from = b.scheduler.now();
  stalls.say("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"version\":9,\"full\":true,\"servers\":[");
  EXPECT_TRUE(b.until([&] { return b.discovery.take(again); }));
  EXPECT_LT(b.scheduler.now() - from, Span::ms(600));
  EXPECT_TRUE(b.hears(again, "GET /v1/endpoints HTTP/1.1"));
  b.call(request_text("a", "plan"), endpoint);
}

// Guards rule 3 against a discovery that was brought back from a copy: what drained, or is gone, stays so.
TEST(EndpointWatcher, AnOlderListTakesNoDrainBack) {
  SidecarBench b;
  const auto list = [&](int version, const std::string& first, const std::string& second) {
    const auto item = [&](const char* id, const std::string& state) {
      return std::string(R"({"id":")") + id + R"(","addr":")" + b.endpoint.text() + R"(","state":")" + state +
             "\"}";
    };
    return answer_text(R"({"version":)" + std::to_string(version) + R"(,"full":true,"servers":[)" +
                       item("s-1", first) + "," + item("s-2", second) + "," + item("s-3", "SERVING") + "]}");
  };
  const auto say = [&](const std::string& answer) {
    Peer discovery;
    ASSERT_TRUE(b.until([&] { return b.discovery.take(discovery); }));
    ASSERT_TRUE(b.hears(discovery, "GET /v1/endpoints HTTP/1.1"));
    const std::uint64_t before = b.sidecar->counters().list_updates;
    discovery.say(answer);
    ASSERT_TRUE(b.until([&] { return b.sidecar->counters().list_updates > before; }));
  };
  const auto listed = [&] {
    std::string out;
    for (const discovery::EndpointEntry& e : b.sidecar->learned_state().endpoint_list.entries)
      out += e.id + (e.availability == Availability::ready ? "+ " : "- ");
    return out;
  };
  say(list(5, "SERVING", "SERVING"));
  EXPECT_EQ(listed(), "s-1+ s-2+ s-3+ ");
  say(list(7, "DRAINING", "DELETED"));
  EXPECT_EQ(listed(), "s-1- s-3+ ");
  say(list(6, "SERVING", "SERVING"));
  EXPECT_EQ(listed(), "s-1- s-3+ ");
  say(list(8, "SERVING", "SERVING"));  // newer than all: it is believed
  EXPECT_EQ(listed(), "s-1+ s-2+ s-3+ ");
}

// Guards discovery against a fleet that comes again at once: what it says of when is obeyed.
TEST(EndpointWatcher, ComesBackNoSoonerThanARefusalSays) {
  SidecarBench b;
  Peer refused, early, later;
  ASSERT_TRUE(b.until([&] { return b.discovery.take(refused); }));
  ASSERT_TRUE(b.hears(refused, "GET /v1/endpoints HTTP/1.1"));
  const TimePoint from = b.scheduler.now();
  refused.say("HTTP/1.1 503 Busy\r\nRetry-After: 0.4\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(b.until([&] { return b.discovery.take(later); }));
  EXPECT_GE(b.scheduler.now() - from, Span::ms(395));
  EXPECT_LE(b.scheduler.now() - from, Span::ms(1200));
}

// Sidecars that start together do not ask together: each draws its moment by its own seed.
TEST(EndpointWatcher, AFirstQuestionMayBeDrawnOverATime) {
  SidecarBench b("\"seed\"", "\"restart\":{\"ask_over_ms\":600},\"seed\"");
  const TimePoint from = b.scheduler.now();
  Peer asks;
  ASSERT_TRUE(b.until([&] { return b.discovery.take(asks); }));
  EXPECT_GE(b.scheduler.now() - from, Span::ms(10));
  EXPECT_LE(b.scheduler.now() - from, Span::ms(800));
}

// Guards the list: nothing that discovery says wrongly, and no lost watch, empties it.
TEST(EndpointWatcher, KeepsTheListThroughBadAnswers) {
  SidecarBench b;
  const std::string gone = R"({"version":9,"full":true,"servers":[{"id":"s-1","state":"LOST"}]})";
  for (const std::string& bad :
       {answer_text("{"), answer_text(gone), answer_text("", "500 Oops"), std::string("?\r\n\r\n")}) {
    Peer discovery;
    ASSERT_TRUE(b.until([&] { return b.discovery.take(discovery); }));
    ASSERT_TRUE(b.hears(discovery, "GET /v1/endpoints HTTP/1.1"));
    discovery.say(bad);
    EXPECT_TRUE(b.until([&] { return discovery.over(); }));
  }
  Peer endpoint;
  b.call(request_text("a", "plan"), endpoint);
  EXPECT_TRUE(endpoint.there());
}

}  // namespace
}  // namespace chutevane::sidecar
