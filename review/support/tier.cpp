#include "support/tier.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

namespace fs = std::filesystem;

constexpr int first_internal_port = 7380;
constexpr int last_internal_port = 7395;
constexpr int metrics_port = 9464;
constexpr int controllers_from = 101, storage_from = 121, edges_from = 141;  // last numbers of addresses
constexpr std::size_t seed_count = 3;

const char* const zones[] = {"zone-a", "zone-b", "zone-c", "zone-d"};

std::string zone_of(std::size_t index) { return zones[index % std::size(zones)]; }

const char* name_of(Plane plane) {
  switch (plane) {
    case Plane::control: return "control";
    case Plane::storage: return "storage";
    case Plane::edge: break;
  }
  return "edge";
}

bool is_free(const std::string& ip, int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool bound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  ::close(descriptor);
  return bound;
}

/// Returns the first three numbers of loopback addresses that nobody uses.
std::string free_network() {
  std::random_device random;
  for (int tries = 0; tries < 100; ++tries) {
    const std::string network =
        "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
    bool all_free = true;
    for (const int last : {controllers_from, storage_from, edges_from, 1})
      all_free = all_free && is_free(network + std::to_string(last), first_internal_port) &&
                 is_free(network + std::to_string(last), Tier::control_port);
    if (all_free) return network;
  }
  throw std::runtime_error("no free loopback addresses");
}

std::string random_hex(int digits) {
  static std::mutex mutex;
  static std::mt19937_64 engine{std::random_device{}()};
  const std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(engine()));
  return std::string(text).substr(0, static_cast<std::size_t>(digits));
}

}  // namespace

std::string random_id() { return random_hex(16); }

// ---- Record

void Record::line(const std::string& text) {
  detail(text);
  const std::lock_guard lock(mutex_);
  std::cout << text << "\n" << std::flush;
}

void Record::detail(const std::string& text) {
  const std::lock_guard lock(mutex_);
  char time[32];
  std::snprintf(time, sizeof time, "%9.1f ms  ", now_ms());
  out_ << time << text << "\n" << std::flush;
}

double Record::now_ms() const {
  return std::chrono::duration<double, std::milli>(Clock::now() - began_).count();
}

Arguments parse_arguments(int argc, char** argv) {
  if (argc != 4) throw std::runtime_error("usage: case ROOT FOLDER RECORD");
  Arguments out{argv[1], argv[2], argv[3], true};
  const char* const trouble = std::getenv("TROUBLE");
  out.is_troubled = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  return out;
}

// ---- Tier

Tier::Tier(const Arguments& arguments, Record& record, const TierSize& size)
    : arguments_(arguments), record_(record), size_(size), network_(free_network()) {
  const auto add = [&](std::vector<std::unique_ptr<Process>>& to, Plane plane, std::size_t count, int from) {
    for (std::size_t i = 0; i < count; ++i)
      to.push_back(std::make_unique<Process>(plane, std::string(name_of(plane)) + "-" + std::to_string(i + 1),
                                             zone_of(i),
                                             network_ + std::to_string(from + static_cast<int>(i))));
  };
  add(controllers_, Plane::control, size.controllers, controllers_from);
  add(storage_, Plane::storage, size.storage_nodes, storage_from);
  add(edges_, Plane::edge, size.edges, edges_from);
}

Tier::~Tier() {
  for (auto* const processes : {&edges_, &storage_, &controllers_}) {
    for (const auto& process : *processes) kill(*process);
  }
}

Address Tier::stand_in_address(int number, int port) const {
  return {network_ + std::to_string(number), port};
}

std::string Tier::path_of(const Process& process, const std::string& ending) const {
  return arguments_.folder + "/" + process.node() + ending;
}

