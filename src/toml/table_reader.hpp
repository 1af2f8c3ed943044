/// Reads the tables of a TOML file: each key is asked for by name, checked, and given its default in one
/// place.
///
/// Errors do not end the reading: all of them are collected, each with line and column, and reported
/// together. A key that nobody asked for is an error too, with the nearest known key as a suggestion.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <set>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::toml_reader {

/// An enumerator and the text that stands for it in a file.
template <class E>
struct EnumName {
  std::string_view text;
  E value;
};

struct ErrorList {
  std::string file;
  std::string lines;  // "FILE:LINE:COLUMN: KEY: REASON", one a line
  void add(const toml::node& at, const std::string& key, const std::string& reason);
};

/// A text that is no TOML: one line of the same form.
struct ParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
/// `file` is for messages. Throws ParseError, also over `max_bytes`.
toml::table parse(std::string_view text, const std::string& file, std::size_t max_bytes);
/// At most `max_bytes` + 1 bytes of a file, so that parse() sees when it is too long; nothing where it cannot
/// be read.
std::optional<std::string> read_file(const std::string& file, std::size_t max_bytes);
/// The word nearest to `to` by spelling, if it is near enough for a slip of the pen; else empty.
std::string nearest(const std::set<std::string>& words, const std::string& to);

/// One table. Each reader of a key returns its value, or its default where the key is missing or wrong;
/// `fallback` empty: the key must be there.
class TableReader {
 public:
  /// `path`: what comes before a key of this table in messages, with a dot at its end. The table and the
  /// errors outlive it.
  TableReader(const toml::table& table, std::string path, ErrorList& errors)
      : table_(table), path_(std::move(path)), errors_(errors) {}
  TableReader(const TableReader&) = delete;
  TableReader& operator=(const TableReader&) = delete;
  /// Adds an error for each key that was not asked for.
  ~TableReader();

  const toml::node* find(const std::string& key);
  /// Adds an error for a key.
  void wrong(const std::string& key, const std::string& reason);
  double number(const std::string& key, std::optional<double> fallback, double min, double max);
  /// A whole number.
  int whole(const std::string& key, std::optional<int> fallback, int min, int max);
  /// In milliseconds, an hour at most.
  Span span(const std::string& key, std::optional<double> fallback, double min = 0.0);
  bool flag(const std::string& key, bool fallback);
  /// Not empty, unless by default.
  std::string text(const std::string& key, const std::optional<std::string>& fallback);
  std::vector<std::string> texts(const std::string& key, const std::vector<std::string>& fallback);
  /// One of the names.
  template <class E>
  E word(const std::string& key, std::span<const EnumName<E>> names, std::optional<E> fallback) {
    const toml::node* found = find(key);
    if (found == nullptr) {
      if (!fallback) wrong(key, "missing");
      return fallback.value_or(names.front().value);
    }
    const std::string text = found->value_or(std::string());
    std::string allowed;
    for (const EnumName<E>& name : names) {
      if (name.text == text) return name.value;
      allowed += (allowed.empty() ? "" : ", ") + std::string(name.text);
    }
    wrong(key, "'" + text + "' is none of " + allowed);
    return names.front().value;
  }
  /// Null: not there.
  const toml::table* table(const std::string& key);
  /// [[key]], in the order of the file.
  std::vector<const toml::table*> tables(const std::string& key);
  /// The path of a table under `key`.
  std::string under(const std::string& key) const { return path_ + key + "."; }
  const toml::node& node() const { return table_; }
  ErrorList& errors() { return errors_; }

 private:
  const toml::table& table_;
  std::string path_;
  ErrorList& errors_;
  std::set<std::string> known_keys_;  // that have been asked for
};

}  // namespace chutevane::toml_reader
