/// Judges the applications' calls for locks, numbers, keys and watches from what their callers sent and
/// received. No I/O, and no knowledge of the controllers.
///
/// A caller tells of each call when it sends it (`sent`) and when it ends (`ended`), an unclear end included;
/// times come from one steady clock and do not fall. What can be judged only with all calls known (which
/// revisions a watch skipped, which key a revision of a 412 belongs to, which puts were rejected) is judged
/// by `finish`.
///
/// Holds are derived from the calls: a caller holds a lock from its receipt of the 200 on, until it sends the
/// release, or until the granted time has passed since it *sent* the last good call. A renewal whose answer
/// comes after that counts for nothing.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chutevane/types.hpp"
#include "lab/tier/coordination_call.hpp"

namespace chutevane::lab::tier {

enum class CoordinationRule : std::uint8_t {
  one,      ///< two holders at once, or a fencing token that is not above another holder's, or given to two
  order,    ///< numbers, revisions or events that do not rise, a put over a later revision, a skipped put
  stale,    ///< a read below an acknowledged put
  mixed,    ///< a value that nobody put to that key, or under two revisions; a 412 with a foreign revision
  refused,  ///< a value of a put that was rejected
  lost,     ///< a 410 within the history's time; at the end, an answer that lags behind or does not come
};
constexpr std::size_t coordination_rules = static_cast<std::size_t>(CoordinationRule::lost) + 1;
const char* name_of(CoordinationRule rule);

struct CoordinationViolation {
  CoordinationRule rule = CoordinationRule::one;
  std::string what;
};

class CoordinationAuditor {
 public:
  using CallId = std::size_t;
  /// `history`: for how long after its receipt a revision may be resumed from.
  explicit CoordinationAuditor(Span history) : history_(history) {}

  CallId sent(const CoordinationCall& call, TimePoint now);
  /// Once for each call.
  void ended(CallId id, const CoordinationAnswer& answer, TimePoint now);
  /// At the end of a run a call was repeated for its whole time and got no answer.
  void unanswered_at_end(const CoordinationCall& call);
  /// Once, after the last call; calls that have not ended are unclear.
  void finish();

  /// Until when that holder may regard itself as holding the lock; nothing: it does not.
  std::optional<TimePoint> holds_until(const std::string& lock, const std::string& holder) const;
  /// The highest revision of the group that a put was answered with.
  std::int64_t acknowledged_revision(const std::string& group) const;

  std::uint64_t count(CoordinationRule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  const std::vector<CoordinationViolation>& violations() const { return violations_; }

 private:
  struct Hold {
    std::int64_t fence = 0;
    TimePoint until;
  };
  struct Lock {
    std::map<std::string, Hold> holds;                 ///< by holder; the past ones too
    std::map<std::string, std::int64_t> newest_fence;  ///< by holder
    std::map<std::int64_t, std::string> holder_of;     ///< by fence
  };
  struct Number {
    std::set<std::int64_t> given;
  };
  /// A put, all its repeats together.
  struct Put {
    std::string key;
    std::optional<std::int64_t> applies_to;
    std::int64_t least_before = 0;  ///< highest revision of the group known when it was sent first
    std::optional<std::int64_t> revision;
    std::size_t open = 0;
    bool may_be_done = false, rejected = false;
  };
  struct Shown {
    std::string key, value;
  };
  struct WatchedSpan {
    std::int64_t after = 0, until = 0;
    std::set<std::int64_t> revisions;
  };
  struct Group {
    std::map<std::int64_t, Shown> shown;  ///< by revision, from answers of all kinds
    std::int64_t acknowledged = 0;
    std::vector<WatchedSpan> watched;
  };
  struct Mismatch {
    std::string key;
    std::int64_t revision = 0;
  };
  struct Sent {
    CoordinationCall call;
    TimePoint at;
    std::int64_t least = 0;  ///< what the answer may not be at or below (numbers, fences), or below (reads)
    std::int64_t own_fence = 0;  ///< the newest of the holder itself
    bool ended = false;
  };

  void report(CoordinationRule rule, std::string what);
  /// At the end of a run an answer that lags is told as lost.
  void report_lag(const CoordinationCall& call, CoordinationRule rule, const std::string& what);
  void acquired(const Sent& sent, std::int64_t fence, TimePoint now);
  void renewed(const Sent& sent, TimePoint now);
  void check_sole_holder(const std::string& lock, const std::string& holder, TimePoint now);
  void numbered(const Sent& sent, std::int64_t value);
  void put_ended(const Sent& sent, const CoordinationAnswer& answer);
  void put_done(const Sent& sent, Put& put, std::int64_t revision);
  void read(const Sent& sent, const CoordinationAnswer& answer);
  void watched(const Sent& sent, const CoordinationAnswer& answer);
  /// The value stands at that revision of its group.
  void show(const std::string& key, const std::string& value, std::int64_t revision);
  void check_conditions();
  void check_watches();
  void check_mismatches();
  void check_rejected();
  std::int64_t highest_shown(const std::string& group) const;

  const Span history_;
  std::vector<Sent> calls_;
  std::map<std::string, Lock> locks_;
  std::map<std::string, Number> numbers_;
  std::map<std::string, Put> puts_;  ///< by value
  std::map<std::string, Group> groups_;
  std::map<std::string, std::int64_t> key_revisions_;  ///< acknowledged, by key
  std::vector<Mismatch> mismatches_;
  std::array<std::uint64_t, coordination_rules> counts_{};
  std::vector<CoordinationViolation> violations_;
};

}  // namespace chutevane::lab::tier
