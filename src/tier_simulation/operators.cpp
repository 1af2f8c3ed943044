#include "tier_simulation/operators.hpp"

#include <algorithm>

#include "lab/tier/operators.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr Span reply_timeout = Span::ms(1000);  // then a client tries another machine
constexpr Span min_retry_delay = Span::ms(40);  // before the next attempt; doubles
constexpr Span max_retry_delay = Span::ms(500);

// With the routes of the clients' load.
std::string configuration_with_traffic(std::int64_t version, const std::string& mark, std::size_t filler) {
  std::string out = lab::tier::configuration_text(version);
  out.pop_back();  // the closing brace
  return out + R"(,"filler":")" + mark + std::string(filler, 'x') + "\"}";
}

// A configuration that no other submission has, with one route and one service.
std::string configuration(std::int64_t version, const std::string& mark, std::size_t filler) {
  std::string out = R"({"version":)" + std::to_string(version);
  out += R"(,"routes":[{"name":"r","host":")" + mark +
         R"(.example","pathPrefix":"/a/","routeType":"idempotent",)";
  out += R"("timeoutMs":6000,"service":"s"}],"services":[{"name":"s"}],"limits":{},"filler":")";
  return out + std::string(filler, 'x') + "\"}";
}

bool is_rejection(int status) {
  return status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

sockaddr_in choose_address(const Deployment& deployment, const PreferredMachine& preferred,
                           double probability, Pcg& random) {
  // A machine that was removed is unknown to operators.
  const bool there = preferred.machine != nullptr && deployment.find(preferred.machine->name()) != nullptr;
  if (there && random.unit() < probability) return *preferred.machine->settings().control;
  const std::vector<sockaddr_in> all = deployment.control_addresses();
  return all[random.next() % all.size()];
}

}  // namespace

Operator::Operator(Deployment& deployment, HttpClient& http_client, Checker& checker,
                   const OperatorLoad& load, const PreferredMachine& preferred, std::string name,
                   std::uint64_t seed)
    : deployment_(deployment),
      http_client_(http_client),
      checker_(checker),
      load_(load),
      preferred_machine_(preferred),
      name_(std::move(name)),
      random_(seed) {}

sockaddr_in Operator::choose_control() {
  return choose_address(deployment_, preferred_machine_, load_.preferred_probability, random_);
}

void Operator::schedule_next() {
  if (stopped_) return;
  http_client_.timers().after(load_.min_pause + (load_.max_pause - load_.min_pause) * random_.unit(),
                              [this] { submit_new(); });
}

void Operator::submit_new() {
  if (stopped_) return;
  const std::int64_t step = random_.unit() < load_.next_number_probability ? 1 : 1 + random_.next() % 3;
  const std::int64_t version = base_ + step;
  const std::string mark = name_ + "-" + std::to_string(++last_number_);
  std::string body = load_.has_traffic_routes ? configuration_with_traffic(version, mark, load_.filler_size)
                                              : configuration(version, mark, load_.filler_size);
  submission_ = &checker_.begin_submission(name_, base_, version, std::move(body));
  attempts_ = 0;
  send_attempt();
}

void Operator::send_attempt() {
  Submission* const submission = submission_;
  ++attempts_;
  const std::size_t times = random_.unit() < load_.duplicate_probability ? 2 : 1;
  for (std::size_t i = 0; i < times; ++i) {
    const sockaddr_in to = choose_control();
    const bool loses_reply = random_.unit() < load_.reply_loss_probability;
    const Span timeout = loses_reply ? Span::ms(60) * random_.unit() : reply_timeout;
    const bool is_first = i == 0;  // the next step waits for the first call alone
    http_client_.call(to, HttpClient::post("/v1/Configuration.Replace", submission->body, submission->base),
                      timeout, [this, submission, to, is_first](const std::optional<HttpResult>& result) {
                        handle_result(*submission, to, result);
                        if (is_first) on_reply(*submission);
                      });
  }
}

void Operator::handle_result(Submission& submission, const sockaddr_in& from,
                             const std::optional<HttpResult>& result) {
  const int status = result ? result->status : 0;
  deployment_.simulator().trace().record(
      http_client_.timers().now(), "order %zu of %s (version %lld on %lld): %s says %d", submission.id,
      name_.c_str(), static_cast<long long>(submission.version), static_cast<long long>(submission.base),
      net::text_of(from).c_str(), status);
  if (status == 200 && on_acknowledged) on_acknowledged(from);
  if (status == 200 || is_rejection(status)) checker_.record_reply(submission, status);
}

void Operator::on_reply(Submission& submission) {
  if (submission.acknowledged) {
    base_ = std::max(base_, submission.version);
    return schedule_next();
  }
  if (submission.rejected) return read_current();
  const double times = static_cast<double>(1U << std::min<std::size_t>(attempts_, 4));
  const Span pause = std::min(max_retry_delay, min_retry_delay * times);
  http_client_.timers().after(pause * (0.5 + random_.unit()), [this] { send_attempt(); });
}

// Another won: what is in force is read before the next submission.
void Operator::read_current() {
  const sockaddr_in from = choose_control();
  http_client_.call(from, HttpClient::get("/v1/Configuration.Retrieve"), reply_timeout,
                    [this, from, reading = checker_.begin_read()](std::optional<HttpResult> result) {
                      if (result && result->status == 200) {
                        checker_.record_read(reading, result->version, result->body, net::text_of(from));
                        base_ = result->version;
                        return schedule_next();
                      }
                      http_client_.timers().after(min_retry_delay * (1.0 + random_.unit()),
                                                  [this] { read_current(); });
                    });
}

Reader::Reader(Deployment& deployment, HttpClient& http_client, Checker& checker, const OperatorLoad& load,
               const PreferredMachine& preferred, std::uint64_t seed)
    : deployment_(deployment),
      http_client_(http_client),
      checker_(checker),
      load_(load),
      preferred_machine_(preferred),
      random_(seed) {}

void Reader::begin() {
  http_client_.timers().after(load_.read_pause * (0.2 + random_.unit()), [this] {
    const sockaddr_in from =
        choose_address(deployment_, preferred_machine_, load_.preferred_probability, random_);
    http_client_.call(from, HttpClient::get("/v1/Configuration.Retrieve"), reply_timeout,
                      [this, from, reading = checker_.begin_read()](std::optional<HttpResult> result) {
                        if (result && (result->status == 200 || result->status == 404))
                          checker_.record_read(reading, result->version, result->body, net::text_of(from));
                        begin();
                      });
  });
}

}  // namespace chutevane::tier_simulation
