#include "common/settings.hpp"

#include <arpa/inet.h>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

#include "common/findings.hpp"
#include "net/socket.hpp"

namespace chutevane::common {
namespace {

constexpr std::size_t file_most = 1U << 20U;  // bytes: a settings file has some kilobytes

std::vector<std::string> split(const std::string& list) {
  std::vector<std::string> out;
  std::stringstream in(list);
  for (std::string one; std::getline(in, one, ',');)
    if (!one.empty()) out.push_back(one);
  return out;
}

class Reader {
 public:
  explicit Reader(std::string_view text) {
    std::istringstream in{std::string(text)};
    std::string line;
    for (int number = 1; std::getline(in, line); ++number) {
      const std::size_t equal = line.find('=');
      if (equal != std::string::npos) lines_.emplace(line.substr(0, equal), number);
    }
    std::istringstream again{std::string(text)};
    try {
      boost::property_tree::read_ini(again, tree_);
    } catch (const boost::property_tree::ini_parser_error& e) {
      findings_.add("line " + std::to_string(e.line()), e.message());
    }
    for (const auto& [key, value] : tree_) values_[key] = value.data();
  }
  const std::map<std::string, std::string>& values() const { return values_; }
  const std::string* find(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? nullptr : &found->second;
  }
  void wrong(const std::string& key, const std::string& why) {
    const auto line = lines_.find(key);
    findings_.add(line == lines_.end() ? key : "line " + std::to_string(line->second) + ", " + key, why);
  }
  void text(const std::string& key, std::string& into, bool needed) {
    const std::string* value = find(key);
    if (value != nullptr) into = *value;
    if (needed && into.empty()) wrong(key, "missing");
  }
  template <class Number>
  void number(const std::string& key, Number& into, double least, double most) {
    const std::string* value = find(key);
    if (value == nullptr || value->empty()) return;
    double v = 0;
    const char* end = value->data() + value->size();
    const auto got = std::from_chars(value->data(), end, v);
    if (got.ec != std::errc() || got.ptr != end || !(v >= least) || !(v <= most)) {
      wrong(key, "'" + *value + "' is not a number from " + std::to_string(static_cast<long>(least)) +
                     " to " + std::to_string(static_cast<long>(most)));
      return;
    }
    into = static_cast<Number>(v);
  }
  void span(const std::string& key, Span& into, double unit_ms) {
    double v = into.as_ms() / unit_ms;
    number(key, v, 0, 1e9);
    into = Span::ms(v * unit_ms);
  }
  void flag(const std::string& key, bool& into) {
    const std::string* value = find(key);
    if (value == nullptr) return;
    if (*value != "true" && *value != "false") wrong(key, "'" + *value + "' is neither true nor false");
    into = *value == "true";
  }
  std::optional<sockaddr_in> address(const std::string& key) {
    const std::string* value = find(key);
    if (value == nullptr || value->empty()) return std::nullopt;
    const auto out = net::parse_address(*value);
    if (!out) wrong(key, "'" + *value + "' is not ADDRESS:PORT");
    return out;
  }
  Findings& findings() { return findings_; }

