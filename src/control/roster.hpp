// Who should vote, and who should keep turns: worked out from who is there. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chutevane/types.hpp"
#include "common/messages.hpp"

namespace chutevane::control {

// A control sidecar that is heard of.
struct LiveController {
  std::string address, disk;
  bool first = false;  // its disk is as old as the system
  bool ready = false;  // it may be made an acceptor
};

// A lost machine stops counting `catchUpS` (4.1 s where known) after its successor began, and the next may go
// then. Its place is another's by that time, also where a duty had to be won first (within 1.3 s).
constexpr Span acceptor_lost_after = Span::ms(1500);
constexpr Span storage_node_spared_after = Span::ms(1500);   // where enough are left without it and one more
constexpr Span storage_node_replaced_after = Span::ms(800);  // where one came that may be its successor
constexpr Span newcomer_recent = Span::ms(30000);            // so long one that came may be a successor
constexpr Span storage_node_lost_after = Span::ms(4000);  // as long: shorter ends come back with their disk
// What a disk that is away holds is past its time by then, where turns are not kept for longer: accounts live
// as long.
constexpr Span copies_outlived_after = Span::ms(180000);

class Roster {
 public:
  explicit Roster(std::size_t losses) : losses_(losses) {}
  // How long turns are kept at the most, by the configuration: a disk that has been away for longer holds
  // nothing that anybody may ask for.
  void turns_are_kept_for(Span retention) {
    outlived_after_ = retention > copies_outlived_after ? retention : copies_outlived_after;
  }
  // Begins to watch anew: what was missed before is not held against anybody.
  void restart() {
    last_seen_.clear();
    came_.reset();
  }

  // The next set of acceptors, where it should change.
  std::optional<std::vector<common::Acceptor>> acceptors(const common::RegisterValue& now_chosen,
                                                         const std::vector<LiveController>& live,
                                                         TimePoint now);
  // The value with another map of storage nodes, where it should change.
  std::optional<common::RegisterValue> storage_nodes(const common::RegisterValue& now_chosen,
                                                     const std::vector<common::Member>& live, TimePoint now);

 private:
  // Members that have not been heard of for their time, while enough are left and what they hold is not
  // needed to make up for others.
  bool drop_silent(common::RegisterValue& value, const std::vector<common::Member>& live, TimePoint now);
  // Copies that are past their time by now: they are not waited for any more.
  bool forget_outlived(common::RegisterValue& value, const std::vector<common::Member>& live, TimePoint now);
  Span silent_most(std::size_t staying, TimePoint now) const;
  bool lost(const std::string& key, bool seen, Span after, TimePoint now);
  const std::size_t losses_;
  std::map<std::string, TimePoint> last_seen_;
  std::optional<TimePoint> came_;  // when the newest storage node was taken in
  Span outlived_after_ = copies_outlived_after;
};

// As many hold a copy that one of them is left, and a majority, when so many are lost.
inline std::size_t copies_for(std::size_t losses) { return 2 * losses + 1; }

// What an order to empty a machine comes to.
enum class RetireVerdict : std::uint8_t { taken, known, unknown, too_few };
RetireVerdict retire(common::RegisterValue& value, const std::string& node, std::size_t losses);

}  // namespace chutevane::control
