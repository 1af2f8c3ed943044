#include "lab/tier/endpoint.hpp"

#include <algorithm>
#include <charconv>

namespace chutevane::lab::tier {
namespace {

std::int64_t number_in(std::string_view text, std::int64_t otherwise) {
  std::int64_t out = 0;
  const auto got = std::from_chars(text.data(), text.data() + text.size(), out);
  return got.ec == std::errc() && got.ptr == text.data() + text.size() ? out : otherwise;
}

}  // namespace

EndpointStandIn::EndpointStandIn(net::Scheduler& scheduler, net::TimerQueue& later, Auditor& auditor,
                                 const EndpointSpec& spec, std::uint64_t seed)
    : timers_(later),
      auditor_(auditor),
      spec_(spec),
      chance_(seed, "endpoint " + spec.id),
      port_(
          scheduler, [this](HttpPort::Exchange& visit) { take(visit); },
          [this](HttpPort::Exchange& visit) { left(visit); }) {
  port_.listen(spec.at);
}

void EndpointStandIn::read_as_draining(TimePoint at, Span most) {
  if (!closed_from_) closed_from_ = at + most;
}

void EndpointStandIn::end() {
  if (std::exchange(ended_, true)) return;
  for (auto& [visit, job] : jobs_) {
    timers_.cancel(job.next);
    if (HttpPort::Exchange* const at = port_.find(visit))
      auditor_.troubled(at->asked().find("X-Chutevane-Attempt-Id"));
  }
  jobs_.clear();
  queue_.clear();
  port_.close();
}

std::string EndpointStandIn::load() const {
  return std::to_string(jobs_.size()) + "," + std::to_string(queue_.size()) + "," +
         std::to_string(spec_.capacity);
}

HeaderFields EndpointStandIn::fields_for(const ReceivedRequest& asked, std::uint64_t run) const {
  HeaderFields out{{"Content-Type", spec_.streams && run != 0 ? "text/event-stream" : "text/plain"},
                   {"X-Chutevane-Server-Load", load()}};
  if (const std::string id = asked.find("X-Chutevane-Attempt-Id"); !id.empty())
    out.emplace_back("X-Chutevane-Attempt-Id", id);
  if (run != 0) out.emplace_back("X-Chutevane-Server-Seal", Auditor::seal_of(run));
  if (spec_.streams) out.emplace_back("Versions", "m=1");
  return out;
}

void EndpointStandIn::refuse(HttpPort::Exchange& visit, int status) {
  ++turned_away_;
  HeaderFields fields = fields_for(visit.asked(), 0);
  fields.emplace_back("X-Chutevane-Not-Executed", "1");
  visit.answer(status, fields, "");
}

void EndpointStandIn::take(HttpPort::Exchange& visit) {
  const ReceivedRequest& asked = visit.asked();
  if (asked.path() == "/health")
    return visit.answer(draining_ ? 503 : 200,
                        {{"X-Chutevane-Serving-Instance", spec_.id}, {"X-Chutevane-Server-Load", load()}},
                        "");
  if (asked.path() == "/v1/report") {
    const std::string models = spec_.streams ? R"([{"name":"m","version":1,"adapters":[]}])" : "[]";
    return visit.answer(200, {{"Content-Type", "application/json"}},
                        R"({"stage":"both","models":)" + models + R"(,"busy":false,"callSeq":0,"queued":)" +
                            std::to_string(queue_.size()) + R"(,"active":)" + std::to_string(jobs_.size()) +
                            R"(,"kvUsed":0,"kvTotal":90000,"programHandles":0})");
  }
  const std::string target = asked.find("X-Chutevane-Target-Instance"),
                    id = asked.find("X-Chutevane-Attempt-Id");
  if (!target.empty() && target != spec_.id) return refuse(visit, 421);
  if (id.empty()) return refuse(visit, 400);
  if (closed_from_ && timers_.now() > *closed_from_)
    auditor_.report_violation(Rule::drained, id + " came to " + spec_.id + " " +
                                                 std::to_string((timers_.now() - *closed_from_).as_ms()) +
                                                 " ms too late");
  port_.each_answer_ends(draining_);
  if (jobs_.size() < spec_.capacity) return start(visit.id());
  if (queue_.size() >= spec_.queue) return refuse(visit, 503);
  queue_.push_back(visit.id());
}

void EndpointStandIn::start(std::uint64_t visit) {
  HttpPort::Exchange* const at = port_.find(visit);
  if (at == nullptr) return;
  const ReceivedRequest& asked = at->asked();
  const Span left =
      Span::ms(static_cast<double>(number_in(asked.find("X-Chutevane-Time-Remaining"), 600000)));
  Job& job = jobs_[visit];
  job.visit = visit;
  job.until = timers_.now() + left;
  job.run = auditor_.ran(asked.find("X-Chutevane-Attempt-Id"), spec_.id, asked.body);
  const std::string counts = asked.find("X-Chutevane-Token-Count");
  const std::int64_t most = number_in(
      std::string_view(counts).substr(std::min(counts.find(',') + 1, counts.size())), tokens_per_event);
  job.events = static_cast<std::size_t>(std::max<std::int64_t>(most / tokens_per_event, 1));
  job.event_ms = static_cast<double>(
      number_in(asked.find(event_pause_field), static_cast<std::int64_t>(spec_.event_ms)));
  if (job.events > 2) job.events -= chance_.below(job.events / 2);  // it may say less than it might
  if (chance_.one_in(spec_.trouble)) {
    ++fault_player_;
    job.trouble = static_cast<Fault>(1 + chance_.below(troubles_drawn));
    auditor_.troubled(asked.find("X-Chutevane-Attempt-Id"));
  }
  const double wait = spec_.streams ? spec_.first_ms : spec_.work_ms;
  job.next = timers_.after(Span::ms(wait * (0.5 + chance_.unit())), [this, visit] { go_on(visit); });
}

// The next event of a stream, or the whole of a plain answer.
void EndpointStandIn::go_on(std::uint64_t visit) {
  HttpPort::Exchange* const at = port_.find(visit);
  const auto found = jobs_.find(visit);
  if (at == nullptr || found == jobs_.end()) return;
  Job& job = found->second;
  if (timers_.now() > job.until) {  // the caller waits no more
    if (job.told > 0) {
      at->reset();
    } else {
      at->answer(504, fields_for(at->asked(), 0), "");
    }
    return over(visit);
  }
  if (job.trouble == Fault::silent) {  // until its caller leaves, or waits no more
    job.next = timers_.at(job.until + Span::ms(1), [this, visit] { go_on(visit); });
    return;
  }
  if (job.trouble == Fault::garbled) {
    at->answer_bytes("no answer of any protocol\r\n\r\n");
    return over(visit);
  }
  auditor_.at_work(at->asked().find("X-Chutevane-Attempt-Id"), timers_.now());
  if (job.trouble == Fault::mute || (job.trouble == Fault::half && job.told * 2 >= job.events)) {
    at->reset();
    return over(visit);
  }
  const std::string mark = "run" + std::to_string(job.run) + "." + std::to_string(job.told);
  if (!spec_.streams) {
    const std::string body = mark + " of " + spec_.id;
    auditor_.generated(job.run, body, 0);
    auditor_.run_whole(job.run);
    if (job.trouble == Fault::surplus)
      at->add_behind("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnobody's\n");
    at->answer(200, fields_for(at->asked(), job.run), body);
    return over(visit);
  }
  if (job.told == 0) at->begin(200, fields_for(at->asked(), job.run));
  job.last_id += 1 + static_cast<std::int64_t>(chance_.below(3));
  ++job.told;
  // Some events have two lines of data, one of them empty at times; the first event tells the version too.
  const std::string more = chance_.one_in(0.2) ? (chance_.one_in(0.5) ? " and more" : "") : "-";
  std::string event = job.told == 1 ? "versions: 1\n" : "";
  event += "id: " + std::to_string(job.last_id) + "\ndata: " + mark + " four words of it\n";
  std::string data = mark + " four words of it\n";
  if (more != "-") {
    event += "data: " + more + "\n";
    data += more + "\n";
  }
  auditor_.generated(job.run, data, tokens_per_event);
  at->piece(event + "\n");
  if (job.told < job.events) {
    job.next =
        timers_.after(Span::ms(job.event_ms * (0.5 + chance_.unit())), [this, visit] { go_on(visit); });
    return;
  }
  auditor_.run_whole(job.run);
  if (job.trouble == Fault::surplus) at->add_behind("id: 1\ndata: of nobody\n\n");
  at->finish();
  over(visit);
}

void EndpointStandIn::over(std::uint64_t visit) {
  const auto found = jobs_.find(visit);
  if (found != jobs_.end()) {
    timers_.cancel(found->second.next);
    jobs_.erase(found);
  }
  while (jobs_.size() < spec_.capacity && !queue_.empty()) {
    const std::uint64_t next = queue_.front();
    queue_.pop_front();
    start(next);
  }
}

// Nobody waits for it any more: it is dropped.
void EndpointStandIn::left(HttpPort::Exchange& visit) {
  std::erase(queue_, visit.id());
  over(visit.id());
}

}  // namespace chutevane::lab::tier
