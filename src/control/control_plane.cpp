#include "control/control_plane.hpp"

#include <unistd.h>
#include <xxhash.h>

#include <algorithm>

#include "market/log.hpp"

namespace chutevane::control {
namespace {

using market::Gossip;
using market::Member;

constexpr Span tick_every = Span::ms(250);
constexpr Span peer_heard = Span::ms(800);        // three words: a peer that was heard of within is there
constexpr Span peer_forgotten = Span::ms(15000);  // a machine that was replaced does not come back
constexpr Span session_heard = Span::ms(1300);    // four beats of a sidecar
constexpr Span behind_most = Span::ms(150);       // news of a change comes within some ms, or is asked for
constexpr Span list_every = Span::ms(600);        // a fifth of the time to drain; each reading has its price
constexpr Span full_every = Span::ms(2000);       // of the words that say all
constexpr Span members_settled_after = Span::ms(3000);  // a full word of each peer, and a lost session anew
constexpr Span acks_most = Span::ms(300);               // an operator waits so long for edges to acknowledge
constexpr Span answer_most = Span::ms(350);             // of an acceptor: two ways and a sync take some ms
constexpr Span vote_most = Span::ms(300);
constexpr Span leave_least = Span::ms(400);   // between SIGTERM and the end: calls under way
constexpr Span leave_again = Span::ms(50);    // then it looks so often whether its place is another's
constexpr Span grace_spare = Span::ms(600);   // before the platform ends it by force
constexpr std::size_t body_most = 8U << 20U;  // bytes of a configuration

std::uint64_t seed_of(const std::string& text, TimePoint now) {
  const auto at = static_cast<std::uint64_t>(now.as_ms() * 1000);
  return XXH3_64bits_withSeed(text.data(), text.size(), at);
}

// Of what a full word holds beyond a short one.
std::uint64_t stamp_of(const Gossip& word) {
  Gossip part;
  part.initial = word.initial;
  part.controllers = word.controllers;
  part.members = word.members;
  const std::string bytes = market::encoded(part);
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

ControlPlane::ControlPlane(net::Scheduler& scheduler, const market::ProcessSettings& settings,
                           std::unique_ptr<market::Disk> disk)
    : scheduler_(scheduler),
      settings_(settings),
      later_(scheduler),
      disk_(std::move(disk)),
      record_slots_(*disk_, "control"),
      address_(net::text_of(settings.internal_address(market::control_plane_port))),
      register_(later_, *this, seed_of(settings.node, scheduler.now()) >> 1U),
      desk_(scheduler),
      operator_api_(register_, *this, settings.machine_losses),
      operator_port_(scheduler, body_most,
                     [this](const http::Parser& request, market::HttpPort::Reply reply) {
                       operator_api_.serve(request, std::move(reply));
                     }),
      list_duty_("list", seed_of(settings.node + "list", scheduler.now())),
      roster_duty_("roster", seed_of(settings.node + "roster", scheduler.now())),
      platform_(scheduler, later_, settings.platform, settings.platform_rate),
      holder_(seed_of(settings.node + "holder", scheduler.now())),
      contact_(static_cast<std::int64_t>(holder_)),
      roster_(settings.machine_losses) {}

absl::Status ControlPlane::open() {
  const auto got = record_slots_.open();
  if (got.ok()) {
    if (!market::decode(got->state, record_)) return absl::DataLossError("control: record not read");
  } else {
    // A first write that was torn told nobody anything: this disk is as good as new.
    if (!absl::IsNotFound(got.status()) && !absl::IsDataLoss(got.status())) return got.status();
    record_.disk = disk_->new_id();
    record_.first = settings_.initial_start;
    if (record_.first) {
      std::vector<market::Acceptor> seeds;
      for (const sockaddr_in& seed : settings_.seeds) {
        const auto port = static_cast<std::uint16_t>(settings_.first_port + market::control_plane_port);
        seeds.push_back({market::inner_address(seed, port), ""});
      }
      record_.initial = first_value(std::move(seeds));
    }
    if (absl::Status s = record_slots_.write(market::encoded(record_)); !s.ok()) return s;
  }
  acceptor_.emplace(*disk_, address_, record_.disk, record_.first);
  if (absl::Status s = acceptor_->open(); absl::IsDataLoss(s)) {
    // What it promised cannot be read: it is another disk from here on, and votes for nothing of before.
    market::log_warning("acceptor.lost", s.ToString());
    record_.disk = disk_->new_id();
    record_.first = false;
    if (absl::Status w = record_slots_.write(market::encoded(record_)); !w.ok()) return w;
    acceptor_.emplace(*disk_, address_, record_.disk, record_.first);
  } else if (!s.ok()) {
    return s;
  }
  acceptor_->on_entered([this](const market::Value& initial) { register_.learn_epoch(initial); });
  register_.learn_epoch(record_.initial);
  register_.learn_epoch(acceptor_->initial());
  register_.on_chosen([this](const market::Value& value) { chosen(value); });
  for (const sockaddr_in& seed : settings_.seeds)
    know(market::inner_address(
        seed, static_cast<std::uint16_t>(settings_.first_port + market::control_plane_port)));
  for (const std::string& one : record_.controllers) know(one);
  in_contact_since_ = later_.now();
  listen();
  tick();
  read_list();
  market::log_info("control.open", "disk " + record_.disk + (record_.first ? ", first start" : "") +
                                       ", epoch " + std::to_string(register_.initial().epoch));
  return absl::OkStatus();
}

void ControlPlane::listen() {
  desk_.on<market::Prepare>([this](market::Desk::Guest& guest, std::uint64_t number, market::Prepare& ask) {
    const auto got = acceptor_->prepare(ask);
    note_disk(got.status());
    if (got.ok() && number != 0) guest.answer(number, *got);
  });
  desk_.on<market::Accept>([this](market::Desk::Guest& guest, std::uint64_t number, market::Accept& ask) {
    const auto got = accept_here(ask);
    note_disk(got.status());
    if (got.ok() && number != 0) guest.answer(number, *got);
  });
  desk_.on<market::Chosen>([this](market::Desk::Guest&, std::uint64_t, market::Chosen& word) {
    take_chosen(register_, recent_, word);
  });
  desk_.on<Gossip>([this](market::Desk::Guest&, std::uint64_t, Gossip& word) { on_gossip(word); });
  desk_.on<market::Vote>([this](market::Desk::Guest& guest, std::uint64_t number, market::Vote& ask) {
    Duty& duty = ask.duty == list_duty_.name() ? list_duty_ : roster_duty_;
    market::Voted out;
    out.granted = !leaving_ && duty.vote(ask.term, later_.now());
    out.term = duty.term();
    guest.answer(number, out);
  });
  desk_.on<market::EndpointList>(
      [this](market::Desk::Guest&, std::uint64_t, market::EndpointList& list) { take_list(list); });
  desk_.on<market::Hello>(
      [this](market::Desk::Guest& guest, std::uint64_t, market::Hello& hello) { on_hello(guest, hello); });
  desk_.on_gone([this](market::Desk::Guest& guest) {
    sessions_.erase(guest.id());
    acknowledged();
  });
  desk_.listen(settings_.internal_address(market::control_plane_port));
  if (settings_.control) operator_port_.listen(*settings_.control);
}

// ---- the way to the acceptors

void ControlPlane::prepare(const std::string& address, const market::Prepare& ask,
                           std::function<void(absl::StatusOr<market::Promise>)> answered) {
  if (address == address_) {
    auto got = acceptor_->prepare(ask);
    note_disk(got.status());
    return answered(std::move(got));
  }
  if (market::Link* const to = link(address))
    return to->call<market::Promise>(ask, answer_most, std::move(answered));
  answered(absl::InvalidArgumentError(address));
}

// The register here knows what its own acceptor has: others need not send it back.
absl::StatusOr<market::Accepted> ControlPlane::accept_here(const market::Accept& ask) {
  auto got = acceptor_->accept(ask);
  if (got.ok() && static_cast<Verdict>(got->verdict) == Verdict::yes)
    register_.learn_accepted(ask.epoch, acceptor_->accepted(), acceptor_->value());
  return got;
}

void ControlPlane::accept(const std::string& address, const market::Accept& ask,
                          std::function<void(absl::StatusOr<market::Accepted>)> answered) {
  if (address == address_) {
    auto got = accept_here(ask);
    note_disk(got.status());
    return answered(std::move(got));
  }
  if (market::Link* const to = link(address))
    return to->call<market::Accepted>(ask, answer_most, std::move(answered));
  answered(absl::InvalidArgumentError(address));
}

// ---- the other control sidecars

market::Link* ControlPlane::link(const std::string& address) {
  know(address);
  const auto found = peers_.find(address);
  return found == peers_.end() ? nullptr : found->second.link.get();
}

void ControlPlane::know(const std::string& address) {
  if (address == address_ || address.empty() || peers_.contains(address)) return;
  const auto to = net::parse_address(address);
  if (!to) return;
  Peer& peer = peers_[address];
  peer.known_since = later_.now();
  peer.link =
      std::make_unique<market::Link>(scheduler_, later_, *to, seed_of(address_ + address, later_.now()));
  peer.link->on_up([this, address] {
    const auto at = peers_.find(address);  // it may have been parted with
    if (at == peers_.end()) return;
    at->second.told = 0;
    at->second.link->tell(addressed(full_word(), at->second));
  });
}

void ControlPlane::forget_lost() {
  parted_.clear();
  const TimePoint now = later_.now();
  const market::Value& initial = register_.initial();
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool votes = std::any_of(initial.acceptors.begin(), initial.acceptors.end(),
                                   [&](const market::Acceptor& a) { return a.address == it->first; });
    const TimePoint since = std::max(it->second.heard, it->second.known_since);
    if (!votes && now - since > peer_forgotten && peers_.size() > 1) {
      parted_.push_back(std::move(it->second.link));
      contact_.forget(it->first);
      it = peers_.erase(it);
    } else {
      ++it;
    }
  }
}

std::vector<std::string> ControlPlane::controller_addresses() const {
  std::vector<std::string> out;
  if (!leaving_) out.push_back(address_);
  for (const auto& [address, peer] : peers_) {
    if (peer.last && !peer.last->leaving && later_.now() - peer.heard < peer_heard * 4)
      out.push_back(address);
  }
  return out;
}

Gossip ControlPlane::word_of_mine() {
  // The acceptor may have entered an epoch that nobody has told this controller's register of.
  register_.learn_epoch(acceptor_->initial());
  Gossip out;
  out.node = settings_.node;
  out.address = address_;
  out.control = settings_.control ? net::text_of(*settings_.control) : "";
  out.disk = record_.disk;
  out.zone = settings_.zone;
  out.leaving = leaving_;
  out.epoch = register_.initial().epoch;
  out.known = register_.known() ? register_.known()->number : 0;
  out.accepted = acceptor_->voting() && acceptor_->epoch() == out.epoch ? acceptor_->accepted_number() : 0;
  out.voting = acceptor_->voting();
  out.first = record_.first;
  out.disk_failing = acceptor_->disk_failing();
  // Where those with a session here follow a later list than this one has, its holder has to hear of it.
  const bool later_followed = followed_list_term_ > list_.term();
  out.list_term = later_followed ? followed_list_term_ : list_.term();
  out.list_number = later_followed ? 0 : list_.number();
  out.life = contact_.life();
  out.stamp = (later_.now() - TimePoint()).as_us();
  for (const Duty* duty : {&list_duty_, &roster_duty_}) {
    if (duty->mine() && !leaving_) out.duties.push_back({duty->name(), duty->term()});
  }
  return out;
}

// The set of acceptors and its number; what else the register holds is learnt from them.
Gossip ControlPlane::full_word() {
  Gossip out = word_of_mine();
  out.full = true;
  out.initial.epoch = register_.initial().epoch;
  out.initial.acceptors = register_.initial().acceptors;
  out.controllers = controller_addresses();
  for (const auto& [id, session] : sessions_) out.members.push_back(session.member);
  return out;
}

void ControlPlane::gossip() {
  // Most words say only that this one is there: what is long and seldom changes goes when it does, and now
  // and then for those who missed it.
  Gossip word = full_word();
  const std::uint64_t stamp = stamp_of(word);
  if (stamp == full_stamp_ && later_.now() - full_since_ < full_every) {
    word = word_of_mine();
  } else {
    full_stamp_ = stamp;
    full_since_ = later_.now();
  }
  for (auto& [address, peer] : peers_) {
    if (peer.link->up() && peer.link->silent() > Span::ms(3000) &&
        later_.now() - peer.heard > Span::ms(1500)) {
      peer.link->restart();  // nothing has come over either way: it may be gone without a word
      continue;
    }
    peer.link->tell(addressed(word, peer));
  }
}

// With the stamp of the peer's that it echoes.
Gossip ControlPlane::addressed(Gossip word, const Peer& peer) const {
  if (peer.last) {
    word.echo_life = peer.last->life;
    word.echo_stamp = peer.last->stamp;
  }
  return word;
}

void ControlPlane::on_gossip(const Gossip& word) {
  if (word.address == address_) return;
  know(word.address);
  Peer& peer = peers_[word.address];
  const TimePoint now = later_.now();
  peer.heard = now;
  Gossip last = word;
  if (!word.full && peer.last) {
    last.initial = std::move(peer.last->initial);
    last.controllers = std::move(peer.last->controllers);
    last.members = std::move(peer.last->members);
  }
  peer.last = std::move(last);
  contact_.received({{word.address, word.disk}, word.first, word.epoch, word.accepted}, word.echo_life,
                    TimePoint() + Span::us(word.echo_stamp));
  for (const std::string& one : word.controllers) know(one);
  for (Duty* duty : {&list_duty_, &roster_duty_}) {
    const auto held = std::find_if(word.duties.begin(), word.duties.end(),
                                   [&](const market::HeldDuty& d) { return d.name == duty->name(); });
    duty->heard(word.node, held != word.duties.end(), held != word.duties.end() ? held->term : 0, now);
  }
  step_down_if_overtaken(word.list_term);
  if (list_duty_.mine()) {
    for (const market::EndpointList& change : list_.since(word.list_term, word.list_number))
      peer.link->tell(change);
  }
  catch_up();
}

AcceptorReport ControlPlane::own_report() const {
  const std::int64_t epoch = register_.initial().epoch;
  const bool entered = acceptor_->voting() && acceptor_->epoch() == epoch;
  return {{address_, record_.disk}, record_.first, epoch, entered ? acceptor_->accepted_number() : 0};
}

// Whether messages went to a quorum of the acceptors and back, the first of them sent no longer ago.
bool ControlPlane::quorum_reached(Span within) const {
  const TimePoint now = later_.now();
  const auto at = contact_.reached(register_.initial().acceptors, own_report(), now);
  return at && now - *at < within;
}

void ControlPlane::confirm_contact() {
  if (!register_.known()) return;
  const auto at = contact_.confirmed(register_.initial().acceptors, own_report(), register_.known()->number,
                                     later_.now());
  if (at) fresh_at_ = std::max(fresh_at_, *at);
}

Span ControlPlane::fresh_age() const {
  if (!register_.known()) return Span::ms(60000);
  return later_.now() - fresh_at_;
}

// Whether anything tells of a value or an epoch newer than what is known here.
bool ControlPlane::behind() const {
  const TimePoint now = later_.now();
  const std::int64_t known = register_.known() ? register_.known()->number : -1;
  if (known < 0) return true;
  if (acceptor_->voting() && acceptor_->accepted_number() > known) return true;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& one) {
    const Peer& peer = one.second;
    if (!peer.last || now - peer.heard > peer_heard) return false;
    return peer.last->known > known || peer.last->accepted > known ||
           peer.last->epoch > register_.initial().epoch;
  });
}

