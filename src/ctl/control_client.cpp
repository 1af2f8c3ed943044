#include "ctl/control_client.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "http/parser.hpp"

namespace chutevane::ctl {
namespace {

constexpr Span idle_timeout = Span::ms(1000);          // by the protocol, before the next sidecar is tried
constexpr Span idle_timeout_per_mib = Span::ms(1000);  // added: large bodies are checked and stored
constexpr int max_redirects = 2;                       // by the protocol
constexpr int max_rejections = 3;                      // attempts that get a 4xx that is not final
constexpr Span initial_backoff = Span::ms(50);         // a quorum answers within some ms
constexpr Span max_backoff = Span::ms(1000);           // so that a sidecar that comes back is noticed
constexpr double max_retry_after_s = 3600;             // a longer Retry-After counts as this

bool is_conclusive(int status) { return status < 500 && status != 408 && status != 429; }

/// Statuses that another sidecar would answer with too.
bool is_final_rejection(int status) {
  return status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

/// What Retry-After says in seconds; zero: there is none, or it is a date.
Span retry_after(const Response& response) {
  const std::string* const text = response.find("Retry-After");
  double seconds = 0;
  if (text == nullptr) return Span();
  const char* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, seconds);
  if (parsed.ec != std::errc() || parsed.ptr != end || !(seconds > 0)) return Span();
  return Span::ms(std::min(seconds, max_retry_after_s) * 1000);
}

Span idle_timeout_for(const Request& request) {
  const double mib = static_cast<double>(request.body.size()) / static_cast<double>(1U << 20U);
  return idle_timeout + idle_timeout_per_mib * mib;
}

std::string answered(const std::string& address, int status) {
  return address + ": answered " + std::to_string(status);
}

}  // namespace

const std::string* Response::find(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (http::same_name(key, name)) return &value;
  }
  return nullptr;
}

std::optional<RedirectTarget> parse_location(const std::string& location,
                                             const std::string& current_address) {
  constexpr std::string_view scheme = "http://";
  if (location.starts_with('/') && !location.starts_with("//"))
    return RedirectTarget{current_address, location};
  if (!location.starts_with(scheme)) return std::nullopt;
  const std::string rest = location.substr(scheme.size());
  const std::size_t slash = rest.find('/');
  std::string address = rest.substr(0, slash);
  if (address.empty() || address.find('@') != std::string::npos) return std::nullopt;
  if (address.find(':') == std::string::npos) address += ":80";
  return RedirectTarget{address, slash == std::string::npos ? "/" : rest.substr(slash)};
}

ControlClient::ControlClient(Transport& transport, Clock& clock, std::vector<std::string> addresses,
                             Span timeout)
    : transport_(transport), clock_(clock), addresses_(std::move(addresses)), end_(clock.now() + timeout) {}

bool ControlClient::sleep(Span span) {
  if (clock_.now() + span >= end_) return false;
  clock_.sleep(span);
  return true;
}

absl::StatusOr<Response> ControlClient::exchange_following_redirects(std::string address, Request request,
                                                                     TimePoint end, std::string& from) {
  const Span idle = idle_timeout_for(request);
  for (int redirects = 0;; ++redirects) {
    from = address;
    const Span left = end - clock_.now();
    if (left <= Span()) return absl::DeadlineExceededError(address + ": no time left");
    absl::StatusOr<Response> response = transport_.exchange(address, request, {std::min(idle, left), left});
    if (!response.ok() || response->status != 307) return response;
    if (redirects == max_redirects) return absl::UnavailableError(address + ": a third redirect");
    const std::string* const location = response->find("Location");
    auto redirect = location == nullptr ? std::nullopt : parse_location(*location, address);
    if (!redirect) return absl::UnavailableError(address + ": a redirect that leads nowhere");
    address = std::move(redirect->address);
    request.target = std::move(redirect->target);
  }
}

absl::StatusOr<Response> ControlClient::call_once(const std::string& address, const Request& request) {
  std::string from;
  return exchange_following_redirects(address, request, end_, from);
}

std::size_t ControlClient::next_address(std::size_t current, const std::vector<TimePoint>& not_before,
                                        TimePoint due) const {
  const std::size_t first = (current + 1) % addresses_.size();
  std::size_t earliest = first;
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    const std::size_t candidate = (first + i) % addresses_.size();
    if (not_before[candidate] <= due) return candidate;
    if (not_before[candidate] < not_before[earliest]) earliest = candidate;
  }
  return earliest;
}

absl::StatusOr<CallResult> ControlClient::call(const Request& request, Span limit) {
  const TimePoint end = std::min(end_, clock_.now() + limit);
  std::vector<TimePoint> not_before(addresses_.size());  // by what each said in Retry-After
  CallResult out;
  Span backoff = initial_backoff;
  int rejections = 0;
  std::string last_failure = "no time left";
  while (clock_.now() < end) {
    const std::size_t at = current_ % addresses_.size();
    ++out.attempts;
    absl::StatusOr<Response> response = exchange_following_redirects(addresses_[at], request, end, out.from);
    if (!response.ok()) {
      out.may_have_been_executed = out.may_have_been_executed || !absl::IsNotFound(response.status());
      last_failure = std::string(response.status().message());
    } else if (is_conclusive(response->status)) {
      const bool try_another = response->status >= 400 && !is_final_rejection(response->status);
      if (!try_another || ++rejections == max_rejections) {
        out.response = *std::move(response);
        return out;
      }
      last_failure = answered(out.from, response->status);
    } else {
      out.may_have_been_executed = true;
      last_failure = answered(out.from, response->status);
      not_before[at] = clock_.now() + retry_after(*response);
    }
    const TimePoint due = clock_.now() + backoff;
    current_ = next_address(at, not_before, due);
    const Span wait = std::max(due, not_before[current_]) - clock_.now();
    if (clock_.now() + wait >= end) break;  // sooner than it was asked to, an attempt would not help
    clock_.sleep(wait);
    backoff = std::min(backoff * 2, max_backoff);
  }
  return absl::UnavailableError(last_failure + " (" + std::to_string(out.attempts) +
                                (out.attempts == 1 ? " try)" : " tries)"));
}

}  // namespace chutevane::ctl
