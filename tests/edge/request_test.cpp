// A client's request as it is read, and as it goes on; events of a stream cut at every byte.
#include "edge/request.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "http/parser.hpp"
#include "unit.hpp"

namespace http = chutevane::http;
using chutevane::Span;
using chutevane::edge::Event;
using chutevane::edge::head_for;
using chutevane::edge::of_one_connection;
using chutevane::edge::read_event;
using chutevane::edge::read_request;
using chutevane::edge::Request;
using chutevane::edge::whole_event;

namespace {

struct Read {
  Request request;
  std::string wrong;
};

Read read(const std::string& fields, const std::string& body = "",
          const std::string& line = "POST /lohu930/2f?a=1&b=%20 HTTP/1.1") {
  std::string bytes = line + "\r\n" + fields;
  if (!body.empty()) bytes += numbered("Content-Length: ", body.size()) + "\r\n";
  bytes += "\r\n" + body;
  http::Parser parser(http::Side::request, {.head = 16384, .body = 1U << 20U, .fields = 100});
  CHECK_WHERE(parser.feed(std::span<char>(bytes.data(), bytes.size())) == http::Progress::complete, bytes);
  Read out;
  out.wrong = read_request(parser, out.request);
  return out;
}

const std::string host = "Host: ficu95.example\r\n";

std::size_t count(const Request& r, const std::string& name) {
  return static_cast<std::size_t>(std::count_if(
      r.fields.begin(), r.fields.end(), [&](const auto& f) { return http::same_name(f.first, name); }));
}

std::size_t times(const std::string& text, const std::string& part) {
  std::size_t n = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++n;
  return n;
}

}  // namespace

TEST_GROUP(RequestRead){};

// The example of the protocol's page.
TEST(RequestRead, ATurn) {
  const Read got = read(
      "Host: ficu95.example\r\nX-Chutevane-Attempt-Id: e5b2907c14da6f38\r\nProgram: 3fa81c\r\n"
      "Session: 77d20b\r\nFinish-Ms: 5200\r\nBudget: 1088\r\nX-Chutevane-Token-Count: 1840,136\r\n"
      "Previous: 40c8f1a7b3e9265d\r\nX-Chutevane-Time-Remaining: 6000\r\n"
      "X-Chutevane-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
      "the new input");
  CHECK_WHERE(got.wrong.empty(), got.wrong);
  const Request& r = got.request;
  CHECK_TRUE(r.method == "POST" && r.target == "/lohu930/2f?a=1&b=%20" && r.host == "ficu95.example");
  CHECK_TRUE(r.body == "the new input" && r.attempt_id == "e5b2907c14da6f38");
  CHECK_TRUE(r.program == "3fa81c" && r.previous == "40c8f1a7b3e9265d");
  CHECK_TRUE(r.budget && *r.budget == 1088 && r.most_out && *r.most_out == 136);
  CHECK_TRUE(r.left && *r.left == Span::ms(6000));
  CHECK_TRUE(r.parts.size() == 3 && r.parts[0].tokens == 800 && r.parts[2].tokens == 250);
  CHECK_TRUE(r.parts[0].id != r.parts[1].id && r.parts[1].id != r.parts[2].id);
  // All goes along but the time, which is said anew.
  for (const char* name : {"Host", "X-Chutevane-Attempt-Id", "Program", "Session", "Finish-Ms", "Budget",
                           "X-Chutevane-Token-Count", "Previous", "X-Chutevane-Prompt-Prefix"})
    CHECK_WHERE(count(r, name) == 1, name);
  CHECK_EQUAL(static_cast<std::size_t>(0), count(r, "X-Chutevane-Time-Remaining"));
}

TEST(RequestRead, ThePlainOne) {
  const Read got = read(host, "", "GET /x HTTP/1.1");
  CHECK_TRUE(got.wrong.empty() && got.request.method == "GET" && got.request.body.empty());
  CHECK_TRUE(!got.request.left && !got.request.budget && !got.request.most_out && got.request.parts.empty());
}

TEST(RequestRead, HostIsLowerAndWithoutItsPort) {
  CHECK_TRUE(read("Host: FICU95.Example:8080\r\n").request.host == "ficu95.example");
  CHECK_TRUE(read("Host: other.example\r\n", "", "GET http://Ficu95.example:80/x HTTP/1.1").request.host ==
             "ficu95.example");
}

