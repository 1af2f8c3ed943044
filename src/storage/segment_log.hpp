/// An append-only log in segments: the files `turns.1`, `turns.2`, ... of a storage node.
///
/// Records are framed (common/record_framing.hpp) with a salt that contains the number of their segment. Only
/// the newest segment is appended to. A segment that has reached max_segment_bytes is closed; a start of the
/// process closes all that there are, so that nothing is appended behind a torn end. Whole segments are
/// removed once the owner needs none of their records.
///
/// append() buffers, commit() writes all that is buffered with one append and one sync. After a commit that
/// failed the file may have any part of it; the next commit truncates the file to what was committed before
/// and writes all again.
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

/// Not thread-safe.
class SegmentLog {
 public:
  /// `disk` outlives this object.
  explicit SegmentLog(common::Disk& disk) : disk_(disk) {}

  /// Number of the segment in the file of that name; nullopt: the file is no segment.
  static std::optional<std::uint64_t> parse_file_name(const std::string& name);
  static std::string file_name(std::uint64_t segment);
  /// The intact records of a segment's file.
  static common::ParsedFrames parse_file(std::string_view content, std::uint64_t segment);

  using RecordHandler = std::function<void(const std::string& record, std::uint64_t segment)>;
  /// Reads all segments, the oldest first, and begins a new one. Called once, before everything else. A
  /// damaged record ends its segment; the other segments are read. Each file is synced before its records are
  /// handed out: an earlier process may have been killed before it did, and what is told of must not vanish
  /// at a loss of power. An error is the disk's.
  [[nodiscard]] absl::Status recover(TimePoint now, const RecordHandler& on_record);

  /// Buffers a record for the current segment. Durable once commit() has returned OK.
  void append(std::string_view record);
  /// After an error nothing of what is buffered counts as durable; all of it stays buffered for the next
  /// call.
  [[nodiscard]] absl::Status commit(TimePoint now);
  /// The last commit has failed.
  bool is_failing() const { return failing_; }
  bool has_uncommitted() const { return !buffer_.empty(); }

  /// The segment that append() writes for. Changes with a commit.
  std::uint64_t current_segment() const { return current_; }

  /// References keep count of the records of a segment that its owner still needs.
  void add_reference(std::uint64_t segment) { ++segments_[segment].references; }
  void drop_reference(std::uint64_t segment) { --segments_[segment].references; }

  /// A segment that is not appended to any more.
  struct ClosedSegment {
    std::uint64_t number = 0;
    std::size_t references = 0;
    TimePoint opened_at;  // in this process: at the start of it, or later
  };
  std::optional<ClosedSegment> oldest_closed() const;
  /// Deletes the file of a closed segment. A loss of power may bring it back.
  [[nodiscard]] absl::Status remove(std::uint64_t segment);

 private:
  /// A file of the log; the newest one has no file before its first commit.
  struct Segment {
    std::size_t references = 0;
    TimePoint opened_at;
  };
  void open_segment(std::uint64_t segment, TimePoint now);

  common::Disk& disk_;
  std::map<std::uint64_t, Segment> segments_;  // by number; the current one is the last
  std::uint64_t current_ = 1;
  std::size_t current_size_ = 0;  // bytes that were committed
  std::string buffer_;            // frames
  bool failing_ = false;
};

}  // namespace chutevane::storage
