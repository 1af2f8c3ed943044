// Many processes of the program coming back together: real sidecars on loopback, killed, stopped, cut off and
// robbed of what they stored, judged by the auditor and by what stand-ins received.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "fleet_helpers.hpp"
#include "lab/fleet.hpp"
#include "lab/recovery.hpp"
#include "lab/report.hpp"

namespace chutevane::lab {
namespace {

namespace fs = std::filesystem;

// Eight sidecars before six endpoints. The lab shares the machine with other tests: the slack is wide, so
// that the verdict is about the sidecars.
const std::string fleet_text = R"(name = "restart"
settle_ms = 1200
lasts_ms = 4000
lateness_bound_ms = 2000
[callers]
rate = 300
connections = 80
repeats = 1
[rules]
slack_ms = 400
warm_after_ms = 1500
[restart]
state = true
snapshot_ms = 300
)" + three_tracks + R"([[tier]]
name = "edge"
endpoints = 6
sidecars = 8
zones = ["a", "b"]
list_delay_ms = 150
work = { mean_ms = 3 }
)";

struct Played {
  explicit Played(const std::string& more, std::uint64_t seed = 5)
      : experiment(read_experiment(fleet_text + more, "restart")), result(run(seed)) {}
  Result run(std::uint64_t seed) {
    Fleet fleet(experiment, seed, {SIDECAR, folder.path});
    return fleet.run({});
  }
  // Lines of all sidecars' logs that hold this text.
  std::size_t logged(const std::string& text) const {
    std::size_t out = 0;
    for (const auto& entry : fs::directory_iterator(folder.path)) {
      if (entry.path().extension() != ".log") continue;
      std::ifstream in(entry.path());
      for (std::string line; std::getline(in, line);) out += line.find(text) != std::string::npos ? 1 : 0;
    }
    return out;
  }
  std::string table() const { return table_of(experiment, result); }
  Experiment experiment;
  Folder folder;
  Result result;
};

const std::string all_killed =
    "[[fault]]\nkind = \"sidecar-killed\"\nendpoints = 8\nat_ms = 1000\ndown_ms = 300\n";
std::string state_fault(const std::string& kind, const std::string& more = "") {
  return "[[fault]]\nkind = \"" + kind + "\"\nendpoints = 8\nat_ms = 1150\n" + more;
}

void expect_sound(const Played& p, FaultKind kind) {
  ASSERT_FALSE(p.result.is_void) << p.table();
  EXPECT_FALSE(p.result.broken()) << p.table();
  EXPECT_GT(p.result.strikes[static_cast<std::size_t>(kind)], 0U) << p.table();
  EXPECT_GT(p.result.ledger.all().of(Ending::in_time), 200U) << p.table();
}

// All die without a word within one look of the time line, and each starts with what it wrote itself.
TEST(ComingBack, AllKilledStartFromTheirSnapshots) {
  const Played p(all_killed);
  expect_sound(p, FaultKind::sidecar_killed);
  EXPECT_EQ(p.logged(", its limit"), 8U) << p.table();
  EXPECT_GT(p.result.last_up, Span::ms(1000));
}

TEST(ComingBack, WipedStatesAreNamedAndAllIsLearntAnew) {
  const Played p(all_killed + state_fault("state-lost"));
  expect_sound(p, FaultKind::state_lost);
  EXPECT_EQ(p.logged("its limit"), 0U);
  EXPECT_EQ(p.logged("there is no state"), 16U);  // at the first start, and at this one
}

// The newest is torn at a byte that the seed draws; the one before it counts.
TEST(ComingBack, TornStatesAreSetAsideForTheGenerationBefore) {
  const Played p(all_killed + state_fault("state-torn"));
  expect_sound(p, FaultKind::state_torn);
  EXPECT_EQ(p.logged("set aside"), 8U) << p.table();
  EXPECT_EQ(p.logged("its limit"), 8U) << p.table();
}

TEST(ComingBack, AStateFromAnHourAgoIsNothing) {
  const Played p(all_killed + state_fault("state-old"));
  expect_sound(p, FaultKind::state_old);
  EXPECT_EQ(p.logged("its limit"), 0U);
}

// Half of them start from a state of an hour ago, in which a third of the addresses belong to others by now.
TEST(ComingBack, OldStatesOfAddressesThatMovedOnAreNothing) {
  const Played p(all_killed +
                 "[[fault]]\nkind = \"state-old\"\nendpoints = 4\nat_ms = 1150\n"
                 "[[fault]]\nkind = \"restart\"\nendpoints = 2\nat_ms = 1050\ndown_ms = 60\n");
  expect_sound(p, FaultKind::state_old);
  EXPECT_EQ(p.logged("its limit"), 4U) << p.table();
}

// A folder that was copied to the wrong place: nothing of another sidecar's is taken.
TEST(ComingBack, AStateOfAnotherSidecarIsNothing) {
  const Played p(all_killed + state_fault("state-swapped"));
  expect_sound(p, FaultKind::state_swapped);
  EXPECT_EQ(p.logged("it is of sidecar"), 8U);
  EXPECT_EQ(p.logged("its limit"), 0U);
}

TEST(ComingBack, ADiskThatTakesNothingIsToldAndCostsNoCall) {
  const Played p("[[fault]]\nkind = \"state-refused\"\nendpoints = 8\nat_ms = 500\nfor_ms = 1500\n");
  expect_sound(p, FaultKind::state_refused);
  EXPECT_GE(p.logged("state: not kept"), 8U);
  EXPECT_GT(p.result.ledger.all().service(), 0.95) << p.table();
}

TEST(ComingBack, ACrashLoopBreaksNoRule) {
  const Played p(
      "[[fault]]\nkind = \"sidecar-loop\"\nendpoints = 8\nat_ms = 500\nfor_ms = 2400\nevery_ms = 800\n"
      "down_ms = 100\n[[fault]]\nkind = \"restart\"\nendpoints = 4\nat_ms = 600\ndown_ms = 100\n");
  expect_sound(p, FaultKind::sidecar_loop);
}

// Stopped in the middle of service, then on with beliefs of before.
TEST(ComingBack, ProcessesThatWereStoppedGoOn) {
  const Played p(
      "[[fault]]\nkind = \"sidecar-stopped\"\nendpoints = 3\nat_ms = 600\nfor_ms = 1200\n"
      "[[fault]]\nkind = \"release\"\ndrain_ms = 150\ndown_ms = 50\nat_ms = 700\n");
  expect_sound(p, FaultKind::sidecar_stopped);
}

// Discovery gone while all start again: each serves from the newer of its lists.
TEST(ComingBack, WithoutDiscoveryTheLastListServes) {
  const Played p(all_killed + "[[fault]]\nkind = \"discovery-silent\"\nat_ms = 900\nfor_ms = 3000\n");
  expect_sound(p, FaultKind::discovery_silent);
  EXPECT_GT(p.result.ledger.all().service(), 0.6) << p.table();
}

// No stampede on discovery: what all ask at their start is spread; without the spread this fails.
TEST(ComingBack, QuestionsToDiscoveryAreSpread) {
  const std::string spread = "ask_over_ms = 2000\n";
  std::string text = fleet_text;
  const auto asked = [&](bool with) {
    std::string one = text;
    if (with) one.insert(one.find("snapshot_ms"), spread);
    const Experiment e = read_experiment(one + all_killed, "restart");
    const Folder folder;
    Fleet fleet(e, 5, {SIDECAR, folder.path});
    const Result r = fleet.run({});
    EXPECT_FALSE(r.broken()) << table_of(e, r);
    // Within 0.4 s of the first one after the kill.
    const std::vector<std::uint32_t>& all = r.surges.all_asked();
    std::size_t from = 10;
    while (from < all.size() && all[from] == 0) ++from;
    std::uint32_t most = 0;
    for (std::size_t i = from; i < std::min(all.size(), from + 4); ++i) most += all[i];
    return most;
  };
  EXPECT_GE(asked(false), 7U);
  EXPECT_LE(asked(true), 5U);
}

// --- The ways between processes -----------------------------------------------------------------------

class Ways : public ::testing::TestWithParam<std::pair<const char*, const char*>> {};

TEST_P(Ways, BreakAndNoRuleDoes) {
  const Played p("[[fault]]\nkind = \"" + std::string(GetParam().first) + "\"\nendpoints = 4\nat_ms = 800\n" +
                 GetParam().second);
  expect_sound(p, p.experiment.faults.front().kind);
}

const char* span = "for_ms = 1200\n";
INSTANTIATE_TEST_SUITE_P(
    Each, Ways,
    ::testing::Values(std::pair{"partition", span},
                      std::pair{"partition", "direction = \"to-sidecar\"\nfor_ms = 1200\n"},
                      std::pair{"partition", "direction = \"from-sidecar\"\nfor_ms = 1200\nfar = 2\n"},
                      std::pair{"partition",
                                "link = \"discovery\"\nfor_ms = 2000\n[[fault]]\nkind = \"restart\"\nat_ms = "
                                "1000\ndown_ms = 100\n"},
                      std::pair{"partition", "link = \"callers\"\nfor_ms = 600\n"},
                      std::pair{"slow-link", "delay_ms = 60\nspread_ms = 40\nfor_ms = 1500\n"},
                      std::pair{"capped-link", "bytes_per_s = 20000\nfor_ms = 1500\n"},
                      std::pair{"held-link", span}, std::pair{"cut", ""},
                      std::pair{"cut", "link = \"callers\"\n"},
                      std::pair{"lost-end", "direction = \"to-sidecar\"\n"},
                      std::pair{"lost-end", "direction = \"from-sidecar\"\nlink = \"discovery\"\n"}),
    [](const auto& given) {
      std::string name = std::string(given.param.first) + "_" + std::to_string(given.index);
      std::replace(name.begin(), name.end(), '-', '_');
      return name;
    });

}  // namespace
}  // namespace chutevane::lab
