// Tests of an acceptor whose log contains changes only. It must reply the same as an acceptor that logs its
// full state, and must recover the same state after each power loss.
#include <memory>
#include <string>
#include <vector>

#include "common/memory_disk.hpp"
#include "common/value_update.hpp"
#include "control/acceptor.hpp"
#include "simulated_register.hpp"
#include "unit.hpp"

namespace common = chutevane::common;
namespace control = chutevane::control;
using chutevane::simulated::RandomSource;
using common::MemoryDisk;
using common::RegisterValue;
using control::AcceptorLogForm;
using control::AcceptorStatus;
using control::DurableAcceptor;

namespace {

const control::AcceptorIdentity identity{"m0", "d0", true};

std::unique_ptr<DurableAcceptor> acceptor_on(MemoryDisk& disk, AcceptorLogForm form) {
  return std::make_unique<DurableAcceptor>(disk, identity, "acceptor", form);
}

// The state of an acceptor, encoded for comparison.
std::string state_of(const DurableAcceptor& acceptor) {
  common::AcceptorRecord out;
  out.epoch = acceptor.epoch();
  out.accepted = acceptor.accepted_ballot();
  out.value = acceptor.accepted_value();
  out.initial = acceptor.epoch_value();
  return common::encoded(out);
}

RegisterValue initial_of(std::int64_t epoch) {
  RegisterValue out;
  out.epoch = epoch;
  out.number = 100 * epoch;
  out.acceptors = {{"m0", "d0"}, {"m1", "d1"}, {"m2", "d2"}};
  out.config.data = std::string(400, 'c');
  return out;
}

// A request to an acceptor, of which exactly one of the two messages is sent.
struct Request {
  bool is_accept = false;
  common::Prepare prepare;
  common::Accept accept;
};

// Returns the encoded reply, or std::nullopt if the disk failed.
std::optional<std::string> answer_of(DurableAcceptor& acceptor, const Request& request) {
  if (request.is_accept) {
    const auto reply = acceptor.accept(request.accept);
    return reply.ok() ? std::optional(common::encoded(*reply)) : std::nullopt;
  }
  const auto reply = acceptor.prepare(request.prepare);
  return reply.ok() ? std::optional(common::encoded(*reply)) : std::nullopt;
}

// Random requests of proposers: ballots that rise, repeat and fall, full values and differences from values
// that the acceptor has or lacks, and new epochs.
class RequestSource {
 public:
  explicit RequestSource(std::uint64_t seed) : random_(seed) {}
  Request next(const RegisterValue& accepted) {
    if (random_.chance(0.02)) ++epoch_;
    Request out;
    out.is_accept = random_.chance(0.5);
    if (out.is_accept) {
      out.accept = next_accept(accepted);
    } else {
      out.prepare = next_prepare();
    }
    return out;
  }

 private:
  std::int64_t some_epoch() { return random_.chance(0.05) ? epoch_ - 1 : epoch_; }
  common::Ballot some_ballot() {
    if (random_.chance(0.6)) ++round_;
    const std::int64_t back = random_.chance(0.15) ? 2 : 0;
    return {std::max<std::int64_t>(1, round_ - back), static_cast<std::int64_t>(random_.below(2))};
  }
  common::Prepare next_prepare() {
    common::Prepare out;
    out.epoch = some_epoch();
    out.ballot = some_ballot();
    out.initial = initial_of(out.epoch);
    out.read_only = random_.chance(0.2);
    if (random_.chance(0.3)) out.known_ballot = some_ballot();
    return out;
  }
  common::Accept next_accept(const RegisterValue& accepted) {
    RegisterValue value = random_.chance(0.9) ? accepted : initial_of(epoch_);
    const std::string base = common::encoded(value);
    const std::int64_t base_number = value.number++;
    value.config.data[random_.below(value.config.data.size())] = static_cast<char>(random_.next());
    common::Accept out;
    out.epoch = some_epoch();
    out.ballot = some_ballot();
    if (random_.chance(0.7)) {
      out.difference = common::value_difference(base_number, base, common::encoded(value));
    } else {
      out.value = value;
    }
    return out;
  }