void Tier::write_settings(const Process& process, bool is_first_start) const {
  std::string seeds;
  for (std::size_t i = 0; i < std::min(seed_count, controllers_.size()); ++i)
    seeds += (i > 0 ? "," : "") + control(i).text();
  const std::string name = name_of(process.plane());
  std::ofstream out(path_of(process, ".conf"), std::ios::trunc);
  out << "nodeName=" << process.node() << "\nrole=" << name
      << "\nmachineClass=" << (process.plane() == Plane::control ? "core" : name) << "\nserves=" << name
      << "\nipAddress=" << process.ip() << "\nzone=" << process.zone() << "\nregion=review\n";
  for (const char* const zone : zones) out << "zones." << zone << "=review\n";
  if (process.plane() == Plane::edge)
    out << "listenAddrs.front=" << process.ip() << ":" << front_port
        << "\nlistenAddrs.readiness=" << process.ip() << ":" << readiness_port << "\n";
  if (process.plane() == Plane::control)
    out << "listenAddrs.control=" << process.ip() << ":" << control_port << "\n";
  out << "listenAddrs.metrics=" << process.ip() << ":" << metrics_port << "\n";
  if (process.plane() != Plane::edge) out << "dataDir=" << path_of(process, ".data") << "\n";
  out << "internalPorts=" << first_internal_port << "," << last_internal_port << "\nseedNodes=" << seeds
      << "\ninitialStart=" << (is_first_start ? "true" : "false")
      << "\nlossCounted=" << (process.plane() == Plane::edge ? "false" : "true")
      << "\nlimits.cpuShare=0.5\nlimits.cpuCores=1\nlimits.memoryMb=270\nlimits.maxFds=4100"
      << "\nlimits.linkMbps=1000.0\nlimits.diskMb=" << (process.plane() == Plane::edge ? 0 : 310)
      << "\ndiscovery=platform_api\nentry=virtual_ip\nbeatIntervalMs=1200"
      << "\nfaultTolerance.machineLosses=" << size_.machine_losses
      << "\nfaultTolerance.zones=0\nfaultTolerance.regionLosses=0"
      << "\nbounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000"
      << "\nbounds.catchUpS=4.2\nbounds.drainMs=3000\nbounds.graceS=8\nbounds.lossSlackMs=200"
      << "\nbounds.configApplyMs=2000\nbounds.revertSlackMs=250\nbounds.outerBoundMs=5000"
      << "\nbounds.recoveryS=12\nbounds.historyS=20\nbounds.releaseMs=1500\nbounds.pass_ms=120"
      << "\nbounds.again_s=0\nbounds.finishS=10\nbounds.settleMs=1000"
      << "\ncloudApi.address=" << platform_.text()
      << "\ncloudApi.ratePerS=40.0\ncloudApi.duties=\ncloudApi.lagMs=800\n";
}

void Tier::start_all(const Address& platform) {
  platform_ = platform;
  for (auto* const processes : {&controllers_, &storage_, &edges_}) {
    for (const auto& process : *processes) start(*process, true);
  }
}

void Tier::start(Process& process, bool is_first_start) {
  write_settings(process, is_first_start);
  if (process.plane() != Plane::edge) fs::create_directories(path_of(process, ".data"));
  const std::string program = "target/chutevane-" + std::string(name_of(process.plane()));
  const std::string settings = "CHUTEVANE_SETTINGS=" + path_of(process, ".conf");
  const std::string log = path_of(process, ".log");
  const pid_t pid = ::fork();
  if (pid < 0) throw std::runtime_error("fork failed");
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing is left running if the case is killed
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    if (::chdir(arguments_.root.c_str()) != 0) ::_exit(126);
    char* const argv[] = {const_cast<char*>(program.c_str()), nullptr};
    char* const environment[] = {const_cast<char*>(settings.c_str()), nullptr};
    ::execve(program.c_str(), argv, environment);
    ::_exit(127);
  }
  process.pid_ = pid;
  record_.line("start " + process.node());
}

void Tier::signal(Process& process, int number) {
  if (process.pid_ <= 0) return;
  ::kill(process.pid_, number);
  record_.line("signal " + std::string(::strsignal(number)) + " to " + process.node());
}

void Tier::kill(Process& process) {
  if (process.pid_ <= 0) return;
  ::kill(process.pid_, SIGKILL);
  ::waitpid(process.pid_, nullptr, 0);
  process.pid_ = 0;
  record_.line("killed " + process.node());
}

