// Acceptors on disks in memory and the ways to them, for tests of the register and of what stands on it:
// messages are lost, late, repeated and out of order, by a seed. unit.hpp is to be included behind it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/register.hpp"
#include "played_system.hpp"

std::string numbered(const char* word, long long number);

namespace chutevane::played {

// A machine with a disk that may vote.
struct Machine {
  std::string address, disk_id;
  bool first = true;
  std::unique_ptr<market::MemoryDisk> disk = std::make_unique<market::MemoryDisk>();
  std::unique_ptr<control::AcceptorState> acceptor;
  bool up = false;

  void start() {
    acceptor = std::make_unique<control::AcceptorState>(*disk, address, disk_id, first);
    const absl::Status s = acceptor->open();
    if (absl::IsDataLoss(s)) {  // as the control plane does: it is another disk from here on
      wipe();
      return start();
    }
    up = s.ok();
  }
  void wipe() {
    disk = std::make_unique<market::MemoryDisk>();
    disk_id += "'";
    first = false;
  }
  void lose_power(std::uint64_t luck) {
    up = false;
    acceptor.reset();
    disk->power_cycle(luck);
  }
};

struct Weather {
  double lost = 0, repeated = 0, slow = 0;  // parts of the messages
  Span most = Span::ms(20);                 // of a way
};

// The machines and the ways to them.
struct Field {
  explicit Field(std::size_t machines, std::uint64_t seed) : luck(seed), all(machines) {
    for (std::size_t i = 0; i < machines; ++i) {
      all[i].address = numbered("m", i);
      all[i].disk_id = numbered("d", i);
      all[i].start();
    }
  }
  Machine* find(const std::string& address) {
    for (Machine& m : all) {
      if (m.address == address) return &m;
    }
    return nullptr;
  }
  market::Value first_set(std::size_t n) const {
    std::vector<market::Acceptor> set;
    for (std::size_t i = 0; i < n; ++i) set.push_back({all[i].address, ""});
    return control::first_value(set);
  }
  Span way() { return luck.chance(weather.slow) ? Span::ms(900 * luck.unit()) : weather.most * luck.unit(); }
  // A disk that fails ends its machine: nothing is answered.
  template <class Ask>
  auto ask(Machine& m, const Ask& what) {
    if constexpr (std::is_same_v<Ask, market::Prepare>) {
      auto got = m.acceptor->prepare(what);
      if (!got.ok()) died(m);
      return got;
    } else {
      auto got = m.acceptor->accept(what);
      if (!got.ok()) died(m);
      return got;
    }
  }
  void died(Machine& m) {
    m.up = false;
    if (on_death) on_death(m);
  }

  Clockwork clock;
  Luck luck;
  Weather weather;
  std::vector<Machine> all;
  std::function<void(Machine&)> on_death;
};

// One proposer's ways: exactly one answer to each message, as a held connection gives it.
class PlayedVoters final : public control::Voters {
 public:
  explicit PlayedVoters(Field& field) : field_(field) {}
  void prepare(const std::string& address, const market::Prepare& ask,
               std::function<void(absl::StatusOr<market::Promise>)> answered) override {
    send(address, ask, std::move(answered));
  }
  void accept(const std::string& address, const market::Accept& ask,
              std::function<void(absl::StatusOr<market::Accepted>)> answered) override {
    send(address, ask, std::move(answered));
  }
  bool cut_off = false;
  // Its process has ended: nothing more goes out, what is on its way arrives, and nobody hears an answer.
  bool ended = false;
  // How many messages go out before it ends, if it is to end by that.
  std::optional<std::size_t> sends_left;
  std::function<void()> on_end;

 private:
  template <class Ask, class Reply>
  void send(const std::string& address, const Ask& ask, std::function<void(absl::StatusOr<Reply>)> answered) {
    if (ended) return;
    if (sends_left && (*sends_left)-- == 0) {
      ended = true;
      if (on_end) on_end();
      return;
    }
    struct State {
      bool told = false;
    };
    auto state = std::make_shared<State>();
    auto once = [this, state, answered = std::move(answered)](absl::StatusOr<Reply> got) {
      if (ended || std::exchange(state->told, true)) return;
      answered(std::move(got));
    };
    field_.clock.later.after(Span::ms(350), [once] { once(absl::DeadlineExceededError("no answer")); });
    const int copies = field_.luck.chance(field_.weather.repeated) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (field_.luck.chance(field_.weather.lost)) continue;
      field_.clock.later.after(field_.way(), [this, address, ask, once] {
        Machine* const m = field_.find(address);
        if (m == nullptr || !m->up || cut_off) return;
        auto got = field_.ask(*m, ask);
        if (!got.ok() || field_.luck.chance(field_.weather.lost)) return;
        field_.clock.later.after(field_.way(), [once, got] { once(got); });
      });
    }
  }
  Field& field_;
};

struct Proposer {
  Proposer(Field& field, std::uint64_t number) : voters(field), reg(field.clock.later, voters, number) {}
  PlayedVoters voters;
  control::Register reg;
};

}  // namespace chutevane::played