 private:
  boost::property_tree::ptree tree_;
  std::map<std::string, std::string> values_;
  std::map<std::string, int> lines_;
  Findings findings_;
};

}  // namespace

sockaddr_in ProcessSettings::internal_address(int plane) const {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  out.sin_port = htons(static_cast<std::uint16_t>(first_port + plane));
  return out;
}

sockaddr_in ProcessSettings::internal_listen_address(int plane) const {
  sockaddr_in out = internal_address(plane);
  if (!bind_ip.empty()) ::inet_pton(AF_INET, bind_ip.c_str(), &out.sin_addr);
  return out;
}

absl::StatusOr<ProcessSettings> read_settings(std::string_view text) {
  ProcessSettings out;
  Reader in(text);
  in.text("nodeName", out.node, true);
  in.text("role", out.role, false);
  in.text("machineClass", out.machine_class, true);
  in.text("serves", out.serves, false);
  in.text("ipAddress", out.ip, true);
  in.text("bindAddress", out.bind_ip, false);
  in.text("zone", out.zone, true);
  in.text("region", out.region, false);
  in.text("dataDir", out.data_dir, false);
  sockaddr_in parsed{};
  if (!out.ip.empty() && ::inet_pton(AF_INET, out.ip.c_str(), &parsed.sin_addr) != 1)
    in.wrong("ipAddress", "'" + out.ip + "' is no IPv4 address");
  if (!out.bind_ip.empty() && ::inet_pton(AF_INET, out.bind_ip.c_str(), &parsed.sin_addr) != 1)
    in.wrong("bindAddress", "'" + out.bind_ip + "' is no IPv4 address");
  for (const auto& [key, value] : in.values()) {
    if (key.starts_with("zones.")) out.zones[key.substr(6)] = value;
  }
  out.front = in.address("listenAddrs.front");
  out.readiness = in.address("listenAddrs.readiness");
  out.control = in.address("listenAddrs.control");
  out.metrics = in.address("listenAddrs.metrics");
  std::string ports;
  in.text("internalPorts", ports, true);
  const std::vector<std::string> pair = split(ports);
  int first = 0, last = 0;
  const auto port = [](const std::string& digits, int& into) {
    const auto got = std::from_chars(digits.data(), digits.data() + digits.size(), into);
    return got.ec == std::errc() && got.ptr == digits.data() + digits.size() && into > 0 && into < 65536;
  };
  if (!ports.empty() && (pair.size() != 2 || !port(pair[0], first) || !port(pair[1], last) ||
                         last - first < storage_plane_port))
    in.wrong("internalPorts", "'" + ports + "' is not FIRST,LAST with two ports at least");
  out.first_port = static_cast<std::uint16_t>(first);
  out.last_port = static_cast<std::uint16_t>(last);
  std::string seeds;
  in.text("seedNodes", seeds, true);
  for (const std::string& one : split(seeds)) {
    if (const auto address = net::parse_address(one)) {
      out.seeds.push_back(*address);
    } else {
      in.wrong("seedNodes", "'" + one + "' is not ADDRESS:PORT");
    }
  }
  in.flag("initialStart", out.initial_start);
  in.flag("lossCounted", out.loss_counted);
  in.number("limits.memoryMb", out.memory_mb, 1, 1e7);
  in.number("limits.diskMb", out.disk_mb, 0, 1e9);
  in.number("limits.maxFds", out.descriptors, 64, 1e8);
  in.number("faultTolerance.machineLosses", out.machine_losses, 0, 1000);
  std::size_t zone_losses = 0;
  in.number("faultTolerance.zones", zone_losses, 0, 1000);
  out.machine_losses = std::max(out.machine_losses, zone_losses);
  if (const auto platform = in.address("cloudApi.address")) out.platform = *platform;
  in.number("cloudApi.ratePerS", out.platform_rate, 0, 1e6);
  in.span("cloudApi.lagMs", out.platform_lag, 1);
  in.span("bounds.drainMs", out.drain, 1);
  in.span("bounds.graceS", out.grace, 1000);
  in.span("bounds.configApplyMs", out.config_apply, 1);
  in.span("bounds.settleMs", out.settle, 1);
  in.span("bounds.ackMs", out.ack, 1);
  if (!in.findings().none()) return in.findings().status();
  return out;
}

absl::StatusOr<ProcessSettings> load_settings(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return absl::NotFoundError(path + ": cannot be opened");
  std::string text(file_most + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  if (text.size() > file_most) return absl::InvalidArgumentError(path + ": over 1 MiB");
  absl::StatusOr<ProcessSettings> out = read_settings(text);
  if (!out.ok()) return absl::InvalidArgumentError(path + ": " + std::string(out.status().message()));
  return out;
}

}  // namespace chutevane::common
