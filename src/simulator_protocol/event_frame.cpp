#include "simulator_protocol/event_frame.hpp"

#include <algorithm>

#include "simulator_protocol/little_endian.hpp"

namespace chutevane::simulator_protocol {
namespace {

constexpr std::size_t event_size = 48;
constexpr std::size_t list_entry_size = 25;
constexpr std::uint8_t repeated_flag = 2;  // the client marks the call as a retry

Outcome outcome_of(std::uint16_t disposition, std::size_t offset) {
  switch (disposition) {
    case 0: return Outcome::done;
    case 255: return Outcome::error;
    case 254: return Outcome::rejected;
    case 253: return Outcome::timed_out;
    case 252: return Outcome::not_connected;
    case 251: return Outcome::reset;
    case 250: return Outcome::cancelled;
    case 249: return Outcome::not_sent;
    default: throw FrameError("unknown disposition " + std::to_string(disposition), offset);
  }
}

// Decodes the values of a load report: their number, then four floats.
void decode_load(const std::uint8_t* from, Event& event) {
  event.load_count = std::min<std::uint8_t>(from[0], 4);
  for (std::size_t i = 0; i < 4; ++i) event.load[i] = read_number<float>(from + 1 + 4 * i);
}

}  // namespace

FrameHeader parse_header(std::span<const std::uint8_t> bytes) {
  if (bytes.size() < header_size) throw FrameError("input ends inside a header", bytes.size());
  const FrameHeader header{read_number<std::uint32_t>(bytes.data()), read_number<std::uint32_t>(&bytes[4]),
                           TimePoint::at_ms(read_number<double>(&bytes[8]))};
  if (header.length < header_size)
    throw FrameError("frame length " + std::to_string(header.length) + " is smaller than the header", 0);
  if (header_size + std::uint64_t{header.event_count} * event_size > header.length) {
    throw FrameError("record count " + std::to_string(header.event_count) + " exceeds the frame length", 4);
  }
  return header;
}

EventFrame::EventFrame(std::span<const std::uint8_t> frame) : frame_(frame), header_(parse_header(frame)) {
  if (header_.length != frame.size()) throw FrameError("input ends inside a frame", frame.size());
  tail_start_ = header_size + header_.event_count * event_size;
}

std::span<const std::uint8_t> EventFrame::tail_items(std::size_t offset, std::size_t item_size) const {
  const std::uint64_t start = read_number<std::uint32_t>(&frame_[offset]);
  const std::uint64_t size = std::uint64_t{read_number<std::uint32_t>(&frame_[offset + 4])} * item_size;
  if (start + size > frame_.size() - tail_start_) throw FrameError("tail reference out of range", offset);
  return frame_.subspan(tail_start_ + start, size);
}

void EventFrame::decode_targets(std::size_t offset, Event& event) const {
  constexpr ListKind kinds[] = {ListKind::failed, ListKind::full, ListKind::cached, ListKind::changes};
  const std::uint8_t* record = &frame_[offset];
  if (record[3] > 3) throw FrameError("unknown list kind " + std::to_string(record[3]), offset + 3);
  event.list_kind = kinds[record[3]];
  event.list_number = read_number<std::uint32_t>(record + 12);
  if (event.list_number >= list_count && event.list_kind != ListKind::failed)
    throw FrameError("list number above 15", offset + 12);
}

void EventFrame::decode_order(const std::uint8_t* record, Event& event) const {
  event.call.id = read_number<std::uint64_t>(record + 3);
  event.call.track = record[11];
  event.call.time_left = Span::ms(read_number<double>(record + 12));
  event.call.key = read_number<std::uint64_t>(record + 28);
  event.call.is_marked_retry = (record[36] & repeated_flag) != 0;
}

void EventFrame::decode_closed_attempt(std::size_t offset, Event& event) const {
  const std::uint8_t* record = &frame_[offset];
  event.end.call = read_number<std::uint64_t>(record + 3);
  event.end.call_over = record[11] != 0;
  event.end.elapsed = Span::ms(read_number<double>(record + 12));
  event.end.outcome = outcome_of(read_number<std::uint16_t>(record + 20), offset + 20);
  event.end.endpoint = read_endpoint_id(record + 22);
  event.end.number = record[28];
  decode_load(record + 29, event);
}

void EventFrame::decode_health(std::size_t offset, Event& event) const {
  const std::uint8_t* record = &frame_[offset];
  event.end.elapsed = Span::ms(read_number<double>(record + 3));
  event.end.endpoint = read_endpoint_id(record + 11);
  event.end.outcome = outcome_of(read_number<std::uint16_t>(record + 17), offset + 17);
  decode_load(record + 19, event);
}

void EventFrame::decode_peer_data(std::size_t offset, Event& event) const {
  const auto data = tail_items(offset + 7, 1);
  if (data.size() != peer_data_size)
    return;  // from another program; the endpoint id stays 0, which is unused
  event.end.endpoint = read_endpoint_id(data.data());
  event.token = read_number<std::uint16_t>(data.data() + endpoint_id_size);
}

void EventFrame::decode_list(std::size_t offset, Event& event) const {
  constexpr Availability availabilities[] = {Availability::ready, Availability::gone, Availability::draining};
  event.list_number = read_number<std::uint32_t>(&frame_[offset + 1]);
  if (event.list_number >= list_count) throw FrameError("list number above 15", offset + 1);
  const auto rows = tail_items(offset + 5, list_entry_size);
  event.entries.reserve(rows.size() / list_entry_size);
  for (std::size_t i = 0; i < rows.size(); i += list_entry_size) {
    const std::uint8_t* row = &rows[i];
    const auto row_offset = static_cast<std::size_t>(row - frame_.data());
    if (row[12] > 2) throw FrameError("unknown availability " + std::to_string(row[12]), row_offset + 12);
    event.entries.push_back({.id = read_endpoint_id(row),
                             .zone = read_number<std::uint16_t>(row + 6),
                             .cell = read_number<std::uint16_t>(row + 10),
                             .availability = availabilities[row[12]],
                             .size = read_number<float>(row + 13),
                             .started_at = TimePoint::at_ms(read_number<double>(row + 17)),
                             .model = read_number<std::uint16_t>(row + 8)});
  }
}

Event EventFrame::event(std::uint32_t number) const {
  if (number >= header_.event_count) throw FrameError("record number out of range", frame_.size());
  const std::size_t offset = header_size + number * event_size;
  const std::uint8_t* record = &frame_[offset];
  if (record[0] > static_cast<std::uint8_t>(EventCode::snapshot_rows))
    throw FrameError("unknown event code " + std::to_string(record[0]), offset);
  Event event;
  event.code = static_cast<EventCode>(record[0]);
  if (event.code != EventCode::snapshot_rows) event.instance = read_number<std::uint16_t>(record + 1);
  switch (event.code) {
    case EventCode::launch: {
      event.seed = read_number<std::uint64_t>(record + 3);
      const auto bytes = tail_items(offset + 11, 1);
      event.settings = {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
      break;
    }
    case EventCode::targets: decode_targets(offset, event); break;
    case EventCode::order: decode_order(record, event); break;
    case EventCode::started:
      event.end.call = read_number<std::uint64_t>(record + 3);
      event.end.elapsed = Span::ms(read_number<double>(record + 11));
      event.end.number = record[19];
      event.end.endpoint = read_endpoint_id(record + 20);
      break;
    case EventCode::closed_attempt: decode_closed_attempt(offset, event); break;
    case EventCode::vanished: event.end.call = read_number<std::uint64_t>(record + 3); break;
    case EventCode::wake: event.token = read_number<std::uint32_t>(record + 3); break;
    case EventCode::health: decode_health(offset, event); break;
    case EventCode::peer_data: decode_peer_data(offset, event); break;
    case EventCode::stop: break;
    case EventCode::snapshot_rows: decode_list(offset, event); break;
  }
  return event;
}

}  // namespace chutevane::simulator_protocol
