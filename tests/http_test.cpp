/// HTTP/1.1 parser and writer, and the buffer that they use.
#include "../fuzz/http.hpp"

#include "base/pcg.hpp"
#include "helpers.hpp"
#include "http/parser.hpp"
#include "http/writer.hpp"

namespace chutevane::http {
namespace {

// Feeds one message byte by byte.
Progress feed_byte_by_byte(Parser& parser, std::string& bytes) {
  Progress p = Progress::more;
  for (std::size_t n = 1; n <= bytes.size() && p == Progress::more; ++n) p = parser.feed({bytes.data(), n});
  return p;
}

int error_status_of(std::string text, Side side = Side::request) {
  Parser parser(side);
  std::string whole = text;
  EXPECT_EQ(feed_byte_by_byte(parser, text), Progress::failed) << text;
  Parser again(side);
  EXPECT_EQ(again.feed({whole.data(), whole.size()}), Progress::failed);
  EXPECT_EQ(parser.status_of_error(), again.status_of_error());
  return parser.status_of_error();
}

TEST(Parser, RequestWithABody) {
  std::string text =
      "\r\nPOST /api?x=1 HTTP/1.1\r\nHost: h\r\nx-request-id:  ab \r\nContent-Length: 3\r\n\r\nabcNEXT";
  Parser parser(Side::request);
  EXPECT_EQ(feed_byte_by_byte(parser, text), Progress::complete);
  EXPECT_EQ(parser.method(), "POST");
  EXPECT_EQ(parser.target(), "/api?x=1");
  EXPECT_EQ(parser.find("X-Request-ID"), "ab");
  EXPECT_EQ(parser.body(), "abc");
  EXPECT_EQ(parser.size(), text.size() - 4);
  EXPECT_TRUE(parser.keep_alive());
}

TEST(Parser, ChunkedBodyIsDecoded) {
  std::string text =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: "
      "1\r\n\r\nrest";
  std::string whole = text;
  Parser byte_by_byte(Side::response), at_once(Side::response);
  EXPECT_EQ(feed_byte_by_byte(byte_by_byte, text), Progress::complete);
  EXPECT_EQ(byte_by_byte.body(), "abc0123456789");
  EXPECT_EQ(at_once.feed({whole.data(), whole.size()}), Progress::complete);
  EXPECT_EQ(at_once.body(), "abc0123456789");
  EXPECT_EQ(at_once.size(), whole.size() - 4);
}

TEST(Parser, PiecesDoNotDependOnHowAMessageIsSplit) {
  const std::string body = "0123456789abcdefghij0123456789", head = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string sized = head + "Content-Length: 30\r\n\r\n" + body;
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n14;x=\"y\"\r\n" + body.substr(0, 20) +
                              "\r\nA\r\n" + body.substr(20) + "\r\n0\r\nT: 1\r\nU: 2\r\n\r\n";
  for (std::size_t cut = 1; cut <= chunked.size(); ++cut) {
    EXPECT_EQ(fuzz::pieces(Side::request, sized, cut), body) << cut;
    EXPECT_EQ(fuzz::pieces(Side::request, chunked, cut), body) << cut;
  }
}

// A body in chunks takes the room of its decoded bytes while it arrives, and is the same however it is split.
TEST(Parser, FramingOfChunksTakesNoRoomInABuffer) {
  const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string message = head, body;
  for (int i = 0; i < 2000; ++i) {
    const std::string piece(i % 5 + 1, static_cast<char>('a' + i % 26));
    message += std::to_string(piece.size()) + ";ignored=extension\r\n" + piece + "\r\n";
    body += piece;
  }
  message += "0\r\ntrailer: dropped\r\n\r\n";
  constexpr std::size_t unparsed = 64;  // bytes: an incomplete chunk line
  for (const std::size_t read : {1, 2, 3, 7, 100, 4096}) {
    net::Buffer received;
    Parser parser(Side::request);
    std::size_t sent = 0;
    Progress progress = Progress::more;
    while (progress == Progress::more && sent < message.size()) {
      const std::string bytes = message.substr(sent, read);
      sent += bytes.size();
      received.append(bytes);
      progress = parser.feed(received);
      if (progress == Progress::more) {
        EXPECT_LE(received.size(), head.size() + parser.body().size() + unparsed);
      }
    }
    EXPECT_EQ(progress, Progress::complete);
    EXPECT_EQ(parser.body(), body);
    EXPECT_EQ(parser.size(), received.size());
  }
}

TEST(Parser, AbsoluteFormProvidesTheAuthority) {
  std::string text = "GET http://example:81/a?b HTTP/1.1\r\nHost: h\r\n\r\n",
              bare = "GET HTTP://x HTTP/1.1\r\n\r\n";
  Parser parser(Side::request), rooted(Side::request);
  EXPECT_EQ(feed_byte_by_byte(parser, text), Progress::complete);
  EXPECT_EQ(parser.target(), "/a?b");
  EXPECT_EQ(parser.authority(), "example:81");
  EXPECT_EQ(feed_byte_by_byte(rooted, bare), Progress::complete);
  EXPECT_EQ(rooted.target(), "/");
  EXPECT_EQ(error_status_of("GET http:///a HTTP/1.1\r\n\r\n"), 400);
  EXPECT_EQ(error_status_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;a\nb\r\nx"), 400);
}

// Guards against views of bytes that have moved: the read that detects the end of the connection may move
// them.
TEST(Parser, EndUsesTheCurrentAddressOfTheBytes) {
  std::string text = "HTTP/1.1 200 OK\r\nA: b\r\n\r\nabc", moved = text;
  Parser parser(Side::response);
  EXPECT_EQ(feed_byte_by_byte(parser, text), Progress::more);
  std::fill(text.begin(), text.end(), '?');
  EXPECT_EQ(parser.ended({moved.data(), moved.size()}), Progress::complete);
  EXPECT_EQ(parser.find("A"), "b");
  EXPECT_EQ(parser.body(), "abc");
}

TEST(Parser, BodyThatEndsWithTheConnection) {
  std::string text = "HTTP/1.0 200 OK\r\n\r\nabc";
  Parser parser(Side::response);
  EXPECT_EQ(feed_byte_by_byte(parser, text), Progress::more);
  EXPECT_EQ(parser.ended({text.data(), text.size()}), Progress::complete);
  EXPECT_EQ(parser.body(), "abc");
  EXPECT_FALSE(parser.keep_alive());
}

// Guards against accepting a truncated response as complete.
TEST(Parser, TruncatedBodyIsAnError) {
  std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
  Parser parser(Side::response);
  EXPECT_EQ(feed_byte_by_byte(parser, text), Progress::more);
  EXPECT_EQ(parser.ended({text.data(), text.size()}), Progress::failed);
}

TEST(Parser, ResponseToHeadHasNoBody) {
  std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
  Parser parser(Side::response);
  parser.reset(true);
  EXPECT_EQ(feed_byte_by_byte(parser, text), Progress::complete);
}

// Guards against request smuggling: two parsers that disagree on the end of a request.
TEST(Parser, ConflictingLengths) {
  EXPECT_EQ(error_status_of("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"), 400);
  EXPECT_EQ(error_status_of("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"),
            400);
  EXPECT_EQ(error_status_of("POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n"), 400);
  EXPECT_EQ(error_status_of("POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n"), 400);
  EXPECT_EQ(error_status_of("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n"), 400);
  EXPECT_EQ(error_status_of("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"), 501);
}

TEST(Parser, Malformed) {
  EXPECT_EQ(error_status_of("GET\r\n\r\n"), 400);
  EXPECT_EQ(error_status_of("GET / HTTP/1.1\r\nno colon\r\n\r\n"), 400);
  EXPECT_EQ(error_status_of("GET / HTTP/1.1\r\nSpace : x\r\n\r\n"), 400);
  EXPECT_EQ(error_status_of("GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n"), 400);
  EXPECT_EQ(error_status_of("GET / HTTP/1.1\r\nA: b\nB: c\r\n\r\n"), 400);
  EXPECT_EQ(error_status_of("GET /a\x01 HTTP/1.1\r\n\r\n"), 400);
  EXPECT_EQ(error_status_of("GET / HTTP/2.0\r\n\r\n"), 505);
  EXPECT_EQ(error_status_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"), 400);
  EXPECT_EQ(error_status_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc"), 400);
  EXPECT_EQ(error_status_of("HTTP/1.1 2x0 OK\r\n\r\n", Side::response), 400);
}

TEST(Parser, LimitsExceeded) {
  EXPECT_EQ(error_status_of("GET / HTTP/1.1\r\nA: " + std::string(20000, 'a')), 431);
  std::string many = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 101; ++i) many += "A: b\r\n";
  EXPECT_EQ(error_status_of(many + "\r\n"), 431);
  EXPECT_EQ(error_status_of("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), 413);
  EXPECT_EQ(error_status_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"), 413);
}

// For corrupted input, the parser stays within the bytes, and its result does not depend on how they are
// split.
TEST(Parser, CorruptedInput) {
  const std::string whole[] = {"POST /api HTTP/1.1\r\nA: b\r\nContent-Length: 3\r\n\r\nabc",
                               "POST /api HTTP/1.1\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n3\r\nabc\r\n11;e\r\n0123456789abcdefg\r\n0\r\n\r\n"};
  Pcg random(1);
  for (int round = 0; round < 4000; ++round) {
    std::string text = whole[round & 1];
    for (int n = 0; n < 1 + round % 3; ++n)
      text[random.next() % text.size()] = static_cast<char>(random.next());
    std::string copy = text;
    Parser slow(Side::request), fast(Side::request);
    const Progress a = feed_byte_by_byte(slow, text), b = fast.feed({copy.data(), copy.size()});
    ASSERT_EQ(a, b) << text;
    const bool complete = a == Progress::complete;
    ASSERT_EQ(complete ? slow.body() : slow.error(), complete ? fast.body() : fast.error()) << text;
  }
}

TEST(Parser, TokensInLists) {
  EXPECT_TRUE(has_token("keep-alive, Close", "close"));
  EXPECT_FALSE(has_token("closed", "close"));
}

TEST(Writer, StatusLineFieldsAndBody) {
  net::Buffer out;
  Writer(out).status_line(503).field("Retry-After", "2.000").body("no");
  const std::span<char> b = out.bytes();
  EXPECT_EQ(std::string(b.data(), b.size()),
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2.000\r\nContent-Length: 2\r\n\r\nno");
}

TEST(Buffer, IsCompactedInPlace) {
  net::Buffer b;
  b.append(std::string(100, 'x'));
  b.consume(60);
  b.append(std::string(50, 'y'));
  const std::span<char> held = b.bytes();
  EXPECT_EQ(std::string(held.data(), held.size()), std::string(40, 'x') + std::string(50, 'y'));
}

}  // namespace
}  // namespace chutevane::http
