// What a deployment states, read once: rules, tracks, and what its platform permits.
#include "policy/shared.hpp"

namespace chutevane {

constexpr double own_unknown = 0.36;  // of an answer's time spent at the endpoint itself, if it does not tell
constexpr double payoff_prior = 5.0;  // calls that the tracks' mean counts for at the start

Balancer::State::State(const Settings& s, std::uint64_t seed, TimePoint now)
    : settings(s), chance(seed), shares(now) {
  first_tier = settings.number("tier") == 0;
  can_cancel = settings.flag("allowed.cancel");
  can_come_back = settings.flag("allowed.retry_after");
  marks_repeats = settings.flag_or_not("client_habits.marks_retry");
  gone_binds = !settings.flag_or_not("rules.drain_binds_alone");
  must_subscribe = settings.text("discovery") == "subscribe";
  if (settings.has("zone") && settings.number_or("penalties.cross_zone", 0.0) > 0.0)
    own_zone = static_cast<int>(settings.number("zone"));
  sidecars = std::max(1.0, settings.number("sidecars"));
  seat =
      settings.has("me") ? std::clamp(settings.number("me") / sidecars, 0.0, 1.0) : mix_bits(seed) * 0x1p-64;
  can_tell = settings.flag_or_not("allowed.may_tell");
  will_tell = settings.has("report.how") && settings.text("report.how") == "inline";
  one_layer = settings.has("layers") && settings.text("layers").find(',') == std::string::npos;
  warm_keys = settings.flag_or_not("extra.warm_keys");
  shared_connections = settings.number_or("allowed.streams_per_conn", 0.0) > 1.0;
  own_parts = !shared_connections && !warm_keys && own_zone < 0 && sidecars > arc_least;
  cold_share = settings.number("rules.cold_share");
  fall_multiple = settings.number("rules.fall_multiple");
  fall_window = settings.span("rules.fall_ms");
  warm_after = settings.span("rules.warm_after_ms");
  most_come_back = settings.span("allowed.max_retry_after_ms");
  most_dispatches =
      static_cast<std::uint8_t>(std::clamp(settings.number("allowed.max_dispatches"), 1.0, 8.0));
  for (int i = 0; i < settings.number("tracks.count"); ++i) {
    const std::string at = "tracks." + std::to_string(i) + ".";
    Track t;
    t.soft_limit = settings.span(at + "soft_limit_ms");
    t.client_timeout = settings.span(at + "client_timeout_ms");
    t.payoff = settings.number(at + "payoff");
    t.late_payoff = settings.number(at + "late_payoff");
    const std::string& effect = settings.text(at + "effect");
    t.effect = effect == "replayable"   ? Effect::replayable
               : effect == "referenced" ? Effect::referenced
                                        : Effect::single_use;
    if (t.effect == Effect::referenced) {
      const std::string& group = settings.text(at + "repeat_group");
      t.group = group == "all" ? Group::all : group == "zone" ? Group::zone : Group::cell;
      t.repeat_window = settings.span(at + "repeat_window_ms");
    }
    t.in_turn = settings.flag_or_not(at + "in_turn");
    tracks.push_back(t);
  }
  settle_after_doubt = Span::ms(settings.number_or("rules.settle_after_doubt_ms", 0.0));
  if (settings.has("rules.resend_span_ms")) {
    resend_span = std::max(clock_grain, settings.span("rules.resend_span_ms"));
    resend_free = settings.number_or("rules.budget_free", 0.0);
    resend_ratio = settings.number_or("rules.resend_ratio", 0.0);
    taken = WindowedCount(resend_span);
  }
  if (tracks.empty()) throw SettingError("tracks.count", "no track: '" + settings.text("tracks.count") + "'");
  for (const Track& t : tracks) payoff_mean += t.payoff / static_cast<double>(tracks.size());
  waits.resize(tracks.size());
  look_at = step_at = rate_since = now;
  own_part = one_layer ? 1.0 : own_unknown;
  retry_tokens = retry_depth;
  payoff_seen = payoff_prior;
  subscribe_pause = subscribe_first;
  answers.reserve(64);
}

}  // namespace chutevane
