/// Frames that answer the simulator's: encoding.
///
/// An action frame is a header of 8 bytes (number of records, length of the whole frame), action records of
/// 32 bytes each, and a tail for texts and data, which records refer to by offset and size.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::simulator_protocol {

/// Built record by record, and reused from frame to frame.
class ActionFrame {
 public:
  /// Begins a new frame.
  void clear();
  /// Adds the actions that carry out what an instance's balancer has decided: none for `wait`, two for a
  /// dispatch on a fresh connection.
  void add_answer(std::uint16_t instance, const Answer& answer);
  /// The simulator is to send a wake event with `token` after `delay`.
  void add_timer(std::uint16_t instance, Span delay, std::uint32_t token);
  /// The instance cannot run; `text` says why.
  void add_error(std::uint16_t instance, std::string_view text);
  /// Completes the frame. The bytes hold until the next clear().
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
