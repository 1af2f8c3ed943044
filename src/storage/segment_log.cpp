/// Implements SegmentLog: file names, commits and recovery. docs/storage-format.md specifies the file format.
#include "storage/segment_log.hpp"

#include <charconv>

namespace chutevane::storage {
namespace {

constexpr std::string_view file_prefix = "turns.";
/// A small deployment writes this much in some tens of seconds.
constexpr std::size_t max_segment_bytes = std::size_t{4} << 20U;
constexpr std::size_t max_kept_buffer_bytes = std::size_t{1} << 20U;  // between two commits
/// Combined with the number of the segment to form the salt of its frames, so that a frame is accepted
/// neither in another segment nor in the file of a DurableState.
constexpr std::uint64_t segment_salt = 0x63656c6c6172ULL;

}  // namespace

std::string SegmentLog::file_name(std::uint64_t segment) {
  return std::string(file_prefix) + std::to_string(segment);
}

std::optional<std::uint64_t> SegmentLog::parse_file_name(const std::string& name) {
  if (!name.starts_with(file_prefix)) return std::nullopt;
  std::uint64_t segment = 0;
  const auto parsed = std::from_chars(name.data() + file_prefix.size(), name.data() + name.size(), segment);
  if (parsed.ec != std::errc() || name != file_name(segment)) return std::nullopt;
  return segment;
}

common::ParsedFrames SegmentLog::parse_file(std::string_view content, std::uint64_t segment) {
  return common::parse_frames(content, segment_salt ^ segment);
}

absl::Status SegmentLog::recover(TimePoint now, const RecordHandler& on_record) {
  for (const std::string& name : disk_.list_files()) {
    if (const auto segment = parse_file_name(name)) segments_[*segment].opened_at = now;
  }
  for (const auto& [number, segment] : segments_) {
    const std::string name = file_name(number);
    const absl::StatusOr<std::string> content = disk_.read(name);
    if (!content.ok()) return content.status();
    if (absl::Status s = disk_.sync(name); !s.ok()) return s;
    for (const std::string& record : parse_file(*content, number).records) on_record(record, number);
  }
  open_segment(segments_.empty() ? 1 : segments_.rbegin()->first + 1, now);
  return absl::OkStatus();
}

void SegmentLog::open_segment(std::uint64_t segment, TimePoint now) {
  current_segment_ = segment;
  current_size_ = 0;
  segments_[segment].opened_at = now;
}

void SegmentLog::append(std::string_view record) {
  buffer_ += common::frame_record(record, segment_salt ^ current_segment_);
}

absl::Status SegmentLog::commit(TimePoint now) {
  if (buffer_.empty()) return absl::OkStatus();
  const std::string name = file_name(current_segment_);
  if (failing_) {
    // A failed commit may have written a part of the buffer or all of it. A torn record would hide the
    // records appended after it, and complete records would be in the file twice.
    if (absl::Status s = disk_.truncate(name, current_size_); !s.ok()) return s;
  }
  failing_ = true;
  if (absl::Status s = disk_.append(name, buffer_); !s.ok()) return s;
  if (absl::Status s = disk_.sync(name); !s.ok()) return s;
  failing_ = false;
  current_size_ += buffer_.size();
  if (buffer_.capacity() > max_kept_buffer_bytes) {
    std::string().swap(buffer_);  // frees it, unlike clear()
  } else {
    buffer_.clear();
  }
  if (current_size_ > max_segment_bytes) open_segment(current_segment_ + 1, now);
  return absl::OkStatus();
}

std::optional<SegmentLog::ClosedSegment> SegmentLog::oldest_closed() const {
  if (segments_.empty() || segments_.begin()->first == current_segment_) return std::nullopt;
  const auto& [number, segment] = *segments_.begin();
  return ClosedSegment{number, segment.references, segment.opened_at};
}

absl::Status SegmentLog::remove(std::uint64_t segment) {
  if (absl::Status s = disk_.remove(file_name(segment)); !s.ok()) return s;
  segments_.erase(segment);
  return absl::OkStatus();
}

}  // namespace chutevane::storage
