/// A client's request as it is read, and as it goes on; events of a stream cut at every byte.
#include "edge/client_request.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "edge/server_sent_event.hpp"
#include "http/parser.hpp"
#include "unit.hpp"

namespace http = chutevane::http;
using chutevane::Span;
using chutevane::edge::ClientRequest;
using chutevane::edge::complete_event_size;
using chutevane::edge::format_request_head;
using chutevane::edge::is_hop_by_hop;
using chutevane::edge::parse_client_request;
using chutevane::edge::parse_event;
using chutevane::edge::ParsedClientRequest;
using chutevane::edge::ServerSentEvent;

namespace {

ParsedClientRequest read(const std::string& fields, const std::string& body = "",
                         const std::string& line = "POST /lohu930/2f?a=1&b=%20 HTTP/1.1") {
  std::string bytes = line + "\r\n" + fields;
  if (!body.empty()) bytes += numbered("Content-Length: ", static_cast<long long>(body.size())) + "\r\n";
  bytes += "\r\n" + body;
  http::Parser parser(http::Side::request, {.head = 16384, .body = 1U << 20U, .fields = 100});
  CHECK_WHERE(parser.feed(std::span<char>(bytes.data(), bytes.size())) == http::Progress::complete, bytes);
  return parse_client_request(parser);
}

const std::string host = "Host: ficu95.example\r\n";

std::size_t count(const ClientRequest& r, const std::string& name) {
  return static_cast<std::size_t>(std::count_if(
      r.headers.begin(), r.headers.end(), [&](const auto& f) { return http::same_name(f.first, name); }));
}

std::size_t times(const std::string& text, const std::string& part) {
  std::size_t n = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++n;
  return n;
}

}  // namespace

TEST_GROUP(ClientRequestParsing){};

// The example of the protocol's page.
TEST(ClientRequestParsing, ATurn) {
  const ParsedClientRequest got = read(
      "Host: ficu95.example\r\nX-Chutevane-Attempt-Id: e5b2907c14da6f38\r\nProgram: 3fa81c\r\n"
      "Session: 77d20b\r\nFinish-Ms: 5200\r\nBudget: 1088\r\nX-Chutevane-Token-Count: 1840,136\r\n"
      "Previous: 40c8f1a7b3e9265d\r\nX-Chutevane-Time-Remaining: 6000\r\n"
      "X-Chutevane-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
      "the new input");
  CHECK_WHERE(got.error.empty(), got.error);
  const ClientRequest& r = got.request;
  CHECK_TRUE(r.method == "POST" && r.target == "/lohu930/2f?a=1&b=%20" && r.host == "ficu95.example");
  CHECK_TRUE(r.body == "the new input" && r.attempt_id == "e5b2907c14da6f38");
  CHECK_TRUE(r.program == "3fa81c" && r.previous_turn == "40c8f1a7b3e9265d");
  CHECK_TRUE(r.token_budget && *r.token_budget == 1088 && r.max_output_tokens && *r.max_output_tokens == 136);
  CHECK_TRUE(r.time_remaining && *r.time_remaining == Span::ms(6000));
  CHECK_TRUE(r.prompt.size() == 3 && r.prompt[0].tokens == 800 && r.prompt[2].tokens == 250);
  CHECK_TRUE(r.prompt[0].id != r.prompt[1].id && r.prompt[1].id != r.prompt[2].id);
  // All goes along but the time, which is said anew.
  for (const char* name : {"Host", "X-Chutevane-Attempt-Id", "Program", "Session", "Finish-Ms", "Budget",
                           "X-Chutevane-Token-Count", "Previous", "X-Chutevane-Prompt-Prefix"})
    CHECK_WHERE(count(r, name) == 1, name);
  CHECK_EQUAL(static_cast<std::size_t>(0), count(r, "X-Chutevane-Time-Remaining"));
}

TEST(ClientRequestParsing, ThePlainOne) {
  const ParsedClientRequest got = read(host, "", "GET /x HTTP/1.1");
  CHECK_TRUE(got.error.empty() && got.request.method == "GET" && got.request.body.empty());
  CHECK_TRUE(!got.request.time_remaining && !got.request.token_budget && !got.request.max_output_tokens &&
             got.request.prompt.empty());
}

TEST(ClientRequestParsing, HostIsLowerAndWithoutItsPort) {
  CHECK_TRUE(read("Host: FICU95.Example:8080\r\n").request.host == "ficu95.example");
  CHECK_TRUE(read("Host: other.example\r\n", "", "GET http://Ficu95.example:80/x HTTP/1.1").request.host ==
             "ficu95.example");
}

