#include "snapshot/coming_back.hpp"

#include "json/value.hpp"

namespace chutevane::snapshot {

void ComingBack::look(const Served& served, TimePoint now) {
  if (full_ || now - looked_ < look_every) return;
  const auto calls = static_cast<double>(served.calls - last_.calls);
  const auto refused = static_cast<double>(served.refused - last_.refused);
  if (refused > refused_most * calls) last_bad_ = now;
  looked_ = now;
  last_ = served;
  full_ = now - last_bad_ >= window;
}

std::string ComingBack::as_json(TimePoint now) const {
  json::Writer out;
  out.open('{').key("state").text(full_ ? "full" : "learning");
  out.key("up_ms").real((now - since_).as_ms());
  out.key(full_ ? "took_ms" : "refused_last_ms").real(took().as_ms()).key("from").text(from_);
  return out.close('}').result();
}

}  // namespace chutevane::snapshot
