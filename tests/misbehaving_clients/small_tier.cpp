#include "small_tier.hpp"

#include <stdlib.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace chutevane::misbehaving_clients {
namespace {

namespace fs = std::filesystem;
using lab::tier::BufferedRequest;
using lab::tier::HttpPort;
using lab::tier::MachinePlane;
using lab::tier::Machines;

constexpr const char* zones[] = {"north", "middle", "south"};
constexpr std::size_t controllers = 3, edges = 2;
constexpr int platform_group = 50, endpoint_group = 40;  // of addresses
constexpr std::uint16_t list_port = 8090, endpoint_port = 8100;
constexpr Span start_limit = Span::ms(60000), answer_limit = Span::ms(30000), end_limit = Span::ms(60000);
constexpr Span slow_work = Span::ms(3000);       // of the endpoint, for a request on /slow/
constexpr std::size_t large_answer = 1U << 20U;  // bytes of an answer on /large/
constexpr int ok = 200;

std::string new_folder() {
  char name[] = "/tmp/chutevane-clients-XXXXXX";
  return ::mkdtemp(name);
}

Machines::Spec machines_spec(const std::string& programs, const std::string& folder,
                             const sockaddr_in& list) {
  Machines::Spec spec;
  const char* const other_programs = ::getenv("CHUTEVANE_TEST_PROGRAMS");
  spec.programs = other_programs != nullptr ? other_programs : programs;
  spec.folder = folder;
  spec.list = list;
  spec.drain = Span::ms(1500);
  spec.history = Span::ms(4000);
  spec.memory_mb = memory_limit_mb;
  spec.descriptors = descriptor_limit;
  return spec;
}

nlohmann::json route(const std::string& name, const std::string& type, const std::string& service) {
  return {{"name", name},       {"host", host},       {"pathPrefix", "/" + name + "/"},
          {"routeType", type},  {"timeoutMs", 20000}, {"targetMs", 500},
          {"priority", 1},      {"service", service}, {"maxAttempts", 3},
          {"retained", false},  {"retentionS", 60.0}, {"affinity", false},
          {"resumable", false}, {"gap_aim_ms", 400}};
}

std::string configuration_text(std::size_t body_limit) {
  nlohmann::json turns = route("turns", "streaming", "words");
  turns["retained"] = true;
  nlohmann::json words{{"name", "words"},
                       {"healthPath", "/health"},
                       {"maxConnections", 1000},
                       {"protocol", "h1"},
                       {"tls", false}};
  nlohmann::json tools = words;
  tools["name"] = "tools";
  words["engine"] = {{"capacity", 400}, {"kvCapacity", 900000}, {"tokensPerEvent", 1}};
  const nlohmann::json limits{{"maxHeaderBytes", 16384},
                              {"maxBodyBytes", body_limit},
                              {"headerTimeoutMs", 3000},
                              {"idleTimeoutMs", 15000}};
  return nlohmann::json{{"version", 1},
                        {"routes",
                         {turns, route("quick", "idempotent", "tools"),
                          route("slow", "non_idempotent", "tools"), route("large", "idempotent", "tools")}},
                        {"services", {words, tools}},
                        {"limits", limits}}
      .dump();
}

}  // namespace

SmallTier::SmallTier(const std::string& programs, std::size_t body_limit)
    : folder_(new_folder()),
      body_limit_(body_limit),
      timers_(scheduler_),
      machines_(timers_, addresses_, auditor_,
                machines_spec(programs, folder_, addresses_.at(platform_group, 1, list_port))),
      list_(scheduler_, [this](HttpPort::Exchange& exchange) { serve_list(exchange); }),
      endpoint_(scheduler_, [this](HttpPort::Exchange& exchange) { serve_endpoint(exchange); }),
      connector_(scheduler_, timers_) {
  std::signal(SIGPIPE, SIG_IGN);
  ::setenv("CHUTEVANE_INVARIANTS", "fatal", 0);
  list_.listen(addresses_.at(platform_group, 1, list_port));
  endpoint_.listen(addresses_.at(endpoint_group, 1, endpoint_port));
  for (std::size_t i = 0; i < controllers; ++i) machines_.add(MachinePlane::control, i + 1, zones[i]);
  for (std::size_t i = 0; i < SmallTier::storage_node_count; ++i)
    machines_.add(MachinePlane::storage, i + 1, zones[i % 3]);
  for (std::size_t i = 0; i < edges; ++i) machines_.add(MachinePlane::edge, i + 1, zones[i]);
}

SmallTier::~SmallTier() {
  for (const auto& machine : machines_.all()) machine->process.kill();
  fs::remove_all(folder_);
}

bool SmallTier::wait(Span limit, const std::function<bool()>& done) {
  constexpr Span poll_interval = Span::ms(10);  // conditions outside of this process make no event
  const TimePoint until = timers_.now() + limit;
  net::TimerQueue::Handle tick;
  while (!done() && timers_.now() < until) {
    timers_.cancel(tick);
    tick = timers_.after(poll_interval, [] {});
    scheduler_.turn();
  }
  timers_.cancel(tick);
  return done();
}

bool SmallTier::start() {
  for (const auto& machine : machines_.all()) machines_.start(*machine, Machines::Start::first);
  if (!is_configured()) return false;
  const TimePoint until = timers_.now() + start_limit;
  for (std::size_t i = 0; i < edges; ++i) {
    while (ask(Machines::readiness_of(edge(i)), "GET", "/v1/readiness") != ok || turn(edge(i)) != ok) {
      if (timers_.now() > until) return false;
      wait(Span::ms(50), [] { return false; });
    }
  }
  return true;
}

