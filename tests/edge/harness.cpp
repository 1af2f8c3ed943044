/// Scripted endpoints, control, storage and clients of the edge's test environment.
#include "harness.hpp"

#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

#include "storage/placement.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr http::Limits permissive_limits{.head = 64 * 1024, .body = 256U << 20U, .fields = 100};

sockaddr_in loopback(std::uint16_t port) {
  static const std::uint32_t own_address = own_loopback(64);
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr = htonl(own_address);
  return out;
}

std::uint16_t port_of(const sockaddr_in& address) { return ntohs(address.sin_port); }

std::string with_content_length(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

std::uint32_t own_loopback(std::uint8_t network) {
  const std::uint32_t process = static_cast<std::uint32_t>(::getpid()) & 0x3fffU;
  return (127U << 24U) | (static_cast<std::uint32_t>(network) << 16U) | (process << 2U) | 1U;
}

std::string numbered(const char* word, std::size_t number) {
  std::string out = word;
  out += std::to_string(number);
  return out;
}

sockaddr_in free_address(net::Scheduler& scheduler) { return free_addresses(scheduler, 1).front(); }

std::vector<sockaddr_in> free_addresses(net::Scheduler& scheduler, std::size_t count) {
  // All probes stay open until the last port is known: a closed one would be given out again.
  std::vector<std::unique_ptr<net::Listener>> probes;
  std::vector<sockaddr_in> out;
  for (std::size_t i = 0; i < count; ++i) {
    probes.push_back(std::make_unique<net::Listener>(scheduler, [](int fd) { ::close(fd); }));
    probes.back()->listen(loopback(0));
    const std::optional<sockaddr_in> at = probes.back()->address();
    if (!at) throw std::runtime_error("no free loopback port found");
    out.push_back(*at);
  }
  return out;
}

// ---- Loop

bool Loop::until(const std::function<bool()>& done, Span limit) {
  bool late = false;
  net::TimerQueue::Handle bound = later.after(limit, [&late] { late = true; });
  while (!late && !done()) scheduler.turn();
  later.cancel(bound);
  return done();
}

void Loop::run_for(Span span) {
  until([] { return false; }, span);
}

void Loop::freeze(Span span) const {
  const auto us = static_cast<long>(span.as_ms() * 1000);
  timespec rest{us / 1000000, us % 1000000 * 1000};
  while (::nanosleep(&rest, &rest) != 0) {
  }
}

// ---- endpoints

ScriptedConnection::ScriptedConnection(EndpointScript& script, std::string endpoint,
                                       net::Scheduler& scheduler, std::size_t number)
    : script_(script),
      endpoint_(std::move(endpoint)),
      number_(number),
      channel_(scheduler, static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::request, permissive_limits) {}

void ScriptedConnection::adopt(int fd) {
  // The script is called first, because data that has already arrived may close the connection in adopt().
  if (script_.on_accept) script_.on_accept(*this);
  channel_.adopt(fd);
}

void ScriptedConnection::close() {
  if (!channel_.open()) return;
  channel_.close();
  on_channel_closed(channel_);
}

void ScriptedConnection::reset() {
  if (!channel_.open()) return;
  channel_.reset();
  on_channel_closed(channel_);
}

void ScriptedConnection::on_channel_closed(net::Channel&) {
  script_.closed_connections.insert(number_);
  script_.connections.retire(*this);
}

void ScriptedConnection::on_channel_data(net::Channel&) {
  while (channel_.open() && channel_.in_size() > 0) {
    if (!std::exchange(bytes_seen_, true) && script_.on_bytes) {
      script_.on_bytes(*this);
      if (!channel_.open()) return;
    }
    const http::Progress progress = parser_.feed(channel_.in().bytes());
    if (progress == http::Progress::failed) return close();
    if (!parser_.head_done()) return;
    const std::string id(parser_.find("X-Chutevane-Attempt-Id").value_or(""));
    if (!std::exchange(head_seen_, true)) {
      ++script_.heads[id];
      script_.reached[id].insert(endpoint_);
      if (script_.on_head) script_.on_head(*this, id);
      if (!channel_.open()) return;
    }
    if (progress != http::Progress::complete) return;
    ReceivedRequest request;
    request.method = parser_.method();
    request.target = parser_.target();
    request.attempt_id = id;
    request.target_instance = parser_.find("X-Chutevane-Target-Instance").value_or("");
    request.last_event = parser_.find("Last-Event-Id").value_or("");
    request.body = parser_.body();
    request.connection = number_;
    request.endpoint = endpoint_;
    channel_.in().consume(parser_.size());
    parser_.reset();
    bytes_seen_ = head_seen_ = false;
    ++requests;
    script_.received.push_back(request);
    if (script_.on_request) script_.on_request(*this, request);
  }
}

std::size_t EndpointScript::executions(const std::string& attempt_id) const {
  return static_cast<std::size_t>(
      std::count_if(received.begin(), received.end(),
                    [&](const ReceivedRequest& request) { return request.attempt_id == attempt_id; }));
}

ScriptedConnection* EndpointScript::connection(std::size_t number) {
  for (std::size_t i = 0; i < connections.size(); ++i) {
    if (connections[i].number() == number) return &connections[i];
  }
  return nullptr;
}

ScriptedEndpoint::ScriptedEndpoint(Loop& loop, EndpointScript& script, std::string id)
    : id_(std::move(id)), listener_(loop.scheduler, [this, &loop, &script](int fd) {
        const std::size_t number = ++script.accepted;
        script.connections.add(std::make_unique<ScriptedConnection>(script, id_, loop.scheduler, number))
            .adopt(fd);
      }) {
  listener_.listen(loopback(0));
  address_ = listener_.address().value();
}

std::string response_text(int status, const std::string& attempt_id, const std::string& body,
                          const std::string& extra_fields) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  if (!attempt_id.empty()) out += "X-Chutevane-Attempt-Id: " + attempt_id + "\r\n";
  out += "X-Chutevane-Server-Seal: seal-" + attempt_id + "\r\n" + extra_fields;
  return out + with_content_length(body);
}