TEST(RequestRead, FieldsOfOneConnectionDoNotGoAlong) {
  const Read got =
      read(host +
               "Connection: X-Mine, close\r\nConnection: x-other\r\nX-Mine: 1\r\nX-Other: 2\r\n"
               "X-Third: 3\r\nKeep-Alive: timeout=5\r\nProxy-Connection: keep-alive\r\nTE: trailers\r\n"
               "Trailer: X\r\nUpgrade: h2c\r\nExpect: 100-continue\r\n",
           "body");
  CHECK_WHERE(got.wrong.empty(), got.wrong);
  for (const char* name : {"Connection", "X-Mine", "X-Other", "Keep-Alive", "Proxy-Connection", "TE",
                           "Trailer", "Upgrade", "Expect", "Content-Length"})
    CHECK_WHERE(count(got.request, name) == 0, name);
  CHECK_EQUAL(static_cast<std::size_t>(1), count(got.request, "X-Third"));
  CHECK_TRUE(of_one_connection("TRANSFER-ENCODING", "") && of_one_connection("x-a", "close, X-A"));
  CHECK_FALSE(of_one_connection("X-Aa", "close, X-A") || of_one_connection("Host", ""));
}

// A body in chunks goes on with a length, and nothing tells of chunks any more.
TEST(RequestRead, ChunkedBody) {
  std::string bytes =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e=1\r\nde\r\n0\r\n\r\n";
  http::Parser parser(http::Side::request, {});
  CHECK_TRUE(parser.feed(std::span<char>(bytes.data(), bytes.size())) == http::Progress::complete);
  Request r;
  CHECK_TRUE(read_request(parser, r).empty());
  CHECK_TRUE(r.body == "abcde" && count(r, "Transfer-Encoding") == 0);
  const std::string head = head_for(r, {.endpoint_id = "i-1", .left = Span::ms(10)}, r.body.size());
  CHECK_TRUE(times(head, "Content-Length: 5\r\n") == 1 && times(head, "ransfer-") == 0);
}

// Two of what decides where it goes or who it is: nothing is guessed.
TEST(RequestRead, DoubledHeaders) {
  CHECK_FALSE(read(host + "Host: other.example\r\n").wrong.empty());
  CHECK_FALSE(read(host + host).wrong.empty());
  CHECK_FALSE(read(host + "X-Chutevane-Attempt-Id: a\r\nx-chutevane-attempt-id: b\r\n").wrong.empty());
  // Others twice go along twice, in their order; what is ours to say is said once.
  const Read got = read(host +
                        "Accept: a\r\nAccept: b\r\nX-Chutevane-Time-Remaining: 50\r\n"
                        "X-Chutevane-Time-Remaining: 60\r\nPriority: 1\r\npriority: 2\r\n"
                        "X-Chutevane-Target-Instance: i-9\r\n");
  CHECK_TRUE(got.wrong.empty() && count(got.request, "Accept") == 2);
  const std::string head =
      head_for(got.request, {.endpoint_id = "i-1", .left = Span::ms(40), .priority = 4}, 0);
  CHECK_TRUE(times(head, "X-Chutevane-Time-Remaining: ") == 1 && times(head, "riority: ") == 1);
  CHECK_TRUE(times(head, "X-Chutevane-Target-Instance: i-1\r\n") == 1 && times(head, "i-9") == 0);
  CHECK_TRUE(head.find("Accept: a\r\n") < head.find("Accept: b\r\n"));
}

// A number that is none is told with its header: nothing is read into it.
TEST(RequestRead, OddNumbers) {
  for (const char* odd : {"-1", "abc", "", "5.5", "5 ms", "+5", "0x10", "99999999999999999999999", "5,5"}) {
    for (const char* name : {"X-Chutevane-Time-Remaining", "Budget"}) {
      const Read got = read(host + name + ": " + odd + "\r\n");
      CHECK_WHERE(got.wrong.find(name) == 0, std::string(name) + ": " + odd);
    }
  }
  CHECK_TRUE(read(host + "X-Chutevane-Time-Remaining: 0\r\n").request.left == Span());
  CHECK_TRUE(read(host + "X-Chutevane-Time-Remaining:   25  \r\n").request.left == Span::ms(25));
  CHECK_TRUE(read(host + "Budget: 0\r\n").request.budget == 0);
}

