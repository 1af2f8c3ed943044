// Tests of the membership of acceptor sets. The acceptor, the planner and the proof of contact with a quorum
// must agree on it, even if a set is planned before all of the first controllers have started.
#include "control/acceptor_membership.hpp"

#include <optional>
#include <string>
#include <vector>

#include "control/acceptor_set_planner.hpp"
#include "simulated_register.hpp"
#include "unit.hpp"

namespace control = chutevane::control;
namespace simulated = chutevane::simulated;
using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::Acceptor;
using chutevane::common::Prepare;
using chutevane::common::RegisterValue;
using control::AcceptorIdentity;
using control::AcceptorStatus;
using control::NamedAcceptorSet;
using simulated::AcceptorCluster;
using simulated::Machine;
using simulated::Proposer;

namespace {

constexpr std::size_t machine_count = 5, seed_count = 3, losses = 2;
constexpr Span tick_interval = Span::ms(250);

AcceptorIdentity identity_of(const Machine& machine) {
  return {machine.address, machine.disk_id, machine.first};
}

// Five controllers that tolerate two losses, three of which are the seeds. Those in `late` start for the
// first time just before request number `opens_at_request` arrives. Meanwhile the planner runs as at a
// leader.
class GrowingFleet {
 public:
  GrowingFleet(std::vector<std::size_t> late, std::size_t opens_at_request)
      : cluster_(machine_count, 1), late_(std::move(late)), proposer_(cluster_, 7) {
    cluster_.network.max_delay = Span::ms(2);
    for (const std::size_t i : late_) cluster_.all[i].up = false;
    cluster_.on_asked = [this, opens_at_request] {
      if (++requests_ == opens_at_request) open_late();
    };
    proposer_.reg.observe_epoch(cluster_.first_epoch_of(seed_count));
  }

  // Runs that number of ticks of the leader.
  void play(int ticks) {
    for (int i = 0; i < ticks; ++i) {
      tick();
      cluster_.clock.play(tick_interval);
    }
  }
  void open_late() {
    for (const std::size_t i : late_) cluster_.all[i].up = true;
  }
  std::size_t requests() const { return requests_; }
  const RegisterValue& epoch_value() const { return proposer_.reg.epoch_value(); }
  void wipe(std::size_t i) {
    cluster_.all[i].up = false;
    cluster_.all[i].wipe();
    cluster_.all[i].start();
  }
  bool can_read() {
    bool ok = false;
    proposer_.reg.read(Span::ms(1000), [&](absl::StatusOr<RegisterValue> got) { ok = got.ok(); });
    cluster_.clock.play(Span::ms(1000));
    return ok;
  }

  // Number of members of the set that reply to a prepare request of its epoch as members.
  std::size_t voting() {
    std::size_t out = 0;
    for (Machine& machine : cluster_.all) {
      Prepare ask;
      ask.epoch = epoch_value().epoch;
      ask.initial = epoch_value();
      ask.read_only = true;
      if (!machine.up || !control::contains_address(epoch_value().acceptors, machine.address)) continue;
      const auto reply = machine.acceptor->prepare(ask);
      out += reply.ok() && simulated::status_of(reply->verdict) == AcceptorStatus::ok ? 1 : 0;
    }
    return out;
  }
  // Number of members by the identities in gossip, which the planner and QuorumContact use.
  std::size_t in_contact() const {
    std::size_t out = 0;
    for (const Acceptor& member : epoch_value().acceptors) {
      for (const Machine& machine : cluster_.all)
        out += machine.up && control::is_acceptor(identity_of(machine), member, epoch_value().epoch) ? 1 : 0;
    }
    return out;
  }

 private:
  void tick() {
    std::vector<control::LiveController> live;
    for (const Machine& machine : cluster_.all) {
      if (machine.up) live.push_back({identity_of(machine), true});
    }
    proposer_.reg.read(Span::ms(200), [](const absl::StatusOr<RegisterValue>&) {});
    if (!proposer_.reg.known_value()) return;
    const RegisterValue value = *proposer_.reg.known_value();
    const auto next = planner_.plan(value, live, cluster_.clock.system.now());
    if (!next) return;
    proposer_.reg.change(
        [next = *next, number = value.number](const RegisterValue& current) -> std::optional<RegisterValue> {
          if (current.number != number) return std::nullopt;
          return control::sealed_with(current, next);
        },
        Span::ms(1500), [](const absl::StatusOr<RegisterValue>&) {});
  }

  AcceptorCluster cluster_;
  const std::vector<std::size_t> late_;
  control::AcceptorSetPlanner planner_{losses};
  Proposer proposer_;
  std::size_t requests_ = 0;
};

}  // namespace

TEST_GROUP(AcceptorMembership) { const Acceptor named{"m1", "d1"}, unnamed{"m1", ""}; };

TEST(AcceptorMembership, OnlyTheNamedDiskIsAMember) {
  CHECK_TRUE(control::is_acceptor({"m1", "d1", false}, named, 1));
  CHECK_TRUE(control::is_acceptor({"m1", "d1", false}, named, 5));
  CHECK_FALSE(control::is_acceptor({"m1", "d2", true}, named, 1));
  CHECK_FALSE(control::is_acceptor({"m2", "d1", true}, named, 1));
}