  RandomSource random_;
  std::int64_t epoch_ = 1;
  std::int64_t round_ = 1;
};

// Returns the value to change next; all values have the same size.
RegisterValue value_to_change(const DurableAcceptor& acceptor) {
  return acceptor.is_voting() ? acceptor.accepted_value() : initial_of(1);
}

}  // namespace

TEST_GROUP(AcceptorLogOfChanges){};

// Both log forms give the same reply to each request, with restarts in between.
TEST(AcceptorLogOfChanges, RepliesEqualThoseOfFullStateLog) {
  std::size_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RandomSource random(seed);
    RequestSource requests(seed);
    MemoryDisk disk_of_states, disk_of_changes;
    auto states = acceptor_on(disk_of_states, AcceptorLogForm::full_state);
    auto changes = acceptor_on(disk_of_changes, AcceptorLogForm::changes);
    for (int i = 0; i < 120; ++i) {
      const std::string where = numbered("seed ", seed) + numbered(", request ", i);
      const Request request = requests.next(value_to_change(*states));
      const common::Ballot before = states->accepted_ballot();
      const auto wanted = answer_of(*states, request);
      CHECK_WHERE(wanted.has_value() && answer_of(*changes, request) == wanted, where);
      CHECK_WHERE(state_of(*changes) == state_of(*states), where);
      accepted += before < states->accepted_ballot() ? 1 : 0;
      if (!random.chance(0.1)) continue;
      if (random.chance(0.5)) disk_of_changes.power_cycle(random.next());
      changes = acceptor_on(disk_of_changes, AcceptorLogForm::changes);
      CHECK_WHERE(changes->open().ok() && state_of(*changes) == state_of(*states), where + ", reopened");
    }
  }
  CHECK_TRUE(accepted > 60U * 20);
}

namespace {

// Runs the requests of a seed until the disk fails, loses power at that step and reopens the acceptor. No
// reply may be lost, and the state must be the one before or the one after the request in progress.
void lose_power_at(std::uint64_t seed, std::size_t step) {
  const std::string where = numbered("seed ", seed) + numbered(", step ", step);
  MemoryDisk disk;
  disk.lose_power_at(step);
  RequestSource requests(seed);
  auto acceptor = acceptor_on(disk, AcceptorLogForm::changes);
  std::string before = state_of(*acceptor);
  Request under_way;
  for (int i = 0; i < 60; ++i) {
    under_way = requests.next(value_to_change(*acceptor));
    if (!answer_of(*acceptor, under_way)) break;
    before = state_of(*acceptor);
  }
  for (std::uint64_t cycle = 0; cycle < 6; ++cycle) {
    MemoryDisk copy = disk;
    copy.power_cycle(100 * seed + cycle);
    auto reopened = acceptor_on(copy, AcceptorLogForm::changes);
    const absl::Status opened = reopened->open();
    // A torn first checkpoint was never reported in a reply, so the disk counts as a new one.
    if (absl::IsDataLoss(opened) && !acceptor->is_voting()) continue;
    CHECK_WHERE(opened.ok(), where);
    const std::string found = state_of(*reopened);
    if (found == before) {
      CHECK_WHERE(answer_of(*reopened, under_way).has_value(), where);
      continue;
    }
    // The request was on disk before the reply, so sending it again is a repeat.
    CHECK_WHERE(answer_of(*reopened, under_way).has_value() && state_of(*reopened) == found, where);
  }
}

}  // namespace

TEST(AcceptorLogOfChanges, PowerLossAtEachStep) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    for (std::size_t step = 0; step < 70; ++step) lose_power_at(seed, step);
  }
}

