// Tests WatchHub: each watcher gets the right response, at the right time, exactly once.
#include "control/coordination/watch_hub.hpp"

#include <string>
#include <vector>

#include "simulated_system.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::common::HttpResponse;
using chutevane::simulated::Clockwork;
using namespace chutevane::control::coordination;

namespace {

void put(State& state, const std::string& key, const std::string& value) {
  KeyGroup& group = state.groups[*group_of(key)];
  ++group.revision;
  group.keys[key] = {value, group.revision};
  group.history.push_back({key, value, group.revision});
}

// The responses that one watcher has received.
struct Responses {
  std::vector<HttpResponse> all;
  chutevane::common::HttpServer::Reply reply() {
    return [this](HttpResponse response) { all.push_back(std::move(response)); };
  }
  void check_only(int status, const std::string& body) const {
    CHECK_EQUAL(1U, all.size());
    CHECK_EQUAL(status, all.front().status);
    STRCMP_EQUAL(body.c_str(), all.front().body.c_str());
  }
};

constexpr const char* second_put = R"({"events":[{"name":"g.a","value":"2","revision":2}],"revision":2})";

}  // namespace

TEST_GROUP(CoordinationWatchResponse){KeyGroup group_of_puts(int first, int last){KeyGroup out;
out.revision = last;
for (int i = first; i <= last; ++i) out.history.push_back({"g.a", numbered("v", i), i});
return out;
}
}
;

TEST(CoordinationWatchResponse, NoResponseWithoutALaterPut) {
  CHECK_FALSE(watch_response({}, 0).has_value());
  CHECK_FALSE(watch_response(group_of_puts(1, 3), 3).has_value());
  CHECK_FALSE(watch_response(group_of_puts(1, 3), 9).has_value());
}

TEST(CoordinationWatchResponse, AllLaterPuts) {
  const auto response = watch_response(group_of_puts(1, 3), 1);
  CHECK_EQUAL(200, response->status);
  STRCMP_EQUAL(
      R"({"events":[{"name":"g.a","value":"v2","revision":2},{"name":"g.a","value":"v3","revision":3}],"revision":3})",
      response->body.c_str());
}

TEST(CoordinationWatchResponse, GoneIfTheHistoryBeginsLater) {
  CHECK_EQUAL(200, watch_response(group_of_puts(5, 8), 4)->status);
  CHECK_EQUAL(410, watch_response(group_of_puts(5, 8), 3)->status);
  KeyGroup without_history;
  without_history.revision = 8;
  CHECK_EQUAL(410, watch_response(without_history, 7)->status);
}

// The watcher gets the rest with its next request, so the revision is that of the last put in the response.
TEST(CoordinationWatchResponse, AtMostAThousandPutsPerResponse) {
  const auto response = watch_response(group_of_puts(1, 1500), 100);
  CHECK_EQUAL(200, response->status);
  CHECK_TRUE(response->body.ends_with(R"({"name":"g.a","value":"v1100","revision":1100}],"revision":1100})"));
}

TEST_GROUP(CoordinationWatchHub) {
  Clockwork clock;
  WatchHub hub{clock.later};
  State state;
  Responses first, second, third;
  void watch(Responses & responses, std::int64_t after, const char* group = "g.") {
    hub.add({group, after, Span::ms(2000)}, state, responses.reply());
  }
};

TEST(CoordinationWatchHub, AnsweredImmediatelyIfThereIsAPut) {
  put(state, "g.a", "1");
  put(state, "g.a", "2");
  watch(first, 1);
  first.check_only(200, second_put);
  CHECK_EQUAL(0U, hub.size());
}

TEST(CoordinationWatchHub, AnsweredWithTheNextPutOfItsGroup) {
  put(state, "g.a", "1");
  watch(first, 1);
  put(state, "h.a", "x");
  hub.on_state(state);
  CHECK_EQUAL(0U, first.all.size());
  put(state, "g.a", "2");
  hub.on_state(state);
  first.check_only(200, second_put);
  CHECK_EQUAL(0U, hub.size());
  clock.play(Span::ms(3000));
  hub.on_state(state);
  CHECK_EQUAL(1U, first.all.size());
}

