#include "sidecar/counters.hpp"

#include "json/value.hpp"

namespace chutevane::sidecar {

std::string Counters::as_json() const {
  static constexpr const char* outcome_names[] = {"done",          "error", "turned_away", "timed_out",
                                                  "not_connected", "reset", "cancelled",   "not_sent"};
  json::Writer out;
  const auto put = [&](const char* name, std::uint64_t value) { out.key(name).number(value); };
  out.open('{');
  out.key("api_calls").open('{');
  put("taken", calls), put("done", completed), put("rejected", rejected), put("broken_off", aborted);
  put("callers_left", client_disconnects), put("bad_requests", bad_requests);
  put("limited", limited), put("went_on", cross_pool_retries);
  out.close('}');
  out.key("dispatches").open('{');
  put("sent", dispatches);
  for (std::size_t i = 0; i < outcomes.size(); ++i) put(outcome_names[i], outcomes[i]);
  out.close('}');
  out.key("connections").open('{');
  put("opened", upstream_opened), put("reused", upstream_reused);
  put("accepted", downstream_accepted), put("shed", downstream_evicted), put("parted", downstream_rebalanced);
  out.close('}');
  out.key("lists").open('{');
  put("taken", list_updates), put("failed", list_failures);
  out.close('}').close('}');
  return out.result();
}

std::string Counters::summary_json(std::size_t discovered, std::size_t ejected) const {
  static constexpr const char* result_names[] = {"succeeded", "declined", "aborted"};
  json::Writer out;
  out.open('{').key("results").open('{');
  for (const Class& c : classes) {
    out.key(c.name).open('{');
    for (std::size_t i = 0; i < c.results.size(); ++i) out.key(result_names[i]).number(c.results[i]);
    out.close('}');
  }
  out.close('}').key("forwards").number(forwards).key("outstanding").number(outstanding);
  out.key("discovered").number(discovered).key("ejected").number(ejected);
  out.key("sighup_applied").number(sighup_applied).key("sighup_rejected").number(sighup_rejected);
  return out.close('}').result();
}

}  // namespace chutevane::sidecar
