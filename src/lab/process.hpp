// A sidecar's process: started, watched, ended. It ends with the lab, however the lab ends.
#pragma once

#include <netinet/in.h>
#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace chutevane::lab {

struct Usage {
  double cpu_ms = 0.0, user_ms = 0.0, system_ms = 0.0;
  double resident_kb = 0.0, most_resident_kb = 0.0;
};

// Of any process; nothing where there is none.
std::optional<Usage> usage_of(pid_t pid);

// Which of these processes has the connection from `end` to `other_end`; 0: none.
pid_t connected_from(const sockaddr_in& end, const sockaddr_in& other_end,
                     const std::vector<pid_t>& processes);

// The process that listens at an address, as far as this user may see; 0: none.
pid_t listening_at(const sockaddr_in& address);

class Process {
 public:
  Process() = default;
  ~Process() { kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Its output goes to `log`, behind what is there. Throws std::system_error.
  void start(const std::vector<std::string>& command, const std::string& log);
  void signal(int number);
  void kill();  // and waits for its end
  bool running() const { return pid_ > 0; }
  // How it ended, if it has since the last look: "exit status 1" or "signal 11".
  std::optional<std::string> ended();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;
};

// The last lines of a file.
std::string last_lines(const std::string& file, std::size_t lines);

}  // namespace chutevane::lab
