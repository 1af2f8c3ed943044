// The ceiling of a dispatch, by what has been served of late. Stands by itself: plain values, no settings.
#pragma once

#include "base/histogram.hpp"

namespace chutevane {

struct EstimateSpec {
  double multiple = 3.0;          // x p95; the source's default
  double quantile = 0.95;         // the source's default
  Span window = Span::ms(10000);  // the design page's
  std::uint32_t samples = 20;     // done dispatches; the source's default
  Span floor = Span::ms(50);      // the source's default: one scheduling hiccup
  double starved_cuts = 0.2;      // cuts per done: more is no longer a tail being trimmed
};

class Estimate {
 public:
  explicit Estimate(const EstimateSpec& given = {}) : spec_(given), served_(given.window), cuts_(served_) {}
  void served(Span elapsed, TimePoint now) { served_.add(elapsed, now); }
  void cut(Span elapsed, TimePoint now) { cuts_.add(elapsed, now); }  // ended by a ceiling under `most`
  bool measured(TimePoint now) { return served_.count(now) >= spec_.samples; }
  Span quantile(double q, TimePoint now) { return served_.quantile(q, now); }
  Span median(TimePoint now) { return measured(now) ? quantile(0.5, now) : Span(); }  // zero: unmeasured
  Span high(TimePoint now) { return quantile(spec_.quantile, now); }
  // Guards against a ceiling that cuts off the answers it is learnt from. Asked now and then; holds between.
  bool starve(TimePoint now) {
    const double cuts = cuts_.count(now), done = served_.count(now);
    return starved_ = cuts > spec_.starved_cuts * std::max(1.0, done);
  }
  bool starved() const { return starved_; }
  // At most `most`, which stands in full while too little was served, or cuts starve the estimate.
  Span ceiling(Span most, TimePoint now) {
    if (!measured(now) || starved_) return most;
    return std::min(most, std::max(spec_.floor, high(now) * spec_.multiple));
  }
  const EstimateSpec& spec() const { return spec_; }

 private:
  EstimateSpec spec_;
  WindowedHistogram served_, cuts_;
  bool starved_ = false;
};

}  // namespace chutevane
