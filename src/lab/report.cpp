#include "lab/report.hpp"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace chutevane::lab {
namespace {

using nlohmann::json;

constexpr std::size_t breaches_shown = 20;
constexpr double chart_width = 900.0, chart_height = 220.0, margin = 46.0;

void put(std::string& out, const char* format, ...) __attribute__((format(printf, 2, 3)));
void put(std::string& out, const char* format, ...) {
  char room[512];
  va_list args;
  va_start(args, format);
  std::vsnprintf(room, sizeof room, format, args);
  va_end(args);
  out += room;
}

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '&')
      out += "&amp;";
    else if (c == '>')
      out += "&gt;";
    else
      out += c;
  }
  return out;
}

std::string fault_text(const Experiment& e, const FaultSpec& f) {
  std::string out(name_of(f.kind));
  const std::size_t tier = e.tier_at(f.tier);
  out += " " + e.tiers[tier].name + (f.zone.empty() ? "" : "/" + f.zone);
  put(out, " at %.1f s", f.at.as_ms() / 1000.0);
  if (f.lasts > Span()) put(out, " for %.1f s", f.lasts.as_ms() / 1000.0);
  return out;
}

double part(std::uint64_t n, std::uint64_t of) {
  return of == 0 ? 0.0 : 100.0 * static_cast<double>(n) / static_cast<double>(of);
}

void put_row(std::string& out, const std::string& name, const Tally& t) {
  const double asked = static_cast<double>(std::max<std::uint64_t>(1, t.asked));
  put(out, "%-34.34s %8llu %6.2f%% %6.2f%% %6.2f%% %6.2f%% %6.2f%% %8.1f %8.1f %8.1f %6.3f  %6.4f\n",
      name.c_str(), static_cast<unsigned long long>(t.asked), part(t.of(Ending::in_time), t.asked),
      part(t.of(Ending::late), t.asked), part(t.of(Ending::rejected), t.asked),
      part(t.of(Ending::broken_off), t.asked), part(t.of(Ending::unanswered), t.asked),
      t.latency.quantile(0.5), t.latency.quantile(0.99), t.latency.quantile(0.999),
      static_cast<double>(t.dispatches) / asked, t.service());
}

json as_json(const Tally& t) {
  json out = {{"asked", t.asked},
              {"tries", t.tries},
              {"dispatches", t.dispatches},
              {"payoff_asked", t.payoff_asked},
              {"payoff", t.payoff_got},
              {"service", t.service()},
              {"p50_ms", t.latency.quantile(0.5)},
              {"p99_ms", t.latency.quantile(0.99)},
              {"p999_ms", t.latency.quantile(0.999)}};
  for (std::size_t i = 0; i < endings; ++i) out[std::string(name_of(static_cast<Ending>(i)))] = t.ended[i];
  return out;
}

// One drawing over the time line: lines of figures by slice, the faults behind them.
struct Line {
  const char* name;
  const char* colour;
  std::vector<double> values;  // negative: nothing to show
};