bool Tier::wait_for_end(Process& process, milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  while (process.pid_ > 0 && Clock::now() < until) {
    if (!is_alive(process)) return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return process.pid_ <= 0;
}

bool Tier::is_alive(Process& process) {
  if (process.pid_ <= 0) return false;
  int status = 0;
  if (::waitpid(process.pid_, &status, WNOHANG) == 0) return true;
  process.pid_ = 0;
  record_.line(process.node() + " has ended, status " + std::to_string(status));
  return false;
}

void Tier::lose_disk(Process& process) {
  const std::string data = path_of(process, ".data");
  fs::rename(data, data + ".lost" + std::to_string(++process.disks_lost_));
  record_.line("the disk of " + process.node() + " is lost");
}

std::string Tier::log_of(const Process& process) const {
  std::ifstream in(path_of(process, ".log"));
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

bool Tier::put_configuration(const std::string& text, std::int64_t base, milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  const Request request{
      "POST",
      "/v1/Configuration.Replace",
      {{"X-Chutevane-Base-Version", std::to_string(base)}, {"Content-Type", "application/json"}},
      text};
  for (std::size_t i = 0; Clock::now() < until; ++i) {
    const Response response = send_request(control(i % controllers_.size()), request, milliseconds(1000));
    if (response.status == 200) return true;
    if (response.status / 100 == 4) {
      record_.line("configuration refused: " + std::to_string(response.status) + " " + response.body);
      return false;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

std::string Tier::status(std::size_t controller_index) const {
  const Request request{"GET", "/v1/Status.Retrieve", {}, ""};
  const Response response = send_request(control(controller_index), request, milliseconds(500));
  return response.status == 200 ? response.body : "";
}

std::size_t Tier::holder_of(const std::string& role) const {
  const std::string wanted = R"("name":")" + role + '"';
  std::size_t index = 0;
  while (index < controllers_.size()) {
    const std::string text = status(index);
    const std::size_t duties = text.find(R"("duties":)");
    const std::size_t end = text.find(']', std::min(duties, text.size()));
    if (duties != std::string::npos && text.substr(duties, end - duties).find(wanted) != std::string::npos)
      break;
    ++index;
  }
  return index;
}

bool Tier::wait_until_ready(milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  for (std::size_t i = 0; i < edges_.size();) {
    if (Clock::now() > until) return false;
    if (send_request(readiness(i), {"GET", "/v1/readiness", {}, ""}, milliseconds(500)).status == 200) {
      ++i;
    } else {
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  return true;
}

// ---- Platform

Platform::Platform(const Address& at, std::vector<Instance> instances)
    : instances_(std::move(instances)), server_(at, [this](Exchange& exchange) { serve(exchange); }) {}

void Platform::set(std::vector<Instance> instances) {
  const std::lock_guard lock(mutex_);
  instances_ = std::move(instances);
}

void Platform::serve(Exchange& exchange) {
  if (!exchange.target().starts_with("/instances")) {
    exchange.respond(404, {}, "");
    return;
  }
  std::string body = R"({"instances":[)";
  {
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      const Instance& one = instances_[i];
      body += std::string(i > 0 ? "," : "") + R"({"service":")" + one.service + R"(","address":")" +
              one.address.text() + R"(","zone":")" + one.zone + R"(","version":"v1","capacity":)" +
              std::to_string(one.capacity) + R"(,"state":")" + (one.is_draining ? "draining" : "in_service") +
              R"(","coldLeftMs":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"id":")" +
              one.id + R"("})";
    }
  }
  body += R"(],"nextToken":null})";
  exchange.respond(200, {{"Content-Type", "application/json"}}, body);
}

// ---- Endpoint

Endpoint::Endpoint(Instance instance, EndpointBehavior behavior)
    : instance_(std::move(instance)),
      behavior_(behavior),
      server_(instance_.address, [this](Exchange& exchange) { serve(exchange); }) {}

std::vector<Run> Endpoint::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

void Endpoint::serve(Exchange& exchange) {
  if (exchange.target() == "/health") {
    exchange.respond(200, {{"X-Chutevane-Serving-Instance", instance_.id}}, "");
    return;
  }
  const std::string attempt = exchange.header("x-chutevane-attempt-id");
  const std::string wanted = exchange.header("x-chutevane-target-instance");
  if (!wanted.empty() && wanted != instance_.id) {
    exchange.respond(421, {{"X-Chutevane-Attempt-Id", attempt}, {"X-Chutevane-Not-Executed", "1"}}, "");
    return;
  }
  if (exchange.target().starts_with("/turns/")) return stream(exchange, attempt);
  const std::string seal = instance_.id + "." + std::to_string(++seal_);
  {
    const std::lock_guard lock(mutex_);
    runs_.push_back({instance_.id, attempt, exchange.body(), ""});
  }
  exchange.respond(
      200, {{"X-Chutevane-Attempt-Id", attempt}, {"X-Chutevane-Server-Seal", seal}, {"Versions", "1"}},
      "answer to " + attempt);
}

