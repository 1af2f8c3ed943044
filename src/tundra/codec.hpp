// The bench's wire, tundra-18e3: bytes to values and values to bytes, every access bounds-checked.
#pragma once

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::tundra {

inline constexpr std::size_t header_size = 16;

// What does not fit in a frame, and at which of its bytes.
struct FrameError : std::runtime_error {
  FrameError(const std::string& what, std::size_t at) : std::runtime_error(what), byte(at) {}
  std::size_t byte;
};

enum class EventCode : std::uint8_t {
  launch = 0,
  targets = 1,
  order = 2,
  started = 3,
  closed_attempt = 4,
  vanished = 5,
  wake = 6,
  health = 7,
  peer_data = 8,
  stop = 9,
  snapshot_rows = 10,
};

struct Event {
  EventCode code{};
  std::uint16_t who = 0;
  std::uint64_t seed = 0;
  std::string_view text;  // launch: the settings
  ListKind list_kind{};
  std::uint32_t list = 0;               // targets, snapshot_rows: the list's number
  std::vector<ListedEndpoint> entries;  // snapshot_rows
  ApiCall call;
  DispatchEnd end;          // also started, vanished (call) and health (endpoint, outcome)
  std::uint32_t token = 0;  // peer_data: the number that was told of end.endpoint
  std::uint8_t load_count = 0;
  std::array<float, 4> load{};
};

struct FrameHead {
  std::uint32_t length = 0;
  std::uint32_t count = 0;
  TimePoint now;
};
FrameHead read_head(std::span<const std::uint8_t> bytes);

// One whole frame, header included. The bytes must outlive the events' texts.
class Batch {
 public:
  explicit Batch(std::span<const std::uint8_t> frame);
  const FrameHead& head() const { return head_; }
  Event event(std::uint32_t number) const;

 private:
  std::span<const std::uint8_t> tail(std::size_t at, std::size_t size_each) const;
  std::span<const std::uint8_t> frame_;
  FrameHead head_;
  std::size_t tail_start_ = 0;
};

class Reply {
 public:
  void clear();
  void answer(std::uint16_t who, const Answer& answer);  // `wait` sends nothing
  void timer(std::uint16_t who, Span delay, std::uint32_t token);
  void fault(std::uint16_t who, std::string_view text);
  std::span<const std::uint8_t> finish();

 private:
  std::uint8_t* record(std::uint8_t code, std::uint16_t who);
  void text(std::uint8_t code, std::uint16_t who, std::string_view text);
  std::vector<std::uint8_t> bytes_ = std::vector<std::uint8_t>(8);
  std::vector<std::uint8_t> tail_;
  std::uint32_t count_ = 0;
};

// The settings under the names this project uses; what it does not know keeps the wire's name.
Settings read_settings(std::string_view text);
// Puts a report's figures where report.fields says they belong.
LoadReport read_load(const Event& event, std::string_view fields);

}  // namespace chutevane::tundra
