/// DataPlane: the readiness page and the metrics of the edge.
#include "common/http_server.hpp"
#include "edge/data_plane.hpp"
#include "json/value.hpp"

namespace chutevane::edge {

void DataPlane::answer_readiness(const http::Parser& request, const common::HttpServer::Reply& reply) {
  if (request.method() != "GET") return reply({405, "", {}});
  if (request.target() == "/v1/readiness") return reply({is_ready() ? 200 : 503, "", {}});
  if (request.target() != "/v1/figures") return reply({404, "", {}});
  json::Writer out;
  const Counters& counters = counters_;
  out.open('{')
      .key("node")
      .text(settings_.node)
      .key("requests")
      .number(counters.requests)
      .key("answered")
      .number(counters.answered);
  out.key("refused")
      .number(counters.refused)
      .key("failed")
      .number(counters.failed)
      .key("attempts")
      .number(counters.attempts);
  out.key("retries")
      .number(counters.retries)
      .key("cut")
      .number(counters.attempts_timed_out)
      .key("streams")
      .number(counters.streams);
  out.key("events")
      .number(counters.events)
      .key("turnsKept")
      .number(counters.turns_stored)
      .key("spent")
      .number(counters.budgets_exhausted);
  out.key("notFound").number(counters.turns_not_found).key("unsure").number(counters.turns_uncertain);
  out.key("clients")
      .number(connections_.size())
      .key("connectionsOpened")
      .number(upstreams_.connections_opened());
  out.key("configVersion").number(configuration_ ? static_cast<std::uint64_t>(configuration_->version) : 0);
  out.key("turnsCached").number(storage_.cached_turns()).close('}');
  reply({200, out.result(), {}});
}

void DataPlane::write_metrics(common::MetricsWriter& out) {
  check_accounting();
  const Counters& counters = counters_;
  const auto counter = [&](std::string_view name, std::string_view help, std::uint64_t value) {
    out.counter(name, "", help, static_cast<double>(value));
  };
  const auto gauge = [&](std::string_view name, std::string_view unit, std::string_view help, double value) {
    out.gauge(name, unit, help, value);
  };
  counter("chutevane_requests", "Requests of clients that were read whole.", counters.requests);
  counter("chutevane_answered", "Requests answered with an endpoint's answer.", counters.answered);
  counter("chutevane_attempts", "Attempts sent to endpoints.", counters.attempts);
  counter("chutevane_retries", "Attempts after the first of their request.", counters.retries);
  counter("chutevane_attempts_cut", "Attempts ended because their time was over.",
          counters.attempts_timed_out);
  counter("chutevane_streams_resumed", "Times that a stream was taken up at another endpoint.",
          counters.streams_resumed);
  counter("chutevane_streams", "Streams of which a part was passed on.", counters.streams);
  counter("chutevane_events", "Events of streams passed on.", counters.events);
  counter("chutevane_turns_kept", "Turns that storage has kept.", counters.turns_stored);
  counter("chutevane_chains_sent", "Times that the turns before one were sent to a node that lacked some.",
          storage_.chains_sent());
  failures_.write(out);
  gauge("chutevane_clients", "", "Connections of clients.", static_cast<double>(connections_.size()));
  gauge("chutevane_endpoint_connections", "", "Connections to endpoints.",
        static_cast<double>(upstreams_.open_connections()));
  counter("chutevane_endpoint_connections_opened", "Connections to endpoints that were begun.",
          upstreams_.connections_opened());
  gauge("chutevane_endpoints", "", "Endpoints on the list.", static_cast<double>(upstreams_.size()));
  gauge("chutevane_control_sessions", "", "Sessions with control that stand.",
        static_cast<double>(sessions_->usable_count()));
  gauge("chutevane_knowledge_age_seconds", "seconds", "Age of what is known from control.",
        sessions_->knowledge_age().as_ms() / 1000);
  gauge("chutevane_configuration_version", "", "Configuration in force; 0: none.",
        configuration_ ? static_cast<double>(configuration_->version) : 0);
  gauge("chutevane_storage_map", "", "Number of the map of storage nodes.",
        static_cast<double>(storage_.map_version()));
  gauge("chutevane_turns_cached", "", "Turns in memory.", static_cast<double>(storage_.cached_turns()));
  gauge("chutevane_ready", "", "1 while the readiness address answers 200.", is_ready() ? 1 : 0);
}

}  // namespace chutevane::edge
