#include "common/rpc.hpp"

#include <xxhash.h>

#include "common/log.hpp"

namespace chutevane::common {
namespace {

constexpr Span connect_timeout = Span::ms(500);  // a reachable machine responds within some ms
constexpr Span initial_backoff = Span::ms(20), max_backoff = Span::ms(200);

}  // namespace

RpcClient::RpcClient(net::Scheduler& scheduler, net::TimerQueue& timers, const sockaddr_in& to,
                     std::uint64_t seed)
    : scheduler_(scheduler), timers_(timers), to_(to), backoff_(initial_backoff), random_(seed) {
  connect();
}

RpcClient::~RpcClient() {
  timers_.cancel(retry_timer_);
  timers_.cancel(connect_timeout_timer_);
  for (auto& [number, call] : calls_) timers_.cancel(call.timeout);
}

void RpcClient::connect() {
  closed_channel_.reset();
  channel_ = std::make_unique<net::Channel>(scheduler_, static_cast<net::Channel::Observer&>(*this));
  received_at_ = timers_.now();
  if (!channel_->connect(to_)) {
    channel_.reset();
    schedule_reconnect();
    return;
  }
  connect_timeout_timer_ = timers_.after(connect_timeout, [this] {
    if (channel_ && !channel_->up()) reconnect();
  });
}

void RpcClient::schedule_reconnect() {
  timers_.cancel(retry_timer_);
  random_ = XXH3_64bits(&random_, sizeof random_);
  const double jitter = 0.5 + static_cast<double>(random_ >> 11U) * 0x1p-53;
  retry_timer_ = timers_.after(backoff_ * jitter, [this] { connect(); });
  backoff_ = std::min(backoff_ * 2, max_backoff);
}

void RpcClient::reconnect() {
  timers_.cancel(connect_timeout_timer_);
  const bool was_up = up();
  if (channel_) {
    channel_->reset();
    closed_channel_ = std::move(channel_);
  }
  schedule_reconnect();
  fail_pending_calls();
  if (was_up && on_down_) on_down_();
}

void RpcClient::fail_pending_calls() {
  std::map<std::uint64_t, Call> calls;
  calls.swap(calls_);
  for (auto& [number, call] : calls) {
    timers_.cancel(call.timeout);
    call.done(absl::UnavailableError("connection lost"));
  }
}

void RpcClient::on_channel_open(net::Channel&) {
  timers_.cancel(connect_timeout_timer_);
  backoff_ = initial_backoff;
  received_at_ = timers_.now();
  for (auto& [number, call] : calls_) {
    write_frame(call.kind, frame::MessageType::request, number, call.record);
    call.record.clear();
  }
  if (on_up_) on_up_();
}

void RpcClient::on_channel_closed(net::Channel&) {
  timers_.cancel(connect_timeout_timer_);
  closed_channel_ = std::move(channel_);
  schedule_reconnect();
  fail_pending_calls();
  if (on_down_) on_down_();
}

void RpcClient::call_raw(std::uint8_t kind, std::string record, Span timeout, ReplyCallback done) {
  const std::uint64_t number = ++last_number_;
  Call& call = calls_[number];
  call.kind = kind;
  call.done = std::move(done);
  call.started_at = timers_.now();
  call.timeout = timers_.after(timeout, [this, number] { on_timeout(number); });
  if (up()) {
    write_frame(kind, frame::MessageType::request, number, record);
  } else {
    call.record = std::move(record);
  }
}

void RpcClient::on_timeout(std::uint64_t number) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) return;
  const ReplyCallback done = std::move(found->second.done);
  const bool nothing_received = up() && received_at_ < found->second.started_at;
  calls_.erase(found);
  done(absl::DeadlineExceededError("no reply within the timeout"));
  if (nothing_received) reconnect();  // the peer may be gone without having closed the connection
}

void RpcClient::on_reply(std::uint64_t number, std::string_view record) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) return;
  const ReplyCallback done = std::move(found->second.done);
  timers_.cancel(found->second.timeout);
  calls_.erase(found);
  done(record);
}

void RpcClient::write_frame(std::uint8_t kind, frame::MessageType type, std::uint64_t number,
                            std::string_view record) {
  frame::append(channel_->out(), kind, type, number, record);
  channel_->flush();
}

void RpcClient::on_channel_data(net::Channel& channel) {
  received_at_ = timers_.now();
  frame::Header header;
  // A callback may have replaced or closed the channel.
  while (channel_.get() == &channel && channel.open()) {
    const std::span<char> bytes = channel.in().bytes();
    const frame::ParseResult result = frame::parse_header(bytes, header);
    if (result == frame::ParseResult::malformed) return reconnect();
    if (result == frame::ParseResult::incomplete) return;
    const net::OwnedBytes frame =
        frame::take_record(channel.in(), header);  // a handler may close the channel
    const std::string_view record = frame.view();
    if (header.type == frame::MessageType::reply) {
      on_reply(header.number, record);
    } else if (on_message_) {
      on_message_(header.kind, record);
    }
  }
}

RpcServer::Connection::Connection(RpcServer& server)
    : rpc_server_(server),
      channel_(server.scheduler_, static_cast<net::Channel::Observer&>(*this)),
      id_(++server.last_id_) {
  server.connections_.emplace(id_, this);
}

void RpcServer::Connection::write_frame(std::uint8_t kind, frame::MessageType type, std::uint64_t number,
                                        std::string_view record) {
  if (!channel_.open()) return;
  frame::append(channel_.out(), kind, type, number, record);
  channel_.flush();
}

void RpcServer::Connection::close() {
  if (!channel_.open()) return;
  channel_.close();
  on_channel_closed(channel_);
}

void RpcServer::Connection::on_channel_closed(net::Channel&) {
  rpc_server_.connections_.erase(id_);
  if (rpc_server_.on_close_) rpc_server_.on_close_(*this);
  rpc_server_.tasks_.retire(*this);
}

void RpcServer::Connection::on_channel_data(net::Channel& channel) {
  frame::Header header;
  while (channel.open()) {  // a handler may close it
    const std::span<char> bytes = channel.in().bytes();
    const frame::ParseResult result = frame::parse_header(bytes, header);
    if (result == frame::ParseResult::incomplete) return;
    if (result == frame::ParseResult::malformed) {
      log_warning("rpc.malformed_frame", "a peer sent bytes that are not a valid frame");
      close();
      return;
    }
    const net::OwnedBytes frame =
        frame::take_record(channel.in(), header);  // a handler may close the channel
    const std::string_view record = frame.view();
    const auto handler = rpc_server_.handlers_.find(header.kind);
    if (handler == rpc_server_.handlers_.end()) continue;
    const bool is_request = header.type == frame::MessageType::request;
    handler->second(*this, is_request ? header.number : 0, record);
  }
}

RpcServer::RpcServer(net::Scheduler& scheduler)
    : scheduler_(scheduler),
      listener_(scheduler,
                [this](int fd) {
                  // Added before it adopts the socket: data that has already arrived may end the
                  // connection immediately.
                  tasks_.add(std::make_unique<Connection>(*this)).channel_.adopt(fd);
                }),
      tasks_(scheduler) {}

void RpcServer::listen(const sockaddr_in& at) { listener_.listen(at); }

}  // namespace chutevane::common
