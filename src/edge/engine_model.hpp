// What a place at a model endpoint costs, in ms: as observed on the attempts of this sidecar, without a
// figure of any one engine.
//
// An endpoint runs batches of `capacity` requests and reads prompts in pieces between the tokens of others.
// So a request that is placed there pays for
//  - the part of its prompt that is not kept there, which has to be read,
//  - the prompts that are being read there already,
//  - the wait for a place, where all are taken: places come free one by one, `capacity` of them in the time
//    that a request holds one,
//  - the prompts that are read beside it: while it runs, each of the others ends about once, and one that
//    takes its place has its prompt read; and its own prompt holds those up that run.
// How many others run is known only from the answers of before. Between two of them it goes from what was
// told towards the mean of all endpoints, as fast as requests end there.
#pragma once

#include "chutevane/types.hpp"

namespace chutevane::edge {

class EngineModel {
 public:
  // An attempt held its place for so long, to the end of its answer.
  void place_held(Span time);
  // The first event of an attempt came after `latency`, with so many tokens of its prompt to be read.
  void prompt_read(double tokens, Span latency);
  // An endpoint has told how many requests of other sidecars it has.
  void others_told(double others);

  double ms_per_token() const { return ms_per_token_; }
  double place_ms() const { return place_ms_; }
  // Tokens of a prompt that have to be read, on the mean.
  double mean_unread() const { return mean_unread_; }
  // Requests of other sidecars at an endpoint: `told` so long ago.
  double others_now(double told, Span age) const;
  double others_unheard() const { return mean_others_; }
  // The mean wait for a place where `own` requests of this sidecar and, on the mean, `others` of other
  // sidecars are at an endpoint with so many places. 0 places: unknown, nobody waits.
  double wait_ms(double own, double others, double capacity) const;

 private:
  double ms_per_token_ = 0.02;  // until it is observed: 50 tokens a ms, as engines of today read
  double place_ms_ = 0;         // 0: none has ended yet
  double mean_unread_ = 0;
  double mean_others_ = 0;
};

// The mean of a normal variable where it is above 0, and 0 elsewhere.
double mean_excess(double mean, double variance);

}  // namespace chutevane::edge
