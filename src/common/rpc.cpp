#include "common/rpc.hpp"

#include <xxhash.h>

#include <cstring>

#include "common/log.hpp"

namespace chutevane::common {
namespace {

constexpr Span connect_most = Span::ms(500);  // a machine that is there answers within some ms
constexpr Span pause_first = Span::ms(20), pause_most = Span::ms(200);  // between tries to connect

}  // namespace

namespace frame {

void put(net::Buffer& out, std::uint8_t kind, Sort sort, std::uint64_t number, std::string_view record) {
  char head[head_size];
  const auto size = static_cast<std::uint32_t>(record.size());
  std::memcpy(head, &size, 4);
  head[4] = static_cast<char>(kind);
  head[5] = static_cast<char>(sort);
  std::memcpy(head + 6, &number, 8);
  out.append({head, head_size});
  out.append(record);
}

Progress look(std::span<const char> bytes, Head& head) {
  if (bytes.size() < head_size) return Progress::more;
  std::memcpy(&head.size, bytes.data(), 4);
  head.kind = static_cast<std::uint8_t>(bytes[4]);
  head.sort = static_cast<Sort>(bytes[5]);
  std::memcpy(&head.number, bytes.data() + 6, 8);
  if (head.size > record_most || head.sort > Sort::answer) return Progress::broken;
  return bytes.size() < head_size + head.size ? Progress::more : Progress::whole;
}

}  // namespace frame

RpcClient::RpcClient(net::Scheduler& scheduler, net::TimerQueue& later, const sockaddr_in& to,
                     std::uint64_t seed)
    : scheduler_(scheduler), timers_(later), to_(to), pause_(pause_first), random_(seed) {
  connect();
}

RpcClient::~RpcClient() {
  timers_.cancel(retry_);
  timers_.cancel(rising_);
  for (auto& [number, call] : calls_) timers_.cancel(call.due);
}

void RpcClient::connect() {
  old_.reset();
  channel_ = std::make_unique<net::Channel>(scheduler_, static_cast<net::Channel::Sink&>(*this));
  heard_ = timers_.now();
  if (!channel_->connect(to_)) {
    channel_.reset();
    again();
    return;
  }
  rising_ = timers_.after(connect_most, [this] {
    if (channel_ && !channel_->up()) restart();
  });
}

void RpcClient::again() {
  timers_.cancel(retry_);
  random_ = XXH3_64bits(&random_, sizeof random_);
  const double jitter = 0.5 + static_cast<double>(random_ >> 11U) * 0x1p-53;
  retry_ = timers_.after(pause_ * jitter, [this] { connect(); });
  pause_ = std::min(pause_ * 2, pause_most);
}

void RpcClient::restart() {
  timers_.cancel(rising_);
  const bool was_up = up();
  if (channel_) {
    channel_->reset();
    old_ = std::move(channel_);  // its coroutine may be running
  }
  again();
  fail_all();
  if (was_up && told_down_) told_down_();
}

void RpcClient::fail_all() {
  std::map<std::uint64_t, Call> calls;
  calls.swap(calls_);
  for (auto& [number, call] : calls) {
    timers_.cancel(call.due);
    call.answered(absl::UnavailableError("connection lost"));
  }
}

void RpcClient::channel_up(net::Channel&) {
  timers_.cancel(rising_);
  pause_ = pause_first;
  heard_ = timers_.now();
  for (auto& [number, call] : calls_)
    put(call.kind, frame::Sort::call, number, call.record), call.record.clear();
  if (told_up_) told_up_();
}

void RpcClient::channel_gone(net::Channel&) {
  timers_.cancel(rising_);
  old_ = std::move(channel_);
  again();
  fail_all();
  if (told_down_) told_down_();
}

void RpcClient::call_raw(std::uint8_t kind, std::string record, Span most, Answered answered) {
  const std::uint64_t number = ++last_;
  Call& call = calls_[number];
  call.kind = kind;
  call.answered = std::move(answered);
  call.since = timers_.now();
  call.due = timers_.after(most, [this, number] {
    const auto found = calls_.find(number);
    if (found == calls_.end()) return;
    const Answered told = std::move(found->second.answered);
    const bool deaf = up() && heard_ < found->second.since;
    calls_.erase(found);
    told(absl::DeadlineExceededError("no answer in time"));
    if (deaf) restart();  // nothing has come since it was asked: the way may be gone without a word
  });
  if (up()) {
    put(kind, frame::Sort::call, number, record);
  } else {
    call.record = std::move(record);
  }
}

void RpcClient::put(std::uint8_t kind, frame::Sort sort, std::uint64_t number, std::string_view record) {
  frame::put(channel_->out(), kind, sort, number, record);
  channel_->flush();
}

void RpcClient::channel_came(net::Channel& channel) {
  heard_ = timers_.now();
  frame::Head head;
  while (channel_.get() == &channel && channel.open()) {
    const std::span<char> bytes = channel.in().bytes();
    const frame::Progress progress = frame::look(bytes, head);
    if (progress == frame::Progress::broken) return restart();
    if (progress == frame::Progress::more) return;
    const std::string record(bytes.data() + frame::head_size, head.size);
    channel.in().consume(frame::head_size + head.size);
    if (head.sort == frame::Sort::answer) {
      const auto found = calls_.find(head.number);
      if (found == calls_.end()) continue;
      const Answered told = std::move(found->second.answered);
      timers_.cancel(found->second.due);
      calls_.erase(found);
      told(record);
    } else if (word_) {
      word_(head.kind, record);
    }
  }
}

RpcServer::Connection::Connection(RpcServer& desk)
    : rpc_server_(desk),
      channel_(desk.scheduler_, static_cast<net::Channel::Sink&>(*this)),
      id_(++desk.last_) {
  desk.connections_.emplace(id_, this);
}

void RpcServer::Connection::put(std::uint8_t kind, frame::Sort sort, std::uint64_t number,
                                std::string_view record) {
  if (!channel_.open()) return;
  frame::put(channel_.out(), kind, sort, number, record);
  channel_.flush();
}

void RpcServer::Connection::close() {
  if (!channel_.open()) return;
  channel_.close();
  channel_gone(channel_);
}

void RpcServer::Connection::channel_gone(net::Channel&) {
  rpc_server_.connections_.erase(id_);
  if (rpc_server_.gone_) rpc_server_.gone_(*this);
  rpc_server_.crew_.retire(*this);
}

void RpcServer::Connection::channel_came(net::Channel& channel) {
  frame::Head head;
  while (channel.open()) {
    const std::span<char> bytes = channel.in().bytes();
    const frame::Progress progress = frame::look(bytes, head);
    if (progress == frame::Progress::more) return;
    if (progress == frame::Progress::broken) {
      log_warning("desk.broken_frame", "a peer sent what is no frame");
      close();
      return;
    }
    const std::string record(bytes.data() + frame::head_size, head.size);
    channel.in().consume(frame::head_size + head.size);
    const auto handler = rpc_server_.handlers_.find(head.kind);
    if (handler != rpc_server_.handlers_.end())
      handler->second(*this, head.sort == frame::Sort::call ? head.number : 0, record);
  }
}

RpcServer::RpcServer(net::Scheduler& scheduler)
    : scheduler_(scheduler),
      listener_(scheduler,
                [this](int fd) {
                  // Its place first: what has come already may end it at once.
                  crew_.add(std::make_unique<Connection>(*this)).channel_.adopt(fd);
                }),
      crew_(scheduler) {}

void RpcServer::listen(const sockaddr_in& at) { listener_.listen(at); }

}  // namespace chutevane::common
