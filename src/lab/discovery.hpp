// Stand-in discovery: a book that says which endpoints a tier has, and an agent beside each sidecar that
// tells it, late as the time line says. The form and the watch are the platform's.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/parser.hpp"
#include "lab/endpoint.hpp"
#include "lab/listener.hpp"
#include "lab/timeline.hpp"
#include "net/task_group.hpp"

namespace chutevane::lab {

struct Listed {
  std::string id, address, zone;
  std::size_t cell = 0;
  Availability availability = Availability::ready;
  TimePoint came_up;
  EndpointKey key = 0;
};

// Every change a tier's list has had, in order; the version is the number of changes.
class Book {
 public:
  struct Change {
    TimePoint at;
    Listed entry;
  };
  void publish(const Listed& entry, TimePoint now) { changes_.push_back({now, entry}); }
  const std::vector<Change>& changes() const { return changes_; }

 private:
  std::vector<Change> changes_;
};

// What an agent has been sent of a book.
class View {
 public:
  explicit View(const Book& book) : book_(book) {}
  // Takes over what was published at least `delay` ago; whether that was something.
  bool advance(TimePoint now, Span delay);
  // When the next change is due; never when none is on its way.
  TimePoint next(Span delay) const;
  std::size_t version() const { return seen_; }
  // The whole list, or what came after that version: discovery's JSON.
  // Addresses as this agent's sidecar is to see them.
  std::function<std::string(const std::string&)> seen_as;  // none: as they are
  std::string whole() const;
  std::string after(std::size_t version) const;
  // Those that take nothing new, by the changes after a version up to another.
  std::vector<EndpointKey> closed(std::size_t after, std::size_t to) const;

 private:
  const Book& book_;
  std::size_t seen_ = 0;
  std::map<std::string, Listed> entries_;  // by id; gone ones stay out
};

class DiscoveryAgent;

class AgentConnection {
 public:
  AgentConnection(net::Scheduler& scheduler, DiscoveryAgent& owner, int fd);
  std::size_t group_index = 0;

 private:
  friend class DiscoveryAgent;
  static constexpr net::Waker::Bits due = net::Waker::own, news = net::Waker::own << 1U,
                                    dropped = net::Waker::own << 2U;
  net::Task run();
  bool read_query(std::size_t& after, Span& wait) const;  // whether it is a watch

  net::Scheduler& scheduler_;
  DiscoveryAgent& owner_;
  net::Waker waker_;
  net::Timer timer_;
  net::Socket socket_;
  net::Buffer in_, out_;
  http::Parser parser_{http::Side::request};
  std::size_t told_ = 0;  // the version that its reader has had, where that is held against it
  net::Task task_;
};

class DiscoveryAgent final : public Acceptor {
 public:
  // Tells of `book` to that sidecar, `delay` after each change; what it has told the auditor hears.
  DiscoveryAgent(net::Scheduler& scheduler, const Book& book, std::size_t sidecar, Span delay,
                 Shared& shared);
  void open(const sockaddr_in& at) { listener_.open(at); }
  void suffer(const ListIlls& ills);
  void look();                                         // after a change of the book
  std::string known() const { return view_.whole(); }  // as a sidecar that starts has it
  // Its sidecar reaches endpoints by other addresses: those of relays.
  void shows(std::function<std::string(const std::string&)> seen_as) { view_.seen_as = std::move(seen_as); }
  void accepted(int fd) override;

 private:
  friend class AgentConnection;
  net::Task keep_time();
  void tell(std::size_t after, std::size_t to, TimePoint at);
  void wake_all();

  net::Scheduler& scheduler_;
  View view_;
  std::size_t sidecar_;
  Span delay_;
  Shared& shared_;
  ListIlls ills_;
  Listener listener_;
  net::TaskGroup<AgentConnection> connections_;
  net::Waker waker_;
  net::Timer timer_;
  net::Task timekeeper_;
};

}  // namespace chutevane::lab
