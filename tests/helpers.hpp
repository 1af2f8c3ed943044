// What the tests share: settings, endpoints and a balancer with its list.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "chutevane/balancer.hpp"

namespace chutevane {

inline TimePoint at(double ms) { return TimePoint::at_ms(100000.0 + ms); }

// Two tracks: 0 pays 12, 1 pays 1 and has the effect given.
inline Settings settings(const std::string& effect = "replayable") {
  Settings s{{"tier", "0"},
             {"sidecars", "1"},
             {"discovery", "automatic"},
             {"allowed.probes", "false"},
             {"allowed.cancel", "true"},
             {"allowed.second_copies", "false"},
             {"allowed.retry_after", "true"},
             {"allowed.max_retry_after_ms", "2000"},
             {"allowed.max_dispatches", "4"},
             {"rules.cold_share", "0.1"},
             {"rules.fall_multiple", "3"},
             {"rules.fall_ms", "1500"},
             {"rules.warm_after_ms", "20000"},
             {"tracks.count", "2"}};
  for (const std::string t : {"tracks.0.", "tracks.1."}) {
    s[t + "soft_limit_ms"] = "1000";
    s[t + "client_timeout_ms"] = "4000";
    s[t + "payoff"] = t == "tracks.0." ? "12" : "1";
    s[t + "late_payoff"] = "0";
    s[t + "effect"] = t == "tracks.0." ? "replayable" : effect;
    s[t + "repeat_group"] = "zone";
    s[t + "repeat_window_ms"] = "3000";
  }
  return s;
}

// The same towards the second tier, where calls come from an admitted caller.
inline Settings deeper(const std::string& effect = "replayable") {
  Settings s = settings(effect);
  s["tier"] = "1";
  return s;
}

// Endpoints 1..n, long up; the zone is the id's last bit.
inline std::vector<ListedEndpoint> endpoints(unsigned n) {
  std::vector<ListedEndpoint> out;
  for (unsigned i = 1; i <= n; ++i) {
    ListedEndpoint e;
    e.id = i;
    e.zone = static_cast<std::uint16_t>(i & 1U);
    out.push_back(e);
  }
  return out;
}

struct Bench {
  explicit Bench(unsigned n, const Settings& s = settings()) : balancer(s, 7, at(0)) {
    balancer.listed(ListKind::full, endpoints(n), at(0));
  }
  Answer call(CallId id, double when, std::uint32_t track = 0, double left = 4000,
              std::uint32_t account = 0) {
    return balancer.arrived({id, track, account, Span::ms(left), false}, at(when));
  }
  std::vector<Answer> end(const Answer& dispatch, Outcome outcome, double when, double elapsed = 100) {
    DispatchEnd e;
    e.call = dispatch.call;
    e.endpoint = dispatch.endpoint;
    e.number = dispatch.number;
    e.call_over = outcome == Outcome::done;
    e.outcome = outcome;
    e.elapsed = Span::ms(elapsed);
    const Answers got = balancer.ended(e, at(when));
    return {got.begin(), got.end()};
  }
  // n calls that are each done in `elapsed`, one after another, ending at `when`
  void history(int n, double elapsed, double when) {
    for (int i = 0; i < n; ++i) end(call(900000U + next++, when - elapsed), Outcome::done, when, elapsed);
  }
  Balancer balancer;
  CallId next = 0;
};

inline const Answer* find(const std::vector<Answer>& answers, Verdict v) {
  for (const Answer& a : answers) {
    if (a.verdict == v) return &a;
  }
  return nullptr;
}

}  // namespace chutevane
