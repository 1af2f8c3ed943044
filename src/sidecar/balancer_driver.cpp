#include "sidecar/balancer_driver.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "base/log.hpp"

namespace chutevane::sidecar {
namespace {

std::vector<std::string> split_at_commas(const std::string& list) {
  std::vector<std::string> out;
  std::size_t from = 0;
  while (from < list.size()) {
    const std::size_t comma = std::min(list.find(',', from), list.size());
    out.push_back(list.substr(from, comma - from));
    from = comma + 1;
  }
  return out;
}

std::string setting_or_empty(const Settings& settings, std::string_view key) {
  const auto found = settings.find(key);
  return found == settings.end() ? "" : found->second;
}

/// The index of a name among those seen; a new one is added at the end.
std::uint16_t index_of(std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  const auto index = static_cast<std::uint16_t>(found - names.begin());
  if (found == names.end()) names.push_back(name);
  return index;
}

discovery::EndpointWatcherConfig watcher_config(const config::Config& config) {
  discovery::EndpointWatcherConfig out;
  out.address = config.discovery;
  out.kind = setting_or_empty(config.settings, "discovery") == "subscribe" ? discovery::DiscoveryKind::service
                                                                           : discovery::DiscoveryKind::agent;
  out.seed = config.seed;
  out.drain_grace = config.drain_grace;
  out.start_spread = config.start_spread;
  if (config.known_endpoints.full) out.known_version = config.known_endpoints.version;
  return out;
}

constexpr net::Waker::Bits due = net::Waker::own;

}  // namespace

BalancerDriver::BalancerDriver(net::Scheduler& scheduler, const config::Config& config, UpstreamPool& pool,
                               Counters& counters)
    : scheduler_(scheduler),
      pool_(pool),
      counters_(counters),
      balancer_(config.settings, config.seed, scheduler.now()),
      zones_(split_at_commas(setting_or_empty(config.settings, "zones"))),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      timer_task_(run_timer()) {
  pool.set_observer(*this);
  if (!config.discovery.empty()) watcher_.emplace(scheduler, watcher_config(config), *this);
  apply_list(ListKind::cached, config.known_endpoints);
  timer_task_.start();
}

net::Task BalancerDriver::run_timer() {
  while (true) {
    co_await waker_.wait(due);
    enqueue(balancer_.on_timer(scheduler_.now()));
    remove_confirmed();
  }
}

// --- Calls

CallId BalancerDriver::submit(ApiCall call, DownstreamRequest& request) {
  ++counters_.calls;
  call.id = ++last_id_;
  const std::uint32_t slot = calls_.take();
  calls_[slot].id = call.id;
  calls_[slot].request = &request;
  call_index_.put(call.id, slot);
  const Answer answer = balancer_.on_call(call, scheduler_.now());
  enqueue({&answer, 1});
  return call.id;
}

void BalancerDriver::cancel(CallId call) {
  const std::uint32_t slot = call_index_.find(call);
  if (slot == IdIndex::none || release_request(slot) == nullptr) return;
  ++counters_.client_disconnects;
  enqueue(balancer_.on_client_disconnect(call, scheduler_.now()));
  cancel_unsent(call);
  erase_if_finished(slot);
}

void BalancerDriver::abort_all() {
  for (std::uint32_t slot = 0; slot < calls_.size(); ++slot) {
    const CallId id = calls_[slot].id;
    if (call_index_.find(id) != slot) continue;
    DownstreamRequest* const request = release_request(slot);
    if (request == nullptr) continue;
    ++counters_.aborted;
    request->on_aborted(true, history_of(slot));
    enqueue(balancer_.on_client_disconnect(id, scheduler_.now()));
    cancel_unsent(id);
    erase_if_finished(slot);
  }
}

/// Takes the request out of its call: from here on nothing more is delivered to it.
DownstreamRequest* BalancerDriver::release_request(std::uint32_t slot) {
  return std::exchange(calls_[slot].request, nullptr);
}

/// Counts a dispatch that is still in flight as one that may run: such a call is not proven never to have
/// run, and another pool must not treat it so.
pool::AttemptHistory BalancerDriver::history_of(std::uint32_t slot) const {
  pool::AttemptHistory out = calls_[slot].history;
  if (calls_[slot].dispatches_in_flight > 0 && !out.may_have_run) {
    out.may_have_run = true;
    out.first_sent =
        TimePoint();  // not known here: long ago, so that no endpoint's memory of it is relied on
  }
  return out;
}

/// What has not begun when its call is over must not begin later, also where endpoints know no cancels.
void BalancerDriver::cancel_unsent(CallId call) {
  for (std::size_t number = 0; number < max_dispatches; ++number) {
    const std::uint32_t slot = call_index_.find(call);
    if (slot == IdIndex::none) return;
    if (UpstreamConnection* const connection = calls_[slot].connections[number])
      pool_.cancel_unsent(*connection);
  }
}

void BalancerDriver::erase_if_finished(std::uint32_t slot) {
  const Call& call = calls_[slot];
  if (call.request != nullptr || call.dispatches_in_flight > 0 || call_index_.find(call.id) != slot) return;
  call_index_.erase(call.id);
  calls_.give_back(slot);
}

// --- Dispatches

void BalancerDriver::on_request_progress(const Dispatch& dispatch, bool is_last) {
  if (call_index_.find(dispatch.call) != IdIndex::none)
    balancer_.on_upload_progress(dispatch.call, is_last, scheduler_.now());
}

/// For the balancer the call is done with the head of a streamed response: nothing is left to decide.
bool BalancerDriver::on_response_started(const Dispatch& dispatch, const http::Parser& response,
                                         const std::shared_ptr<BodyPipe>& body) {
  const std::uint32_t slot = call_index_.find(dispatch.call);
  DownstreamRequest* const request = slot == IdIndex::none ? nullptr : release_request(slot);
  if (request == nullptr) return false;
  calls_[slot].connections[dispatch.number] = nullptr;
  ++counters_.completed;
  request->on_response_started(response, body);
  queue_dispatch_end(dispatch, Outcome::done, true, false);
  cancel_unsent(dispatch.call);
  process_queues();
  return true;
}

void BalancerDriver::on_dispatch_end(const Dispatch& dispatch, Outcome outcome,
                                     const http::Parser* response) {
  const std::uint32_t slot = call_index_.find(dispatch.call);
  if (slot == IdIndex::none) return;
  Call& call = calls_[slot];
  call.connections[dispatch.number] = nullptr;
  call.timed_out = outcome == Outcome::timed_out;
  const bool never_ran =
      outcome == Outcome::not_sent || outcome == Outcome::not_connected || outcome == Outcome::rejected;
  if (!never_ran && !std::exchange(call.history.may_have_run, true)) call.history.first_sent = dispatch.sent;
  if (outcome == Outcome::done) {
    if (DownstreamRequest* const request = release_request(slot)) {
      ++counters_.completed;
      request->on_response(*response);
    }
  }
  const DownstreamRequest* const request = calls_[slot].request;
  const bool cannot_repeat =
      request != nullptr && request->body() != nullptr && !request->body()->is_replayable();
  queue_dispatch_end(dispatch, outcome, request == nullptr, cannot_repeat);
  if (outcome == Outcome::done) cancel_unsent(dispatch.call);
  process_queues();
}

void BalancerDriver::queue_dispatch_end(const Dispatch& dispatch, Outcome outcome, bool call_over,
                                        bool is_last) {
  DispatchEnd end;
  end.call = dispatch.call;
  end.endpoint = dispatch.endpoint;
  end.number = dispatch.number;
  end.call_over = call_over;
  end.cannot_retry = is_last;
  end.outcome = outcome;
  end.elapsed = scheduler_.now() - dispatch.sent;
  dispatch_ends_.push_back(end);
}

// --- The balancer's answers

void BalancerDriver::enqueue(Answers answers) {
  answers_.insert(answers_.end(), answers.begin(), answers.end());
  process_queues();
}

/// Carrying out an answer may end a dispatch at once, and that end brings new answers.
void BalancerDriver::process_queues() {
  if (is_processing_) return;
  is_processing_ = true;
  while (!answers_.empty() || !dispatch_ends_.empty()) {
    if (answers_.empty()) {
      process_dispatch_end();
      continue;
    }
    const Answer answer = answers_.front();
    answers_.pop_front();
    execute(answer);
  }
  is_processing_ = false;
  const TimePoint next = balancer_.next_wake();
  if (next < timer_.due()) timer_.set(next);
}

void BalancerDriver::process_dispatch_end() {
  const DispatchEnd end = dispatch_ends_.front();
  dispatch_ends_.pop_front();
  const Answers more = balancer_.on_dispatch_end(end, scheduler_.now());
  answers_.insert(answers_.end(), more.begin(), more.end());
  const std::uint32_t slot = call_index_.find(end.call);
  if (slot == IdIndex::none) return;
  --calls_[slot].dispatches_in_flight;
  erase_if_finished(slot);
}

void BalancerDriver::execute(const Answer& answer) {
  const std::uint32_t slot = call_index_.find(answer.call);
  const bool is_known = slot != IdIndex::none;
  ++counters_.verdicts[static_cast<std::size_t>(answer.verdict)];
  switch (answer.verdict) {
    case Verdict::nothing:
    case Verdict::wait:
    case Verdict::publish_load:      // never here: the settings say that sidecars exchange nothing
    case Verdict::subscribe: break;  // the watch on discovery has its own schedule
    case Verdict::dispatch:
      if (is_known) dispatch(slot, answer);
      break;
    case Verdict::reject:
    case Verdict::fail:
      if (is_known) reject_or_abort(slot, answer);
      break;
    case Verdict::cancel:
      if (is_known && answer.number < max_dispatches && calls_[slot].connections[answer.number] != nullptr)
        pool_.cancel(*calls_[slot].connections[answer.number]);
      break;
    case Verdict::log: log_line("%s", answer.text.data()); break;
  }
}

void BalancerDriver::reject_or_abort(std::uint32_t slot, const Answer& answer) {
  if (DownstreamRequest* const request = release_request(slot)) {
    if (answer.verdict == Verdict::reject) {
      ++counters_.rejected;
      request->on_rejected(answer.span, history_of(slot));
    } else {
      ++counters_.aborted;
      request->on_aborted(calls_[slot].timed_out, history_of(slot));
    }
    cancel_unsent(answer.call);
  }
  erase_if_finished(slot);
}

void BalancerDriver::dispatch(std::uint32_t slot, const Answer& answer) {
  const bool has_deadline = answer.until != TimePoint();
  const Dispatch dispatch{answer.call,   answer.endpoint,
                          answer.number, scheduler_.now(),
                          answer.span,   has_deadline ? answer.until : TimePoint::never()};
  ++calls_[slot].dispatches_in_flight;
  ++calls_[slot].history.dispatches;
  const DownstreamRequest* const request = calls_[slot].request;
  if (request == nullptr) {  // answered or cancelled between the decision and here
    on_dispatch_end(dispatch, Outcome::not_sent, nullptr);
    return;
  }
  if (answer.needs_new_connection) pool_.close_idle(answer.endpoint);
  UpstreamConnection* const connection = pool_.send(dispatch, request->request(), request->body());
  const std::uint32_t slot_now = call_index_.find(answer.call);  // the call may have ended within send()
  if (connection != nullptr && slot_now != IdIndex::none)
    calls_[slot_now].connections[answer.number] = connection;
}

// --- The endpoint list

void BalancerDriver::on_endpoint_list(const discovery::EndpointList& list) {
  ++counters_.list_updates;
  apply_list(list.full ? ListKind::full : ListKind::changes, list);
}

void BalancerDriver::on_endpoint_list_failure() { ++counters_.list_failures; }

void BalancerDriver::apply_list(ListKind kind, const discovery::EndpointList& list) {
  // The ends of dispatches that the list takes back wait until the balancer has the list: it would send such
  // a call again to an endpoint that it still takes for ready.
  is_processing_ = true;
  if (kind != ListKind::changes) listed_.clear();
  list_version_ = list.version;
  std::vector<ListedEndpoint> entries;
  entries.reserve(list.entries.size());
  removals_.expire(scheduler_.now());
  for (const discovery::EndpointEntry& entry : list.entries) {
    const ListedEndpoint listed = apply_entry(entry, list.is_stale);
    if (listed.id != 0) entries.push_back(listed);
  }
  if (kind != ListKind::changes) {
    std::vector<EndpointId> ids;
    ids.reserve(entries.size());
    for (const ListedEndpoint& one : entries) ids.push_back(one.id);
    pool_.remove_unlisted(std::move(ids));
  }
  is_processing_ = false;
  enqueue(balancer_.on_endpoint_list(kind, entries, scheduler_.now()));
  remove_confirmed();
}

/// The entry as the balancer takes it; id 0: an endpoint that is gone and was not known.
ListedEndpoint BalancerDriver::apply_entry(const discovery::EndpointEntry& entry, bool is_stale) {
  const Availability availability = is_stale ? removals_.availability_of(entry) : entry.availability;
  if (!is_stale) removals_.record(entry, scheduler_.now());
  if (availability == Availability::gone) {
    listed_.erase(entry.id);
  } else {
    discovery::EndpointEntry& listed = listed_[entry.id];
    listed = entry;
    listed.availability = availability;
  }
  ListedEndpoint out;
  out.id = pool_.update(entry);
  if (out.id == 0) return out;
  out.zone = index_of(zones_, entry.zone);
  out.model = index_of(models_, entry.model);
  // Ids are numbered as endpoints come, differently in each process; the hash is the same in all.
  out.stable_id = XXH3_64bits(entry.id.data(), entry.id.size());
  out.cell = entry.cell;
  out.availability = availability;
  out.size = entry.size;
  out.started_at = entry.came_up;
  return out;
}

/// The balancer judges by its calls whether an endpoint that the list calls gone is gone.
void BalancerDriver::remove_confirmed() {
  for (std::size_t i = pool_.pending_removals().size(); i-- > 0;) {
    const EndpointId id = pool_.pending_removals()[i];
    if (!balancer_.is_usable(id)) pool_.remove(id);
  }
}

// --- What outlives the process

snapshot::Snapshot BalancerDriver::learned_state() const {
  snapshot::Snapshot out;
  for (const LearnedLatency& learned : balancer_.learned_latencies()) {
    const std::string id = pool_.discovery_id_of(learned.endpoint);
    const auto listed = listed_.find(id);
    if (listed == listed_.end()) continue;
    out.endpoints.push_back({id, listed->second.address, learned.started_at, learned.latency_ms});
  }
  out.load = balancer_.learned_load(scheduler_.now());
  out.endpoint_list.version = list_version_;
  out.endpoint_list.full = true;
  for (const auto& [id, entry] : listed_) out.endpoint_list.entries.push_back(entry);
  return out;
}

void BalancerDriver::restore(const snapshot::WarmStart& warm_start) {
  std::vector<LearnedLatency> learned;
  for (const snapshot::EndpointRecord& one : warm_start.endpoints) {
    if (const EndpointId id = pool_.id_of(one.name)) learned.push_back({id, one.started_at, one.latency_ms});
  }
  balancer_.restore_latencies(learned, scheduler_.now());
  balancer_.restore_load(warm_start.load, scheduler_.now());
}

}  // namespace chutevane::sidecar
