#include "harness.hpp"

#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

#include "storage/placement.hpp"

namespace chutevane::edge::harness {
namespace {

constexpr http::Limits anything{.head = 64 * 1024, .body = 256U << 20U, .fields = 100};

sockaddr_in loopback(std::uint16_t port) {
  static const std::uint32_t own_address = own_loopback(64);
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr = htonl(own_address);
  return out;
}

std::uint16_t port_of(const sockaddr_in& address) { return ntohs(address.sin_port); }

std::string sized(const std::string& body) {
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

sockaddr_in free_address(net::Scheduler& scheduler) {
  net::Listener probe(scheduler, [](int fd) { ::close(fd); });
  probe.listen(loopback(0));
  const std::optional<sockaddr_in> at = probe.address();
  if (!at) throw std::runtime_error("no free port");
  return *at;
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
      parser_(http::Side::request, anything) {}

void ScriptedConnection::adopt(int fd) {
  // Its place in the script first: what has come already may end it at once.
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
  script_.ended.insert(number_);
  script_.crew.retire(*this);
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
  for (std::size_t i = 0; i < crew.size(); ++i) {
    if (crew[i].number() == number) return &crew[i];
  }
  return nullptr;
}

ScriptedEndpoint::ScriptedEndpoint(Loop& loop, EndpointScript& script, std::string id)
    : id_(std::move(id)), listener_(loop.scheduler, [this, &loop, &script](int fd) {
        const std::size_t number = ++script.accepted;
        script.crew.add(std::make_unique<ScriptedConnection>(script, id_, loop.scheduler, number)).adopt(fd);
      }) {
  listener_.listen(loopback(0));
  address_ = listener_.address().value();
}

std::string answer(int status, const std::string& attempt_id, const std::string& body,
                   const std::string& extra_fields) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  if (!attempt_id.empty()) out += "X-Chutevane-Attempt-Id: " + attempt_id + "\r\n";
  out += "X-Chutevane-Server-Seal: seal-" + attempt_id + "\r\n" + extra_fields;
  return out + sized(body);
}

std::string rejection(int status, const std::string& attempt_id) {
  return answer(status, attempt_id, "full", "X-Chutevane-Not-Executed: full\r\n");
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

std::string whole_stream(const std::string& attempt_id, const std::vector<std::string>& pieces,
                         const std::string& extra_fields) {
  std::string out = stream_head(attempt_id, extra_fields);
  int id = 0;
  for (const std::string& piece : pieces) out += chunk(event_text(++id, piece));
  return out + last_chunk;
}

// ---- kinds of route

std::string name_of(Kind kind) {
  switch (kind) {
    case Kind::idempotent: return "idempotent";
    case Kind::non_idempotent: return "non_idempotent";
    case Kind::streaming: return "streaming";
    case Kind::turn: return "turn";
  }
  return "";
}

std::string good_answer(Kind kind, const std::string& attempt_id, const std::string& extra_fields) {
  if (!streams(kind)) return answer(200, attempt_id, good_body(kind, attempt_id), extra_fields);
  return whole_stream(attempt_id, {"one of " + attempt_id, "two of " + attempt_id}, extra_fields);
}

std::string good_body(Kind kind, const std::string& attempt_id) {
  if (!streams(kind)) return "body of " + attempt_id;
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
  if (!full) throw std::runtime_error("no silent address");
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
  // The list first: the acknowledgement of the value then tells of both.
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
    reserved_now.others = others;
    connection.reply(number, reserved_now);
  });
  rpc_server_.on<common::CommitUsage>(
      [this](common::RpcServer::Connection&, std::uint64_t, const common::CommitUsage& settle) {
        settled[settle.attempt] = settle.used_tokens;
      });
  rpc_server_.on<common::StoreTurnRequest>([this](common::RpcServer::Connection& connection,
                                                  std::uint64_t number,
                                                  const common::StoreTurnRequest& keep) {
    if (silent_on_keep) return;
    kept[keep.turn.id] = keep.turn;
    settled[keep.turn.id] = keep.used_tokens;
    connection.reply(number, common::StoreTurnReply{});
  });
  rpc_server_.on<common::FindTurnRequest>([this](common::RpcServer::Connection& connection,
                                                 std::uint64_t number, const common::FindTurnRequest& find) {
    common::FindTurnReply found;
    if (const auto known = kept.find(find.id); known != kept.end()) found.turns.push_back(known->second);
    if (found.turns.empty()) found.verdict = static_cast<std::int64_t>(storage::ReplicaStatus::not_found);
    connection.reply(number, found);
  });
  rpc_server_.listen(at);
}

// ---- clients

std::string Answer::field(std::string_view name) const {
  for (const auto& [known, value] : fields) {
    if (http::same_name(known, name)) return value;
  }
  return "";
}

ClientConnection::ClientConnection(Loop& loop, const sockaddr_in& to)
    : channel_(loop.scheduler, static_cast<net::Channel::Observer&>(*this)),
      parser_(http::Side::response, anything) {
  if (!channel_.connect(to)) throw std::runtime_error("no descriptor for a client");
}

void ClientConnection::send(std::string_view bytes, bool head) {
  if (waiting_.empty()) parser_.reset(head);
  waiting_.push_back(head);
  channel_.write(bytes);  // goes out once the connection stands
}

void ClientConnection::on_channel_data(net::Channel&) { look(); }

void ClientConnection::look() {
  while (channel_.in_size() > 0) {
    const std::span<char> bytes = channel_.in().bytes();
    if (waiting_.empty()) {
      unasked.append(bytes.data(), bytes.size());
      channel_.in().consume(bytes.size());
      return;
    }
    const http::Progress progress = parser_.feed(bytes);
    if (progress == http::Progress::failed) {
      unasked.append(bytes.data(), bytes.size());
      channel_.in().consume(bytes.size());
      parser_.reset();
      return;
    }
    if (parser_.head_done()) partial_body = parser_.body();
    if (progress != http::Progress::complete) return;
    if (parser_.status() < 200) {
      ++interim;
    } else {
      Answer& one = answers.emplace_back();
      one.status = parser_.status();
      one.body = parser_.body();
      one.whole = true;
      one.keep_alive = parser_.keep_alive();
      for (std::size_t i = 0; i < parser_.fields(); ++i)
        one.fields.emplace_back(parser_.field(i).name, parser_.field(i).value);
      waiting_.pop_front();
    }
    channel_.in().consume(parser_.size());
    partial_body.clear();
    parser_.reset(!waiting_.empty() && waiting_.front());
  }
}

void ClientConnection::on_channel_closed(net::Channel&) {
  ended = true;
  ended_midway = parser_.begun();
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
  return out + (options.method == "GET" || options.method == "HEAD" ? "\r\n" : sized(options.body));
}

RequestOptions request_of(Kind kind) {
  RequestOptions out;
  switch (kind) {
    case Kind::idempotent: out.path = "/idempotent/x"; break;
    case Kind::non_idempotent: out.path = "/once/x"; break;
    case Kind::streaming: out.path = "/stream/x"; break;
    case Kind::turn:
      out.path = "/turn/x";
      out.extra_fields = "Program: p\r\nSession: s\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,20\r\n";
      out.extra_fields += "Previous: " + turn_before + "\r\n";
      break;
  }
  return out;
}

Scene::Scene(std::size_t endpoint_count, const RouteOptions& route, const LimitOptions& limits,
             Informed informed)
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
  front = free_address(loop.scheduler);

