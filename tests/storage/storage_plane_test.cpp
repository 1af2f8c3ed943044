// The production storage plane on real sockets, between a scripted control session and callers: what it
// answers before it has taken over what is its own.
#include "storage/storage_plane.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>

#include "common/memory_disk.hpp"
#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

using storage::ReplicaStatus;

const std::string own_name = numbered("storage-", 1), other_name = numbered("storage-", 2),
                  zone = numbered("z", 1), program = numbered("p", 1), other_disk = numbered("d", 2);

// Its port is next to control's, and may be taken at another address.
std::string own_ip() {
  in_addr address{};
  address.s_addr = htonl(own_loopback(77));
  std::array<char, INET_ADDRSTRLEN> text{};
  return ::inet_ntop(AF_INET, &address, text.data(), text.size());
}

// One storage node, a control that names it, and another node of the map that says nothing.
class StorageScene {
 public:
  // A process has a disk as long as it runs; what lies there outlives it.
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

  StorageScene() : control_address_(free_address(loop.scheduler)), control(loop, control_address_) {
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
    if (!loop.until([&] { return control.member().has_value(); })) throw std::runtime_error("no session");
    own.node = own_name;
    own.disk = control.member()->disk;
    own.address = control.member()->address;
    other.node = other_name;
    other.disk = other_disk;
    other.address = net::text_of(silent_.address());
  }
  // The map names both; once the node under test has it.
  bool name_both() { return name({own, other}); }
  // The map of that number names these.
  bool name(const std::vector<common::StorageNode>& nodes, std::int64_t map = 1) {
    control.configure(configuration_text({}, {}), nodes, map);
    ++values_;
    return loop.until([&] { return control.member()->number >= values_; });
  }
  // Its process dies and is started anew, with its disk as it is.
  bool restart() {
    stop();
    start();
    return loop.until([&] { return control.member() && control.member()->number >= values_; });
  }
  void stop() {
    plane_.reset();
    control.forget_member();
  }
  // The map changes, and nobody hears of it yet.
  void name_while_down(const std::vector<common::StorageNode>& nodes, std::int64_t map) {
    control.configure(configuration_text({}, {}), nodes, map);
    ++values_;
  }
  bool whole_by(std::int64_t map) {
    return loop.until([&] { return control.member()->complete_map_version >= map; });
  }
  std::optional<ReplicaStatus> reserve(std::int64_t map) {
    std::optional<ReplicaStatus> out;
    const common::ReserveRequest ask{map, program, "attempt", 1};
    caller_->call<common::ReserveReply>(ask, Span::ms(1000), [&](absl::StatusOr<common::ReserveReply> got) {
      if (got.ok()) out = static_cast<ReplicaStatus>(got->verdict);
    });
    loop.until([&] { return out.has_value(); }, Span::ms(1500));
    return out;
  }
  std::optional<ReplicaStatus> keep(const std::string& id) {
    std::optional<ReplicaStatus> out;
    common::StoreTurnRequest ask;
    ask.map_version = 1;
    ask.turn.id = id;
    ask.turn.program = program;
    ask.turn.retention_ms = 60000;
    ask.used_tokens = -1;
    caller_->call<common::StoreTurnReply>(ask, Span::ms(1000),
                                          [&](absl::StatusOr<common::StoreTurnReply> got) {
                                            if (got.ok()) out = static_cast<ReplicaStatus>(got->verdict);
                                          });
    loop.until([&] { return out.has_value(); }, Span::ms(1500));
    return out;
  }

  Loop loop;

 private:
  void start() {
    plane_ =
        std::make_unique<storage::StoragePlane>(loop.scheduler, settings, std::make_unique<SharedDisk>(disk));
    if (!plane_->open().ok()) throw std::runtime_error("the storage plane does not open");
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

// One that has come in and has not taken over proves nothing of the others: they may all have the map of
// before, and tell edges that have it too that there is no such turn. What it keeps does not count yet.
TEST(StorageNodes, AJoinerKeepsNothingBeforeItHasTakenOver) {
  StorageScene scene;
  scene.own.bootstrapping = true;
  ASSERT_TRUE(scene.name_both());
  EXPECT_EQ(scene.keep("a"), ReplicaStatus::not_ready);
}

// It had all that is its own by this map before its process ended. What it has missed since, others of each
// group have: it goes on as one that was silent for a while, and needs no answer of others.
TEST(StorageNodes, OneThatComesBackByTheSameMapGoesOn) {
  StorageScene scene;
  ASSERT_TRUE(scene.name({scene.own}));
  ASSERT_TRUE(scene.whole_by(1));
  ASSERT_EQ(scene.reserve(1), ReplicaStatus::ok);
  ASSERT_TRUE(scene.restart());
  EXPECT_EQ(scene.reserve(1), ReplicaStatus::ok);
}

// By another map it may lack what became its own meanwhile: it takes over before it answers.
TEST(StorageNodes, OneThatComesBackByAnotherMapTakesOver) {
  StorageScene scene;
  ASSERT_TRUE(scene.name({scene.own}));
  ASSERT_TRUE(scene.whole_by(1));
  scene.stop();
  scene.name_while_down({scene.own, scene.other}, 2);
  ASSERT_TRUE(scene.restart());
  EXPECT_EQ(scene.reserve(2), ReplicaStatus::not_ready);
}

// It had left the map for another, and what it told others by that one must not change any more: back by the
// older map, which a controller that lags may still tell, it does not go on by it.
TEST(StorageNodes, OneThatHadLeftAMapDoesNotGoOnByIt) {
  StorageScene scene;
  ASSERT_TRUE(scene.name({scene.own, scene.other}));
  ASSERT_TRUE(scene.restart());
  EXPECT_EQ(scene.reserve(1), ReplicaStatus::not_ready);  // it never was whole
  ASSERT_TRUE(scene.name({scene.own}, 2));
  ASSERT_TRUE(scene.whole_by(2));
  ASSERT_TRUE(scene.name({scene.own, scene.other}, 4));
  EXPECT_EQ(scene.reserve(4), ReplicaStatus::not_ready);
  scene.stop();
  scene.name_while_down({scene.own, scene.other}, 2);
  ASSERT_TRUE(scene.restart());
  EXPECT_EQ(scene.reserve(2), ReplicaStatus::replica_map_stale);
}

// One that was there before keeps at once: groups have not changed.
TEST(StorageNodes, OneThatWasThereKeepsWhileItTakesOver) {
  StorageScene scene;
  ASSERT_TRUE(scene.name_both());
  EXPECT_EQ(scene.keep("a"), ReplicaStatus::ok);
}

}  // namespace
}  // namespace chutevane::edge::harness
