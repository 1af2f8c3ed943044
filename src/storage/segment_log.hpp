/// An append-only log divided into segments: the files `turns.1`, `turns.2`, ... of a storage node.
///
/// Records are framed (common/record_framing.hpp) with a salt derived from the number of their segment. Only
/// the newest segment is appended to. A segment is closed once it is larger than max_segment_bytes. Each
/// start of the process closes all existing segments, so that nothing is appended after a torn record. Whole
/// segments are removed once the owner needs none of their records.
///
/// append() buffers records; commit() writes the buffer with one append and one sync. After a failed commit
/// the file may contain any part of the buffer, so the next commit truncates the file to its committed size
/// and writes the whole buffer again.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "chutevane/types.hpp"
#include "common/disk.hpp"
#include "common/record_framing.hpp"

namespace chutevane::storage {

/// Appends records to segments and removes segments. Not thread-safe.
class SegmentLog {
 public:
  /// `disk` must outlive this object.
  explicit SegmentLog(common::Disk& disk) : disk_(disk) {}

  /// Returns the number of the segment that the file name denotes, or std::nullopt if it denotes none.
  static std::optional<std::uint64_t> parse_file_name(const std::string& name);
  static std::string file_name(std::uint64_t segment);
  /// Returns the intact records of the content of a segment's file.
  static common::ParsedFrames parse_file(std::string_view content, std::uint64_t segment);

  using RecordHandler = std::function<void(const std::string& record, std::uint64_t segment)>;
  /// Reads all segments, the oldest first, and starts a new one. Must be called once, before any other
  /// function. A damaged record ends the reading of its segment; later segments are still read. Each file is
  /// synced before `on_record` gets its records: an earlier process may have been killed before its sync, and
  /// a record that was reported must not disappear after a power loss. Returns the error of the disk, if any.
  [[nodiscard]] absl::Status recover(TimePoint now, const RecordHandler& on_record);

  /// Buffers a record for the current segment. The record is durable once commit() has returned OK.
  void append(std::string_view record);
  /// Writes and syncs the buffer. After an error, none of the buffered records counts as durable, and all
  /// stay buffered for the next call.
  [[nodiscard]] absl::Status commit(TimePoint now);
  /// Returns true if the last commit failed.
  bool is_failing() const { return failing_; }
  bool has_uncommitted() const { return !buffer_.empty(); }

  /// Returns the segment that append() buffers records for. It changes only in commit().
  std::uint64_t current_segment() const { return current_segment_; }

  /// The number of references of a segment is the number of its records that the owner still needs.
  void add_reference(std::uint64_t segment) { ++segments_[segment].references; }
  void drop_reference(std::uint64_t segment) { --segments_[segment].references; }

  /// A segment that is no longer appended to.
  struct ClosedSegment {
    std::uint64_t number = 0;
    std::size_t references = 0;
    TimePoint opened_at;  // by this process: when it started, or later
  };
  /// Returns std::nullopt if the only segment is the current one.
  std::optional<ClosedSegment> oldest_closed() const;
  /// Deletes the file of a closed segment. A power loss may undo the deletion.
  [[nodiscard]] absl::Status remove(std::uint64_t segment);

 private:
  /// One segment of the log. The newest one has no file before its first commit.
  struct Segment {
    std::size_t references = 0;
    TimePoint opened_at;
  };
  void open_segment(std::uint64_t segment, TimePoint now);

  common::Disk& disk_;
  std::map<std::uint64_t, Segment> segments_;  // by number; the current one is the last
  std::uint64_t current_segment_ = 1;
  std::size_t current_size_ = 0;  // committed bytes
  std::string buffer_;            // framed records that are not committed yet
  bool failing_ = false;
};

}  // namespace chutevane::storage