std::string chart(const Experiment& e, const std::string& title, const std::vector<Line>& lines, double top,
                  const char* unit) {
  std::string out;
  const double seconds = e.lasts.as_ms() / 1000.0;
  const auto x = [&](double s) { return margin + std::min(1.0, s / seconds) * chart_width; };
  const auto y = [&](double v) { return 20.0 + chart_height * (1.0 - std::clamp(v / top, 0.0, 1.0)); };
  put(out, "<h2>%s</h2><svg viewBox=\"0 0 %.0f %.0f\" role=\"img\">", escaped(title).c_str(),
      chart_width + 2 * margin, chart_height + 60.0);
  for (std::size_t i = 0; i < e.faults.size(); ++i) {
    const FaultSpec& f = e.faults[i];
    const double from = f.at.as_ms() / 1000.0, lasts = std::max(f.lasts.as_ms() / 1000.0, seconds / 200.0);
    put(out, "<rect class=\"fault\" x=\"%.1f\" y=\"20\" width=\"%.1f\" height=\"%.0f\"><title>", x(from),
        x(from + lasts) - x(from), chart_height);
    out += escaped(fault_text(e, f)) + "</title></rect>";
    put(out, "<text class=\"mark\" x=\"%.1f\" y=\"%.0f\">%s</text>", x(from) + 3.0,
        33.0 + 12.0 * static_cast<double>(i % 4), std::string(name_of(f.kind)).c_str());
  }
  for (int i = 0; i <= 4; ++i) {
    const double v = top * i / 4.0;
    put(out, "<line class=\"grid\" x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\"/>", margin,
        margin + chart_width, y(v), y(v));
    put(out, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"end\">%.4g%s</text>", margin - 5.0, y(v) + 4.0, v,
        unit);
    put(out, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">%.4g s</text>", x(seconds * i / 4.0),
        chart_height + 38.0, seconds * i / 4.0);
  }
  const double step = Ledger::slice.as_ms() / 1000.0;
  double key = margin;
  for (const Line& line : lines) {
    std::string points;
    for (std::size_t i = 0; i < line.values.size(); ++i) {
      if (line.values[i] >= 0.0)
        put(points, "%.1f,%.1f ", x((static_cast<double>(i) + 0.5) * step), y(line.values[i]));
    }
    out += "<polyline stroke=\"" + std::string(line.colour) + "\" points=\"" + points + "\"/>";
    put(out, "<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>", key, chart_height + 56.0, line.colour,
        line.name);
    key += 150.0;
  }
  return out + "</svg>";
}

std::string verdict_of(const Result& r) {
  std::string out;
  if (r.is_void) {
    put(out,
        "VOID: the lab's own timers fired %.1f ms late (99th percentile); nothing here is to be relied on.",
        r.lateness.p99_ms);
  } else if (r.broken()) {
    put(out, "BROKEN: %llu breaches of the rules%s.", static_cast<unsigned long long>(r.breach_count),
        r.crashed() ? ", and a sidecar crashed" : "");
  } else {
    out = "All four rules kept.";
  }
  if (r.stopped) out += " Stopped before its end.";
  return out;
}

std::string breach_text(const Breach& b, TimePoint begins) {
  std::string out;
  put(out, "rule %d: call %016llx at %.3f s: %s", b.rule, static_cast<unsigned long long>(b.call),
      (b.at - begins).as_ms() / 1000.0, b.what.c_str());
  return out;
}

}  // namespace

std::string table_of(const Experiment& e, const Result& r) {
  std::string out;
  put(out, "%s, seed %llu, %.1f s\n\n", e.name.c_str(), static_cast<unsigned long long>(r.seed),
      e.lasts.as_ms() / 1000.0);
  const char* head = "%-34s %8s %7s %7s %7s %7s %7s %8s %8s %8s %6s  %6s\n";
  put(out, head, "track", "asked", "in time", "late", "reject", "broken", "unansw", "p50 ms", "p99", "p99.9",
      "disp.", "payoff");
  for (std::size_t i = 0; i < e.tracks.size(); ++i) put_row(out, e.tracks[i].name, r.ledger.tracks()[i]);
  put_row(out, "all", r.ledger.all());
  if (!e.faults.empty()) {
    out += "\n";
    put(out, head, "asked while", "asked", "in time", "late", "reject", "broken", "unansw", "p50 ms", "p99",
        "p99.9", "disp.", "payoff");
    put_row(out, "no fault", r.ledger.outside_faults());
    for (const FaultSpec& f : e.faults) put_row(out, fault_text(e, f), r.ledger.during(f));
  }
  const Tally all = r.ledger.all();
  out += "\n";
  double cpu = 0.0, system = 0.0, most = 0.0;
  for (const SidecarResult& s : r.sidecars) {
    cpu += s.usage.cpu_ms, system += s.usage.system_ms;
    most = std::max(most, s.usage.most_resident_kb);
  }
  put(out, "sidecars: %zu, %.0f us of CPU a dispatch (%.0f%% in the kernel), at most %.1f MB\n",
      r.sidecars.size(), 1000.0 * cpu / static_cast<double>(std::max<std::uint64_t>(1, r.dispatches)),
      cpu > 0.0 ? 100.0 * system / cpu : 0.0, most / 1024.0);
  put(out,
      "lab: timers late by %.2f ms (median), %.2f (99th percentile), %.2f at most; %.0f ms of CPU; %llu "
      "tries, "
      "%llu connections\n",
      r.lateness.median_ms, r.lateness.p99_ms, r.lateness.most_ms, r.lab_cpu_ms,
      static_cast<unsigned long long>(all.tries), static_cast<unsigned long long>(r.caller_connections));
  put(out, "audit: %llu dispatches, %llu effects, a cold endpoint used up to %.0f%% of what it may be sent\n",
      static_cast<unsigned long long>(r.dispatches), static_cast<unsigned long long>(r.effects),
      100.0 * r.most_cold_part);
  put(out, "surges: at most %u connections at one endpoint in 100 ms, %u whole lists asked for in 1 s%s",
      r.surges.most_at_one(Span(), e.lasts), r.surges.most_asked_in_1s(Span(), e.lasts),
      r.last_up > Span() ? "" : "\n");
  if (r.last_up > Span()) put(out, "; the last sidecar was up again at %.2f s\n", r.last_up.as_ms() / 1000.0);
  std::string shown;
  for (std::size_t k = 0; k < fault_kinds; ++k) {
    if (r.strikes[k] > 0)
      put(shown, "%s%s %llu", shown.empty() ? "" : ", ",
          std::string(name_of(static_cast<FaultKind>(k))).c_str(),
          static_cast<unsigned long long>(r.strikes[k]));
  }
  if (!shown.empty()) out += "faults that showed: " + shown + "\n";
  out += verdict_of(r) + "\n";
  for (std::size_t i = 0; i < std::min(breaches_shown, r.breaches.size()); ++i)
    out += "  " + breach_text(r.breaches[i], r.ledger.begins()) + "\n";
  for (const SidecarResult& s : r.sidecars) {
    if (!s.crash.empty()) out += "crash: " + s.crash;
  }
  return out;
}