std::string rejection(int status, const std::string& attempt_id) {
  return response_text(status, attempt_id, "full", "X-Chutevane-Not-Executed: full\r\n");
}

std::string stream_head(const std::string& attempt_id, const std::string& extra_fields) {
  return "HTTP/1.1 200 OK\r\nX-Chutevane-Attempt-Id: " + attempt_id + "\r\nX-Chutevane-Server-Seal: seal-" +
         attempt_id + "\r\n" + extra_fields +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string event_text(int id, const std::string& data) {
  return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

std::string chunk(const std::string& bytes) {
  char size[24];
  const int n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return std::string(size, static_cast<std::size_t>(n)) + bytes + "\r\n";
}

std::string complete_stream(const std::string& attempt_id, const std::vector<std::string>& pieces,
                            const std::string& extra_fields) {
  std::string out = stream_head(attempt_id, extra_fields);
  int id = 0;
  for (const std::string& piece : pieces) out += chunk(event_text(++id, piece));
  return out + last_chunk;
}

// ---- kinds of routes

std::string name_of(RouteKind kind) {
  switch (kind) {
    case RouteKind::idempotent: return "idempotent";
    case RouteKind::non_idempotent: return "non_idempotent";
    case RouteKind::streaming: return "streaming";
    case RouteKind::turn: return "turn";
  }
  return "";
}

std::string valid_response(RouteKind kind, const std::string& attempt_id, const std::string& extra_fields) {
  if (!is_streaming(kind)) return response_text(200, attempt_id, valid_body(kind, attempt_id), extra_fields);
  return complete_stream(attempt_id, {"one of " + attempt_id, "two of " + attempt_id}, extra_fields);
}

std::string valid_body(RouteKind kind, const std::string& attempt_id) {
  if (!is_streaming(kind)) return "body of " + attempt_id;
  return event_text(1, "one of " + attempt_id) + event_text(2, "two of " + attempt_id);
}

SilentAddress::SilentAddress()
    : listening_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      filler_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  address_.sin_family = AF_INET;
  address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* const at = reinterpret_cast<sockaddr*>(&address_);
  socklen_t size = sizeof address_;
  const bool full = ::bind(listening_, at, size) == 0 && ::listen(listening_, 0) == 0 &&
                    ::getsockname(listening_, at, &size) == 0 && ::connect(filler_, at, size) == 0;
  if (!full) throw std::runtime_error("cannot fill the accept queue of a loopback address");
}

SilentAddress::~SilentAddress() {
  ::close(filler_);
  ::close(listening_);
}

// ---- control and storage

ScriptedControl::ScriptedControl(Loop& loop, const sockaddr_in& at) : rpc_server_(loop.scheduler) {
  rpc_server_.on<common::MemberHeartbeat>(
      [this](common::RpcServer::Connection& connection, std::uint64_t, common::MemberHeartbeat& hello) {
        connections_.insert(connection.id());
        member_ = hello.member;
        acknowledged_value_ = hello.member.number;
        acknowledged_list_ = hello.list_number;
        bring_up_to_date(connection, hello);
      });
  rpc_server_.on_close(
      [this](common::RpcServer::Connection& connection) { connections_.erase(connection.id()); });
  rpc_server_.listen(at);
}

void ScriptedControl::bring_up_to_date(common::RpcServer::Connection& connection,
                                       const common::MemberHeartbeat& hello) {
  common::ControlHeartbeat heartbeat;
  heartbeat.knowledge_age_ms = 0;
  heartbeat.echo_stamp = hello.stamp;
  heartbeat.number = value_.number + heartbeat_ahead_;
  heartbeat.edge_count = 1;
  connection.send(heartbeat);
  // The list is sent first, so that the acknowledgement of the value covers both.
  if (hello.list_number < list_.number) connection.send(list_);
  if (hello.member.number < value_.number) connection.send(common::ValuePush{value_.number, value_, {}});
}

void ScriptedControl::configure(const std::string& configuration,
                                const std::vector<common::StorageNode>& storage, std::int64_t map) {
  ++value_.number;
  ++value_.config_version;
  value_.epoch = 1;
  value_.config.data = configuration;
  value_.map_version = map;
  value_.storage_nodes = storage;
  for (const std::uint64_t id : connections_) {
    if (common::RpcServer::Connection* const connection = rpc_server_.find(id))
      connection->send(common::ValuePush{value_.number, value_, {}});
  }
}

void ScriptedControl::list(const std::vector<common::EndpointEntry>& endpoints) {
  list_.term = 1;
  ++list_.number;
  list_.base = 0;
  list_.entries = endpoints;
  for (const std::uint64_t id : connections_) {
    if (common::RpcServer::Connection* const connection = rpc_server_.find(id)) connection->send(list_);
  }
}

bool ScriptedControl::acknowledged() const {
  return acknowledged_value_ == value_.number && acknowledged_list_ == list_.number;
}

ScriptedStorage::ScriptedStorage(Loop& loop, const sockaddr_in& at) : rpc_server_(loop.scheduler) {
  rpc_server_.on<common::ReserveRequest>([this](common::RpcServer::Connection& connection,
                                                std::uint64_t number, const common::ReserveRequest& reserve) {
    if (silent_on_reserve) return;
    reserved[reserve.attempt] = reserve.max_tokens;
    common::ReserveReply reserved_now;
    reserved_now.others = other_reservations;
    connection.reply(number, reserved_now);
  });
  rpc_server_.on<common::CommitUsage>(
      [this](common::RpcServer::Connection&, std::uint64_t, const common::CommitUsage& settle) {
        committed[settle.attempt] = settle.used_tokens;
      });
  rpc_server_.on<common::StoreTurnRequest>([this](common::RpcServer::Connection& connection,
                                                  std::uint64_t number,
                                                  const common::StoreTurnRequest& keep) {
    if (silent_on_store) return;
    common::StoreTurnReply reply;
    if (has_no_room && !stored_turns.contains(keep.turn.id)) {
      reply.verdict = static_cast<std::int64_t>(storage::ReplicaStatus::out_of_capacity);
      return connection.reply(number, reply);
    }
    stored_turns[keep.turn.id] = keep.turn;
    committed[keep.turn.id] = keep.used_tokens;
    if (!keep.turn.previous.empty() && !stored_turns.contains(keep.turn.previous))
      reply.verdict = static_cast<std::int64_t>(storage::ReplicaStatus::chain_incomplete);
    connection.reply(number, reply);
  });
  rpc_server_.on<common::FindTurnRequest>([this](common::RpcServer::Connection& connection,
                                                 std::uint64_t number, const common::FindTurnRequest& find) {
    common::FindTurnReply found;
    if (const auto known = stored_turns.find(find.id); known != stored_turns.end())
      found.turns.push_back(known->second);
    if (found.turns.empty()) found.verdict = static_cast<std::int64_t>(storage::ReplicaStatus::not_found);
    connection.reply(number, found);
  });
  rpc_server_.listen(at);
}

// ---- clients

std::string Response::field(std::string_view name) const {
  for (const auto& [known, value] : fields) {
    if (http::same_name(known, name)) return value;
  }
  return "";
}

ClientConnection::ClientConnection(Loop& loop, const sockaddr_in& to)
    : channel_(loop.scheduler, static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::response, permissive_limits) {
  if (!channel_.connect(to)) throw std::runtime_error("cannot open a socket for a client connection");
}

void ClientConnection::send(std::string_view bytes, bool head) {
  if (pending_requests_.empty()) parser_.reset(head);
  pending_requests_.push_back(head);
  channel_.write(bytes);  // sent once the connection is established
}

void ClientConnection::on_channel_data(net::Channel&) { process_input(); }

void ClientConnection::process_input() {
  while (channel_.in_size() > 0) {
    const std::span<char> bytes = channel_.in().bytes();
    if (pending_requests_.empty()) {
      unsolicited.append(bytes.data(), bytes.size());
      channel_.in().consume(bytes.size());
      return;
    }
    const http::Progress progress = parser_.feed(bytes);
    if (progress == http::Progress::failed) {
      unsolicited.append(bytes.data(), bytes.size());
      channel_.in().consume(bytes.size());
      parser_.reset();
      return;
    }
    if (parser_.head_done()) partial_body.append(parser_.body().substr(partial_body.size()));
    if (progress != http::Progress::complete) return;
    if (parser_.status() < 200) {
      ++interim_responses;
    } else {
      Response& one = responses.emplace_back();
      one.status = parser_.status();
      one.body = parser_.body();
      one.is_complete = true;
      one.keep_alive = parser_.keep_alive();
      for (std::size_t i = 0; i < parser_.fields(); ++i)
        one.fields.emplace_back(parser_.field(i).name, parser_.field(i).value);
      pending_requests_.pop_front();
    }
    channel_.in().consume(parser_.size());
    partial_body.clear();
    parser_.reset(!pending_requests_.empty() && pending_requests_.front());
  }
}

void ClientConnection::on_channel_closed(net::Channel&) {
  closed = true;
  closed_mid_response = parser_.begun();
}

// ---- the edge

std::string configuration_text(const RouteOptions& route, const LimitOptions& limits) {
  const auto one = [&](const std::string& name, const std::string& type, const std::string& extra) {
    return R"({"name":")" + name + R"(","host":"h.example","pathPrefix":"/)" + name + R"(/","routeType":")" +
           type + R"(","service":"s","timeoutMs":)" + std::to_string(route.timeout_ms) +
           R"(,"maxAttempts":)" + std::to_string(route.max_attempts) + extra + "}";
  };
  const std::string engine = route.tokens_per_event == 0
                                 ? ""
                                 : R"(,"engine":{"capacity":16,"kvCapacity":100000,"tokensPerEvent":)" +
                                       std::to_string(route.tokens_per_event) + "}";
  return R"({"version":1,"routes":[)" + one("idempotent", "idempotent", "") + "," +
         one("once", "non_idempotent", "") + "," +
         one("stream", "streaming", route.resumable ? R"(,"resumable":true)" : "") + "," +
         one("turn", "streaming", R"(,"retained":true,"retentionS":60)") + R"(],"services":[{"name":"s")" +
         engine + R"(}],"limits":{"maxBodyBytes":)" + std::to_string(limits.body_bytes) +
         R"(,"headerTimeoutMs":)" + std::to_string(limits.header_ms) + R"(,"idleTimeoutMs":)" +
         std::to_string(limits.idle_ms) + "}}";
}