  storage_node.node = "storage-1";
  storage_node.disk = "disk-1";
  storage_node.address = net::text_of(storage_address);
  storage_node.zone = "z";
  if (informed == Informed::yes) {
    configure(route, limits);
    control->list(listed);
  }

  common::ProcessSettings settings;
  settings.node = "edge-1";
  settings.zone = "z";
  settings.front = front;
  settings.readiness = free_address(loop.scheduler);
  settings.first_port = port_of(control_address);
  settings.last_port = static_cast<std::uint16_t>(settings.first_port + 1);
  settings.seeds = {control_address};
  settings.memory_mb = 64;
  settings.descriptors = 4096;
  settings.machine_losses = 0;
  edge = std::make_unique<DataPlane>(loop.scheduler, settings);
  if (!edge->open().ok()) throw std::runtime_error("the edge does not open");
  if (informed == Informed::yes && !in_force())
    throw std::runtime_error("the edge has not taken up its configuration");
}

Scene::~Scene() = default;

void Scene::configure(const RouteOptions& route, const LimitOptions& limits) {
  control->configure(configuration_text(route, limits), {storage_node});
}

void Scene::list_endpoints() { control->list(listed); }

bool Scene::in_force() {
  return loop.until([this] { return control->acknowledged(); });
}

std::unique_ptr<ClientConnection> Scene::client() {
  auto out = std::make_unique<ClientConnection>(loop, front);
  loop.until([&] { return out->connected; });
  return out;
}

bool Scene::answered(ClientConnection& client, std::size_t answers) {
  return loop.until([&] { return client.answers.size() >= answers || client.ended; }) &&
         client.answers.size() >= answers;
}

void Scene::answer_well(Kind kind) {
  script.on_request = [kind](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(good_answer(kind, request.attempt_id));
  };
}

bool Scene::prepare(Kind kind) {
  if (kind != Kind::turn) return true;
  // Its connection is not kept: the next request finds the endpoints as a new one does.
  script.on_request = [](ScriptedConnection& connection, const ReceivedRequest& request) {
    connection.send(good_answer(Kind::turn, request.attempt_id, "Connection: close\r\n"));
  };
  RequestOptions first = request_of(Kind::turn);
  first.extra_fields = "Program: p\r\nBudget: 1000\r\nX-Chutevane-Token-Count: 10,20\r\n";
  const Answer got = ask(turn_before, first);
  script.on_request = nullptr;
  return got.status == 200 && storage->kept.contains(turn_before);
}

Answer Scene::ask(const std::string& attempt_id, const RequestOptions& options) {
  const std::unique_ptr<ClientConnection> connection = client();
  connection->send(request_text(attempt_id, options), options.method == "HEAD");
  if (answered(*connection)) return connection->answers.front();
  Answer out;
  out.body = connection->partial_body;
  return out;
}

}  // namespace chutevane::edge::harness
