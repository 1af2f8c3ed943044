// Tests BatchProposer on in-memory acceptors whose messages are lost, delayed and duplicated.
#include "control/coordination/batch_proposer.hpp"

#include <memory>
#include <string>
#include <vector>

#include "client_view.hpp"
#include "simulated_register.hpp"
#include "unit.hpp"

using chutevane::Span;
using chutevane::TimePoint;
using chutevane::common::RegisterValue;
using chutevane::control::Register;
using chutevane::simulated::AcceptorCluster;
using chutevane::simulated::Proposer;
using chutevane::simulated::RandomSource;
using namespace chutevane::control::coordination;

namespace {

constexpr Span call_time = Span::ms(900);

// One controller's access to the register.
struct Controller {
  Controller(AcceptorCluster& acceptors, std::uint64_t number)
      : cluster(acceptors),
        proposer(acceptors, number),
        batches(acceptors.clock.later, proposer.reg, times) {}
  void submit(const Call& call, const BatchProposer::AnswerCallback& callback) {
    batches.submit(call, cluster.clock.system.now() + call_time, callback);
  }
  AcceptorCluster& cluster;
  Proposer proposer;
  LocalTimes times{Span::ms(60'000)};
  BatchProposer batches;
};

Call call_of(Operation operation, const std::string& name) {
  Call out;
  out.operation = operation;
  out.name = name;
  out.applies_to = any_revision;
  return out;
}

const Call next_number = call_of(Operation::next_number, "n");

}  // namespace

TEST_GROUP(CoordinationBatches) {
  AcceptorCluster cluster{3, 7};
  Controller controller{cluster, 1};
  std::vector<Answer> answers;
  BatchProposer::AnswerCallback collect = [this](const Answer& answer) { answers.push_back(answer); };
  void begin() { controller.proposer.reg.observe_epoch(cluster.first_epoch_of(3)); }
  void play() { cluster.clock.play(Span::ms(1000)); }
  void check_only(Outcome outcome, std::int64_t number) {
    CHECK_EQUAL(1U, answers.size());
    STRCMP_EQUAL(std::string(name_of(outcome)).c_str(), std::string(name_of(answers[0].outcome)).c_str());
    CHECK_EQUAL(number, answers[0].number);
    answers.clear();
  }
};

TEST(CoordinationBatches, CallsDuringABatchShareTheNextOne) {
  begin();
  for (int i = 0; i < 50; ++i) controller.submit(next_number, collect);
  play();
  CHECK_EQUAL(50U, answers.size());
  for (std::size_t i = 0; i < answers.size(); ++i)
    CHECK_EQUAL(static_cast<std::int64_t>(i) + 1, answers[i].number);
  CHECK_EQUAL(2U, controller.batches.batch_count());
}

TEST(CoordinationBatches, BatchThatChangesNothingWritesNothing) {
  begin();
  controller.submit(next_number, collect);
  play();
  answers.clear();
  std::vector<std::size_t> before;
  for (const auto& machine : cluster.all) before.push_back(machine.disk->step_count());
  controller.submit(call_of(Operation::get_key, "g.a"), collect);
  play();
  check_only(Outcome::not_found, 0);
  for (std::size_t i = 0; i < before.size(); ++i) CHECK_EQUAL(before[i], cluster.all[i].disk->step_count());
}

TEST(CoordinationBatches, UnavailableWithoutAcceptors) {
  controller.submit(next_number, collect);
  check_only(Outcome::unavailable, 0);
}

TEST(CoordinationBatches, UndeterminedWithoutAMajority) {
  begin();
  cluster.all[0].up = cluster.all[1].up = false;
  controller.submit(next_number, collect);
  play();
  check_only(Outcome::undetermined, 0);
}

// The deadline of a call passes while it waits for the previous batch: it is never proposed.
TEST(CoordinationBatches, ExpiredCallIsNotProposed) {
  begin();
  cluster.all[0].up = cluster.all[1].up = false;
  controller.submit(next_number, collect);
  const Span short_time = Span::ms(100);
  controller.batches.submit(next_number, cluster.clock.system.now() + short_time, collect);
  cluster.clock.play(Span::ms(650));
  cluster.all[0].up = cluster.all[1].up = true;
  play();
  CHECK_EQUAL(2U, answers.size());
  CHECK_TRUE(answers[1].outcome == Outcome::unavailable);
  answers.clear();
  controller.submit(next_number, collect);
  play();
  CHECK_EQUAL(1U, answers.size());
  CHECK_TRUE(answers[0].number <= 2);
}

TEST(CoordinationBatches, FullQueueRefusesTheNextCall) {
  begin();
  constexpr std::size_t queue_and_batch = 1024 + 1;
  for (std::size_t i = 0; i < queue_and_batch; ++i) controller.submit(next_number, collect);
  CHECK_EQUAL(0U, answers.size());
  controller.submit(next_number, collect);
  check_only(Outcome::limit_reached, 0);
  cluster.clock.play(Span::ms(2000));
  CHECK_EQUAL(queue_and_batch, answers.size());
}

// A state that cannot be decoded, e.g. of a later version, is not overwritten.
TEST(CoordinationBatches, UndecodableStateIsNotOverwritten) {
  begin();
  controller.proposer.reg.change(
      [](const RegisterValue& current) -> std::optional<RegisterValue> {
        RegisterValue out = current;
        out.config.data = "\x07later";
        return out;
      },
      Span::ms(700), [](const absl::StatusOr<RegisterValue>&) {});
  play();
  controller.submit(next_number, collect);
  play();
  check_only(Outcome::unavailable, 0);
  STRCMP_EQUAL("\x07later", controller.proposer.reg.known_value()->config.data.c_str());
}

namespace {

// Clients of three controllers. A call that is not answered within 200 ms is also sent to another controller,
// with the same id.
class Clients {
 public:
  explicit Clients(std::uint64_t seed) : cluster_(3, seed), random_(seed + 1) {
    cluster_.network = {.loss_rate = 0.05, .duplicate_rate = 0.1, .slow_rate = 0.05};
    const RegisterValue first = cluster_.first_epoch_of(3);
    for (std::uint64_t i = 0; i < 3; ++i) {
      controllers_.push_back(std::make_unique<Controller>(cluster_, 100 + i));
      Controller& controller = *controllers_.back();
      controller.proposer.reg.observe_epoch(first);
      controller.proposer.reg.on_chosen([this, &controller](const RegisterValue& value) {
        if (const auto state = state_of(value)) controller.times.observe(*state, now());
      });
    }
  }
  void play(int calls) {
    for (int i = 0; i < calls; ++i)
      cluster_.clock.later.after(Span::ms(25.0 * i), [this] { send(draw_call()); });
    cluster_.clock.play(Span::ms(25.0 * calls + 3000));
    view.check(cluster_.broken.empty(), cluster_.broken);
    view.check(answered_ == submitted_, "a call was not answered exactly once");
  }
  ClientView view;
  std::size_t done = 0;