// Asks the acceptors of a later epoch that a peer has told of: its first value is had from one of them. The
// set alone is told by gossip. False: nobody has told of one.
bool ControlPlane::learn_later_epoch() {
  const TimePoint now = later_.now();
  const auto later = std::find_if(peers_.begin(), peers_.end(), [&](const auto& one) {
    const Peer& peer = one.second;
    return peer.last && peer.last->epoch > register_.initial().epoch && now - peer.heard < peer_heard;
  });
  if (later == peers_.end()) return false;
  catching_up_ = true;
  market::Prepare ask;
  ask.look_only = true;  // of epoch 0, which all have left: the answer names the newest
  const std::vector<market::Acceptor> acceptors = later->second.last->initial.acceptors;
  for (const market::Acceptor& a : acceptors) {
    prepare(a.address, ask, [this](absl::StatusOr<market::Promise> got) {
      if (got.ok() && got->initial.epoch > register_.initial().epoch) register_.learn_epoch(got->initial);
    });
  }
  later_.after(Span::ms(60), [this] {
    catching_up_ = false;
    catch_up();
  });
  return true;
}

// Asks the acceptors where anything tells of news that have not come by themselves.
void ControlPlane::catch_up() {
  confirm_contact();
  const TimePoint now = later_.now();
  if (!behind()) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_) {
    behind_since_ = now;
    later_.after(behind_most + Span::ms(1), [this] { catch_up(); });  // sooner than the loop's next step
  }
  if (catching_up_ || (register_.known() && now - *behind_since_ < behind_most)) return;
  if (learn_later_epoch() || register_.initial().epoch == 0) return;
  catching_up_ = true;
  // What it finds was chosen at some time after its beginning.
  register_.read(Span::ms(1500), [this, now](absl::StatusOr<market::Value> got) {
    catching_up_ = false;
    if (got.ok()) fresh_at_ = std::max(fresh_at_, now);
  });
}

