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

#include "snapshot/store.hpp"

namespace chutevane::snapshot {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds settle_most{500};  // a disk that takes longer may never come back; a drain goes on
constexpr std::size_t boot_id_most = 64;

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::string text(text_most + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  return text;
}

std::string failed(const char* what, const std::string& path) {
  return std::string(what) + " " + path + ": " + std::strerror(errno);
}

// Descriptors that close themselves.
struct Opened {
  Opened(const std::string& path, int flags) : fd(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
  ~Opened() {
    if (fd >= 0) ::close(fd);
  }
  Opened(const Opened&) = delete;
  Opened& operator=(const Opened&) = delete;
  const int fd;
};

bool write_all(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t n = ::write(fd, text.data(), text.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// What the writing thread and its owner share; the thread keeps it alive where the disk never answers.
struct Desk {
  explicit Desk(std::string p) : path(std::move(p)), lock(path + ".lock", O_RDWR | O_CREAT) {}

  bool hold() {
    held = held || ::flock(lock.fd, LOCK_EX | LOCK_NB) == 0;
    return held;
  }

  // What went wrong; empty: it is down.
  std::string write_down(const Content& content) {
    if (lock.fd < 0) return path + ".lock: cannot be made";
    if (!hold()) return path + ".lock: another process of this sidecar holds it";
    const std::string text = write(content), beside = path + ".new";
    {
      const Opened file(beside, O_WRONLY | O_CREAT | O_TRUNC);
      if (file.fd < 0) return failed("open", beside);
      if (!write_all(file.fd, text)) return failed("write", beside);
      if (::fsync(file.fd) != 0) return failed("fsync", beside);
    }
    // Between the two renames the generation before stands under its second name.
    if (std::rename(path.c_str(), (path + ".1").c_str()) != 0 && errno != ENOENT)
      return failed("rename", path);
    if (std::rename(beside.c_str(), path.c_str()) != 0) return failed("rename", beside);
    const std::string folder = std::filesystem::path(path).parent_path().string();
    const Opened dir(folder.empty() ? "." : folder, O_RDONLY | O_DIRECTORY);
    if (dir.fd < 0 || ::fsync(dir.fd) != 0) return failed("fsync", folder);
    return {};
  }

  void run() {
    std::unique_lock guard(mutex);
    while (true) {
      changed.wait(guard, [&] { return over || next; });
      if (!next) return;
      const Content content = std::move(*std::exchange(next, std::nullopt));
      busy = true;
      guard.unlock();
      const std::string trouble = write_down(content);
      guard.lock();
      busy = false;
      ++(trouble.empty() ? counters.written : counters.failed);
      if (!trouble.empty()) counters.trouble = trouble;
      changed.notify_all();
    }
  }

  const std::string path;
  const Opened lock;
  bool held = false;  // the thread's alone, once it runs
  std::mutex mutex;
  std::condition_variable changed;
  std::optional<Content> next;
  bool busy = false, over = false;
  StoreCounters counters;
};

class Files final : public Store {
 public:
  explicit Files(const std::string& path)
      : desk_(std::make_shared<Desk>(path)), boot_(stamp_of_machine().boot) {
    // It inherits the signal mask: whoever opens a store has blocked what it reads as signals.
    thread_ = std::thread([desk = desk_] { desk->run(); });
  }
  ~Files() override {
    settle();
    {
      const std::unique_lock guard(desk_->mutex);
      desk_->over = true;
      desk_->next.reset();
      desk_->changed.notify_all();
      // Guards the process's end against a disk that never answers.
      if (desk_->busy) thread_.detach();
    }
    if (thread_.joinable()) thread_.join();
  }
  Files(const Files&) = delete;
  Files& operator=(const Files&) = delete;

  Stamp now() const override {
    Stamp out = stamp_of_machine();
    out.boot = boot_;
    return out;
  }
  std::vector<std::string> generations() override {
    std::vector<std::string> out;
    for (const char* end : {"", ".1"}) {
      if (std::optional<std::string> text = read_file(desk_->path + end)) out.push_back(std::move(*text));
    }
    return out;
  }
  void set_aside_newest() override {
    const std::string& path = desk_->path;
    std::rename((std::filesystem::exists(path) ? path : path + ".1").c_str(), (path + ".broken").c_str());
  }
  void put(Content content) override {
    const std::unique_lock guard(desk_->mutex);
    desk_->counters.passed_over += desk_->next ? 1 : 0;
    desk_->next = std::move(content);
    desk_->changed.notify_all();
  }
  void settle() override {
    std::unique_lock guard(desk_->mutex);
    desk_->changed.wait_for(guard, settle_most, [&] { return !desk_->next && !desk_->busy; });
  }
  StoreCounters counters() const override {
    const std::unique_lock guard(desk_->mutex);
    return desk_->counters;
  }

 private:
  std::shared_ptr<Desk> desk_;
  std::string boot_;
  std::thread thread_;
};

}  // namespace

Stamp stamp_of_machine() {
  Stamp out;
  std::ifstream in("/proc/sys/kernel/random/boot_id");
  if (std::getline(in, out.boot) && out.boot.size() > boot_id_most) out.boot.clear();
  timespec up{};
  if (::clock_gettime(CLOCK_BOOTTIME, &up) != 0) out.boot.clear();
  out.up = Span::us(static_cast<std::int64_t>(up.tv_sec) * 1000000 + up.tv_nsec / 1000);
  out.unix_time = TimePoint() + Span::us(std::chrono::duration_cast<std::chrono::microseconds>(
                                             std::chrono::system_clock::now().time_since_epoch())
                                             .count());
  return out;
}

std::unique_ptr<Store> open_files(const std::string& path) { return std::make_unique<Files>(path); }

}  // namespace chutevane::snapshot
