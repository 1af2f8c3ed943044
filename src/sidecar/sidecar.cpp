#include "sidecar/sidecar.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <system_error>

#include "base/log.hpp"
#include "net/signals.hpp"

namespace chutevane::sidecar {
namespace {

constexpr net::Waker::Bits due = net::Waker::own;
constexpr Span crossing = Span::ms(600);  // new connections still come for so long
constexpr Span drain_most =
    Span::ms(3000);  // the platform kills after the longest client timeout, at most this,
constexpr Span drain_slack = Span::ms(550);  // and 0.7 s: all is answered by then, with time to be taken
// Callers go on using the connections that they have. Those are served until this long before the end: most
// answers take less, and the process that follows comes no sooner for an early end.
constexpr Span drain_last = Span::ms(600);
constexpr Span drain_look = Span::ms(10);  // between looks at what is left

// Asks for so many descriptors, and tells how many there are.
std::size_t descriptors_for(std::size_t wanted) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return wanted;
  limit.rlim_cur = std::max(limit.rlim_cur, std::min<rlim_t>(limit.rlim_max, wanted));
  ::setrlimit(RLIMIT_NOFILE, &limit);
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<std::size_t>(std::min<rlim_t>(limit.rlim_cur, 1U << 30U));
}

}  // namespace

Sidecar::Sidecar(net::Scheduler& scheduler, const config::Config& config)
    : scheduler_(scheduler),
      listen_at_{*net::parse_address(config.listen)},
      longest_timeout_(config.longest_timeout),
      front_(config.settings),
      waker_(scheduler),
      timer_(scheduler, waker_, due) {
  pools_.push_back(std::make_unique<Pool>(scheduler, config, front_, counters_));
  single_ = std::make_unique<SingleService>(front_, pools_.front()->driver);
  callers_.push_back(std::make_unique<Callers>(scheduler, config, front_, *single_, counters_, open_ids_));
}

Sidecar::Sidecar(net::Scheduler& scheduler, const opfile::Model& model)
    : scheduler_(scheduler),
      longest_timeout_(pool_config(model, 0).longest_timeout),
      front_(opfile::settings_of(model, model.pools.front()), header_names(model)),
      waker_(scheduler),
      timer_(scheduler, waker_, due) {
  for (std::size_t i = 0; i < model.pools.size(); ++i)
    pools_.push_back(std::make_unique<Pool>(scheduler, pool_config(model, i), front_, counters_, &room_));
  services_ = std::make_unique<Services>(scheduler, model, front_, pools_, counters_);
  for (const std::string& address : model.listen) {
    listen_at_.push_back(*net::parse_address(address));
    config::Config part = pool_config(model, 0);
    part.sockets /= model.listen.size();  // listeners share the callers' descriptors evenly
    callers_.push_back(std::make_unique<Callers>(scheduler, part, front_, *services_, counters_, open_ids_));
  }
}

void Sidecar::listen() {
  for (std::size_t i = 0; i < callers_.size(); ++i) callers_[i]->listen(listen_at_[i]);
}

std::size_t Sidecar::callers() const {
  std::size_t out = 0;
  for (const auto& one : callers_) out += one->size();
  return out;
}

Span Sidecar::drain_time() const { return std::min(longest_timeout_, drain_most) + drain_slack; }

void Sidecar::reconfigure(const config::Config& config) {
  pools_.front()->driver.move_discovery(config.discovery);
  callers_.front()->set_bounds(config.request_most, config.idle_most);
}

void Sidecar::drain(Span within) {
  if (draining_) return;
  draining_ = true;
  ender_ = end(within);
  ender_.start();
}

net::Task Sidecar::end(Span within) {
  const TimePoint last = scheduler_.now() + std::max(within, crossing);
  for (auto& one : callers_) one->begin_drain();
  timer_.set(scheduler_.now() + crossing);
  co_await waker_.wait(due);
  for (auto& one : callers_) one->stop_listening();
  while (callers() > 0 && scheduler_.now() < last - drain_last) {
    timer_.set(scheduler_.now() + drain_look);
    co_await waker_.wait(due);
  }
  for (auto& one : callers_) one->close_all();
  while (callers() > 0 && scheduler_.now() < last) {
    timer_.set(scheduler_.now() + drain_look);
    co_await waker_.wait(due);
  }
  intake().break_off_all();
  timer_.set(scheduler_.now() + drain_look);  // for the answers to be written
  co_await waker_.wait(due);
  finished_ = true;
}

bool reload(Sidecar& sidecar, const Reading& reading, const config::Config& in_force) {
  try {
    const config::Config again = reading();
    sidecar.reconfigure(again);
    const std::string waits = config::waits_for_start(in_force, again);
    log_line("configuration read again%s%s",
             waits.empty() ? "" : "; changed but kept until the next start: ", waits.c_str());
    return true;
  } catch (const std::exception& e) {
    log_line("configuration not taken, the old one stays: %s", e.what());
    return false;
  }
}

namespace {

// Serves, and does what signals ask for: `again` on SIGHUP.
template <class Again>
int serve_until_drained(Sidecar& sidecar, net::Scheduler& scheduler, net::Signals& signals,
                        const std::string& name, const std::string& where, Again again) {
  try {
    sidecar.listen();
  } catch (const std::system_error& e) {
    log_line("%s: %s", where.c_str(), e.what());
    return 1;
  }
  log_line("%s serves at %s", name.c_str(), where.c_str());
  while (!sidecar.finished()) {
    scheduler.turn();
    while (const int number = signals.next()) {
      if (number == SIGUSR1) {
        log_line("%s", sidecar.counters().as_json().c_str());
      } else if (number == SIGHUP) {
        again();
      } else {
        log_line("%s drains", name.c_str());
        sidecar.drain(sidecar.drain_time());
      }
    }
  }
  log_line("%s", sidecar.counters().as_json().c_str());
  return 0;
}

}  // namespace

int serve(const Reading& reading) {
  config::Config config = reading();
  const config::Config in_force = config;
  config.sockets = std::min(config.sockets, descriptors_for(config.sockets));
  net::Scheduler scheduler;
  net::Waker waker(scheduler);
  net::Signals signals(scheduler, waker, {SIGTERM, SIGINT, SIGUSR1, SIGHUP});
  std::signal(SIGPIPE, SIG_IGN);
  Sidecar sidecar(scheduler, config);
  return serve_until_drained(sidecar, scheduler, signals, config.name, config.listen,
                             [&] { reload(sidecar, reading, in_force); });
}

int serve_file(const opfile::Model& given) {
  opfile::Model model = given;
  model.sockets = std::min(model.sockets, descriptors_for(model.sockets));
  net::Scheduler scheduler;
  net::Waker waker(scheduler);
  net::Signals signals(scheduler, waker, {SIGTERM, SIGINT, SIGUSR1, SIGHUP});
  std::signal(SIGPIPE, SIG_IGN);
  Sidecar sidecar(scheduler, model);
  std::string where;
  for (const std::string& one : model.listen) where += (where.empty() ? "" : ", ") + one;
  return serve_until_drained(sidecar, scheduler, signals, model.name, where, [] {
    log_line("the operator's file is read at a start only; nothing changes");
  });
}

}  // namespace chutevane::sidecar
