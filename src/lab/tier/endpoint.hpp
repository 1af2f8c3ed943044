// A stand-in endpoint: it streams the answers of turns, token by token, or answers plainly; it runs so many
// at once, queues a few, and says of the rest that they never ran. What it runs the auditor hears.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "lab/draw.hpp"
#include "lab/tier/auditor.hpp"
#include "lab/tier/http_exchange.hpp"

namespace chutevane::lab::tier {

constexpr std::int64_t tokens_per_event = 4;

// A request's field with the milliseconds between two events of its answer. The tier passes it on.
constexpr const char* event_pause_field = "X-Lab-Event-Pause";

struct EndpointSpec {
  std::string id, service, zone;
  sockaddr_in at{};
  bool streams = false;
  std::size_t capacity = 8, queue = 4;
  double first_ms = 12, event_ms = 6, work_ms = 4;
  double trouble = 0;  // part of what it runs that ends badly
};

class EndpointStandIn {
 public:
  EndpointStandIn(net::Scheduler& scheduler, net::TimerQueue& later, Auditor& auditor,
                  const EndpointSpec& spec, std::uint64_t seed);
  const EndpointSpec& spec() const { return spec_; }
  bool draining() const { return draining_; }
  bool ended() const { return ended_; }
  // From here on it stands on the list as leaving; what comes `most` after it was read there is a breach.
  void drain() { draining_ = true; }
  void read_as_draining(TimePoint at, Span most);
  void end();  // it is gone, whatever it ran
  std::uint64_t turned_away() const { return turned_away_; }
  std::uint64_t troubles() const { return fault_player_; }

 private:
  // Broken off before anything was said, in the middle, or followed by more that belongs to no request; bytes
  // that are no answer; or no answer at all.
  enum class Fault : std::uint8_t { none, mute, half, surplus, garbled, silent };
  static constexpr std::size_t troubles_drawn = 5;
  struct Job {
    Fault trouble = Fault::none;
    std::uint64_t visit = 0, run = 0;
    std::size_t events = 0, told = 0;  // events in all, and so far
    std::int64_t last_id = 0;
    double event_ms = 0;  // between two events
    TimePoint until;
    net::TimerQueue::Handle next;
  };
  void take(HttpPort::Exchange& visit);
  void left(HttpPort::Exchange& visit);
  void start(std::uint64_t visit);
  void go_on(std::uint64_t visit);
  void over(std::uint64_t visit);
  void refuse(HttpPort::Exchange& visit, int status);
  std::string load() const;
  HeaderFields fields_for(const ReceivedRequest& asked, std::uint64_t run) const;

  net::TimerQueue& timers_;
  Auditor& auditor_;
  EndpointSpec spec_;
  Chance chance_;
  HttpPort port_;
  std::map<std::uint64_t, Job> jobs_;  // by visit
  std::deque<std::uint64_t> queue_;    // visits
  bool draining_ = false, ended_ = false;
  std::optional<TimePoint> closed_from_;
  std::uint64_t turned_away_ = 0, fault_player_ = 0;
};

}  // namespace chutevane::lab::tier
