#include "lab/process.hpp"

#include <fcntl.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <system_error>

namespace chutevane::lab {

std::optional<Usage> usage_of(pid_t pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream stat(folder + "/stat"), status(folder + "/status");
  std::string line;
  if (!stat || !std::getline(stat, line)) return std::nullopt;
  std::istringstream rest(line.substr(line.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < 11; ++i) rest >> skipped;
  double user = 0, system = 0;
  rest >> user >> system;
  const double tick_ms = 1000.0 / static_cast<double>(::sysconf(_SC_CLK_TCK));
  Usage out;
  out.user_ms = user * tick_ms;
  out.system_ms = system * tick_ms;
  out.cpu_ms = out.user_ms + out.system_ms;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) out.resident_kb = std::stod(line.substr(6));
    if (line.starts_with("VmHWM:")) out.most_resident_kb = std::stod(line.substr(6));
  }
  return out;
}

namespace {

constexpr const char* listening = "0A";  // a state in the kernel's table

// How descriptors name the socket with that local end; empty: there is none. `state`: only one in that state.
// The table has a line for each connection of the machine, also for those that are long over: it is searched
// as text, and only the line that is found is read.
std::string socket_at(const sockaddr_in& end, const std::string& wanted_state) {
  char wanted[24];
  std::snprintf(wanted, sizeof wanted, ": %08X:%04X ", end.sin_addr.s_addr, ntohs(end.sin_port));
  std::ifstream in("/proc/net/tcp");
  const std::string table{std::istreambuf_iterator<char>(in), {}};
  for (std::size_t at = table.find(wanted); at != std::string::npos; at = table.find(wanted, at + 1)) {
    std::istringstream fields(table.substr(at + 2, table.find('\n', at) - at - 2));
    std::string local, remote, state, skipped, inode;  // ... queues timer retransmits uid timeout inode
    fields >> local >> remote >> state >> skipped >> skipped >> skipped >> skipped >> skipped >> inode;
    if (wanted_state.empty() || state == wanted_state) return "socket:[" + inode + "]";
  }
  return "";
}

// The number of the socket with these ends, by one question to the kernel: its table of all connections takes
// too long to read where other programs have left many. 0: there is none, or the kernel does not answer such
// questions.
std::uint32_t inode_of(const sockaddr_in& end, const sockaddr_in& other_end) {
  const int fd = ::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (fd < 0) return 0;
  struct {
    nlmsghdr head;
    inet_diag_req_v2 request;
  } question{};
  question.head.nlmsg_len = sizeof question;
  question.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  question.head.nlmsg_flags = NLM_F_REQUEST;
  question.request.sdiag_family = AF_INET;
  question.request.sdiag_protocol = IPPROTO_TCP;
  question.request.idiag_states = ~0U;
  inet_diag_sockid& id = question.request.id;
  id.idiag_sport = end.sin_port;
  id.idiag_dport = other_end.sin_port;
  id.idiag_src[0] = end.sin_addr.s_addr;
  id.idiag_dst[0] = other_end.sin_addr.s_addr;
  id.idiag_cookie[0] = id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  char answer[4096];
  ssize_t size = -1;
  if (::send(fd, &question, sizeof question, 0) == static_cast<ssize_t>(sizeof question))
    size = ::recv(fd, answer, sizeof answer, MSG_DONTWAIT);
  ::close(fd);
  nlmsghdr head{};
  inet_diag_msg found{};
  if (size < static_cast<ssize_t>(NLMSG_LENGTH(sizeof found))) return 0;
  std::memcpy(&head, answer, sizeof head);
  if (head.nlmsg_type != SOCK_DIAG_BY_FAMILY) return 0;
  std::memcpy(&found, answer + NLMSG_HDRLEN, sizeof found);
  return found.idiag_inode;
}

bool has_descriptor(const std::string& process, const std::string& socket) {
  std::error_code error;
  for (const auto& fd : std::filesystem::directory_iterator("/proc/" + process + "/fd", error)) {
    if (std::filesystem::read_symlink(fd, error) == socket) return true;
  }
  return false;
}

}  // namespace

pid_t connected_from(const sockaddr_in& end, const sockaddr_in& other_end,
                     const std::vector<pid_t>& processes) {
  const std::uint32_t inode = inode_of(end, other_end);
  const std::string socket = inode != 0 ? "socket:[" + std::to_string(inode) + "]" : socket_at(end, "");
  if (socket.empty()) return 0;
  for (const pid_t pid : processes) {
    if (has_descriptor(std::to_string(pid), socket)) return pid;
  }
  return 0;
}

pid_t listening_at(const sockaddr_in& address) {
  const std::string socket = socket_at(address, listening);
  if (socket.empty()) return 0;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator("/proc", error)) {
    const std::string name = entry.path().filename();
    if (name.find_first_not_of("0123456789") != std::string::npos) continue;
    if (has_descriptor(name, socket)) return static_cast<pid_t>(std::stol(name));
  }
  return 0;
}

void Process::start(const std::vector<std::string>& command, const std::string& log) {
  kill();
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (out < 0) throw std::system_error(errno, std::generic_category(), log);
  std::vector<char*> words;
  for (const std::string& word : command) words.push_back(const_cast<char*>(word.c_str()));
  words.push_back(nullptr);
  const pid_t parent = ::getpid();
  // Ends in the child with its own program: until then the child holds the lab's sockets open, listeners too.
  int begun[2] = {-1, -1};
  if (::pipe2(begun, O_CLOEXEC) != 0) {
    const int error = errno;
    ::close(out);
    throw std::system_error(error, std::generic_category(), "pipe");
  }
  const pid_t pid = ::fork();
  if (pid < 0) {
    const int error = errno;
    for (const int fd : {out, begun[0], begun[1]}) ::close(fd);
    throw std::system_error(error, std::generic_category(), "fork");
  }
  if (pid == 0) {
    // Guards against a sidecar that outlives a killed lab; the lab may have ended before this line.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(126);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execv(words[0], words.data());
    ::_exit(127);
  }
  ::close(out);
  ::close(begun[1]);
  char nothing = 0;
  while (::read(begun[0], &nothing, 1) < 0 && errno == EINTR) {
  }
  ::close(begun[0]);
  pid_ = pid;
}

void Process::signal(int number) {
  if (pid_ > 0) ::kill(pid_, number);
}

void Process::kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  while (::waitpid(pid_, nullptr, 0) < 0 && errno == EINTR) {
  }
  pid_ = 0;
}

std::optional<std::string> Process::ended() {
  int status = 0;
  if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = 0;
  if (WIFSIGNALED(status)) return "signal " + std::to_string(WTERMSIG(status));
  return "exit status " + std::to_string(WEXITSTATUS(status));
}

std::string last_lines(const std::string& file, std::size_t lines) {
  std::ifstream in(file);
  std::deque<std::string> kept;
  std::string line;
  while (std::getline(in, line)) {
    kept.push_back(line);
    if (kept.size() > lines) kept.pop_front();
  }
  std::string out;
  for (const std::string& one : kept) out += one + "\n";
  return out;
}

}  // namespace chutevane::lab
