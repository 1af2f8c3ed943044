// Whole fleets on loopback: one experiment for each kind of fault, with real sidecars, judged by the auditor.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include "fleet_helpers.hpp"
#include "lab/fleet.hpp"
#include "lab/report.hpp"

namespace chutevane::lab {
namespace {

namespace fs = std::filesystem;

// Three tracks over two tiers; the second tier's sidecars belong to the first one's endpoints. The lab shares
// the machine with other tests: the slack is wide, so that the verdict is about the sidecar.
const std::string fleet_text = R"(name = "fault"
settle_ms = 300
lasts_ms = 2200
lateness_bound_ms = 2000
[callers]
rate = 120
connections = 60
repeats = 1
leave_share = 0.01
[rules]
slack_ms = 400
warm_after_ms = 1500
)" + three_tracks + R"([[tier]]
name = "edge"
endpoints = 3
sidecars = 2
zones = ["a", "b"]
list_delay_ms = 150
work = { mean_ms = 3 }
[[tier]]
name = "store"
endpoints = 4
zones = ["a", "b"]
list_delay_ms = 150
work = { mean_ms = 3 }
)";

Experiment experiment_with(const std::string& more) { return read_experiment(fleet_text + more, "fault"); }

// The first word of a parameter is a fault's kind, the rest its further keys.
class Faults : public ::testing::TestWithParam<std::pair<const char*, const char*>> {};

TEST_P(Faults, ShowsAndBreaksNoRule) {
  const std::string kind = GetParam().first;
  const Experiment e =
      experiment_with("[[fault]]\nkind = \"" + kind + "\"\nat_ms = 500\n" + GetParam().second);
  Folder folder;
  Fleet fleet(e, 11, {SIDECAR, folder.path});
  const Result r = fleet.run({});
  ASSERT_FALSE(r.is_void) << table_of(e, r);
  EXPECT_FALSE(r.broken()) << table_of(e, r);
  EXPECT_GT(r.strikes[static_cast<std::size_t>(e.faults[0].kind)], 0U) << table_of(e, r);
  EXPECT_GT(r.ledger.all().of(Ending::in_time), 100U) << table_of(e, r);
}

const char* span = "for_ms = 1000\n";
INSTANTIATE_TEST_SUITE_P(
    Each, Faults,
    ::testing::Values(std::pair{"silent", "tier = \"store\"\nfor_ms = 1000\n"}, std::pair{"slow", span},
                      std::pair{"neighbour", span}, std::pair{"refused", span},
                      std::pair{"reset-before", "endpoints = 3\nfor_ms = 1000\n"},
                      std::pair{"reset-amid", "probability = 0.3\nfor_ms = 1000\n"},
                      std::pair{"reset-after", "probability = 0.3\nfor_ms = 1000\n"},
                      std::pair{"reset-answer", "probability = 0.3\nfor_ms = 1000\n"},
                      std::pair{"half-answer", "tier = \"store\"\nprobability = 0.2\nfor_ms = 1000\n"},
                      std::pair{"spoilt", "probability = 0.3\nfor_ms = 1000\n"},
                      std::pair{"doubled", "probability = 0.3\nfor_ms = 1000\n"},
                      std::pair{"error", "probability = 0.3\nfor_ms = 1000\n"}, std::pair{"end", ""},
                      std::pair{"restart", "tier = \"store\"\ndown_ms = 200\n"},
                      std::pair{"release", "drain_ms = 300\ndown_ms = 100\n"},
                      std::pair{"zone-lost", "tier = \"store\"\nzone = \"b\"\nfor_ms = 800\n"},
                      std::pair{"sidecar-killed", "down_ms = 200\n"}, std::pair{"sidecar-drained", ""},
                      std::pair{"discovery-silent", span}, std::pair{"discovery-late", span},
                      std::pair{"discovery-broken", span}, std::pair{"discovery-truncated", span},
                      std::pair{"burst", span}),
    [](const auto& given) {
      std::string name = given.param.first;
      std::replace(name.begin(), name.end(), '-', '_');
      return name;
    });

// --- Pools behind one sidecar -----------------------------------------------------------------------

// Two pools; `far` is told what follows.
std::string pools_text(const std::string& far, const std::string& more) {
  return R"(name = "pools"
settle_ms = 600
lasts_ms = 4500
lateness_bound_ms = 2000
pools = true
service = """
[service.failover]
return_per_s = 0.5
memory_ms = 1000
"""
[callers]
rate = 150
repeats = 1
[rules]
slack_ms = 400
warm_after_ms = 1000
[[track]]
name = "plan"
share = 4
soft_limit_ms = 300
client_timeout_ms = 800
[[track]]
name = "alert"
effect = "referenced"
repeat_window_ms = 5000
soft_limit_ms = 300
client_timeout_ms = 800
[[track]]
name = "sale"
effect = "single-use"
soft_limit_ms = 300
client_timeout_ms = 800
[[tier]]
name = "near"
endpoints = 3
cores = 2
list_delay_ms = 100
work = { mean_ms = 5 }
[[tier]]
name = "far"
endpoints = 3
cores = 2
work = { mean_ms = 5 }
)" + far +
         more;
}

