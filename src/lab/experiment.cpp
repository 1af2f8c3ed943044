#include "lab/experiment.hpp"

#include <algorithm>
#include <iterator>

#include "toml/table_reader.hpp"

namespace chutevane::lab {
namespace {

using Errors = toml_reader::ErrorList;
using Table = toml_reader::TableReader;
template <class E>
using Word = toml_reader::EnumName<E>;

constexpr std::size_t file_most = 1U << 20U;  // bytes: no experiment written by hand is longer
constexpr int endpoints_most = 200;           // of a tier: their addresses are one byte

constexpr Word<FaultKind> fault_words[] = {{"silent", FaultKind::silent},
                                           {"slow", FaultKind::slow},
                                           {"neighbour", FaultKind::neighbour},
                                           {"refused", FaultKind::refused},
                                           {"reset-before", FaultKind::reset_before},
                                           {"reset-amid", FaultKind::reset_amid},
                                           {"reset-after", FaultKind::reset_after},
                                           {"reset-answer", FaultKind::reset_answer},
                                           {"half-answer", FaultKind::half_answer},
                                           {"spoilt", FaultKind::spoilt},
                                           {"doubled", FaultKind::doubled},
                                           {"error", FaultKind::error},
                                           {"end", FaultKind::end},
                                           {"restart", FaultKind::restart},
                                           {"release", FaultKind::release},
                                           {"zone-lost", FaultKind::zone_lost},
                                           {"sidecar-killed", FaultKind::sidecar_killed},
                                           {"sidecar-drained", FaultKind::sidecar_drained},
                                           {"discovery-silent", FaultKind::discovery_silent},
                                           {"discovery-late", FaultKind::discovery_late},
                                           {"discovery-broken", FaultKind::discovery_broken},
                                           {"discovery-truncated", FaultKind::discovery_truncated},
                                           {"burst", FaultKind::burst},
                                           {"sidecar-stopped", FaultKind::sidecar_stopped},
                                           {"sidecar-loop", FaultKind::sidecar_loop},
                                           {"state-lost", FaultKind::state_lost},
                                           {"state-torn", FaultKind::state_torn},
                                           {"state-old", FaultKind::state_old},
                                           {"state-swapped", FaultKind::state_swapped},
                                           {"state-refused", FaultKind::state_refused},
                                           {"partition", FaultKind::partition},
                                           {"slow-link", FaultKind::slow_link},
                                           {"capped-link", FaultKind::capped_link},
                                           {"held-link", FaultKind::held_link},
                                           {"cut", FaultKind::cut},
                                           {"lost-end", FaultKind::lost_end}};
static_assert(std::size(fault_words) == fault_kinds);
constexpr Word<TrackEffect> effect_words[] = {{"replayable", TrackEffect::replayable},
                                              {"referenced", TrackEffect::referenced},
                                              {"single-use", TrackEffect::single_use}};
constexpr Word<Scope> scope_words[] = {{"all", Scope::all}, {"zone", Scope::zone}, {"cell", Scope::cell}};
constexpr Word<Distribution::Kind> draw_words[] = {{"fixed", Distribution::Kind::fixed},
                                                   {"exponential", Distribution::Kind::exponential},
                                                   {"lognormal", Distribution::Kind::lognormal},
                                                   {"pareto", Distribution::Kind::pareto}};
constexpr Word<WayTo> link_words[] = {
    {"endpoints", WayTo::endpoints}, {"callers", WayTo::callers}, {"discovery", WayTo::discovery}};
constexpr Word<Heading> heading_words[] = {
    {"both", Heading::both}, {"to-sidecar", Heading::to_sidecar}, {"from-sidecar", Heading::from_sidecar}};
constexpr Word<bool> arrival_words[] = {{"poisson", false}, {"even", true}};

Distribution read_distribution(Table& of) {
  Distribution out;
  out.kind = of.word<Distribution::Kind>("draw", draw_words, Distribution::Kind::lognormal);
  out.mean = of.number("mean_ms", std::nullopt, 0.0, 60000.0);
  const bool pareto = out.kind == Distribution::Kind::pareto;
  out.spread = of.number("spread", pareto ? 2.5 : 0.5, pareto ? 1.1 : 0.0, pareto ? 20.0 : 3.0);
  return out;
}

void read_callers(Table& t, CallersSpec& out) {
  out.keys = t.whole("keys", 0, 0, 1000000);
  out.rate = t.number("rate", std::nullopt, 0.1, 1e6);
  out.even = t.word<bool>("arrivals", arrival_words, false);
  out.connections = t.whole("connections", out.connections, 1, 20000);
  out.spread = t.flag("spread", out.spread);
  out.repeats = t.whole("repeats", out.repeats, 0, 10);
  out.repeat_after = t.span("repeat_after_ms", 100.0);
  out.marks_repeats = t.flag("marks_repeats", out.marks_repeats);
  out.leave_share = t.number("leave_share", 0.0, 0.0, 1.0);
  out.request_bytes = static_cast<std::size_t>(t.whole("request_bytes", 100, 0, 60000));
  out.idle = t.span("idle_ms", 30000.0, 1.0);
}

TrackSpec read_track(Table& t) {
  TrackSpec out;
  out.name = t.text("name", std::nullopt);
  out.share = t.number("share", 1.0, 0.0, 1e6);
  out.effect = t.word<TrackEffect>("effect", effect_words, TrackEffect::replayable);
  out.payoff = t.number("payoff", 1.0, 0.0, 1e6);
  out.late_payoff = t.number("late_payoff", 0.0, 0.0, 1.0);
  out.client = t.text("client", "");
  out.in_turn = t.flag("in_turn", false);
  out.soft_limit = t.span("soft_limit_ms", std::nullopt, 1.0);
  out.client_timeout = t.span("client_timeout_ms", std::nullopt, 1.0);
  if (out.soft_limit > out.client_timeout) t.wrong("soft_limit_ms", "longer than client_timeout_ms");
  out.scope = t.word<Scope>("repeat_group", scope_words, Scope::all);
  out.remembered = t.span("repeat_window_ms", 10000.0);
  return out;
}

TierSpec read_tier(Table& t, bool first) {
  TierSpec out;
  out.name = t.text("name", std::nullopt);
  out.endpoints = t.whole("endpoints", std::nullopt, 1, endpoints_most);
  out.sidecars = t.whole("sidecars", first ? 1 : 0, first ? 1 : 0, endpoints_most);
  out.zones = t.texts("zones", {"a"});
  out.cells = t.whole("cells", 1, 1, 1000);
  out.machine.cores = t.whole("cores", 4, 1, 1024);
  out.machine.queue = static_cast<std::size_t>(t.whole("queue", 100, 0, 100000));
  out.connect_cost_ms = t.number("connect_cost_ms", 0.0, 0.0, 1000.0);
  out.connections = t.whole("connections", 1000, 1, 100000);
  out.idle_close = t.span("idle_close_ms", 10000.0, 10.0);
  out.list_delay = t.span("list_delay_ms", 500.0);
  out.carries_per_s = t.number("carries_per_s", 0.0, 0.0, 1e9);
  out.calls_next = t.whole("calls_next", 1, 0, 20);
  out.answer_bytes = static_cast<std::size_t>(t.whole("answer_bytes", 200, 0, 60000));
  if (const toml::table* work = t.table("work")) {
    Table w(*work, t.under("work"), t.errors());
    out.work = read_distribution(w);
    if (const toml::table* by_track = w.table("track")) {
      for (const auto& [key, node] : *by_track) {
        const std::string name(key.str());
        if (!node.is_table()) {
          t.errors().add(node, t.under("work.track") + name, "no table");
          continue;
        }
        Table one(*node.as_table(), t.under("work.track." + name), t.errors());
        out.work_by_track[name] = read_distribution(one);
      }
    }
  } else {
    t.wrong("work", "missing");
  }
  return out;
}

bool needs_span(FaultKind kind) {
  if (kind >= FaultKind::state_lost && kind <= FaultKind::state_swapped) return false;
  if (kind == FaultKind::cut || kind == FaultKind::lost_end) return false;
  return kind != FaultKind::end && kind != FaultKind::restart && kind != FaultKind::release &&
         kind != FaultKind::sidecar_killed && kind != FaultKind::sidecar_drained;
}

FaultSpec read_fault(Table& t) {
  FaultSpec out;
  out.kind = t.word<FaultKind>("kind", fault_words, std::nullopt);
  out.tier = t.text("tier", "");
  out.at = t.span("at_ms", std::nullopt);
  out.lasts = t.span("for_ms", needs_span(out.kind) ? std::nullopt : std::optional<double>(0.0));
  out.endpoints = t.whole("endpoints", 1, 1, endpoints_most);
  out.zone = t.text("zone", "");
  out.factor = t.number("factor", 3.0, 0.01, 1000.0);
  out.part = t.number("part", 0.5, 0.0, 1.0);
  out.probability = t.number("probability", 1.0, 0.0, 1.0);
  out.down = t.span("down_ms", 1000.0);
  out.delay = t.span("delay_ms", 2000.0);
  out.drain = t.span("drain_ms", 1000.0);
  out.every = t.span("every_ms", 2000.0, 100.0);
  out.age = t.span("age_ms", 3600000.0);
  out.spread = t.span("spread_ms", 0.0);
  out.link = t.word<WayTo>("link", link_words, WayTo::endpoints);
  out.heading = t.word<Heading>("direction", heading_words, Heading::both);
  out.far = t.whole("far", 0, 0, endpoints_most);
  out.bytes_per_s = t.number("bytes_per_s", 100000.0, 100.0, 1e9);
  if (out.kind == FaultKind::zone_lost && out.zone.empty()) t.wrong("zone", "missing");
  return out;
}

// What no single key tells.
void check_whole(Experiment& e, const std::vector<const toml::table*>& tiers,
                 const std::vector<const toml::table*>& tracks, const std::vector<const toml::table*>& faults,
                 Errors& errors) {
  const auto names = [&](const auto& list, const auto& tables, const char* what) {
    for (std::size_t i = 0; i < list.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        if (list[i].name == list[j].name) errors.add(*tables[i], what, "'" + list[i].name + "' comes twice");
      }
    }
  };
  names(e.tiers, tiers, "tier.name");
  names(e.tracks, tracks, "track.name");
  double shares = 0.0;
  for (const TrackSpec& t : e.tracks) shares += t.share;
  if (!e.tracks.empty() && shares <= 0.0) errors.add(*tracks.front(), "track.share", "all shares are zero");
  for (std::size_t i = 0; i < e.tiers.size(); ++i) {
    for (const auto& [name, work] : e.tiers[i].work_by_track) {
      if (std::none_of(e.tracks.begin(), e.tracks.end(), [&](const auto& t) { return t.name == name; }))
        errors.add(*tiers[i], "tier.work.track." + name, "no track of that name");
    }
  }
  for (std::size_t i = 0; i < e.faults.size(); ++i) {
    FaultSpec& f = e.faults[i];
    const std::size_t at = e.tier_at(f.tier);
    if (at == e.tiers.size()) {
      errors.add(*faults[i], "fault.tier", "no tier '" + f.tier + "'");
      continue;
    }
    const auto& zones = e.tiers[at].zones;
    if (!f.zone.empty() && std::find(zones.begin(), zones.end(), f.zone) == zones.end())
      errors.add(*faults[i], "fault.zone", "tier '" + e.tiers[at].name + "' has no zone '" + f.zone + "'");
    const bool of_state = f.kind >= FaultKind::state_lost && f.kind <= FaultKind::state_refused;
    if (of_state && !e.restart.state) errors.add(*faults[i], "fault.kind", "only with restart.state = true");
    if (e.pools && (of_state || breaks_ways(f.kind)))
      errors.add(*faults[i], "fault.kind", "not with pools = true");
    // A release is over when the last endpoint's successor is started.
    if (f.kind == FaultKind::release) f.lasts = (f.drain + f.down) * e.tiers[at].endpoints;
    if (f.at + f.lasts > e.lasts)
      errors.add(*faults[i], "fault.for_ms",
                 "ends after the experiment, which lasts " +
                     std::to_string(static_cast<long>(e.lasts.as_ms())) + " ms");
  }
}

}  // namespace

