/// A storage node is told to end, and is killed beside the controller that plans the storage map before the
/// others have taken over from it. Started again, it answers as if it had what was stored meanwhile. Two
/// disks are lost after that, one after the other, each long after the trouble before it was over. Turns that
/// were answered whole are gone.
#include <algorithm>
#include <csignal>
#include <iostream>
#include <stdexcept>

#include "support/tier.hpp"

namespace {

using review::milliseconds;

constexpr double retention_s = 60;
// The site file's limits: programs start at 12.7 + 3.95 a second, with some 100 turns a second in all.
constexpr milliseconds program_interval(61);  // between the starts of two programs
constexpr milliseconds turn_interval(2000);   // between two turns of a program
constexpr int program_count = 200;
constexpr milliseconds restart_delay(200);          // "started again after a short delay"
constexpr milliseconds disk_loss_time(2000);        // after_ack_wipe on store, for_s = 2.0
constexpr milliseconds catch_up_time(4200);         // bounds.catchUpS
constexpr milliseconds margin(1500);                // added to each catch-up time
constexpr milliseconds mark_time(3000);             // for the map to show that the node is leaving
constexpr milliseconds controller_down_time(2500);  // node_kill on core, for_s = 3.0
constexpr milliseconds busy_time(1250);             // from the kills until the programs pause
constexpr milliseconds after_mark(50);              // for the map to reach all processes
constexpr int turn_time_ms = 6000;
constexpr int tries_per_turn = 8;

/// A conversation: its turns so far, one after the other.
struct Program {
  std::string id = review::random_id();
  std::string chain;  // the inputs and outputs of its turns
  review::Turn last;  // the last turn that was answered whole
  std::size_t edge = 0;
};

class Case {
 public:
  Case(const review::Arguments& arguments, review::Record& record)
      : record_(record),
        is_troubled_(arguments.is_troubled),
        tier_(arguments, record, {.controllers = 4, .storage_nodes = 4, .edges = 4, .machine_losses = 1}),
        programs_(program_count) {}

  int run() {
    if (!start()) return review::could_not_run;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < programs_.size(); ++i) clients.emplace_back([this, i] { take_turns(i); });
    std::this_thread::sleep_for(program_interval * program_count);
    const bool could_run = !is_troubled_ || stop_storage_node();
    // From here on the programs are busy with their tools.
    is_paused_ = true;
    for (std::thread& client : clients) client.join();
    if (!could_run) return review::could_not_run;
    if (is_troubled_) wait_for_no_mark();
    std::this_thread::sleep_for(catch_up_time + margin);
    lose_disk_of(1);
    lose_disk_of(2);
    return go_on();
  }

 private:
  bool start() {
    std::vector<review::Instance> instances;
    for (int i = 1; i <= 3; ++i)
      instances.push_back(
          {"i-words-" + std::to_string(i), "words", tier_.stand_in_address(i, 8501), "zone-a"});
    instances.push_back({"i-tools-1", "tools", tier_.stand_in_address(4, 8501), "zone-b"});
    for (const review::Instance& instance : instances)
      endpoints_.push_back(std::make_unique<review::Endpoint>(instance, review::EndpointBehavior{}));
    platform_ = std::make_unique<review::Platform>(tier_.stand_in_address(90, 8142), instances);
    tier_.start_all(tier_.stand_in_address(90, 8142));
    const bool is_up =
        tier_.put_configuration(review::configuration_text(1, retention_s), 0, milliseconds(15000)) &&
        tier_.wait_until_ready(milliseconds(15000));
    record_.line(is_up ? "the tier is up" : "the tier did not come up");
    std::this_thread::sleep_for(catch_up_time + margin);
    return is_up;
  }

  // SIGTERM to one storage node. Once the map shows that it leaves, it and the controller that plans the map
  // are killed at the same moment. The node is started again after a short delay, the controller later.
  bool stop_storage_node() {
    review::Process& node = tier_.storage(0);
    leader_ = tier_.holder_of("roster");
    if (leader_ == tier_.controller_count()) {
      record_.line("no controller plans the map");
      return false;
    }
    tier_.signal(node, SIGTERM);
    if (!wait_for_mark(leader_)) return false;
    std::this_thread::sleep_for(after_mark);
    tier_.kill(tier_.controller(leader_));
    tier_.kill(node);
    std::this_thread::sleep_for(restart_delay);
    tier_.start(node);
    std::this_thread::sleep_for(busy_time - restart_delay);
    return true;
  }

  bool wait_for_mark(std::size_t controller) {
    const auto until = review::Clock::now() + mark_time;
    while (review::Clock::now() < until) {
      if (is_marked(controller)) return true;
      std::this_thread::sleep_for(milliseconds(5));
    }
    record_.line("the map does not show that the node leaves");
    return false;
  }

  // Waits until the map has the node again as one that stays. It may have been taken out of the map instead,
  // and have come in anew; then the case shows nothing.
  void wait_for_no_mark() {
    const auto until = review::Clock::now() + controller_down_time;
    while (review::Clock::now() < until && !stays_in_map()) std::this_thread::sleep_for(milliseconds(20));
    record_.line(stays_in_map() ? "the map has storage-1 as one that stays"
                                : "the map does not have storage-1 again");
    tier_.start(tier_.controller(leader_));
  }

