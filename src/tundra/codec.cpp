#include "tundra/codec.hpp"

#include <algorithm>
#include <cmath>
#include <cstring>

#include "config/setting_names.hpp"

namespace chutevane::tundra {
namespace {

constexpr std::size_t event_size = 48;
constexpr std::size_t action_size = 32;
constexpr std::size_t entry_size = 25;
constexpr std::size_t news_size = 8;  // an endpoint and a number
constexpr std::uint32_t every_peer = 0xffffffffU;

constexpr std::uint8_t stream_changes = 64, print = 65, after = 66, publish = 67, abandon = 68,
                       exception = 69, pass_on = 70, reject = 71, respond_error = 73, close_idle = 74;

// Little-endian, whatever this machine is.
template <class T>
T get(const std::uint8_t* at) {
  if constexpr (std::is_floating_point_v<T>) {
    using Bits = std::conditional_t<sizeof(T) == 8, std::uint64_t, std::uint32_t>;
    const Bits bits = get<Bits>(at);
    T v;
    std::memcpy(&v, &bits, sizeof v);
    return std::isnan(v) ? T{0} : std::clamp(v, T{-1e12F}, T{1e12F});  // spans hold any such figure
  } else {
    std::uint64_t v = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) v |= std::uint64_t{at[i]} << (8 * i);
    return static_cast<T>(v);
  }
}

template <class T>
void put(std::uint8_t* at, T value) {
  std::uint64_t bits = 0;
  if constexpr (std::is_floating_point_v<T>) {
    std::memcpy(&bits, &value, sizeof value);
  } else {
    bits = static_cast<std::uint64_t>(value);
  }
  for (std::size_t i = 0; i < sizeof(T); ++i) at[i] = static_cast<std::uint8_t>(bits >> (8 * i));
}

EndpointId get_endpoint(const std::uint8_t* at) {
  return std::uint64_t{get<std::uint32_t>(at)} | (std::uint64_t{get<std::uint16_t>(at + 4)} << 32U);
}

void put_endpoint(std::uint8_t* at, EndpointId id) {
  put(at, static_cast<std::uint32_t>(id));
  put(at + 4, static_cast<std::uint16_t>(id >> 32U));
}

Outcome outcome_of(std::uint16_t disposition, std::size_t at) {
  switch (disposition) {
    case 0: return Outcome::done;
    case 255: return Outcome::error;
    case 254: return Outcome::turned_away;
    case 253: return Outcome::timed_out;
    case 252: return Outcome::not_connected;
    case 251: return Outcome::reset;
    case 250: return Outcome::cancelled;
    case 249: return Outcome::not_sent;
    default: throw FrameError("unknown disposition " + std::to_string(disposition), at);
  }
}

}  // namespace

FrameHead read_head(std::span<const std::uint8_t> bytes) {
  if (bytes.size() < header_size) throw FrameError("input ends inside a header", bytes.size());
  const FrameHead head{get<std::uint32_t>(&bytes[0]), get<std::uint32_t>(&bytes[4]),
                       TimePoint::at_ms(get<double>(&bytes[8]))};
  if (head.length < header_size)
    throw FrameError("frame length " + std::to_string(head.length) + " too small", 0);
  if (header_size + std::uint64_t{head.count} * event_size > head.length) {
    throw FrameError("record count " + std::to_string(head.count) + " does not fit the frame", 4);
  }
  return head;
}

Batch::Batch(std::span<const std::uint8_t> frame) : frame_(frame), head_(read_head(frame)) {
  if (head_.length != frame.size()) throw FrameError("input ends inside a frame", frame.size());
  tail_start_ = header_size + head_.count * event_size;
}

std::span<const std::uint8_t> Batch::tail(std::size_t at, std::size_t size_each) const {
  const std::uint64_t offset = get<std::uint32_t>(&frame_[at]);
  const std::uint64_t size = std::uint64_t{get<std::uint32_t>(&frame_[at + 4])} * size_each;
  if (offset + size > frame_.size() - tail_start_) throw FrameError("tail reference out of range", at);
  return frame_.subspan(tail_start_ + offset, size);
}

