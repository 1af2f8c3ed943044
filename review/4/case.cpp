/// A storage node that got SIGTERM and is started again before the others have taken over from it: it answers
/// as if it had what was stored meanwhile. Two disks are lost after that, one after the other, each long after
/// the last trouble was over. Turns that were answered whole are gone.
#include <algorithm>
#include <csignal>
#include <iostream>
#include <stdexcept>

#include "support/tier.hpp"

namespace {

using review::milliseconds;

constexpr double retention_s = 60;
constexpr milliseconds freeze_time(2000);     // site file: node_freeze on store, for_s = 3.2 at most
constexpr milliseconds disk_loss_time(800);   // site file: after_ack_wipe on store, for_s = 2.0 at most
constexpr milliseconds catch_up_time(4200);   // bounds.catchUpS
constexpr milliseconds margin(1500);          // added to each catch-up time
constexpr milliseconds until_term(100);       // from the freeze to the SIGTERM
constexpr milliseconds until_turns(250);      // from the SIGTERM to the first turn
constexpr milliseconds until_kill(1300);      // from the SIGTERM to the SIGKILL
constexpr milliseconds restart_delay(200);    // "after a short delay"
constexpr milliseconds turns_time(1400);      // for which turns are sent
constexpr int turn_time_ms = 6000;
constexpr int writer_count = 40;
constexpr int tries_per_turn = 8;

struct KeptTurn {
  review::Turn turn;
  std::size_t edge = 0;  // that answered it
};

class Case {
 public:
  Case(const review::Arguments& arguments, review::Record& record)
      : record_(record),
        is_troubled_(arguments.is_troubled),
        tier_(arguments, record, {.controllers = 4, .storage_nodes = 5, .edges = 4, .machine_losses = 1}) {}

  int run() {
    if (!start()) return review::could_not_run;
    send_first_turns();
    lose_disk_of(1);
    lose_disk_of(2);
    return continue_turns();
  }

 private:
  bool start() {
    std::vector<review::Instance> instances;
    for (int i = 1; i <= 3; ++i)
      instances.push_back({"i-words-" + std::to_string(i), "words", tier_.stand_in_address(i, 8501), "zone-a"});
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

  void send_first_turns() {
    review::Process& frozen = tier_.storage(4);
    if (is_troubled_) {
      tier_.signal(frozen, SIGSTOP);
      std::this_thread::sleep_for(until_term);
      tier_.signal(tier_.storage(0), SIGTERM);
    }
    const auto until = review::Clock::now() + until_turns + turns_time;
    std::vector<std::thread> writers;
    for (int writer = 0; writer < writer_count; ++writer)
      writers.emplace_back([this, writer, until] { write_turns(writer, until); });
    if (is_troubled_) {
      kill_and_restart(tier_.storage(0));
      std::this_thread::sleep_for(freeze_time - until_term - until_kill - restart_delay);
      tier_.signal(frozen, SIGCONT);
    }
    for (std::thread& writer : writers) writer.join();
    record_.line(std::to_string(kept_.size()) + " turns were answered whole");
    std::this_thread::sleep_for(catch_up_time + margin);
  }

  void kill_and_restart(review::Process& process) {
    std::this_thread::sleep_for(until_kill);
    tier_.kill(process);
    std::this_thread::sleep_for(restart_delay);
    tier_.start(process);
  }

  void write_turns(int writer, review::Clock::time_point until) {
    std::this_thread::sleep_for(until_turns);
    for (std::size_t i = static_cast<std::size_t>(writer); review::Clock::now() < until; ++i) {
      const std::size_t edge = i % tier_.edge_count();
      const review::Turn turn = review::send_turn(tier_.front(edge), record_, review::random_id(), "",
                                                  "input of " + review::random_id(), turn_time_ms);
      const std::lock_guard lock(mutex_);
      if (turn.is_whole) kept_.push_back({turn, edge});
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

  // Goes on from each turn at another edge than the one that answered it.
  int continue_turns() {
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> clients;
    for (int client = 0; client < writer_count; ++client) {
      clients.emplace_back([&] {
        for (std::size_t i = next++; i < kept_.size(); i = next++) continue_turn(kept_[i]);
      });
    }
    for (std::thread& client : clients) client.join();
    record_.line("continued: " + std::to_string(served_) + " answered whole, " + std::to_string(denied_) +
                 " got 404 or 410, " + std::to_string(wrong_) + " with another body, " + std::to_string(other_) +
                 " neither");
    if (kept_.empty() || served_ == 0) return review::could_not_run;
    return denied_ > 0 || wrong_ > 0 ? review::rule_broken : review::rule_held;
  }

  void continue_turn(const KeptTurn& kept) {
    const std::size_t edge = (kept.edge + 1) % tier_.edge_count();
    review::Turn turn;
    for (int tried = 0; tried < tries_per_turn; ++tried) {
      turn = review::send_turn(tier_.front(edge), record_, kept.turn.program, kept.turn.attempt, "next",
                               turn_time_ms);
      if (turn.is_whole || turn.status == 404 || turn.status == 410) break;
      std::this_thread::sleep_for(milliseconds(300));
    }
    const std::lock_guard lock(mutex_);
    if (turn.status == 404 || turn.status == 410) {
      ++denied_;
      record_.line("turn " + kept.turn.attempt + " of program " + kept.turn.program + ", answered whole at " +
                   std::to_string(static_cast<int>(kept.turn.ended_at_ms)) + " ms: " +
                   std::to_string(turn.status) + " at " + std::to_string(static_cast<int>(turn.ended_at_ms)) +
                   " ms");
    } else if (!turn.is_whole) {
      ++other_;
    } else if (!has_run(turn.attempt, kept.turn.input + kept.turn.output + "next")) {
      ++wrong_;
    } else {
      ++served_;
    }
  }

  bool has_run(const std::string& attempt, const std::string& body) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& endpoint) {
      const std::vector<review::Run> runs = endpoint->runs();
      return std::any_of(runs.begin(), runs.end(), [&](const review::Run& run) {
        return run.attempt == attempt && run.body == body;
      });
    });
  }

  review::Record& record_;
  const bool is_troubled_;
  std::vector<std::unique_ptr<review::Endpoint>> endpoints_;
  std::unique_ptr<review::Platform> platform_;
  review::Tier tier_;
  std::mutex mutex_;
  std::vector<KeptTurn> kept_;
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
