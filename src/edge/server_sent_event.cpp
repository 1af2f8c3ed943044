/// Parsing of server-sent events.
#include "edge/server_sent_event.hpp"

#include <algorithm>

#include "edge/whole_number.hpp"

namespace chutevane::edge {

std::size_t complete_event_size(std::string_view bytes) {
  const std::size_t unix_end = bytes.find("\n\n");
  const std::size_t dos_end = bytes.find("\r\n\r\n");
  if (unix_end == std::string_view::npos && dos_end == std::string_view::npos) return 0;
  return unix_end < dos_end ? unix_end + 2 : dos_end + 4;
}

ServerSentEvent parse_event(std::string_view bytes) {
  ServerSentEvent event;
  while (!bytes.empty()) {
    const std::size_t end = std::min(bytes.find('\n'), bytes.size());
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(std::min(end + 1, bytes.size()));
    if (line.ends_with('\r')) line.remove_suffix(1);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    const std::string_view name = line.substr(0, colon);
    if (name == "data") {
      event.data.append(value);
      event.data.push_back('\n');
    } else if (name == "id") {
      if (const auto id = parse_whole_number(value)) event.id = id;
    }
  }
  return event;
}

}  // namespace chutevane::edge
