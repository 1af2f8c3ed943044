#include "simulation/operators.hpp"

#include <algorithm>

namespace chutevane::simulation {
namespace {

constexpr Span answer_within = Span::ms(1000);  // then a caller goes on to another machine
constexpr Span pause_first = Span::ms(40);      // before the next try; doubles
constexpr Span pause_last = Span::ms(500);

// A configuration that no other order has, with one route and one service.
std::string configuration(std::int64_t version, const std::string& mark, std::size_t filler) {
  std::string out = R"({"version":)" + std::to_string(version);
  out += R"(,"routes":[{"name":"r","host":")" + mark +
         R"(.example","pathPrefix":"/a/","routeType":"idempotent",)";
  out += R"("timeoutMs":6000,"service":"s"}],"services":[{"name":"s"}],"limits":{},"filler":")";
  return out + std::string(filler, 'x') + "\"}";
}

bool refusal(int status) {
  return status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

sockaddr_in drawn_address(const Deployment& deployment, const Favourite& favourite, double favour,
                          Pcg& chance) {
  // One that has gone for good is on no operator's list for long.
  const bool there = favourite.machine != nullptr && deployment.find(favourite.machine->name()) != nullptr;
  if (there && chance.unit() < favour) return *favourite.machine->settings().control;
  const std::vector<sockaddr_in> all = deployment.control_addresses();
  return all[chance.next() % all.size()];
}

}  // namespace

Operator::Operator(Deployment& deployment, Callers& callers, Checker& checker, const OperatorLoad& load,
                   const Favourite& favourite, std::string name, std::uint64_t seed)
    : deployment_(deployment),
      callers_(callers),
      checker_(checker),
      load_(load),
      favourite_(favourite),
      name_(std::move(name)),
      chance_(seed) {}

Span Operator::between(Span least, Span most) { return least + (most - least) * chance_.unit(); }

sockaddr_in Operator::choose() { return drawn_address(deployment_, favourite_, load_.favourite, chance_); }

void Operator::think() {
  if (ending_) return;
  callers_.later().after(between(load_.pause_least, load_.pause_most), [this] { order(); });
}

void Operator::order() {
  if (ending_) return;
  const std::int64_t step = chance_.unit() < load_.same_number ? 1 : 1 + chance_.next() % 3;
  const std::int64_t version = base_ + step;
  const std::string mark = name_ + "-" + std::to_string(++last_order_);
  order_ = &checker_.order_begun(name_, base_, version, configuration(version, mark, load_.filler));
  tries_ = 0;
  send();
}

void Operator::send() {
  Order* const order = order_;
  ++tries_;
  const std::size_t times = chance_.unit() < load_.sent_twice ? 2 : 1;
  for (std::size_t i = 0; i < times; ++i) {
    const sockaddr_in to = choose();
    const bool lost = chance_.unit() < load_.lost_answer;
    const Span within = lost ? Span::ms(60) * chance_.unit() : answer_within;
    callers_.call(to, Callers::post("/v1/Configuration.Replace", order->body, order->base), within,
                  [this, order, to, i](std::optional<HttpResult> result) {
                    deployment_.simulator().trace().record(
                        callers_.later().now(), "order %zu of %s (version %lld on %lld): %s says %d",
                        order->id, name_.c_str(), static_cast<long long>(order->version),
                        static_cast<long long>(order->base), net::text_of(to).c_str(),
                        result ? result->status : 0);
                    if (result && result->status == 200 && on_acknowledged) on_acknowledged(to);
                    if (result && (result->status == 200 || refusal(result->status)))
                      checker_.order_answered(*order, result->status);
                    if (i == 0) answered(*order, to, result);
                  });
  }
}

void Operator::answered(Order& order, const sockaddr_in&, const std::optional<HttpResult>&) {
  if (order.acknowledged) {
    base_ = std::max(base_, order.version);
    return think();
  }
  if (order.refused) return look();
  const double times = static_cast<double>(1U << std::min<std::size_t>(tries_, 4));
  const Span pause = std::min(pause_last, pause_first * times);
  callers_.later().after(pause * (0.5 + chance_.unit()), [this] { send(); });
}

// Another won: what is in force is read before the next order.
void Operator::look() {
  const sockaddr_in from = choose();
  callers_.call(from, Callers::get("/v1/Configuration.Retrieve"), answer_within,
                [this, from, reading = checker_.read_begun()](std::optional<HttpResult> result) {
                  if (result && result->status == 200) {
                    checker_.read_answered(reading, result->version, result->body, net::text_of(from));
                    base_ = result->version;
                    return think();
                  }
                  callers_.later().after(pause_first * (1.0 + chance_.unit()), [this] { look(); });
                });
}

Reader::Reader(Deployment& deployment, Callers& callers, Checker& checker, const OperatorLoad& load,
               const Favourite& favourite, std::uint64_t seed)
    : deployment_(deployment),
      callers_(callers),
      checker_(checker),
      load_(load),
      favourite_(favourite),
      chance_(seed) {}

void Reader::begin() {
  callers_.later().after(load_.read_pause * (0.2 + chance_.unit()), [this] {
    const sockaddr_in from = drawn_address(deployment_, favourite_, load_.favourite, chance_);
    callers_.call(from, Callers::get("/v1/Configuration.Retrieve"), answer_within,
                  [this, from, reading = checker_.read_begun()](std::optional<HttpResult> result) {
                    if (result && (result->status == 200 || result->status == 404))
                      checker_.read_answered(reading, result->version, result->body, net::text_of(from));
                    begin();
                  });
  });
}

}  // namespace chutevane::simulation
