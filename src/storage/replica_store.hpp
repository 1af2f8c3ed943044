/// The replicas that one storage node holds: turns, and the token accounts of programs. In memory, and
/// durable in a SegmentLog.
///
/// A turn is immutable; storing it again changes nothing. It expires `retention_ms` after its last use, and a
/// use of a turn is a use of its whole chain (the turns that it continues): those must not expire before it.
///
/// An account has an entry for each attempt of the program that has reserved tokens. An entry begins as a
/// reservation; once the tokens that were used are committed to it, it never changes again. Between
/// reservations of one attempt the first stands. So entries may arrive in any order, any number of times,
/// from edges, from peers and from the log, and the account comes out the same.
///
/// Log records are a turn, or entries of an account. Space is reclaimed by whole segments, the oldest first:
/// one that holds no live turn is removed, and one that has become too old has its live turns written anew.
/// An account's entries may stand in any segment, so all open accounts are written anew before a segment
/// goes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "chutevane/types.hpp"
#include "common/disk.hpp"
#include "common/messages.hpp"
#include "storage/segment_log.hpp"

namespace chutevane::storage {

/// Not thread-safe. Time is given by the caller and never goes back.
///
/// What store_turn(), reserve(), commit_usage() and merge_account() change is visible at once, and durable
/// once commit() has returned OK: callers answer only after that.
class ReplicaStore {
 public:
  /// `max_bytes`: of turns, as turn_bytes() counts them. `disk` outlives this object.
  ReplicaStore(common::Disk& disk, std::size_t max_bytes) : log_(disk), max_bytes_(max_bytes) {}
  /// Reads what is on disk; turns and accounts begin their time anew. Called once, before everything else.
  [[nodiscard]] absl::Status recover(TimePoint now);

  /// Reserves `max_tokens` for an attempt; nothing changes where the attempt has an entry already. Returns
  /// the entries of the program's other attempts.
  std::vector<common::Reservation> reserve(const std::string& program, const std::string& attempt,
                                           std::int64_t max_tokens, TimePoint now);
  /// Commits the used tokens to the attempt's entry, which is created where there is none. Nothing changes
  /// where that was done before.
  void commit_usage(const std::string& program, const std::string& attempt, std::int64_t used_tokens,
                    TimePoint now);
  /// Takes over what a peer knows of an account and this node does not.
  void merge_account(const common::Account& account, TimePoint now);
  /// False: there is no capacity, and nothing was changed.
  bool store_turn(const common::Turn& turn, TimePoint now);

  /// Makes all changes so far durable. After an error none of the changes since the last success counts as
  /// durable; all are written again with the next call.
  [[nodiscard]] absl::Status commit(TimePoint now) { return log_.commit(now); }
  /// The last commit has failed.
  bool is_failing() const { return log_.is_failing(); }
  bool has_uncommitted() const { return log_.has_uncommitted(); }

  /// Null: not here. Valid until the store changes.
  const common::Turn* find_turn(const std::string& id) const;
  /// The turn and the turns that it continues, as far as they are here without a gap, the newest first. Stops
  /// before `max_bytes` are exceeded, but returns one turn at least. Counts as a use of those returned. Valid
  /// until the store changes.
  std::vector<const common::Turn*> read_chain(const std::string& id, std::size_t max_bytes, TimePoint now);
  /// The first turn that is not here, from `id` back along its chain; empty: all are here.
  std::string first_missing_ancestor(const std::string& id) const;
  /// Turns that are continued by a turn of another program, one that `is_wanted`, with their whole chains.
  /// They have to live where that program's turns live.
  std::set<std::string> cross_program_ancestors(
      const std::function<bool(const std::string& program)>& is_wanted) const;

  std::size_t turn_count() const { return turns_.size(); }
  std::size_t account_count() const { return accounts_.size(); }
  /// What all turns take in memory, and about as much on disk.
  std::size_t turn_bytes() const { return turn_bytes_; }

  /// Visits turns in the order of their ids, from the first one behind `after` ("": from the beginning),
  /// until `visit` returns false.
  void for_each_turn(const std::string& after, const std::function<bool(const common::Turn&)>& visit) const;
  /// The same for accounts, in the order of their programs' names.
  void for_each_account(const std::string& after,
                        const std::function<bool(const common::Account&)>& visit) const;

  /// Drops expired turns and accounts and reclaims segments; at most once a second, whatever the rate of
  /// calls. May leave changes that wait for commit().
  void expire(TimePoint now);

 private:
  /// A turn in memory, and which segment has its record.
  struct StoredTurn {
    common::Turn turn;
    TimePoint expires_at;
    std::uint64_t segment = 0;  // that has its record; 0: just created
  };
  /// An account that has not expired.
  struct OpenAccount {
    common::Account account;
    TimePoint expires_at;
  };

  void load_record(const std::string& record, std::uint64_t segment, TimePoint now);
  void load_account(const common::Account& account, TimePoint now);
  /// The attempt's entry, created without tokens (`no_tokens`) where there is none; extends the account's
  /// time.
  common::Reservation& find_or_create_entry(const std::string& program, const std::string& attempt,
                                            TimePoint now);
  /// Puts a turn into memory, or moves it to another segment.
  void insert_turn(common::Turn turn, std::uint64_t segment, TimePoint now);
  /// Extends the time of the turn and of its chain.
  void extend_chain(const common::Turn& turn, TimePoint now);
  void drop_expired_turns(TimePoint now);
  void reclaim_segments(TimePoint now);
  void rewrite_turns_of(std::uint64_t segment);
  template <class Record>
  void append_record(const Record& record);

  SegmentLog log_;
  const std::size_t max_bytes_;
  std::map<std::string, StoredTurn> turns_;      // by id
  std::map<std::string, OpenAccount> accounts_;  // by program
  std::size_t turn_bytes_ = 0;
  TimePoint last_expiry_;
};

}  // namespace chutevane::storage