  bool stays_in_map() const {
    for (std::size_t i = 0; i < tier_.controller_count(); ++i) {
      const std::string mark = R"("node":"storage-1","zone":"zone-a","leaving":false)";
      if (i != leader_ && tier_.status(i).find(mark) != std::string::npos) return true;
    }
    return false;
  }

  bool is_marked(std::size_t controller) const {
    return tier_.status(controller).find(R"("node":"storage-1","zone":"zone-a","leaving":true)") !=
           std::string::npos;
  }

  void take_turns(std::size_t index) {
    std::this_thread::sleep_for(program_interval * static_cast<int>(index));
    Program& program = programs_[index];
    while (!is_paused_) {
      const std::string input = "input of " + review::random_id();
      program.edge = index % tier_.edge_count();  // the one of its zone
      const review::Turn turn = review::send_turn(tier_.front(program.edge), record_, program.id,
                                                  program.last.attempt, input, turn_time_ms);
      ++turns_;
      note(turn, program.edge);
      if (turn.is_whole) {
        program.chain += input + turn.output;
        program.last = turn;
      }
      std::this_thread::sleep_for(turn_interval);
    }
  }

  void lose_disk_of(std::size_t node) {
    if (!is_troubled_) return;
    review::Process& process = tier_.storage(node);
    tier_.kill(process);
    tier_.lose_disk(process);
    std::this_thread::sleep_for(disk_loss_time);
    tier_.start(process);
    std::this_thread::sleep_for(catch_up_time + margin);
  }

  // Each program goes on from its last turn, at another edge than the one that answered it.
  int go_on() {
    record_.line(std::to_string(turns_) + " turns were sent");
    std::vector<std::thread> clients;
    for (Program& program : programs_) clients.emplace_back([this, &program] { take_next_turn(program); });
    for (std::thread& client : clients) client.join();
    note_runs();
    record_.line("of " + std::to_string(programs_.size()) +
                 " programs that went on: " + std::to_string(served_) + " answered whole, " +
                 std::to_string(denied_) + " got 404 or 410, " + std::to_string(wrong_) +
                 " with another body, " + std::to_string(other_) + " neither");
    if (served_ == 0) return review::could_not_run;
    return denied_ > 0 ? review::rule_broken : review::rule_held;
  }

  void take_next_turn(Program& program) {
    const std::size_t edge = (program.edge + 1) % tier_.edge_count();
    review::Turn turn;
    for (int tried = 0; tried < tries_per_turn && !program.last.attempt.empty(); ++tried) {
      turn = review::send_turn(tier_.front(edge), record_, program.id, program.last.attempt, "next",
                               turn_time_ms);
      note(turn, edge);
      if (turn.is_whole || turn.status == 404 || turn.status == 410) break;
      std::this_thread::sleep_for(milliseconds(300));
    }
    const std::lock_guard lock(mutex_);
    const bool is_kept = turn.ended_at_ms - program.last.ended_at_ms < retention_s * 1000;
    if ((turn.status == 404 || turn.status == 410) && is_kept) {
      ++denied_;
      record_.line("turn " + program.last.attempt + " of program " + program.id + ", answered whole at " +
                   std::to_string(static_cast<int>(program.last.ended_at_ms)) +
                   " ms: " + std::to_string(turn.status) + " at " +
                   std::to_string(static_cast<int>(turn.ended_at_ms)) + " ms");
    } else if (!turn.is_whole) {
      ++other_;
    } else if (!has_run(turn.attempt, program.chain + "next")) {
      ++wrong_;
    } else {
      ++served_;
    }
  }

  void note(const review::Turn& turn, std::size_t edge) {
    record_.detail("turn " + turn.attempt + " of " + turn.program + " after " +
                   (turn.previous.empty() ? "none" : turn.previous) + " at edge-" + std::to_string(edge + 1) +
                   ": " + std::to_string(turn.status) + (turn.is_whole ? ", whole" : ", not whole"));
  }

  // Writes what the endpoints have run.
  void note_runs() {
    for (const auto& endpoint : endpoints_) {
      for (const review::Run& run : endpoint->runs())
        record_.detail("run at " + run.endpoint + ": " + run.attempt + ", body of " +
                       std::to_string(run.body.size()) + " bytes");
    }
  }

  bool has_run(const std::string& attempt, const std::string& body) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& endpoint) {
      const std::vector<review::Run> runs = endpoint->runs();
      return std::any_of(runs.begin(), runs.end(),
                         [&](const review::Run& run) { return run.attempt == attempt && run.body == body; });
    });
  }

  review::Record& record_;
  const bool is_troubled_;
  std::vector<std::unique_ptr<review::Endpoint>> endpoints_;
  std::unique_ptr<review::Platform> platform_;
  review::Tier tier_;
  std::vector<Program> programs_;
  std::size_t leader_ = 0;  // index of the controller that planned the map
  std::atomic<bool> is_paused_ = false;
  std::atomic<std::size_t> turns_ = 0;
  std::mutex mutex_;
  std::size_t served_ = 0, denied_ = 0, wrong_ = 0, other_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  try {
    const review::Arguments arguments = review::parse_arguments(argc, argv);
    review::Record record(arguments.record);
    return Case(arguments, record).run();
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return review::could_not_run;
  }
}
