// A sidecar's sessions with control: held connections to a few control sidecars, down which numbered changes
// come. It is a member while one stands.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/endpoint_book.hpp"
#include "common/messages.hpp"
#include "common/rpc.hpp"
#include "common/settings.hpp"
#include "common/value_update.hpp"

namespace chutevane::common {

class Sessions {
 public:
  Sessions(net::Scheduler& scheduler, net::TimerQueue& later, const ProcessSettings& settings, Member self);
  // Told of each newer value and list, numbers rising.
  void on_value(std::function<void(const Value&)> told) { told_value_ = std::move(told); }
  void on_list(std::function<void(const EndpointBook&)> told) { told_list_ = std::move(told); }
  const std::optional<Value>& value() const { return values_.value(); }
  const EndpointBook& list() const { return list_; }
  void tell_whole(std::int64_t map) {
    self_.whole = map;
    tell_all();
  }
  // It is about to go: what it holds is to be taken over. It is a member still.
  void tell_leaving() {
    self_.leaving = true;
    tell_all();
  }
  void tell_disk_failing(bool failing) {
    self_.disk_failing = failing;
    tell_all();
  }
  // The settings name other seeds now.
  void reread(const ProcessSettings& settings);
  // The last word: the sidecar leaves.
  void end() {
    ending_ = true;
    tell_all();
  }
  std::size_t standing() const;
  // Since nothing newer can have been chosen than what is held here, as the best session proves.
  Span knowledge_age() const;
  // Sidecars of the traffic that are members, as control last told; 1 at least.
  std::size_t edges() const { return edges_; }

 private:
  struct Way {
    std::unique_ptr<RpcClient> link;
    TimePoint since;  // when it was begun: it is given some time to answer
    TimePoint heard;  // when a heartbeat came last
    // Nothing that was chosen before it is newer than what this controller has sent: the stamp of a Hello
    // that it has echoed, less the age of its own knowledge. Its clock does not matter, nor how long a
    // message was under way.
    TimePoint confirmed;
    std::int64_t confirmed_number = 0;  // the newest value that it named with that proof
    std::int64_t refused = 0;           // the newest push that could not be applied: to be sent whole
  };
  void tick();
  void tell_all();
  void tell(Way& way);
  void choose();
  bool usable(const Way& way) const;
  bool may_become_usable(const Way& way) const;
  bool first_stays() const;
  void word(const std::string& address, std::uint8_t kind, std::string_view record);
  void pushed(Way& way, Push push);

  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const std::uint16_t port_;  // of control's plane, on all machines
  Member self_;
  bool ending_ = false;
  std::size_t edges_ = 1;
  std::vector<std::string> seeds_, controllers_;
  std::map<std::string, Way> ways_;
  std::vector<std::unique_ptr<RpcClient>> leaving_;  // destroyed by a later tick
  ValueReceiver values_;
  EndpointBook list_;
  std::string first_;  // the way that changes come down at once; the others wait whether they are needed
  std::function<void(const Value&)> told_value_;
  std::function<void(const EndpointBook&)> told_list_;
};

// An address of control's that clients call, as the one where its peers do.
std::string inner_address(const sockaddr_in& control, std::uint16_t port);

}  // namespace chutevane::common
