// How far a process that has started is on its way to full service, by its own figures. Without I/O.
#pragma once

#include <cstdint>
#include <string>

#include "chutevane/types.hpp"

namespace chutevane::snapshot {

// What has been counted since the start.
struct Served {
  std::uint64_t calls = 0, refused = 0;  // refused: rejected or broken off, for whichever reason
};

// Full: a whole window has passed without a look that found more than one call in a hundred refused. It stays
// full: what is refused later is no matter of the start.
class ComingBack {
 public:
  static constexpr Span window = Span::ms(5000), look_every = Span::ms(250);
  static constexpr double refused_most = 0.01;  // of the calls since the look before

  void began(TimePoint now, std::string from) {
    since_ = last_bad_ = looked_ = now;
    from_ = std::move(from);
  }
  void look(const Served& served, TimePoint now);
  bool full() const { return full_; }
  // From when on it was full, as seen once the window had passed.
  Span took() const { return last_bad_ - since_; }
  std::string as_json(TimePoint now) const;

 private:
  Served last_;
  TimePoint since_, last_bad_, looked_;
  bool full_ = false;
  std::string from_;
};

}  // namespace chutevane::snapshot