TEST(ClientRequestParsing, HopByHopHeadersAreNotForwarded) {
  const ParsedClientRequest got =
      read(host +
               "Connection: X-Mine, close\r\nConnection: x-other\r\nX-Mine: 1\r\nX-Other: 2\r\n"
               "X-Third: 3\r\nKeep-Alive: timeout=5\r\nProxy-Connection: keep-alive\r\nTE: trailers\r\n"
               "Trailer: X\r\nUpgrade: h2c\r\nExpect: 100-continue\r\n",
           "body");
  CHECK_WHERE(got.error.empty(), got.error);
  for (const char* name : {"Connection", "X-Mine", "X-Other", "Keep-Alive", "Proxy-Connection", "TE",
                           "Trailer", "Upgrade", "Expect", "Content-Length"})
    CHECK_WHERE(count(got.request, name) == 0, name);
  CHECK_EQUAL(static_cast<std::size_t>(1), count(got.request, "X-Third"));
  CHECK_TRUE(is_hop_by_hop("TRANSFER-ENCODING", "") && is_hop_by_hop("x-a", "close, X-A"));
  CHECK_FALSE(is_hop_by_hop("X-Aa", "close, X-A") || is_hop_by_hop("Host", ""));
}

// A body in chunks goes on with a length, and nothing tells of chunks any more.
TEST(ClientRequestParsing, ChunkedBody) {
  std::string bytes =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e=1\r\nde\r\n0\r\n\r\n";
  http::Parser parser(http::Side::request, {});
  CHECK_TRUE(parser.feed(std::span<char>(bytes.data(), bytes.size())) == http::Progress::complete);
  const ParsedClientRequest parsed = parse_client_request(parser);
  const ClientRequest& r = parsed.request;
  CHECK_TRUE(parsed.error.empty());
  CHECK_TRUE(r.body == "abcde" && count(r, "Transfer-Encoding") == 0);
  const std::string head =
      format_request_head(r, {.endpoint_id = "i-1", .time_left = Span::ms(10)}, r.body.size());
  CHECK_TRUE(times(head, "Content-Length: 5\r\n") == 1 && times(head, "ransfer-") == 0);
}

// Two of what decides where it goes or who it is: nothing is guessed.
TEST(ClientRequestParsing, DoubledHeaders) {
  CHECK_FALSE(read(host + "Host: other.example\r\n").error.empty());
  CHECK_FALSE(read(host + host).error.empty());
  CHECK_FALSE(read(host + "X-Chutevane-Attempt-Id: a\r\nx-chutevane-attempt-id: b\r\n").error.empty());
  // Others twice go along twice, in their order; what is ours to say is said once.
  const ParsedClientRequest got = read(host +
                                       "Accept: a\r\nAccept: b\r\nX-Chutevane-Time-Remaining: 50\r\n"
                                       "X-Chutevane-Time-Remaining: 60\r\nPriority: 1\r\npriority: 2\r\n"
                                       "X-Chutevane-Target-Instance: i-9\r\n");
  CHECK_TRUE(got.error.empty() && count(got.request, "Accept") == 2);
  const std::string head =
      format_request_head(got.request, {.endpoint_id = "i-1", .time_left = Span::ms(40), .priority = 4}, 0);
  CHECK_TRUE(times(head, "X-Chutevane-Time-Remaining: ") == 1 && times(head, "riority: ") == 1);
  CHECK_TRUE(times(head, "X-Chutevane-Target-Instance: i-1\r\n") == 1 && times(head, "i-9") == 0);
  CHECK_TRUE(head.find("Accept: a\r\n") < head.find("Accept: b\r\n"));
}

// A number that is none is told with its header: nothing is read into it.
TEST(ClientRequestParsing, OddNumbers) {
  for (const char* odd : {"-1", "abc", "", "5.5", "5 ms", "+5", "0x10", "99999999999999999999999", "5,5"}) {
    for (const char* name : {"X-Chutevane-Time-Remaining", "Budget"}) {
      const ParsedClientRequest got = read(host + name + ": " + odd + "\r\n");
      CHECK_WHERE(got.error.find(name) == 0, std::string(name) + ": " + odd);
    }
  }
  CHECK_TRUE(read(host + "X-Chutevane-Time-Remaining: 0\r\n").request.time_remaining == Span());
  CHECK_TRUE(read(host + "X-Chutevane-Time-Remaining:   25  \r\n").request.time_remaining == Span::ms(25));
  CHECK_TRUE(read(host + "Budget: 0\r\n").request.token_budget == 0);
}

// What only helps to choose an endpoint is left alone where it is odd.
TEST(ClientRequestParsing, OddPromptBlocks) {
  for (const char* odd : {"a", "a:", "a:b", ":5", "a:5,,b:6", "a:-5", "a:5,b", ","}) {
    const ParsedClientRequest got = read(host + "X-Chutevane-Prompt-Prefix: " + odd + "\r\n");
    CHECK_WHERE(got.error.empty(), odd);
    CHECK_WHERE(got.request.prompt.size() <= 1, odd);
    CHECK_EQUAL(static_cast<std::size_t>(1), count(got.request, "X-Chutevane-Prompt-Prefix"));
  }
  std::string many;
  for (int i = 0; i < 1200; ++i) many += numbered("a", i) + ":1,";
  CHECK_TRUE(read(host + "X-Chutevane-Prompt-Prefix: " + many + "\r\n").request.prompt.size() <= 4096);
}

