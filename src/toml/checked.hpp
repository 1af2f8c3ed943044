// Tables of a TOML file, each key asked for by name, checked and given its default in one place. What is
// wrong is collected, with line and column, and told all at once; what is not asked for is unknown.
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

namespace chutevane::checked {

// A word of a file, and what it stands for.
template <class E>
struct Word {
  std::string_view text;
  E value;
};

struct Errors {
  std::string file, lines;  // "FILE:LINE:COLUMN: KEY: WHY", a line each
  void add(const toml::node& at, const std::string& key, const std::string& why);
};

// What cannot be parsed: the same form, one line.
struct ParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// Throws ParseError. `file` is for messages; over `most` bytes nothing is parsed.
toml::table parse(std::string_view text, const std::string& file, std::size_t most);
// At most so many bytes of a file and one more; nothing where it cannot be read.
std::optional<std::string> read_file(const std::string& file, std::size_t most);
// The nearest of the words, if it is near enough to have been meant; else empty.
std::string nearest(const std::set<std::string>& words, const std::string& to);

class Table {
 public:
  Table(const toml::table& table, std::string path, Errors& errors)
      : table_(table), path_(std::move(path)), errors_(errors) {}
  Table(const Table&) = delete;
  Table& operator=(const Table&) = delete;
  ~Table();  // names what was not asked for

  const toml::node* find(const std::string& key);
  void wrong(const std::string& key, const std::string& why);
  double number(const std::string& key, std::optional<double> otherwise, double least, double most);
  int whole(const std::string& key, std::optional<int> otherwise, int least, int most);
  // Milliseconds, an hour at most.
  Span span(const std::string& key, std::optional<double> otherwise, double least = 0.0);
  bool flag(const std::string& key, bool otherwise);
  std::string text(const std::string& key, const std::optional<std::string>& otherwise);
  std::vector<std::string> texts(const std::string& key, const std::vector<std::string>& otherwise);
  template <class E>
  E word(const std::string& key, std::span<const Word<E>> words, std::optional<E> otherwise) {
    const toml::node* at = find(key);
    if (at == nullptr) {
      if (!otherwise) wrong(key, "missing");
      return otherwise.value_or(words.front().value);
    }
    const std::string got = at->value_or(std::string());
    std::string allowed;
    for (const Word<E>& w : words) {
      if (w.text == got) return w.value;
      allowed += (allowed.empty() ? "" : ", ") + std::string(w.text);
    }
    wrong(key, "'" + got + "' is none of " + allowed);
    return words.front().value;
  }
  const toml::table* table(const std::string& key);
  // [[key]], in the order of the file.
  std::vector<const toml::table*> tables(const std::string& key);
  std::string under(const std::string& key) const { return path_ + key + "."; }
  const toml::node& node() const { return table_; }
  Errors& errors() { return errors_; }

 private:
  const toml::table& table_;
  std::string path_;
  Errors& errors_;
  std::set<std::string> asked_;
};

}  // namespace chutevane::checked