// While the disk fails there is no reply, and the next write is a full checkpoint.
TEST(AcceptorLogOfChanges, RepliesSurviveFailingDisk) {
  for (const common::DiskFault fault : {common::DiskFault::full, common::DiskFault::sync_drops_writes,
                                        common::DiskFault::sync_outcome_unknown}) {
    for (std::size_t first = 4; first < 40; ++first) {
      MemoryDisk disk;
      disk.inject_fault(fault, first, first + 3);
      RequestSource requests(7);
      auto acceptor = acceptor_on(disk, AcceptorLogForm::changes);
      for (int i = 0; i < 40; ++i) (void)answer_of(*acceptor, requests.next(value_to_change(*acceptor)));
      const std::string where = numbered("fault at step ", first);
      CHECK_WHERE(!acceptor->is_disk_failing() || acceptor->retry_write().ok(), where);
      disk.power_cycle(first);
      auto reopened = acceptor_on(disk, AcceptorLogForm::changes);
      CHECK_WHERE(reopened->open().ok() && state_of(*reopened) == state_of(*acceptor), where);
    }
  }
}

// A log that reaches its maximum size is replaced by a checkpoint.
TEST(AcceptorLogOfChanges, LongLogsAreReplacedByCheckpoints) {
  MemoryDisk disk;
  auto acceptor = acceptor_on(disk, AcceptorLogForm::changes);
  common::Prepare enter;
  enter.epoch = 1;
  enter.ballot = {1, 1};
  enter.initial = initial_of(1);
  CHECK_TRUE(acceptor->prepare(enter).ok());
  for (int round = 2; round < 400; ++round) {
    common::Accept request;
    request.epoch = 1;
    request.ballot = {round, 1};
    request.value = initial_of(1);
    request.value.number = 100 + round;
    request.value.config.data.assign(4000, static_cast<char>(round));
    CHECK_TRUE(acceptor->accept(request).ok());
  }
  std::size_t bytes = 0;
  for (const std::string& name : disk.list_files()) bytes += disk.read(name)->size();
  CHECK_TRUE(bytes < common::DurableState::max_disk_bytes(10'000, 10'000));
  auto reopened = acceptor_on(disk, AcceptorLogForm::changes);
  CHECK_TRUE(reopened->open().ok() && state_of(*reopened) == state_of(*acceptor));
}

// An acceptor whose state cannot be read starts empty under a new identity, and is still empty when reopened:
// no older slot is recovered.
TEST(AcceptorLogOfChanges, ResetSupersedesAllOldSlots) {
  for (const char* const file : {"slot0", "slot1", "both", "log"}) {
    MemoryDisk disk;
    auto acceptor = acceptor_on(disk, AcceptorLogForm::changes);
    for (std::int64_t epoch = 1; epoch <= 7; ++epoch) {
      common::Prepare enter;
      enter.epoch = epoch;
      enter.ballot = {epoch, 1};
      enter.initial = initial_of(epoch);
      CHECK_TRUE(acceptor->prepare(enter).ok());
    }
    const std::string which = file;
    if (which == "log") {
      common::DurableState state(disk, "acceptor");
      CHECK_TRUE(state.recover().ok() && state.append_change("no change").ok());
      CHECK_TRUE(absl::IsDataLoss(acceptor_on(disk, AcceptorLogForm::changes)->open()));
    }
    for (const char* const slot : {"slot0", "slot1"}) {
      if (which != slot && which != "both") continue;
      const std::string name = std::string("acceptor.") + slot;
      CHECK_TRUE(disk.truncate(name, 20).ok() && disk.sync(name).ok());
    }
    CHECK_TRUE(acceptor_on(disk, AcceptorLogForm::changes)->reset().ok());
    disk.power_cycle(3);
    auto reopened = acceptor_on(disk, AcceptorLogForm::changes);
    CHECK_WHERE(reopened->open().ok() && !reopened->is_voting(), which);
    CHECK_EQUAL(0, reopened->accepted_ballot().round);
  }
}
