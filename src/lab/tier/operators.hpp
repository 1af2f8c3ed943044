// The operators' stand-in: configurations sent until they are taken, races of two on one version, and reads
// of what is in force, judged by what was acknowledged before.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/draw.hpp"
#include "lab/tier/auditor.hpp"
#include "lab/tier/http_exchange.hpp"

namespace chutevane::lab::tier {

// Turns, tools, acts, and a route that only this version has. `variant`: another document of the same
// version. `with_lingering`: the route of lingering_conversations.hpp too.
std::string configuration_text(std::int64_t version, int variant = 0, bool with_lingering = false);
std::string mark_of(std::int64_t version);  // that route's prefix

class OperatorStandIn {
 public:
  OperatorStandIn(net::Scheduler& scheduler, net::TimerQueue& later, HttpConnector& lines, Auditor& auditor,
                  std::vector<sockaddr_in> controllers, std::uint64_t seed);

  // So many answers are lost on their way: the order is sent again.
  void lose_answers(double part) { lost_part_ = part; }
  // Sends the version on top of the one before, first to that controller, until it is taken; how long it
  // took.
  void change(std::int64_t version, std::size_t first_to, std::function<void(Span)> taken);
  // Two documents of one version on the same base, to two controllers at once: one of them is taken.
  void race(std::int64_t version, std::size_t first_to, const std::function<void()>& over);
  bool busy() const { return busy_; }
  std::int64_t acknowledged() const { return acknowledged_; }
  std::uint64_t sent() const { return sent_; }              // calls, repeats among them
  std::uint64_t reads() const { return reads_; }            // that were answered
  std::uint64_t calm_reads() const { return calm_reads_; }  // that had to be answered

  // Asks one controller after the other all the time: what it answers is no older than what was acknowledged
  // before it was asked.
  // Where nothing has had a fault since `calm_since` and for long enough, it has to answer, and to know of no
  // acceptor that does not vote.
  void keep_reading(Span every, std::function<TimePoint()> calm_since);
  void stop_reading() { reading_ = false; }
  // Asks each controller until it answers with what was acknowledged last, or `most` is over, which is a
  // breach.
  void read_back(Span most, const std::function<void()>& done);

 private:
  struct Order {
    std::int64_t base = 0, version = 0;
    std::string text;
    std::size_t to = 0;
    int times = 0;
    std::function<void(int status)> done;  // 200 or 412
  };
  void send(Order order);
  void acknowledge(const Order& order);
  void read(std::size_t controller, TimePoint until, const std::function<void()>& done);
  void read_once();
  void ask_status(std::size_t controller);
  bool has_been_calm(Span span) const { return timers_.now() - calm_since_() >= span; }
  void judge_silence(std::size_t controller, TimePoint asked, int status);
  void judge_status(std::size_t controller, const std::string& body);
  void judge_read(std::size_t controller, std::int64_t least, const std::string& body);
  net::TimerQueue& timers_;
  HttpConnector& lines_;
  Auditor& auditor_;
  std::vector<sockaddr_in> controllers_;
  Chance chance_;
  double lost_part_ = 0;
  bool busy_ = false, reading_ = false;
  Span read_every_;
  std::size_t read_next_ = 0;
  std::int64_t acknowledged_ = 0;
  std::string acknowledged_text_;
  std::map<std::int64_t, std::set<std::string>> texts_;  // that were sent, by version
  std::uint64_t sent_ = 0, reads_ = 0, calm_reads_ = 0;
  std::function<TimePoint()> calm_since_;
};

}  // namespace chutevane::lab::tier
