// Checks the history of operators' submissions for consistency. A configuration is replaced on an expected
// base version, and versions rise. The checker knows only the calls, their times and their responses. A
// response that was lost on its way counts too, since it might have arrived.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::simulated {

// Identity of a submission; a retry has the same one.
struct SubmissionKey {
  std::int64_t base = 0, version = 0;
  std::string body;
  auto operator<=>(const SubmissionKey&) const = default;
};

// Records calls and responses, and finds contradictions between them.
class SubmissionHistory {
 public:
  void sent(const SubmissionKey& submission, TimePoint at);
  void answered(const SubmissionKey& submission, TimePoint sent, TimePoint at, int status);
  // Records a configuration that was read. Version 0 means that none has_response been accepted yet.
  void read(TimePoint sent, TimePoint at, std::int64_t version, const std::string& body);
  // Returns the first contradiction, or an empty string if there is none.
  std::string fault() const;
  // Numbers of submissions; retries are not counted.
  std::size_t acknowledged() const { return count(200); }
  std::size_t rejected() const { return count(412); }

 private:
  struct Attempt {
    TimePoint sent, at;
    int status = 0;
  };
  struct Submission {
    TimePoint first_sent;
    std::vector<Attempt> answers;
    bool has_response(int status) const;
    bool was_rejected() const { return has_response(400) || has_response(412); }
  };
  // A version that was current at some time between `sent` and `at`, as it was acknowledged or read.
  struct Seen {
    TimePoint sent, at;
    std::int64_t version = 0;
    const std::string* body = nullptr;          // nullptr if there was no configuration
    const SubmissionKey* submission = nullptr;  // nullptr if the version was read
  };
  std::size_t count(int status) const;
  std::vector<Seen> all_seen() const;
  std::string find_submission_fault() const;
  std::string find_real_time_fault(const std::vector<Seen>& seen) const;
  std::string find_rejection_fault(const std::vector<Seen>& seen) const;

  std::map<SubmissionKey, Submission> submissions_;
  struct Read {
    TimePoint sent, at;
    std::int64_t version = 0;
    std::string body;
  };
  std::vector<Read> reads_;
};

}  // namespace chutevane::simulated
