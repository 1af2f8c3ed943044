// What one storage sidecar keeps: turns and the accounts of programs, in memory and in segments on disk.
//
// A segment is a file that is only appended to. A turn is bulk that is gone after its time, so it is not
// copied from slot to slot: a segment whose turns are all past is removed, and what is left of an old one is
// written again into the newest. Who the disk is lies in two slots (docs/state.md).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "chutevane/types.hpp"
#include "common/disk.hpp"
#include "common/messages.hpp"

namespace chutevane::storage {

class Store {
 public:
  // Bytes of turns in memory and on disk: what is beyond is refused, not begun.
  Store(common::Disk& disk, std::size_t bytes_most) : disk_(disk), bytes_most_(bytes_most) {}
  absl::Status open(TimePoint now);
  // The whole records of a segment's file, for those who only look; `good_size`: what is behind is torn.
  static std::optional<std::uint64_t> segment_of(const std::string& name);  // none: no segment's name
  static std::vector<std::string> records(std::string_view file, std::uint64_t segment,
                                          std::size_t* good_size = nullptr);

  // Each of these lasts once commit() has returned OK.
  // What the program's other attempts have set aside or spent.
  std::vector<common::Reservation> reserve(const std::string& program, const std::string& attempt,
                                           std::int64_t most, TimePoint now);
  void settle(const std::string& program, const std::string& attempt, std::int64_t used, TimePoint now);
  // False: there is no room.
  bool keep(const common::Turn& turn, TimePoint now);
  void merge(const common::Account& account, TimePoint now);
  // An error: none of what was not committed before lasts for sure. All of it is kept for the next try, which
  // first cuts the file back to what was committed.
  absl::Status commit(TimePoint now);
  bool failing() const { return failing_; }  // the last commit was an error
  bool dirty() const { return !pending_.empty(); }

  const common::Turn* find(const std::string& id) const;
  // The turn and what it goes on from, as far as it is here, the newest first; all are used again.
  std::vector<const common::Turn*> chain(const std::string& id, std::size_t bytes_most, TimePoint now);
  // The nearest turn that the chain of `id` names and that is not here; empty: the chain is here whole.
  std::string first_missing(const std::string& id) const;
  // Turns that a chain of another program goes on from: they last as long as that chain, wherever it is.
  std::set<std::string> chains_of_others(const std::function<bool(const std::string& program)>& wanted) const;
  std::size_t turns() const { return turns_.size(); }
  std::size_t accounts() const { return accounts_.size(); }
  std::size_t bytes() const { return bytes_; }

  // In the order of their names, behind `after`; until `take` says no.
  void each_turn(const std::string& after, const std::function<bool(const common::Turn&)>& take) const;
  void each_account(const std::string& after, const std::function<bool(const common::Account&)>& take) const;

  // Drops what is past. Cheap where nothing is.
  void sweep(TimePoint now);

 private:
  struct Kept {
    common::Turn turn;
    TimePoint until;
    std::uint64_t segment = 0;
  };
  struct Open {
    common::Account account;
    TimePoint until;
  };
  static std::string segment_name(std::uint64_t number);
  common::Reservation& entry(const std::string& program, const std::string& attempt, TimePoint now);
  void write_account(const common::Account& account);
  template <class M>
  void put(const M& record);
  void load(const std::string& record, std::uint64_t segment, TimePoint now);
  void insert(common::Turn turn, std::uint64_t segment, TimePoint now);
  void drop_segments(TimePoint now);

  common::Disk& disk_;
  const std::size_t bytes_most_;
  std::map<std::string, Kept> turns_;
  std::map<std::string, Open> accounts_;
  struct Segment {
    std::size_t live = 0;  // turns that lie in it
    TimePoint since;
  };
  std::map<std::uint64_t, Segment> segments_;
  std::uint64_t current_ = 1;
  std::size_t current_size_ = 0, bytes_ = 0;
  std::string pending_;
  bool failing_ = false;
  TimePoint swept_;
};

}  // namespace chutevane::storage