TEST(CoordinationWatchHub, AllWatchersAreAnsweredEachFromItsRevision) {
  put(state, "g.a", "1");
  watch(first, 1);
  watch(second, 1);
  watch(third, 2);
  put(state, "g.a", "2");
  hub.on_state(state);
  first.check_only(200, second_put);
  second.check_only(200, second_put);
  CHECK_EQUAL(0U, third.all.size());
  CHECK_EQUAL(1U, hub.size());
}

// This controller is behind, so the response is neither 410 nor an older revision.
TEST(CoordinationWatchHub, RevisionAboveTheKnownOneWaits) {
  put(state, "g.a", "1");
  watch(first, 5);
  hub.on_state(state);
  CHECK_EQUAL(0U, first.all.size());
  for (const char* const value : {"2", "3", "4", "5"}) put(state, "g.a", value);
  hub.on_state(state);
  CHECK_EQUAL(0U, first.all.size());
  put(state, "g.a", "6");
  hub.on_state(state);
  first.check_only(200, R"({"events":[{"name":"g.a","value":"6","revision":6}],"revision":6})");
}

TEST(CoordinationWatchHub, GoneIfTheHistoryBeginsLater) {
  state.groups["g."].revision = 9;
  watch(first, 3);
  CHECK_EQUAL(1U, first.all.size());
  CHECK_EQUAL(410, first.all.front().status);
}

// The history of the next state no longer has the first put that the watcher waits for.
TEST(CoordinationWatchHub, GoneIfItsPutsAreDroppedWhileItWaits) {
  put(state, "g.a", "1");
  watch(first, 1);
  state.groups["g."].revision = 9;
  state.groups["g."].history = {{"g.a", "9", 9}};
  hub.on_state(state);
  CHECK_EQUAL(1U, first.all.size());
  CHECK_EQUAL(410, first.all.front().status);
}

TEST(CoordinationWatchHub, NoEventsAfterTheWaitTime) {
  put(state, "g.a", "1");
  watch(first, 1);
  clock.play(Span::ms(1999));
  CHECK_EQUAL(0U, first.all.size());
  clock.play(Span::ms(2));
  first.check_only(200, R"({"events":[],"revision":1})");
  put(state, "g.a", "2");
  hub.on_state(state);
  CHECK_EQUAL(1U, first.all.size());
}

TEST(CoordinationWatchHub, ResponseWithoutEventsKeepsAHigherRevision) {
  put(state, "g.a", "1");
  watch(first, 7);
  clock.play(Span::ms(2001));
  first.check_only(200, R"({"events":[],"revision":7})");
}

TEST(CoordinationWatchHub, GroupWithoutPutsCanBeWatched) {
  watch(first, 0);
  put(state, "g.a", "1");
  hub.on_state(state);
  first.check_only(200, R"({"events":[{"name":"g.a","value":"1","revision":1}],"revision":1})");
}

TEST(CoordinationWatchHub, ReleasedWatchersGetThatResponseOnce) {
  put(state, "g.a", "1");
  watch(first, 1);
  watch(second, 4);
  hub.release_all({503, "x", {}});
  first.check_only(503, "x");
  second.check_only(503, "x");
  CHECK_EQUAL(0U, hub.size());
  put(state, "g.a", "2");
  hub.on_state(state);
  clock.play(Span::ms(3000));
  hub.release_all({503, "x", {}});
  CHECK_EQUAL(1U, first.all.size());
  CHECK_EQUAL(1U, second.all.size());
}

// A reply callback adds the next watcher, as happens if the client's next request was already read.
TEST(CoordinationWatchHub, WatcherAddedByAReplyWaitsForTheNextPut) {
  put(state, "g.a", "1");
  hub.add({"g.", 1, Span::ms(2000)}, state, [this](const HttpResponse&) { watch(first, 2); });
  put(state, "g.a", "2");
  hub.on_state(state);
  CHECK_EQUAL(1U, hub.size());
  put(state, "g.a", "3");
  hub.on_state(state);
  first.check_only(200, R"({"events":[{"name":"g.a","value":"3","revision":3}],"revision":3})");
}

TEST(CoordinationWatchHub, TooManyWatchersAreRefused) {
  for (std::size_t i = 0; i < WatchHub::max_watchers; ++i)
    hub.add({"g.", 1, Span::ms(2000)}, state, [](const HttpResponse&) {});
  watch(first, 1);
  CHECK_EQUAL(1U, first.all.size());
  CHECK_EQUAL(503, first.all.front().status);
  CHECK_EQUAL(WatchHub::max_watchers, hub.size());
}
