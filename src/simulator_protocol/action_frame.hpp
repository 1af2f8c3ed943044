/// Encoding of action frames, the replies to the simulator's event frames.
///
/// An action frame consists of a header of 8 bytes (number of records, length of the whole frame), action
/// records of 32 bytes each, and a tail of texts and data, which records refer to by offset and size.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::simulator_protocol {

/// Builds a frame record by record. The object is reused from frame to frame.
class ActionFrame {
 public:
  /// Begins a new frame.
  void clear();
  /// Adds the actions that execute an answer of an instance's balancer: none for `wait`, two for a dispatch
  /// on a new connection.
  void add_answer(std::uint16_t instance, const Answer& answer);
  /// Asks the simulator for a wake event with `token` after `delay`.
  void add_timer(std::uint16_t instance, Span delay, std::uint32_t token);
  /// Reports that the instance cannot run. `text` is the reason.
  void add_error(std::uint16_t instance, std::string_view text);
  /// Completes the frame. The returned bytes stay valid until the next clear().
  [[nodiscard]] std::span<const std::uint8_t> finish();

 private:
  std::uint8_t* add_record(std::uint8_t code, std::uint16_t instance);
  void add_text(std::uint8_t code, std::uint16_t instance, std::string_view text);
  void add_peer_data(std::uint16_t instance, const Answer& answer);

  static constexpr std::size_t header_size = 8;
  std::vector<std::uint8_t> bytes_ = std::vector<std::uint8_t>(header_size);
  std::vector<std::uint8_t> tail_;
  std::uint32_t record_count_ = 0;
};

}  // namespace chutevane::simulator_protocol
