#include "sidecar/counters.hpp"

#include "json/value.hpp"

namespace chutevane::sidecar {

std::string Counters::as_json() const {
  static constexpr const char* names[] = {"done",          "error", "turned_away", "timed_out",
                                          "not_connected", "reset", "cancelled",   "not_sent"};
  json::Writer out;
  const auto put = [&](const char* name, std::uint64_t value) { out.key(name).number(value); };
  out.open('{');
  out.key("api_calls").open('{');
  put("taken", calls), put("done", done), put("rejected", rejected), put("broken_off", broken_off);
  put("callers_left", callers_left), put("bad_requests", bad_requests);
  put("limited", limited), put("went_on", went_on);
  out.close('}');
  out.key("dispatches").open('{');
  put("sent", dispatches);
  for (std::size_t i = 0; i < outcomes.size(); ++i) put(names[i], outcomes[i]);
  out.close('}');
  out.key("connections").open('{');
  put("opened", connections_opened), put("reused", connections_reused);
  put("accepted", callers_accepted), put("shed", callers_shed), put("parted", parted);
  out.close('}');
  out.key("lists").open('{');
  put("taken", lists), put("failed", list_failures);
  out.close('}').close('}');
  return out.result();
}

std::string Counters::figures(std::size_t discovered, std::size_t ejected) const {
  static constexpr const char* names[] = {"succeeded", "declined", "aborted"};
  json::Writer out;
  out.open('{').key("results").open('{');
  for (const Class& c : classes) {
    out.key(c.name).open('{');
    for (std::size_t i = 0; i < c.results.size(); ++i) out.key(names[i]).number(c.results[i]);
    out.close('}');
  }
  out.close('}').key("forwards").number(forwards).key("outstanding").number(outstanding);
  out.key("discovered").number(discovered).key("ejected").number(ejected);
  out.key("sighup_applied").number(sighup_applied).key("sighup_rejected").number(sighup_rejected);
  return out.close('}').result();
}

}  // namespace chutevane::sidecar
