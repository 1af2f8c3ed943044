/// Parsing of client requests, formatting of request heads, and parsing of streams split at every byte.
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
namespace net = chutevane::net;

namespace {

ParsedClientRequest read(const std::string& fields, const std::string& body = "",
                         const std::string& line = "POST /lohu930/2f?a=1&b=%20 HTTP/1.1") {
  std::string bytes = line + "\r\n" + fields;
  if (!body.empty()) bytes += numbered("Content-Length: ", static_cast<long long>(body.size())) + "\r\n";
  bytes += "\r\n" + body;
  http::Parser parser(http::Side::request, {.head = 16384, .body = 1U << 20U, .fields = 100});
  net::Buffer received;
  received.append(bytes);
  CHECK_WHERE(parser.feed(received) == http::Progress::complete, bytes);
  return parse_client_request(parser, received);
}

const std::string host = "Host: ficu95.example\r\n";

std::size_t count(const ClientRequest& r, const std::string& name) {
  return static_cast<std::size_t>(std::count_if(
      r.headers.begin(), r.headers.end(), [&](const auto& f) { return http::same_name(f.first, name); }));
}

std::size_t occurrences(const std::string& text, const std::string& part) {
  std::size_t n = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++n;
  return n;
}

}  // namespace

TEST_GROUP(ClientRequestParsing){};

// The example of the protocol documentation.
TEST(ClientRequestParsing, Turn) {
  const ParsedClientRequest parsed = read(
      "Host: ficu95.example\r\nX-Chutevane-Attempt-Id: e5b2907c14da6f38\r\nProgram: 3fa81c\r\n"
      "Session: 77d20b\r\nFinish-Ms: 5200\r\nBudget: 1088\r\nX-Chutevane-Token-Count: 1840,136\r\n"
      "Previous: 40c8f1a7b3e9265d\r\nX-Chutevane-Time-Remaining: 6000\r\n"
      "X-Chutevane-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
      "the new input");
  CHECK_WHERE(parsed.error.empty(), parsed.error);
  const ClientRequest& r = parsed.request;
  CHECK_TRUE(r.method == "POST" && r.target == "/lohu930/2f?a=1&b=%20" && r.host == "ficu95.example");
  CHECK_TRUE(r.body.view() == "the new input" && r.attempt_id == "e5b2907c14da6f38");
  CHECK_TRUE(r.program == "3fa81c" && r.previous_turn == "40c8f1a7b3e9265d");
  CHECK_TRUE(r.token_budget && *r.token_budget == 1088 && r.max_output_tokens && *r.max_output_tokens == 136);
  CHECK_TRUE(r.time_remaining && *r.time_remaining == Span::ms(6000));
  CHECK_TRUE(r.prompt.size() == 3 && r.prompt[0].tokens == 800 && r.prompt[2].tokens == 250);
  CHECK_TRUE(r.prompt[0].id != r.prompt[1].id && r.prompt[1].id != r.prompt[2].id);
  // All headers are forwarded except the remaining time, which the edge sets itself.
  for (const char* name : {"Host", "X-Chutevane-Attempt-Id", "Program", "Session", "Finish-Ms", "Budget",
                           "X-Chutevane-Token-Count", "Previous", "X-Chutevane-Prompt-Prefix"})
    CHECK_WHERE(count(r, name) == 1, name);
  CHECK_EQUAL(static_cast<std::size_t>(0), count(r, "X-Chutevane-Time-Remaining"));
}

TEST(ClientRequestParsing, MinimalRequest) {
  const ParsedClientRequest parsed = read(host, "", "GET /x HTTP/1.1");
  CHECK_TRUE(parsed.error.empty() && parsed.request.method == "GET" && parsed.request.body.view().empty());
  CHECK_TRUE(!parsed.request.time_remaining && !parsed.request.token_budget &&
             !parsed.request.max_output_tokens && parsed.request.prompt.empty());
}

TEST(ClientRequestParsing, HostIsLowerAndWithoutItsPort) {
  CHECK_TRUE(read("Host: FICU95.Example:8080\r\n").request.host == "ficu95.example");
  CHECK_TRUE(read("Host: other.example\r\n", "", "GET http://Ficu95.example:80/x HTTP/1.1").request.host ==
             "ficu95.example");
}

