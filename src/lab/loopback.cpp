#include "lab/loopback.hpp"

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace chutevane::lab {
namespace {

constexpr std::size_t log_lines = 12;              // of a crashed sidecar that are shown
constexpr int first_block = 16, last_block = 250;  // of 127.N.0.0
constexpr std::uint16_t lock_port = 7900;
constexpr std::size_t descriptors_wanted = 20000;

class RealSidecar final : public SidecarProcess {
 public:
  RealSidecar(const Places& places, const std::string& name)
      : program_(places.sidecar), stem_(places.folder + "/" + name) {
    std::ofstream(log(), std::ios::trunc);
    store({});
    refuse_state(false);
  }
  void start(const std::string& config, bool operators_file) override {
    const std::string file = stem_ + (operators_file ? ".toml" : ".json");
    std::ofstream into(file, std::ios::trunc);
    into << config;
    if (!into.flush()) throw std::runtime_error(file + ": cannot be written");
    into.close();
    if (operators_file)
      process_.start({program_, "serve", file}, log());
    else
      process_.start({program_, "serve", "--config", file}, log());
  }
  void signal(int number) override { process_.signal(number); }
  void kill() override { process_.kill(); }
  std::optional<std::string> ended() override { return process_.ended(); }
  std::optional<Usage> usage() override { return usage_of(process_.pid()); }
  std::string last_log() override { return last_lines(log(), log_lines); }
  pid_t pid() const override { return process_.pid(); }
  void pause(Span) override { process_.signal(SIGSTOP); }
  void resume() override { process_.signal(SIGCONT); }
  std::string state_path() const override { return stem_ + ".state"; }
  std::vector<std::string> stored() override {
    std::vector<std::string> out;
    for (const std::string& one : {state_path(), state_path() + ".1"}) {
      std::ifstream in(one, std::ios::binary);
      if (in) out.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    }
    return out;
  }
  void store(const std::vector<std::string>& generations) override {
    const std::string files[] = {state_path(), state_path() + ".1"};
    for (std::size_t i = 0; i < std::size(files); ++i) {
      std::filesystem::remove(files[i]);
      if (i < generations.size()) std::ofstream(files[i], std::ios::binary) << generations[i];
    }
  }
  // A folder where the temporary file would be: also a user that may write anywhere cannot write there.
  void refuse_state(bool on) override {
    std::error_code ignored;
    const std::string beside = state_path() + ".new";
    std::filesystem::remove(beside, ignored);
    if (on) std::filesystem::create_directory(beside, ignored);
  }

 private:
  std::string log() const { return stem_ + ".log"; }
  std::string program_, stem_;
  Process process_;
};

}  // namespace

AddressBlock::AddressBlock() {
  const int offset = static_cast<int>(::getpid()) % (last_block - first_block);
  for (int i = 0; i <= last_block - first_block; ++i) {
    block_ = first_block + (offset + i) % (last_block - first_block + 1);
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in lock = at(0, 1, lock_port);
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&lock), sizeof lock) == 0) return;
    ::close(fd_);
  }
  fd_ = -1;
  throw std::runtime_error("all blocks of loopback addresses are taken by other labs");
}

AddressBlock::~AddressBlock() {
  if (fd_ >= 0) ::close(fd_);
}

sockaddr_in AddressBlock::at(int group, std::size_t number, std::uint16_t port) const {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr = htonl(127U << 24U | static_cast<std::uint32_t>(block_) << 16U |
                              static_cast<std::uint32_t>(group) << 8U | static_cast<std::uint32_t>(number));
  return out;
}

Loopback::Loopback(const Places& places) : places_(places) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = std::max(limit.rlim_cur, std::min<rlim_t>(limit.rlim_max, descriptors_wanted));
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  std::signal(SIGPIPE, SIG_IGN);
}

std::unique_ptr<SidecarProcess> Loopback::sidecar(const std::string& name, const sockaddr_in&) {
  return std::make_unique<RealSidecar>(places_, name);
}

}  // namespace chutevane::lab
