/// \file
/// A simulated process's life cycle, its turns and its table of descriptors. The socket calls are in
/// process_sockets.cpp.
#include "network_simulation/process.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "network_simulation/simulator.hpp"

namespace chutevane::network_simulation {

Process::Process(Simulator& simulator, std::size_t number, std::string name, std::uint32_t ip)
    : simulator_(simulator), number_(number), name_(std::move(name)), ip_(ip) {}

// --- Life cycle

bool Process::is_paused() const { return paused_until_ > simulator_.now(); }

void Process::run(net::Scheduler& scheduler, std::function<bool()> turn, std::size_t max_descriptors) {
  scheduler_ = &scheduler;
  turn_ = std::move(turn);
  running_ = true;
  max_descriptors_ = max_descriptors;
  paused_until_ = TimePoint();
  schedule(simulator_.now());
}

void Process::pause(Span duration) {
  if (!running_) return;
  simulator_.trace_.record(simulator_.now(), "pause process=%s ms=%.1f", name_.c_str(), duration.as_ms());
  paused_until_ = std::max(paused_until_, simulator_.now() + duration);
  turn_at_ = TimePoint::never();
  ++turn_ticket_;
  schedule(paused_until_);
}

void Process::kill() {
  if (!running_) return;
  simulator_.trace_.record(simulator_.now(), "end process=%s", name_.c_str());
  for (std::size_t fd = 0; fd < descriptors_.size(); ++fd) close(static_cast<int>(fd), false);
  running_ = false;
  scheduler_ = nullptr;
  turn_at_ = TimePoint::never();
  ++turn_ticket_;
  descriptors_.clear();
  ready_descriptors_.clear();
  pending_signals_.clear();
  open_descriptors_ = 0;
}

void Process::lose_power() {
  if (!running_) return;
  simulator_.trace_.record(simulator_.now(), "vanish process=%s", name_.c_str());
  for (Descriptor& descriptor : descriptors_) {
    if (descriptor.kind == DescriptorKind::connection) {
      if (Connection* connection = simulator_.find_connection(descriptor.connection))
        simulator_.drop_end(*connection, descriptor.end);
    }
    for (const std::uint64_t id : descriptor.accept_queue) {
      if (Connection* connection = simulator_.find_connection(id)) simulator_.drop_end(*connection, 1);
    }
    descriptor = Descriptor{};
  }
  kill();
}

// --- Turns

void Process::schedule(TimePoint at) {
  if (!running_) return;
  at = std::max({at, earliest_turn_, paused_until_, simulator_.now()});
  if (at >= turn_at_) return;
  turn_at_ = at;
  simulator_.schedule(at, Simulator::Event::Kind::turn, static_cast<std::uint32_t>(number_), ++turn_ticket_);
}

void Process::schedule_if_ready() {
  if (running_ && scheduler_ != nullptr &&
      (!ready_descriptors_.empty() || scheduler_->next_due() <= simulator_.now()))
    schedule(simulator_.now());
}

void Process::run_turn() {
  turn_at_ = TimePoint::never();
  if (!running_) return;
  const NetworkConditions& conditions = simulator_.conditions_;
  Span delay =
      Span::us(1 + static_cast<std::int64_t>(simulator_.draw_uniform() *
                                             static_cast<double>(conditions.max_turn_delay.as_us())));
  if (conditions.late_turn_probability > 0.0 && simulator_.draw_uniform() < conditions.late_turn_probability)
    delay = delay + conditions.max_late_turn_delay * simulator_.draw_uniform();
  earliest_turn_ = simulator_.now() + delay;
  if (!turn_()) {
    simulator_.trace_.record(simulator_.now(), "exit process=%s", name_.c_str());
    kill();
    return;
  }
  if (!running_) return;
  if (!ready_descriptors_.empty()) return schedule(simulator_.now());
  const TimePoint next = scheduler_->next_due();
  if (next == TimePoint::never()) return;
  // A real wait has a time-out in whole milliseconds, rounded up.
  const Span left = std::max(Span(), next - simulator_.now());
  schedule(simulator_.now() + Span::us((left.as_us() + 999) / 1000 * 1000));
}

// --- Descriptors

int Process::allocate_descriptor(DescriptorKind kind) {
  if (!running_) return -EBADF;
  if (open_descriptors_ >= max_descriptors_) return -EMFILE;
  std::size_t fd = 0;
  while (fd < descriptors_.size() && descriptors_[fd].kind != DescriptorKind::none) ++fd;
  if (fd == descriptors_.size()) descriptors_.emplace_back();
  descriptors_[fd] = Descriptor{};
  descriptors_[fd].kind = kind;
  ++open_descriptors_;
  return static_cast<int>(fd);
}

const Process::Descriptor* Process::find_descriptor(int fd, DescriptorKind kind) const {
  const auto index = static_cast<std::size_t>(fd);
  const bool matches = fd >= 0 && index < descriptors_.size() && descriptors_[index].kind == kind;
  return matches ? &descriptors_[index] : nullptr;
}

Process::Descriptor* Process::find_descriptor(int fd, DescriptorKind kind) {
  return const_cast<Descriptor*>(std::as_const(*this).find_descriptor(fd, kind));
}

Process::Descriptor* Process::find_listener(std::uint16_t port, int& fd) {
  for (std::size_t i = 0; i < descriptors_.size(); ++i) {
    if (descriptors_[i].kind != DescriptorKind::listener || descriptors_[i].port != port) continue;
    fd = static_cast<int>(i);
    return &descriptors_[i];
  }
  return nullptr;
}

Process::ConnectionView Process::connection_of(int fd) const {
  const Descriptor* const descriptor = find_descriptor(fd, DescriptorKind::connection);
  if (descriptor == nullptr) return {};
  return {simulator_.find_connection(descriptor->connection), descriptor->end};
}

std::uint32_t Process::readiness(const Descriptor& descriptor) const {
  constexpr std::uint32_t everything = readable | writable | hung_up;
  if (descriptor.kind == DescriptorKind::listener) return descriptor.accept_queue.empty() ? 0 : readable;
  if (descriptor.kind == DescriptorKind::signals) return pending_signals_.empty() ? 0 : readable;
  const Connection* const connection = simulator_.find_connection(descriptor.connection);
  if (connection == nullptr) return everything;
  const ConnectionEnd& end = connection->ends[descriptor.end];
  if (end.state == ConnectionEnd::State::connecting) return 0;
  if (end.state == ConnectionEnd::State::closed) return everything;
  std::uint32_t out = 0;
  if (end.is_readable()) out |= readable;
  if (end.fin_received) out |= hung_up;
  if (Simulator::has_send_space(*connection, descriptor.end)) out |= writable;
  return out;
}

void Process::notify(int fd) {
  Descriptor& descriptor = descriptors_[static_cast<std::size_t>(fd)];
  if (!descriptor.watched || descriptor.queued) return;
  descriptor.queued = true;
  ready_descriptors_.push_back(fd);
  schedule(simulator_.now() + Span::us(1));
}

TimePoint Process::now() const { return simulator_.now(); }

std::size_t Process::wait(std::span<Event> into, Span) {
  std::size_t events = 0, taken = 0;
  for (; taken < ready_descriptors_.size() && events < into.size(); ++taken) {
    Descriptor& descriptor = descriptors_[static_cast<std::size_t>(ready_descriptors_[taken])];
    if (!descriptor.queued) continue;  // closed in the meantime
    descriptor.queued = false;
    const std::uint32_t bits = readiness(descriptor);
    if (bits != 0) into[events++] = {descriptor.tag, bits};
  }
  ready_descriptors_.erase(ready_descriptors_.begin(), ready_descriptors_.begin() + static_cast<long>(taken));
  return events;
}

bool Process::watch(int fd, std::uint64_t tag) {
  const auto index = static_cast<std::size_t>(fd);
  if (!running_ || index >= descriptors_.size() || descriptors_[index].kind == DescriptorKind::none)
    return false;
  descriptors_[index].watched = true;
  descriptors_[index].tag = tag;
  if (readiness(descriptors_[index]) != 0) notify(fd);
  return true;
}

void Process::unwatch(int fd) {
  const auto index = static_cast<std::size_t>(fd);
  if (index >= descriptors_.size()) return;
  descriptors_[index].watched = descriptors_[index].queued = false;
}

std::size_t Process::descriptors(std::size_t) { return max_descriptors_; }

// --- Signals

void Process::send_signal(int number) {
  if (!running_) return;
  simulator_.trace_.record(simulator_.now(), "signal process=%s number=%d", name_.c_str(), number);
  pending_signals_.push_back(number);
  for (std::size_t fd = 0; fd < descriptors_.size(); ++fd) {
    if (descriptors_[fd].kind == DescriptorKind::signals) notify(static_cast<int>(fd));
  }
}

int Process::open_signals(std::initializer_list<int>) { return allocate_descriptor(DescriptorKind::signals); }

int Process::next_signal(int fd) {
  if (find_descriptor(fd, DescriptorKind::signals) == nullptr || pending_signals_.empty()) return 0;
  const int number = pending_signals_.front();
  pending_signals_.pop_front();
  return number;
}

}  // namespace chutevane::network_simulation
