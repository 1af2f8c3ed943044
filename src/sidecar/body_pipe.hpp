/// Streaming of large message bodies between two connections.
///
/// A BodyPipe is a bounded window of one body: the connection that receives the body appends to it, the one
/// that sends it on consumes it. Back pressure comes from the window: a producer that finds no writable bytes
/// stops reading its socket and is woken once the consumer has made room. Neither end owns the other, either
/// connection may close first, so both hold the pipe by shared pointer.
///
/// A request's pipe keeps consumed bytes while all of the body fits into the window, so that the request can
/// be sent again to another endpoint (is_replayable()). A response's pipe drops them at once.
#pragma once

#include <memory>
#include <string_view>
#include <utility>

#include "http/parser.hpp"
#include "net/buffer.hpp"
#include "net/scheduler.hpp"

namespace chutevane::sidecar {

class BodyPipe {
 public:
  /// What write_piece() has put into the buffer.
  enum class Piece : std::uint8_t { none, more, last };

  /// `replay`: consumed bytes are kept while they fit in the window. `buffer_budget` counts the bytes and
  /// outlives it.
  BodyPipe(net::BufferBudget& buffer_budget, bool replay)
      : buffer_budget_(buffer_budget), replay_(replay), bytes_(buffer_budget) {}

  // The producer's end.

  void append(std::string_view bytes) {
    bytes_.append(bytes);
    wake(consumer_);
  }
  /// The body is complete.
  void finish() { finished_ = true, wake(consumer_); }
  /// No more bytes will come, and the body is not complete: the consumer must not let it look so.
  void abort() { aborted_ = true, wake(consumer_); }
  /// Bytes that may be appended now. 0: the producer is woken with its bit once there is room.
  std::size_t writable_bytes() {
    if (bytes_.size() >= window() && consumed_ > 0) discard_consumed();
    return bytes_.size() < window() ? window() - bytes_.size() : 0;
  }
  /// Who is woken, and with which bit, when bytes are consumed or the consumer leaves; null: nobody.
  void set_producer(net::Waker* waker, net::Waker::Bits bit) { producer_ = {waker, bit}; }
  /// The consumer has left: nobody wants the rest.
  bool has_lost_consumer() const { return consumer_left_; }
  /// Moves what `bytes` holds of the body behind the parser's head into the pipe, and finishes the pipe with
  /// the body.
  http::Progress receive(http::Parser& parser, net::Buffer& bytes);

  // The consumer's end.

  /// What has been received and not yet consumed.
  std::string_view readable() {
    return std::string_view(bytes_.bytes().data(), bytes_.size()).substr(consumed_);
  }
  void consume(std::size_t count) {
    consumed_ += count;
    if (!replay_ || bytes_.size() >= window()) discard_consumed();
    wake(producer_);
  }
  /// Appends the next piece of the body to `out`, as a chunk (RFC 9112) or bare, with the body's end if that
  /// has been received. `none`: nothing is to be written yet.
  Piece write_piece(net::Buffer& out, bool chunked);
  bool is_aborted() const { return aborted_; }
  /// Who is woken when bytes come, or the end.
  void set_consumer(net::Waker* waker, net::Waker::Bits bit) { consumer_ = {waker, bit}; }
  /// The same connection consumes no longer; another may have taken over since.
  void clear_consumer(const net::Waker* waker) {
    if (consumer_.waker == waker) consumer_ = {};
  }
  /// There is no consumer and will be none.
  void detach_consumer() { consumer_left_ = true, consumer_ = {}, wake(producer_); }
  /// Whether every byte received so far is still held, so that rewind() starts at the body's first.
  bool is_replayable() const { return discarded_ == 0; }
  void rewind() { consumed_ = 0; }

 private:
  static constexpr std::size_t window_bytes = 64 * 1024, tight_window_bytes = 8 * 1024;
  struct End {
    net::Waker* waker = nullptr;
    net::Waker::Bits bit = 0;
  };
  static void wake(const End& end) {
    if (end.waker != nullptr) end.waker->set(end.bit);
  }
  std::size_t window() const { return buffer_budget_.tight() ? tight_window_bytes : window_bytes; }
  void discard_consumed() {
    discarded_ += consumed_;
    bytes_.consume(std::exchange(consumed_, 0));
    if (buffer_budget_.tight()) bytes_.shrink(tight_window_bytes);
  }

  net::BufferBudget& buffer_budget_;
  const bool replay_;
  net::Buffer bytes_;
  std::size_t consumed_ = 0;   // bytes at the front of `bytes_` that are kept for a replay
  std::size_t discarded_ = 0;  // bytes before these that are gone
  bool finished_ = false, aborted_ = false, consumer_left_ = false;
  End producer_, consumer_;
};

/// Takes what `bytes` holds of a body behind its head; `into` null: throws it away.
http::Progress receive_body(http::Parser& parser, net::Buffer& bytes, BodyPipe* into);

/// The size in bytes up to which a body is held whole before it is sent on. A buffered request can be sent
/// again, a buffered response can still be replaced by a retry's. Less where bytes are scarce, and where the
/// length is not stated in advance.
std::size_t max_buffered_body(const net::BufferBudget& buffer_budget, bool length_is_stated);

/// Whether a body of which the head has been read is larger than `max_buffered` bytes, by its stated length
/// or, without one, by what has been received.
bool exceeds_buffer(const http::Parser& parser, std::size_t max_buffered);

}  // namespace chutevane::sidecar
