/// Clients that do not behave: connections that send a prepared sequence of bytes and then stay open.
///
/// A crowd sends as fast as its peer reads. It never blocks and holds one block of bytes a connection,
/// however much it sends. It runs on the scheduler's thread.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/channel.hpp"

namespace chutevane::lab::tier {

/// What one connection sends: `head` once, then `block` again and again, and `tail` once.
struct Sequence {
  std::string head;  ///< `{n}` in it is replaced by the number of the connection
  std::string block = {};
  std::size_t block_count = 0;
  std::string tail = {};
  bool reads_answers = true;
};

class Crowd {
 public:
  explicit Crowd(net::Scheduler& scheduler) : scheduler_(scheduler) {}

  /// Opens `count` connections to `to`; each sends `sequence`.
  void connect(const sockaddr_in& to, std::size_t count, const Sequence& sequence) {
    const auto shared = std::make_shared<const Sequence>(sequence);
    for (std::size_t i = 0; i < count; ++i) {
      members_.push_back(std::make_unique<Member>(scheduler_, shared, members_.size()));
      members_.back()->connect(to);
    }
  }
  /// True once each connection has sent all, or has ended.
  bool is_done() const {
    return std::all_of(members_.begin(), members_.end(),
                       [](const auto& member) { return member->is_done(); });
  }
  /// Connections that are open still.
  std::size_t open() const {
    return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(),
                                                  [](const auto& member) { return member->is_open(); }));
  }
  /// Bytes that have been handed to the kernel so far, by all connections.
  std::size_t sent() const {
    std::size_t sum = 0;
    for (const auto& member : members_) sum += member->sent();
    return sum;
  }
  /// What the connection of that index has received.
  const std::string& received(std::size_t index) const { return members_.at(index)->received(); }
  std::size_t size() const { return members_.size(); }
  /// Number of answers with that status that the connections have received first.
  std::size_t first_answers(const std::string& status) const {
    return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& member) {
      return member->received().starts_with("HTTP/1.1 " + status);
    }));
  }
  /// Closes all connections.
  void leave() {
    for (const auto& member : members_) member->leave();
  }

 private:
  class Member final : net::Channel::Observer {
   public:
    Member(net::Scheduler& scheduler, std::shared_ptr<const Sequence> sequence, std::size_t number)
        : sequence_(std::move(sequence)),
          head_(sequence_->head),
          channel_(scheduler, static_cast<net::Channel::Observer&>(*this)) {
      constexpr std::string_view place = "{n}";
      if (const std::size_t at = head_.find(place); at != std::string::npos)
        head_.replace(at, place.size(), std::to_string(number));
    }
    void connect(const sockaddr_in& to) { has_ended_ = !channel_.connect(to); }
    bool is_done() const { return has_ended_ || has_sent_all_; }
    bool is_open() const { return channel_.up(); }
    std::size_t sent() const { return queued_ - channel_.unsent(); }
    const std::string& received() const { return received_; }
    void leave() {
      has_ended_ = true;
      channel_.close();
    }

   private:
    void queue(const std::string& bytes) {
      queued_ += bytes.size();
      channel_.out().append(bytes);
    }
    void on_channel_open(net::Channel&) override {
      if (!sequence_->reads_answers) channel_.set_reading_paused(true);
      queue(head_);
      send_next();
    }
    void on_channel_flushed(net::Channel&) override { send_next(); }
    /// Sends until the peer takes no more; on_channel_flushed() goes on.
    void send_next() {
      channel_.flush();
      while (channel_.up() && channel_.unsent() == 0 && !has_sent_all_) {
        if (blocks_ < sequence_->block_count) {
          ++blocks_;
          queue(sequence_->block);
        } else if (!is_tail_sent_) {
          is_tail_sent_ = true;
          queue(sequence_->tail);
        } else {
          has_sent_all_ = true;
        }
        channel_.flush();
      }
    }
    void on_channel_data(net::Channel&) override {
      constexpr std::size_t max_kept = 4096;  // bytes: the first answer
      const auto bytes = channel_.in().bytes();
      if (received_.size() < max_kept) received_.append(bytes.data(), bytes.size());
      channel_.in().consume(bytes.size());
    }
    void on_channel_closed(net::Channel&) override { has_ended_ = true; }

    const std::shared_ptr<const Sequence> sequence_;
    std::string head_, received_;
    std::size_t blocks_ = 0, queued_ = 0;
    bool is_tail_sent_ = false, has_sent_all_ = false, has_ended_ = false;
    net::Channel channel_;
  };
  net::Scheduler& scheduler_;
  std::vector<std::unique_ptr<Member>> members_;
};

}  // namespace chutevane::lab::tier