// ---- what is chosen

void ControlPlane::chosen(const market::Value& value) {
  recent_.add(value);
  market::Value pushed = value;
  pushed.taken.clear();
  pushed_.add(pushed);
  for (auto& [id, session] : sessions_) {
    if (session.first) push(id, session);
  }
  if (record_.initial.epoch < register_.initial().epoch) store_known();
}

// The others hear of a change from who made it, not only by asking: of the newest value known here, which is
// that one or a later one.
void ControlPlane::announce(const market::Value&) {
  if (!register_.known()) return;
  const std::int64_t number = register_.known()->number;
  for (auto& [address, peer] : peers_) {
    // A peer that does not read gets no more: it reads the register when it is there again.
    if (!peer.link->up() || peer.link->unsent() > market::PushCursor::unsent_most) continue;
    PeerState state;
    if (peer.last) state = {peer.last->epoch, peer.last->known};
    state.number = std::max(state.number, peer.told);
    if (state.number >= number) continue;
    peer.link->tell(chosen_word(recent_, register_, state));
    peer.told = number;
  }
}

// So that it finds the others again, whatever the seeds of its settings are by then.
void ControlPlane::store_known() {
  record_.initial = register_.initial();
  record_.controllers = controller_addresses();
  note_disk(record_slots_.write(market::encoded(record_)));
}

