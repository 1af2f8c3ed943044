#include "snapshot/file_snapshot_store.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace chutevane::snapshot {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds flush_timeout{
    500};  // a disk that takes longer may hang; shutdown does not wait for it
constexpr std::size_t max_boot_id_size = 64;

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::string text(max_snapshot_bytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  return text;
}

std::string error_text(const char* operation, const std::string& path) {
  return std::string(operation) + " " + path + ": " + std::strerror(errno);
}

// An open file; closes itself.
struct File {
  File(const std::string& path, int flags) : descriptor(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
  ~File() {
    if (is_open()) ::close(descriptor);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  bool is_open() const { return descriptor >= 0; }
  const int descriptor;
};

bool write_all(int descriptor, std::string_view text) {
  while (!text.empty()) {
    const ssize_t count = ::write(descriptor, text.data(), text.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

// The writing thread and what it shares with the store. The thread holds a reference of its own, so that it
// can be left behind where the disk never answers.
class Writer {
 public:
  explicit Writer(std::string path) : path_(std::move(path)), lock_file_(path_ + ".lock", O_RDWR | O_CREAT) {}

  const std::string& path() const { return path_; }

  // The thread's work, until stop().
  void run() {
    std::unique_lock guard(mutex_);
    while (true) {
      changed_.wait(guard, [&] { return stopping_ || next_; });
      if (!next_) return;
      const Snapshot snapshot = std::move(*std::exchange(next_, std::nullopt));
      is_writing_ = true;
      guard.unlock();
      const std::string error = write(snapshot);
      guard.lock();
      is_writing_ = false;
      ++(error.empty() ? counters_.written : counters_.failed);
      if (!error.empty()) counters_.last_error = error;
      changed_.notify_all();
    }
  }

  void save(Snapshot snapshot) {
    const std::unique_lock guard(mutex_);
    counters_.superseded += next_ ? 1 : 0;
    next_ = std::move(snapshot);
    changed_.notify_all();
  }
  void flush() {
    std::unique_lock guard(mutex_);
    changed_.wait_for(guard, flush_timeout, [&] { return !next_ && !is_writing_; });
  }
  // Ends run(); returns whether the thread is in the middle of a write.
  bool stop() {
    const std::unique_lock guard(mutex_);
    stopping_ = true;
    next_.reset();
    changed_.notify_all();
    return is_writing_;
  }
  StoreCounters counters() const {
    const std::unique_lock guard(mutex_);
    return counters_;
  }

 private:
  bool acquire_lock() {
    has_lock_ = has_lock_ || ::flock(lock_file_.descriptor, LOCK_EX | LOCK_NB) == 0;
    return has_lock_;
  }

  // What went wrong; empty: it is on disk.
  std::string write(const Snapshot& snapshot) {
    if (!lock_file_.is_open()) return path_ + ".lock: cannot be made";
    if (!acquire_lock()) return path_ + ".lock: another process of this sidecar holds it";
    const std::string text = serialize(snapshot);
    const std::string temporary_path = path_ + ".new";
    {
      const File file(temporary_path, O_WRONLY | O_CREAT | O_TRUNC);
      if (!file.is_open()) return error_text("open", temporary_path);
      if (!write_all(file.descriptor, text)) return error_text("write", temporary_path);
      if (::fsync(file.descriptor) != 0) return error_text("fsync", temporary_path);
    }
    // Between the two renames the generation before stands under its second name.
    if (std::rename(path_.c_str(), (path_ + ".1").c_str()) != 0 && errno != ENOENT)
      return error_text("rename", path_);
    if (std::rename(temporary_path.c_str(), path_.c_str()) != 0) return error_text("rename", temporary_path);
    const std::string folder = std::filesystem::path(path_).parent_path().string();
    const File directory(folder.empty() ? "." : folder, O_RDONLY | O_DIRECTORY);
    if (!directory.is_open() || ::fsync(directory.descriptor) != 0) return error_text("fsync", folder);
    return {};
  }

  const std::string path_;
  const File lock_file_;
  bool has_lock_ = false;  // the writing thread's alone
  mutable std::mutex mutex_;
  // Below: guarded by the mutex.
  std::condition_variable changed_;
  std::optional<Snapshot> next_;
  bool is_writing_ = false, stopping_ = false;
  StoreCounters counters_;
};

class FileSnapshotStore final : public SnapshotStore {
 public:
  explicit FileSnapshotStore(const std::string& path)
      : writer_(std::make_shared<Writer>(path)), boot_id_(read_machine_clock().boot_id) {
    // The thread inherits the signal mask: whoever opens a store has blocked the signals that it reads.
    thread_ = std::thread([writer = writer_] { writer->run(); });
  }
  ~FileSnapshotStore() override {
    flush();
    // A disk that never answers does not hold the process up.
    if (writer_->stop()) thread_.detach();
    if (thread_.joinable()) thread_.join();
  }
  FileSnapshotStore(const FileSnapshotStore&) = delete;
  FileSnapshotStore& operator=(const FileSnapshotStore&) = delete;

  ClockReading now() const override {
    ClockReading reading = read_machine_clock();
    reading.boot_id = boot_id_;
    return reading;
  }
  std::vector<std::string> read_generations() override {
    std::vector<std::string> generations;
    for (const char* suffix : {"", ".1"}) {
      if (std::optional<std::string> text = read_file(writer_->path() + suffix))
        generations.push_back(std::move(*text));
    }
    return generations;
  }
  void quarantine_newest() override {
    const std::string& path = writer_->path();
    std::rename((std::filesystem::exists(path) ? path : path + ".1").c_str(), (path + ".broken").c_str());
  }
  void save(Snapshot snapshot) override { writer_->save(std::move(snapshot)); }
  void flush() override { writer_->flush(); }
  StoreCounters counters() const override { return writer_->counters(); }

 private:
  std::shared_ptr<Writer> writer_;
  std::string boot_id_;
  std::thread thread_;
};

}  // namespace

ClockReading read_machine_clock() {
  ClockReading reading;
  std::ifstream in("/proc/sys/kernel/random/boot_id");
  if (std::getline(in, reading.boot_id) && reading.boot_id.size() > max_boot_id_size) reading.boot_id.clear();
  timespec uptime{};
  if (::clock_gettime(CLOCK_BOOTTIME, &uptime) != 0) reading.boot_id.clear();
  reading.uptime = Span::us(static_cast<std::int64_t>(uptime.tv_sec) * 1000000 + uptime.tv_nsec / 1000);
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  reading.unix_time =
      TimePoint() + Span::us(std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
  return reading;
}

std::unique_ptr<SnapshotStore> open_file_store(const std::string& path) {
  return std::make_unique<FileSnapshotStore>(path);
}

}  // namespace chutevane::snapshot
