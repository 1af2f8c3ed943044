/// A real edge between scripted peers, all on one loop and real loopback sockets.
///
/// The edge under test is the production DataPlane on the machine's epoll. Around it stand a control session
/// that pushes what a test wants in force, a storage sidecar, endpoints that play a misbehaviour byte by
/// byte, and client connections that keep whatever came back. Everything runs on the test's own thread:
/// nothing happens between two turns of the loop, nothing sleeps, and every wait has a bound.
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

constexpr Span wait_limit = Span::ms(5000);  // for anything that is expected to happen

// An address of 127.`network`.0.0/16 that is this process's own: a port that was free there a moment ago is
// not taken by a test beside it.
std::uint32_t own_loopback(std::uint8_t network);
// A word and its number.
std::string numbered(const char* word, std::size_t number);
// An address on loopback whose port nobody had a moment ago.
sockaddr_in free_address(net::Scheduler& scheduler);

// The loop that everything in a test shares.
class Loop {
 public:
  Loop() : later(scheduler) {}
  // Turns the loop until `done` holds. False: it did not within the limit.
  bool until(const std::function<bool()>& done, Span limit = wait_limit);
  // Turns the loop for so long, so that what must not happen has its chance to.
  void run_for(Span span);
  // Stops the whole loop, as a process that is frozen: what comes meanwhile waits in the sockets.
  void freeze(Span span) const;

  net::Scheduler scheduler;
  net::TimerQueue later;
};

// ---- endpoints

// A request as it came whole to an endpoint.
struct ReceivedRequest {
  std::string method, target, attempt_id, target_instance, last_event, body;
  std::size_t connection = 0;  // the number of the connection, from 1 on, over all endpoints of the script
  std::string endpoint;
};

class EndpointScript;

// One connection as the script of an endpoint sees it. The script says every byte.
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
  std::size_t requests = 0;  // that came whole on it
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

// What all endpoints of a test do, and what they have seen. Callbacks may end the connection.
class EndpointScript {
 public:
  explicit EndpointScript(net::Scheduler& scheduler) : crew(scheduler) {}

  std::function<void(ScriptedConnection&)> on_accept;
  // The first bytes of a request, before they are read.
  std::function<void(ScriptedConnection&)> on_bytes;
  std::function<void(ScriptedConnection&, const std::string& attempt_id)> on_head;
  std::function<void(ScriptedConnection&, const ReceivedRequest&)> on_request;

  std::vector<ReceivedRequest> received;                 // every request that came whole
  std::map<std::string, std::set<std::string>> reached;  // attempt id -> endpoints that got its head
  std::map<std::string, std::size_t> heads;              // attempt id -> heads that came, over all endpoints
  std::set<std::size_t> ended;                           // connections that are over
  std::size_t accepted = 0;
  net::TaskGroup<ScriptedConnection> crew;

  std::size_t executions(const std::string& attempt_id) const;
  // The open connection of that number, if it is still open.
  ScriptedConnection* connection(std::size_t number);
};

class ScriptedEndpoint {
 public:
  ScriptedEndpoint(Loop& loop, EndpointScript& script, std::string id);
  sockaddr_in address() const { return address_; }
  const std::string& id() const { return id_; }
  void stop_listening() { listener_.close(); }  // from here on connecting is refused

 private:
  const std::string id_;
  sockaddr_in address_{};
  net::Listener listener_;
};

// An address whose queue of connections is full: connecting neither succeeds nor is refused.
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

// Answers as the protocol has them.
std::string answer(int status, const std::string& attempt_id, const std::string& body,
                   const std::string& extra_fields = "");
std::string rejection(int status, const std::string& attempt_id);  // that proves that it did not run
std::string stream_head(const std::string& attempt_id, const std::string& extra_fields = "");
std::string event_text(int id, const std::string& data);
std::string chunk(const std::string& bytes);
inline const std::string last_chunk = "0\r\n\r\n";
std::string whole_stream(const std::string& attempt_id, const std::vector<std::string>& pieces,
                         const std::string& extra_fields = "");

// ---- kinds of route

enum class Kind : std::uint8_t { idempotent, non_idempotent, streaming, turn };
constexpr Kind all_kinds[] = {Kind::idempotent, Kind::non_idempotent, Kind::streaming, Kind::turn};
std::string name_of(Kind kind);
constexpr bool streams(Kind kind) { return kind == Kind::streaming || kind == Kind::turn; }
// What an endpoint says where nothing is wrong, and the body that its client is to get.
std::string good_answer(Kind kind, const std::string& attempt_id, const std::string& extra_fields = "");
std::string good_body(Kind kind, const std::string& attempt_id);

// ---- control and storage

