/// Server-sent events (text/event-stream) as far as the edge needs them: where one ends, its data and its id.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chutevane::edge {

/// One event.
struct ServerSentEvent {
  std::string data;                ///< the `data` lines, each with a line feed behind it
  std::optional<std::int64_t> id;  ///< nothing: there is none, or it is no whole number
};

/// Size in bytes of the first complete event in `bytes`, its empty line included; 0: none is complete yet.
std::size_t complete_event_size(std::string_view bytes);
/// Reads one complete event. Lines that are neither data nor id are ignored, as are malformed ones.
ServerSentEvent parse_event(std::string_view bytes);

}  // namespace chutevane::edge
