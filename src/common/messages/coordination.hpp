/// Records of the coordination service (control/coordination/): calls for locks, numbers and keys between
/// controllers, and the messages of the register that stores the service's state.
#pragma once

#include <cstdint>
#include <string>

#include "common/messages/register.hpp"

namespace chutevane::common {

/// A Prepare of the coordination register. Answered by a Promise.
struct CoordinationPrepare {
  static constexpr const char* record = "Coordination_prepare";
  static constexpr std::uint8_t kind = 41;
  Prepare request;
  template <class Visitor>
  void each(Visitor& v) {
    v("request", request);
  }
};

/// An Accept of the coordination register. Answered by an Accepted.
struct CoordinationAccept {
  static constexpr const char* record = "Coordination_accept";
  static constexpr std::uint8_t kind = 42;
  Accept request;
  template <class Visitor>
  void each(Visitor& v) {
    v("request", request);
  }
};

/// Notification that a value of the coordination register was chosen.
struct CoordinationChosen {
  static constexpr const char* record = "Coordination_chosen";
  static constexpr std::uint8_t kind = 43;
  Chosen chosen;
  template <class Visitor>
  void each(Visitor& v) {
    v("chosen", chosen);
  }
};

/// The sender's knowledge of the coordination register. Sent by each controller to every other one.
struct CoordinationReport {
  static constexpr const char* record = "Coordination_report";
  static constexpr std::uint8_t kind = 44;
  std::string address;      ///< `ADDRESS:PORT` of the sender's internal control port
  std::int64_t epoch = 0;   ///< epoch of the newest set of acceptors that it knows
  std::int64_t number = 0;  ///< number of the newest chosen value that it knows; 0 if none
  template <class Visitor>
  void each(Visitor& v) {
    v("address", address);
    v("epoch", epoch);
    v("number", number);
  }
};

/// A client's call, forwarded to the controller that proposes values. Answered by a CoordinationAnswer.
struct CoordinationCall {
  static constexpr const char* record = "Coordination_call";
  static constexpr std::uint8_t kind = 45;
  std::int64_t operation = 0;  ///< a control::coordination::Operation
  std::int64_t id = 0;         ///< drawn at random for each call
  std::string name;            ///< name of the lock, number, key or group
  std::string holder;
  std::int64_t fence = 0;
  std::int64_t hold_ms = 0;
  std::string value;
  std::int64_t applies_to = 0;    ///< revision that the key must have
  std::int64_t time_left_ms = 0;  ///< time until the call's deadline
  /// In an acquisition: the grant of the lock that has expired by the sender's clock; 0 if none.
  std::int64_t expired_grant_id = 0;
  std::int64_t expired_grant_number = 0;
  /// Incarnation and newest stamp that the sender has received from the receiver: the call was sent after
  /// them.
  std::int64_t echo_incarnation = 0;
  std::int64_t echo_stamp = 0;  ///< time of the receiver's steady clock, in microseconds
  template <class Visitor>
  void each(Visitor& v) {
    v("operation", operation);
    v("id", id);
    v("name", name);
    v("holder", holder);
    v("fence", fence);
    v("hold_ms", hold_ms);
    v("value", value);
    v("applies_to", applies_to);
    v("time_left_ms", time_left_ms);
    v("expired_grant_id", expired_grant_id);
    v("expired_grant_number", expired_grant_number);
    v("echo_incarnation", echo_incarnation);
    v("echo_stamp", echo_stamp);
  }
};

/// The reply to a CoordinationCall.
struct CoordinationAnswer {
  static constexpr const char* record = "Coordination_answer";
  static constexpr std::uint8_t kind = 46;
  std::int64_t outcome = 0;  ///< a control::coordination::Outcome
  std::int64_t number = 0;   ///< fencing token, number or revision
  std::string value;         ///< value of a key
  template <class Visitor>
  void each(Visitor& v) {
    v("outcome", outcome);
    v("number", number);
    v("value", value);
  }
};

/// A change of an acceptor's state in the log between two checkpoints: a promise, and the accepted value if
/// there was one.
struct AcceptorChange {
  static constexpr const char* record = "Acceptor_change";
  static constexpr std::uint8_t kind = 47;
  Ballot promised;
  Ballot accepted;             ///< round 0 if this change accepted no value
  RegisterValue value;         ///< accepted value; empty if `difference` is set
  ValueDifference difference;  ///< accepted value as the difference from the previously accepted one
  template <class Visitor>
  void each(Visitor& v) {
    v("promised", promised);
    v("accepted", accepted);
    v("value", value);
    v("difference", difference);
  }
};

}  // namespace chutevane::common
