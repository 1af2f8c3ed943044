/// Finds acceptors that are in contact and yet do not vote. No I/O.
///
/// A controller sees the epoch's acceptors in two ways: gossip shows which of them it is in contact with, and
/// the replies to its requests (prepare) show which of them answer as members of the epoch. An acceptor in
/// contact that refuses as a stranger, or does not answer, bears no loss, though the set's size says so.
/// Nothing else would show it before the losses that it was to bear.
///
/// Requests are made when there is something to change or to read. So that one failure in quiet times is not
/// taken for a lasting one, a suspect is asked again until it votes or is out of contact (suspects()).
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chutevane/types.hpp"

namespace chutevane::control {

/// What became of a request to an acceptor.
enum class AcceptorReply : std::uint8_t {
  member,    ///< it answered as a member of the epoch, or of a later one
  stranger,  ///< it answered that it is no member
  none,      ///< no answer within the request's timeout, or the connection was lost
};

/// An acceptor that has been in contact for this time, and in it has only refused or not answered, does not
/// vote. It is longer than a change of the set, than a request's timeout and than the notice of a lost peer.
constexpr Span non_voting_delay = Span::ms(2000);

/// A suspect is asked so often; the request may carry the whole value.
constexpr Span suspect_interval = Span::ms(1000);

/// Times are of one steady clock. To be called from one thread.
class VotingMonitor {
 public:
  /// A request of that epoch to the acceptor at that address has come to its end.
  void on_reply(std::int64_t epoch, const std::string& address, AcceptorReply reply, TimePoint now);

  /// To be called regularly, with the newest epoch and the addresses of its acceptors that gossip shows to be
  /// in contact. True: non_voting() has changed.
  bool update(std::int64_t epoch, const std::set<std::string>& in_contact, TimePoint now);

  /// Addresses of the acceptors whose last request failed while they were in contact: to be asked again,
  /// every suspect_interval.
  std::vector<std::string> suspects() const;
  /// Addresses of the acceptors that were in contact and did not vote for `non_voting_delay`, in order.
  const std::set<std::string>& non_voting() const { return non_voting_; }

 private:
  void enter_epoch(std::int64_t epoch);

  std::int64_t epoch_ = 0;
  std::map<std::string, TimePoint> not_voting_since_;  // by address: first failed request since it last voted
  std::set<std::string> non_voting_;
};

}  // namespace chutevane::control
