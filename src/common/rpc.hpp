// Held connections between the system's own processes: framed Avro records, calls with answers, and words
// without. RpcClient is the end that connects, and connects again; RpcServer the end that is connected to.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "absl/status/statusor.h"
#include "common/avro.hpp"
#include "net/channel.hpp"
#include "net/crew.hpp"
#include "net/timer_queue.hpp"

namespace chutevane::common {

namespace frame {

enum class Sort : std::uint8_t { word, call, answer };
struct Head {
  std::uint32_t size = 0;  // of the record behind it
  std::uint8_t kind = 0;
  Sort sort = Sort::word;
  std::uint64_t number = 0;  // of a call, repeated in its answer
};
constexpr std::size_t head_size = 14;              // bytes
constexpr std::uint32_t record_most = 64U << 20U;  // bytes: a configuration of 4 MB many times over

void put(net::Buffer& out, std::uint8_t kind, Sort sort, std::uint64_t number, std::string_view record);
enum class Progress : std::uint8_t { more, whole, broken };
// The frame at the front, if it is whole; its record is at bytes + head_size.
Progress look(std::span<const char> bytes, Head& head);

}  // namespace frame

class RpcClient final : net::Channel::Sink {
 public:
  using Answered = std::function<void(absl::StatusOr<std::string>)>;
  using Word = std::function<void(std::uint8_t kind, std::string_view record)>;

  RpcClient(net::Scheduler& scheduler, net::TimerQueue& later, const sockaddr_in& to, std::uint64_t seed);
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  const sockaddr_in& to() const { return to_; }
  bool up() const { return channel_ && channel_->up(); }
  std::size_t unsent() const { return channel_ ? channel_->unsent() : 0; }
  void on_up(std::function<void()> told) { told_up_ = std::move(told); }
  void on_down(std::function<void()> told) { told_down_ = std::move(told); }
  void on_word(Word word) { word_ = std::move(word); }
  // Exactly one answer: the record, or why there is none. A call may have been done all the same.
  // What is asked while the connection is coming up goes out with it, while its time lasts.
  template <class Reply, class M>
  void call(const M& message, Span most, std::function<void(absl::StatusOr<Reply>)> answered) {
    call_raw(M::kind, encoded(message), most,
             [answered = std::move(answered)](absl::StatusOr<std::string> record) {
               if (!record.ok()) return answered(record.status());
               Reply reply;
               if (!decode(*record, reply)) return answered(absl::DataLossError("answer not read"));
               answered(std::move(reply));
             });
  }
  template <class M>
  void tell(const M& message) {
    if (up()) put(M::kind, frame::Sort::word, 0, encoded(message));
  }
  // Heard of within so long: guards against a peer that is there no more and says nothing.
  Span silent() const { return timers_.now() - heard_; }
  void restart();  // closes and connects anew

 private:
  void call_raw(std::uint8_t kind, std::string record, Span most, Answered answered);
  void put(std::uint8_t kind, frame::Sort sort, std::uint64_t number, std::string_view record);
  void connect();
  void again();
  void fail_all();
  void channel_up(net::Channel&) override;
  void channel_came(net::Channel&) override;
  void channel_gone(net::Channel&) override;

  struct Call {
    std::uint8_t kind = 0;
    std::string record;  // until it has gone out
    Answered answered;
    net::TimerQueue::Ticket due;
    TimePoint since;
  };
  net::Scheduler& scheduler_;
  net::TimerQueue& timers_;
  const sockaddr_in to_;
  std::unique_ptr<net::Channel> channel_, old_;
  net::TimerQueue::Ticket retry_, rising_;
  Span pause_;
  std::uint64_t random_, last_ = 0;
  TimePoint heard_;
  std::map<std::uint64_t, Call> calls_;
  std::function<void()> told_up_, told_down_;
  Word word_;
};

class RpcServer {
 public:
  class Connection final : net::Channel::Sink {
   public:
    explicit Connection(RpcServer& desk);
    template <class M>
    void answer(std::uint64_t number, const M& message) {
      put(M::kind, frame::Sort::answer, number, encoded(message));
    }
    template <class M>
    void tell(const M& message) {
      put(M::kind, frame::Sort::word, 0, encoded(message));
    }
    // One that was written before, for many.
    void tell_record(std::uint8_t kind, std::string_view record) { put(kind, frame::Sort::word, 0, record); }
    void close();
    std::uint64_t id() const { return id_; }
    std::size_t unsent() const { return channel_.unsent(); }
    std::size_t crew_place = 0;

   private:
    friend class RpcServer;
    void put(std::uint8_t kind, frame::Sort sort, std::uint64_t number, std::string_view record);
    void channel_came(net::Channel&) override;
    void channel_gone(net::Channel&) override;
    RpcServer& rpc_server_;
    net::Channel channel_;
    std::uint64_t id_;
  };
  // `number`: of a call, to be answered by it; 0: a word.
  using Handler = std::function<void(Connection&, std::uint64_t number, std::string_view record)>;

  explicit RpcServer(net::Scheduler& scheduler);
  void listen(const sockaddr_in& at);
  template <class M>
  void on(std::function<void(Connection&, std::uint64_t number, M& message)> handler) {
    handlers_[M::kind] = [handler = std::move(handler)](Connection& connection, std::uint64_t number,
                                                        std::string_view record) {
      M message;
      if (decode(record, message)) handler(connection, number, message);
    };
  }
  void on_gone(std::function<void(Connection&)> gone) { gone_ = std::move(gone); }
  // The connection of that id, while it is there: for answers that come later.
  Connection* find(std::uint64_t id) {
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : found->second;
  }

 private:
  net::Scheduler& scheduler_;
  net::Listener listener_;
  std::unordered_map<std::uint8_t, Handler> handlers_;
  std::function<void(Connection&)> gone_;
  std::uint64_t last_ = 0;
  std::unordered_map<std::uint64_t, Connection*> connections_;
  net::Crew<Connection> crew_;
};

}  // namespace chutevane::common