// A request that wrote nothing succeeds on a disk that fails, too.
void ControlPlane::note_disk(const absl::Status& outcome) {
  if (outcome.ok() && (acceptor_->disk_failing() || record_slots_.needs_write())) return;
  disk_health_.note(outcome);
}

// A disk that has failed is tried again with each step of the loop, not only with the next request.
void ControlPlane::try_disk_again() {
  if (acceptor_->disk_failing()) note_disk(acceptor_->write_again());
  if (record_slots_.needs_write()) store_known();
}

// ---- sessions

void ControlPlane::on_hello(market::Desk::Guest& guest, const market::Hello& hello) {
  if (hello.ending) {
    sessions_.erase(guest.id());
    return;
  }
  const bool fresh = !sessions_.contains(guest.id());
  Session& session = sessions_[guest.id()];
  session.member = hello.member;
  session.heard = later_.now();
  session.stamp = hello.stamp;
  session.first = hello.first;
  session.values.acknowledged(hello.member.number, hello.refused);
  // What was sent since this word was written stays sent.
  if (std::pair(hello.list_term, hello.list_number) > std::pair(session.list_term, session.list_number)) {
    session.list_term = hello.list_term;
    session.list_number = hello.list_number;
  }
  list_duty_.learn_told(hello.list_term, holder_);
  followed_list_term_ = std::max(followed_list_term_, hello.list_term);
  if (fresh || session.first) push(guest.id(), session);
  if (fresh) {
    market::Beat word;
    word.fresh_ms = static_cast<std::int64_t>(fresh_age().as_ms());
    word.number = register_.known() ? register_.known()->number : 0;
    word.echo_stamp = hello.stamp;
    word.controllers = controller_addresses();
    guest.tell(word);
  }
  acknowledged();
}