std::string request_text(const std::string& attempt_id, const RequestOptions& options) {
  std::string out = options.method + " " + options.path + " HTTP/1.1\r\nHost: h.example\r\n";
  if (!attempt_id.empty()) out += "X-Chutevane-Attempt-Id: " + attempt_id + "\r\n";
  out += "X-Chutevane-Time-Remaining: " + std::to_string(options.time_remaining_ms) + "\r\n";
  out += options.extra_fields;
  return out +
         (options.method == "GET" || options.method == "HEAD" ? "\r\n" : with_content_length(options.body));
}

RequestOptions request_of(RouteKind kind) {
  RequestOptions out;
  switch (kind) {
    case RouteKind::idempotent: out.path = "/idempotent/x"; break;
    case RouteKind::non_idempotent: out.path = "/once/x"; break;
    case RouteKind::streaming: out.path = "/stream/x"; break;
    case RouteKind::turn:
      out.path = "/turn/x";
      out.extra_fields = "Program: p\r\nSession: s\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,20\r\n";
      out.extra_fields += "Previous: " + previous_turn_id + "\r\n";
      break;
  }
  return out;
}

TestEnvironment::TestEnvironment(std::size_t endpoint_count, const RouteOptions& route,
                                 const LimitOptions& limits, Configured configured)
    : script(loop.scheduler) {
  for (std::size_t i = 0; i < endpoint_count; ++i) {
    endpoints.push_back(std::make_unique<ScriptedEndpoint>(loop, script, numbered("i-", i + 1)));
    common::EndpointEntry& entry = listed.emplace_back();
    entry.id = endpoints.back()->id();
    entry.service = "s";
    entry.address = net::text_of(endpoints.back()->address());
    entry.zone = "z";
    entry.capacity = 16;
  }
  const sockaddr_in control_address = free_address(loop.scheduler);
  control = std::make_unique<ScriptedControl>(loop, control_address);
  const sockaddr_in storage_address = free_address(loop.scheduler);
  storage = std::make_unique<ScriptedStorage>(loop, storage_address);
  const std::vector<sockaddr_in> edge_addresses = free_addresses(loop.scheduler, 2);
  front = edge_addresses.front();

  storage_node.node = "storage-1";
  storage_node.disk = "disk-1";
  storage_node.address = net::text_of(storage_address);
  storage_node.zone = "z";
  if (configured == Configured::yes) {
    configure(route, limits);
    control->list(listed);
  }

  common::ProcessSettings settings;
  settings.node = "edge-1";
  settings.zone = "z";
  settings.front = front;
  settings.readiness = edge_addresses.back();
  settings.first_port = port_of(control_address);
  settings.last_port = static_cast<std::uint16_t>(settings.first_port + 1);
  settings.seeds = {control_address};
  settings.memory_mb = 64;
  settings.descriptors = 4096;
  settings.machine_losses = 0;
  edge = std::make_unique<DataPlane>(loop.scheduler, settings);
  if (!edge->open().ok()) throw std::runtime_error("the edge failed to open");
  if (configured == Configured::yes && !wait_until_applied())
    throw std::runtime_error("the edge has not applied its configuration");
}

