/// Keeps the endpoint list up to date: asks discovery for all of it, then watches for changes by long
/// polling, one request after another on the same connection. After any failure it tries again by itself,
/// with backoff.
///
/// Discovery speaks `GET /v1/endpoints` for the whole list and `GET /v1/endpoints?after=VERSION&wait_ms=N`
/// for what has changed since that version, answered at the next change or after N ms.
///
/// Two kinds of discovery differ in cost. An agent beside this process answers at once; each new connection
/// begins with the whole list, so that nothing that changed in between is missed. A central service is called
/// by the whole fleet, queues calls and rejects some; there a new connection asks for changes only, and tries
/// are rarer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/pcg.hpp"
#include "discovery/endpoint_list.hpp"
#include "http/parser.hpp"
#include "net/buffer.hpp"
#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace chutevane::discovery {

class EndpointListObserver {
 public:
  virtual void on_endpoint_list(const EndpointList& list) = 0;
  /// Discovery could not be asked, or its answer could not be used. The last list stays.
  virtual void on_endpoint_list_failure() = 0;

 protected:
  ~EndpointListObserver() = default;
};

/// See the top of this file.
enum class DiscoveryKind : std::uint8_t { agent, service };

struct EndpointWatcherConfig {
  std::string address;  // "a.b.c.d:port"
  DiscoveryKind kind = DiscoveryKind::agent;
  std::uint64_t seed = 0;
  /// So long after a drain has been announced an endpoint may still get new calls: changes are to be received
  /// well within it.
  Span drain_grace;
  /// The first request is sent at a random time within this, so that sidecars that start together do not ask
  /// together. Zero: at once.
  Span start_spread;
  /// The version of the list that is known already; nothing: none is.
  std::optional<std::uint64_t> known_version;
};

class EndpointWatcher {
 public:
  /// Begins at once. `scheduler` and `observer` outlive it.
  EndpointWatcher(net::Scheduler& scheduler, const EndpointWatcherConfig& config,
                  EndpointListObserver& observer);
  /// Begins anew at another discovery, with the whole list; until that comes, the last list stays.
  void set_address(const std::string& address);

 private:
  using Bits = net::Waker::Bits;
  static constexpr Bits due = net::Waker::own, address_changed = net::Waker::own << 1U;

  net::Task run();

  // The steps of one connection. Those that return Bits return the events to wait for, none when the step is
  // over.
  Bits start_connecting();
  void on_connect_event(Bits events);
  void start_request();
  Bits write_request();
  void on_write_event(Bits events);
  void start_response();
  Bits wait_for_response() const;
  void on_response_event(Bits events);
  void finish_response();
  bool end_connection();
  void start_backoff();

  [[nodiscard]] bool apply_response();
  void note_retry_after();
  void apply_list(EndpointList& list);

  Span response_timeout() const;
  Span long_poll_time() const;
  Span max_backoff() const;

  net::Scheduler& scheduler_;
  std::string address_;
  const DiscoveryKind kind_;
  EndpointListObserver& observer_;
  Pcg random_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer buffer_;
  http::Parser parser_;

  // The connection
  bool is_usable_ = false;
  bool timed_out_ = false;
  bool address_has_changed_ = false;  // since the connection was begun
  http::Progress progress_ = http::Progress::more;

  // The list
  bool has_list_ = false;             // the next request is for changes only
  std::uint64_t version_ = 0;         // of the last list
  std::uint64_t newest_version_ = 0;  // that this discovery has ever given

  // Tries
  const Span drain_grace_, start_spread_;
  unsigned consecutive_timeouts_ = 0;
  Span backoff_;
  Span retry_after_;  // as the last rejection has stated it
  net::Task task_;
};

}  // namespace chutevane::discovery