void ControlPlane::push(std::uint64_t id, Session& session) {
  market::Desk::Guest* const guest = desk_.find(id);
  if (guest == nullptr) return;
  if (const std::string* const record = session.values.next(pushed_, guest->unsent()))
    guest->tell_record(market::Push::kind, *record);
  if (!list_.newer_than(session.list_term, session.list_number)) return;
  for (const market::EndpointList& change : list_.since(session.list_term, session.list_number))
    guest->tell(change);
  session.list_term = list_.term();
  session.list_number = list_.number();
}

void ControlPlane::beat() {
  market::Beat word;
  word.fresh_ms = static_cast<std::int64_t>(fresh_age().as_ms());
  word.number = register_.known() ? register_.known()->number : 0;
  const TimePoint now = later_.now();
  const std::vector<Member> all = members();
  word.edges = std::count_if(all.begin(), all.end(), [](const Member& m) { return m.plane == "edge"; });
  const std::vector<std::string> controllers = controller_addresses();
  if (controllers != told_controllers_ || now - told_since_ > full_every) {
    word.controllers = told_controllers_ = controllers;
    told_since_ = now;
  }
  std::vector<std::uint64_t> silent;
  for (auto& [id, session] : sessions_) {
    market::Desk::Guest* const guest = desk_.find(id);
    if (guest == nullptr || now - session.heard > session_heard) {
      silent.push_back(id);
      continue;
    }
    push(id, session);  // before the beat, which confirms what has come
    word.echo_stamp = session.stamp;
    guest->tell(word);
  }
  for (const std::uint64_t id : silent) {
    sessions_.erase(id);
    if (market::Desk::Guest* const guest = desk_.find(id)) guest->close();
  }
  if (!silent.empty()) acknowledged();
}