TEST(ClientRequestParsing, HopByHopHeadersAreNotForwarded) {
  const ParsedClientRequest parsed =
      read(host +
               "Connection: X-Mine, close\r\nConnection: x-other\r\nX-Mine: 1\r\nX-Other: 2\r\n"
               "X-Third: 3\r\nKeep-Alive: timeout=5\r\nProxy-Connection: keep-alive\r\nTE: trailers\r\n"
               "Trailer: X\r\nUpgrade: h2c\r\nExpect: 100-continue\r\n",
           "body");
  CHECK_WHERE(parsed.error.empty(), parsed.error);
  for (const char* name : {"Connection", "X-Mine", "X-Other", "Keep-Alive", "Proxy-Connection", "TE",
                           "Trailer", "Upgrade", "Expect", "Content-Length"})
    CHECK_WHERE(count(parsed.request, name) == 0, name);
  CHECK_EQUAL(static_cast<std::size_t>(1), count(parsed.request, "X-Third"));
  CHECK_TRUE(is_hop_by_hop("TRANSFER-ENCODING", "") && is_hop_by_hop("x-a", "close, X-A"));
  CHECK_FALSE(is_hop_by_hop("X-Aa", "close, X-A") || is_hop_by_hop("Host", ""));
}

// A chunked body is forwarded with a Content-Length and without Transfer-Encoding.
TEST(ClientRequestParsing, ChunkedBody) {
  const std::string bytes =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e=1\r\nde\r\n0\r\n\r\n";
  http::Parser parser(http::Side::request, {});
  net::Buffer received;
  received.append(bytes);
  CHECK_TRUE(parser.feed(received) == http::Progress::complete);
  const ParsedClientRequest parsed = parse_client_request(parser, received);
  const ClientRequest& r = parsed.request;
  CHECK_TRUE(parsed.error.empty());
  CHECK_TRUE(r.body.view() == "abcde" && count(r, "Transfer-Encoding") == 0);
  const std::string head =
      format_request_head(r, {.endpoint_id = "i-1", .time_left = Span::ms(10)}, r.body.size());
  CHECK_TRUE(occurrences(head, "Content-Length: 5\r\n") == 1 && occurrences(head, "ransfer-") == 0);
}

// Duplicates of headers that determine the route or identity of a request are errors.
TEST(ClientRequestParsing, DoubledHeaders) {
  CHECK_FALSE(read(host + "Host: other.example\r\n").error.empty());
  CHECK_FALSE(read(host + host).error.empty());
  CHECK_FALSE(read(host + "X-Chutevane-Attempt-Id: a\r\nx-chutevane-attempt-id: b\r\n").error.empty());
  // Other duplicates are forwarded in order; headers that the edge sets appear once.
  const ParsedClientRequest parsed = read(host +
                                          "Accept: a\r\nAccept: b\r\nX-Chutevane-Time-Remaining: 50\r\n"
                                          "X-Chutevane-Time-Remaining: 60\r\nPriority: 1\r\npriority: 2\r\n"
                                          "X-Chutevane-Target-Instance: i-9\r\n");
  CHECK_TRUE(parsed.error.empty() && count(parsed.request, "Accept") == 2);
  const std::string head = format_request_head(
      parsed.request, {.endpoint_id = "i-1", .time_left = Span::ms(40), .priority = 4}, 0);
  CHECK_TRUE(occurrences(head, "X-Chutevane-Time-Remaining: ") == 1 && occurrences(head, "riority: ") == 1);
  CHECK_TRUE(occurrences(head, "X-Chutevane-Target-Instance: i-1\r\n") == 1 && occurrences(head, "i-9") == 0);
  CHECK_TRUE(head.find("Accept: a\r\n") < head.find("Accept: b\r\n"));
}

