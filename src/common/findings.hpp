// What is wrong with what was given, with its place: collected, and reported together.
#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"

namespace chutevane::common {

struct Finding {
  std::string place;  // a line, a key, or a path into a document
  std::string what;
};

class Findings {
 public:
  void add(std::string place, std::string what) {
    if (list_.size() < most) list_.push_back({std::move(place), std::move(what)});
  }
  bool none() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }
  std::string text() const {
    std::string out;
    for (const Finding& f : list_) out += (out.empty() ? "" : "; ") + f.place + ": " + f.what;
    return out;
  }
  absl::Status status() const { return none() ? absl::OkStatus() : absl::InvalidArgumentError(text()); }

 private:
  static constexpr std::size_t most = 100;  // a reader mends these first; bounds the answer
  std::vector<Finding> list_;
};

}  // namespace chutevane::common
