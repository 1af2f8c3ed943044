/// Tables of text for people.
#pragma once

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

namespace chutevane::ctl {

/// Control characters replaced by `?`: names come from other machines, and must not move the terminal's
/// cursor.
inline std::string printable(std::string text) {
  for (char& c : text) c = static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? '?' : c;
  return text;
}

/// Prints rows with columns aligned; two blanks between them.
inline void print_rows(std::ostream& out, const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += printable(row[i]);
      if (i + 1 < row.size()) line.append(widths[i] - row[i].size() + 2, ' ');
    }
    out << line << '\n';
  }
}

}  // namespace chutevane::ctl
