// The production storage plane on real sockets, between a scripted control session and callers: what it
// answers before it has taken over what is its own.
#include "storage/storage_plane.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "harness.hpp"

namespace chutevane::edge::harness {
namespace {

using storage::Verdict;

const std::string own_name = numbered("storage-", 1), other_name = numbered("storage-", 2),
                  zone = numbered("z", 1), program = numbered("p", 1), other_disk = numbered("d", 2),
                  own_ip = numbered("127.77.0.",
                                    1);  // its port is next to control's, and may be taken at another address

// One storage node, a control that names it, and another node of the map that says nothing.
class StorageScene {
 public:
  StorageScene() : control_address_(free_address(loop.scheduler)), control(loop, control_address_) {
    common::ProcessSettings settings;
    settings.node = own_name;
    settings.zone = zone;
    settings.ip = own_ip;
    settings.first_port = ntohs(control_address_.sin_port);
    settings.last_port = static_cast<std::uint16_t>(settings.first_port + 1);
    settings.seeds = {control_address_};
    settings.machine_losses = 0;
    plane_ = std::make_unique<storage::StoragePlane>(loop.scheduler, settings,
                                                     std::make_unique<common::MemoryDisk>());
    if (!plane_->open().ok()) throw std::runtime_error("the storage plane does not open");
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
  bool name_both() {
    control.configure(configuration_text({}, {}), {own, other});
    return loop.until([&] { return control.member()->number >= 1; });
  }
  std::optional<Verdict> keep(const std::string& id) {
    std::optional<Verdict> out;
    common::Keep ask;
    ask.map = 1;
    ask.turn.id = id;
    ask.turn.program = program;
    ask.turn.keep_ms = 60000;
    ask.used = -1;
    caller_->call<common::Kept>(ask, Span::ms(1000), [&](absl::StatusOr<common::Kept> got) {
      if (got.ok()) out = static_cast<Verdict>(got->verdict);
    });
    loop.until([&] { return out.has_value(); }, Span::ms(1500));
    return out;
  }

  Loop loop;

 private:
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
  scene.own.joining = true;
  ASSERT_TRUE(scene.name_both());
  EXPECT_EQ(scene.keep("a"), Verdict::unready);
}

// One that was there before keeps at once: groups have not changed.
TEST(StorageNodes, OneThatWasThereKeepsWhileItTakesOver) {
  StorageScene scene;
  ASSERT_TRUE(scene.name_both());
  EXPECT_EQ(scene.keep("a"), Verdict::yes);
}

}  // namespace
}  // namespace chutevane::edge::harness
