/// The settings file of a process: lines `a.b=value`, one file a process.
///
/// It is read and checked as one: a file with any finding is rejected, and the error has all findings. What
/// the file leaves out has the default that is given here.
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

struct ProcessSettings {
  std::string node;  ///< name of the sidecar, unique in the system
  std::string zone;  ///< failure domain
  std::string ip;    ///< IPv4 address at which peers reach this process
  /// Where it listens for them, if not at `ip`: behind a relay or a translated address.
  std::string bind_ip;
  // Listening addresses; where one is absent, nothing is served there.
  std::optional<sockaddr_in> front;      ///< for clients
  std::optional<sockaddr_in> readiness;  ///< for the platform's readiness checks
  std::optional<sockaddr_in> control;    ///< for operators
  std::optional<sockaddr_in> metrics;    ///< for OpenMetrics scrapers; absent: the program's default port
  std::uint16_t first_port = 0;          ///< of the range of internal ports
  std::uint16_t last_port = 0;
  std::vector<sockaddr_in> seeds;  ///< internal addresses of control sidecars that are contacted first
  bool initial_start = false;      ///< the whole system starts for the first time
  bool loss_counted = false;       ///< sent to control sidecars, which do not use it yet
  std::string data_dir;            ///< empty: no disk
  double memory_mb = 0;            ///< 10^6 bytes; 0: not stated
  double disk_mb = 0;              ///< 10^6 bytes; 0: not stated
  std::size_t descriptors = 1024;  ///< file descriptors that the process may open
  /// Machines with a disk, or zones, that may be lost at once: replicas lie in as many zones as there are.
  std::size_t machine_losses = 1;
  sockaddr_in platform{};          ///< API of the platform, which lists the endpoints
  double platform_rate = 0;        ///< calls a second to it, of all sidecars together
  Span grace = Span::ms(8000);     ///< from SIGTERM to the end of the process, at most
  Span history = Span::ms(20000);  ///< for how long watchers of keys may resume from a revision that they got
  // Read and checked, not used yet.
  std::string role, machine_class, serves, region;
  std::map<std::string, std::string> zones;  ///< region by zone
  Span platform_lag = Span::ms(800);
  Span drain = Span::ms(3000), config_apply = Span::ms(2000), settle = Span::ms(1000), ack = Span::ms(4000);

  /// Where peers reach a plane of this sidecar: each plane has a port of its own, so that two roles share a
  /// machine. `plane`: offset in the range of internal ports.
  sockaddr_in internal_address(int plane) const;
  /// Where the process listens for them: the same port, at `bind_ip` where there is one.
  sockaddr_in internal_listen_address(int plane) const;
};

// Offsets in the range of internal ports.
constexpr int control_plane_port = 0;
constexpr int storage_plane_port = 1;

/// InvalidArgument: all findings of the text, each with its line.
absl::StatusOr<ProcessSettings> read_settings(std::string_view text);
/// NotFound: the file cannot be opened. InvalidArgument: as read_settings, or over 1 MiB.
absl::StatusOr<ProcessSettings> load_settings(const std::string& path);

/// Environment variable that names the settings file.
constexpr const char* settings_variable = "CHUTEVANE_SETTINGS";
/// The file where neither the command line nor the variable names one.
constexpr const char* settings_default = "/etc/chutevane/boot.conf";

}  // namespace chutevane::common
