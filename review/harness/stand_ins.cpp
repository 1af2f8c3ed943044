/// Implements the stand-ins of the cases that keep conversations.
#include "stand_ins.hpp"

#include <sstream>

namespace review {

std::string turn_configuration(std::int64_t version, const TurnRoute& route) {
  std::ostringstream out;
  out << R"({"version":)" << version << R"(,"routes":[{"name":"turns","host":")" << host
      << R"(","pathPrefix":")" << turn_path << R"(","routeType":"streaming","timeoutMs":)" << route.timeout_ms
      << R"(,"targetMs":200,"priority":1,"service":")" << model_service << R"(","maxAttempts":)"
      << route.max_attempts << R"(,"retained":true,"retentionS":)" << route.retention_s
      << R"(,"affinity":true,"resumable":false,"gap_aim_ms":400}],"services":[{"name":")" << model_service
      << R"(","healthPath":"/health","maxConnections":500,"protocol":"h1","tls":false,)"
      << R"("engine":{"capacity":96,"kvCapacity":256505,"kvTokenBytes":131072,"linkMbps":550000.0,"tokensPerEvent":)"
      << route.tokens_per_event << R"(,"models":[{"name":"m"}]}}],)"
      << R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
  return out.str();
}

// ---- the model endpoint

ModelEndpoint::ModelEndpoint(Record& record, std::string id, const Address& at)
    : record_(record),
      id_(std::move(id)),
      server_(std::make_unique<Server>(at, [this](Connection& connection) { serve(connection); })) {}

void ModelEndpoint::set_pace(const Pace& pace) {
  const std::lock_guard guard(mutex_);
  pace_ = pace;
}

Instance ModelEndpoint::instance(const std::string& zone) const {
  return {id_, model_service, server_->address(), zone, 96, "in_service"};
}

ModelEndpoint::MemoryUse::MemoryUse(ModelEndpoint& endpoint, int tokens)
    : endpoint_(endpoint), tokens_(tokens) {
  const std::lock_guard guard(endpoint_.mutex_);
  fits_ = endpoint_.used_tokens_ + tokens_ <= kv_capacity;
  if (fits_) endpoint_.used_tokens_ += tokens_;
}

ModelEndpoint::MemoryUse::~MemoryUse() {
  const std::lock_guard guard(endpoint_.mutex_);
  if (fits_) endpoint_.used_tokens_ -= tokens_;
}

void ModelEndpoint::serve(Connection& connection) {
  while (const auto request = connection.read_request()) {
    if (request->target == "/health") {
      if (!connection.send(format_response(200, {{"X-Chutevane-Serving-Instance", id_}}, ""))) return;
      continue;
    }
    if (!stream(connection, *request)) return;
  }
}

bool ModelEndpoint::stream(Connection& connection, const Request& request) {
  const std::string attempt = request.header("X-Chutevane-Attempt-Id");
  const std::string target = request.header("X-Chutevane-Target-Instance");
  if (!target.empty() && target != id_)
    return connection.send(
        format_response(421, {{"X-Chutevane-Attempt-Id", attempt}, {"X-Chutevane-Not-Executed", "1"}}, ""));
  // The body has the whole chain; a byte counts as a token.
  const MemoryUse use(*this, static_cast<int>(request.body.size()));
  if (!use.fits())
    return connection.send(
        format_response(503, {{"X-Chutevane-Attempt-Id", attempt}, {"X-Chutevane-Not-Executed", "1"}}, ""));
  Pace pace;
  {
    const std::lock_guard guard(mutex_);
    pace = pace_;
  }
  record_.line("endpoint " + id_ + ": runs " + attempt);
  sleep_ms(pace.first_ms);
  std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Chutevane-Attempt-Id: " + attempt +
      "\r\nX-Chutevane-Server-Seal: seal." + attempt +
      "\r\nVersions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  if (!connection.send(head)) return false;
  for (int i = 1; i <= pace.events; ++i) {
    if (i > 1) sleep_ms(pace.gap_ms);
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + attempt + "." + std::to_string(i) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    if (!connection.send(size + event + "\r\n")) return false;
  }
  return connection.send("0\r\n\r\n");
}

// ---- the client

Response send_turn(Record& record, const Address& front, const std::string& edge, const Turn& turn) {
  Request request{"POST", std::string(turn_path) + "1", {}, turn.input};
  request.headers = {
      {"Host", host},
      {"X-Chutevane-Attempt-Id", turn.attempt},
      {"Program", turn.program},
      {"Session", turn.program + "s"},
      {"Finish-Ms", "60000"},
      {"Budget", std::to_string(turn.budget)},
      {"X-Chutevane-Model", "m"},
      {"X-Chutevane-Token-Count", std::to_string(turn.input.size()) + "," + std::to_string(turn.max_tokens)},
      {"X-Chutevane-Time-Remaining", std::to_string(turn.time_ms)}};
  if (!turn.previous.empty()) request.headers.emplace_back("Previous", turn.previous);
  record.line("client: turn " + turn.attempt + (turn.previous.empty() ? "" : ", previous " + turn.previous) +
              ", to " + edge);
  const Response response = exchange(front, request, Ms(turn.time_ms));
  record.line("client: turn " + turn.attempt + " gets " + std::to_string(response.status) +
              (response.complete ? ", whole" : ", not whole") +
              (response.status / 100 == 2 ? "" : ", '" + response.body + "'"));
  return response;
}

std::string data_of_events(const std::string& body) {
  std::string out;
  std::istringstream in(body);
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("data: ")) out += line.substr(6) + "\n";
  }
  return out;
}

}  // namespace review
