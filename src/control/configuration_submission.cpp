#include "control/configuration_submission.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace chutevane::control {
namespace {

using common::AppliedConfiguration;

/// Returns the status of a submission whose version is not above the current one. Each configuration was
/// accepted on the version before it, so the history also gives the base versions.
SubmissionStatus evaluate_by_history(const std::vector<AppliedConfiguration>& history,
                                     const ConfigurationSubmission& submission, std::size_t history_limit) {
  const bool is_history_complete = history.size() < history_limit;
  if (history.empty() || (!is_history_complete && submission.version <= history.front().version))
    return SubmissionStatus::undetermined;
  const auto found = std::lower_bound(
      history.begin(), history.end(), submission.version,
      [](const AppliedConfiguration& applied, std::int64_t version) { return applied.version < version; });
  if (found == history.end() || found->version != submission.version || found->hash != submission.hash)
    return SubmissionStatus::superseded;
  const std::int64_t base = found == history.begin() ? 0 : std::prev(found)->version;
  return base == submission.base ? SubmissionStatus::accepted : SubmissionStatus::superseded;
}

}  // namespace

SubmissionStatus evaluate(const common::RegisterValue& current, const ConfigurationSubmission& submission,
                          std::size_t history_limit) {
  if (submission.version <= submission.base) return SubmissionStatus::not_above_base;
  if (submission.version <= current.config_version)
    return evaluate_by_history(current.applied_configurations, submission, history_limit);
  if (submission.base == current.config_version) return SubmissionStatus::applicable;
  // A base below the current version never becomes current again. A base above it may become current later,
  // and a retry of the same submission may then be applied. So a rejection now could reject a configuration
  // that later takes effect.
  return submission.base < current.config_version ? SubmissionStatus::superseded
                                                  : SubmissionStatus::undetermined;
}

common::RegisterValue apply_submission(const common::RegisterValue& current,
                                       const ConfigurationSubmission& submission, std::size_t history_limit) {
  assert(evaluate(current, submission, history_limit) == SubmissionStatus::applicable);
  common::RegisterValue next = current;
  next.config_version = submission.version;
  next.config.data = submission.body;
  next.applied_configurations.push_back({submission.version, submission.hash});
  if (next.applied_configurations.size() > history_limit)
    next.applied_configurations.erase(next.applied_configurations.begin());
  return next;
}

}  // namespace chutevane::control
