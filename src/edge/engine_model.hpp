/// A model of the inference engines behind one service: what a further request at an endpoint costs, in ms.
///
/// All figures are observed on this process's own attempts; none belongs to a particular engine. An engine
/// runs a batch of as many requests as it has slots, and reads prompts (prefill) in chunks between the tokens
/// that the others generate (decode). A request that is placed at an endpoint therefore pays for
///  - the tokens of its own prompt that are not in the engine's prefix cache, which have to be read,
///  - the prompts that are being read there already,
///  - the wait for a slot where all are taken: as many slots become free as there are, spread over the time
///  for
///    which a request has one,
///  - the prompts that are read beside it: while it runs, each of the others ends about once and is followed
///  by one
///    whose prompt is read; and its own prompt delays those that run.
///
/// How many requests of other processes are at an endpoint is known only from the load that its last response
/// reported. Between two reports the estimate moves from the reported figure towards the mean over all
/// endpoints, as fast as requests end there.
#pragma once

#include "chutevane/types.hpp"

namespace chutevane::edge {

/// Smoothed observations of one service and the estimates that follow from them. Not thread-safe.
class EngineModel {
 public:
  /// An attempt has ended with its whole response, `duration` after it was sent.
  void observe_slot_time(Span duration);
  /// The first event of a response came after `latency`; `tokens` of its prompt were not cached.
  void observe_prefill(double tokens, Span latency);
  /// An endpoint has reported its load, of which so many requests are those of other processes.
  void observe_other_requests(double requests);

  /// Time to read one token of a prompt.
  double prefill_ms_per_token() const { return prefill_ms_per_token_; }
  /// Time for which a request has a slot; 0 until the first one has ended.
  double slot_ms() const { return slot_ms_; }
  /// Mean number of tokens of a prompt that have to be read.
  double mean_prefill_tokens() const { return mean_prefill_tokens_; }
  /// Requests of other processes at an endpoint that reported `reported` of them `age` ago.
  double expected_other_requests(double reported, Span age) const;
  /// The same for an endpoint that has not reported yet.
  double mean_other_requests() const { return mean_other_requests_; }
  /// Mean wait for a slot at an endpoint with `slots` slots, where this process has `own` requests and others
  /// have `others` on the mean. `slots` 0 means unknown: no wait is expected.
  double expected_wait_ms(double own, double others, double slots) const;

 private:
  double prefill_ms_per_token_ = 0.02;  // until observed: 50 tokens a ms, as engines of today read
  double slot_ms_ = 0;
  double mean_prefill_tokens_ = 0;
  double mean_other_requests_ = 0;
};

/// Expected value of max(0, X) for a normally distributed X.
double expected_excess(double mean, double variance);

}  // namespace chutevane::edge
