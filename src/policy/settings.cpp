/// Reads the deployment's settings: the rules, the tracks, and the capabilities of the platform.
#include <algorithm>
#include <string>

#include "base/mix_bits.hpp"
#include "policy/balancer_state.hpp"
#include "policy/policy_constants.hpp"

namespace chutevane {
namespace {

// Fraction of the response time spent at an endpoint that may call deeper tiers.
constexpr double unknown_own_time = 0.36;
constexpr double prior_value_samples = 5.0;  // weight, in calls, of the initial mean value of the tracks

Idempotency idempotency_of(const std::string& effect) {
  if (effect == "replayable") return Idempotency::idempotent;
  return effect == "referenced" ? Idempotency::keyed : Idempotency::non_idempotent;
}

RetryScope retry_scope_of(const std::string& group) {
  if (group == "all") return RetryScope::all;
  return group == "zone" ? RetryScope::zone : RetryScope::cell;
}

Track read_track(const SettingsReader& settings, int number) {
  const std::string prefix = "tracks." + std::to_string(number) + ".";
  Track track;
  track.latency_target = settings.span(prefix + "soft_limit_ms");
  track.client_timeout = settings.span(prefix + "client_timeout_ms");
  track.value = settings.number(prefix + "payoff");
  track.late_value = settings.number(prefix + "late_payoff");
  track.idempotency = idempotency_of(settings.text(prefix + "effect"));
  if (track.idempotency == Idempotency::keyed) {
    track.retry_scope = retry_scope_of(settings.text(prefix + "repeat_group"));
    track.idempotency_window = settings.span(prefix + "repeat_window_ms");
  }
  track.is_ordered_by_key = settings.flag_or_false(prefix + "in_turn");
  return track;
}

}  // namespace

Balancer::State::State(const Settings& deployment, std::uint64_t seed, TimePoint now)
    : settings(deployment), random(seed), weights(now) {
  is_first_tier = settings.number("tier") == 0;
  can_cancel = settings.flag("allowed.cancel");
  can_send_retry_after = settings.flag("allowed.retry_after");
  clients_mark_retries = settings.flag_or_false("client_habits.marks_retry");
  is_removal_binding = !settings.flag_or_false("rules.drain_binds_alone");
  must_subscribe = settings.text("discovery") == "subscribe";
  if (settings.has("zone") && settings.number_or("penalties.cross_zone", 0.0) > 0.0)
    own_zone = static_cast<int>(settings.number("zone"));
  sidecar_count = std::max(1.0, settings.number("sidecars"));
  // Sidecars without an index start at random ring positions. Otherwise all of them would prefer the same
  // endpoints.
  ring_position = settings.has("me") ? std::clamp(settings.number("me") / sidecar_count, 0.0, 1.0)
                                     : static_cast<double>(mix_bits(seed)) * 0x1p-64;
  can_publish_load = settings.flag_or_false("allowed.may_tell");
  expects_load_reports = settings.has("report.how") && settings.text("report.how") == "inline";
  is_only_tier = settings.has("layers") && settings.text("layers").find(',') == std::string::npos;
  has_warm_keys = settings.flag_or_false("extra.warm_keys");
  has_shared_connections = settings.number_or("allowed.streams_per_conn", 0.0) > 1.0;
  uses_subset = !has_shared_connections && !has_warm_keys && own_zone < 0 && sidecar_count > min_subset_size;
  slow_start_share = settings.number("rules.cold_share");
  slow_start_burst = settings.number("rules.fall_multiple");
  slow_start_window = settings.span("rules.fall_ms");
  slow_start_duration = settings.span("rules.warm_after_ms");
  max_retry_after = settings.span("allowed.max_retry_after_ms");
  max_dispatches = static_cast<std::uint8_t>(
      std::clamp(settings.number("allowed.max_dispatches"), 1.0, double{max_dispatches_of_call}));
  for (int i = 0; i < settings.number("tracks.count"); ++i) tracks.push_back(read_track(settings, i));
  unknown_end_delay = Span::ms(settings.number_or("rules.settle_after_doubt_ms", 0.0));
  if (settings.has("rules.resend_span_ms")) {
    retry_window = std::max(clock_granularity, settings.span("rules.resend_span_ms"));
    free_retries = settings.number_or("rules.budget_free", 0.0);
    retry_ratio = settings.number_or("rules.resend_ratio", 0.0);
    recent_calls = WindowedCount(retry_window);
  }
  if (tracks.empty())
    throw SettingError("tracks.count",
                       "expected at least one track, got '" + settings.text("tracks.count") + "'");
  for (const Track& track : tracks) mean_value += track.value / static_cast<double>(tracks.size());
  timeout_statistics.resize(tracks.size());
  next_look_at = next_limit_update_at = rate_measured_at = now;
  own_time_fraction = is_only_tier ? 1.0 : unknown_own_time;
  retry_tokens = max_retry_tokens;
  value_samples = prior_value_samples;
  subscribe_backoff = initial_subscribe_backoff;
  answers.reserve(64);
}

}  // namespace chutevane
