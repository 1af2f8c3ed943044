// A stand-in endpoint on sockets: takes requests in the platform's form, works them off on its machine, asks
// the next tier through its own sidecar, and suffers what the time line says.
#pragma once

#include <netinet/in.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "lab/auditor.hpp"
#include "lab/client.hpp"
#include "lab/draw.hpp"
#include "lab/listener.hpp"
#include "lab/machine.hpp"
#include "lab/memory.hpp"
#include "lab/timeline.hpp"
#include "net/task_group.hpp"

namespace chutevane::lab {

// What all endpoints of an experiment share: who judges, who counts, and numbers for calls.
class Shared {
 public:
  Shared(const Experiment& e, Auditor& a, std::uint64_t seed) : experiment(e), auditor(a), seed_(seed) {}
  CallKey next_call() { return ++last_call_; }
  std::uint64_t next_stream() { return seed_ + ++streams_; }
  // The memory of the group that an endpoint belongs to, for a track.
  ReferenceMemory& memory(std::size_t tier, std::size_t track, std::size_t zone, std::size_t cell);

  // What a caller, from outside or an endpoint, was answered; the auditor hears it, and whether the body is
  // the one that an endpoint made for this call.
  Final judge(CallKey call, const http::Parser& answer, TimePoint now);
  // A fault has shown: at a request, a connection, an endpoint, a sidecar, an answer of discovery.
  void struck(FaultKind kind) { ++strikes[static_cast<std::size_t>(kind)]; }

  const Experiment& experiment;
  Auditor& auditor;
  std::array<std::uint64_t, fault_kinds> strikes{};
  // Tells of a whole request that came to an endpoint of a tier.
  std::function<void(std::size_t tier, CallKey, TimePoint)> on_dispatch = [](std::size_t, CallKey,
                                                                             TimePoint) {};
  // What happens to a call, in a word: for a trace.
  std::function<void(const char* what, CallKey)> on_call = [](const char*, CallKey) {};
  // A connection came to an endpoint; a whole list was asked for.
  std::function<void(std::size_t tier, std::size_t place, TimePoint)> on_connection =
      [](std::size_t, std::size_t, TimePoint) {};
  std::function<void(TimePoint)> on_asked = [](TimePoint) {};
  // A dispatch came on a connection from there.
  std::function<void(std::uint64_t dispatch, const sockaddr_in& from)> on_taken = [](std::uint64_t,
                                                                                     const sockaddr_in&) {};
  // What a list said is held against a sidecar from when it asks for what comes after it, instead of from
  // when it was sent: where the way may be long, or end.
  bool told_when_asked_on = false;

 private:
  std::uint64_t seed_;
  CallKey last_call_ = 0;
  std::uint64_t streams_ = 0;
  std::unordered_map<std::string, ReferenceMemory> memories_;
};

class EndpointStandIn;

class ServedConnection {
 public:
  ServedConnection(net::Scheduler& scheduler, EndpointStandIn& owner, int fd);
  std::size_t group_index = 0;

 private:
  friend class EndpointStandIn;
  static constexpr net::Waker::Bits due = net::Waker::own, worked = net::Waker::own << 1U,
                                    dropped = net::Waker::own << 2U, healed = net::Waker::own << 3U;
  enum class Mishap : std::uint8_t { none, reset_after, reset_answer, half_answer, spoilt, doubled, error };
  net::Task run();
  bool take();  // a whole request; false when it is answered at once
  void put(int status, std::string_view fields, std::string_view body);
  void put_answer();
  Mishap draw_mishap();
  void end_job();

  net::Scheduler& scheduler_;
  EndpointStandIn& owner_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer in_, out_;
  http::Parser parser_{http::Side::request};
  CallKey call_ = 0;
  std::uint64_t dispatch_ = 0;  // the auditor's handle
  Machine::JobId job_ = 0;      // 0: none at the machine or with the next tier
  std::size_t track_ = 0;
  std::string reference_;
  TimePoint first_byte_, last_byte_, waits_until_;
  int next_calls_ = 0;  // still to be made
  bool failed_ = false, ended_ = false;
  bool known_ = false;  // has had a request: the connection's cost is paid
  Mishap mishap_ = Mishap::none;
  net::Task task_;
};

class EndpointStandIn final : public Acceptor, public ClientSink, public Dealer {
 public:
  struct Spec {
    std::string id;  // discovery's
    EndpointKey key = 0;
    std::size_t tier = 0, place = 0, zone = 0, cell = 0;
    sockaddr_in address{};
    TimePoint came_up;
  };
  EndpointStandIn(net::Scheduler& scheduler, Shared& shared, const Spec& spec);
  ~EndpointStandIn();

  void open();  // throws std::system_error
  // Through which sidecar it calls the next tier; none: it does not.
  void calls_through(std::optional<Destination> sidecar) { next_tier_ = sidecar; }
  void suffer(const Ills& ills);
  void drain() { draining_ = true; }
  // At once: connections reset, new ones refused, work gone.
  void die();
  bool dead() const { return dead_; }
  const Spec& spec() const { return spec_; }
  std::size_t connections() const { return served_.size(); }

  void accepted(int fd) override;
  void sent(std::uint64_t, std::size_t sidecar) override;
  void answered(std::uint64_t request, const http::Parser& answer) override;
  void failed(std::uint64_t request, Failure how) override;
  void extra_bytes(std::uint64_t request) override;
  bool goes_again(std::uint64_t request) override { return !shared_.auditor.is_excused(request); }
  std::optional<Destination> deal() override { return next_tier_; }

 private:
  friend class ServedConnection;
  static constexpr net::Waker::Bits due = net::Waker::own;
  net::Task keep_time();
  void look();  // at the machine: what has begun, what has ended
  void work_done(ServedConnection& connection);
  void call_next(ServedConnection& connection);
  void next_over(std::uint64_t request, bool done);

  net::Scheduler& scheduler_;
  Shared& shared_;
  Spec spec_;
  const TierSpec& tier_;
  Machine machine_;
  Chance chance_;
  Ills ills_;
  bool draining_ = false, dead_ = false;
  std::optional<Destination> next_tier_;
  Machine::JobId last_job_ = 0;
  std::unordered_map<Machine::JobId, ServedConnection*> jobs_;
  std::unordered_map<std::uint64_t, ServedConnection*> calling_;  // by the call made for it
  Listener listener_;
  Client client_;
  net::TaskGroup<ServedConnection> served_;
  net::Waker waker_;
  net::Timer timer_;
  net::Task timekeeper_;
};

}  // namespace chutevane::lab