// Alike for the same part, whoever reads it.
TEST(ClientRequestParsing, BlocksHaveStableIds) {
  const ParsedClientRequest a = read(host + "X-Chutevane-Prompt-Prefix: aa:1,bb:2\r\n"),
                            b = read(host + "X-Chutevane-Prompt-Prefix: aa:7,cc:2\r\n");
  CHECK_TRUE(a.request.prompt[0].id == b.request.prompt[0].id &&
             a.request.prompt[1].id != b.request.prompt[1].id);
}

TEST_GROUP(RequestHeadFormatting){};

TEST(RequestHeadFormatting, AsItCame) {
  const ParsedClientRequest got =
      read(host + "X-Chutevane-Attempt-Id: 9c41\r\nX-Odd:  a b \r\nX-Empty:\r\n", "bytes");
  const std::string head =
      format_request_head(got.request, {.endpoint_id = "i-7f3a91c2", .time_left = Span::ms(1234.9)}, 5);
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
TEST(RequestHeadFormatting, TimeThatIsLeft) {
  const ParsedClientRequest got = read(host);
  for (const double ms : {0.0, -5.0, 0.4, 1.0, 1.9, 60000.0}) {
    const std::string head =
        format_request_head(got.request, {.endpoint_id = "i", .time_left = Span::ms(ms), .priority = 9}, 0);
    const auto want = std::max<long>(1, static_cast<long>(ms));
    CHECK_WHERE(times(head, numbered("X-Chutevane-Time-Remaining: ", want) + "\r\n") == 1, head);
    CHECK_EQUAL(static_cast<std::size_t>(1), times(head, "Priority: 9\r\n"));
  }
}

// Without a body: a GET says nothing of one, others say that there is none.
TEST(RequestHeadFormatting, Bodiless) {
  CHECK_EQUAL(static_cast<std::size_t>(0),
              times(format_request_head(read(host, "", "GET /x HTTP/1.1").request,
                                        {.endpoint_id = "i", .time_left = Span::ms(1)}, 0),
                    "Content-Length"));
  CHECK_EQUAL(static_cast<std::size_t>(1),
              times(format_request_head(read(host, "", "DELETE /x HTTP/1.1").request,
                                        {.endpoint_id = "i", .time_left = Span::ms(1)}, 0),
                    "Content-Length: 0\r\n"));
}

TEST_GROUP(ServerSentEvents) {
  // As they come in pieces: whole events in order, and what is left over.
  static std::vector<std::string> cut(const std::string& stream, const std::vector<std::size_t>& at,
                                      std::string* rest) {
    std::vector<std::string> out;
    std::string held;
    std::size_t from = 0;
    const auto come = [&](std::size_t to) {
      held += stream.substr(from, to - from);
      from = to;
      for (std::size_t n = complete_event_size(held); n > 0; n = complete_event_size(held)) {
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
TEST(ServerSentEvents, CutAtEveryByte) {
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
TEST(ServerSentEvents, BrokenOffAtEveryByte) {
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
TEST(ServerSentEvents, DataAndId) {
  const std::vector<std::string> data = {"a b\n", "c\nd\n", "\n", "e\n", "f: g\n", "h\n"};
  const std::vector<std::optional<std::int64_t>> ids = {1, 2, std::nullopt, std::nullopt, 4, 5};
  for (std::size_t i = 0; i < events.size(); ++i) {
    const ServerSentEvent e = parse_event(events[i]);
    CHECK_WHERE(e.data == data[i], numbered("event ", i));
    CHECK_WHERE(e.id == ids[i], numbered("event ", i));
  }
  CHECK_TRUE(parse_event("data:  two blanks\n\n").data == " two blanks\n");
  CHECK_TRUE(parse_event(": only a note\n\n").data.empty());
  CHECK_TRUE(parse_event("").data.empty() && !parse_event("id: -1\n\n").id);
  CHECK_TRUE(parse_event("id: 007\n\n").id == 7);
}

TEST_GROUP(ClientRequestTime){};

// A client that would wait for ever: what is left is long, and not below nothing.
TEST(ClientRequestTime, VeryMuchTimeIsNotSpent) {
  for (const char* ms : {"9223372036854775807", "9300000000000000", "1000000000000"}) {
    const ParsedClientRequest got = read(host + "X-Chutevane-Time-Remaining: " + ms + "\r\n");
    CHECK_WHERE(
        !got.error.empty() || (got.request.time_remaining && *got.request.time_remaining > Span::ms(1e6)),
        ms);
  }
}
