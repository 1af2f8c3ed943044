/// Collects the validation errors of one document, with their locations, to report them together.
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
  /// Adds a finding; findings beyond the limit of 100 are dropped.
  void add(std::string place, std::string what) {
    if (list_.size() < max_findings) list_.push_back({std::move(place), std::move(what)});
  }
  bool none() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }
  /// Returns all findings as `PLACE: WHAT`, separated by semicolons.
  std::string text() const {
    std::string out;
    for (const Finding& f : list_) out += (out.empty() ? "" : "; ") + f.place + ": " + f.what;
    return out;
  }
  /// Returns InvalidArgument with text(), or OK if there are no findings.
  absl::Status status() const { return none() ? absl::OkStatus() : absl::InvalidArgumentError(text()); }

 private:
  static constexpr std::size_t max_findings = 100;  // limits the size of the response to the operator
  std::vector<Finding> list_;
};

}  // namespace chutevane::common