 private:
  struct SentCall {
    Call call;
    TimePoint sent_at;
    bool is_answered = false;
  };
  TimePoint now() const { return cluster_.clock.system.now(); }
  Call draw_call() {
    Call out = call_of(Operation::next_number, "n");
    out.id = random_.next();
    const double kind = random_.unit();
    if (kind < 0.25) return out;
    if (kind < 0.55) {
      out.operation = Operation::put_key;
      out.name = numbered("g.", static_cast<long long>(random_.below(3)));
      out.value = numbered("v", ++value_count_);
      return out;
    }
    out.name = numbered("l", static_cast<long long>(random_.below(2)));
    out.holder = numbered("a", static_cast<long long>(random_.below(4)));
    out.hold = Span::ms(500);
    const std::optional<std::int64_t> fence = view.held_fence(out.name, out.holder, now());
    out.operation = fence ? Operation::renew_lock : Operation::acquire_lock;
    out.fence = fence.value_or(0);
    return out;
  }
  void send(const Call& call) {
    const auto sent = std::make_shared<SentCall>(SentCall{call, now()});
    submit(sent);
    cluster_.clock.later.after(Span::ms(200), [this, sent] {
      if (!sent->is_answered) submit(sent);
    });
  }
  void submit(const std::shared_ptr<SentCall>& sent) {
    ++submitted_;
    controllers_[random_.below(controllers_.size())]->submit(sent->call, [this, sent](const Answer& answer) {
      ++answered_;
      deliver(*sent, answer);
    });
  }
  void deliver(SentCall& sent, const Answer& answer) {
    if (answer.outcome == Outcome::undetermined || sent.is_answered) return;
    sent.is_answered = true;
    if (answer.outcome != Outcome::done || now() - sent.sent_at > call_time) return;
    ++done;
    switch (sent.call.operation) {
      case Operation::acquire_lock: return view.acquired(sent.call, answer.number, sent.sent_at, now());
      case Operation::renew_lock: return view.renewed(sent.call, sent.sent_at, now());
      case Operation::next_number:
        return view.number_issued(sent.call.name, answer.number, sent.sent_at, now());
      default: return view.put_done(sent.call, answer.number);
    }
  }

  AcceptorCluster cluster_;
  RandomSource random_;
  std::vector<std::unique_ptr<Controller>> controllers_;
  std::size_t submitted_ = 0, answered_ = 0;
  long long value_count_ = 0;
};

}  // namespace

TEST_GROUP(CoordinationBatchProperty){};

TEST(CoordinationBatchProperty, ClientsOfThreeControllersSeeOneOrder) {
  std::size_t done = 0;
  constexpr std::uint64_t seeds = 60;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Clients clients(seed);
    clients.play(200);
    CHECK_WHERE(clients.view.violation.empty(),
                numbered("seed ", static_cast<long long>(seed)) + ": " + clients.view.violation);
    done += clients.done;
  }
  CHECK_TRUE(done > seeds * 80);
}
