// What tests with whole fleets share.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <string>

namespace chutevane::lab {

// One of each kind of effect.
inline const std::string three_tracks = R"([[track]]
name = "plan"
share = 3
soft_limit_ms = 300
client_timeout_ms = 800
[[track]]
name = "alert"
effect = "referenced"
repeat_group = "zone"
repeat_window_ms = 3000
soft_limit_ms = 300
client_timeout_ms = 800
[[track]]
name = "sale"
effect = "single-use"
payoff = 4
soft_limit_ms = 300
client_timeout_ms = 800
)";

struct Folder {
  Folder() {
    char name[] = "/tmp/chutevane-lab-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

}  // namespace chutevane::lab
