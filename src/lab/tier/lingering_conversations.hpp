// Conversations on a route with a short retention: they pause for nearly as long, and their answers last
// longer than it, so that turns expire all the time, also while an answer that continues them is under way.
// Each turn goes through any edge.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/draw.hpp"
#include "lab/tier/load.hpp"

namespace chutevane::lab::tier {

// The route's path and `retentionS`, in the operators' configuration.
constexpr const char* lingering_path = "/lingering/";
constexpr Span lingering_retention = Span::ms(2000);

class LingeringConversations {
 public:
  // `count` conversations side by side. `timers` and `load` must outlive this object.
  LingeringConversations(net::TimerQueue& timers, Load& load, std::size_t count, std::uint64_t seed);
  void begin();
  // Begins no more turns.
  void stop() { stopped_ = true; }
  // Turns that continued another one and were answered whole.
  std::uint64_t continued() const { return continued_; }

 private:
  struct Conversation {
    std::string program;
    std::string previous;  // the newest turn that was answered whole; empty if there is none
    TimePoint kept_until;  // when the retention of that turn ends
  };
  void schedule(Conversation& conversation, Span pause);
  void send_turn(Conversation& conversation);
  void on_result(Conversation& conversation, const RequestResult& result);
  std::string new_word();

  net::TimerQueue& timers_;
  Load& load_;
  Chance chance_;
  std::vector<Conversation> conversations_;
  bool stopped_ = false;
  std::uint64_t continued_ = 0;
};

}  // namespace chutevane::lab::tier
