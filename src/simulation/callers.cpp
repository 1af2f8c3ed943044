#include "simulation/callers.hpp"

#include <charconv>

namespace chutevane::simulation {
namespace {

constexpr std::size_t descriptors = 65536;

}  // namespace

Callers::Callers(network_simulation::Process& process)
    : scheduler_(process), timers_(scheduler_), tasks_(scheduler_) {
  process.run(
      scheduler_,
      [this] {
        scheduler_.turn();
        return true;
      },
      descriptors);
}

Callers::Call::Call(Callers& callers, std::string request, Done done)
    : callers_(callers),
      channel_(callers.scheduler_, static_cast<net::Channel::Observer&>(*this)),
      request_(std::move(request)),
      done_(std::move(done)) {}

void Callers::call(const sockaddr_in& to, std::string request, Span most, Done done) {
  Call& call = tasks_.add(std::make_unique<Call>(*this, std::move(request), std::move(done)));
  call.due_ = timers_.after(most, [at = &call] { at->end(std::nullopt); });
  if (!call.channel_.connect(to)) call.end(std::nullopt);
}

void Callers::Call::on_channel_data(net::Channel&) {
  if (!done_) return;
  const http::Progress progress = parser_.feed(channel_.in().bytes());
  if (progress == http::Progress::more) return;
  if (progress == http::Progress::failed) return end(std::nullopt);
  HttpResult out;
  out.status = parser_.status();
  out.body = std::string(parser_.body());
  if (const auto version = parser_.find("X-Chutevane-Base-Version"))
    std::from_chars(version->data(), version->data() + version->size(), out.version);
  end(std::move(out));
}

// Once: the connection is closed, whatever may still come.
void Callers::Call::end(std::optional<HttpResult> result) {
  if (!done_) return;
  const Done done = std::exchange(done_, nullptr);
  callers_.timers_.cancel(due_);
  channel_.close();
  callers_.tasks_.retire(*this);
  done(std::move(result));
}

std::string Callers::post(std::string_view target, std::string_view body, std::int64_t base_version) {
  std::string out = "POST " + std::string(target) + " HTTP/1.1\r\nHost: control\r\n";
  out += "X-Chutevane-Base-Version: " + std::to_string(base_version) + "\r\n";
  out += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  out += body;
  return out;
}

std::string Callers::get(std::string_view target) {
  return "GET " + std::string(target) + " HTTP/1.1\r\nHost: control\r\n\r\n";
}

}  // namespace chutevane::simulation