bool SmallTier::is_configured() {
  const TimePoint until = timers_.now() + start_limit;
  const std::string text = configuration_text(body_limit_);
  while (timers_.now() < until) {
    if (ask(Machines::control_of(controller()), "POST", "/v1/Configuration.Replace", text,
            {{"X-Chutevane-Base-Version", "0"}}) == ok)
      return true;
    wait(Span::ms(50), [] { return false; });
  }
  return false;
}

int SmallTier::ask(const sockaddr_in& to, const std::string& method, const std::string& target,
                   const std::string& body, const lab::tier::HeaderFields& fields) {
  auto result = std::make_shared<std::optional<BufferedRequest::Result>>();
  BufferedRequest::run(connector_, timers_, to, lab::tier::request_text(method, target, host, fields, body),
                       answer_limit, [result](const BufferedRequest::Result& got) { *result = got; });
  wait(answer_limit + answer_limit, [&] { return result->has_value(); });
  return result->has_value() && (*result)->whole ? (*result)->status : 0;
}

int SmallTier::turn(const Machine& edge) {
  return turn(edge, "turn" + std::to_string(++requests_), "", "one input");
}

int SmallTier::turn(const Machine& edge, const std::string& id, const std::string& previous,
                    const std::string& input) {
  lab::tier::HeaderFields fields{{"X-Chutevane-Attempt-Id", id},
                                 {"Program", "program"},
                                 {"X-Chutevane-Token-Count", "10,8"},
                                 {"X-Chutevane-Time-Remaining", "20000"}};
  if (!previous.empty()) fields.emplace_back("Previous", previous);
  return ask(Machines::front_of(edge), "POST", "/turns/a", input, fields);
}

int SmallTier::read_configuration(const Machine& controller) {
  return ask(Machines::control_of(controller), "GET", "/v1/Configuration.Retrieve");
}

// ---- stand-ins

void SmallTier::serve_list(HttpPort::Exchange& exchange) {
  nlohmann::json instances = nlohmann::json::array();
  for (const char* service : {"words", "tools"}) {
    instances.push_back({{"service", service},
                         {"address", net::text_of(addresses_.at(endpoint_group, 1, endpoint_port))},
                         {"zone", zones[0]},
                         {"version", "v1"},
                         {"capacity", 400},
                         {"state", "in_service"},
                         {"coldLeftMs", 0},
                         {"id", std::string("i-") + service}});
  }
  exchange.answer(ok, {{"Content-Type", "application/json"}},
                  nlohmann::json{{"instances", instances}, {"nextToken", nullptr}}.dump());
}

void SmallTier::serve_endpoint(HttpPort::Exchange& exchange) {
  const auto& request = exchange.asked();
  const lab::tier::HeaderFields fields{{"X-Chutevane-Attempt-Id", request.find("X-Chutevane-Attempt-Id")},
                                       {"X-Chutevane-Server-Seal", "seal"}};
  if (request.path().starts_with("/turns/")) {
    lab::tier::HeaderFields stream = fields;
    stream.emplace_back("Content-Type", "text/event-stream");
    exchange.begin(ok, stream);
    exchange.piece("id: 1\ndata: word\n\n");
    received_bodies_.push_back(request.body.size());
    return exchange.finish();
  }
  if (request.path().starts_with("/large/"))
    return exchange.answer(ok, fields, std::string(large_answer, 'x'));
  if (request.path().starts_with("/quick/")) {
    received_bodies_.push_back(request.body.size());
    return exchange.answer(ok, fields, "done");
  }
  if (!request.path().starts_with("/slow/")) return exchange.answer(ok, {}, "");
  received_bodies_.push_back(request.body.size());
  timers_.after(slow_work, [this, id = exchange.id(), fields] {
    if (HttpPort::Exchange* const waiting = endpoint_.find(id)) waiting->answer(ok, fields, "done");
  });
}

// ---- processes

void SmallTier::enforce_descriptor_limit(const Machine& machine) {
  const rlimit limit{descriptor_limit, descriptor_limit};
  ::prlimit(machine.process.pid(), RLIMIT_NOFILE, &limit, nullptr);
}

void SmallTier::forget_peak_memory(const Machine& machine) {
  std::ofstream("/proc/" + std::to_string(machine.process.pid()) + "/clear_refs") << "5";
}

double SmallTier::peak_memory(const Machine& machine) {
  const auto usage = lab::usage_of(machine.process.pid());
  return usage ? usage->most_resident_kb * 1024 : 0;
}

std::size_t SmallTier::open_descriptors(const Machine& machine) {
  std::error_code error;
  const fs::directory_iterator entries("/proc/" + std::to_string(machine.process.pid()) + "/fd", error);
  return static_cast<std::size_t>(std::distance(fs::begin(entries), fs::end(entries)));
}

std::string SmallTier::terminate(Machine& machine) {
  machine.process.signal(SIGTERM);
  std::optional<std::string> how;
  wait(end_limit, [&] {
    if (!how) how = machine.process.ended();
    return how.has_value();
  });
  return how.value_or("still there");
}

}  // namespace chutevane::misbehaving_clients
