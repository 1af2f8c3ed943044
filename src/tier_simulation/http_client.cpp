#include "tier_simulation/http_client.hpp"

#include <charconv>

namespace chutevane::tier_simulation {
namespace {

constexpr std::size_t max_descriptors = 65536;

}  // namespace

HttpClient::HttpClient(network_simulation::Process& process)
    : scheduler_(process), timers_(scheduler_), tasks_(scheduler_) {
  process.run(
      scheduler_,
      [this] {
        scheduler_.turn();
        return true;
      },
      max_descriptors);
}

HttpClient::Call::Call(HttpClient& client, std::string request, Callback callback)
    : client_(client),
      channel_(client.scheduler_, static_cast<net::Channel::Observer&>(*this)),
      request_(std::move(request)),
      callback_(std::move(callback)) {}

void HttpClient::call(const sockaddr_in& to, std::string request, Span timeout, Callback callback) {
  Call& call = tasks_.add(std::make_unique<Call>(*this, std::move(request), std::move(callback)));
  call.timeout_ = timers_.after(timeout, [at = &call] { at->finish(std::nullopt); });
  if (!call.channel_.connect(to)) call.finish(std::nullopt);
}

void HttpClient::Call::on_channel_data(net::Channel&) {
  if (!callback_) return;
  const http::Progress progress = parser_.feed(channel_.in().bytes());
  if (progress == http::Progress::more) return;
  if (progress == http::Progress::failed) return finish(std::nullopt);
  HttpResult out;
  out.status = parser_.status();
  out.body = std::string(parser_.body());
  if (const auto version = parser_.find("X-Chutevane-Base-Version"))
    std::from_chars(version->data(), version->data() + version->size(), out.version);
  finish(std::move(out));
}

// Only the first call counts: the connection is closed then.
void HttpClient::Call::finish(std::optional<HttpResult> result) {
  if (!callback_) return;
  const Callback callback = std::exchange(callback_, nullptr);
  client_.timers_.cancel(timeout_);
  channel_.close();
  client_.tasks_.retire(*this);
  callback(std::move(result));
}

std::string HttpClient::post(std::string_view target, std::string_view body, std::int64_t base_version) {
  std::string out = "POST " + std::string(target) + " HTTP/1.1\r\nHost: control\r\n";
  out += "X-Chutevane-Base-Version: " + std::to_string(base_version) + "\r\n";
  out += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  out += body;
  return out;
}

std::string HttpClient::get(std::string_view target) {
  return "GET " + std::string(target) + " HTTP/1.1\r\nHost: control\r\n\r\n";
}

}  // namespace chutevane::tier_simulation
