#include "sidecar_simulation/scenario.hpp"

#include <algorithm>
#include <cstdio>

namespace chutevane::sidecar_simulation {
namespace {

using Errors = toml_reader::ErrorList;
using Table = toml_reader::TableReader;
template <class E>
using Word = toml_reader::EnumName<E>;

constexpr std::size_t max_file_size = 1U << 20U;  // bytes

constexpr Word<InfrastructureFaultKind> infrastructure_fault_names[] = {
    {"partition", InfrastructureFaultKind::partition},
    {"cut", InfrastructureFaultKind::cut},
    {"lost-end", InfrastructureFaultKind::lost_end},
    {"slow-link", InfrastructureFaultKind::slow_link},
    {"sidecar-paused", InfrastructureFaultKind::sidecar_paused},
    {"endpoint-paused", InfrastructureFaultKind::endpoint_paused},
    {"discovery-paused", InfrastructureFaultKind::discovery_paused},
    {"callers-paused", InfrastructureFaultKind::callers_paused},
    {"power-lost", InfrastructureFaultKind::power_lost},
    {"reload", InfrastructureFaultKind::reload},
    {"reload-wrong", InfrastructureFaultKind::reload_wrong},
    {"reload-and-end", InfrastructureFaultKind::reload_and_end},
    {"endpoint-drained", InfrastructureFaultKind::endpoint_drained},
    {"moved", InfrastructureFaultKind::moved},
    {"clock-stepped", InfrastructureFaultKind::clock_stepped}};
static_assert(std::size(infrastructure_fault_names) == infrastructure_fault_kinds);
constexpr Word<LinkPeer> link_peer_names[] = {
    {"callers", LinkPeer::callers}, {"endpoints", LinkPeer::endpoints}, {"discovery", LinkPeer::discovery}};
constexpr Word<Direction> direction_names[] = {{"both", Direction::both},
                                               {"to-sidecar", Direction::to_sidecar},
                                               {"from-sidecar", Direction::from_sidecar}};

template <class E, std::size_t N>
std::string name_of(const Word<E> (&words)[N], E value) {
  return std::string(std::find_if(std::begin(words), std::end(words), [&](const auto& w) {
                       return w.value == value;
                     })->text);
}

bool needs_duration(InfrastructureFaultKind kind) {
  switch (kind) {
    case InfrastructureFaultKind::cut:
    case InfrastructureFaultKind::lost_end:
    case InfrastructureFaultKind::reload:
    case InfrastructureFaultKind::reload_wrong:
    case InfrastructureFaultKind::reload_and_end:
    case InfrastructureFaultKind::moved:
    case InfrastructureFaultKind::clock_stepped: return false;
    default: return true;
  }
}

InfrastructureFault read_infrastructure_fault(Table& t, const lab::Experiment& e) {
  InfrastructureFault out;
  out.kind = t.word<InfrastructureFaultKind>("kind", infrastructure_fault_names, std::nullopt);
  out.tier = t.text("tier", "");
  out.link = t.word<LinkPeer>("link", link_peer_names, LinkPeer::endpoints);
  out.direction = t.word<Direction>("direction", direction_names, Direction::both);
  out.at = t.span("at_ms", std::nullopt);
  out.duration = t.span("for_ms", needs_duration(out.kind) ? std::nullopt : std::optional<double>(0.0));
  out.sidecars = t.whole("sidecars", 0, 0, 200);
  out.endpoints = t.whole("endpoints", 0, 0, 200);
  out.zone = t.text("zone", "");
  out.factor = t.number("factor", out.factor, 1.0, 1e5);
  if (!e.tiers.empty() && e.tier_at(out.tier) == e.tiers.size())
    t.wrong("tier", "no tier '" + out.tier + "'");
  return out;
}

void read_network_conditions(Table& t, Scenario& out) {
  network_simulation::NetworkConditions& c = out.network;
  c.min_delay = t.span("delay_least_ms", c.min_delay.as_ms());
  c.mean_delay = t.span("delay_mean_ms", c.mean_delay.as_ms());
  if (c.mean_delay < c.min_delay) t.wrong("delay_mean_ms", "less than delay_least_ms");
  c.split_probability = t.number("split", c.split_probability, 0.0, 1.0);
  c.retransmit_probability = t.number("resent", c.retransmit_probability, 0.0, 0.9);
  c.connect_loss_probability = t.number("lost_connect", c.connect_loss_probability, 0.0, 1.0);
  c.unread_discard_probability = t.number("dropped_unread", c.unread_discard_probability, 0.0, 1.0);
  c.late_turn_probability = t.number("late_turn", c.late_turn_probability, 0.0, 1.0);
  c.max_late_turn_delay = t.span("late_most_ms", c.max_late_turn_delay.as_ms());
  c.min_buffer_size =
      static_cast<std::size_t>(t.whole("buffer_least", static_cast<int>(c.min_buffer_size), 16, 1 << 24));
  c.max_buffer_size =
      static_cast<std::size_t>(t.whole("buffer_most", static_cast<int>(c.max_buffer_size), 16, 1 << 24));
  if (c.max_buffer_size < c.min_buffer_size) t.wrong("buffer_most", "less than buffer_least");
  out.max_descriptors = t.whole("descriptors", out.max_descriptors, 16, 1 << 20);
}

// --- Writing ---------------------------------------------------------------------------------------

class TomlWriter {
 public:
  TomlWriter& table(const char* name) { return line(name); }
  TomlWriter& line(const std::string& text) {
    out_ += text + "\n";
    return *this;
  }
  TomlWriter& put(const char* key, double v) {
    char room[64];
    std::snprintf(room, sizeof room, "%s = %.17g", key, v);
    return line(room);
  }
  TomlWriter& put(const char* key, int v) { return line(std::string(key) + " = " + std::to_string(v)); }
  TomlWriter& put(const char* key, std::size_t v) {
    return line(std::string(key) + " = " + std::to_string(v));
  }
  TomlWriter& put(const char* key, Span v) {
    char room[64];
    std::snprintf(room, sizeof room, "%s = %.3f", key, v.as_ms());
    return line(room);
  }
  TomlWriter& put(const char* key, bool v) { return line(std::string(key) + (v ? " = true" : " = false")); }
  TomlWriter& put(const char* key, const std::string& v) {
    return v.empty() ? *this : line(std::string(key) + " = '" + v + "'");
  }
  std::string take_text() { return std::move(out_); }