// A malformed number is an error whose message names the header.
TEST(ClientRequestParsing, MalformedNumbers) {
  for (const char* malformed :
       {"-1", "abc", "", "5.5", "5 ms", "+5", "0x10", "99999999999999999999999", "5,5"}) {
    for (const char* name : {"X-Chutevane-Time-Remaining", "Budget"}) {
      const ParsedClientRequest parsed = read(host + name + ": " + malformed + "\r\n");
      CHECK_WHERE(parsed.error.find(name) == 0, std::string(name) + ": " + malformed);
    }
  }
  CHECK_TRUE(read(host + "X-Chutevane-Time-Remaining: 0\r\n").request.time_remaining == Span());
  CHECK_TRUE(read(host + "X-Chutevane-Time-Remaining:   25  \r\n").request.time_remaining == Span::ms(25));
  CHECK_TRUE(read(host + "Budget: 0\r\n").request.token_budget == 0);
}

// Malformed headers that only influence the choice of the endpoint are ignored and forwarded.
TEST(ClientRequestParsing, MalformedPromptBlocks) {
  for (const char* malformed : {"a", "a:", "a:b", ":5", "a:5,,b:6", "a:-5", "a:5,b", ","}) {
    const ParsedClientRequest parsed = read(host + "X-Chutevane-Prompt-Prefix: " + malformed + "\r\n");
    CHECK_WHERE(parsed.error.empty(), malformed);
    CHECK_WHERE(parsed.request.prompt.size() <= 1, malformed);
    CHECK_EQUAL(static_cast<std::size_t>(1), count(parsed.request, "X-Chutevane-Prompt-Prefix"));
  }
  std::string many;
  for (int i = 0; i < 1200; ++i) many += numbered("a", i) + ":1,";
  CHECK_TRUE(read(host + "X-Chutevane-Prompt-Prefix: " + many + "\r\n").request.prompt.size() <= 4096);
}

// The id of a block depends only on its name and the model.
TEST(ClientRequestParsing, BlocksHaveStableIds) {
  const ParsedClientRequest a = read(host + "X-Chutevane-Prompt-Prefix: aa:1,bb:2\r\n"),
                            b = read(host + "X-Chutevane-Prompt-Prefix: aa:7,cc:2\r\n");
  CHECK_TRUE(a.request.prompt[0].id == b.request.prompt[0].id &&
             a.request.prompt[1].id != b.request.prompt[1].id);
}

TEST_GROUP(RequestHeadFormatting){};

TEST(RequestHeadFormatting, ForwardsHeadersUnchanged) {
  const ParsedClientRequest parsed =
      read(host + "X-Chutevane-Attempt-Id: 9c41\r\nX-Odd:  a b \r\nX-Empty:\r\n", "bytes");
  const std::string head =
      format_request_head(parsed.request, {.endpoint_id = "i-7f3a91c2", .time_left = Span::ms(1234.9)}, 5);
  CHECK_TRUE(head.starts_with("POST /lohu930/2f?a=1&b=%20 HTTP/1.1\r\n") && head.ends_with("\r\n\r\n"));
  CHECK_EQUAL(static_cast<std::size_t>(1), occurrences(head, "\r\n\r\n"));
  for (const char* line : {"Host: ficu95.example\r\n", "X-Chutevane-Attempt-Id: 9c41\r\n", "X-Odd: a b\r\n",
                           "X-Empty: \r\n", "X-Chutevane-Target-Instance: i-7f3a91c2\r\n",
                           "X-Chutevane-Time-Remaining: 1234\r\n", "Content-Length: 5\r\n"})
    CHECK_WHERE(occurrences(head, line) == 1, line);
  CHECK_EQUAL(static_cast<std::size_t>(0), occurrences(head, "Priority"));
  // An endpoint parses the same request.
  std::string bytes = head + "bytes";
  http::Parser parser(http::Side::request, {});
  CHECK_TRUE(parser.feed(std::span<char>(bytes.data(), bytes.size())) == http::Progress::complete);
  CHECK_TRUE(parser.size() == bytes.size() && parser.body() == "bytes" &&
             parser.target() == parsed.request.target);
}

// The stated time never exceeds the time left, except for the minimum of 1 ms.
TEST(RequestHeadFormatting, TimeLeft) {
  const ParsedClientRequest parsed = read(host);
  for (const double ms : {0.0, -5.0, 0.4, 1.0, 1.9, 60000.0}) {
    const std::string head = format_request_head(
        parsed.request, {.endpoint_id = "i", .time_left = Span::ms(ms), .priority = 9}, 0);
    const auto want = std::max<long>(1, static_cast<long>(ms));
    CHECK_WHERE(occurrences(head, numbered("X-Chutevane-Time-Remaining: ", want) + "\r\n") == 1, head);
    CHECK_EQUAL(static_cast<std::size_t>(1), occurrences(head, "Priority: 9\r\n"));
  }
}

