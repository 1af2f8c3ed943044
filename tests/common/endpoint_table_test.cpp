// The list of endpoints as numbered changes: a follower converges to the holder's list even if it misses
// changes.
#include "common/endpoint_table.hpp"

#include <map>
#include <string>
#include <vector>

#include "unit.hpp"

namespace {

using chutevane::common::EndpointEntry;
using chutevane::common::EndpointList;
using chutevane::common::EndpointTable;

EndpointEntry endpoint(int n, bool draining = false) {
  EndpointEntry out;
  out.id = "i-" + std::to_string(n);
  out.address = "10.0.0.1:" + std::to_string(1000 + n);
  out.draining = draining;
  return out;
}

}  // namespace

TEST_GROUP(EndpointTable) {
  EndpointTable holder, follower;
  void follow() {
    for (const EndpointList& change : holder.changes_since(follower.term(), follower.number()))
      follower.apply(change);
  }
};

TEST(EndpointTable, AFollowerConverges) {
  CHECK_TRUE(holder.empty() && holder.changes_since(0, 0).empty());
  std::vector<EndpointEntry> all;
  for (int n = 0; n < 40; ++n) {
    all.push_back(endpoint(n));
    if (n % 3 == 0 && n > 3) all.erase(all.begin());
    if (n % 5 == 0) all.back().draining = true;
    CHECK_TRUE(holder.update(7, all));
    CHECK_FALSE(holder.update(7, all));  // nothing has changed
    if (n % 4 != 1) follow();            // sometimes the follower lags by several changes
    if (n % 4 != 1) CHECK_TRUE(follower.entries() == holder.entries());
  }
  follow();
  CHECK_TRUE(follower.entries() == holder.entries() && follower.number() == holder.number());
}

TEST(EndpointTable, CompleteListIsSentOnlyIfChangesAreNoLongerStored) {
  std::vector<EndpointEntry> all;
  for (int n = 0; n < 500; ++n) all.push_back(endpoint(n));
  holder.update(1, all);
  CHECK_EQUAL(1U, holder.changes_since(0, 0).size());
  CHECK_EQUAL(500U, holder.changes_since(0, 0)[0].entries.size());
  all[7].draining = true;
  holder.update(1, all);
  const auto one = holder.changes_since(1, 1);
  CHECK_EQUAL(1U, one.size());
  CHECK_EQUAL(1U, one[0].entries.size());
  for (int n = 0; n < 300; ++n) {
    all[8].draining = !all[8].draining;
    holder.update(1, all);
  }
  CHECK_EQUAL(500U, holder.changes_since(1, 1)[0].entries.size());  // the changes are no longer stored
  CHECK_TRUE(holder.changes_since(1, holder.number()).empty());
}

// A change has no effect if it does not follow the table's number, has another term, or is received again.
TEST(EndpointTable, ChangesThatDoNotFollowAreRejected) {
  holder.update(3, {endpoint(1)});
  follow();
  holder.update(3, {endpoint(1), endpoint(2)});
  const EndpointList second = holder.changes_since(3, 1)[0];
  holder.update(3, {endpoint(1), endpoint(2), endpoint(3)});
  const EndpointList third = holder.changes_since(3, 2)[0];
  CHECK_FALSE(follower.apply(third));  // the change before it is missing
  CHECK_EQUAL(1U, follower.entries().size());
  CHECK_TRUE(follower.apply(second));
  CHECK_FALSE(follower.apply(second));
  CHECK_TRUE(follower.apply(third));
  EndpointList other = third;
  other.term = 4;
  other.base = other.number = 3;
  ++other.number;
  CHECK_FALSE(follower.apply(other));  // a change to a list that the follower does not have
  EndpointList old = holder.complete_list();
  old.term = 2;
  old.number = 99;
  CHECK_FALSE(follower.apply(old));
  CHECK_FALSE(holder.update(2, {}));
  CHECK_EQUAL(3U, follower.entries().size());
}

// Two holders of the list's role may use the same numbers. Their lists differ in the term, and the higher
// term is received as a complete list.
TEST(EndpointTable, AHigherTermBringsACompleteList) {
  EndpointTable second;
  holder.update(11, {endpoint(1)});
  second.update(12, {endpoint(2)});
  follow();
  for (const EndpointList& change : second.changes_since(follower.term(), follower.number()))
    follower.apply(change);
  CHECK_TRUE(follower.entries() == second.entries());
  follow();  // the list of the lower term is not newer
  CHECK_TRUE(follower.entries() == second.entries());
}