void ControlPlane::acknowledged() {
  const TimePoint now = later_.now();
  while (!waiting_.empty()) {
    const Waiting& first = waiting_.front();
    const bool all = std::all_of(sessions_.begin(), sessions_.end(), [&](const auto& one) {
      return one.second.member.plane != "edge" || one.second.member.number >= first.number;
    });
    if (!all && now < first.until) return;
    const auto answer = first.answer;
    waiting_.pop_front();
    answer();
  }
}

void ControlPlane::when_acknowledged(std::int64_t number, std::function<void()> then) {
  waiting_.push_back({number, later_.now() + acks_most, std::move(then)});
  later_.after(acks_most + Span::ms(1), [this] { acknowledged(); });
  acknowledged();
}

bool ControlPlane::all_peers_heard() const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& one) {
    return one.second.last && later_.now() - one.second.heard < peer_heard;
  });
}

// A member's session is told of by a peer's next full word; one that had to look for another control machine
// has found it by then too.
bool ControlPlane::members_complete() const {
  return quorum_reached(peer_heard) && all_peers_heard() &&
         later_.now() - in_contact_since_ >= members_settled_after;
}

ControlStatus ControlPlane::status() const {
  ControlStatus out{settings_.node, fresh_age(), {}, list_.entries().size()};
  for (const Duty* duty : {&list_duty_, &roster_duty_}) {
    if (duty->mine()) out.duties.push_back({duty->name(), duty->term()});
  }
  return out;
}

