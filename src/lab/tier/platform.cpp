#include "lab/tier/platform.hpp"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace chutevane::lab::tier {
namespace {

constexpr std::size_t page_entries = 3;  // so that a list has several pages
constexpr Span readiness_most = Span::ms(1000);

}  // namespace

ListStandIn::ListStandIn(net::Scheduler& scheduler, net::TimerQueue& later, double rate_per_s, Span drain)
    : timers_(later),
      rate_(rate_per_s),
      drain_(drain),
      port_(scheduler, [this](HttpPort::Exchange& visit) { take(visit); }),
      at_(later.now()),
      allowed_(rate_per_s) {}

void ListStandIn::set_fault(ListFault fault) {
  fault_ = fault;
  stale_entries_ = current_entries();
}

std::vector<ListStandIn::Entry> ListStandIn::current_entries() const {
  std::vector<Entry> out;
  for (EndpointStandIn* const endpoint : endpoints_)
    out.push_back({endpoint->spec(), endpoint->draining(), endpoint});
  return out;
}

bool ListStandIn::admit() {
  const TimePoint now = timers_.now();
  allowed_ = std::min(rate_, allowed_ + (now - at_).as_ms() / 1000.0 * rate_);
  at_ = now;
  if (allowed_ < 1) return false;
  allowed_ -= 1;
  return true;
}

std::string ListStandIn::page_text(const std::string& zone, std::size_t first) {
  nlohmann::json page{{"instances", nlohmann::json::array()}, {"nextToken", nullptr}};
  std::size_t place = 0;
  for (const Entry& entry : fault_ == ListFault::stale ? stale_entries_ : current_entries()) {
    const EndpointSpec& s = entry.spec;
    if (!zone.empty() && s.zone != zone) continue;
    const std::size_t here = place++;
    if (here < first) continue;
    if (here >= first + page_entries) {
      page["nextToken"] = "p-" + std::to_string(first + page_entries);
      break;
    }
    nlohmann::json models = nlohmann::json::array();
    if (s.streams) models.push_back({{"name", "m"}, {"version", 1}, {"adapters", nlohmann::json::array()}});
    page["instances"].push_back({{"id", s.id},
                                 {"service", s.service},
                                 {"address", net::text_of(s.at)},
                                 {"zone", s.zone},
                                 {"version", "v1"},
                                 {"capacity", s.capacity},
                                 {"state", entry.is_draining ? "draining" : "in_service"},
                                 {"coldLeftMs", 0},
                                 {"stage", "both"},
                                 {"models", models}});
    if (entry.is_draining) entry.endpoint->read_as_draining(timers_.now(), drain_);
  }
  return page.dump();
}

void ListStandIn::take(HttpPort::Exchange& visit) {
  const ReceivedRequest& asked = visit.asked();
  if (asked.path() != "/instances" || asked.method != "GET") return visit.answer(404, {}, "");
  if (!admit()) {
    ++over_rate_;
    return visit.answer(429, {}, "");
  }
  if (fault_ == ListFault::unavailable) return visit.answer(503, {}, "");
  ++pages_;
  const std::string token = asked.query("pageToken");
  const std::size_t first =
      token.empty() ? 0
                    : std::strtoul(token.substr(std::min<std::size_t>(2, token.size())).c_str(), nullptr, 10);
  const auto answer = [](HttpPort::Exchange& to, const std::string& page) {
    to.answer(200, {{"Content-Type", "application/json"}}, page);
  };
  const std::string page = page_text(asked.query("zone"), first);
  if (page.find(R"("nextToken":null)") != std::string::npos) last_read_at_ = timers_.now();
  if (fault_ != ListFault::slow) return answer(visit, page);
  timers_.after(slow_list_delay, [this, id = visit.id(), page, answer] {
    if (HttpPort::Exchange* const waiting = port_.find(id)) answer(*waiting, page);
  });
}

void Front::add(const std::string& name, const sockaddr_in& front, const sockaddr_in& readiness) {
  edges_.push_back({name, front, readiness, false, 0});
}

void Front::begin(Span every) {
  every_ = every;
  for (std::size_t i = 0; i < edges_.size(); ++i) look(i);
}

void Front::look(std::size_t which) {
  BufferedRequest::run(lines_, timers_, edges_[which].readiness,
                       request_text("GET", "/v1/readiness", net::text_of(edges_[which].readiness), {}, ""),
                       readiness_most, [this, which](const BufferedRequest::Result& got) {
                         Edge& s = edges_[which];
                         if (got.whole && got.status == 200) {
                           s.misses = 0;
                           s.in = true;
                         } else if (++s.misses >= 2) {
                           s.in = false;
                         }
                       });
  timers_.after(every_, [this, which] { look(which); });
}

std::size_t Front::in() const {
  return static_cast<std::size_t>(
      std::count_if(edges_.begin(), edges_.end(), [](const Edge& s) { return s.in; }));
}

const sockaddr_in& Front::pick(std::uint64_t client, std::size_t again) const {
  const bool all = in() * 2 < edges_.size();
  std::vector<const Edge*> open;
  for (const Edge& s : edges_) {
    if (all || s.in) open.push_back(&s);
  }
  return open[(client + again) % open.size()]->front;
}

}  // namespace chutevane::lab::tier
