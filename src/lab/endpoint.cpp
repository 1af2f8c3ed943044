#include "lab/endpoint.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

#include "http/writer.hpp"

namespace chutevane::lab {
namespace {

using net::Socket;
using net::Waker;

constexpr std::size_t client_connections = 1000;  // of one endpoint to its sidecar
constexpr Span client_idle = Span::ms(30000);     // before an endpoint closes one
constexpr std::string_view never_ran = "X-Not-Processed: 1\r\n";

// "480m" or "480000u"; an hour where it is neither.
Span read_wait(std::string_view text) {
  double v = 0;
  const auto got = std::from_chars(text.data(), text.data() + text.size(), v);
  if (got.ec != std::errc() || got.ptr + 1 != text.data() + text.size()) return Span::ms(3.6e6);
  return Span::ms(*got.ptr == 'm' ? v : v / 1000.0);
}

bool may(Chance& chance, double probability) { return probability > 0.0 && chance.one_in(probability); }

}  // namespace

ReferenceMemory& Shared::memory(std::size_t tier, std::size_t track, std::size_t zone, std::size_t cell) {
  const TrackSpec& t = experiment.tracks[track];
  std::string key = std::to_string(tier) + "/" + std::to_string(track);
  if (t.scope == Scope::zone) key += "/zone " + std::to_string(zone);
  if (t.scope == Scope::cell) key += "/cell " + std::to_string(cell);
  return memories_.try_emplace(key, t.remembered).first->second;
}

Final Shared::judge(CallKey call, const http::Parser& answer, TimePoint now) {
  const int status = answer.status();
  const Final how = status == 200                    ? Final::done
                    : status == 503 || status == 429 ? Final::rejected
                                                     : Final::broken_off;
  on_call(how == Final::done ? "done" : how == Final::rejected ? "rejected" : "broken-off", call);
  const std::string_view body = answer.body();
  const bool own = body.starts_with("id=") && body.size() > 19 && call_of(body.substr(3, 16)) == call;
  auditor.answered(call, how, own, now);
  return how;
}

// --- One connection --------------------------------------------------------------------------------

ServedConnection::ServedConnection(net::Scheduler& scheduler, EndpointStandIn& owner, int fd)
    : scheduler_(scheduler),
      owner_(owner),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      socket_(scheduler, waker_),
      task_(run()) {
  socket_.adopt(fd);
}

void ServedConnection::put(int status, std::string_view fields, std::string_view body) {
  out_.append("HTTP/1.1 " + std::to_string(status) + " ");
  out_.append(http::reason_of(status));
  out_.append("\r\n");
  out_.append(fields);
  out_.append("Content-Length: " + std::to_string(body.size()) + "\r\n\r\n");
  out_.append(body);
}

// The answer that no other call and no other endpoint would get, or what a mishap makes of it.
void ServedConnection::put_answer() {
  char head[64];
  std::snprintf(head, sizeof head, "id=%016llx by=%u ", static_cast<unsigned long long>(call_),
                owner_.spec_.key);
  std::string body(head);
  body.append(owner_.tier_.answer_bytes, '.');
  if (failed_ || mishap_ == Mishap::error) return put(500, "", "");
  if (mishap_ == Mishap::spoilt) {
    static constexpr std::string_view noise[] = {
        "\x16\x03\x01 this is no answer\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on", "HTTP/1.1 two hundred\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nhello"};
    out_.append(noise[owner_.chance_.below(std::size(noise))]);
    return;
  }
  put(200, "Content-Type: text/plain\r\n", body);
  if (mishap_ == Mishap::doubled) put(200, "Content-Type: text/plain\r\n", body);
}

ServedConnection::Mishap ServedConnection::draw_mishap() {
  const Ills& ills = owner_.ills_;
  const struct {
    double probability;
    FaultKind kind;
    Mishap mishap;
  } all[] = {{ills.error, FaultKind::error, Mishap::error},
             {ills.reset_after, FaultKind::reset_after, Mishap::reset_after},
             {ills.reset_answer, FaultKind::reset_answer, Mishap::reset_answer},
             {ills.half_answer, FaultKind::half_answer, Mishap::half_answer},
             {ills.spoilt, FaultKind::spoilt, Mishap::spoilt},
             {ills.doubled, FaultKind::doubled, Mishap::doubled}};
  for (const auto& one : all) {
    if (!may(owner_.chance_, one.probability)) continue;
    owner_.shared_.struck(one.kind);
    return one.mishap;
  }
  return Mishap::none;
}

// Hands the request to the machine, or answers that it never ran.
bool ServedConnection::take() {
  EndpointStandIn& o = owner_;
  const Experiment& e = o.shared_.experiment;
  const std::string name(parser_.find("X-Priority-Class").value_or(""));
  track_ = 0;
  while (track_ < e.tracks.size() && e.tracks[track_].name != name) ++track_;
  if (call_ == 0 || track_ == e.tracks.size()) {
    put(call_ == 0 ? 404 : 400, "", "");
    return false;
  }
  reference_ = std::string(parser_.find("Idempotency-Key").value_or(""));
  waits_until_ = last_byte_ + read_wait(parser_.find("X-Timeout").value_or(""));
  const auto own = o.tier_.work_by_track.find(name);
  double work = o.chance_.draw(own == o.tier_.work_by_track.end() ? o.tier_.work : own->second);
  if (!std::exchange(known_, true)) work += o.tier_.connect_cost_ms;
  const Machine::JobId job = ++o.last_job_;
  if (o.draining_ || !o.machine_.offer(job, work, scheduler_.now())) {
    o.shared_.auditor.turned_away(dispatch_, scheduler_.now());
    put(503, never_ran, "");
    o.look();
    return false;
  }
  if (o.ills_.speed < 1.0) o.shared_.struck(FaultKind::slow);
  if (o.ills_.cores_part < 1.0) o.shared_.struck(FaultKind::neighbour);
  job_ = job;
  o.jobs_[job] = this;
  next_calls_ = o.next_tier_ ? o.tier_.calls_next : 0;
  failed_ = ended_ = false;
  mishap_ = draw_mishap();
  o.look();
  return true;
}

// Whatever was going on for it here, nobody waits for it any more.
void ServedConnection::end_job() {
  if (job_ == 0) return;
  EndpointStandIn& o = owner_;
  o.machine_.withdraw(job_, scheduler_.now());
  o.jobs_.erase(std::exchange(job_, 0));
  for (auto it = o.calling_.begin(); it != o.calling_.end();) {
    if (it->second != this) {
      ++it;
      continue;
    }
    o.shared_.auditor.excused(it->first);
    o.client_.abandon(it->first);
    it = o.calling_.erase(it);
  }
  o.look();
}

net::Task ServedConnection::run() {
  Auditor& auditor = owner_.shared_.auditor;
  bool up = true;
  while (up) {
    parser_.reset();
    first_byte_ = scheduler_.now();
    timer_.set(first_byte_ + owner_.tier_.idle_close);
    bool begun = !in_.empty();
    http::Progress progress = begun ? parser_.feed(in_.bytes()) : http::Progress::more;
    while (up && progress == http::Progress::more) {
      const Waker::Bits bits = co_await waker_.wait(Waker::readable | Waker::hung_up | due | dropped);
      if ((bits & (due | dropped)) != 0) up = false;
      if (!up) break;
      const Socket::Result result = socket_.read(in_);
      if (result == Socket::Result::ended || result == Socket::Result::broken) up = false;
      if (result != Socket::Result::some) continue;
      if (!begun) first_byte_ = scheduler_.now() - socket_.way(true);
      begun = true;
      progress = parser_.feed(in_.bytes());
      if (progress == http::Progress::more && !owner_.ills_.silent &&
          may(owner_.chance_, owner_.ills_.reset_amid)) {
        owner_.shared_.struck(FaultKind::reset_amid);
        socket_.reset();
        up = false;
      }
    }
    if (!up) break;
    timer_.cancel();
    last_byte_ = scheduler_.now() - socket_.way();
    bool last = progress == http::Progress::failed;
    dispatch_ = 0;
    if (last) {
      put(400, "Connection: close\r\n", "");
    } else {
      call_ = call_of(parser_.find("X-Request-ID").value_or(""));
      dispatch_ = auditor.dispatched(call_, owner_.spec_.key, first_byte_, last_byte_);
      owner_.shared_.on_dispatch(owner_.spec_.tier, call_, last_byte_);
      owner_.shared_.on_call("dispatched", call_);
      owner_.shared_.on_taken(dispatch_, socket_.peer().value_or(sockaddr_in{}));
      if (!owner_.ills_.silent && may(owner_.chance_, owner_.ills_.reset_amid)) {
        owner_.shared_.struck(FaultKind::reset_amid);
        socket_.reset();
        break;
      }
    }
    if (owner_.ills_.silent) owner_.shared_.struck(FaultKind::silent);
    // A silent machine has the bytes and does nothing about them.
    while (up && owner_.ills_.silent) {
      const Waker::Bits bits = co_await waker_.wait(Waker::hung_up | healed | dropped);
      up = (bits & (Waker::hung_up | dropped)) == 0;
    }
    if (!up) break;
    waker_.clear(worked);
    if (!last && take()) {
      while (up && !ended_) {
        const Waker::Bits bits = co_await waker_.wait(Waker::hung_up | worked | dropped);
        up = (bits & (Waker::hung_up | dropped)) == 0;
      }
      while (up && owner_.ills_.silent) {
        const Waker::Bits bits = co_await waker_.wait(Waker::hung_up | healed | dropped);
        up = (bits & (Waker::hung_up | dropped)) == 0;
      }
      end_job();
      if (up && mishap_ == Mishap::reset_after) {
        socket_.reset();
        break;
      }
      if (up && out_.empty()) put_answer();
    }
    const bool cut = mishap_ == Mishap::half_answer || mishap_ == Mishap::reset_answer;
    if (up && cut && out_.size() > 0 && dispatch_ != 0) {
      std::size_t written = 0;
      socket_.write(out_.bytes().first(out_.size() / 2), written);
      out_.consume(out_.size());
      if (mishap_ == Mishap::reset_answer) {
        socket_.reset();
        break;
      }
      const Waker::Bits bits = co_await waker_.wait(Waker::hung_up | dropped);
      up = bits == 0;
    }
    while (up && !out_.empty()) {
      std::size_t written = 0;
      const Socket::Result result = socket_.write(out_.bytes(), written);
      out_.consume(written);
      if (result == Socket::Result::broken) up = false;
      if (result != Socket::Result::later) continue;
      const Waker::Bits bits = co_await waker_.wait(Waker::writable | dropped);
      up = (bits & dropped) == 0;
    }
    auditor.over(dispatch_, scheduler_.now());
    mishap_ = Mishap::none;
    if (last || !parser_.keep_alive()) break;
    in_.consume(parser_.size());
  }
  end_job();
  auditor.over(dispatch_, scheduler_.now());
  socket_.close();
  timer_.cancel();
  owner_.served_.retire(*this);
}

// --- The endpoint ----------------------------------------------------------------------------------

EndpointStandIn::EndpointStandIn(net::Scheduler& scheduler, Shared& shared, const Spec& spec)
    : scheduler_(scheduler),
      shared_(shared),
      spec_(spec),
      tier_(shared.experiment.tiers[spec.tier]),
      machine_(tier_.machine, spec.came_up),
      chance_(shared.next_stream(), "endpoint"),
      listener_(scheduler, *this),
      client_(scheduler, *this, *this, client_connections, client_idle),
      served_(scheduler),
      waker_(scheduler),
      timer_(scheduler, waker_, due),
      timekeeper_(keep_time()) {
  timekeeper_.start();
  Auditor::Life life;
  life.endpoint = spec.key;
  life.group = shared.experiment.pools ? spec.tier : 0;
  life.zone = spec.zone;
  life.cell = spec.cell;
  life.came_up = spec.came_up;
  life.cores = tier_.machine.cores;
  double shares = 0.0;  // of the tracks, as their calls arrive
  for (const TrackSpec& t : shared.experiment.tracks) {
    const auto own = tier_.work_by_track.find(t.name);
    life.mean_work_ms += t.share * (own == tier_.work_by_track.end() ? tier_.work : own->second).mean;
    shares += t.share;
  }
  life.mean_work_ms /= shares;
  shared.auditor.endpoint_up(life);
}

EndpointStandIn::~EndpointStandIn() = default;

void EndpointStandIn::open() { listener_.open(spec_.address); }

void EndpointStandIn::accepted(int fd) {
  shared_.on_connection(spec_.tier, spec_.place, scheduler_.now());
  ServedConnection& one = served_.add(std::make_unique<ServedConnection>(scheduler_, *this, fd));
  if (ills_.reset_accepted) {
    shared_.struck(FaultKind::reset_before);
    one.socket_.reset();
    one.waker_.set(ServedConnection::dropped);
  } else if (served_.size() > static_cast<std::size_t>(tier_.connections)) {
    one.socket_.close();
    one.waker_.set(ServedConnection::dropped);
  }
  one.task_.start();
}

void EndpointStandIn::suffer(const Ills& ills) {
  if (dead_ || ills == ills_) return;
  const Ills before = std::exchange(ills_, ills);
  machine_.burden(ills.speed, ills.cores_part * tier_.machine.cores, scheduler_.now());
  if (ills.refused != before.refused) {
    if (ills.refused) {
      shared_.struck(FaultKind::refused);
      listener_.close();
    } else {
      listener_.open(spec_.address);
    }
  }
  // Connections at rest go too: else those that are kept would hide that no new one comes up.
  for (std::size_t i = 0; ills.reset_accepted && !before.reset_accepted && i < served_.size(); ++i) {
    ServedConnection& c = served_[i];
    if (c.job_ != 0 || !c.in_.empty() || !c.out_.empty()) continue;
    shared_.struck(FaultKind::reset_before);
    c.socket_.reset();
    c.waker_.set(ServedConnection::dropped);
  }
  listener_.silence(ills.silent);
  if (before.silent && !ills.silent) {
    for (std::size_t i = 0; i < served_.size(); ++i) served_[i].waker_.set(ServedConnection::healed);
  }
  look();
}

void EndpointStandIn::die() {
  if (dead_) return;
  dead_ = true;
  listener_.close();
  machine_.clear();
  jobs_.clear();
  for (const auto& [call, connection] : calling_) shared_.auditor.excused(call);
  calling_.clear();
  client_.close_all();
  for (std::size_t i = 0; i < served_.size(); ++i) {
    served_[i].job_ = 0;
    served_[i].socket_.reset();
    served_[i].waker_.set(ServedConnection::dropped);
  }
  timer_.cancel();
}

net::Task EndpointStandIn::keep_time() {
  while (true) {
    co_await waker_.wait(due);
    look();
  }
}

void EndpointStandIn::look() {
  if (dead_) return;
  const TimePoint now = scheduler_.now();
  machine_.advance(now);
  // What ends may start the next; what is late as it begins is withdrawn, which starts the next too.
  while (!machine_.begun().empty() || !machine_.ended().empty()) {
    const std::vector<Machine::JobId> begun = machine_.begun(), ended = machine_.ended();
    machine_.taken_note();
    for (const Machine::JobId job : begun) {
      const auto found = jobs_.find(job);
      if (found == jobs_.end()) continue;
      ServedConnection& c = *found->second;
      if (now >= c.waits_until_) {
        shared_.auditor.turned_away(c.dispatch_, now);
        machine_.withdraw(job, now);
        c.put(504, never_ran, "");
        c.mishap_ = ServedConnection::Mishap::none;
        c.ended_ = true;
        c.waker_.set(ServedConnection::worked);
        continue;
      }
      shared_.on_call("runs", c.call_);
      const bool counts = shared_.experiment.tracks[c.track_].effect == TrackEffect::referenced;
      if (!counts || shared_.memory(spec_.tier, c.track_, spec_.zone, spec_.cell)
                         .first(c.reference_, c.first_byte_, now))
        shared_.auditor.ran(c.dispatch_, now);
    }
    for (const Machine::JobId job : ended) {
      const auto found = jobs_.find(job);
      if (found != jobs_.end()) work_done(*found->second);
    }
  }
  if (machine_.running() > 0)
    timer_.set(machine_.next_end());
  else
    timer_.cancel();
}

// Its own work is done; the next tier is asked, one call after another, and then it answers.
void EndpointStandIn::work_done(ServedConnection& c) {
  if (c.next_calls_ > 0 && !c.failed_ && next_tier_) {
    --c.next_calls_;
    call_next(c);
    return;
  }
  c.ended_ = true;
  c.waker_.set(ServedConnection::worked);
}

void EndpointStandIn::call_next(ServedConnection& c) {
  const TimePoint now = scheduler_.now();
  const TrackSpec& track = shared_.experiment.tracks[c.track_];
  const Span left = c.waits_until_ - now;
  if (left <= Span()) {
    c.failed_ = true;
    return work_done(c);
  }
  const CallKey call = shared_.next_call();
  std::string reference;  // of its own: what one request asks for twice is two things
  if (track.effect == TrackEffect::referenced) reference = c.reference_ + "-" + std::to_string(c.next_calls_);
  CallText text;
  text.call = call;
  text.track = track.name;
  text.read_only = track.effect == TrackEffect::replayable;
  text.reference = reference;
  text.left = left;
  text.body = shared_.experiment.callers.request_bytes;
  Auditor::Ask ask;
  ask.call = call;
  ask.track = c.track_;
  ask.sidecar = next_tier_->sidecar;
  ask.sent = now;
  ask.timeout = left;
  shared_.auditor.asked(ask);
  calling_[call] = &c;
  if (!client_.send(call, call_text(text), now + left + shared_.experiment.rules.wait_most()))
    failed(call, Failure::nobody);
}

void EndpointStandIn::sent(std::uint64_t request, std::size_t sidecar) {
  shared_.on_call("sent", request);
  shared_.auditor.moved(request, sidecar);
}

void EndpointStandIn::answered(std::uint64_t request, const http::Parser& answer) {
  const Final how = shared_.judge(request, answer, scheduler_.now() - client_.way());
  next_over(request, how == Final::done);
}

void EndpointStandIn::failed(std::uint64_t request, Failure how) {
  if (how == Failure::nobody || how == Failure::refused) shared_.auditor.excused(request);
  next_over(request, false);
}

void EndpointStandIn::extra_bytes(std::uint64_t request) {
  shared_.auditor.answered_again(request, scheduler_.now());
}

void EndpointStandIn::next_over(std::uint64_t request, bool done) {
  const auto found = calling_.find(request);
  if (found == calling_.end()) return;
  ServedConnection& c = *found->second;
  calling_.erase(found);
  if (!done) c.failed_ = true;
  work_done(c);
}

}  // namespace chutevane::lab
