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

// Terms are kept in memory: a voter that was started anew votes again, so two may win one term. What a holder
// tells in numbers of its own goes under its term and its process together. `holder` is drawn at random by
// each process; two of one term are alike in one case of 2^32.
constexpr unsigned holder_bits = 32;
inline std::int64_t told_term(std::int64_t term, std::uint64_t holder) {
  constexpr std::uint64_t holder_mask = (1ULL << holder_bits) - 1;
  return term << holder_bits | static_cast<std::int64_t>(holder & holder_mask);
}
inline std::int64_t duty_term(std::int64_t told) { return told >> holder_bits; }

class Duty {
 public:
  Duty(std::string name, std::uint64_t seed) : name_(std::move(name)), random_(seed) {}

  const std::string& name() const { return name_; }
  bool mine() const { return mine_; }
  std::int64_t term() const { return term_; }
  // Of the term that this one holds: a majority had answered its ballot by then.
  TimePoint won_at() const { return won_at_; }

  // A peer has told what duties it has: this one, of that term, or not this one.
  void heard(const std::string& node, bool holds, std::int64_t term, TimePoint now);
  // Somebody follows what was told under that number, and turns away what is told under a lower one. A holder
  // that is overtaken steps down; for others the duty is vacant where the term is later than all that they
  // know: those who kept it in mind may all have started anew since. `holder`: the number of this process.
  void learn_told(std::int64_t told, std::uint64_t holder);
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
  std::uint64_t random_;
};

}  // namespace chutevane::control
