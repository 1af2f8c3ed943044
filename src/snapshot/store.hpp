// Where snapshots lie: two generations, the newer one first, and one of a broken one set aside by name.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "snapshot/form.hpp"

namespace chutevane::snapshot {

struct StoreCounters {
  std::uint64_t written = 0, failed = 0;
  std::uint64_t passed_over = 0;  // given while the one before was still being written, and replaced
  std::string trouble;            // of the last that failed
};

class Store {
 public:
  virtual ~Store() = default;
  virtual Stamp now() const = 0;
  // What lies there, the newer generation first. Bounded: of each at most text_most + 1 bytes.
  virtual std::vector<std::string> generations() = 0;
  // The newest one is broken: it is kept under another name, for whoever wants to look.
  virtual void set_aside_newest() = 0;
  // Takes it over and writes it soon, off the caller's path. The newest counts where writing is slow.
  virtual void put(Content content) = 0;
  // Waits until all that was put is down, for a bounded time.
  virtual void settle() = 0;
  virtual StoreCounters counters() const = 0;
};

// In files PATH and PATH.1, written by a thread of their own: a temporary file, its fsync, two renames and
// the folder's fsync, so that at every moment one whole generation has a name. Two processes of one sidecar
// may live at a time, and a wrong configuration may name one path twice: who holds PATH.lock writes, the
// other tries again with its next snapshot.
std::unique_ptr<Store> open_files(const std::string& path);

// The clocks of this machine.
Stamp stamp_of_machine();

}  // namespace chutevane::snapshot