TestEnvironment::~TestEnvironment() = default;

void TestEnvironment::configure(const RouteOptions& route, const LimitOptions& limits) {
  control->configure(configuration_text(route, limits), {storage_node});
}

void TestEnvironment::list_endpoints() { control->list(listed); }

bool TestEnvironment::wait_until_applied() {
  return loop.until([this] { return control->acknowledged(); });
}

std::unique_ptr<ClientConnection> TestEnvironment::client() {
  auto out = std::make_unique<ClientConnection>(loop, front);
  loop.until([&] { return out->connected; });
  return out;
}

bool TestEnvironment::wait_for_responses(ClientConnection& client, std::size_t responses) {
  return loop.until([&] { return client.responses.size() >= responses || client.closed; }) &&
         client.responses.size() >= responses;
}

void TestEnvironment::respond_normally(RouteKind kind) {
  script.on_request = [kind](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(valid_response(kind, request.attempt_id));
  };
}

bool TestEnvironment::prepare_previous_turn(RouteKind kind) {
  if (kind != RouteKind::turn) return true;
  // The connection is closed, so that the next request starts without an idle connection.
  script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(valid_response(RouteKind::turn, request.attempt_id, "Connection: close\r\n"));
  };
  RequestOptions first = request_of(RouteKind::turn);
  first.extra_fields = "Program: p\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,20\r\n";
  const Response response = send_request(previous_turn_id, first);
  script.on_request = nullptr;
  return response.status == 200 && storage->stored_turns.contains(previous_turn_id);
}

Response TestEnvironment::send_request(const std::string& attempt_id, const RequestOptions& options) {
  const std::unique_ptr<ClientConnection> connection = client();
  connection->send(request_text(attempt_id, options), options.method == "HEAD");
  if (wait_for_responses(*connection)) return connection->responses.front();
  Response out;
  out.body = connection->partial_body;
  return out;
}

}  // namespace chutevane::edge::harness
