// From one process to the next on the same address: the callers' listening descriptors, what is known, and a
// link that tells either whether the other lives and serves. A Unix socket in the folder that both have.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/scheduler.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace chutevane::handover {

// What a process that starts was given by the one that serves. Owns the descriptors that nobody took.
struct Given {
  Given() = default;
  Given(Given&& o) noexcept { *this = std::move(o); }
  Given& operator=(Given&& o) noexcept;
  ~Given();
  bool busy = false;  // another successor is starting already
  int link = -1;
  std::vector<int> listeners;
  std::string state;
};

// Where processes of this name meet; empty where the folder is not usable.
std::string meeting_place(const std::string& folder, const std::string& name);

// Asks the process that serves there, if one does, for so long at most. Blocks: a process that starts has
// nothing else to do yet. Nothing there, or a place that was left behind, gives no link.
Given ask(const std::string& place, Span most);

// What a process gives on.
struct Estate {
  std::vector<int> listeners;
  std::string state;
};

// One process's end of a link.
class Link {
 public:
  Link(net::Scheduler& scheduler, std::function<void()> changed);
  void adopt(int fd);
  bool lives() const { return socket_.open(); }
  bool serves() const { return lives() && serves_; }
  void say(bool serve);

 private:
  net::Task run();
  std::function<void()> changed_;
  net::Waker waker_;
  net::Socket socket_;
  net::Buffer buffer_;
  bool serves_ = false;
  net::Task task_;
};

class Post {
 public:
  // `changed`: a link came, went, or said something.
  Post(net::Scheduler& scheduler, std::string place, std::function<Estate()> estate,
       std::function<void()> changed);
  // The process before, which gave what this one serves with.
  void follow(int link) { before_.adopt(link); }
  // This process serves: successors are to come here, in place of whoever was asked before.
  void open();
  void say(bool serve);
  const Link& before() const { return before_; }
  const Link& after() const { return after_; }

 private:
  net::Task accept();
  bool give(int fd);

  const std::string place_;
  std::function<Estate()> estate_;
  std::function<void()> changed_;
  bool serve_ = false;
  Link before_, after_;
  net::Waker waker_;
  net::Socket socket_;
  net::Task task_;
};

}  // namespace chutevane::handover
