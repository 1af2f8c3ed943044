// Golden data: stored bytes of wire and disk formats, with which the current output is compared.
//
// A file in tests/golden/ has one entry per line: a name and its bytes in hexadecimal digits ("-" if there
// are none). To store new entries after an intended change of a format, remove the lines, run the tests with
// CHUTEVANE_WRITE_GOLDEN=1, and review the difference. Such a run fails, because it compares nothing.
#pragma once

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace chutevane::golden {

inline std::string hex_of(std::string_view bytes) {
  std::string out;
  for (const char c : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned>(static_cast<unsigned char>(c)));
    out += digits;
  }
  return out.empty() ? "-" : out;
}

inline std::string bytes_of(const std::string& hex) {
  std::string out;
  for (std::size_t at = 0; hex != "-" && at < hex.size(); at += 2)
    out += static_cast<char>(std::stoi(hex.substr(at, 2), nullptr, 16));
  return out;
}

// The entries of one golden file.
class GoldenFile {
 public:
  explicit GoldenFile(const std::string& file) : path_(GOLDEN "/" + file) {
    std::ifstream in(path_);
    for (std::string name, hex; in >> name >> hex;) entries_[name] = hex;
  }

  // Expects `bytes` to equal the entry `name`.
  void compare(const std::string& name, std::string_view bytes) {
    compared_.insert(name);
    if (std::getenv("CHUTEVANE_WRITE_GOLDEN") != nullptr) return write(name, hex_of(bytes));
    ASSERT_TRUE(entries_.contains(name)) << path_ << " has no " << name;
    EXPECT_EQ(entries_[name], hex_of(bytes)) << name;
  }

  // Returns the bytes of the entry `name`.
  std::string bytes(const std::string& name) const {
    const auto found = entries_.find(name);
    EXPECT_NE(found, entries_.end()) << path_ << " has no " << name;
    return found == entries_.end() ? "" : bytes_of(found->second);
  }

  // Returns the entries whose names begin with `prefix`, by the rest of their names.
  std::map<std::string, std::string> entries_under(const std::string& prefix) const {
    std::map<std::string, std::string> out;
    for (const auto& [name, hex] : entries_) {
      if (name.starts_with(prefix)) out[name.substr(prefix.size())] = bytes_of(hex);
    }
    return out;
  }

  // Expects that all entries whose names begin with `prefix` were compared, so that no entry is obsolete.
  void expect_all_compared(const std::string& prefix = "") const {
    for (const auto& [name, hex] : entries_)
      EXPECT_TRUE(!name.starts_with(prefix) || compared_.contains(name)) << name << " is no longer written";
  }

 private:
  void write(const std::string& name, const std::string& hex) {
    entries_[name] = hex;
    std::ofstream out(path_);
    for (const auto& [one, digits] : entries_) out << one << ' ' << digits << '\n';
    ADD_FAILURE() << name << " was written, not compared";
  }

  const std::string path_;
  std::map<std::string, std::string> entries_;
  std::set<std::string> compared_;
};

}  // namespace chutevane::golden