Result play(const std::string& text, std::string& table) {
  const Experiment e = read_experiment(text, "pools");
  Folder folder;
  Fleet fleet(e, 4, {SIDECAR, folder.path});
  Result out = fleet.run({});
  table = table_of(e, out);
  return out;
}

const std::string lost = "[[fault]]\nkind = \"end\"\ntier = \"near\"\nendpoints = 3\nat_ms = 1000\n";

// The pool's endpoints are gone for good; the other one carries on, no rule broken, and single-use calls
// never twice.
TEST(Pools, ALostPoolIsTakenOverByTheNext) {
  std::string table;
  const Result r = play(pools_text("carries_per_s = 400\n", lost), table);
  EXPECT_FALSE(r.broken()) << table;
  Tally after;  // from half a second after the loss
  for (std::size_t i = 6; i < r.ledger.slices().size(); ++i) after.add(r.ledger.slices()[i]);
  EXPECT_GT(after.service(), 0.9) << table;
}

// The next pool is given no more than it is stated to carry; the rest is refused at once.
TEST(Pools, TheNextPoolIsNotPushedOver) {
  std::string table;
  const Result r = play(pools_text("carries_per_s = 40\n", lost), table);
  EXPECT_FALSE(r.broken()) << table;
  Tally after;
  for (std::size_t i = 8; i < r.ledger.slices().size(); ++i) after.add(r.ledger.slices()[i]);
  EXPECT_GT(after.of(Ending::rejected), after.asked / 3) << table;
  EXPECT_LT(after.dispatches, after.asked / 2)
      << table;  // 40 of 150 a second, and what had to be told of the loss
}

// The next pool is cold when it takes over: each sidecar's budget for cold endpoints holds, whatever comes
// over.
TEST(Pools, AColdNextPoolIsNotPushedOver) {
  std::string faults = lost;
  for (const char* at : {"600", "700", "800"})
    faults +=
        std::string("[[fault]]\nkind = \"restart\"\ntier = \"far\"\nendpoints = 3\ndown_ms = 50\nat_ms = ") +
        at + "\n";
  std::string table;
  const Result r = play(pools_text("carries_per_s = 400\n", faults), table);
  EXPECT_FALSE(r.broken()) << table;  // rule 4 among them
  EXPECT_GT(r.most_cold_part, 0.0) << table;
}

TEST(Pools, AFlappingPoolBreaksNothing) {
  std::string faults;
  for (const char* at : {"800", "1800", "2800"})
    faults += std::string("[[fault]]\nkind = \"silent\"\ntier = \"near\"\nendpoints = 3\nat_ms = ") + at +
              "\nfor_ms = 500\n";
  std::string table;
  const Result r = play(pools_text("carries_per_s = 400\n", faults), table);
  EXPECT_FALSE(r.broken()) << table;
  EXPECT_GT(r.ledger.all().service(), 0.7) << table;
}

// Ten times as many calls as the other client makes, and more than the pool can do.
TEST(Pools, ANoisyClientLeavesTheQuietOneItsShare) {
  std::string text = pools_text("", "");
  const auto replace = [&](const std::string& what, const std::string& with) {
    text.replace(text.find(what), what.size(), with);
  };
  replace("[service.failover]", "[service.limits]\nin_flight = 12\n[service.failover]");
  replace("rate = 150\nrepeats = 1", "rate = 900\nconnections = 300\nspread = true");
  replace("share = 4", "share = 30\nclient = \"noisy\"");
  replace("name = \"alert\"", "name = \"alert\"\nclient = \"quiet\"");
  replace("name = \"sale\"", "name = \"sale\"\nclient = \"quiet\"");
  std::string table;
  const Result r = play(text, table);
  EXPECT_FALSE(r.broken()) << table;
  EXPECT_GT(r.ledger.tracks()[1].service(), 0.8) << table;
  EXPECT_GT(r.ledger.tracks()[2].service(), 0.8) << table;
}

std::size_t open_descriptors() {
  return static_cast<std::size_t>(
      std::distance(fs::directory_iterator("/proc/self/fd"), fs::directory_iterator()));
}

