/// Tests the production StoragePlane on real sockets, with a scripted controller and real callers: its
/// answers while a state transfer is not complete, and after a restart.
#include "storage/storage_plane.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/memory_disk.hpp"
#include "harness.hpp"
#include "storage/placement.hpp"

namespace chutevane::edge::harness {
namespace {

using storage::ReplicaStatus;

const std::string own_name = numbered("storage-", 1), other_name = numbered("storage-", 2),
                  zone = numbered("z", 1), program = numbered("p", 1), other_disk = numbered("d", 2);

/// Returns a loopback address of its own: the port is the one after the controller's, and another process may
/// use it on a shared address.
std::string own_ip() {
  in_addr address{};
  address.s_addr = htonl(own_loopback(77));
  std::array<char, INET_ADDRSTRLEN> text{};
  return ::inet_ntop(AF_INET, &address, text.data(), text.size());
}

/// A storage node, a scripted controller, and another node of the map that never replies.
class StorageNodeFixture {
 public:
  /// A disk whose content outlives the storage plane that owns this object.
  class SharedDisk final : public common::Disk {
   public:
    explicit SharedDisk(std::shared_ptr<common::MemoryDisk> disk) : disk_(std::move(disk)) {}
    std::vector<std::string> list_files() override { return disk_->list_files(); }
    absl::StatusOr<std::string> read(const std::string& name) override { return disk_->read(name); }
    absl::Status append(const std::string& name, std::string_view bytes) override {
      return disk_->append(name, bytes);
    }
    absl::Status truncate(const std::string& name, std::size_t size) override {
      return disk_->truncate(name, size);
    }
    absl::Status sync(const std::string& name) override { return disk_->sync(name); }
    absl::Status remove(const std::string& name) override { return disk_->remove(name); }

   private:
    std::shared_ptr<common::MemoryDisk> disk_;
  };

  StorageNodeFixture() : control_address_(free_address(loop.scheduler)), control(loop, control_address_) {
    settings.node = own_name;
    settings.zone = zone;
    settings.ip = own_ip();
    settings.first_port = ntohs(control_address_.sin_port);
    settings.last_port = static_cast<std::uint16_t>(settings.first_port + 1);
    settings.seeds = {control_address_};
    settings.machine_losses = 0;
    start();
    caller_ =
        std::make_unique<common::RpcClient>(loop.scheduler, loop.later, settings.internal_address(1), 1);
    if (!loop.until([&] { return control.member().has_value(); }))
      throw std::runtime_error("the storage plane opened no session to the controller");
    own.node = own_name;
    own.disk = control.member()->disk;
    own.address = control.member()->address;
    other.node = other_name;
    other.disk = other_disk;
    other.address = net::text_of(silent_.address());
  }
  /// Sets a map of both nodes. Returns true once the node under test has received it.
  bool set_map_of_both_nodes() { return set_map({own, other}); }
  /// Sets a map of these nodes. Returns true once the node under test has received it.
  bool set_map(const std::vector<common::StorageNode>& nodes, std::int64_t map = 1) {
    control.configure(configuration_text({}, {}), nodes, map);
    ++values_;
    return loop.until([&] { return control.member()->number >= values_; });
  }
  /// Destroys the storage plane and starts another one on the same disk. Returns true once that one has the
  /// newest map.
  bool restart() {
    stop();
    start();
    return loop.until([&] { return control.member() && control.member()->number >= values_; });
  }
  void stop() {
    plane_.reset();
    control.forget_member();
  }
  /// Changes the map while the storage plane is stopped, so without waiting for it.
  void set_map_while_stopped(const std::vector<common::StorageNode>& nodes, std::int64_t map) {
    control.configure(configuration_text({}, {}), nodes, map);
    ++values_;
  }
  bool is_complete_under(std::int64_t map) {
    return loop.until([&] { return control.member()->complete_map_version >= map; });
  }
  std::optional<ReplicaStatus> reserve(std::int64_t map) {
    std::optional<ReplicaStatus> out;
    const common::ReserveRequest request{map, program, "attempt", 1};
    caller_->call<common::ReserveReply>(request, Span::ms(1000),
                                        [&](absl::StatusOr<common::ReserveReply> reply) {
                                          if (reply.ok()) out = static_cast<ReplicaStatus>(reply->verdict);
                                        });
    loop.until([&] { return out.has_value(); }, Span::ms(1500));
    return out;
  }
  std::optional<ReplicaStatus> store_turn(const std::string& id, const std::string& previous = "",
                                          std::int64_t map = 1, const std::string& of_program = program) {
    const auto out = begin_store_turn(id, previous, map, of_program);
    loop.until([&] { return out->has_value(); }, Span::ms(1500));
    return *out;
  }
  /// Sends the request under this map. The result is set once the reply has come.
  std::shared_ptr<std::optional<ReplicaStatus>> begin_store_turn(const std::string& id,
                                                                 const std::string& previous,
                                                                 std::int64_t map = 1,
                                                                 const std::string& of_program = program) {
    const auto out = std::make_shared<std::optional<ReplicaStatus>>();
    common::StoreTurnRequest request;
    request.map_version = map;
    request.turn.id = id;
    request.turn.previous = previous;
    request.turn.program = of_program;
    request.turn.retention_ms = 60000;
    request.used_tokens = -1;
    caller_->call<common::StoreTurnReply>(request, Span::ms(1000),
                                          [out](absl::StatusOr<common::StoreTurnReply> reply) {
                                            if (reply.ok()) *out = static_cast<ReplicaStatus>(reply->verdict);
                                          });
    return out;
  }