 private:
  std::string out_;
};

std::string distribution(const lab::Distribution& d) {
  static constexpr const char* names[] = {"fixed", "exponential", "lognormal", "pareto"};
  char room[120];
  std::snprintf(room, sizeof room, "{ draw = '%s', mean_ms = %.17g, spread = %.17g",
                names[static_cast<int>(d.kind)], d.mean, d.spread);
  return room;
}

void write_track(TomlWriter& out, const lab::TrackSpec& t) {
  static constexpr const char* effects[] = {"replayable", "referenced", "single-use"};
  static constexpr const char* scopes[] = {"all", "zone", "cell"};
  out.table("\n[[track]]").put("name", t.name).put("share", t.share);
  out.put("effect", std::string(effects[static_cast<int>(t.effect)]));
  out.put("repeat_group", std::string(scopes[static_cast<int>(t.scope)]))
      .put("repeat_window_ms", t.remembered);
  out.put("payoff", t.payoff).put("late_payoff", t.late_payoff).put("soft_limit_ms", t.soft_limit);
  out.put("client_timeout_ms", t.client_timeout).put("client", t.client).put("in_turn", t.in_turn);
}

void write_tier(TomlWriter& out, const lab::TierSpec& t) {
  out.table("\n[[tier]]").put("name", t.name).put("endpoints", t.endpoints).put("sidecars", t.sidecars);
  std::string zones;
  for (const std::string& z : t.zones) zones += (zones.empty() ? "'" : ", '") + z + "'";
  out.line("zones = [" + zones + "]").put("cells", t.cells).put("cores", t.machine.cores);
  out.put("queue", t.machine.queue).put("connect_cost_ms", t.connect_cost_ms);
  out.put("connections", t.connections).put("idle_close_ms", t.idle_close).put("list_delay_ms", t.list_delay);
  out.put("carries_per_s", t.carries_per_s)
      .put("calls_next", t.calls_next)
      .put("answer_bytes", t.answer_bytes);
  std::string by_track;
  for (const auto& [name, work] : t.work_by_track)
    by_track += (by_track.empty() ? "" : ", ") + ("'" + name + "' = " + distribution(work)) + " }";
  out.line("work = " + distribution(t.work) + (by_track.empty() ? "" : ", track = { " + by_track + " }") +
           " }");
}

void write_fault(TomlWriter& out, const lab::FaultSpec& f) {
  out.table("\n[[fault]]")
      .put("kind", std::string(lab::name_of(f.kind)))
      .put("tier", f.tier)
      .put("at_ms", f.at);
  if (f.lasts > Span() && f.kind != lab::FaultKind::release) out.put("for_ms", f.lasts);
  out.put("endpoints", f.endpoints).put("zone", f.zone).put("factor", f.factor).put("part", f.part);
  out.put("probability", f.probability)
      .put("down_ms", f.down)
      .put("delay_ms", f.delay)
      .put("drain_ms", f.drain);
  out.put("every_ms", f.every).put("age_ms", f.age);
}

void write_infrastructure_fault(TomlWriter& out, const InfrastructureFault& t) {
  out.table("\n[[trouble]]").put("kind", name_of(infrastructure_fault_names, t.kind)).put("tier", t.tier);
  out.put("link", name_of(link_peer_names, t.link)).put("direction", name_of(direction_names, t.direction));
  out.put("at_ms", t.at).put("for_ms", t.duration).put("sidecars", t.sidecars).put("endpoints", t.endpoints);
  out.put("zone", t.zone).put("factor", t.factor);
}

}  // namespace

std::string kind_name(std::size_t kind) {
  if (kind < lab::fault_kinds) return std::string(lab::name_of(static_cast<lab::FaultKind>(kind)));
  return name_of(infrastructure_fault_names, static_cast<InfrastructureFaultKind>(kind - lab::fault_kinds));
}

Scenario read_scenario(std::string_view text, const std::string& file) {
  toml::table root = lab::parse_experiment(text, file);
  Errors errors{file, ""};
  Scenario out;
  toml::table experiment = root;
  for (const char* own : {"world", "swarm", "trouble"}) experiment.erase(own);
  out.experiment = lab::read_experiment(experiment, errors);
  toml::table own_tables;
  for (const char* own : {"world", "swarm", "trouble"}) {
    if (root.contains(own)) own_tables.insert(own, *root.get(own));
  }
  {
    Table t(own_tables, "", errors);
    if (const toml::table* world_table = t.table("world")) {
      Table w(*world_table, "world.", errors);
      read_network_conditions(w, out);
    }
    if (const toml::table* swarm = t.table("swarm")) {
      Table s(*swarm, "swarm.", errors);
      out.is_sampled = s.flag("on", true);
      out.max_faults = s.whole("faults_most", out.max_faults, 0, 50);
    }
    for (const toml::table* one : t.tables("trouble")) {
      Table w(*one, "trouble.", errors);
      out.infrastructure_faults.push_back(read_infrastructure_fault(w, out.experiment));
    }
  }
  for (const lab::FaultSpec& f : out.experiment.faults) {
    if (lab::breaks_ways(f.kind))
      errors.add(root, "fault.kind", std::string(lab::name_of(f.kind)) + " is a [[trouble]] in the world");
  }
  if (!errors.lines.empty()) throw lab::ExperimentError(errors.lines);
  return out;
}

Scenario load_scenario(const std::string& file) {
  const std::optional<std::string> text = toml_reader::read_file(file, max_file_size);
  if (!text) throw lab::ExperimentError(file + ":1:1: file: cannot be read");
  return read_scenario(*text, file);
}

std::string write_scenario(const Scenario& s) {
  const lab::Experiment& e = s.experiment;
  const network_simulation::NetworkConditions& c = s.network;
  TomlWriter out;
  out.put("name", e.name).put("seed", static_cast<std::size_t>(e.seed)).put("settle_ms", e.settle);
  out.put("lasts_ms", e.lasts).put("pools", e.pools);
  if (!e.service.empty()) out.line("service = '''\n" + e.service + "'''");
  out.table("\n[callers]").put("rate", e.callers.rate);
  out.put("arrivals", std::string(e.callers.even ? "even" : "poisson"))
      .put("connections", e.callers.connections);
  out.put("spread", e.callers.spread).put("repeats", e.callers.repeats);
  out.put("repeat_after_ms", e.callers.repeat_after).put("marks_repeats", e.callers.marks_repeats);
  out.put("leave_share", e.callers.leave_share).put("request_bytes", e.callers.request_bytes);
  out.put("idle_ms", e.callers.idle).put("keys", e.callers.keys);
  out.table("\n[rules]").put("drain_grace_ms", e.rules.drain_grace).put("cold_share", e.rules.cold_share);
  out.put("fall_multiple", e.rules.fall_multiple).put("fall_ms", e.rules.fall_window);
  out.put("warm_after_ms", e.rules.warm_after).put("slack_ms", e.rules.slack);
  out.put("settle_after_doubt_ms", e.rules.settle_after_doubt).put("budget_free", e.rules.budget_free);
  out.put("resend_ratio", e.rules.resend_ratio).put("resend_span_ms", e.rules.resend_span);
  out.table("\n[allowed]").put("cancel", e.allowed.cancel).put("second_copies", e.allowed.copies);
  out.put("retry_after", e.allowed.retry_after).put("max_retry_after_ms", e.allowed.most_retry_after);
  out.put("max_dispatches", e.allowed.dispatches).put("connect_timeout_ms", e.allowed.connect_timeout);
  if (e.restart.state || e.restart.ask_over > Span() || e.restart.part_with > 0.0) {
    out.table("\n[restart]").put("state", e.restart.state).put("snapshot_ms", e.restart.snapshot_every);
    out.put("ask_over_ms", e.restart.ask_over).put("part_with_per_s", e.restart.part_with);
  }
  out.table("\n[world]").put("delay_least_ms", c.min_delay).put("delay_mean_ms", c.mean_delay);
  out.put("split", c.split_probability)
      .put("resent", c.retransmit_probability)
      .put("lost_connect", c.connect_loss_probability);
  out.put("dropped_unread", c.unread_discard_probability)
      .put("late_turn", c.late_turn_probability)
      .put("late_most_ms", c.max_late_turn_delay);
  out.put("buffer_least", c.min_buffer_size)
      .put("buffer_most", c.max_buffer_size)
      .put("descriptors", s.max_descriptors);
  if (s.is_sampled) out.table("\n[swarm]").put("on", true).put("faults_most", s.max_faults);
  for (const lab::TrackSpec& t : e.tracks) write_track(out, t);
  for (const lab::TierSpec& t : e.tiers) write_tier(out, t);
  for (const lab::FaultSpec& f : e.faults) write_fault(out, f);
  for (const InfrastructureFault& t : s.infrastructure_faults) write_infrastructure_fault(out, t);
  return out.take_text();
}

}  // namespace chutevane::sidecar_simulation
