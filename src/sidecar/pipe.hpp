// A bounded window of a body between the connection that it comes in on and the one that it goes out on.
// Either end may be gone before the other; both hold it.
#pragma once

#include <memory>
#include <string_view>
#include <utility>

#include "http/parser.hpp"
#include "net/buffer.hpp"
#include "net/scheduler.hpp"

namespace chutevane::sidecar {

class Pipe {
 public:
  // `keep`: what was taken stays as long as it fits in the window, so that all of it may be taken again.
  Pipe(net::BufferBudget& held, bool keep) : held_(held), keep_(keep), bytes_(held) {}

  // The end that it comes in on.
  void put(std::string_view piece) {
    bytes_.append(piece);
    wake(consumer_);
  }
  void end() { ended_ = true, wake(consumer_); }
  void break_off() { broken_ = true, wake(consumer_); }  // no more of it will come, and it is not whole
  // Bytes that may be put now; none: `bit` is set once there is room again.
  std::size_t room() {
    if (bytes_.size() >= window() && taken_ > 0) discard();
    return bytes_.size() < window() ? window() - bytes_.size() : 0;
  }
  void produced_by(net::Waker* waker, net::Waker::Bits bit) { producer_ = {waker, bit}; }
  bool left() const { return left_; }

  // Puts what has come of the body behind a head into it, and takes that from `bytes`; its end too.
  http::Progress take_in(http::Parser& parser, net::Buffer& bytes);

  // The end that it goes out on. It is woken by what comes.
  std::string_view ready() { return std::string_view(bytes_.bytes().data(), bytes_.size()).substr(taken_); }
  void took(std::size_t n) {
    taken_ += n;
    if (!keep_ || bytes_.size() >= window()) discard();
    wake(producer_);
  }
  // Puts the next piece behind `out`, in a chunk or bare; false: none has come. `last`: its end is in it.
  bool give_out(net::Buffer& out, bool chunked, bool& last);
  bool ended() const { return ended_; }
  bool broken() const { return broken_; }
  void leave() { left_ = true, consumer_ = {}, wake(producer_); }
  void consumed_by(net::Waker* waker, net::Waker::Bits bit) { consumer_ = {waker, bit}; }
  // No longer that one: another may have taken over since.
  void not_consumed_by(const net::Waker* waker) {
    if (consumer_.waker == waker) consumer_ = {};
  }
  // Whether all that has come so far is still held, and may be taken from its first byte.
  bool whole() const { return discarded_ == 0; }
  void rewind() { taken_ = 0; }

 private:
  static constexpr std::size_t window_calm = 64 * 1024, window_tight = 8 * 1024;  // bytes
  struct End {
    net::Waker* waker = nullptr;
    net::Waker::Bits bit = 0;
  };
  static void wake(const End& end) {
    if (end.waker != nullptr) end.waker->set(end.bit);
  }
  std::size_t window() const { return held_.tight() ? window_tight : window_calm; }
  void discard() {
    discarded_ += taken_;
    bytes_.consume(std::exchange(taken_, 0));
    if (held_.tight()) bytes_.shrink(window_tight);
  }

  net::BufferBudget& held_;
  const bool keep_;
  net::Buffer bytes_;
  std::size_t taken_ = 0, discarded_ = 0;  // of what is held; before it
  bool ended_ = false, broken_ = false, left_ = false;
  End producer_, consumer_;
};

// Takes what `bytes` holds of a body behind its head; to nobody, where nobody wants it any more.
http::Progress read_on(http::Parser& parser, net::Buffer& bytes, Pipe* into);

// The most that a message's body is held whole for: so large it may go again, and an answer be thought better
// of.
inline std::size_t whole_most(const net::BufferBudget& held, bool length_stated) {
  constexpr std::size_t calm = 64 * 1024, unstated = 8 * 1024, tight = 8 * 1024;  // bytes
  return held.tight() ? tight : length_stated ? calm : unstated;
}

}  // namespace chutevane::sidecar