bool breaks_ways(FaultKind kind) { return kind >= FaultKind::partition; }

std::string_view name_of(FaultKind kind) {
  return std::find_if(std::begin(fault_words), std::end(fault_words),
                      [&](const auto& w) { return w.value == kind; })
      ->text;
}

std::size_t Experiment::tier_at(std::string_view wanted) const {
  if (wanted.empty()) return 0;
  std::size_t i = 0;
  while (i < tiers.size() && tiers[i].name != wanted) ++i;
  return i;
}

Experiment read_experiment(const toml::table& root, Errors& errors) {
  Experiment out;
  std::vector<const toml::table*> tracks, tiers, faults;
  {
    Table t(root, "", errors);
    out.name = t.text("name", std::nullopt);
    out.seed = static_cast<std::uint64_t>(t.number("seed", 1.0, 0.0, 1e15));
    out.settle = t.span("settle_ms", 1000.0);
    out.lasts = t.span("lasts_ms", 10000.0, 100.0);
    out.pools = t.flag("pools", false);
    out.service = t.text("service", "");
    if (!out.service.empty() && !out.pools) t.wrong("service", "only with pools = true");
    out.lateness_bound = t.span("lateness_bound_ms", 25.0, 0.1);
    if (const toml::table* callers = t.table("callers")) {
      Table c(*callers, "callers.", errors);
      read_callers(c, out.callers);
    } else {
      t.wrong("callers", "missing");
    }
    if (const toml::table* rules = t.table("rules")) {
      Table r(*rules, "rules.", errors);
      out.rules.drain_grace = r.span("drain_grace_ms", out.rules.drain_grace.as_ms());
      out.rules.cold_share = r.number("cold_share", out.rules.cold_share, 0.01, 1.0);
      out.rules.fall_multiple = r.number("fall_multiple", out.rules.fall_multiple, 1.0, 100.0);
      out.rules.fall_window = r.span("fall_ms", out.rules.fall_window.as_ms(), 1.0);
      out.rules.warm_after = r.span("warm_after_ms", out.rules.warm_after.as_ms(), 1.0);
      out.rules.slack = r.span("slack_ms", out.rules.slack.as_ms());
      out.rules.settle_after_doubt = r.span("settle_after_doubt_ms", 0.0);
      out.rules.budget_free = r.number("budget_free", 0.0, 0.0, 1e6);
      out.rules.resend_ratio = r.number("resend_ratio", 0.0, 0.0, 1e3);
      out.rules.resend_span = r.span("resend_span_ms", 0.0);
    }
    if (const toml::table* allowed = t.table("allowed")) {
      Table a(*allowed, "allowed.", errors);
      out.allowed.cancel = a.flag("cancel", out.allowed.cancel);
      out.allowed.copies = a.flag("second_copies", out.allowed.copies);
      out.allowed.retry_after = a.flag("retry_after", out.allowed.retry_after);
      out.allowed.most_retry_after = a.span("max_retry_after_ms", out.allowed.most_retry_after.as_ms());
      out.allowed.dispatches = a.whole("max_dispatches", out.allowed.dispatches, 1, 8);
      out.allowed.connect_timeout = a.span("connect_timeout_ms", out.allowed.connect_timeout.as_ms(), 1.0);
    }
    if (const toml::table* restart = t.table("restart")) {
      Table r(*restart, "restart.", errors);
      out.restart.state = r.flag("state", false);
      out.restart.snapshot_every = r.span("snapshot_ms", 1000.0, 100.0);
      out.restart.part_with = r.number("part_with_per_s", 0.0, 0.0, 1.0);
      out.restart.ask_over = r.span("ask_over_ms", 0.0);
    }
    tracks = t.tables("track");
    tiers = t.tables("tier");
    faults = t.tables("fault");
    if (tracks.empty()) t.wrong("track", "missing");
    if (tiers.empty()) t.wrong("tier", "missing");
  }
  for (const toml::table* one : tracks) {
    Table t(*one, "track.", errors);
    out.tracks.push_back(read_track(t));
  }
  for (const toml::table* one : tiers) {
    Table t(*one, "tier.", errors);
    out.tiers.push_back(read_tier(t, out.tiers.empty()));
    out.tiers.back().machine.cold_share = out.rules.cold_share;
    out.tiers.back().machine.warm_after = out.rules.warm_after;
  }
  for (const toml::table* one : faults) {
    Table t(*one, "fault.", errors);
    out.faults.push_back(read_fault(t));
  }
  if (!out.tiers.empty() && !out.tracks.empty()) check_whole(out, tiers, tracks, faults, errors);
  return out;
}

toml::table parse_experiment(std::string_view text, const std::string& file) {
  try {
    return toml_reader::parse(text, file, file_most);
  } catch (const toml_reader::ParseError& e) {
    throw ExperimentError(e.what());
  }
}

Experiment read_experiment(std::string_view text, const std::string& file) {
  const toml::table root = parse_experiment(text, file);
  Errors errors{file, ""};
  Experiment out = read_experiment(root, errors);
  if (!errors.lines.empty()) throw ExperimentError(errors.lines);
  return out;
}

Experiment load_experiment(const std::string& file) {
  const std::optional<std::string> text = toml_reader::read_file(file, file_most);
  if (!text) throw ExperimentError(file + ":1:1: file: cannot be read");
  return read_experiment(*text, file);
}

}  // namespace chutevane::lab
