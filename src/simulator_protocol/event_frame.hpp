/// Decoding of event frames, which the simulator sends. Every access is bounds-checked. The protocol is named
/// tundra-18e3 (deploy/sites/wire.json).
///
/// An event frame consists of a header of 16 bytes (length of the whole frame, number of records, simulated
/// time in ms), event records of 48 bytes each, and a tail. Records refer to data of variable size, such as
/// texts and lists, by offset and size in the tail. Each frame is answered with one action frame
/// (action_frame.hpp).
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::simulator_protocol {

inline constexpr std::size_t header_size = 16;  // bytes
/// Bytes that a sidecar publishes to its peers: an endpoint id and a number of two bytes.
inline constexpr std::size_t peer_data_size = 8;
inline constexpr std::size_t list_count = 16;  // maximum number of endpoint lists in use at a time

/// A malformed frame.
struct FrameError : std::runtime_error {
  FrameError(const std::string& what, std::size_t offset) : std::runtime_error(what), byte(offset) {}
  std::size_t byte;  ///< offset of the error in the frame
};

/// Event codes, named as in the protocol.
enum class EventCode : std::uint8_t {
  launch = 0,          ///< an instance starts: seed, settings
  targets = 1,         ///< an instance has received an endpoint list, or a request for one has failed
  order = 2,           ///< a request has arrived
  started = 3,         ///< the first bytes of a response have arrived
  closed_attempt = 4,  ///< a dispatch has ended
  vanished = 5,        ///< a client has closed its connection
  wake = 6,            ///< a timer has expired
  health = 7,          ///< a probe has ended
  peer_data = 8,       ///< another sidecar has published something
  stop = 9,            ///< an instance ends
  snapshot_rows = 10,  ///< the content of one of the numbered endpoint lists; belongs to no instance
};

/// A decoded record. Each member's comment names the codes for which it is set.
struct Event {
  EventCode code{};
  std::uint16_t instance = 0;           ///< all codes except snapshot_rows
  std::uint64_t seed = 0;               ///< launch
  std::string_view settings;            ///< launch; a view into the frame
  ListKind list_kind{};                 ///< targets
  std::uint32_t list_number = 0;        ///< targets, snapshot_rows
  std::vector<ListedEndpoint> entries;  ///< snapshot_rows
  ApiCall call;                         ///< order
  DispatchEnd end;              ///< closed_attempt; started; vanished (call); health (endpoint, outcome);
                                ///< peer_data (endpoint; 0: not published by this program)
  std::uint32_t token = 0;      ///< wake; peer_data: the number that was published
  std::uint8_t load_count = 0;  ///< closed_attempt, health: number of values in `load`
  std::array<float, 4> load{};  ///< in the deployment's order; see parse_load_report()
};

struct FrameHeader {
  std::uint32_t length = 0;  ///< bytes of the whole frame, including this header
  std::uint32_t event_count = 0;
  TimePoint now;
};
/// Throws FrameError if `bytes` is shorter than a header, or if the header's values contradict each other.
[[nodiscard]] FrameHeader parse_header(std::span<const std::uint8_t> bytes);

/// A view of one frame. The frame's bytes must outlive the view and the texts of its events.
class EventFrame {
 public:
  /// `frame` is exactly one frame, including its header. Throws FrameError.
  explicit EventFrame(std::span<const std::uint8_t> frame);
  [[nodiscard]] const FrameHeader& header() const { return header_; }
  /// Decodes the event with index `number`. Throws FrameError.
  Event event(std::uint32_t number) const;

 private:
  /// Returns the bytes that the reference at byte `offset` of the frame refers to. The reference consists of
  /// an offset in the tail and a number of items of `item_size` bytes.
  std::span<const std::uint8_t> tail_items(std::size_t offset, std::size_t item_size) const;
  void decode_targets(std::size_t offset, Event& event) const;
  void decode_order(const std::uint8_t* record, Event& event) const;
  void decode_closed_attempt(std::size_t offset, Event& event) const;
  void decode_health(std::size_t offset, Event& event) const;
  void decode_peer_data(std::size_t offset, Event& event) const;
  void decode_list(std::size_t offset, Event& event) const;

  std::span<const std::uint8_t> frame_;
  FrameHeader header_;
  std::size_t tail_start_ = 0;
};

}  // namespace chutevane::simulator_protocol
