// The settings file of a process: lines `a.b=value`. Read whole, checked whole, findings together.
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
  std::string node, role, machine_class, serves, zone, region;
  std::string ip;
  std::string bind_ip;  // where peers are heard, if not at `ip`: behind a relay or a translated address
  std::map<std::string, std::string> zones;  // to their regions
  std::optional<sockaddr_in> front, readiness, control, metrics;
  std::uint16_t first_port = 0, last_port = 0;
  std::vector<sockaddr_in> seeds;  // control addresses of sidecars that serve it
  bool initial_start = false, loss_counted = false;
  std::string data_dir;  // empty: no disk
  double memory_mb = 0, disk_mb = 0;
  std::size_t descriptors = 1024;
  // Machines with a disk, or zones, that may be lost at once: copies lie in as many zones as there are.
  std::size_t machine_losses = 1;
  sockaddr_in platform{};    // of the list of endpoints
  double platform_rate = 0;  // calls a second of all sidecars together
  Span platform_lag = Span::ms(800);
  Span drain = Span::ms(3000), grace = Span::ms(8000), config_apply = Span::ms(2000), settle = Span::ms(1000);
  Span ack = Span::ms(4000);

  // Where a sidecar hears its peers: one port for each plane, so that two roles share a machine.
  sockaddr_in internal_address(int plane) const;
  // Where the process listens for them: at the same port, of `bind_ip` where there is one.
  sockaddr_in internal_listen_address(int plane) const;
};

constexpr int control_plane_port = 0, storage_plane_port = 1;  // places in the range of internal ports

// All findings of one reading are in the error, each with its line.
absl::StatusOr<ProcessSettings> read_settings(std::string_view text);
absl::StatusOr<ProcessSettings> load_settings(const std::string& path);
constexpr const char* settings_variable = "CHUTEVANE_SETTINGS";
constexpr const char* settings_default = "/etc/chutevane/boot.conf";

}  // namespace chutevane::common
