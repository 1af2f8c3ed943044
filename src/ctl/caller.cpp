#include "ctl/caller.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "http/parser.hpp"

namespace chutevane::ctl {
namespace {

constexpr Span silence_most = Span::ms(1000);     // by the protocol, before the next sidecar is asked
constexpr Span silence_per_mib = Span::ms(1000);  // more for large bodies, which are checked and stored
constexpr int redirects_most = 2;                 // by the protocol
constexpr int refusals_most = 3;                  // tries on a 4xx that is not final
constexpr Span backoff_first = Span::ms(50);      // a majority answers within some ms
constexpr Span backoff_most = Span::ms(1000);     // so that a sidecar that comes back is seen
constexpr double wait_most_s = 3600;              // what is more in a Retry-After counts as this

bool unclear(int status) { return status >= 500 || status == 408 || status == 429; }
bool final_refusal(int status) {
  return status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

// Seconds; a date counts as none.
Span retry_after(const Answer& answer) {
  const std::string* const text = answer.find("Retry-After");
  double seconds = 0;
  if (text == nullptr) return Span();
  const char* const end = text->data() + text->size();
  const auto got = std::from_chars(text->data(), end, seconds);
  if (got.ec != std::errc() || got.ptr != end || !(seconds > 0)) return Span();
  return Span::ms(std::min(seconds, wait_most_s) * 1000);
}

}  // namespace

const std::string* Answer::find(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (http::same_name(key, name)) return &value;
  }
  return nullptr;
}

bool read_location(const std::string& location, std::string& address, std::string& target) {
  constexpr std::string_view scheme = "http://";
  if (location.starts_with('/') && !location.starts_with("//")) {
    target = location;  // at the same address
    return true;
  }
  if (!location.starts_with(scheme)) return false;
  const std::string rest = location.substr(scheme.size());
  const std::size_t slash = rest.find('/');
  std::string host = rest.substr(0, slash);
  if (host.empty() || host.find('@') != std::string::npos) return false;
  if (host.find(':') == std::string::npos) host += ":80";
  address = host;
  target = slash == std::string::npos ? "/" : rest.substr(slash);
  return true;
}

Caller::Caller(Transport& transport, Clock& clock, std::vector<std::string> addresses, Span timeout)
    : transport_(transport), clock_(clock), addresses_(std::move(addresses)), end_(clock.now() + timeout) {}

bool Caller::pause(Span span) {
  if (clock_.now() + span >= end_) return false;
  clock_.pause(span);
  return true;
}

absl::StatusOr<Answer> Caller::follow(std::string address, Ask ask, TimePoint end, std::string& from) {
  const Span silence = silence_most + silence_per_mib * (static_cast<double>(ask.body.size()) /
                                                         static_cast<double>(1U << 20U));
  for (int redirects = 0;; ++redirects) {
    from = address;
    const Span left = end - clock_.now();
    if (left <= Span()) return absl::DeadlineExceededError(address + ": no time left");
    absl::StatusOr<Answer> got = transport_.exchange(address, ask, std::min(silence, left), left);
    if (!got.ok() || got->status != 307) return got;
    const std::string* const location = got->find("Location");
    if (redirects == redirects_most) return absl::UnavailableError(address + ": a third redirect");
    if (location == nullptr || !read_location(*location, address, ask.target))
      return absl::UnavailableError(address + ": a redirect that leads nowhere");
  }
}

absl::StatusOr<Answer> Caller::once(const std::string& address, const Ask& ask) {
  std::string from;
  return follow(address, ask, end_, from);
}

absl::StatusOr<Heard> Caller::call(const Ask& ask, Span most) {
  const TimePoint end = std::min(end_, clock_.now() + most);
  std::vector<TimePoint> not_before(addresses_.size());  // by what each said in Retry-After
  Heard out;
  Span backoff = backoff_first;
  int refusals = 0;
  std::string last = "no time left";
  while (clock_.now() < end) {
    const std::size_t at = next_ % addresses_.size();
    ++out.tries;
    absl::StatusOr<Answer> got = follow(addresses_[at], ask, end, out.from);
    if (got.ok() && !unclear(got->status)) {
      const bool refused = got->status >= 400 && !final_refusal(got->status);
      if (!refused || ++refusals == refusals_most) {
        out.answer = *std::move(got);
        return out;
      }
      last = out.from + ": answered " + std::to_string(got->status);
    } else if (got.ok()) {
      out.doubt = true;
      last = out.from + ": answered " + std::to_string(got->status);
      not_before[at] = clock_.now() + retry_after(*got);
    } else {
      out.doubt = out.doubt || !absl::IsNotFound(got.status());
      last = std::string(got.status().message());
    }
    // The next one that may be asked by then; where none may, the one that may first.
    const TimePoint due = clock_.now() + backoff;
    next_ = (at + 1) % addresses_.size();
    std::size_t chosen = next_;
    for (std::size_t i = 0; i < addresses_.size(); ++i) {
      const std::size_t one = (next_ + i) % addresses_.size();
      if (not_before[one] <= due) {
        chosen = one;
        break;
      }
      if (not_before[one] < not_before[chosen]) chosen = one;
    }
    next_ = chosen;
    const Span wait = std::max(due, not_before[chosen]) - clock_.now();
    if (clock_.now() + wait >= end) break;  // a call before it was asked for is none that helps
    clock_.pause(wait);
    backoff = std::min(backoff * 2, backoff_most);
  }
  return absl::UnavailableError(last + " (" + std::to_string(out.tries) +
                                (out.tries == 1 ? " try)" : " tries)"));
}

}  // namespace chutevane::ctl