// Many callers and endpoints in one process; descriptors are given back, and a second run takes no more
// memory.
TEST(Fleets, ManyConnectionsAreGivenBack) {
  const std::string text = R"(name = "wide"
settle_ms = 300
lasts_ms = 1500
lateness_bound_ms = 2000
[callers]
rate = 1500
arrivals = "even"
connections = 1000
spread = true
[rules]
slack_ms = 1000
[[track]]
name = "plan"
soft_limit_ms = 2000
client_timeout_ms = 3000
[[tier]]
name = "edge"
endpoints = 40
sidecars = 2
cores = 64
queue = 1000
work = { draw = "fixed", mean_ms = 10 }
)";
  const Experiment e = read_experiment(text, "wide");
  const std::size_t before = open_descriptors();
  std::uint64_t connections = 0;
  {
    Folder folder;
    Fleet fleet(e, 3, {SIDECAR, folder.path});
    const Result r = fleet.run({});
    connections = r.caller_connections;
    EXPECT_EQ(r.breach_count, 0U) << table_of(e, r);
    EXPECT_FALSE(r.crashed()) << table_of(e, r);
  }
  EXPECT_GE(connections, 1000U);
  EXPECT_EQ(open_descriptors(), before);
}

TEST(Fleets, TwoAtOnceDoNotCollide) {
  const Experiment e = experiment_with("");
  std::uint64_t asked[2] = {};
  std::string trouble[2];
  const auto play = [&](int i) {
    Folder folder;
    Fleet fleet(e, static_cast<std::uint64_t>(i), {SIDECAR, folder.path});
    const Result r = fleet.run({});
    asked[i] = r.ledger.all().of(Ending::in_time);
    if (r.broken()) trouble[i] = table_of(e, r);
  };
  std::thread other(play, 1);
  play(0);
  other.join();
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(trouble[i], "");
    EXPECT_GT(asked[i], 100U);
  }
}

// A sidecar that ends by itself is a result: named, with what it last said.
TEST(Fleets, ACrashIsNamedWithItsLastLines) {
  Folder folder;
  const std::string program = folder.path + "/sidecar";
  std::ofstream(program) << "#!/bin/sh\n(sleep 1; echo the last words >&2; kill -KILL $$) &\nexec " << SIDECAR
                         << " \"$@\"\n";
  fs::permissions(program, fs::perms::owner_all);
  const Experiment e = experiment_with("");
  Fleet fleet(e, 1, {program, folder.path});
  const Result r = fleet.run({});
  EXPECT_TRUE(r.crashed());
  EXPECT_NE(table_of(e, r).find("the last words"), std::string::npos) << table_of(e, r);
}

// Guards against sidecars that outlive a lab that is killed outright.
TEST(Fleets, AKilledLabLeavesNoSidecar) {
  int pipe_ends[2];
  ASSERT_EQ(::pipe(pipe_ends), 0);
  Folder folder;
  const pid_t lab = ::fork();
  if (lab == 0) {
    const Experiment e = experiment_with("");
    Fleet fleet(e, 1, {SIDECAR, folder.path});
    bool told = false;
    fleet.run([&](Span, Span, const Ledger&) {
      const pid_t sidecar = fleet.sidecar_pid(0);
      if (!told) told = ::write(pipe_ends[1], &sidecar, sizeof sidecar) == sizeof sidecar;
    });
    ::_exit(0);
  }
  pid_t sidecar = 0;
  ASSERT_EQ(::read(pipe_ends[0], &sidecar, sizeof sidecar), static_cast<ssize_t>(sizeof sidecar));
  ASSERT_EQ(::kill(sidecar, 0), 0);
  ::kill(lab, SIGKILL);
  ASSERT_EQ(::waitpid(lab, nullptr, 0), lab);
  const auto latest = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  const auto gone = [&] {  // ended, even if nobody has waited for it yet
    std::ifstream stat("/proc/" + std::to_string(sidecar) + "/stat");
    std::string line;
    return !std::getline(stat, line) || line.find(") Z") != std::string::npos;
  };
  while (!gone() && std::chrono::steady_clock::now() < latest) std::this_thread::yield();
  EXPECT_TRUE(gone());
  ::close(pipe_ends[0]);
  ::close(pipe_ends[1]);
}

// The same seed asks for the same at the same times, whatever the fleet makes of it.
TEST(Fleets, ReportsHoldTheFigures) {
  const Experiment e = experiment_with("[[fault]]\nkind = \"slow\"\nat_ms = 500\nfor_ms = 500\n");
  Folder folder;
  Fleet fleet(e, 5, {SIDECAR, folder.path});
  const Result r = fleet.run({});
  const std::string json = json_of(e, r), html = html_of(e, r);
  EXPECT_NE(json.find("\"asked\": " + std::to_string(r.ledger.all().asked)), std::string::npos);
  EXPECT_NE(html.find("<polyline"), std::string::npos);
  EXPECT_EQ(html.find("http"), std::string::npos);  // one file, no network
}

}  // namespace
}  // namespace chutevane::lab
