/// Connections to endpoints: reuse, drains, what is taken back before it has begun.
#include "helpers.hpp"

namespace chutevane::sidecar {
namespace {

// Guards against writing to a connection that the endpoint has closed: that would end as a reset.
TEST(UpstreamPool, AConnectionClosedWhileIdleIsNotReused) {
  SidecarBench b;
  Peer endpoint, other;
  Peer caller = b.call(request_text("a", "sale"), endpoint);
  endpoint.say(answer_text("one"));
  ASSERT_TRUE(b.hears(caller, "one"));
  endpoint.leave();
  caller.say(request_text("b", "sale"));
  ASSERT_TRUE(b.until([&] { return b.endpoint.take(other); }));
  ASSERT_TRUE(b.hears(other, "X-Request-ID: b"));
  other.say(answer_text("two"));
  EXPECT_TRUE(b.hears(caller, "two"));
}

TEST(UpstreamPool, IdleConnectionsAreDroppedBeforeTheEndpointDoes) {
  SidecarBench b("\"idle_close_ms\":10000", "\"idle_close_ms\":30");
  Peer endpoint;
  Peer caller = b.call(request_text("a", "plan"), endpoint);
  endpoint.say(answer_text("one"));
  EXPECT_TRUE(b.until([&] { return endpoint.over(); }));
}

struct RecordingObserver final : DispatchObserver {
  void on_request_progress(const Dispatch&, bool) override {}
  bool on_response_started(const Dispatch&, const http::Parser&, const std::shared_ptr<BodyPipe>&) override {
    return true;
  }
  void on_response_broken(EndpointId) override {}
  void on_dispatch_end(const Dispatch&, Outcome outcome, const http::Parser*) override {
    outcomes.push_back(outcome);
  }
  std::vector<Outcome> outcomes;
};

// An endpoint whose connections never come up, and one dispatch to it.
struct UnansweredDispatch : Loop {
  explicit UnansweredDispatch(Span timeout, int backlog = 0) : port(backlog) {
    entry.id = "s-1", entry.address = port.text();
    if (backlog == 0)
      fill = Peer::to(port.at), fill_more = Peer::to(port.at);  // full: no connect is answered
    pool.set_observer(observer);
    id = pool.update(entry);
    std::string text = request_text("a", "sale");
    EXPECT_EQ(request.feed({text.data(), text.size()}), http::Progress::complete);
    connection = pool.send(
        {.call = 1, .endpoint = id, .number = 0, .sent = scheduler.now(), .timeout = timeout}, request);
  }
  Port port;
  Peer fill, fill_more;
  discovery::EndpointEntry entry;
  config::Config config = config::read(config_text(), no_environment);
  CallProtocol protocol{config.settings};
  Counters counters;
  RecordingObserver observer;
  UpstreamPool pool{scheduler, config, protocol, counters};
  http::Parser request{http::Side::request};
  EndpointId id = 0;
  UpstreamConnection* connection = nullptr;
};

TEST(UpstreamPool, AConnectionThatNeverComesUpNeverRan) {
  UnansweredDispatch u(Span::ms(20));
  EXPECT_TRUE(u.until([&] { return !u.observer.outcomes.empty(); }));
  EXPECT_EQ(u.observer.outcomes, std::vector{Outcome::not_connected});
}

// Guards the drain rule: a dispatch that waits for its connection must not reach a draining endpoint.
TEST(UpstreamPool, ADrainTakesBackWhatHasNotBegun) {
  for (const Availability a : {Availability::draining, Availability::gone}) {
    UnansweredDispatch u(Span::ms(4000));
    EXPECT_TRUE(u.observer.outcomes.empty());
    u.entry.availability = a;
    u.pool.update(u.entry);
    EXPECT_EQ(u.observer.outcomes, std::vector{Outcome::not_sent});
    u.pool.send({.call = 2, .endpoint = u.id, .number = 0, .sent = u.scheduler.now(), .timeout = Span::ms(9)},
                u.request);
    EXPECT_EQ(u.observer.outcomes.size(), 2U);
    EXPECT_EQ(u.counters.upstream_opened, 1U);
  }
}

// Guards a long day: nothing is kept of endpoints that are gone, and a name that returns is another endpoint.
TEST(UpstreamPool, NothingIsKeptOfThoseThatAreGone) {
  UnansweredDispatch u(Span::ms(4000));
  EXPECT_EQ(u.pool.size(), 1U);
  for (int i = 0; i < 100; ++i) {
    u.entry.id = "t-" + std::to_string(i);
    u.entry.availability = Availability::ready;
    const EndpointId id = u.pool.update(u.entry);
    EXPECT_EQ(u.pool.update(u.entry), id);
    u.entry.availability = Availability::gone;
    EXPECT_EQ(u.pool.update(u.entry), id);
    EXPECT_EQ(u.pool.update(u.entry), 0U);
  }
  EXPECT_EQ(u.pool.size(), 1U);
  u.pool.remove_unlisted({});
  EXPECT_EQ(u.pool.size(), 1U);  // until its connection is closed
  EXPECT_TRUE(u.until([&] { return u.pool.size() == 0; }));
  u.entry.id = "s-1", u.entry.availability = Availability::ready;
  EXPECT_NE(u.pool.update(u.entry), u.id);
}

// Guards rule 1: what came before the request's last byte was made for another request.
TEST(UpstreamPool, BytesBeforeTheRequestAreNoAnswer) {
  UnansweredDispatch u(Span::ms(4000), 128);
  Peer endpoint;
  ASSERT_TRUE(u.until([&] { return u.port.take(endpoint); }));
  endpoint.say(answer_text("noise"));  // before the sidecar's next turn, which writes the request
  EXPECT_TRUE(u.until([&] { return !u.observer.outcomes.empty(); }));
  EXPECT_EQ(u.observer.outcomes, std::vector{Outcome::not_sent});
  EXPECT_TRUE(u.until([&] { return endpoint.over(); }));
  EXPECT_EQ(endpoint.heard, "");
}

// Guards rule 1: what waits for its connection when the caller leaves is never written.
TEST(UpstreamPool, WhatHasNotBegunIsTakenBack) {
  UnansweredDispatch u(Span::ms(4000));
  u.pool.cancel_unsent(*u.connection);
  EXPECT_EQ(u.observer.outcomes, std::vector{Outcome::not_sent});
}

}  // namespace
}  // namespace chutevane::sidecar
