#include "config/config.hpp"

#include "config/setting_names.hpp"
#include "helpers.hpp"

namespace chutevane::config {
namespace {

std::string key_of_error(const std::string& text) {
  try {
    read(text, [](const char*) -> const char* { return nullptr; });
  } catch (const ConfigError& e) {
    return e.key;
  }
  return "";
}

std::string with(const std::string& from, const std::string& to) {
  std::string text = config_text();
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(Config, IsReadUnderOurNames) {
  const Config c = read(config_text(), [](const char*) -> const char* { return nullptr; });
  EXPECT_EQ(c.seed, 0x8c1fU);
  EXPECT_EQ(c.max_descriptors, 1024U);
  EXPECT_EQ(c.settings.at("tracks.count"), "2");
  EXPECT_EQ(c.settings.at("tracks.0.effect"), "replayable");
  EXPECT_EQ(c.settings.at("zones"), "a,b");
  EXPECT_EQ(c.settings.at("zone"), "1");  // given by its name
  EXPECT_EQ(c.connect_timeout, Span::ms(250));
  EXPECT_EQ(c.max_client_timeout, Span::ms(4000));
  ASSERT_EQ(c.known_endpoints.entries.size(), 1U);
}

TEST(Config, TheEnvironmentFillsWhatTheFileLacks) {
  const auto env = [](const char* name) {
    return std::string(name) == "EDGE_LISTEN" ? "127.0.0.9:1" : nullptr;
  };
  EXPECT_EQ(read(with("\"listen\"", "\"-\""), env).listen, "127.0.0.9:1");
}

// Guards against a sidecar that starts on a guess, or ends without saying on what.
TEST(Config, NamesTheFaultyKey) {
  EXPECT_EQ(key_of_error("{"), "configuration");
  EXPECT_EQ(key_of_error("[]"), "configuration");
  EXPECT_EQ(key_of_error(with("\"listen\"", "\"-\"")), "listen");
  EXPECT_EQ(key_of_error(with("127.0.0.1:2", "nowhere")), "discovery");
  EXPECT_EQ(key_of_error(with("8c1f", "8c1g")), "seed");
  EXPECT_EQ(key_of_error(with("1024", "3")), "limits.sockets");
  EXPECT_EQ(key_of_error(with("\"sockets\":1024", "\"request_ms\":\"soon\"")), "limits.request_ms");
  EXPECT_EQ(key_of_error(with("\"sockets\":1024", "\"caller_idle_ms\":0")), "limits.caller_idle_ms");
  EXPECT_EQ(key_of_error(with("SERVING", "UP")), "known");
  EXPECT_EQ(key_of_error(with("\"settings\"", "\"-\"")), "settings");
  EXPECT_EQ(key_of_error(with("\"give_up_ms\":4000", "\"give_up_ms\":\"soon\"")),
            "settings.classes.0.give_up_ms");
  EXPECT_EQ(key_of_error(with("\"connect_timeout_ms\":250", "\"connect_timeout_ms\":0")),
            "settings.allowed.connect_timeout_ms");
  EXPECT_EQ(key_of_error(with("\"idle_close_ms\"", "\"-\"")), "settings.allowed.idle_close_ms");
  EXPECT_EQ(key_of_error(with("\"name\":\"plan\"", "\"-\":0")), "settings.classes.0.name");
}

TEST(Config, NamesWhatWaitsForAStart) {
  const Config before = read(config_text(), no_environment);
  EXPECT_EQ(keys_needing_restart(before, read(config_text("127.0.0.1:9"), no_environment)), "");
  const Config after = read(with("\"sockets\":1024", "\"sockets\":512"), no_environment);
  EXPECT_EQ(keys_needing_restart(before, after), "limits.sockets");
  EXPECT_EQ(keys_needing_restart(before, read(with("\"n0\"", "\"n1\""), no_environment)), "name");
  EXPECT_EQ(keys_needing_restart(before, read(with("\"tier\":0", "\"tier\":1"), no_environment)), "settings");
}

TEST(Names, GoBothWays) {
  Settings s;
  put_setting(s, "classes.0.give_up_ms", "5");
  put_setting(s, "classes.0.effect", "keyed");
  EXPECT_EQ(s.at("tracks.0.client_timeout_ms"), "5");
  EXPECT_EQ(s.at("tracks.0.effect"), "referenced");
  EXPECT_EQ(platform_name("tracks.0.client_timeout_ms"), "classes.0.give_up_ms");
}

// What the module takes a default for must not be taken for one when it is wrong.
TEST(Config, OptionalSettingsAreChecked) {
  const auto key = [](const std::string& setting) {
    return key_of_error(with("\"tier\":0", "\"tier\":0," + setting));
  };
  EXPECT_EQ(key("\"me\":0"), "");
  EXPECT_EQ(key("\"me\":1"), "settings.me");  // of one
  EXPECT_EQ(key("\"extra\":{\"warm_keys\":\"yes\"}"), "settings.extra.warm_keys");
  EXPECT_EQ(key("\"report\":{\"how\":\"loudly\"}"), "settings.report.how");
  EXPECT_EQ(key_of_error(with("\"probes\":false", "\"streams_per_conn\":0")),
            "settings.allowed.streams_per_conn");
  EXPECT_EQ(key_of_error(with("\"probes\":false", "\"may_tell\":7")), "settings.allowed.may_tell");
  EXPECT_EQ(key_of_error(with("\"fall_ms\"", "\"resend_span_ms\":0,\"fall_ms\"")),
            "settings.rules.resend_span_ms");
  EXPECT_EQ(key_of_error(with("\"fall_ms\"", "\"budget_free\":2,\"fall_ms\"")), "settings.rules.budget_free");
  EXPECT_EQ(key_of_error(with("\"fall_ms\"", "\"drain_binds_alone\":1,\"fall_ms\"")),
            "settings.rules.drain_binds_alone");
  EXPECT_EQ(key_of_error(with("\"fall_ms\"", "\"settle_after_doubt_ms\":-1,\"fall_ms\"")),
            "settings.rules.settle_after_doubt_ms");
  EXPECT_EQ(key_of_error(with("\"name\":\"plan\"", "\"name\":\"plan\",\"in_turn\":1")),
            "settings.classes.0.in_turn");
  EXPECT_EQ(key_of_error(with("\"listen\"", "\"state\":\"\",\"listen\"")), "state");
  EXPECT_EQ(key_of_error(with("\"listen\"", "\"restart\":7,\"listen\"")), "restart");
  EXPECT_EQ(key_of_error(with("\"listen\"", "\"restart\":{\"snapshot_ms\":5},\"listen\"")),
            "restart.snapshot_ms");
  EXPECT_EQ(key_of_error(with("\"listen\"", "\"restart\":{\"ask_over_ms\":-1},\"listen\"")),
            "restart.ask_over_ms");
  EXPECT_EQ(key_of_error(with("\"listen\"", "\"restart\":{\"part_with_per_s\":2},\"listen\"")),
            "restart.part_with_per_s");
}

}  // namespace
}  // namespace chutevane::config