// What only helps to choose an endpoint is left alone where it is odd.
TEST(RequestRead, OddPromptParts) {
  for (const char* odd : {"a", "a:", "a:b", ":5", "a:5,,b:6", "a:-5", "a:5,b", ","}) {
    const Read got = read(host + "X-Chutevane-Prompt-Prefix: " + odd + "\r\n");
    CHECK_WHERE(got.wrong.empty(), odd);
    CHECK_WHERE(got.request.parts.size() <= 1, odd);
    CHECK_EQUAL(static_cast<std::size_t>(1), count(got.request, "X-Chutevane-Prompt-Prefix"));
  }
  std::string many;
  for (int i = 0; i < 1200; ++i) many += numbered("a", i) + ":1,";
  CHECK_TRUE(read(host + "X-Chutevane-Prompt-Prefix: " + many + "\r\n").request.parts.size() <= 4096);
}

// Alike for the same part, whoever reads it.
TEST(RequestRead, PartsAreKnownAgain) {
  const Read a = read(host + "X-Chutevane-Prompt-Prefix: aa:1,bb:2\r\n"),
             b = read(host + "X-Chutevane-Prompt-Prefix: aa:7,cc:2\r\n");
  CHECK_TRUE(a.request.parts[0].id == b.request.parts[0].id &&
             a.request.parts[1].id != b.request.parts[1].id);
}

TEST_GROUP(RequestSent){};

TEST(RequestSent, AsItCame) {
  const Read got = read(host + "X-Chutevane-Attempt-Id: 9c41\r\nX-Odd:  a b \r\nX-Empty:\r\n", "bytes");
  const std::string head = head_for(got.request, {.endpoint_id = "i-7f3a91c2", .left = Span::ms(1234.9)}, 5);
  CHECK_TRUE(head.starts_with("POST /lohu930/2f?a=1&b=%20 HTTP/1.1\r\n") && head.ends_with("\r\n\r\n"));
  CHECK_EQUAL(static_cast<std::size_t>(1), times(head, "\r\n\r\n"));
  for (const char* line : {"Host: ficu95.example\r\n", "X-Chutevane-Attempt-Id: 9c41\r\n", "X-Odd: a b\r\n",
                           "X-Empty: \r\n", "X-Chutevane-Target-Instance: i-7f3a91c2\r\n",
                           "X-Chutevane-Time-Remaining: 1234\r\n", "Content-Length: 5\r\n"})
    CHECK_WHERE(times(head, line) == 1, line);
  CHECK_EQUAL(static_cast<std::size_t>(0), times(head, "Priority"));
  // An endpoint reads it as the same request.
  std::string bytes = head + "bytes";
  http::Parser parser(http::Side::request, {});
  CHECK_TRUE(parser.feed(std::span<char>(bytes.data(), bytes.size())) == http::Progress::complete);
  CHECK_TRUE(parser.size() == bytes.size() && parser.body() == "bytes" &&
             parser.target() == got.request.target);
}

// The time is never more than what is left, but for the least that can be said.
TEST(RequestSent, TimeThatIsLeft) {
  const Read got = read(host);
  for (const double ms : {0.0, -5.0, 0.4, 1.0, 1.9, 60000.0}) {
    const std::string head =
        head_for(got.request, {.endpoint_id = "i", .left = Span::ms(ms), .priority = 9}, 0);
    const auto want = std::max<long>(1, static_cast<long>(ms));
    CHECK_WHERE(times(head, numbered("X-Chutevane-Time-Remaining: ", want) + "\r\n") == 1, head);
    CHECK_EQUAL(static_cast<std::size_t>(1), times(head, "Priority: 9\r\n"));
  }
}

// Without a body: a GET says nothing of one, others say that there is none.
TEST(RequestSent, Bodiless) {
  CHECK_EQUAL(static_cast<std::size_t>(0), times(head_for(read(host, "", "GET /x HTTP/1.1").request,
                                                          {.endpoint_id = "i", .left = Span::ms(1)}, 0),
                                                 "Content-Length"));
  CHECK_EQUAL(static_cast<std::size_t>(1), times(head_for(read(host, "", "DELETE /x HTTP/1.1").request,
                                                          {.endpoint_id = "i", .left = Span::ms(1)}, 0),
                                                 "Content-Length: 0\r\n"));
}

