// A controller and its peers: gossip, proof of contact with a quorum, and catching up with what they know.
#include <xxhash.h>

#include <algorithm>

#include "common/log.hpp"
#include "control/control_plane.hpp"
#include "control/control_plane_limits.hpp"

namespace chutevane::control {
namespace {

using common::Gossip;

// Of what a full word holds beyond a short one.
std::uint64_t stamp_of(const Gossip& word) {
  Gossip part;
  part.initial = word.initial;
  part.controllers = word.controllers;
  part.members = word.members;
  const std::string bytes = common::encoded(part);
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

common::RpcClient* ControlPlane::link(const std::string& address) {
  know(address);
  const auto found = peers_.find(address);
  return found == peers_.end() ? nullptr : found->second.link.get();
}

void ControlPlane::know(const std::string& address) {
  if (address == address_ || address.empty() || peers_.contains(address)) return;
  const auto to = net::parse_address(address);
  if (!to) return;
  Peer& peer = peers_[address];
  peer.known_since = timers_.now();
  peer.link = std::make_unique<common::RpcClient>(scheduler_, timers_, *to,
                                                  seed_of(address_ + address, timers_.now()));
  peer.link->on_up([this, address] {
    const auto at = peers_.find(address);  // it may have been parted with
    if (at == peers_.end()) return;
    at->second.told = 0;
    at->second.link->send(addressed(full_word(), at->second));
  });
}

void ControlPlane::forget_lost() {
  parted_.clear();
  const TimePoint now = timers_.now();
  const common::RegisterValue& initial = register_.epoch_value();
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool votes = std::any_of(initial.acceptors.begin(), initial.acceptors.end(),
                                   [&](const common::Acceptor& a) { return a.address == it->first; });
    const TimePoint since = std::max(it->second.heard, it->second.known_since);
    if (!votes && now - since > peer_forgotten && peers_.size() > 1) {
      parted_.push_back(std::move(it->second.link));
      contact_.remove_peer(it->first);
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
    if (peer.last && !peer.last->draining && timers_.now() - peer.heard < peer_heard * 4)
      out.push_back(address);
  }
  return out;
}

Gossip ControlPlane::word_of_mine() {
  // The acceptor may have entered an epoch that nobody has told this controller's register of.
  register_.observe_epoch(acceptor_->epoch_value());
  Gossip out;
  out.node = settings_.node;
  out.address = address_;
  out.control = settings_.control ? net::text_of(*settings_.control) : "";
  out.disk = record_.disk;
  out.zone = settings_.zone;
  out.draining = leaving_;
  out.epoch = register_.epoch_value().epoch;
  out.known_number = register_.known_value() ? register_.known_value()->number : 0;
  out.accepted = acceptor_->is_voting() && acceptor_->epoch() == out.epoch ? acceptor_->accepted_number() : 0;
  out.voting = acceptor_->is_voting();
  out.first = record_.first;
  out.disk_failing = acceptor_->is_disk_failing();
  // Where those with a session here follow a later list than this one has, its holder has to hear of it.
  const bool later_followed = followed_list_term_ > list_.term();
  out.list_term = later_followed ? followed_list_term_ : list_.term();
  out.list_number = later_followed ? 0 : list_.number();
  out.incarnation = contact_.incarnation();
  out.stamp = (timers_.now() - TimePoint()).as_us();
  for (const LeaderElection* election : {&endpoint_list_election_, &membership_election_}) {
    if (election->is_leader() && !leaving_) out.held_roles.push_back({election->role(), election->term()});
  }
  return out;
}

// The set of acceptors and its number; what else the register holds is learnt from them.
Gossip ControlPlane::full_word() {
  Gossip out = word_of_mine();
  out.full = true;
  out.initial.epoch = register_.epoch_value().epoch;
  out.initial.acceptors = register_.epoch_value().acceptors;
  out.controllers = controller_addresses();
  for (const auto& [id, session] : sessions_) out.members.push_back(session.member);
  return out;
}

void ControlPlane::gossip() {
  // Most words say only that this one is there: what is long and seldom changes goes when it does, and now
  // and then for those who missed it.
  Gossip word = full_word();
  const std::uint64_t stamp = stamp_of(word);
  if (stamp == full_stamp_ && timers_.now() - full_since_ < full_every) {
    word = word_of_mine();
  } else {
    full_stamp_ = stamp;
    full_since_ = timers_.now();
  }
  for (auto& [address, peer] : peers_) {
    if (peer.link->up() && peer.link->time_since_receive() > Span::ms(3000) &&
        timers_.now() - peer.heard > Span::ms(1500)) {
      peer.link->reconnect();  // nothing has come over either way: it may be gone without a word
      continue;
    }
    peer.link->send(addressed(word, peer));
  }
}

// With the stamp of the peer's that it echoes.
Gossip ControlPlane::addressed(Gossip word, const Peer& peer) const {
  if (peer.last) {
    word.echo_incarnation = peer.last->incarnation;
    word.echo_stamp = peer.last->stamp;
  }
  return word;
}

void ControlPlane::on_gossip(const Gossip& word) {
  if (word.address == address_) return;
  know(word.address);
  Peer& peer = peers_[word.address];
  const TimePoint now = timers_.now();
  peer.heard = now;
  Gossip last = word;
  if (!word.full && peer.last) {
    last.initial = std::move(peer.last->initial);
    last.controllers = std::move(peer.last->controllers);
    last.members = std::move(peer.last->members);
  }
  peer.last = std::move(last);
  contact_.on_report({{word.address, word.disk}, word.first, word.epoch, word.accepted},
                     word.echo_incarnation, TimePoint() + Span::us(word.echo_stamp));
  for (const std::string& one : word.controllers) know(one);
  for (LeaderElection* election : {&endpoint_list_election_, &membership_election_}) {
    const auto held = std::find_if(word.held_roles.begin(), word.held_roles.end(),
                                   [&](const common::HeldRole& d) { return d.name == election->role(); });
    const std::optional<Term> led_term =
        held == word.held_roles.end() ? std::nullopt : std::optional<Term>(held->term);
    election->on_heartbeat(word.node, led_term, now);
  }
  step_down_if_overtaken(word.list_term);
  if (endpoint_list_election_.is_leader()) {
    for (const common::EndpointList& change : list_.since(word.list_term, word.list_number))
      peer.link->send(change);
  }
  catch_up();
}

AcceptorReport ControlPlane::own_report() const {
  const std::int64_t epoch = register_.epoch_value().epoch;
  const bool entered = acceptor_->is_voting() && acceptor_->epoch() == epoch;
  return {{address_, record_.disk}, record_.first, epoch, entered ? acceptor_->accepted_number() : 0};
}

// Whether messages went to a quorum of the acceptors and back, the first of them sent no longer ago.
bool ControlPlane::quorum_reached(Span within) const {
  const TimePoint now = timers_.now();
  const auto at = contact_.last_contact(register_.epoch_value().acceptors, own_report(), now);
  return at && now - *at < within;
}

void ControlPlane::confirm_contact() {
  if (!register_.known_value()) return;
  const auto at = contact_.confirmed_until(register_.epoch_value().acceptors, own_report(),
                                           register_.known_value()->number, timers_.now());
  if (at) fresh_at_ = std::max(fresh_at_, *at);
}

Span ControlPlane::fresh_age() const {
  if (!register_.known_value()) return Span::ms(60000);
  return timers_.now() - fresh_at_;
}

// Whether anything tells of a value or an epoch newer than what is known here.
bool ControlPlane::behind() const {
  const TimePoint now = timers_.now();
  const std::int64_t known = register_.known_value() ? register_.known_value()->number : -1;
  if (known < 0) return true;
  if (acceptor_->is_voting() && acceptor_->accepted_number() > known) return true;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& one) {
    const Peer& peer = one.second;
    if (!peer.last || now - peer.heard > peer_heard) return false;
    return peer.last->known_number > known || peer.last->accepted > known ||
           peer.last->epoch > register_.epoch_value().epoch;
  });
}

// Asks the acceptors of a later epoch that a peer has told of: its first value is had from one of them. The
// set alone is told by gossip. False: nobody has told of one.
bool ControlPlane::learn_later_epoch() {
  const TimePoint now = timers_.now();
  const auto later = std::find_if(peers_.begin(), peers_.end(), [&](const auto& one) {
    const Peer& peer = one.second;
    return peer.last && peer.last->epoch > register_.epoch_value().epoch && now - peer.heard < peer_heard;
  });
  if (later == peers_.end()) return false;
  catching_up_ = true;
  common::Prepare ask;
  ask.read_only = true;  // of epoch 0, which all have left: the answer names the newest
  const std::vector<common::Acceptor> acceptors = later->second.last->initial.acceptors;
  for (const common::Acceptor& a : acceptors) {
    prepare(a.address, ask, [this](absl::StatusOr<common::Promise> got) {
      if (got.ok() && got->initial.epoch > register_.epoch_value().epoch)
        register_.observe_epoch(got->initial);
    });
  }
  timers_.after(Span::ms(60), [this] {
    catching_up_ = false;
    catch_up();
  });
  return true;
}

// Asks the acceptors where anything tells of news that have not come by themselves.
void ControlPlane::catch_up() {
  confirm_contact();
  const TimePoint now = timers_.now();
  if (!behind()) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_) {
    behind_since_ = now;
    timers_.after(behind_most + Span::ms(1), [this] { catch_up(); });  // sooner than the loop's next step
  }
  if (catching_up_ || (register_.known_value() && now - *behind_since_ < behind_most)) return;
  if (learn_later_epoch() || register_.epoch_value().epoch == 0) return;
  catching_up_ = true;
  // What it finds was chosen at some time after its beginning.
  register_.read(Span::ms(1500), [this, now](absl::StatusOr<common::RegisterValue> got) {
    catching_up_ = false;
    if (got.ok()) fresh_at_ = std::max(fresh_at_, now);
  });
}

}  // namespace chutevane::control
