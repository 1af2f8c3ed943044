#include "toml/table_reader.hpp"

#include <algorithm>
#include <fstream>
#include <utility>

namespace chutevane::toml_reader {
namespace {

constexpr double max_span_ms = 3.6e6;  // an hour
/// Letters apart up to which a key is taken for a misspelling of another.
constexpr std::size_t max_suggestion_distance = 2;

/// The number of letters added, dropped, replaced or swapped between two words (Damerau-Levenshtein).
std::size_t edit_distance(std::string_view a, std::string_view b) {
  // The distances of the letters of `a` so far to each prefix of `b`; the same without the last letter.
  std::vector<std::size_t> row(b.size() + 1), above(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::vector<std::size_t> next(b.size() + 1, i + 1);
    for (std::size_t j = 0; j < b.size(); ++j) {
      next[j + 1] = std::min({next[j] + 1, row[j + 1] + 1, row[j] + (a[i] == b[j] ? 0U : 1U)});
      // Two letters that are swapped count once.
      if (i > 0 && j > 0 && a[i] == b[j - 1] && a[i - 1] == b[j])
        next[j + 1] = std::min(next[j + 1], above[j - 1] + 1);
    }
    above = std::exchange(row, next);
  }
  return row[b.size()];
}

std::string text_of(double v) {
  std::string out = std::to_string(v);
  while (out.back() == '0') out.pop_back();
  if (out.back() == '.') out.pop_back();
  return out;
}

/// The offset of the first byte beyond ASCII outside comments and strings, where TOML does not allow it;
/// none: npos. toml++ takes some of these for white space of a kind that it has no branch for, and fails in
/// undefined ways.
std::size_t find_non_ascii(std::string_view text) {
  constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
  for (std::size_t at = text.starts_with(byte_order_mark) ? byte_order_mark.size() : 0; at < text.size();
       ++at) {
    const char c = text[at];
    if ((c & 0x80) != 0) return at;
    if (c == '#') at = std::min(text.find('\n', at), text.size());
    if (c != '"' && c != '\'') continue;
    const std::string_view three = text.substr(at, 3);
    const bool lines = three.size() == 3 && three[1] == c && three[2] == c;
    const std::string_view end = lines ? three : three.substr(0, 1);
    for (at += end.size(); at < text.size() && text.substr(at, end.size()) != end; ++at) {
      if (text[at] == '\\' && c == '"') ++at;
      if (!lines && at < text.size() && text[at] == '\n') break;  // a string without its end: toml++ says so
    }
    at += end.size() - 1;
  }
  return std::string_view::npos;
}

}  // namespace

void ErrorList::add(const toml::node& at, const std::string& key, const std::string& reason) {
  const auto& where = at.source().begin;
  lines += (lines.empty() ? "" : "\n") + file + ":" + std::to_string(where.line) + ":" +
           std::to_string(where.column) + ": " + key + ": " + reason;
}

toml::table parse(std::string_view text, const std::string& file, std::size_t max_bytes) {
  if (text.size() > max_bytes)
    throw ParseError(file + ":1:1: file: over " + std::to_string(max_bytes) + " bytes");
  if (const std::size_t at = find_non_ascii(text); at != std::string_view::npos) {
    const std::string_view before = text.substr(0, at);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t column = line == 1 ? at + 1 : at - before.rfind('\n');
    throw ParseError(file + ":" + std::to_string(line) + ":" + std::to_string(column) +
                     ": no TOML: letters beyond ASCII belong in quotes or comments");
  }
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& e) {
    const auto& at = e.source().begin;
    throw ParseError(file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) +
                     ": no TOML: " + std::string(e.description()));
  }
}

std::optional<std::string> read_file(const std::string& file, std::size_t max_bytes) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return std::nullopt;
  std::string text(max_bytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  return text;
}

std::string nearest(const std::set<std::string>& words, const std::string& to) {
  const auto near = std::min_element(words.begin(), words.end(), [&](const auto& a, const auto& b) {
    return edit_distance(a, to) < edit_distance(b, to);
  });
  return near != words.end() && edit_distance(*near, to) <= max_suggestion_distance ? *near : "";
}

TableReader::~TableReader() {
  for (const auto& [key, value] : table_) {
    const std::string name(key.str());
    if (known_keys_.contains(name)) continue;
    const std::string near = nearest(known_keys_, name);
    errors_.add(value, path_ + name, near.empty() ? "unknown" : "unknown; did you mean " + near + "?");
  }
}

const toml::node* TableReader::find(const std::string& key) {
  known_keys_.insert(key);
  return table_.get(key);
}

void TableReader::wrong(const std::string& key, const std::string& reason) {
  const toml::node* at = table_.get(key);
  errors_.add(at != nullptr ? *at : static_cast<const toml::node&>(table_), path_ + key, reason);
}

double TableReader::number(const std::string& key, std::optional<double> fallback, double min, double max) {
  const toml::node* at = find(key);
  if (at == nullptr) {
    if (!fallback) wrong(key, "missing");
    return fallback.value_or(min);
  }
  const std::optional<double> v = at->is_number() ? at->value<double>() : std::nullopt;
  if (!v || !(*v >= min && *v <= max)) {
    wrong(key, "no number from " + text_of(min) + " to " + text_of(max));
    return min;
  }
  return *v;
}

int TableReader::whole(const std::string& key, std::optional<int> fallback, int min, int max) {
  const std::optional<double> instead = fallback ? std::optional<double>(*fallback) : std::nullopt;
  const double v = number(key, instead, min, max);
  if (v != static_cast<int>(v)) wrong(key, "no whole number");
  return static_cast<int>(v);
}

Span TableReader::span(const std::string& key, std::optional<double> fallback, double min) {
  return Span::ms(number(key, fallback, min, max_span_ms));
}

bool TableReader::flag(const std::string& key, bool fallback) {
  const toml::node* at = find(key);
  if (at == nullptr) return fallback;
  if (!at->is_boolean()) wrong(key, "neither true nor false");
  return at->value_or(fallback);
}

std::string TableReader::text(const std::string& key, const std::optional<std::string>& fallback) {
  const toml::node* at = find(key);
  if (at == nullptr) {
    if (!fallback) wrong(key, "missing");
    return fallback.value_or("");
  }
  const std::optional<std::string> v = at->is_string() ? at->value<std::string>() : std::nullopt;
  if (!v || v->empty()) wrong(key, "no text");
  return v.value_or("");
}

std::vector<std::string> TableReader::texts(const std::string& key,
                                            const std::vector<std::string>& fallback) {
  const toml::node* at = find(key);
  if (at == nullptr) return fallback;
  std::vector<std::string> out;
  if (const toml::array* list = at->as_array()) {
    for (const toml::node& item : *list) out.push_back(item.value_or(std::string()));
  }
  if (out.empty() || std::find(out.begin(), out.end(), "") != out.end()) wrong(key, "no list of texts");
  return out;
}

const toml::table* TableReader::table(const std::string& key) {
  const toml::node* at = find(key);
  if (at != nullptr && !at->is_table()) wrong(key, "no table");
  return at == nullptr ? nullptr : at->as_table();
}

std::vector<const toml::table*> TableReader::tables(const std::string& key) {
  std::vector<const toml::table*> out;
  const toml::node* at = find(key);
  if (at == nullptr) return out;
  const toml::array* list = at->as_array();
  for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
    if (const toml::table* one = list->get(i)->as_table()) out.push_back(one);
  }
  if (list == nullptr || out.size() != list->size()) wrong(key, "write it as [[" + path_ + key + "]]");
  return out;
}

}  // namespace chutevane::toml_reader