std::string json_of(const Experiment& e, const Result& r) {
  json out = {{"experiment", e.name},
              {"seed", r.seed},
              {"seconds", e.lasts.as_ms() / 1000.0},
              {"void", r.is_void},
              {"stopped", r.stopped},
              {"breaches", r.breach_count},
              {"crashed", r.crashed()},
              {"dispatches", r.dispatches},
              {"effects", r.effects},
              {"most_cold_part", r.most_cold_part},
              {"all", as_json(r.ledger.all())},
              {"no_fault", as_json(r.ledger.outside_faults())},
              {"lateness",
               {{"median_ms", r.lateness.median_ms},
                {"p99_ms", r.lateness.p99_ms},
                {"most_ms", r.lateness.most_ms}}}};
  for (std::size_t i = 0; i < e.tracks.size(); ++i)
    out["tracks"][e.tracks[i].name] = as_json(r.ledger.tracks()[i]);
  out["faults"] = json::array();
  for (const FaultSpec& f : e.faults)
    out["faults"].push_back({{"fault", fault_text(e, f)}, {"during", as_json(r.ledger.during(f))}});
  for (std::size_t k = 0; k < fault_kinds; ++k)
    if (r.strikes[k] > 0) out["strikes"][std::string(name_of(static_cast<FaultKind>(k)))] = r.strikes[k];
  out["slices_ms"] = Ledger::slice.as_ms();
  out["slices"] = json::array();
  for (const Tally& t : r.ledger.slices()) out["slices"].push_back(as_json(t));
  for (std::size_t t = 0; t < e.tiers.size(); ++t) out["came"][e.tiers[t].name] = r.ledger.came()[t];
  out["last_up_ms"] = r.last_up.as_ms();
  out["surges"] = {{"grain_ms", Surges::grain.as_ms()},
                   {"connections", r.surges.all_connections()},
                   {"lists_asked", r.surges.all_asked()},
                   {"most_at_one_endpoint", r.surges.most_at_one(Span(), e.lasts)},
                   {"most_lists_asked_in_1s", r.surges.most_asked_in_1s(Span(), e.lasts)}};
  out["breach_texts"] = json::array();
  for (const Breach& b : r.breaches) out["breach_texts"].push_back(breach_text(b, r.ledger.begins()));
  out["sidecars"] = json::array();
  for (const SidecarResult& s : r.sidecars) {
    out["sidecars"].push_back({{"name", s.name},
                               {"cpu_ms", s.usage.cpu_ms},
                               {"system_ms", s.usage.system_ms},
                               {"most_resident_kb", s.usage.most_resident_kb},
                               {"crash", s.crash}});
  }
  return out.dump(1) + "\n";
}

