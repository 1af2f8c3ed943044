#include "simulator_protocol/action_frame.hpp"

#include <algorithm>

#include "simulator_protocol/event_frame.hpp"
#include "simulator_protocol/little_endian.hpp"

namespace chutevane::simulator_protocol {
namespace {

constexpr std::size_t action_size = 32;
constexpr std::uint32_t all_peers = 0xffffffffU;

// Action codes, named as in the protocol.
constexpr std::uint8_t stream_changes = 64;
constexpr std::uint8_t print = 65;
constexpr std::uint8_t after = 66;
constexpr std::uint8_t publish = 67;
constexpr std::uint8_t abandon = 68;
constexpr std::uint8_t exception = 69;
constexpr std::uint8_t pass_on = 70;
constexpr std::uint8_t reject = 71;
constexpr std::uint8_t respond_error = 73;
constexpr std::uint8_t close_idle = 74;

}  // namespace

void ActionFrame::clear() {
  bytes_.resize(header_size);
  tail_.clear();
  record_count_ = 0;
}

std::uint8_t* ActionFrame::add_record(std::uint8_t code, std::uint16_t instance) {
  bytes_.resize(bytes_.size() + action_size);
  ++record_count_;
  std::uint8_t* record = &bytes_[bytes_.size() - action_size];
  record[0] = code;
  write_number(record + 1, instance);
  return record;
}

void ActionFrame::add_text(std::uint8_t code, std::uint16_t instance, std::string_view text) {
  std::uint8_t* record = add_record(code, instance);
  write_number(record + 3, static_cast<std::uint32_t>(tail_.size()));
  write_number(record + 7, static_cast<std::uint32_t>(text.size()));
  tail_.insert(tail_.end(), text.begin(), text.end());
}

void ActionFrame::add_peer_data(std::uint16_t instance, const Answer& answer) {
  std::uint8_t* record = add_record(publish, instance);
  write_number(record + 3, all_peers);
  write_number(record + 7, static_cast<std::uint32_t>(tail_.size()));
  write_number(record + 11, static_cast<std::uint32_t>(peer_data_size));
  tail_.resize(tail_.size() + peer_data_size);
  std::uint8_t* data = &tail_[tail_.size() - peer_data_size];
  write_endpoint_id(data, answer.endpoint);
  const std::uint32_t number = std::min<std::uint32_t>(answer.number, 0xffffU);
  write_number(data + endpoint_id_size, static_cast<std::uint16_t>(number));
}

void ActionFrame::add_answer(std::uint16_t instance, const Answer& answer) {
  std::uint8_t* record = nullptr;
  switch (answer.verdict) {
    case Verdict::nothing:
    case Verdict::wait: break;
    case Verdict::dispatch:
      if (answer.needs_new_connection)
        write_endpoint_id(add_record(close_idle, instance) + 3, answer.endpoint);
      record = add_record(pass_on, instance);
      write_number(record + 3, answer.call);
      write_number(record + 11, answer.span.as_ms());
      write_endpoint_id(record + 19, answer.endpoint);
      break;
    case Verdict::reject:
      record = add_record(reject, instance);
      write_number(record + 3, answer.call);
      write_number(record + 11, answer.span.as_ms());
      break;
    case Verdict::fail: write_number(add_record(respond_error, instance) + 3, answer.call); break;
    case Verdict::cancel:
      record = add_record(abandon, instance);
      write_number(record + 3, answer.call);
      record[11] = static_cast<std::uint8_t>(answer.number);
      break;
    case Verdict::publish_load: add_peer_data(instance, answer); break;
    case Verdict::subscribe: add_record(stream_changes, instance)[3] = 1; break;
    case Verdict::log: add_text(print, instance, answer.text.data()); break;
  }
}

void ActionFrame::add_timer(std::uint16_t instance, Span delay, std::uint32_t token) {
  std::uint8_t* record = add_record(after, instance);
  write_number(record + 3, delay.as_ms());
  write_number(record + 11, token);
}

void ActionFrame::add_error(std::uint16_t instance, std::string_view text) {
  add_text(exception, instance, text);
}

std::span<const std::uint8_t> ActionFrame::finish() {
  bytes_.insert(bytes_.end(), tail_.begin(), tail_.end());
  write_number(bytes_.data(), record_count_);
  write_number(&bytes_[4], static_cast<std::uint32_t>(bytes_.size()));
  return bytes_;
}

}  // namespace chutevane::simulator_protocol
