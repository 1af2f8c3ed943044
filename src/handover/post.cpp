#include "handover/post.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "base/log.hpp"

namespace chutevane::handover {
namespace {

using net::Waker;

constexpr char here_it_is = 'h', too_many = 'b', i_serve = 'S', i_do_not = 'N';
constexpr std::size_t listeners_most = 32;     // descriptors in one message; the kernel takes 253
constexpr std::size_t state_most = 4U << 20U;  // bytes: some ten thousand endpoints

struct Address {
  sockaddr_un un{};
  socklen_t size = sizeof(sockaddr_un);
  bool fits = false;
};

Address address_of(const std::string& place) {
  Address out;
  out.un.sun_family = AF_UNIX;
  out.fits = !place.empty() && place.size() < sizeof out.un.sun_path;
  if (out.fits) std::memcpy(out.un.sun_path, place.data(), place.size());
  return out;
}

int unix_socket() { return ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

// Whoever is asked, or asks, is of the same user: the folder may be open to others.
bool same_user(int fd) {
  ucred who{};
  socklen_t size = sizeof who;
  return ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &who, &size) == 0 && who.uid == ::geteuid();
}

// A text as a descriptor, or -1: it passes whole, whatever its size.
int sealed(const std::string& text) {
  const int fd = ::memfd_create("chutevane-handover", MFD_CLOEXEC | MFD_ALLOW_SEALING);
  if (fd < 0) return -1;
  std::size_t put = 0;
  while (put < text.size()) {
    const ssize_t n = ::write(fd, text.data() + put, text.size() - put);
    if (n <= 0) return ::close(fd), -1;
    put += static_cast<std::size_t>(n);
  }
  ::fcntl(fd, F_ADD_SEALS, F_SEAL_SHRINK | F_SEAL_GROW | F_SEAL_WRITE | F_SEAL_SEAL);
  return fd;
}

std::string read_all(int fd) {
  struct stat about {};
  if (::fstat(fd, &about) != 0 || about.st_size < 0 || about.st_size > static_cast<off_t>(state_most))
    return "";
  std::string out(static_cast<std::size_t>(about.st_size), '\0');
  const ssize_t got = ::pread(fd, out.data(), out.size(), 0);
  return got == about.st_size ? out : "";
}

union Control {
  cmsghdr head;
  std::array<char, CMSG_SPACE(sizeof(int) * (listeners_most + 1))> bytes;
};

bool send_with(int to, char word, const std::vector<int>& fds) {
  iovec part{&word, 1};
  Control control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  if (!fds.empty()) {
    message.msg_control = control.bytes.data();
    message.msg_controllen = CMSG_SPACE(sizeof(int) * fds.size());
    cmsghdr* const c = CMSG_FIRSTHDR(&message);
    c->cmsg_level = SOL_SOCKET;
    c->cmsg_type = SCM_RIGHTS;
    c->cmsg_len = CMSG_LEN(sizeof(int) * fds.size());
    std::memcpy(CMSG_DATA(c), fds.data(), sizeof(int) * fds.size());
  }
  return ::sendmsg(to, &message, MSG_NOSIGNAL) == 1;
}

// The word and the descriptors that came with it; '\0': none.
char take_with(int from, std::vector<int>& fds) {
  char word = '\0';
  iovec part{&word, 1};
  Control control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.bytes.data();
  message.msg_controllen = control.bytes.size();
  if (::recvmsg(from, &message, MSG_CMSG_CLOEXEC) != 1) return '\0';
  for (cmsghdr* c = CMSG_FIRSTHDR(&message); c != nullptr; c = CMSG_NXTHDR(&message, c)) {
    if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_RIGHTS) continue;
    const std::size_t n = (c->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    fds.resize(n);
    std::memcpy(fds.data(), CMSG_DATA(c), n * sizeof(int));
  }
  return word;
}

}  // namespace

Given& Given::operator=(Given&& o) noexcept {
  std::swap(busy, o.busy);
  std::swap(link, o.link);
  std::swap(listeners, o.listeners);
  std::swap(state, o.state);
  return *this;
}

Given::~Given() {
  if (link >= 0) ::close(link);
  for (const int fd : listeners) {
    if (fd >= 0) ::close(fd);
  }
}

std::string meeting_place(const std::string& folder, const std::string& name) {
  if (folder.empty()) return "";
  std::string plain;
  for (const char c : name) plain += std::isalnum(static_cast<unsigned char>(c)) != 0 ? c : '_';
  const std::string out = folder + "/chutevane-" + plain + ".sock";
  if (address_of(out + ".new").fits) return out;
  log_line("handover: %s is too long a name for a socket; a new version cannot take over", out.c_str());
  return "";
}

Given ask(const std::string& place, Span most) {
  Given out;
  const Address at = address_of(place);
  if (!at.fits) return out;
  out.link = unix_socket();
  if (out.link < 0) return out;
  const auto leave = [&]() -> Given {
    ::close(std::exchange(out.link, -1));
    return std::move(out);
  };
  if (::connect(out.link, reinterpret_cast<const sockaddr*>(&at.un), at.size) != 0 || !same_user(out.link))
    return leave();
  pollfd wait{out.link, POLLIN, 0};
  if (::poll(&wait, 1, static_cast<int>(most.as_ms())) != 1) {
    log_line("handover: the process at %s does not answer", place.c_str());
    return leave();
  }
  std::vector<int> fds;
  const char word = take_with(out.link, fds);
  out.busy = word == too_many;
  if (word != here_it_is || fds.size() < 2) {
    for (const int fd : fds) ::close(fd);
    return leave();
  }
  out.state = read_all(fds.front());
  ::close(fds.front());
  out.listeners.assign(fds.begin() + 1, fds.end());
  return out;
}

Link::Link(net::Scheduler& scheduler, std::function<void()> changed)
    : changed_(std::move(changed)), waker_(scheduler), socket_(scheduler, waker_) {}

void Link::adopt(int fd) {
  socket_.adopt(fd);
  serves_ = false;
  task_ = run();
  task_.start();
}

void Link::say(bool serve) {
  if (!lives()) return;
  const char word = serve ? i_serve : i_do_not;
  std::size_t written = 0;
  socket_.write({&word, 1}, written);
}

net::Task Link::run() {
  using net::Socket;
  while (true) {
    const Socket::Result result = socket_.read(buffer_);
    for (const char word : buffer_.bytes()) {
      if (word == i_serve || word == i_do_not) serves_ = word == i_serve;
    }
    const bool heard = !buffer_.empty();
    buffer_.consume(buffer_.size());
    const bool over = result == Socket::Result::ended || result == Socket::Result::broken;
    if (over) socket_.close();
    if (heard || over) changed_();
    if (over) break;
    co_await waker_.wait(Waker::readable | Waker::hung_up);
  }
}

Post::Post(net::Scheduler& scheduler, std::string place, std::function<Estate()> estate,
           std::function<void()> changed)
    : place_(std::move(place)),
      estate_(std::move(estate)),
      changed_(std::move(changed)),
      before_(scheduler, changed_),
      after_(scheduler, changed_),
      waker_(scheduler),
      socket_(scheduler, waker_) {}

// Bound under another name and moved over the old one: a successor finds one of both at any time, and what a
// dead process has left is no obstacle.
void Post::open() {
  const std::string fresh = place_ + ".new";
  const Address at = address_of(fresh);
  if (!at.fits) return;
  ::unlink(fresh.c_str());
  const int fd = unix_socket();
  const bool bound = fd >= 0 && ::bind(fd, reinterpret_cast<const sockaddr*>(&at.un), at.size) == 0 &&
                     ::chmod(fresh.c_str(), S_IRUSR | S_IWUSR) == 0 && ::listen(fd, 4) == 0 &&
                     ::rename(fresh.c_str(), place_.c_str()) == 0;
  if (!bound) {
    log_line("handover: %s: %s; a new version cannot take over", place_.c_str(), std::strerror(errno));
    if (fd >= 0) ::close(fd);
    return;
  }
  socket_.adopt(fd);
  task_ = accept();
  task_.start();
}

void Post::say(bool serve) {
  serve_ = serve;
  before_.say(serve);
  after_.say(serve);
}

bool Post::give(int fd) {
  Estate estate = estate_();
  const int text = sealed(estate.state);
  const bool closed =
      std::find(estate.listeners.begin(), estate.listeners.end(), -1) != estate.listeners.end();
  if (text < 0 || closed || estate.listeners.empty() || estate.listeners.size() > listeners_most) {
    if (text >= 0) ::close(text);
    return false;
  }
  estate.listeners.insert(estate.listeners.begin(), text);
  const bool out = send_with(fd, here_it_is, estate.listeners);
  ::close(text);
  return out;
}

net::Task Post::accept() {
  while (true) {
    bool exhausted = false;
    for (int fd = socket_.accept(exhausted); fd >= 0; fd = socket_.accept(exhausted)) {
      if (same_user(fd) && after_.lives()) {
        send_with(fd, too_many, {});
        ::close(fd);
      } else if (!same_user(fd) || !give(fd)) {  // it is to listen by itself
        ::close(fd);
      } else {
        log_line("handover: a successor starts");
        after_.adopt(fd);
        after_.say(serve_);
        changed_();
      }
    }
    co_await waker_.wait(Waker::readable);
  }
}

}  // namespace chutevane::handover