void Endpoint::stream(Exchange& exchange, const std::string& attempt) {
  const std::string seal = instance_.id + "." + std::to_string(++seal_);
  std::string output;
  std::size_t place = 0;
  {
    const std::lock_guard lock(mutex_);
    place = runs_.size();
    runs_.push_back({instance_.id, attempt, exchange.body(), ""});
  }
  std::this_thread::sleep_for(behavior_.first_event);
  if (!exchange.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                      "X-Chutevane-Attempt-Id: " +
                      attempt + "\r\nX-Chutevane-Server-Seal: " + seal + "\r\nVersions: 1\r\n\r\n"))
    return exchange.close_after(false);
  for (int i = 1; i <= behavior_.events; ++i) {
    if (i > 1) std::this_thread::sleep_for(behavior_.event_interval);
    const std::string data = "w" + std::to_string(i) + " of " + attempt;
    const std::string event = "id: " + std::to_string(i) + "\ndata: " + data + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    if (exchange.is_peer_gone() || !exchange.write(size + event + "\r\n")) return exchange.close_after(false);
    output += data + "\n";
  }
  {
    const std::lock_guard lock(mutex_);
    runs_[place].output = output;
  }
  if (!exchange.write("0\r\n\r\n")) exchange.close_after(false);
}

// ---- Clients

Turn send_turn(const Address& edge, const Record& record, const std::string& program,
               const std::string& previous, const std::string& input, int time_ms, std::int64_t budget,
               std::int64_t most_tokens) {
  Turn turn;
  turn.attempt = random_id();
  turn.program = program;
  turn.previous = previous;
  turn.input = input;
  Request request{"POST",
                  "/turns/4b",
                  {{"Host", host_name},
                   {"X-Chutevane-Attempt-Id", turn.attempt},
                   {"Program", program},
                   {"Session", program},
                   {"X-Chutevane-Time-Remaining", std::to_string(time_ms)}},
                  input};
  if (!previous.empty()) request.headers.emplace_back("Previous", previous);
  if (budget >= 0) request.headers.emplace_back("Budget", std::to_string(budget));
  if (most_tokens >= 0)
    request.headers.emplace_back("X-Chutevane-Token-Count", "100," + std::to_string(most_tokens));
  const Response response = send_request(edge, request, milliseconds(time_ms));
  turn.status = response.status;
  turn.is_whole = response.is_complete && response.status == 200;
  turn.error = response.is_complete ? "" : response.error;
  std::istringstream lines(response.body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("data: ")) turn.output += line.substr(6) + "\n";
  }
  turn.ended_at_ms = record.now_ms();
  return turn;
}

std::string configuration_text(std::int64_t version, double retention_s) {
  const auto route = [&](const char* name, const char* prefix, const char* type, const char* service,
                         bool is_retained) {
    std::ostringstream out;
    out << R"({"name":")" << name << R"(","host":")" << host_name << R"(","pathPrefix":")" << prefix
        << R"(","routeType":")" << type << R"(","timeoutMs":6000,"targetMs":200,"priority":1,"service":")"
        << service << R"(","maxAttempts":2,"retained":)" << (is_retained ? "true" : "false")
        << R"(,"retentionS":)" << retention_s << R"(,"affinity":false,"resumable":false,"gap_aim_ms":400})";
    return out.str();
  };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         route("r-turns", "/turns/", "streaming", "words", true) + "," +
         route("r-tools", "/tools/", "idempotent", "tools", false) + "," +
         route("r-acts", "/acts/", "non_idempotent", "tools", false) +
         R"(],"services":[{"name":"words","healthPath":"/health","maxConnections":500,"protocol":"h1",)"
         R"("tls":false,"engine":{"capacity":96,"kvCapacity":256505,"kvTokenBytes":131072,)"
         R"("linkMbps":550000.0,"tokensPerEvent":2,"models":[{"name":"m"}]}},)"
         R"({"name":"tools","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

}  // namespace review
