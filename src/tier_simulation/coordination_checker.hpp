/// \file
/// Checks what the applications have seen of locks, numbers, keys and watches against what they were
/// promised. No I/O.
///
/// It knows only what clients sent and were answered, with times of one steady clock, and has to be told in
/// the order of these times. Each call is begun when it is sent: the newest fence, number or revision that
/// anyone had seen by then is a bound for its answer. Since values are unique, and fences, numbers and
/// revisions rise, that is a check of linearizability: a history that passes fits one order for each lock,
/// each number and each key group, in which a call that was answered before another was sent comes first. A
/// watch may lag and is checked for its order and its gaps alone.
///
/// Rules: `coordination-one` (one holder at a time, fences), `coordination-order` (numbers, revisions,
/// appliesTo, events), `coordination-stale`, `coordination-mixed`, `coordination-refused`,
/// `coordination-lost` (history, and all that is asked at the end).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::tier_simulation {

class CoordinationChecker {
 public:
  /// `history`: for how long a watch may resume from a revision that it got. `report` is called with a rule
  /// and a text.
  CoordinationChecker(Span history, std::function<void(const std::string&, const std::string&)> report);

  /// From now on what is behind is lost rather than stale.
  void begin_final_calls() { stale_rule_ = "coordination-lost"; }
  void report_lost(const std::string& text) { report_("coordination-lost", text); }

  // ---- Locks. A holder has one name for all its holds, and at most one hold of a lock.

  struct LockCall {
    std::string lock, holder;
    TimePoint sent;
    Span hold;
    std::int64_t min_fence = 0;  ///< the newest fence that anyone had been given
  };
  [[nodiscard]] LockCall begin_lock_call(const std::string& lock, const std::string& holder, TimePoint now,
                                         Span hold);
  /// Returns whether the caller regards itself as holder: not if the time it asked for is over.
  bool record_grant(const LockCall& call, std::int64_t fence, TimePoint now);
  /// Returns whether the caller still regards itself as holder.
  bool record_renewal(const LockCall& call, std::int64_t fence, TimePoint now);
  /// The holder sends its release, gives up, or dies.
  void end_hold(const std::string& lock, const std::string& holder);

  // ---- Numbers

  struct NumberCall {
    std::string name;
    std::int64_t newest = 0;  ///< number that anyone had been given
  };
  [[nodiscard]] NumberCall begin_number(const std::string& name) const;
  void record_number(const NumberCall& call, std::int64_t number);

  // ---- Keys

  /// A put, which is sent again unchanged until its outcome is clear. Its value is unique.
  struct Put {
    std::string key, value;
    std::int64_t applies_to = -1;   ///< -1: to whatever the key has
    std::int64_t min_revision = 0;  ///< newest of the group that anyone had seen when it was first sent
    std::int64_t revision = 0;      ///< where it was seen; 0: nowhere
    std::size_t attempts = 0, refused_attempts = 0;
    bool is_acknowledged = false, has_mismatch = false;
  };
  /// Valid for as long as the checker.
  [[nodiscard]] Put& begin_put(const std::string& key, const std::string& value, std::int64_t applies_to);

  struct Reading {
    std::string key;
    std::int64_t key_revision = 0;    ///< newest of the key that anyone had seen
    std::int64_t group_revision = 0;  ///< newest of its group that anyone had seen
  };
  [[nodiscard]] Reading begin_read(const std::string& key) const;
  /// An attempt of a put may also read, if it is answered 412.
  [[nodiscard]] Reading begin_attempt(Put& put) const;
  void record_put(Put& put, std::int64_t revision);
  /// 412 with that revision.
  void record_mismatch(Put& put, const Reading& reading, std::int64_t revision);
  /// 429 or 503.
  static void record_refusal(Put& put) { ++put.refused_attempts; }
  /// Revision 0, without a value: 404.
  void record_read(const Reading& reading, std::int64_t revision, const std::string& value);

  // ---- Watches

  struct Event {
    std::string key, value;
    std::int64_t revision = 0;
  };
  struct Watch {
    std::string group;        ///< with its dot
    std::int64_t after = 0;   ///< 0: asks for the present revision
    TimePoint got_at;         ///< when the watcher got that revision
    std::int64_t newest = 0;  ///< revision of the group that anyone had seen
  };
  [[nodiscard]] Watch begin_watch(const std::string& group, std::int64_t after, TimePoint got_at) const;
  void record_watch(const Watch& watch, const std::vector<Event>& events, std::int64_t revision);
  /// 410.
  void record_gone(const Watch& watch, TimePoint now);

  /// The newest revision of the group that anyone has seen.
  [[nodiscard]] std::int64_t newest_revision(const std::string& group) const;

  /// Checks what can be told only once all answers are known.
  void finish();

 private:
  struct Hold {
    std::int64_t fence = 0;
    TimePoint until;
  };
  struct LockHistory {
    std::int64_t newest_fence = 0;
    std::map<std::int64_t, std::string> holders;  ///< by fence
    std::map<std::string, Hold> holds;            ///< by holder
  };
  struct NumberHistory {
    std::int64_t newest = 0;
    std::set<std::int64_t> given;
  };
  struct WatchedSpan {  ///< revisions of a watch: above `after`, up to `until`
    std::int64_t after = 0, until = 0;
    std::set<std::int64_t> revisions;
  };
  struct SeenRead {
    Reading reading;
    std::int64_t revision = 0;
    bool is_mismatch = false;
  };
  struct GroupHistory {
    std::int64_t newest = 0;
    std::map<std::int64_t, Put*> puts;                        ///< by revision
    std::map<std::string, std::set<std::int64_t>> revisions;  ///< by key
    std::vector<WatchedSpan> watched;
    std::vector<SeenRead> reads;
  };

  void check_other_holders(const LockCall& call, TimePoint now);
  void bind(const std::string& key, const std::string& value, std::int64_t revision);
  void check_put(const GroupHistory& group, const Put& put);
  void check_read(const GroupHistory& group, const SeenRead& read);
  void check_watched(const std::string& name, const GroupHistory& group);
  bool has_open_put(const std::string& key) const;

  const Span history_;
  const std::function<void(const std::string&, const std::string&)> report_;
  std::string stale_rule_ = "coordination-stale";
  std::map<std::string, LockHistory> locks_;
  std::map<std::string, NumberHistory> numbers_;
  std::map<std::string, GroupHistory> groups_;
  std::map<std::string, std::unique_ptr<Put>> puts_;  ///< by value
};

}  // namespace chutevane::tier_simulation
