#include "lab/tier/troubles.hpp"

#include <algorithm>

namespace chutevane::lab::tier {
namespace {

constexpr Span restart_pause = Span::ms(400);   // before a process that has ended is started again
constexpr Span restart_spread = Span::ms(130);  // machines that went together come back one by one
constexpr Span order_again = Span::ms(50);      // where another order of the operator is under way

}  // namespace

Troubles::Troubles(net::TimerQueue& timers, Machines& machines, Ways& ways, EndpointSet& endpoints,
                   OperatorStandIn& operators)
    : timers_(timers), machines_(machines), ways_(ways), endpoints_(endpoints), operators_(operators) {}

void Troubles::after(Span span, std::function<void()> what) {
  ++open_;
  timers_.after(span, [this, what = std::move(what)] {
    what();
    --open_;
  });
}

void Troubles::end_fault_after(Span span, std::function<void()> what) {
  ++open_faults_;
  after(span, [this, what = std::move(what)] {
    what();
    --open_faults_;
    calm_since_ = timers_.now();
  });
}

void Troubles::play(const Story& story, TimePoint begin) {
  operators_.lose_answers(story.manners.operator_loses_answer);
  calm_since_ = begin;
  for (const Trouble& trouble : story.troubles) {
    ++open_;
    timers_.at(begin + trouble.at, [this, trouble] {
      ++played_[static_cast<std::size_t>(trouble.kind)];
      strike(trouble);
      --open_;
    });
  }
}

void Troubles::strike(const Trouble& trouble) {
  switch (trouble.kind) {
    case TroubleKind::pause: return pause(trouble);
    case TroubleKind::kill:
    case TroubleKind::wipe: return kill(trouble);
    case TroubleKind::kill_all: return kill_all(trouble);
    case TroubleKind::terminate: return terminate(trouble);
    case TroubleKind::reload: return machines_.reload(machine_of(trouble));
    case TroubleKind::cut: return cut(trouble);
    case TroubleKind::halves: return halves(trouble);
    case TroubleKind::slow_way: return slow_way(trouble);
    case TroubleKind::lose_answers: return lose_answers(trouble);
    case TroubleKind::change: return change(false);
    case TroubleKind::race: return change(true);
    case TroubleKind::drain_endpoint:
    case TroubleKind::replace_endpoint:
    case TroubleKind::endpoint_dies: return change_endpoint(trouble);
  }
}

void Troubles::pause(const Trouble& trouble) {
  Machines::Machine& m = machine_of(trouble);
  machines_.pause(m);
  end_fault_after(trouble.lasts, [this, &m] { machines_.resume(m); });
}

void Troubles::kill(const Trouble& trouble) {
  Machines::Machine& m = machine_of(trouble);
  machines_.kill(m);
  if (trouble.kind == TroubleKind::wipe) machines_.lose_disk(m);
  end_fault_after(trouble.lasts, [this, &m] { machines_.start(m, Machines::Start::again); });
}

void Troubles::kill_all(const Trouble& trouble) {
  Span back = trouble.lasts;
  for (const auto& m : machines_.all()) {
    if (m->plane == MachinePlane::edge) continue;
    machines_.kill(*m);
    end_fault_after(back, [this, &m = *m] { machines_.start(m, Machines::Start::again); });
    back = back + restart_spread;
  }
}

void Troubles::terminate(const Trouble& trouble) {
  Machines::Machine& m = machine_of(trouble);
  if (!m.process.running()) return;
  ++open_;
  ++open_faults_;
  machines_.terminate(m, [this, &m](Span) {
    end_fault_after(restart_pause, [this, &m] { machines_.start(m, Machines::Start::again); });
    --open_;
    --open_faults_;
  });
}

void Troubles::ill_ways(const Trouble& trouble, Ways::IllsOf ills) {
  if (trouble.resets)
    ways_.reset([ills](const std::string& opener, const std::string& listener) {
      return ills(opener, listener).blocked || ills(listener, opener).blocked;
    });
  const std::uint64_t number = ways_.begin(std::move(ills));
  end_fault_after(trouble.lasts, [this, number] { ways_.end(number); });
}

void Troubles::cut(const Trouble& trouble) {
  const std::string node = machine_of(trouble).node;
  const bool to_it = trouble.direction != CutDirection::from_it,
             from_it = trouble.direction != CutDirection::to_it;
  ill_ways(trouble, [=](const std::string& from, const std::string& to) {
    return Ways::Ills{(to_it && to == node) || (from_it && from == node), {}};
  });
}

// Every second machine of each plane on one side; edges, clients and operators reach both.
void Troubles::halves(const Trouble& trouble) {
  std::vector<std::string> one, other;
  for (const MachinePlane plane : {MachinePlane::control, MachinePlane::storage}) {
    const auto machines = machines_.of(plane);
    for (std::size_t i = 0; i < machines.size(); ++i) (i % 2 == 0 ? one : other).push_back(machines[i]->node);
  }
  const auto in = [](const std::vector<std::string>& half, const std::string& node) {
    return std::find(half.begin(), half.end(), node) != half.end();
  };
  ill_ways(trouble, [=](const std::string& from, const std::string& to) {
    return Ways::Ills{(in(one, from) && in(other, to)) || (in(other, from) && in(one, to)), {}};
  });
}

void Troubles::slow_way(const Trouble& trouble) {
  const std::string node = machine_of(trouble).node;
  ill_ways(trouble, [node, delay = trouble.delay](const std::string& from, const std::string& to) {
    return Ways::Ills{false, from == node || to == node ? delay : Span()};
  });
}

// What it is asked arrives; what it answers meanwhile is lost with the connections.
void Troubles::lose_answers(const Trouble& trouble) {
  const std::string node = machine_of(trouble).node;
  const std::uint64_t number = ways_.begin([node](const std::string& from, const std::string&) {
    return Ways::Ills{from == node, {}};
  });
  end_fault_after(trouble.lasts, [this, node, number] {
    ways_.reset([node](const std::string&, const std::string& listener) { return listener == node; });
    ways_.end(number);
  });
}

void Troubles::change_endpoint(const Trouble& trouble) {
  EndpointStandIn* const old = endpoints_.one_that_may_go(static_cast<std::size_t>(trouble.at.as_us()));
  if (old == nullptr) return;
  if (trouble.kind == TroubleKind::drain_endpoint) {
    endpoints_.drain(*old);
  } else if (trouble.kind == TroubleKind::replace_endpoint) {
    endpoints_.replace(*old);
  } else {
    endpoints_.lose(*old);
  }
}

void Troubles::change(bool race) {
  if (operators_.busy()) return after(order_again, [this, race] { change(race); });
  const std::int64_t version = operators_.acknowledged() + 1;
  const auto first_to = static_cast<std::size_t>(version);
  ++open_;
  if (race) {
    operators_.race(version, first_to, [this] { --open_; });
  } else {
    operators_.change(version, first_to, [this](Span) { --open_; });
  }
}

}  // namespace chutevane::lab::tier