TEST(AcceptorMembership, OnlyTheFirstSetIncludesUnnamedDisks) {
  CHECK_TRUE(control::is_acceptor({"m1", "d1", true}, unnamed, 1));
  CHECK_FALSE(control::is_acceptor({"m1", "d1", false}, unnamed, 1));
  CHECK_FALSE(control::is_acceptor({"m1", "d1", true}, unnamed, 2));
  CHECK_FALSE(control::is_acceptor({"m1", "", true}, unnamed, 2));
}

TEST(AcceptorMembership, LaterSetNamesAllDisksAndHasNoDuplicateAddress) {
  CHECK_TRUE(NamedAcceptorSet::make({{"m1", "d1"}, {"m2", "d2"}}).has_value());
  CHECK_FALSE(NamedAcceptorSet::make({{"m1", "d1"}, {"m2", ""}}).has_value());
  CHECK_FALSE(NamedAcceptorSet::make({{"", "d1"}}).has_value());
  CHECK_FALSE(NamedAcceptorSet::make({{"m1", "d1"}, {"m1", "d2"}}).has_value());
  CHECK_FALSE(NamedAcceptorSet::make({}).has_value());
}

TEST(AcceptorMembership, SealingChangesOnlyTheNextAcceptors) {
  RegisterValue value;
  value.number = 7;
  value.acceptors = {{"m1", ""}};
  const RegisterValue sealed = control::sealed_with(value, *NamedAcceptorSet::make({named}));
  CHECK_TRUE(control::is_sealed(sealed) && sealed.next_acceptors == std::vector<Acceptor>{named});
  CHECK_TRUE(sealed.number == 7 && sealed.acceptors == value.acceptors);
}

// The set grows while a seed starts for the first time, at each possible message. Each member of the
// resulting set must vote, and the set must tolerate the two losses for which it is planned.
TEST(AcceptorMembership, SetPlannedBeforeAFirstStartToleratesItsLosses) {
  constexpr std::size_t never = 100000;
  GrowingFleet calm({}, never);
  calm.play(4);
  const std::size_t requests = calm.requests();
  CHECK_TRUE(requests > 20 && calm.voting() == machine_count);
  for (std::size_t late = 0; late < seed_count; ++late) {
    for (std::size_t point = 1; point <= requests + 1; ++point) {
      const std::string where = numbered("seed ", late) + numbered(", request ", point);
      GrowingFleet fleet({late}, point);
      fleet.play(4);
      fleet.open_late();  // in case fewer requests were sent
      fleet.play(4);
      CHECK_WHERE(fleet.epoch_value().acceptors.size() == machine_count, where);
      CHECK_WHERE(fleet.voting() == machine_count && fleet.in_contact() == machine_count, where);
      fleet.wipe(late == 0 ? 1 : 0);
      fleet.wipe(4);
      CHECK_WHERE(fleet.can_read(), where + ": two disks lost");
    }
  }
}

// A seed that starts long after the set has grown without it is added.
TEST(AcceptorMembership, LateControllerIsAddedWithItsDisk) {
  GrowingFleet fleet({1}, 100000);
  fleet.play(20);
  const std::size_t without = fleet.epoch_value().acceptors.size();
  CHECK_TRUE(without >= seed_count && fleet.voting() == without && fleet.in_contact() == without);
  fleet.open_late();
  fleet.play(8);
  CHECK_EQUAL(machine_count, fleet.epoch_value().acceptors.size());
  CHECK_EQUAL(machine_count, fleet.voting());
}

// An earlier version could store a set of five in which one member has no disk and never votes. The leader's
// first tick must fill in that disk, before any disk is lost.
TEST(AcceptorMembership, StoredSetWithANonVotingMemberIsRepaired) {
  AcceptorCluster cluster(machine_count, 3);
  Proposer proposer(cluster, 9);
  RegisterValue stored;
  stored.epoch = 2;
  stored.number = 12;
  for (std::size_t i = 0; i < machine_count; ++i)
    stored.acceptors.push_back({cluster.all[i].address, i == 1 ? "" : cluster.all[i].disk_id});
  proposer.reg.observe_epoch(stored);
  std::optional<RegisterValue> value;
  const auto keep = [&](absl::StatusOr<RegisterValue> got) {
    if (got.ok()) value = *std::move(got);
  };
  proposer.reg.read(Span::ms(1000), keep);
  cluster.clock.play(Span::ms(1000));
  CHECK_TRUE(value.has_value() && cluster.all[1].acceptor->epoch() == 0);

  std::vector<control::LiveController> live;
  for (const Machine& machine : cluster.all) live.push_back({identity_of(machine), true});
  control::AcceptorSetPlanner planner(losses);
  const auto next = planner.plan(*value, live, cluster.clock.system.now());
  CHECK_TRUE(next.has_value());
  proposer.reg.change(
      [&](const RegisterValue& current) -> std::optional<RegisterValue> {
        return current.epoch == 2 ? std::optional(control::sealed_with(current, *next)) : std::nullopt;
      },
      Span::ms(1000), keep);
  cluster.clock.play(Span::ms(1000));
  CHECK_TRUE(value->epoch == 3 && cluster.all[1].acceptor->epoch() == 3);
  for (const std::size_t lost : {std::size_t{0}, std::size_t{4}}) {
    cluster.all[lost].wipe();
    cluster.all[lost].start();
  }
  value.reset();
  proposer.reg.read(Span::ms(1000), keep);
  cluster.clock.play(Span::ms(1000));
  CHECK_TRUE(value.has_value());
}
