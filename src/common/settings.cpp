#include "common/settings.hpp"

#include <arpa/inet.h>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

#include "common/findings.hpp"
#include "net/socket.hpp"

namespace chutevane::common {
namespace {

constexpr std::size_t max_file_bytes = 1U << 20U;  // usual settings files have some kilobytes

/// Returns the items of a comma-separated list without empty ones.
std::vector<std::string> split(const std::string& list) {
  std::vector<std::string> out;
  std::stringstream in(list);
  for (std::string item; std::getline(in, item, ',');)
    if (!item.empty()) out.push_back(item);
  return out;
}

/// Returns std::nullopt if `digits` is not a port number.
std::optional<int> parse_port(const std::string& digits) {
  int port = 0;
  const char* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port <= 0 || port > 65535) return std::nullopt;
  return port;
}

enum class Presence : std::uint8_t { optional, required };

/// Reads values by key. A missing or malformed value leaves the default unchanged; malformed values and
/// missing required ones are reported, with the line if there is one.
class SettingsReader {
 public:
  explicit SettingsReader(std::string_view text) {
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
  void report(const std::string& key, const std::string& why) {
    const auto line = lines_.find(key);
    findings_.add(line == lines_.end() ? key : "line " + std::to_string(line->second) + ", " + key, why);
  }
  void string(const std::string& key, std::string& into, Presence presence) {
    const std::string* value = find(key);
    if (value != nullptr) into = *value;
    if (presence == Presence::required && into.empty()) report(key, "missing");
  }
  template <class Number>
  void number(const std::string& key, Number& into, double min, double max) {
    const std::string* value = find(key);
    if (value == nullptr || value->empty()) return;
    double parsed = 0;
    const char* const end = value->data() + value->size();
    const auto result = std::from_chars(value->data(), end, parsed);
    if (result.ec != std::errc() || result.ptr != end || !(parsed >= min) || !(parsed <= max)) {
      report(key, "'" + *value + "' is not a number from " + std::to_string(static_cast<long>(min)) + " to " +
                      std::to_string(static_cast<long>(max)));
      return;
    }
    into = static_cast<Number>(parsed);
  }
  void duration(const std::string& key, Span& into, double unit_ms) {
    double value = into.as_ms() / unit_ms;
    number(key, value, 0, 1e9);
    into = Span::ms(value * unit_ms);
  }
  void boolean(const std::string& key, bool& into) {
    const std::string* value = find(key);
    if (value == nullptr) return;
    if (*value != "true" && *value != "false") report(key, "'" + *value + "' is neither true nor false");
    into = *value == "true";
  }
  std::optional<sockaddr_in> address(const std::string& key) {
    const std::string* value = find(key);
    if (value == nullptr || value->empty()) return std::nullopt;
    const auto out = net::parse_address(*value);
    if (!out) report(key, "'" + *value + "' is not ADDRESS:PORT");
    return out;
  }
  /// Accepts an empty address, since the setting may be optional.
  void check_ip(const std::string& key, const std::string& ip) {
    in_addr parsed{};
    if (!ip.empty() && ::inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
      report(key, "'" + ip + "' is not an IPv4 address");
  }
  const Findings& findings() const { return findings_; }

 private:
  boost::property_tree::ptree tree_;
  std::map<std::string, std::string> values_;
  std::map<std::string, int> lines_;
  Findings findings_;
};

void read_identity(SettingsReader& in, ProcessSettings& out) {
  in.string("nodeName", out.node, Presence::required);
  in.string("role", out.role, Presence::optional);
  in.string("machineClass", out.machine_class, Presence::required);
  in.string("serves", out.serves, Presence::optional);
  in.string("ipAddress", out.ip, Presence::required);
  in.string("bindAddress", out.bind_ip, Presence::optional);
  in.string("zone", out.zone, Presence::required);
  in.string("region", out.region, Presence::optional);
  in.string("dataDir", out.data_dir, Presence::optional);
  in.check_ip("ipAddress", out.ip);
  in.check_ip("bindAddress", out.bind_ip);
  for (const auto& [key, value] : in.values()) {
    if (key.starts_with("zones.")) out.zones[key.substr(6)] = value;
  }
}

void read_internal_ports(SettingsReader& in, ProcessSettings& out) {
  std::string text;
  in.string("internalPorts", text, Presence::required);
  if (text.empty()) return;
  const std::vector<std::string> range = split(text);
  const auto first = range.size() == 2 ? parse_port(range[0]) : std::nullopt;
  const auto last = range.size() == 2 ? parse_port(range[1]) : std::nullopt;
  if (!first || !last || *last - *first < storage_plane_port)
    return in.report("internalPorts", "'" + text + "' is not FIRST,LAST with at least two ports");
  out.first_port = static_cast<std::uint16_t>(*first);
  out.last_port = static_cast<std::uint16_t>(*last);
}

void read_addresses(SettingsReader& in, ProcessSettings& out) {
  out.front = in.address("listenAddrs.front");
  out.readiness = in.address("listenAddrs.readiness");
  out.control = in.address("listenAddrs.control");
  out.metrics = in.address("listenAddrs.metrics");
  read_internal_ports(in, out);
  std::string seeds;
  in.string("seedNodes", seeds, Presence::required);
  for (const std::string& seed : split(seeds)) {
    if (const auto address = net::parse_address(seed)) {
      out.seeds.push_back(*address);
    } else {
      in.report("seedNodes", "'" + seed + "' is not ADDRESS:PORT");
    }
  }
}

void read_limits(SettingsReader& in, ProcessSettings& out) {
  in.boolean("initialStart", out.initial_start);
  in.boolean("lossCounted", out.loss_counted);
  in.number("limits.memoryMb", out.memory_mb, 1, 1e7);
  in.number("limits.diskMb", out.disk_mb, 0, 1e9);
  in.number("limits.maxFds", out.descriptors, 64, 1e8);
  in.number("faultTolerance.machineLosses", out.machine_losses, 0, 1000);
  std::size_t zone_losses = 0;
  in.number("faultTolerance.zones", zone_losses, 0, 1000);
  out.machine_losses = std::max(out.machine_losses, zone_losses);
}

void read_platform(SettingsReader& in, ProcessSettings& out) {
  if (const auto platform = in.address("cloudApi.address")) out.platform = *platform;
  in.number("cloudApi.ratePerS", out.platform_rate, 0, 1e6);
  in.duration("cloudApi.lagMs", out.platform_lag, 1);
}

void read_time_bounds(SettingsReader& in, ProcessSettings& out) {
  in.duration("bounds.drainMs", out.drain, 1);
  in.duration("bounds.graceS", out.grace, 1000);
  in.duration("bounds.configApplyMs", out.config_apply, 1);
  in.duration("bounds.settleMs", out.settle, 1);
  in.duration("bounds.ackMs", out.ack, 1);
  in.duration("bounds.historyS", out.history, 1000);
}

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
  SettingsReader in(text);
  read_identity(in, out);
  read_addresses(in, out);
  read_limits(in, out);
  read_platform(in, out);
  read_time_bounds(in, out);
  if (!in.findings().none()) return in.findings().status();
  return out;
}

absl::StatusOr<ProcessSettings> load_settings(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return absl::NotFoundError(path + ": cannot be opened");
  std::string text(max_file_bytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  if (text.size() > max_file_bytes) return absl::InvalidArgumentError(path + ": is larger than 1 MiB");
  absl::StatusOr<ProcessSettings> out = read_settings(text);
  if (!out.ok()) return absl::InvalidArgumentError(path + ": " + std::string(out.status().message()));
  return out;
}

}  // namespace chutevane::common