std::vector<Member> ControlPlane::members() const {
  std::map<std::string, Member> all;
  const auto take = [&](const Member& m) {
    Member& at = all[m.node];
    if (at.node.empty() || at.disk != m.disk || at.whole < m.whole) at = m;
  };
  for (const auto& [address, peer] : peers_) {
    if (!peer.last || later_.now() - peer.heard > peer_heard) continue;
    for (const Member& m : peer.last->members) take(m);
  }
  for (const auto& [id, session] : sessions_) take(session.member);
  std::vector<Member> out;
  for (const auto& [node, m] : all) out.push_back(m);
  return out;
}

// ---- duties

void ControlPlane::ballot(Duty& duty, std::int64_t term) {
  struct Count {
    std::size_t yes = 0, asked = 0, answered = 0;
    bool over = false;
  };
  auto count = std::make_shared<Count>();
  const std::size_t needed = majority(register_.initial());
  const auto hear = [this, count, &duty, term, needed](bool yes) {
    ++count->answered;
    count->yes += yes ? 1 : 0;
    if (count->over) return;
    if (count->yes >= needed) {
      count->over = true;
      duty.won(term, later_.now());
      market::log_info("duty.won", duty.name() + ", term " + std::to_string(term));
      gossip();
    } else if (count->answered == count->asked) {
      count->over = true;
      duty.lost(later_.now());
      stand(duty);
    }
  };
  const std::vector<market::Acceptor> voters = register_.initial().acceptors;
  count->asked = voters.size();
  for (const market::Acceptor& a : voters) {
    if (a.address == address_) {
      hear(duty.vote(term, later_.now()));
      continue;
    }
    market::Link* const to = link(a.address);
    if (to == nullptr) {
      hear(false);
      continue;
    }
    to->call<market::Voted>(market::Vote{duty.name(), term, settings_.node}, vote_most,
                            [hear](absl::StatusOr<market::Voted> got) { hear(got.ok() && got->granted); });
  }
}

void ControlPlane::stand(Duty& duty) {
  const TimePoint now = later_.now();
  std::int64_t term = 0;
  if (leaving_ || register_.initial().epoch == 0) return;
  if (duty.stand(now, term)) return ballot(duty, term);
  const TimePoint again = duty.look_again();
  // Not with the loop's step: those who began together would go on together.
  if (again > now)
    later_.at(again, [this, &duty, again] {
      if (duty.look_again() == again) stand(duty);
    });
}

void ControlPlane::work_duties() {
  if (leaving_) return;
  const TimePoint now = later_.now();
  for (Duty* duty : {&list_duty_, &roster_duty_}) {
    const bool just_won = now - duty->won_at() < duty_vacant_after;  // its ballots stand for the echoes
    if (duty->mine() && !just_won && !quorum_reached(duty_vacant_after)) duty->give_up(now);
    stand(*duty);
  }
  if (roster_duty_.mine()) {
    if (!had_roster_) roster_.restart();
    keep_roster();
  }
  had_roster_ = roster_duty_.mine();
}

void ControlPlane::read_list() {
  if (list_duty_.mine() && !platform_.reading()) {
    platform_.read([this](std::optional<std::vector<market::Listed>> entries) {
      if (!entries || !list_duty_.mine()) return;
      for (market::Listed& e : *entries)
        e.cold_ms = e.cold_ms > 0 ? 1 : 0;  // falls with time: no news by itself
      const std::int64_t term = list_.term(), number = list_.number();
      if (!list_.update(told_term(list_duty_.term(), holder_), *entries)) return;
      for (auto& [address, peer] : peers_) {
        for (const market::EndpointList& change : list_.since(term, number)) peer.link->tell(change);
      }
      list_changed();
    });
  }
  later_.after(list_every, [this] { read_list(); });
}

