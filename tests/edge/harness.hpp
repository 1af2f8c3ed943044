/// Test environment: a real edge between scripted peers, all on one event loop with real loopback sockets.
///
/// The edge under test is the production DataPlane on the machine's epoll. Its peers are a control session
/// that pushes the state that a test needs, a storage node, endpoints that misbehave byte by byte, and client
/// connections that record everything they receive. Everything runs on the test's own thread: nothing happens
/// between two iterations of the loop, nothing sleeps, and every wait is bounded.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/messages.hpp"
#include "common/rpc.hpp"
#include "edge/data_plane.hpp"
#include "http/parser.hpp"
#include "net/channel.hpp"
#include "net/scheduler.hpp"
#include "net/task_group.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::edge::harness {

constexpr Span wait_limit = Span::ms(5000);  // default bound of a wait

// Returns an address of 127.`network`.0.0/16 that only this process uses, so that a test running in parallel
// can't take a port that was just found free.
std::uint32_t own_loopback(std::uint8_t network);
// Returns the word followed by the number.
std::string numbered(const char* word, std::size_t number);
// Returns a loopback address with a port that is currently free.
sockaddr_in free_address(net::Scheduler& scheduler);
// Returns `count` loopback addresses with ports that are currently free and differ from each other.
std::vector<sockaddr_in> free_addresses(net::Scheduler& scheduler, std::size_t count);

// The event loop shared by everything in a test.
class Loop {
 public:
  Loop() : later(scheduler) {}
  // Runs the loop until `done` returns true. Returns false if that does not happen within the limit.
  bool until(const std::function<bool()>& done, Span limit = wait_limit);
  // Runs the loop for `span`, so that events that must not happen would have time to.
  void run_for(Span span);
  // Blocks the whole loop, like a suspended process. Data that arrives meanwhile waits in the sockets.
  void freeze(Span span) const;

  net::Scheduler scheduler;
  net::TimerQueue later;
};

// ---- endpoints

// A request that an endpoint received completely.
struct ReceivedRequest {
  std::string method, target, attempt_id, target_instance, last_event, body;
  std::size_t connection = 0;  // number of the connection, starting at 1, across all endpoints of the script
  std::string endpoint;
};

class EndpointScript;

// The endpoint's side of a connection. The script determines every byte that is sent.
class ScriptedConnection final : net::Channel::Observer {
 public:
  ScriptedConnection(EndpointScript& script, std::string endpoint, net::Scheduler& scheduler,
                     std::size_t number);
  void adopt(int fd);
  void send(std::string_view bytes) { channel_.write(bytes); }
  void close();
  void reset();
  void stop_reading() { channel_.set_reading_paused(true); }
  void resume_reading() { channel_.set_reading_paused(false); }
  bool open() const { return channel_.open(); }
  std::size_t number() const { return number_; }
  const std::string& endpoint() const { return endpoint_; }
  std::size_t requests = 0;  // requests received completely on this connection
  std::size_t group_index = 0;

 private:
  void on_channel_data(net::Channel&) override;
  void on_channel_closed(net::Channel&) override;

  EndpointScript& script_;
  const std::string endpoint_;
  const std::size_t number_;
  net::Channel channel_;
  http::Parser parser_;
  bool bytes_seen_ = false, head_seen_ = false;
};

// The behaviour of all endpoints of a test, and a record of what they received. Callbacks may close the
// connection.
class EndpointScript {
 public:
  explicit EndpointScript(net::Scheduler& scheduler) : connections(scheduler) {}

  std::function<void(ScriptedConnection&)> on_accept;
  // Called for the first bytes of a request, before they are parsed.
  std::function<void(ScriptedConnection&)> on_bytes;
  std::function<void(ScriptedConnection&, const std::string& attempt_id)> on_head;
  std::function<void(ScriptedConnection&, const ReceivedRequest&)> on_request;

  std::vector<ReceivedRequest> received;                 // all requests received completely
  std::map<std::string, std::set<std::string>> reached;  // attempt id -> endpoints that received its head
  std::map<std::string, std::size_t> heads;              // attempt id -> heads received, across all endpoints
  std::set<std::size_t> closed_connections;              // numbers of closed connections
  std::size_t accepted = 0;
  net::TaskGroup<ScriptedConnection> connections;

