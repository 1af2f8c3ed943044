#include "lab/tier/fault_player.hpp"

#include <algorithm>

#include "lab/tier/load.hpp"

namespace chutevane::lab::tier {
namespace {

constexpr Span restart_pause = Span::ms(400);   // before a process that has ended is started again
constexpr Span restart_spread = Span::ms(130);  // machines that went together come back one by one
constexpr std::size_t crowd_connections = 80, crowd_block = 64U << 10U;  // bytes
constexpr std::size_t crowd_body =
    2U << 20U;  // bytes; all together they are more than a process may hold for them
constexpr Span order_again = Span::ms(50);  // where another order of the operator is under way

}  // namespace

FaultPlayer::FaultPlayer(net::Scheduler& scheduler, net::TimerQueue& timers, Machines& machines,
                         LinkRelays& ways, EndpointSet& endpoints, OperatorStandIn& operators)
    : scheduler_(scheduler),
      timers_(timers),
      machines_(machines),
      relays_(ways),
      endpoints_(endpoints),
      operators_(operators) {}

void FaultPlayer::after(Span span, std::function<void()> what) {
  ++open_;
  timers_.after(span, [this, what = std::move(what)] {
    what();
    --open_;
  });
}

void FaultPlayer::end_fault_after(Span span, std::function<void()> what) {
  ++open_faults_;
  after(span, [this, what = std::move(what)] {
    what();
    --open_faults_;
    calm_since_ = timers_.now();
  });
}

void FaultPlayer::play(const FaultPlan& story, TimePoint begin) {
  operators_.lose_answers(story.misbehavior.operator_loses_answer);
  calm_since_ = begin;
  for (const Fault& trouble : story.troubles) {
    ++open_;
    timers_.at(begin + trouble.at, [this, trouble] {
      ++played_[static_cast<std::size_t>(trouble.kind)];
      strike(trouble);
      --open_;
    });
  }
}

void FaultPlayer::strike(const Fault& trouble) {
  switch (trouble.kind) {
    case FaultKind::pause: return pause(trouble);
    case FaultKind::kill:
    case FaultKind::wipe: return kill(trouble);
    case FaultKind::kill_all:
      return kill_planes(trouble.lasts, {MachinePlane::control, MachinePlane::storage});
    case FaultKind::kill_controllers: return kill_planes(trouble.lasts, {MachinePlane::control});
    case FaultKind::terminate: return terminate(trouble);
    case FaultKind::reload: return machines_.reload(machine_of(trouble));
    case FaultKind::cut: return cut(trouble);
    case FaultKind::halves: return halves(trouble);
    case FaultKind::slow_way: return slow_way(trouble);
    case FaultKind::lose_answers: return lose_answers(trouble);
    case FaultKind::change: return change(false);
    case FaultKind::race: return change(true);
    case FaultKind::drain_endpoint:
    case FaultKind::replace_endpoint:
    case FaultKind::endpoint_dies: return change_endpoint(trouble);
    case FaultKind::crowd: return crowd(trouble);
    case FaultKind::interrupt_drain: return interrupt_drain(trouble);
  }
}

void FaultPlayer::pause(const Fault& trouble) {
  Machines::Machine& m = machine_of(trouble);
  machines_.pause(m);
  end_fault_after(trouble.lasts, [this, &m] { machines_.resume(m); });
}

void FaultPlayer::kill(const Fault& trouble) {
  Machines::Machine& m = machine_of(trouble);
  machines_.kill(m);
  if (trouble.kind == FaultKind::wipe) machines_.lose_disk(m);
  end_fault_after(trouble.lasts, [this, &m] { machines_.start(m, Machines::Start::again); });
}

// All of these at once; the first is started after `back`.
void FaultPlayer::kill_planes(Span back, std::initializer_list<MachinePlane> planes) {
  for (const auto& m : machines_.all()) {
    if (std::find(planes.begin(), planes.end(), m->plane) == planes.end()) continue;
    machines_.kill(*m);
    end_fault_after(back, [this, &m = *m] { machines_.start(m, Machines::Start::again); });
    back = back + restart_spread;
  }
}

void FaultPlayer::terminate(const Fault& trouble) {
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

// Whether it is killed or has ended by itself before: terminate() starts it again.
void FaultPlayer::interrupt_drain(const Fault& trouble) {
  terminate(trouble);
  end_fault_after(trouble.delay, [this, trouble] {
    machines_.kill(machine_of(trouble));
    kill_planes(trouble.lasts - trouble.delay, {MachinePlane::control});
  });
}

void FaultPlayer::begin_link_fault(const Fault& trouble, LinkRelays::LinkFaultOf fault_of) {
  if (trouble.resets)
    relays_.reset([fault_of](const std::string& opener, const std::string& listener) {
      return fault_of(opener, listener).blocked || fault_of(listener, opener).blocked;
    });
  const std::uint64_t number = relays_.begin(std::move(fault_of));
  end_fault_after(trouble.lasts, [this, number] { relays_.end(number); });
}

void FaultPlayer::cut(const Fault& trouble) {
  const std::string node = machine_of(trouble).node;
  const bool to_it = trouble.direction != CutDirection::from_it,
             from_it = trouble.direction != CutDirection::to_it;
  begin_link_fault(trouble, [=](const std::string& from, const std::string& to) {
    return LinkRelays::LinkFault{(to_it && to == node) || (from_it && from == node), {}};
  });
}

// Every second machine of each plane on one side; edges, clients and operators reach both.
void FaultPlayer::halves(const Fault& trouble) {
  std::vector<std::string> one, other;
  for (const MachinePlane plane : {MachinePlane::control, MachinePlane::storage}) {
    const auto machines = machines_.of(plane);
    for (std::size_t i = 0; i < machines.size(); ++i) (i % 2 == 0 ? one : other).push_back(machines[i]->node);
  }
  const auto in = [](const std::vector<std::string>& half, const std::string& node) {
    return std::find(half.begin(), half.end(), node) != half.end();
  };
  begin_link_fault(trouble, [=](const std::string& from, const std::string& to) {
    return LinkRelays::LinkFault{(in(one, from) && in(other, to)) || (in(other, from) && in(one, to)), {}};
  });
}

void FaultPlayer::slow_way(const Fault& trouble) {
  const std::string node = machine_of(trouble).node;
  begin_link_fault(trouble, [node, delay = trouble.delay](const std::string& from, const std::string& to) {
    return LinkRelays::LinkFault{false, from == node || to == node ? delay : Span()};
  });
}

// What it is asked arrives; what it answers meanwhile is lost with the connections.
void FaultPlayer::lose_answers(const Fault& trouble) {
  const std::string node = machine_of(trouble).node;
  const std::uint64_t number = relays_.begin([node](const std::string& from, const std::string&) {
    return LinkRelays::LinkFault{from == node, {}};
  });
  end_fault_after(trouble.lasts, [this, node, number] {
    relays_.reset([node](const std::string&, const std::string& listener) { return listener == node; });
    relays_.end(number);
  });
}

void FaultPlayer::change_endpoint(const Fault& trouble) {
  EndpointStandIn* const old = endpoints_.one_that_may_go(static_cast<std::size_t>(trouble.at.as_us()));
  if (old == nullptr) return;
  if (trouble.kind == FaultKind::drain_endpoint) {
    endpoints_.drain(*old);
  } else if (trouble.kind == FaultKind::replace_endpoint) {
    endpoints_.replace(*old);
  } else {
    endpoints_.lose(*old);
  }
}

// Bodies of legal size, all at once, that stop a byte short of their end. The machine is not excused for
// them.
void FaultPlayer::crowd(const Fault& trouble) {
  const Machines::Machine& m = machine_of(trouble);
  const bool is_edge = trouble.plane == MachinePlane::edge;
  const sockaddr_in to = is_edge ? Machines::front_of(m) : Machines::control_of(m);
  const char* const target = is_edge ? "/turns/crowd" : "/v1/Configuration.Replace";
  crowds_.push_back(std::make_unique<Crowd>(scheduler_));
  Crowd& crowd = *crowds_.back();
  crowd.connect(
      to, crowd_connections,
      {std::string("POST ") + target + " HTTP/1.1\r\nHost: " + host +
           "\r\nContent-Length: " + std::to_string(crowd_body) + "\r\n\r\n",
       std::string(crowd_block, 'x'), crowd_body / crowd_block - 1, std::string(crowd_block - 1, 'x')});
  after(trouble.lasts, [&crowd] { crowd.leave(); });
}

void FaultPlayer::change(bool race) {
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