std::string html_of(const Experiment& e, const Result& r) {
  Line service{"payoff share", "#1b6e3c", {}}, rejected{"rejected", "#b36b00", {}},
      broken{"broken off", "#b3261e", {}};
  Line p50{"p50", "#1f5fa8", {}}, p99{"p99", "#7a3aa3", {}}, rate{"calls/s", "#444", {}};
  double top_ms = 1.0, top_rate = 1.0;
  for (const Tally& t : r.ledger.slices()) {
    const bool any = t.asked > 0;
    service.values.push_back(any ? 100.0 * t.service() : -1.0);
    rejected.values.push_back(any ? part(t.of(Ending::rejected), t.asked) : -1.0);
    broken.values.push_back(any ? part(t.of(Ending::broken_off) + t.of(Ending::unanswered), t.asked) : -1.0);
    p50.values.push_back(t.latency.count() > 0 ? t.latency.quantile(0.5) : -1.0);
    p99.values.push_back(t.latency.count() > 0 ? t.latency.quantile(0.99) : -1.0);
    rate.values.push_back(static_cast<double>(t.asked) / Ledger::slice.as_ms() * 1000.0);
    top_ms = std::max(top_ms, p99.values.back());
    top_rate = std::max(top_rate, rate.values.back());
  }
  std::string out =
      "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escaped(e.name) +
      "</title><style>body{font:15px/1.5 sans-serif;max-width:1000px;margin:2em auto;padding:0 "
      "1em;color:#222}"
      "svg{width:100%;height:auto}svg text{font:11px sans-serif}polyline{fill:none;stroke-width:1.6}"
      ".grid{stroke:#ddd}.fault{fill:#f2c1b8;opacity:.45}.mark{fill:#8a3b2c}pre{overflow-x:auto;background:#"
      "f6f6f6;"
      "padding:1em;font-size:12px}</style></head><body><h1>" +
      escaped(e.name) + "</h1><p><strong>" + escaped(verdict_of(r)) + "</strong></p>";
  out += chart(e, "Payoff answered, by when it was asked for", {service, rejected, broken}, 100.0, "%");
  out += chart(e, "Time to the answer, from when it was meant to be asked", {p50, p99}, top_ms, " ms");
  static constexpr const char* colours[] = {"#1b6e3c", "#b36b00", "#1f5fa8", "#7a3aa3"};
  std::vector<Line> flows{rate};
  for (std::size_t t = 0; t < e.tiers.size(); ++t) {
    flows.push_back({e.tiers[t].name.c_str(), colours[t % std::size(colours)], {}});
    for (const std::uint32_t n : r.ledger.came()[t]) {
      flows.back().values.push_back(n / Ledger::slice.as_ms() * 1000.0);
      top_rate = std::max(top_rate, flows.back().values.back());
    }
  }
  out += chart(e, "Asked, and come to each tier", flows, top_rate, "/s");
  Line opened{"connections/s", "#1b6e3c", {}}, asked{"lists asked/s", "#b3261e", {}};
  const std::size_t per_slice = 5;  // two slices of the ledger hold five grains
  double top_surge = 1.0;
  for (std::size_t i = 0; i < r.ledger.slices().size(); ++i) {
    double in = 0.0, of = 0.0;
    for (std::size_t n = i / 2 * per_slice; n < (i / 2 + 1) * per_slice; ++n) {
      if (n < r.surges.all_connections().size()) in += r.surges.all_connections()[n];
      if (n < r.surges.all_asked().size()) of += r.surges.all_asked()[n];
    }
    opened.values.push_back(2.0 * in);
    asked.values.push_back(2.0 * of);
    top_surge = std::max({top_surge, 2.0 * in, 2.0 * of});
  }
  out += chart(e, "Connections opened at endpoints, and whole lists asked for", {opened, asked}, top_surge,
               "/s");
  out += "<h2>Figures</h2><pre>" + escaped(table_of(e, r)) + "</pre></body></html>\n";
  return out;
}

}  // namespace chutevane::lab