  // Returns how often a request with this attempt id was received completely.
  std::size_t executions(const std::string& attempt_id) const;
  // Returns the connection with that number, or null if it is closed.
  ScriptedConnection* connection(std::size_t number);
};

// A listening endpoint whose connections follow the script.
class ScriptedEndpoint {
 public:
  ScriptedEndpoint(Loop& loop, EndpointScript& script, std::string id);
  sockaddr_in address() const { return address_; }
  const std::string& id() const { return id_; }
  void stop_listening() { listener_.close(); }  // new connections are refused from now on

 private:
  const std::string id_;
  sockaddr_in address_{};
  net::Listener listener_;
};

// An address whose accept queue is full: a connection attempt neither succeeds nor is refused.
class SilentAddress {
 public:
  SilentAddress();
  ~SilentAddress();
  SilentAddress(const SilentAddress&) = delete;
  SilentAddress& operator=(const SilentAddress&) = delete;
  sockaddr_in address() const { return address_; }

 private:
  int listening_ = -1, filler_ = -1;
  sockaddr_in address_{};
};

// Responses of an endpoint according to the protocol.
std::string response_text(int status, const std::string& attempt_id, const std::string& body,
                          const std::string& extra_fields = "");
std::string rejection(int status, const std::string& attempt_id);  // with proof that the request did not run
std::string stream_head(const std::string& attempt_id, const std::string& extra_fields = "");
std::string event_text(int id, const std::string& data);
std::string chunk(const std::string& bytes);
inline const std::string last_chunk = "0\r\n\r\n";
std::string complete_stream(const std::string& attempt_id, const std::vector<std::string>& pieces,
                            const std::string& extra_fields = "");

// ---- kinds of routes

enum class RouteKind : std::uint8_t { idempotent, non_idempotent, streaming, turn };
constexpr RouteKind all_kinds[] = {RouteKind::idempotent, RouteKind::non_idempotent, RouteKind::streaming,
                                   RouteKind::turn};
std::string name_of(RouteKind kind);
constexpr bool is_streaming(RouteKind kind) {
  return kind == RouteKind::streaming || kind == RouteKind::turn;
}
// The response of an endpoint without faults, and the body that the client should receive.
std::string valid_response(RouteKind kind, const std::string& attempt_id,
                           const std::string& extra_fields = "");
std::string valid_body(RouteKind kind, const std::string& attempt_id);

// ---- control and storage

// The control side of the edge's session. Pushes one configuration and one endpoint list.
class ScriptedControl {
 public:
  ScriptedControl(Loop& loop, const sockaddr_in& at);
  // Pushes a new configuration and storage map to all sessions.
  void configure(const std::string& configuration, const std::vector<common::StorageNode>& storage,
                 std::int64_t map = 1);
  void list(const std::vector<common::EndpointEntry>& endpoints);
  // Makes heartbeats announce a value that is newer by `by` than any value that is pushed.
  void announce_newer_value(std::int64_t by) { heartbeat_ahead_ = by; }
  // Returns the member of the last heartbeat.
  const std::optional<common::Member>& member() const { return member_; }
  void forget_member() { member_.reset(); }
  // Returns true if the edge has acknowledged the newest value and the newest list.
  bool acknowledged() const;

 private:
  void bring_up_to_date(common::RpcServer::Connection& connection, const common::MemberHeartbeat& hello);
  common::RpcServer rpc_server_;
  common::RegisterValue value_;
  common::EndpointList list_;
  std::int64_t heartbeat_ahead_ = 0;
  std::optional<common::Member> member_;
  std::int64_t acknowledged_value_ = -1, acknowledged_list_ = -1;
  std::set<std::uint64_t> connections_;
};

// A storage node that accepts each turn of which it has all ancestors, or does not reply at all.
class ScriptedStorage {
 public:
  ScriptedStorage(Loop& loop, const sockaddr_in& at);
  bool has_no_room = false;  // turns that it does not have yet are not stored
  bool silent_on_reserve = false, silent_on_store = false;
  std::map<std::string, std::int64_t> reserved;   // attempt id -> tokens
  std::map<std::string, std::int64_t> committed;  // attempt id -> tokens used; 0 if the request never ran
  std::map<std::string, common::Turn> stored_turns;
  std::vector<common::Reservation> other_reservations;  // reported in the reply to a reservation

 private:
  common::RpcServer rpc_server_;
};

// ---- clients