void ControlPlane::take_list(const market::EndpointList& told) {
  step_down_if_overtaken(told.term);
  if (list_.apply(told)) list_changed();
}

// A list that would be turned away by those who follow this one need not be read.
void ControlPlane::step_down_if_overtaken(std::int64_t told) {
  if (list_duty_.mine()) list_duty_.learn_told(told, holder_);
}

void ControlPlane::list_changed() {
  for (auto& [id, session] : sessions_) {
    if (session.first) push(id, session);
  }
}

void ControlPlane::keep_roster() {
  if (changing_roster_ || !register_.known() || !quorum_reached(duty_vacant_after)) return;
  const TimePoint now = later_.now();
  const market::Value& value = *register_.known();
  // One whose disk fails can't vote: it is counted as gone, so that another takes its place.
  std::vector<LiveController> live;
  if (!acceptor_->disk_failing()) live.push_back({address_, record_.disk, record_.first, !leaving_});
  for (const auto& [address, peer] : peers_) {
    if (peer.last && !peer.last->disk_failing && now - peer.heard < peer_heard)
      live.push_back({address, peer.last->disk, peer.last->first, !peer.last->leaving});
  }
  const auto next = roster_.acceptors(value, live, now);
  const auto wanted = next ? std::nullopt : roster_.storage_nodes(value, members(), now);
  if (!next && !wanted) return;
  changing_roster_ = true;
  const std::int64_t number = value.number;
  register_.change(
      [number, next, wanted](const market::Value& current) -> std::optional<market::Value> {
        if (current.number != number) return std::nullopt;  // decided on another value: look again
        if (wanted) return wanted;
        market::Value out = current;
        out.next = *next;
        return out;
      },
      Span::ms(1500),
      [this, changed = next.has_value()](absl::StatusOr<market::Value> got) {
        changing_roster_ = false;
        if (!got.ok()) return;
        announce(*got);
        market::log_info(changed ? "roster.acceptors" : "roster.storage_nodes",
                         "number " + std::to_string(got->number) + ", epoch " + std::to_string(got->epoch) +
                             ", map " + std::to_string(got->map) + " of " +
                             std::to_string(got->storage_nodes.size()));
        if (changed) gossip();
      });
}

// ---- the loop

void ControlPlane::tick() {
  if (finished_) return;
  forget_lost();
  try_disk_again();
  if (!quorum_reached(peer_heard) || !all_peers_heard()) in_contact_since_ = later_.now();
  gossip();
  catch_up();
  beat();
  acknowledged();
  work_duties();
  later_.after(tick_every, [this] { tick(); });
}

void ControlPlane::leave() {
  if (leaving_) return;
  leaving_ = true;
  list_duty_.give_up(later_.now());
  roster_duty_.give_up(later_.now());
  gossip();
  // Operators' orders that are under way come to their end.
  const TimePoint latest = later_.now() + settings_.grace - grace_spare;
  later_.after(leave_least, [this, latest] { go_when_released(latest); });
}

// Its disk may go with it, and the machine that replaces it may have been there for long: the next loss would
// then leave no majority. So it votes until its place is another's.
bool ControlPlane::may_go() const {
  const std::vector<market::Acceptor>& set = register_.initial().acceptors;
  if (!names(set, address_)) return register_.released(address_) || set.empty();
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& one) {
    const auto& [address, peer] = one;
    return peer.last && !peer.last->leaving && later_.now() - peer.heard < peer_heard && !names(set, address);
  });
}

void ControlPlane::go_when_released(TimePoint latest) {
  if (may_go() || later_.now() >= latest) {
    finished_ = true;
    return;
  }
  later_.after(leave_again, [this, latest] { go_when_released(latest); });
}

void ControlPlane::reread(const market::ProcessSettings& settings) {
  for (const sockaddr_in& seed : settings.seeds)
    know(market::inner_address(
        seed, static_cast<std::uint16_t>(settings_.first_port + market::control_plane_port)));
}

}  // namespace chutevane::control
