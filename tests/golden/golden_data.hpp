// Bytes as they were on the wire and on disk when they were stored: what is written today is held to them.
//
// A file of tests/golden/ has one entry a line: a name and its bytes in hexadecimal digits ("-": none).
// To store anew, after a form was changed on purpose: remove the lines, run the tests with
// CHUTEVANE_WRITE_GOLDEN=1, and review the difference. Such a run fails: it compares nothing.
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

class Stored {
 public:
  explicit Stored(const std::string& file) : path_(GOLDEN "/" + file) {
    std::ifstream in(path_);
    for (std::string name, hex; in >> name >> hex;) entries_[name] = hex;
  }

  // What is written today is what was stored under that name.
  void compare(const std::string& name, std::string_view bytes) {
    compared_.insert(name);
    if (std::getenv("CHUTEVANE_WRITE_GOLDEN") != nullptr) return write(name, hex_of(bytes));
    ASSERT_TRUE(entries_.contains(name)) << path_ << " has no " << name;
    EXPECT_EQ(entries_[name], hex_of(bytes)) << name;
  }

  std::string bytes(const std::string& name) const {
    const auto found = entries_.find(name);
    EXPECT_NE(found, entries_.end()) << path_ << " has no " << name;
    return found == entries_.end() ? "" : bytes_of(found->second);
  }

  // Entries whose names begin so, without that beginning.
  std::map<std::string, std::string> under(const std::string& prefix) const {
    std::map<std::string, std::string> out;
    for (const auto& [name, hex] : entries_) {
      if (name.starts_with(prefix)) out[name.substr(prefix.size())] = bytes_of(hex);
    }
    return out;
  }

  // Every entry that begins so was compared: none is stored for nothing.
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