struct Response {
  int status = 0;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields;
  bool is_complete = false;  // false if the connection closed in the middle of the response
  bool keep_alive = false;
  std::string field(std::string_view name) const;  // returns an empty string if the field is absent
};

// A client's connection. Records responses in the order of their arrival, and any other bytes.
class ClientConnection final : net::Channel::Observer {
 public:
  ClientConnection(Loop& loop, const sockaddr_in& to);
  // Writes a request. `head` is true for a HEAD request, whose response has no body.
  void send(std::string_view bytes, bool head = false);
  void send_more(std::string_view bytes) { channel_.write(bytes); }
  // Reserves buffer space, so that a large response is not copied repeatedly while it arrives.
  void reserve_buffer(std::size_t bytes) { channel_.in().room(bytes); }
  void close() { channel_.close(); }
  void reset() { channel_.reset(); }
  void shutdown_write() { channel_.shutdown_write_when_flushed(); }
  void stop_reading() { channel_.set_reading_paused(true); }
  void resume_reading() { channel_.set_reading_paused(false); }

  std::vector<Response> responses;
  std::size_t interim_responses = 0;  // number of 1xx responses
  std::string unsolicited;            // bytes received without a pending request, or that are not a response
  std::string partial_body;           // of the response that is being received
  bool closed = false;                // the edge has closed the connection
  bool closed_mid_response = false;   // closed in the middle of a response
  bool connected = false;

 private:
  void on_channel_open(net::Channel&) override { connected = true; }
  void on_channel_data(net::Channel&) override;
  void on_channel_closed(net::Channel&) override;
  void process_input();
  net::Channel channel_;
  http::Parser parser_;
  std::deque<bool> pending_requests_;  // for each unanswered request, whether it is a HEAD request
  std::string out_;                    // unsent bytes, before the connection is established
};

// ---- the edge

struct RouteOptions {
  int timeout_ms = 4000, max_attempts = 3;
  bool resumable = false;    // for the streaming route
  int tokens_per_event = 0;  // of the service's engine; 0 if not configured
};
struct LimitOptions {
  int header_ms = 3000, idle_ms = 15000;
  std::size_t body_bytes = 64U << 20U;
};

// Returns a configuration with routes for the paths /idempotent/, /once/, /stream/ and /turn/.
std::string configuration_text(const RouteOptions& route, const LimitOptions& limits);

struct RequestOptions {
  std::string path = "/once/x", method = "POST", body = "asked";
  int time_remaining_ms = 20000;
  std::string extra_fields;
};
std::string request_text(const std::string& attempt_id, const RequestOptions& options);
// Returns a request to a route of that kind. A turn continues the turn `previous_turn_id` and has a budget.
RequestOptions request_of(RouteKind kind);
inline const std::string previous_turn_id = "before";

// The edge with all its peers.
class TestEnvironment {
 public:
  enum class Configured : bool { no, yes };
  // If `configured` is `yes`, the edge has applied its configuration and endpoint list when the constructor
  // returns; otherwise control has not pushed anything.
  explicit TestEnvironment(std::size_t endpoints, const RouteOptions& route = {},
                           const LimitOptions& limits = {}, Configured configured = Configured::yes);
  ~TestEnvironment();
  // Pushes another configuration of the same routes.
  void configure(const RouteOptions& route, const LimitOptions& limits);
  // Pushes the endpoints in `listed`.
  void list_endpoints();
  // Waits until the edge has applied the newest configuration and list. Returns false on timeout.
  bool wait_until_applied();
  std::unique_ptr<ClientConnection> client();
  // Sends one request on a new connection and waits for the response or the end of the connection.
  Response send_request(const std::string& attempt_id, const RequestOptions& options);
  bool wait_for_responses(ClientConnection& client, std::size_t responses = 1);
  // Makes the endpoints answer every request with a valid response.
  void respond_normally(RouteKind kind);
  // For the kind `turn`, runs and stores the turn that a request of request_of() continues. Returns false on
  // failure.
  bool prepare_previous_turn(RouteKind kind);

  Loop loop;
  EndpointScript script;
  std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
  std::vector<common::EndpointEntry> listed;
  std::unique_ptr<ScriptedControl> control;
  std::unique_ptr<ScriptedStorage> storage;
  common::StorageNode storage_node;
  sockaddr_in front{};
  std::unique_ptr<DataPlane> edge;
};

}  // namespace chutevane::edge::harness