  Loop loop;

 private:
  void start() {
    plane_ =
        std::make_unique<storage::StoragePlane>(loop.scheduler, settings, std::make_unique<SharedDisk>(disk));
    if (!plane_->open().ok()) throw std::runtime_error("the storage plane cannot be opened");
  }
  common::ProcessSettings settings;
  std::shared_ptr<common::MemoryDisk> disk = std::make_shared<common::MemoryDisk>();
  std::int64_t values_ = 0;
  SilentAddress silent_;
  sockaddr_in control_address_{};

 public:
  ScriptedControl control;
  common::StorageNode own, other;

 private:
  std::unique_ptr<storage::StoragePlane> plane_;
  std::unique_ptr<common::RpcClient> caller_;
};

// Before its state transfer, a new node cannot know which map the other nodes use: all may still use the
// previous one, and answer `not_found` to edges that use it too. A turn stored by this node must not count
// yet.
TEST(StorageNodes, ABootstrappingNodeStoresNothingBeforeItIsReady) {
  StorageNodeFixture node;
  node.own.bootstrapping = true;
  ASSERT_TRUE(node.set_map_of_both_nodes());
  EXPECT_EQ(node.store_turn("a"), ReplicaStatus::not_ready);
}

// A node that was complete under the current map before its restart needs no transfer: like a node that was
// unreachable for a while, it has missed only what a quorum of each group has.
TEST(StorageNodes, ResumesUnderTheMapThatItWasCompleteUnder) {
  StorageNodeFixture node;
  ASSERT_TRUE(node.set_map({node.own}));
  ASSERT_TRUE(node.is_complete_under(1));
  ASSERT_EQ(node.reserve(1), ReplicaStatus::ok);
  ASSERT_TRUE(node.restart());
  EXPECT_EQ(node.reserve(1), ReplicaStatus::ok);
}

// A different map may assign more to the node, which must transfer that before it answers.
TEST(StorageNodes, TransfersStateAfterARestartUnderAnotherMap) {
  StorageNodeFixture node;
  ASSERT_TRUE(node.set_map({node.own}));
  ASSERT_TRUE(node.is_complete_under(1));
  node.stop();
  node.set_map_while_stopped({node.own, node.other}, 2);
  ASSERT_TRUE(node.restart());
  EXPECT_EQ(node.reserve(2), ReplicaStatus::not_ready);
}

// Guards against turns and reservations that are missing for good at a node that was to be drained: it holds
// no replicas while it is draining, so what is stored meanwhile is sent to others. If it stays after all, it
// has to fetch that before it answers as a replica again.
TEST(StorageNodes, ANodeThatNoLongerDrainsTransfersItsReplicas) {
  StorageNodeFixture node;
  node.own.draining = true;
  ASSERT_TRUE(node.set_map({node.own}));
  ASSERT_TRUE(node.is_complete_under(1));
  node.own.draining = false;
  ASSERT_TRUE(node.set_map({node.own, node.other}, 2));
  EXPECT_EQ(node.reserve(2), ReplicaStatus::not_ready);
}

// Guards against the same after a restart: the record that the node was complete under the map by which it
// was draining says nothing about the map by which it stays.
TEST(StorageNodes, ANodeThatRestartsWhileDrainingTransfersItsReplicasIfItStays) {
  StorageNodeFixture node;
  node.own.draining = true;
  ASSERT_TRUE(node.set_map({node.own}));
  ASSERT_TRUE(node.is_complete_under(1));
  ASSERT_TRUE(node.restart());
  node.own.draining = false;
  ASSERT_TRUE(node.set_map({node.own, node.other}, 2));
  EXPECT_EQ(node.reserve(2), ReplicaStatus::not_ready);
}

// Guards against turns that are missing at a node to which they were assigned when another node came back in
// another zone: the groups of that node's former zone are filled up with others.
TEST(StorageNodes, ANodeTransfersIfAnotherMovesToAnotherZone) {
  StorageNodeFixture node;
  node.other.zone = zone;
  ASSERT_TRUE(node.set_map({node.own}));
  ASSERT_TRUE(node.is_complete_under(1));
  ASSERT_TRUE(node.set_map({node.own, node.other}, 2));  // a node that joins takes replicas, and gives none
  ASSERT_TRUE(node.is_complete_under(2));
  node.other.zone = numbered("z", 2);
  ASSERT_TRUE(node.set_map({node.own, node.other}, 3));
  EXPECT_EQ(node.reserve(3), ReplicaStatus::not_ready);
}

// The node has answered under a later map, and these answers must remain valid. It therefore ignores an
// earlier map, which a controller that lags may still push, also after a restart.
TEST(StorageNodes, DoesNotGoBackToAnEarlierMap) {
  StorageNodeFixture node;
  ASSERT_TRUE(node.set_map({node.own, node.other}));
  ASSERT_TRUE(node.restart());
  EXPECT_EQ(node.reserve(1), ReplicaStatus::not_ready);  // it was never complete
  ASSERT_TRUE(node.set_map({node.own}, 2));
  ASSERT_TRUE(node.is_complete_under(2));
  ASSERT_TRUE(node.set_map({node.own, node.other}, 4));
  EXPECT_EQ(node.reserve(4), ReplicaStatus::not_ready);
  node.stop();
  node.set_map_while_stopped({node.own, node.other}, 2);
  ASSERT_TRUE(node.restart());
  EXPECT_EQ(node.reserve(2), ReplicaStatus::replica_map_stale);
}

// A node that was already in the map stores turns during a transfer: the groups have not changed.
TEST(StorageNodes, AnEarlierMemberStoresTurnsDuringATransfer) {
  StorageNodeFixture node;
  ASSERT_TRUE(node.set_map_of_both_nodes());
  EXPECT_EQ(node.store_turn("a"), ReplicaStatus::ok);
}

// Guards against a turn that is lost although it was acknowledged: the turns that it continues had expired
// while it was being answered. The edge sends them again.
TEST(StorageNodes, ATurnWithoutItsAncestorsIsNotAcknowledged) {
  StorageNodeFixture node;
  ASSERT_TRUE(node.set_map({node.own}));
  EXPECT_EQ(node.store_turn("a2", "a1"), ReplicaStatus::chain_incomplete);
  EXPECT_EQ(node.store_turn("a2", "a1"), ReplicaStatus::chain_incomplete);
  EXPECT_EQ(node.store_turn("a1"), ReplicaStatus::ok);
  EXPECT_EQ(node.store_turn("a2", "a1"), ReplicaStatus::ok);
}

// A peer that may have the ancestors, but is silent, proves nothing either.
TEST(StorageNodes, ATurnWhoseAncestorsAreAtASilentNodeIsNotAcknowledged) {
  StorageNodeFixture node;
  ASSERT_TRUE(node.set_map_of_both_nodes());
  EXPECT_EQ(node.store_turn("a2", "a1"), ReplicaStatus::chain_incomplete);
}

// Guards against a turn that cannot be stored because nodes that have nothing of its program are silent: the
// nodes of its replica group are asked first.
TEST(StorageNodes, AncestorsAreFetchedFromTheReplicaGroupFirst) {
  StorageNodeFixture node;
  const sockaddr_in holder_address = free_address(node.loop.scheduler);
  ScriptedStorage holder(node.loop, holder_address);
  std::vector<common::StorageNode> nodes{node.own};
  for (std::size_t number = 0; number < 9; ++number) {  // one, in the middle, replies
    nodes.push_back(node.other);
    nodes.back().node = numbered("peer-", number);
  }
  constexpr std::size_t holder_index = 5;
  nodes[holder_index].address = net::text_of(holder_address);
  std::size_t number = 0;
  while (storage::replica_group(numbered("program-", number), nodes, 0).front() != holder_index) ++number;
  holder.stored_turns["a1"].id = "a1";
  ASSERT_TRUE(node.set_map(nodes));
  EXPECT_EQ(node.store_turn("a2", "a1", 1, numbered("program-", number)), ReplicaStatus::ok);
}

// Guards against a chain that a node which takes over misses: it has copied the turns of this node by the new
// map before the missing ancestors came here.
TEST(StorageNodes, ATurnIsNotAcknowledgedByAMapThatWasReplacedWhileItsAncestorsWereFetched) {
  StorageNodeFixture node;
  std::vector<common::StorageNode> nodes{node.own};
  for (std::size_t number = 0; number < 4; ++number) {  // silent ones, so that the fetch takes its whole time
    nodes.push_back(node.other);
    nodes.back().node = numbered("silent-", number);
  }
  ASSERT_TRUE(node.set_map(nodes));
  const auto status = node.begin_store_turn("a2", "a1");
  ASSERT_EQ(node.store_turn("b1"), ReplicaStatus::ok);  // so the request before it has arrived
  ASSERT_TRUE(node.set_map({node.own}, 2));
  ASSERT_EQ(node.store_turn("a1", "", 2), ReplicaStatus::ok);
  ASSERT_TRUE(node.loop.until([&] { return status->has_value(); }));
  EXPECT_EQ(*status, ReplicaStatus::caller_map_stale);
}

}  // namespace
}  // namespace chutevane::edge::harness
