/// Validation errors of one document, each with its location: collected, and reported together.
#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"

namespace chutevane::common {

struct Finding {
  std::string place;  ///< a line, a key, or a path into a document
  std::string what;   ///< what is wrong there
};

class Findings {
 public:
  /// Findings above the limit of 100 are dropped.
  void add(std::string place, std::string what) {
    if (list_.size() < max_findings) list_.push_back({std::move(place), std::move(what)});
  }
  bool none() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }
  /// `PLACE: WHAT`, separated by semicolons.
  std::string text() const {
    std::string out;
    for (const Finding& f : list_) out += (out.empty() ? "" : "; ") + f.place + ": " + f.what;
    return out;
  }
  /// InvalidArgument with text(), or Ok where there are none.
  absl::Status status() const { return none() ? absl::OkStatus() : absl::InvalidArgumentError(text()); }

 private:
  static constexpr std::size_t max_findings = 100;  // bounds the answer to the operator
  std::vector<Finding> list_;
};

}  // namespace chutevane::common
