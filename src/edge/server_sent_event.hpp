/// A minimal parser of server-sent events (text/event-stream): event boundaries, data and ids.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chutevane::edge {

/// The data and the id of an event.
struct ServerSentEvent {
  std::string data;                ///< the values of the `data` lines, each followed by a line feed
  std::optional<std::int64_t> id;  ///< empty if there is no id, or the id is not a whole number
};

/// Returns the size in bytes of the first complete event in `bytes`, including its empty line, or 0 if no
/// event is complete yet.
std::size_t complete_event_size(std::string_view bytes);
/// Parses one complete event. Lines other than `data` and `id` are ignored, as are malformed lines.
ServerSentEvent parse_event(std::string_view bytes);

}  // namespace chutevane::edge