// The control side of the edge's session: pushes one configuration and one list.
class ScriptedControl {
 public:
  ScriptedControl(Loop& loop, const sockaddr_in& at);
  // In force from the next word on.
  void configure(const std::string& configuration, const std::vector<common::StorageNode>& storage,
                 std::int64_t map = 1);
  void list(const std::vector<common::EndpointEntry>& endpoints);
  // Heartbeats name a value that is newer by so much than any that is pushed.
  void name_a_newer_value(std::int64_t by) { heartbeat_ahead_ = by; }
  // Who has a session, by its last word.
  const std::optional<common::Member>& member() const { return member_; }
  void forget_member() { member_.reset(); }
  // Whether the edge has told that it has the newest of both.
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

// One storage sidecar that has room for everything, or says nothing at all.
class ScriptedStorage {
 public:
  ScriptedStorage(Loop& loop, const sockaddr_in& at);
  bool silent_on_reserve = false, silent_on_keep = false;
  std::map<std::string, std::int64_t> reserved;  // attempt id -> tokens
  std::map<std::string, std::int64_t> settled;   // attempt id -> tokens used; 0: it never ran
  std::map<std::string, common::Turn> kept;
  std::vector<common::Reservation> others;  // of the program, as a reservation is told

 private:
  common::RpcServer rpc_server_;
};

// ---- clients

struct Answer {
  int status = 0;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields;
  bool whole = false;  // false: the connection ended in its middle
  bool keep_alive = false;
  std::string field(std::string_view name) const;  // empty: there is none
};

// A client's connection: answers in the order in which they came, and whether anything else came.
class ClientConnection final : net::Channel::Observer {
 public:
  ClientConnection(Loop& loop, const sockaddr_in& to);
  // Writes a request; `head`: for a HEAD, whose answer has no body.
  void send(std::string_view bytes, bool head = false);
  void send_more(std::string_view bytes) { channel_.write(bytes); }
  // So that a large answer is not moved about as it comes.
  void make_room(std::size_t bytes) { channel_.in().room(bytes); }
  void close() { channel_.close(); }
  void reset() { channel_.reset(); }
  void end_writing() { channel_.shutdown_write_when_flushed(); }
  void stop_reading() { channel_.set_reading_paused(true); }
  void resume_reading() { channel_.set_reading_paused(false); }

  std::vector<Answer> answers;
  std::size_t interim = 0;    // 1xx answers
  std::string unasked;        // bytes that came with no request waiting, or that are no answer
  std::string partial_body;   // of the answer under way
  bool ended = false;         // the edge has ended the connection
  bool ended_midway = false;  // in the middle of an answer
  bool connected = false;

 private:
  void on_channel_open(net::Channel&) override { connected = true; }
  void on_channel_data(net::Channel&) override;
  void on_channel_closed(net::Channel&) override;
  void look();
  net::Channel channel_;
  http::Parser parser_;
  std::deque<bool> waiting_;  // one for each request that is not answered: whether it is a HEAD
  std::string out_;           // before the connection stands
};

// ---- the edge

struct RouteOptions {
  int timeout_ms = 4000, max_attempts = 3;
  bool resumable = false;    // the streaming route
  int tokens_per_event = 0;  // of the service's engine; 0: it states none
};
struct LimitOptions {
  int header_ms = 3000, idle_ms = 15000;
  std::size_t body_bytes = 64U << 20U;
};

// Paths of the routes that the configuration has: /idempotent/, /once/, /stream/, /turn/.
std::string configuration_text(const RouteOptions& route, const LimitOptions& limits);

struct RequestOptions {
  std::string path = "/once/x", method = "POST", body = "asked";
  int time_remaining_ms = 20000;
  std::string extra_fields;
};
std::string request_text(const std::string& attempt_id, const RequestOptions& options);
// A request of that kind; a turn goes on from the turn `before` and has a budget.
RequestOptions request_of(Kind kind);
inline const std::string turn_before = "before";

// The whole scene.
class Scene {
 public:
  enum class Informed : bool { no, yes };
  // Informed: the edge has its configuration and its list; else control says nothing yet.
  explicit Scene(std::size_t endpoints, const RouteOptions& route = {}, const LimitOptions& limits = {},
                 Informed informed = Informed::yes);
  ~Scene();
  // Another configuration of the same routes is in force from now on.
  void configure(const RouteOptions& route, const LimitOptions& limits);
  // Tells the edge of these endpoints, as they are now.
  void list_endpoints();
  // The edge has the newest configuration and list.
  bool in_force();
  std::unique_ptr<ClientConnection> client();
  // One request on a connection of its own, until it is answered or the connection has ended.
  Answer ask(const std::string& attempt_id, const RequestOptions& options);
  bool answered(ClientConnection& client, std::size_t answers = 1);
  // Every request gets its good answer from here on.
  void answer_well(Kind kind);
  // Where the kind is a turn: the turn that it goes on from, answered and kept.
  bool prepare(Kind kind);

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
