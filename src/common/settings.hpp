/// The settings file of a process, with lines `a.b=value`.
///
/// The file is parsed and validated as a whole: a file with any error is rejected, and the status has all
/// findings. Settings that the file omits have the defaults given here.
#pragma once

#include <netinet/in.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "chutevane/types.hpp"

namespace chutevane::common {

/// The settings of one process.
struct ProcessSettings {
  std::string node;  ///< name of the sidecar, unique in the system
  std::string zone;  ///< failure domain
  std::string ip;    ///< IPv4 address at which peers reach this process
  /// Address at which it listens for peers if that is not `ip`, as behind a relay or NAT; empty otherwise.
  std::string bind_ip;
  // Listening addresses. If one is absent, its service is disabled.
  std::optional<sockaddr_in> front;      ///< for clients
  std::optional<sockaddr_in> readiness;  ///< for the platform's readiness checks
  std::optional<sockaddr_in> control;    ///< for operators
  std::optional<sockaddr_in> metrics;    ///< for OpenMetrics scrapers; if absent, the program's default port
  std::uint16_t first_port = 0;          ///< first port of the range of internal ports
  std::uint16_t last_port = 0;           ///< last port of that range
  std::vector<sockaddr_in> seeds;        ///< internal addresses of control sidecars to contact first
  bool initial_start = false;            ///< the whole system is started for the first time
  bool loss_counted = false;             ///< sent to control sidecars, which do not use it yet
  std::string data_dir;                  ///< data directory; empty if the process has no disk
  double memory_mb = 0;                  ///< memory limit in 10^6 bytes; 0 if not configured
  double disk_mb = 0;                    ///< disk limit in 10^6 bytes; 0 if not configured
  std::size_t descriptors = 1024;        ///< file descriptors that the process may open
  /// Number of machines with a disk, or of zones, that may be lost at the same time. Replicas are spread over
  /// as many zones as there are.
  std::size_t machine_losses = 1;
  sockaddr_in platform{};       ///< API of the platform, which lists the endpoints
  double platform_rate = 0;     ///< calls per second to that API, by all sidecars together
  Span grace = Span::ms(8000);  ///< maximum time from SIGTERM to the end of the process
  Span history =
      Span::ms(20000);  ///< how long watchers of keys may resume from a revision they have received
  // Parsed and validated, but not used yet.
  std::string role, machine_class, serves, region;
  std::map<std::string, std::string> zones;  ///< region by zone
  Span platform_lag = Span::ms(800);
  Span drain = Span::ms(3000), config_apply = Span::ms(2000), settle = Span::ms(1000), ack = Span::ms(4000);

  /// Returns the address at which peers reach a plane of this sidecar. Each plane has its own port, so that
  /// several roles can share a machine. `plane` is the offset in the range of internal ports.
  sockaddr_in internal_address(int plane) const;
  /// Returns the address at which the process listens for peers: the same port, at `bind_ip` if it is set.
  sockaddr_in internal_listen_address(int plane) const;
};

// Offsets in the range of internal ports.
constexpr int control_plane_port = 0;
constexpr int storage_plane_port = 1;

/// Parses and validates settings. Returns InvalidArgument with all findings, each with its line, if they are
/// invalid.
absl::StatusOr<ProcessSettings> read_settings(std::string_view text);
/// Reads a settings file. Returns NotFound if it cannot be opened, and InvalidArgument if it is larger than 1
/// MiB or read_settings() rejects it.
absl::StatusOr<ProcessSettings> load_settings(const std::string& path);

/// Environment variable that names the settings file.
constexpr const char* settings_variable = "CHUTEVANE_SETTINGS";
/// The settings file used if neither the command line nor the variable names one.
constexpr const char* settings_default = "/etc/chutevane/boot.conf";

}  // namespace chutevane::common
