/// The replicas that one storage node holds: turns and the token accounts of programs. They are kept in
/// memory and made durable in a SegmentLog.
///
/// A turn is immutable; storing it again changes nothing. It expires `retention_ms` after its last use. Using
/// a turn counts as a use of its whole chain (the turns that it continues), because an ancestor must not
/// expire before its descendants. That also holds for turns with different retentions, after recovery, and
/// for an ancestor that arrives after its descendants.
///
/// An account has one entry for each attempt of the program that has reserved tokens. An entry starts as a
/// reservation; once the used tokens are committed to it, it never changes again. If an attempt reserves
/// several times, the first reservation applies. Entries may therefore arrive in any order and any number of
/// times, from edges, from peers and from the log, and the resulting account is the same.
///
/// A log record contains a turn or entries of an account. Space is reclaimed by removing whole segments, the
/// oldest first. A segment without live turns is removed; a segment that has become too old is removed after
/// its live turns were rewritten to the current segment. The entries of an account may be in any segment, so
/// all accounts are rewritten before a segment is removed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "chutevane/types.hpp"
#include "common/disk.hpp"
#include "common/messages.hpp"
#include "storage/segment_log.hpp"

namespace chutevane::storage {

/// Stores turns and accounts. Not thread-safe. The caller passes the time, which must never decrease.
///
/// Changes made by store_turn(), reserve(), commit_usage() and merge_account() are visible immediately, and
/// durable once commit() has returned OK. Callers must not answer a request before that.
class ReplicaStore {
 public:
  /// `max_bytes` limits turn_bytes(). `disk` must outlive this object.
  ReplicaStore(common::Disk& disk, std::size_t max_bytes) : log_(disk), max_bytes_(max_bytes) {}
  /// Loads the content of the disk. The retention time of all turns and accounts starts again at `now`. Must
  /// be called once, before any other function.
  [[nodiscard]] absl::Status recover(TimePoint now);

  /// Reserves `max_tokens` for an attempt. Changes nothing if the attempt already has an entry. Returns the
  /// entries of the program's other attempts.
  std::vector<common::Reservation> reserve(const std::string& program, const std::string& attempt,
                                           std::int64_t max_tokens, TimePoint now);
  /// Commits the used tokens to the attempt's entry, which is created if it does not exist. Changes nothing
  /// if the entry is already committed.
  void commit_usage(const std::string& program, const std::string& attempt, std::int64_t used_tokens,
                    TimePoint now);
  /// Merges the entries of a peer's copy of an account into the copy of this node.
  void merge_account(const common::Account& account, TimePoint now);
  /// Stores the turn. Returns false, and changes nothing, if there is no capacity for it.
  bool store_turn(const common::Turn& turn, TimePoint now);

  /// Makes all changes so far durable. After an error, none of the changes since the last successful commit
  /// counts as durable; the next call writes all of them again.
  [[nodiscard]] absl::Status commit(TimePoint now) { return log_.commit(now); }
  /// Returns true if the last commit failed.
  bool is_failing() const { return log_.is_failing(); }
  bool has_uncommitted() const { return log_.has_uncommitted(); }

  /// Returns null if the store does not have the turn. The pointer is valid until the store changes.
  const common::Turn* find_turn(const std::string& id) const;
  /// Returns the turn followed by its ancestors, the newest first, up to the first one that is missing. Stops
  /// before `max_bytes` are exceeded, but returns at least one turn. Counts as a use of the returned turns.
  /// Returns an empty vector if the store does not have the turn. The pointers are valid until the store
  /// changes.
  std::vector<const common::Turn*> read_chain(const std::string& id, std::size_t max_bytes, TimePoint now);
  /// Returns the id of the first missing turn, starting at `id` and following the chain backwards. Returns an
  /// empty string if no turn of the chain is missing.
  std::string first_missing_ancestor(const std::string& id) const;
  /// Returns when the turn expired here, or std::nullopt if it has not within the last 10 s. For diagnosis.
  std::optional<TimePoint> expired_at(const std::string& id) const;
  /// Returns the ids of the turns that a turn of another program continues, with their whole chains, for each
  /// such program that `is_wanted` accepts. These turns must be replicated where that program's turns are.
  std::set<std::string> cross_program_ancestors(
      const std::function<bool(const std::string& program)>& is_wanted) const;

  std::size_t turn_count() const { return turns_.size(); }
  std::size_t account_count() const { return accounts_.size(); }
  /// Returns the approximate number of bytes that all turns take in memory; they take about as much on disk.
  std::size_t turn_bytes() const { return turn_bytes_; }

  /// Visits turns in order of their ids until `visit` returns false, starting with the first id greater than
  /// `after` (an empty string starts at the beginning).
  void for_each_turn(const std::string& after, const std::function<bool(const common::Turn&)>& visit) const;
  /// Does the same for accounts, in order of program names.
  void for_each_account(const std::string& after,
                        const std::function<bool(const common::Account&)>& visit) const;

  /// Drops expired turns and accounts and reclaims segments. Does so at most once a second, however often it
  /// is called. May leave uncommitted changes.
  void expire(TimePoint now);

 private:
  /// A turn in memory, with the segment that contains its log record.
  struct StoredTurn {
    common::Turn turn;
    TimePoint expires_at;
    std::uint64_t segment = 0;  // that contains its record; 0 until it is set
  };
  /// An account in memory.
  struct StoredAccount {
    common::Account account;
    TimePoint expires_at;
  };

  void load_record(const std::string& record, std::uint64_t segment, TimePoint now);
  void load_account(const common::Account& account, TimePoint now);
  /// Returns the attempt's entry, which is created with `tokens_unset` if it does not exist. Extends the
  /// retention of the account.
  common::Reservation& find_or_create_entry(const std::string& program, const std::string& attempt,
                                            TimePoint now);
  /// Adds a turn to memory, or records that its log record is now in `segment`.
  void insert_turn(common::Turn turn, std::uint64_t segment, TimePoint now);
  /// Keeps the turn and all its ancestors until `expires_at` at least, also those that arrive later.
  void extend_chain(const std::string& newest, TimePoint expires_at);
  void drop_expired_turns(TimePoint now);
  void reclaim_segments(TimePoint now);
  void rewrite_turns_of(std::uint64_t segment);
  template <class Record>
  void append_record(const Record& record);

  SegmentLog log_;
  const std::size_t max_bytes_;
  // By id. A turn never expires before a descendant, whatever their retentions are and whichever came first.
  std::map<std::string, StoredTurn> turns_;
  // Until when the descendants of turns that are not here have to be kept, by the id of the missing turn.
  std::map<std::string, TimePoint> awaited_ancestors_;
  std::map<std::string, StoredAccount> accounts_;  // by program
  std::map<std::string, TimePoint> expired_;       // when turns expired lately, by id
  std::size_t turn_bytes_ = 0;
  TimePoint last_expiry_;
};

}  // namespace chutevane::storage
