// A duty that one control sidecar has: won by a round of ballots whenever it falls vacant. No I/O.
//
// Two may hold it for a moment, where the one before does not know yet: nothing that a rule depends on may
// rest on there being one. What a holder tells carries its term, and the later term counts.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "chutevane/types.hpp"

namespace chutevane::control {

constexpr Span duty_vacant_after =
    Span::ms(900);  // without a word of its holder: three and a half of its words

// Who was started anew votes again, so two may win one term. What a holder tells in numbers of its own goes
// under this, which no two share.
inline std::int64_t told_term(std::int64_t term, std::uint64_t holder) {
  return term << 20U | static_cast<std::int64_t>(holder & 0xfffffU);
}
inline std::int64_t duty_term(std::int64_t told) { return told >> 20U; }

class Duty {
 public:
  Duty(std::string name, std::uint64_t seed) : name_(std::move(name)), luck_(seed) {}

  const std::string& name() const { return name_; }
  bool mine() const { return mine_; }
  std::int64_t term() const { return term_; }
  // Of the term that this one holds: a majority had answered its ballot by then.
  TimePoint won_at() const { return won_at_; }

  // A peer has told what duties it has: this one, of that term, or not this one.
  void heard(const std::string& node, bool holds, std::int64_t term, TimePoint now);
  // Somebody has heard of that term: those who kept it in mind may all have started anew since. What is told
  // under an older one would count for nothing, so the duty is vacant.
  void learn_term(std::int64_t term);
  // Whether the vote for this term is given. Each term is given once.
  bool vote(std::int64_t term, TimePoint now);
  // Whether to ask for ballots now, and for which term. Where it is vacant and not yet time, when to look
  // again: drawn by each for itself, so that all who saw it fall vacant at once do not stand at once.
  bool stand(TimePoint now, std::int64_t& term);
  TimePoint look_again() const { return standing_ ? TimePoint() : wait_until_; }
  void won(std::int64_t term, TimePoint now);
  void lost(TimePoint now);
  void give_up(TimePoint now);

 private:
  bool vacant(TimePoint now) const { return !mine_ && now - heard_ > duty_vacant_after; }
  double draw();
  const std::string name_;
  std::string holder_;
  bool mine_ = false, standing_ = false;
  std::int64_t term_ = 0, voted_ = 0;
  TimePoint heard_, wait_until_, won_at_;
  std::uint64_t luck_;
};

}  // namespace chutevane::control
