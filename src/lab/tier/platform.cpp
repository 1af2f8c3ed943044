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
      port_(scheduler, [this](Port::Visit& visit) { take(visit); }),
      at_(later.now()),
      allowed_(rate_per_s) {}

void ListStandIn::take(Port::Visit& visit) {
  const Asked& asked = visit.asked();
  if (asked.path() != "/instances" || asked.method != "GET") return visit.answer(404, {}, "");
  const TimePoint now = timers_.now();
  allowed_ = std::min(rate_, allowed_ + (now - at_).as_ms() / 1000.0 * rate_);
  at_ = now;
  if (allowed_ < 1) {
    ++over_rate_;
    return visit.answer(429, {}, "");
  }
  allowed_ -= 1;
  ++pages_;
  const std::string zone = asked.query("zone"), token = asked.query("pageToken");
  const std::size_t first =
      token.empty() ? 0
                    : std::strtoul(token.substr(std::min<std::size_t>(2, token.size())).c_str(), nullptr, 10);
  nlohmann::json page{{"instances", nlohmann::json::array()}, {"nextToken", nullptr}};
  std::size_t place = 0;
  for (EndpointStandIn* const e : endpoints_) {
    if (!zone.empty() && e->spec().zone != zone) continue;
    const std::size_t here = place++;
    if (here < first) continue;
    if (here >= first + page_entries) {
      page["nextToken"] = "p-" + std::to_string(first + page_entries);
      break;
    }
    const EndpointSpec& s = e->spec();
    nlohmann::json models = nlohmann::json::array();
    if (s.streams) models.push_back({{"name", "m"}, {"version", 1}, {"adapters", nlohmann::json::array()}});
    page["instances"].push_back({{"id", s.id},
                                 {"service", s.service},
                                 {"address", net::text_of(s.at)},
                                 {"zone", s.zone},
                                 {"version", "v1"},
                                 {"capacity", s.capacity},
                                 {"state", e->draining() ? "draining" : "in_service"},
                                 {"coldLeftMs", 0},
                                 {"stage", "both"},
                                 {"models", models}});
    if (e->draining()) e->read_as_draining(now, drain_);
  }
  visit.answer(200, {{"Content-Type", "application/json"}}, page.dump());
}

void Front::add(const std::string& name, const sockaddr_in& front, const sockaddr_in& readiness) {
  edges_.push_back({name, front, readiness, false, 0});
}

void Front::begin(Span every) {
  every_ = every;
  for (std::size_t i = 0; i < edges_.size(); ++i) look(i);
}

void Front::look(std::size_t which) {
  Errand::run(lines_, timers_, edges_[which].readiness,
              request_text("GET", "/v1/readiness", net::text_of(edges_[which].readiness), {}, ""),
              readiness_most, [this, which](const Errand::Got& got) {
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