TEST_GROUP(StreamEvents) {
  // As they come in pieces: whole events in order, and what is left over.
  static std::vector<std::string> cut(const std::string& stream, const std::vector<std::size_t>& at,
                                      std::string* rest) {
    std::vector<std::string> out;
    std::string held;
    std::size_t from = 0;
    const auto come = [&](std::size_t to) {
      held += stream.substr(from, to - from);
      from = to;
      for (std::size_t n = whole_event(held); n > 0; n = whole_event(held)) {
        out.push_back(held.substr(0, n));
        held.erase(0, n);
      }
    };
    for (const std::size_t one : at) come(one);
    come(stream.size());
    *rest = held;
    return out;
  }
  const std::vector<std::string> events = {"versions: 3\nid: 1\ndata: a b\n\n",
                                           "id: 2\ndata:c\ndata: d\n\n",
                                           "data: \n\n",
                                           ": note\nid: x\ndata: e\n\n",
                                           "id: 4\r\nevent: token\r\ndata: f: g\r\n\r\n",
                                           "id: 5\ndata: h\n\n"};
  std::string stream() const {
    std::string out;
    for (const std::string& e : events) out += e;
    return out;
  }
};

// Cut once or twice, anywhere: the same events, byte for byte.
TEST(StreamEvents, CutAtEveryByte) {
  const std::string all = stream();
  std::string rest;
  for (std::size_t a = 0; a <= all.size(); ++a) {
    for (std::size_t b = a; b <= all.size(); b += 3) {
      CHECK_WHERE(cut(all, {a, b}, &rest) == events && rest.empty(),
                  numbered("at ", a) + numbered(" and ", b));
    }
  }
  std::vector<std::size_t> every;
  for (std::size_t a = 0; a <= all.size(); ++a) every.push_back(a);
  CHECK_TRUE(cut(all, every, &rest) == events && rest.empty());
}

// What is broken off is no event.
TEST(StreamEvents, BrokenOffAtEveryByte) {
  const std::string all = stream();
  for (std::size_t n = 0; n < all.size(); ++n) {
    std::string rest;
    const auto got = cut(all.substr(0, n), {}, &rest);
    std::string back;
    for (std::size_t i = 0; i < got.size(); ++i) {
      CHECK_TRUE(got[i] == events[i]);
      back += got[i];
    }
    CHECK_TRUE(back + rest == all.substr(0, n) && got.size() < events.size());
  }
}

// The data with a line feed behind, as the next turn's endpoint is to get it.
TEST(StreamEvents, DataAndId) {
  const std::vector<std::string> data = {"a b\n", "c\nd\n", "\n", "e\n", "f: g\n", "h\n"};
  const std::vector<std::optional<std::int64_t>> ids = {1, 2, std::nullopt, std::nullopt, 4, 5};
  for (std::size_t i = 0; i < events.size(); ++i) {
    const Event e = read_event(events[i]);
    CHECK_WHERE(e.data == data[i], numbered("event ", i));
    CHECK_WHERE(e.id == ids[i], numbered("event ", i));
  }
  CHECK_TRUE(read_event("data:  two blanks\n\n").data == " two blanks\n");
  CHECK_TRUE(read_event(": only a note\n\n").data.empty());
  CHECK_TRUE(read_event("").data.empty() && !read_event("id: -1\n\n").id);
  CHECK_TRUE(read_event("id: 007\n\n").id == 7);
}

TEST_GROUP(RequestLongTime){};

// A client that would wait for ever: what is left is long, and not below nothing.
TEST(RequestLongTime, VeryMuchTimeIsNotSpent) {
  for (const char* ms : {"9223372036854775807", "9300000000000000", "1000000000000"}) {
    const Read got = read(host + "X-Chutevane-Time-Remaining: " + ms + "\r\n");
    CHECK_WHERE(!got.wrong.empty() || (got.request.left && *got.request.left > Span::ms(1e6)), ms);
  }
}
