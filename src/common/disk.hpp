// What a disk is to the system's own state: files that are written, cut and synced, and faults at numbered
// points between these steps. Two implement it: the machine's folder, and a disk in memory for tests.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace chutevane::common {

class Disk {
 public:
  virtual ~Disk() = default;
  virtual std::vector<std::string> list_files() = 0;
  virtual absl::StatusOr<std::string> read(const std::string& name) = 0;  // NotFound: no such file
  // Behind its end; a file that is not there is made. Lasts with the next sync of that file.
  virtual absl::Status append(const std::string& name, std::string_view bytes) = 0;
  virtual absl::Status truncate(const std::string& name, std::size_t size) = 0;
  // What was written and cut before, and the file's own name, last from now on.
  virtual absl::Status sync(const std::string& name) = 0;
  // Until a new file is synced a loss of power may bring it back.
  virtual absl::Status remove(const std::string& name) = 0;
  // A name for a disk that no other disk has: 128 random bits, in hexadecimal digits.
  virtual std::string generate_id();
};

class FolderDisk final : public Disk {
 public:
  explicit FolderDisk(std::string folder) : folder_(std::move(folder)) {}
  ~FolderDisk() override;
  std::vector<std::string> list_files() override;
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::Status append(const std::string& name, std::string_view bytes) override;
  absl::Status truncate(const std::string& name, std::size_t size) override;
  absl::Status sync(const std::string& name) override;
  absl::Status remove(const std::string& name) override;

 private:
  struct File {
    int descriptor = -1;
    bool name_lasts = false;  // the folder was synced since this process has opened or made it
  };
  absl::StatusOr<int> open(const std::string& name, bool make);
  absl::Status sync_folder();
  const std::string folder_;
  std::map<std::string, File> files_;
};

// What goes wrong on a disk in memory.
enum class DiskFault : std::uint8_t {
  no_power,     // every step fails and does nothing
  full,         // a write leaves half of its bytes and fails; files can be cut and synced, not made
  sync_loses,   // a sync fails, and what it should have covered is never written: a later sync doesn't cover
                // it
  sync_unsure,  // a sync fails, and what it should have covered may be there or not; a later sync covers it
};

// A disk by the deployment's page: after a loss of power each write since the last sync is there, missing or
// torn. A fault is set at a numbered step; the steps that were counted tell how many points there are.
class MemoryDisk : public Disk {
 public:
  std::vector<std::string> list_files() override;
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::Status append(const std::string& name, std::string_view bytes) override;
  absl::Status truncate(const std::string& name, std::size_t size) override;
  absl::Status sync(const std::string& name) override;
  absl::Status remove(const std::string& name) override;

  // From step `point` on (0: the first) every step fails and does nothing, as on a machine without power.
  void fail_from(std::size_t point) { fail(DiskFault::no_power, point, never); }
  // The steps from `from` on and before `until` meet this fault; then the disk works again.
  void fail(DiskFault fault, std::size_t from, std::size_t until) {
    fault_ = fault;
    fail_from_ = from;
    works_from_ = until;
  }
  std::size_t steps() const { return steps_; }
  // Power comes back: of what was not synced each write is there, missing or torn, as `luck` says.
  void power_cycle(std::uint64_t luck);

 private:
  static constexpr auto never = static_cast<std::size_t>(-1);
  struct Write {
    bool is_cut = false;
    std::size_t size = 0;
    std::string bytes;
    bool lost = false;  // a failed sync has dropped it: it never reaches the disk
  };
  enum class Fate : std::uint8_t { missing, torn, whole };
  struct File {
    std::string synced, now;
    bool lasts = false;
    std::vector<Write> since;
  };
  bool meets(DiskFault fault) const {
    return fault_ == fault && steps_ >= fail_from_ && steps_ < works_from_;
  }
  // What these writes make of a file's content, each by its fate.
  static std::string replayed(std::string content, const std::vector<Write>& writes,
                              const std::function<Fate(const Write&)>& fate_of);
  std::map<std::string, File> files_;
  std::map<std::string, std::string> removed_;  // what they had, until a sync of the folder
  std::size_t steps_ = 0, fail_from_ = never, works_from_ = never;
  DiskFault fault_ = DiskFault::no_power;
};

// Frames records in a file: size, checksum, bytes; a torn or spoilt one ends what is read.
std::string framed(std::string_view record, std::uint64_t salt);
std::vector<std::string> unframed(std::string_view file, std::uint64_t salt,
                                  std::size_t* good_size = nullptr);

// A small state that survives: two slots written in turn, with a short log between.
//
// A slot holds the whole state under a rising number and a checksum; the log beside it the changes since.
// The older slot is the one written over, so that one whole state is always there. A log's records are bound
// to their slot's number: what a lost cut leaves of an older log is not taken for this one's.
//
// After an order that failed, what it left on the disk is unknown: its state may be read at the next start,
// or what was there before. Only a whole state may follow, into the slot that is not in use, again and again
// until that succeeds: its number is above all that a failed order can have left.
class DurableState {
 public:
  // `name`: of the state, begins its files' names.
  DurableState(Disk& disk, std::string name) : disk_(disk), name_(std::move(name)) {}
  struct Recovered {
    std::string checkpoint;  // of the newest good slot
    std::vector<std::string> changes;
  };
  // NotFound: there is no state yet. DataLoss: there was one, and none of it can be read. Other errors are
  // the disk's: a file that can't be read now is not taken for one that is not there, or an older state would
  // be taken for the newest.
  absl::StatusOr<Recovered> recover();
  // Lasts once this returns OK. What it held before lasts otherwise, or this: never a mix.
  absl::Status write_checkpoint(std::string_view checkpoint);
  // FailedPrecondition where a whole state has to be written first.
  absl::Status append_change(std::string_view change);
  // An order has failed and no whole state has been written since.
  bool needs_checkpoint() const { return needs_checkpoint_; }
  // Of slots and logs, where states and changes have so many bytes at most.
  static constexpr std::size_t max_disk_bytes(std::size_t state, std::size_t change) {
    return 2 * (state + record_head) + 2 * (log_most + change + record_head);
  }
  bool is_log_full() const { return log_size_ > log_most; }

 private:
  static constexpr std::size_t log_most = 512 * 1024;  // bytes: read again within some ms
  static constexpr std::size_t record_head = 24;       // bytes: of a frame, and a slot's number
  std::string file(const char* kind, int slot) const { return name_ + "." + kind + std::to_string(slot); }
  Disk& disk_;
  const std::string name_;
  int current_ = 1;  // the first write goes to slot 0
  std::uint64_t number_ = 0;
  std::size_t log_size_ = 0;
  bool needs_checkpoint_ = false;
  bool unread_ = false;  // open() has failed: what is written now could hide a newer state
};

}  // namespace chutevane::common
