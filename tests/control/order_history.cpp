#include "order_history.hpp"

#include <algorithm>

namespace chutevane::simulated {
namespace {

std::string describe(const SubmissionKey& submission) {
  return std::to_string(submission.base) + " to " + std::to_string(submission.version);
}

}  // namespace

bool SubmissionHistory::Submission::has_response(int status) const {
  return std::any_of(answers.begin(), answers.end(), [&](const Attempt& t) { return t.status == status; });
}

void SubmissionHistory::sent(const SubmissionKey& submission, TimePoint at) {
  const auto [found, is_new] = submissions_.emplace(submission, Submission{});
  if (is_new) found->second.first_sent = at;
}

void SubmissionHistory::answered(const SubmissionKey& submission, TimePoint sent, TimePoint at, int status) {
  submissions_.at(submission).answers.push_back({sent, at, status});
}

void SubmissionHistory::read(TimePoint sent, TimePoint at, std::int64_t version, const std::string& body) {
  reads_.push_back({sent, at, version, body});
}

std::size_t SubmissionHistory::count(int status) const {
  return static_cast<std::size_t>(
      std::count_if(submissions_.begin(), submissions_.end(),
                    [&](const auto& one) { return one.second.has_response(status); }));
}

std::vector<SubmissionHistory::Seen> SubmissionHistory::all_seen() const {
  std::vector<Seen> out;
  for (const auto& [key, submission] : submissions_) {
    for (const Attempt& t : submission.answers) {
      if (t.status == 200) out.push_back({submission.first_sent, t.at, key.version, &key.body, &key});
    }
  }
  for (const Read& r : reads_)
    out.push_back({r.sent, r.at, r.version, r.version == 0 ? nullptr : &r.body, nullptr});
  return out;
}

// Checks that of any two acknowledged submissions the version of one is not above the base of the other.
std::string SubmissionHistory::find_submission_fault() const {
  const SubmissionKey* before = nullptr;  // the previous acknowledged submission, by base and version
  for (const auto& [key, submission] : submissions_) {
    if (!submission.has_response(200)) continue;
    if (submission.was_rejected()) return describe(key) + " was acknowledged and rejected";
    if (key.version <= key.base) return describe(key) + " is invalid and was acknowledged";
    if (before != nullptr && before->version > key.base)
      return describe(*before) + " and " + describe(key) + " were both acknowledged";
    before = &key;
  }
  return "";
}

std::string SubmissionHistory::find_real_time_fault(const std::vector<Seen>& seen) const {
  for (const Seen& a : seen) {
    const std::string version = std::to_string(a.version);
    for (const Seen& b : seen) {
      if (a.version == b.version && a.body != nullptr && *a.body != *b.body)
        return "two configurations of version " + version;
      if (b.submission == nullptr && a.at < b.sent && b.version < a.version)
        return "version " + std::to_string(b.version) + " was read after " + version;
      // No version between a submission's base and its version can ever have been current.
      if (b.submission != nullptr && b.submission->base < a.version && a.version < b.version)
        return version + " was seen, and " + describe(*b.submission) + " acknowledged";
      if (b.submission != nullptr && a.at < b.sent && b.submission->base < a.version &&
          a.version != b.version)
        return describe(*b.submission) + " was acknowledged, and first sent after " + version + " was seen";
    }
  }
  return "";
}

std::string SubmissionHistory::find_rejection_fault(const std::vector<Seen>& seen) const {
  for (const auto& [key, submission] : submissions_) {
    if (submission.has_response(400) && key.version > key.base)
      return describe(key) + " is valid and was answered 400";
    if (!submission.was_rejected()) continue;
    const auto in_force = std::any_of(seen.begin(), seen.end(), [&](const Seen& s) {
      return s.version == key.version && s.body != nullptr && *s.body == key.body;
    });
    // The same bytes on another base are another submission, which may be the current one.
    const auto another = std::any_of(submissions_.begin(), submissions_.end(), [&](const auto& other) {
      return other.first.version == key.version && other.first.body == key.body &&
             other.first.base != key.base;
    });
    if (in_force && !another) return describe(key) + " was rejected and is current";
    for (const Attempt& t : submission.answers) {
      if (t.status != 412) continue;
      const bool before = std::any_of(seen.begin(), seen.end(),
                                      [&](const Seen& s) { return s.version == key.base && s.at < t.sent; });
      const bool after = std::any_of(seen.begin(), seen.end(), [&](const Seen& s) {
        return s.version == key.base && s.submission == nullptr && t.at < s.sent;
      });
      if (before && after && key.version > key.base)
        return describe(key) + " was rejected although its base was current";
    }
  }
  return "";
}

std::string SubmissionHistory::fault() const {
  const std::vector<Seen> seen = all_seen();
  for (const std::string& found :
       {find_submission_fault(), find_real_time_fault(seen), find_rejection_fault(seen)}) {
    if (!found.empty()) return found;
  }
  return "";
}

}  // namespace chutevane::simulated
