/// A model of the inference engines behind one service. It estimates what an additional request at an
/// endpoint costs, in ms.
///
/// All parameters are observed on this process's own attempts; none is specific to a particular engine. An
/// engine runs a batch of as many requests as it has slots, and processes prompts (prefill) in chunks between
/// the tokens that the other requests generate (decode). The cost of a request at an endpoint therefore
/// consists of:
///  - the tokens of its own prompt that are not in the engine's prefix cache,
///  - the prompts that are already being processed there,
///  - the wait for a slot if all slots are in use: on average each slot becomes free once within the time
///    for which a request occupies a slot,
///  - the prompts that are processed while the request runs: on average each of the other requests ends once
///    within that time, and is replaced by a request whose prompt must be processed,
///  - the delay of the running requests by the prompt of the new one.
/// The costs of another zone and of a new connection are not part of this model
/// (ServiceBalancer::placement_cost).
///
/// The number of requests of other processes at an endpoint is known only from the load that its last
/// response reported. Between two reports the estimate decays from the reported value towards the mean over
/// all endpoints, at the rate at which requests end there.
#pragma once

#include "chutevane/types.hpp"

namespace chutevane::edge {

/// Smoothed observations of one service, and the estimates derived from them. Not thread-safe.
class EngineModel {
 public:
  /// Records the duration of an attempt that ended with a complete response.
  void observe_slot_time(Span duration);
  /// Records the time to the first event of a response whose prompt had `tokens` uncached tokens.
  void observe_prefill(double tokens, Span latency);
  /// Records the number of requests of other processes from an endpoint's load report.
  void observe_other_requests(double requests);

  /// Returns the time to process one token of a prompt.
  double prefill_ms_per_token() const { return prefill_ms_per_token_; }
  /// Returns the time for which a request occupies a slot, or 0 until the first request has ended.
  double slot_ms() const { return slot_ms_; }
  /// Returns the mean number of uncached tokens of a prompt.
  double mean_prefill_tokens() const { return mean_prefill_tokens_; }
  /// Returns the expected number of requests of other processes at an endpoint that reported `reported` of
  /// them `age` ago.
  double expected_other_requests(double reported, Span age) const;
  /// Returns the expected number for an endpoint that has not reported its load yet.
  double mean_other_requests() const { return mean_other_requests_; }
  /// Returns the mean wait for a slot at an endpoint with `slots` slots, `own` requests of this process and a
  /// mean of `others` requests of other processes. Returns 0 if `slots` is 0 (unknown).
  double expected_wait_ms(double own, double others, double slots) const;

 private:
  double prefill_ms_per_token_ = 0.02;  // initial value; 50 tokens per ms is typical of current engines
  double slot_ms_ = 0;
  double mean_prefill_tokens_ = 0;
  double mean_other_requests_ = 0;
};

/// Returns the expected value of max(0, X) for a normally distributed X.
double expected_excess(double mean, double variance);

}  // namespace chutevane::edge
