/// The simulator protocol: errors in frames state their offset, events are decoded, and actions are encoded.
#include "config/setting_names.hpp"
#include "helpers.hpp"
#include "simulator_protocol/action_frame.hpp"
#include "simulator_protocol/event_frame.hpp"
#include "simulator_protocol/settings_text.hpp"

namespace chutevane::simulator_protocol {
namespace {

using Bytes = std::vector<std::uint8_t>;

Bytes frame(std::uint8_t code, std::uint32_t count = 1, std::size_t records = 1) {
  Bytes b(header_size + records * 48);
  b[0] = static_cast<std::uint8_t>(b.size());
  b[4] = static_cast<std::uint8_t>(count);
  if (records > 0) b[header_size] = code;
  return b;
}

std::size_t error_byte(const Bytes& b) {
  try {
    (void)EventFrame(b).event(0);
  } catch (const FrameError& e) {
    return e.byte;
  }
  return std::string::npos;
}

TEST(EventFrame, ATruncatedFrameIsAnError) {
  Bytes b = frame(9);
  b.resize(40);
  EXPECT_EQ(error_byte(b), 40U);
}

TEST(EventFrame, ATooLargeRecordCountIsAnError) { EXPECT_EQ(error_byte(frame(9, 2)), 4U); }

TEST(EventFrame, AnUnknownCodeIsAnError) { EXPECT_EQ(error_byte(frame(77)), header_size); }

TEST(EventFrame, ATailReferenceOutOfRangeIsAnError) {
  Bytes b = frame(0);
  b[header_size + 15] = 5;  // a text of five bytes, without a tail
  EXPECT_EQ(error_byte(b), header_size + 11);
}

TEST(EventFrame, AnUnknownDispositionIsAnError) {
  Bytes b = frame(4);
  b[header_size + 20] = 99;
  EXPECT_EQ(error_byte(b), header_size + 20);
}

TEST(EventFrame, ACallIsDecoded) {
  Bytes b = frame(2);
  const std::uint8_t record[] = {0x02, 0x03, 0x00, 0xc4, 0x91, 0x3a, 0x5d, 0x40, 0x47, 0x04,
                                 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x6e, 0x40};
  std::copy(std::begin(record), std::end(record), b.begin() + header_size);
  const Event e = EventFrame(b).event(0);
  EXPECT_EQ(e.instance, 3);
  EXPECT_EQ(e.call.id, 0x0447405d3a91c4U);
  EXPECT_EQ(e.call.time_left, Span::ms(240));
}

TEST(ActionFrame, ADispatchIsEncoded) {
  ActionFrame r;
  r.clear();
  Answer a;
  a.verdict = Verdict::dispatch;
  a.call = 0x0447405d3a91c4U;
  a.span = Span::ms(80);
  a.endpoint = 0x2bc3074a120aU;
  r.add_answer(3, a);
  const auto got = r.finish();
  const Bytes want = {0x46, 0x03, 0x00, 0xc4, 0x91, 0x3a, 0x5d, 0x40, 0x47, 0x04, 0x00, 0x00, 0x00,
                      0x00, 0x00, 0x00, 0x00, 0x54, 0x40, 0x0a, 0x12, 0x4a, 0x07, 0xc3, 0x2b};
  EXPECT_EQ(Bytes(got.begin() + 8, got.begin() + 8 + static_cast<long>(want.size())), want);
  EXPECT_EQ(got.size(), 40U);
}

TEST(SettingsText, NamesAreTranslatedBetweenTheProtocolAndThisProject) {
  const Settings s = parse_settings("classes.0.give_up_ms=1500.0\nclasses.0.effect=unsafe\nodd=1\n");
  EXPECT_EQ(s.at("tracks.0.client_timeout_ms"), "1500.0");
  EXPECT_EQ(s.at("tracks.0.effect"), "single-use");
  EXPECT_EQ(s.at("odd"), "1");
  EXPECT_EQ(config::platform_name("tracks.0.client_timeout_ms"), "classes.0.give_up_ms");
}

TEST(EventFrame, PublishedDataSurvivesARoundTrip) {
  ActionFrame reply;
  Answer a;
  a.verdict = Verdict::publish_load, a.endpoint = 0x2bc3074a120aU, a.number = 77;
  reply.clear();
  reply.add_answer(3, a);
  const auto sent = reply.finish();
  Bytes b = frame(8);
  b[header_size + 11] = 8;
  b.insert(b.end(), sent.end() - 8, sent.end());
  b[0] = static_cast<std::uint8_t>(b.size());
  const Event e = EventFrame(b).event(0);
  EXPECT_EQ(e.end.endpoint, a.endpoint);
  EXPECT_EQ(e.token, 77U);
}

TEST(ActionFrame, ADispatchOnANewConnectionClosesIdleOnesFirst) {
  ActionFrame reply;
  Answer a;
  a.verdict = Verdict::dispatch, a.needs_new_connection = true;
  reply.clear();
  reply.add_answer(3, a);
  const auto sent = reply.finish();
  ASSERT_EQ(sent.size(), 8U + 2 * 32U);
  EXPECT_EQ(sent[8], 74);
  EXPECT_EQ(sent[8 + 32], 70);
}

}  // namespace
}  // namespace chutevane::simulator_protocol