Event Batch::event(std::uint32_t number) const {
  if (number >= head_.count) throw FrameError("no such record", frame_.size());
  const std::size_t at = header_size + number * event_size;
  const std::uint8_t* r = &frame_[at];
  Event e;
  if (r[0] > static_cast<std::uint8_t>(EventCode::snapshot_rows)) {
    throw FrameError("unknown event code " + std::to_string(r[0]), at);
  }
  e.code = static_cast<EventCode>(r[0]);
  if (e.code != EventCode::snapshot_rows) e.who = get<std::uint16_t>(r + 1);
  const auto read_report = [&](std::size_t offset) {
    e.load_count = std::min<std::uint8_t>(r[offset], 4);
    for (std::size_t i = 0; i < 4; ++i) e.load[i] = get<float>(r + offset + 1 + 4 * i);
  };
  const auto read_text = [&](std::size_t offset) {
    const auto bytes = tail(at + offset, 1);
    e.text = {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
  };
  switch (e.code) {
    case EventCode::launch:
      e.seed = get<std::uint64_t>(r + 3);
      read_text(11);
      break;
    case EventCode::targets: {
      constexpr ListKind kinds[] = {ListKind::failed, ListKind::full, ListKind::cached, ListKind::changes};
      if (r[3] > 3) throw FrameError("unknown list kind " + std::to_string(r[3]), at + 3);
      e.list_kind = kinds[r[3]];
      e.list = get<std::uint32_t>(r + 12);
      if (e.list > 15 && e.list_kind != ListKind::failed) throw FrameError("list number above 15", at + 12);
      break;
    }
    case EventCode::order:
      e.call.id = get<std::uint64_t>(r + 3);
      e.call.track = r[11];
      e.call.left = Span::ms(get<double>(r + 12));
      e.call.key = get<std::uint64_t>(r + 28);
      e.call.repeated = (r[36] & 2U) != 0;
      break;
    case EventCode::started:
      e.end.call = get<std::uint64_t>(r + 3);
      e.end.elapsed = Span::ms(get<double>(r + 11));
      e.end.number = r[19];
      e.end.endpoint = get_endpoint(r + 20);
      break;
    case EventCode::closed_attempt:
      e.end.call = get<std::uint64_t>(r + 3);
      e.end.call_over = r[11] != 0;
      e.end.elapsed = Span::ms(get<double>(r + 12));
      e.end.outcome = outcome_of(get<std::uint16_t>(r + 20), at + 20);
      e.end.endpoint = get_endpoint(r + 22);
      e.end.number = r[28];
      read_report(29);
      break;
    case EventCode::vanished: e.end.call = get<std::uint64_t>(r + 3); break;
    case EventCode::wake: e.token = get<std::uint32_t>(r + 3); break;
    case EventCode::health:
      e.end.elapsed = Span::ms(get<double>(r + 3));
      e.end.endpoint = get_endpoint(r + 11);
      e.end.outcome = outcome_of(get<std::uint16_t>(r + 17), at + 17);
      read_report(19);
      break;
    case EventCode::peer_data: {
      const auto news = tail(at + 7, 1);
      if (news.size() != news_size) break;  // not this adapter's: no endpoint has the id 0
      e.end.endpoint = get_endpoint(news.data());
      e.token = get<std::uint16_t>(news.data() + 6);
      break;
    }
    case EventCode::stop: break;
    case EventCode::snapshot_rows: {
      e.list = get<std::uint32_t>(r + 1);
      if (e.list > 15) throw FrameError("list number above 15", at + 1);
      const auto rows = tail(at + 5, entry_size);
      e.entries.reserve(rows.size() / entry_size);
      for (std::size_t i = 0; i < rows.size(); i += entry_size) {
        const std::uint8_t* row = &rows[i];
        const auto row_at = static_cast<std::size_t>(row - frame_.data());
        if (row[12] > 2) throw FrameError("unknown availability " + std::to_string(row[12]), row_at + 12);
        constexpr Availability states[] = {Availability::ready, Availability::gone, Availability::draining};
        e.entries.push_back({get_endpoint(row), get<std::uint16_t>(row + 6), get<std::uint16_t>(row + 10),
                             states[row[12]], get<float>(row + 13), TimePoint::at_ms(get<double>(row + 17)),
                             get<std::uint16_t>(row + 8)});
      }
      break;
    }
  }
  return e;
}

void Reply::clear() {
  bytes_.resize(8);
  tail_.clear();
  count_ = 0;
}

std::uint8_t* Reply::record(std::uint8_t code, std::uint16_t who) {
  bytes_.resize(bytes_.size() + action_size);
  ++count_;
  std::uint8_t* r = &bytes_[bytes_.size() - action_size];
  r[0] = code;
  put(r + 1, who);
  return r;
}

void Reply::text(std::uint8_t code, std::uint16_t who, std::string_view text) {
  std::uint8_t* r = record(code, who);
  put(r + 3, static_cast<std::uint32_t>(tail_.size()));
  put(r + 7, static_cast<std::uint32_t>(text.size()));
  tail_.insert(tail_.end(), text.begin(), text.end());
}

void Reply::answer(std::uint16_t who, const Answer& a) {
  std::uint8_t* r = nullptr;
  switch (a.verdict) {
    case Verdict::nothing:
    case Verdict::wait: break;
    case Verdict::dispatch:
      if (a.fresh) put_endpoint(record(close_idle, who) + 3, a.endpoint);
      r = record(pass_on, who);
      put(r + 3, a.call);
      put(r + 11, a.span.as_ms());
      put_endpoint(r + 19, a.endpoint);
      break;
    case Verdict::reject:
      r = record(reject, who);
      put(r + 3, a.call);
      put(r + 11, a.span.as_ms());
      break;
    case Verdict::break_off: put(record(respond_error, who) + 3, a.call); break;
    case Verdict::cancel:
      r = record(abandon, who);
      put(r + 3, a.call);
      r[11] = static_cast<std::uint8_t>(a.number);
      break;
    case Verdict::tell: {
      r = record(publish, who);
      put(r + 3, every_peer);
      put(r + 7, static_cast<std::uint32_t>(tail_.size()));
      put(r + 11, static_cast<std::uint32_t>(news_size));
      tail_.resize(tail_.size() + news_size);
      std::uint8_t* news = &tail_[tail_.size() - news_size];
      put_endpoint(news, a.endpoint);
      put(news + 6, static_cast<std::uint16_t>(std::min<std::uint32_t>(a.number, 0xffffU)));
      break;
    }
    case Verdict::subscribe: record(stream_changes, who)[3] = 1; break;
    case Verdict::log: text(print, who, a.text.data()); break;
  }
}

void Reply::timer(std::uint16_t who, Span delay, std::uint32_t token) {
  std::uint8_t* r = record(after, who);
  put(r + 3, delay.as_ms());
  put(r + 11, token);
}

void Reply::fault(std::uint16_t who, std::string_view what) { text(exception, who, what); }

std::span<const std::uint8_t> Reply::finish() {
  bytes_.insert(bytes_.end(), tail_.begin(), tail_.end());
  put(&bytes_[0], count_);
  put(&bytes_[4], static_cast<std::uint32_t>(bytes_.size()));
  return bytes_;
}

Settings read_settings(std::string_view text) {
  Settings out;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) continue;
    config::put_setting(out, line.substr(0, equals), line.substr(equals + 1));
  }
  return out;
}

LoadReport read_load(const Event& event, std::string_view fields) {
  LoadReport out;
  for (std::size_t i = 0; i < event.load_count && !fields.empty(); ++i) {
    const std::size_t comma = std::min(fields.find(','), fields.size());
    const std::string_view name = fields.substr(0, comma);
    fields.remove_prefix(std::min(comma + 1, fields.size()));
    if (name == "q") out.waiting = event.load[i];
    if (name == "rif") out.held = event.load[i];
    if (name == "busy") out.busy = event.load[i];
    if (name == "lat_ms") out.service_ms = event.load[i];
  }
  return out;
}

}  // namespace chutevane::tundra