// Without a body, a GET has no Content-Length, and other methods state a length of 0.
TEST(RequestHeadFormatting, WithoutBody) {
  CHECK_EQUAL(static_cast<std::size_t>(0),
              occurrences(format_request_head(read(host, "", "GET /x HTTP/1.1").request,
                                              {.endpoint_id = "i", .time_left = Span::ms(1)}, 0),
                          "Content-Length"));
  CHECK_EQUAL(static_cast<std::size_t>(1),
              occurrences(format_request_head(read(host, "", "DELETE /x HTTP/1.1").request,
                                              {.endpoint_id = "i", .time_left = Span::ms(1)}, 0),
                          "Content-Length: 0\r\n"));
}

TEST_GROUP(ServerSentEvents) {
  // Feeds the stream in pieces split at the given offsets. Returns the complete events in order, and the
  // rest.
  static std::vector<std::string> split(const std::string& stream, const std::vector<std::size_t>& at,
                                        std::string* rest) {
    std::vector<std::string> result;
    std::string buffered;
    std::size_t from = 0;
    const auto feed_until = [&](std::size_t to) {
      buffered += stream.substr(from, to - from);
      from = to;
      for (std::size_t n = complete_event_size(buffered); n > 0; n = complete_event_size(buffered)) {
        result.push_back(buffered.substr(0, n));
        buffered.erase(0, n);
      }
    };
    for (const std::size_t one : at) feed_until(one);
    feed_until(stream.size());
    *rest = buffered;
    return result;
  }
  const std::vector<std::string> events = {"versions: 3\nid: 1\ndata: a b\n\n",
                                           "id: 2\ndata:c\ndata: d\n\n",
                                           "data: \n\n",
                                           ": note\nid: x\ndata: e\n\n",
                                           "id: 4\r\nevent: token\r\ndata: f: g\r\n\r\n",
                                           "id: 5\ndata: h\n\n"};
  std::string stream() const {
    std::string result;
    for (const std::string& e : events) result += e;
    return result;
  }
};

// Splitting the stream once or twice, at any byte, yields identical events.
TEST(ServerSentEvents, SplitAtEveryByte) {
  const std::string all = stream();
  std::string rest;
  for (std::size_t a = 0; a <= all.size(); ++a) {
    for (std::size_t b = a; b <= all.size(); b += 3) {
      CHECK_WHERE(split(all, {a, b}, &rest) == events && rest.empty(),
                  numbered("at ", a) + numbered(" and ", b));
    }
  }
  std::vector<std::size_t> every;
  for (std::size_t a = 0; a <= all.size(); ++a) every.push_back(a);
  CHECK_TRUE(split(all, every, &rest) == events && rest.empty());
}

// A truncated event is not returned.
TEST(ServerSentEvents, TruncatedAtEveryByte) {
  const std::string all = stream();
  for (std::size_t n = 0; n < all.size(); ++n) {
    std::string rest;
    const auto complete_events = split(all.substr(0, n), {}, &rest);
    std::string back;
    for (std::size_t i = 0; i < complete_events.size(); ++i) {
      CHECK_TRUE(complete_events[i] == events[i]);
      back += complete_events[i];
    }
    CHECK_TRUE(back + rest == all.substr(0, n) && complete_events.size() < events.size());
  }
}

// Each data line is followed by a line feed, as expected by the endpoint of the next turn.
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

// A very large remaining time must not overflow to a negative value.
TEST(ClientRequestTime, VeryLargeTimeDoesNotOverflow) {
  for (const char* ms : {"9223372036854775807", "9300000000000000", "1000000000000"}) {
    const ParsedClientRequest parsed = read(host + "X-Chutevane-Time-Remaining: " + ms + "\r\n");
    CHECK_WHERE(!parsed.error.empty() ||
                    (parsed.request.time_remaining && *parsed.request.time_remaining > Span::ms(1e6)),
                ms);
  }
}
