// Wire formats, compared with the bytes stored in tests/golden/: each record of common/messages.hpp with and
// without content, frames, and the numbers and hashes on which processes of different versions must agree.
#include <gtest/gtest.h>

#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "common/configuration.hpp"
#include "common/messages.hpp"
#include "common/rpc.hpp"
#include "common/value_difference.hpp"
#include "control/acceptor.hpp"
#include "golden_data.hpp"
#include "net/buffer.hpp"
#include "storage/placement.hpp"

namespace chutevane::common {
namespace {

// ---- Examples: the content of each field is unique, given by the numbers of the field and the example.

// Returns positive and negative numbers with several bytes.
std::int64_t number(int field, int n) { return (field % 2 == 0 ? 1 : -1) * (field * 1000003LL + n); }

std::string text(int field, int n) {
  std::string out = "s";
  out += std::to_string(field);
  out += '-';
  out += std::to_string(n);
  return out;
}

Bytes bytes(int field, int n) { return {std::string(1, '\0') + text(field, n) + '\xff'}; }

// Returns the value of a record's boolean field, given its position among the boolean fields: all are set in
// example 31, and one in each of the examples 1, 2, 4, 8 and 16.
bool bit(int position, int n) { return (n >> position & 1) == 1; }

constexpr int filled = 31;

template <class M>
M example(int n);

template <>
Acceptor example<Acceptor>(int n) {
  return {.address = text(101, n), .disk = text(102, n)};
}

template <>
StorageNode example<StorageNode>(int n) {
  return {.node = text(201, n),
          .disk = text(202, n),
          .address = text(203, n),
          .zone = text(204, n),
          .draining = bit(0, n),
          .disk_replaced = bit(1, n),
          .bootstrapping = bit(2, n)};
}

template <>
RetiredNode example<RetiredNode>(int n) {
  return {.node = text(301, n), .completed = bit(0, n)};
}

template <>
AppliedConfiguration example<AppliedConfiguration>(int n) {
  return {.version = number(401, n), .hash = number(402, n)};
}

template <>
RegisterValue example<RegisterValue>(int n) {
  return {
      .number = number(501, n),
      .epoch = number(502, n),
      .acceptors = {example<Acceptor>(n + 3), example<Acceptor>(n + 4)},
      .next_acceptors = {example<Acceptor>(n + 4), example<Acceptor>(n + 5)},
      .config_version = number(505, n),
      .config = bytes(506, n),
      .applied_configurations = {example<AppliedConfiguration>(n + 7), example<AppliedConfiguration>(n + 8)},
      .map_version = number(508, n),
      .storage_nodes = {example<StorageNode>(n + 9), example<StorageNode>(n + 10)},
      .absent_nodes = {example<StorageNode>(n + 10), example<StorageNode>(n + 11)},
      .retired_nodes = {example<RetiredNode>(n + 11), example<RetiredNode>(n + 12)}};
}

template <>
ValueDifference example<ValueDifference>(int n) {
  return {.base = number(3701, n),
          .base_hash = number(3702, n),
          .hash = number(3703, n),
          .content = bytes(3704, n)};
}

template <>
Ballot example<Ballot>(int n) {
  return {.round = number(601, n), .proposer = number(602, n)};
}

template <>
Prepare example<Prepare>(int n) {
  return {.epoch = number(701, n),
          .ballot = example<Ballot>(n + 2),
          .initial = example<RegisterValue>(n + 3),
          .read_only = bit(0, n),
          .known_ballot = example<Ballot>(n + 5)};
}

template <>
Promise example<Promise>(int n) {
  return {.verdict = number(801, n),
          .epoch = number(802, n),
          .promised = example<Ballot>(n + 3),
          .accepted = example<Ballot>(n + 4),
          .value = example<RegisterValue>(n + 5),
          .initial = example<RegisterValue>(n + 6),
          .value_known = bit(0, n)};
}

template <>
Accept example<Accept>(int n) {
  return {.epoch = number(901, n),
          .ballot = example<Ballot>(n + 2),
          .value = example<RegisterValue>(n + 3),
          .difference = example<ValueDifference>(n + 4)};
}

template <>
Accepted example<Accepted>(int n) {
  return {.verdict = number(1001, n), .epoch = number(1002, n), .promised = example<Ballot>(n + 3)};
}

template <>
Chosen example<Chosen>(int n) {
  return {.value = example<RegisterValue>(n + 1),
          .initial = example<RegisterValue>(n + 2),
          .difference = example<ValueDifference>(n + 3),
          .epoch = number(1104, n),
          .ballot = example<Ballot>(n + 5)};
}

template <>
AcceptorRecord example<AcceptorRecord>(int n) {
  return {.epoch = number(1201, n),
          .promised = example<Ballot>(n + 2),
          .accepted = example<Ballot>(n + 3),
          .value = example<RegisterValue>(n + 4),
          .initial = example<RegisterValue>(n + 5)};
}

template <>
ControllerRecord example<ControllerRecord>(int n) {
  return {.disk = text(1301, n),
          .first = bit(0, n),
          .known = example<RegisterValue>(n + 3),
          .initial = example<RegisterValue>(n + 4),
          .controllers = {text(1305, n), text(1305, n + 1)}};
}

template <>
Member example<Member>(int n) {
  return {.node = text(1401, n),
          .plane = text(1402, n),
          .disk = text(1403, n),
          .address = text(1404, n),
          .zone = text(1405, n),
          .number = number(1406, n),
          .complete_map_version = number(1407, n),
          .counted = bit(0, n),
          .draining = bit(1, n),
          .disk_failing = bit(2, n)};
}

template <>
HeldRole example<HeldRole>(int n) {
  return {.name = text(1501, n), .term = number(1502, n)};
}

template <>
Gossip example<Gossip>(int n) {
  return {.node = text(1601, n),
          .address = text(1602, n),
          .control = text(1603, n),
          .disk = text(1604, n),
          .zone = text(1605, n),
          .draining = bit(0, n),
          .full = bit(1, n),
          .epoch = number(1608, n),
          .known_number = number(1609, n),
          .accepted = number(1610, n),
          .voting = bit(2, n),
          .first = bit(3, n),
          .disk_failing = bit(4, n),
          .initial = example<RegisterValue>(n + 14),
          .list_term = number(1615, n),
          .list_number = number(1616, n),
          .incarnation = number(1617, n),
          .stamp = number(1618, n),
          .echo_incarnation = number(1619, n),
          .echo_stamp = number(1620, n),
          .controllers = {text(1621, n), text(1621, n + 1)},
          .held_roles = {example<HeldRole>(n + 22), example<HeldRole>(n + 23)},
          .members = {example<Member>(n + 23), example<Member>(n + 24)}};
}

template <>
VoteRequest example<VoteRequest>(int n) {
  return {.role = text(1701, n), .term = number(1702, n), .node = text(1703, n)};
}

template <>
VoteReply example<VoteReply>(int n) {
  return {.granted = bit(0, n), .term = number(1802, n)};
}

template <>
PlatformCheckRequest example<PlatformCheckRequest>(int n) {
  return {.node = text(3901, n)};
}

template <>
PlatformCheckReply example<PlatformCheckReply>(int n) {
  return {.is_reachable = bit(0, n)};
}

template <>
EndpointEntry example<EndpointEntry>(int n) {
  return {.id = text(1901, n),
          .service = text(1902, n),
          .address = text(1903, n),
          .zone = text(1904, n),
          .capacity = number(1905, n),
          .draining = bit(0, n),
          .slow_start_ms = number(1907, n)};
}

template <>
EndpointList example<EndpointList>(int n) {
  return {.term = number(2001, n),
          .number = number(2002, n),
          .base = number(2003, n),
          .entries = {example<EndpointEntry>(n + 4), example<EndpointEntry>(n + 5)},
          .removed_ids = {text(2005, n), text(2005, n + 1)}};
}

template <>
MemberHeartbeat example<MemberHeartbeat>(int n) {
  return {.member = example<Member>(n + 1),
          .list_term = number(2102, n),
          .list_number = number(2103, n),
          .primary = bit(0, n),
          .closing = bit(1, n),
          .stamp = number(2106, n),
          .rejected_push = number(2107, n)};
}

template <>
ValuePush example<ValuePush>(int n) {
  return {.number = number(2201, n),
          .value = example<RegisterValue>(n + 2),
          .difference = example<ValueDifference>(n + 3)};
}

template <>
ControlHeartbeat example<ControlHeartbeat>(int n) {
  return {.knowledge_age_ms = number(2301, n),
          .echo_stamp = number(2302, n),
          .number = number(2303, n),
          .edge_count = number(2304, n),
          .controllers = {text(2305, n), text(2305, n + 1)}};
}

template <>
ReserveRequest example<ReserveRequest>(int n) {
  return {.map_version = number(2401, n),
          .program = text(2402, n),
          .attempt = text(2403, n),
          .max_tokens = number(2404, n)};
}

template <>
Reservation example<Reservation>(int n) {
  return {.attempt = text(3201, n), .tokens = number(3202, n), .committed = bit(0, n)};
}

template <>
ReserveReply example<ReserveReply>(int n) {
  return {.verdict = number(2501, n),
          .map_version = number(2502, n),
          .others = {example<Reservation>(n + 3), example<Reservation>(n + 4)}};
}

template <>
CommitUsage example<CommitUsage>(int n) {
  return {.program = text(2601, n), .attempt = text(2602, n), .used_tokens = number(2603, n)};
}

template <>
Turn example<Turn>(int n) {
  return {.id = text(2701, n),
          .previous = text(2702, n),
          .program = text(2703, n),
          .input = bytes(2704, n),
          .output = bytes(2705, n),
          .retention_ms = number(2706, n)};
}

template <>
StoreTurnRequest example<StoreTurnRequest>(int n) {
  return {.map_version = number(2801, n), .turn = example<Turn>(n + 2), .used_tokens = number(2803, n)};
}

template <>
StoreTurnReply example<StoreTurnReply>(int n) {
  return {.verdict = number(2901, n), .map_version = number(2902, n)};
}

template <>
FindTurnRequest example<FindTurnRequest>(int n) {
  return {.map_version = number(3001, n), .id = text(3002, n), .attempt = text(3003, n)};
}

template <>
FindTurnReply example<FindTurnReply>(int n) {
  return {.verdict = number(3101, n),
          .map_version = number(3102, n),
          .turns = {example<Turn>(n + 3), example<Turn>(n + 4)}};
}

template <>
Account example<Account>(int n) {
  return {.program = text(3301, n), .entries = {example<Reservation>(n + 2), example<Reservation>(n + 3)}};
}

template <>
PullRequest example<PullRequest>(int n) {
  return {.map_version = number(3401, n),
          .node = text(3402, n),
          .turns = bit(0, n),
          .after_id = text(3404, n),
          .wanted_ids = {text(3405, n), text(3405, n + 1)}};
}

template <>
PullReply example<PullReply>(int n) {
  return {.verdict = number(3501, n),
          .map_version = number(3502, n),
          .last = bit(0, n),
          .accounts = {example<Account>(n + 4), example<Account>(n + 5)},
          .ids = {text(3505, n), text(3505, n + 1)},
          .turns = {example<Turn>(n + 6), example<Turn>(n + 7)}};
}

template <>
StorageNodeRecord example<StorageNodeRecord>(int n) {
  return {.disk = text(3601, n), .held = bit(0, n)};
}

template <>
MapRecord example<MapRecord>(int n) {
  return {.disk = text(3801, n), .map_version = number(3802, n), .complete = bit(0, n)};
}

template <>
CoordinationPrepare example<CoordinationPrepare>(int n) {
  return {.request = example<Prepare>(n + 1)};
}

template <>
CoordinationAccept example<CoordinationAccept>(int n) {
  return {.request = example<Accept>(n + 1)};
}

template <>
CoordinationChosen example<CoordinationChosen>(int n) {
  return {.chosen = example<Chosen>(n + 1)};
}

template <>
CoordinationReport example<CoordinationReport>(int n) {
  return {.address = text(4401, n), .epoch = number(4402, n), .number = number(4403, n)};
}

template <>
CoordinationCall example<CoordinationCall>(int n) {
  return {.operation = number(4501, n),
          .id = number(4502, n),
          .name = text(4503, n),
          .holder = text(4504, n),
          .fence = number(4505, n),
          .hold_ms = number(4506, n),
          .value = text(4507, n),
          .applies_to = number(4508, n),
          .time_left_ms = number(4509, n),
          .expired_grant_id = number(4512, n),
          .expired_grant_number = number(4513, n),
          .echo_incarnation = number(4510, n),
          .echo_stamp = number(4511, n)};
}

template <>
CoordinationAnswer example<CoordinationAnswer>(int n) {
  return {.outcome = number(4601, n), .number = number(4602, n), .value = text(4603, n)};
}

template <>
AcceptorChange example<AcceptorChange>(int n) {
  return {.promised = example<Ballot>(n + 1),
          .accepted = example<Ballot>(n + 2),
          .value = example<RegisterValue>(n + 3),
          .difference = example<ValueDifference>(n + 4)};
}

using Records =
    std::tuple<Acceptor, StorageNode, RetiredNode, AppliedConfiguration, RegisterValue, ValueDifference,
               Ballot, Prepare, Promise, Accept, Accepted, Chosen, AcceptorRecord, ControllerRecord, Member,
               HeldRole, Gossip, VoteRequest, VoteReply, PlatformCheckRequest, PlatformCheckReply,
               EndpointEntry, EndpointList, MemberHeartbeat, ValuePush, ControlHeartbeat, ReserveRequest,
               Reservation, ReserveReply, CommitUsage, Turn, StoreTurnRequest, StoreTurnReply,
               FindTurnRequest, FindTurnReply, Account, PullRequest, PullReply, StorageNodeRecord, MapRecord,
               CoordinationPrepare, CoordinationAccept, CoordinationChosen, CoordinationReport,
               CoordinationCall, CoordinationAnswer, AcceptorChange>;

std::string entry(const char* record, int kind, const std::string& which) {
  return record + ("/" + std::to_string(kind)) + "/" + which;
}

// Compares the encoding of `message` with the stored one, and expects the stored one to survive a round trip.
template <class M>
void compare(golden::GoldenFile& stored, const M& message, const std::string& which) {
  const std::string name = entry(M::record, M::kind, which);
  stored.compare(name, encoded(message));
  M read;
  ASSERT_TRUE(decode(stored.bytes(name), read)) << name;
  EXPECT_EQ(golden::hex_of(encoded(read)), golden::hex_of(stored.bytes(name))) << name;
}

// Compares examples with only one boolean field set, which detects swapped boolean fields.
template <class M>
void compare_booleans(golden::GoldenFile& stored, int count) {
  for (int position = 0; position < count; ++position)
    compare(stored, example<M>(1 << position), "boolean" + std::to_string(position));
}

}  // namespace

TEST(GoldenRecords, EncodingMatchesStoredBytes) {
  golden::GoldenFile stored("records.txt");
  const auto compare_record = [&]<class M>(const M& empty) {
    compare(stored, empty, "no_field");
    compare(stored, example<M>(filled), "all_fields");
  };
  std::apply([&](const auto&... empty) { (compare_record(empty), ...); }, Records{});
  compare_booleans<StorageNode>(stored, 3);
  compare_booleans<Member>(stored, 3);
  compare_booleans<Gossip>(stored, 5);
  compare_booleans<MemberHeartbeat>(stored, 2);
  stored.expect_all_compared();
  EXPECT_EQ(std::tuple_size_v<Records>, 47U);
}

TEST(GoldenFrames, EncodingMatchesStoredBytes) {
  golden::GoldenFile stored("frames.txt");
  const std::string record = encoded(example<Prepare>(filled));
  for (const frame::MessageType type :
       {frame::MessageType::notification, frame::MessageType::request, frame::MessageType::reply}) {
    const std::uint64_t number = type == frame::MessageType::notification ? 0 : 0x1122334455667788;
    const std::string name = "sort" + std::to_string(static_cast<int>(type));
    net::Buffer out;
    frame::append(out, Prepare::kind, type, number, record);
    stored.compare(name, std::string_view(out.bytes().data(), out.bytes().size()));

    const std::string bytes = stored.bytes(name);
    frame::Header header;
    ASSERT_EQ(frame::parse_header(std::span(bytes.data(), bytes.size()), header),
              frame::ParseResult::complete)
        << name;
    EXPECT_EQ(header.kind, Prepare::kind);
    EXPECT_EQ(header.type, type);
    EXPECT_EQ(header.number, number);
    EXPECT_EQ(header.size, record.size());
    EXPECT_EQ(bytes.substr(frame::header_size), record);
    EXPECT_EQ(frame::parse_header(std::span(bytes.data(), bytes.size() - 1), header),
              frame::ParseResult::incomplete);
  }
  stored.expect_all_compared();
}

// The difference between two values is computed by one process and applied by another.
TEST(GoldenDifferences, EncodingMatchesStoredBytes) {
  golden::GoldenFile stored("differences.txt");
  const std::string base =
      encoded(example<RegisterValue>(1)) + std::string(300, 'c') + encoded(example<RegisterValue>(2));
  const std::string target =
      encoded(example<RegisterValue>(3)) + std::string(300, 'c') + encoded(example<RegisterValue>(2));
  stored.compare("difference_1", difference(base, target));
  EXPECT_EQ(apply_difference(base, stored.bytes("difference_1"), target.size()), target);
  EXPECT_LT(stored.bytes("difference_1").size(), target.size());
  stored.expect_all_compared();
}

// Statuses are sent as numbers.
TEST(GoldenNumbers, OfStatuses) {
  using Control = control::AcceptorStatus;
  EXPECT_EQ(static_cast<int>(Control::ok), 0);
  EXPECT_EQ(static_cast<int>(Control::ballot_outdated), 1);
  EXPECT_EQ(static_cast<int>(Control::epoch_ended), 2);
  EXPECT_EQ(static_cast<int>(Control::not_a_member), 3);
  EXPECT_EQ(static_cast<int>(Control::full_value_required), 4);
  using Storage = storage::ReplicaStatus;
  EXPECT_EQ(static_cast<int>(Storage::ok), 0);
  EXPECT_EQ(static_cast<int>(Storage::caller_map_stale), 1);
  EXPECT_EQ(static_cast<int>(Storage::replica_map_stale), 2);
  EXPECT_EQ(static_cast<int>(Storage::not_ready), 3);
  EXPECT_EQ(static_cast<int>(Storage::not_found), 4);
  EXPECT_EQ(static_cast<int>(Storage::indeterminate), 5);
  EXPECT_EQ(static_cast<int>(Storage::out_of_capacity), 6);
}

// Hashes that other processes compare, and replica groups, which edges and storage nodes must compute
// identically.
TEST(GoldenNumbers, OfHashesAndReplicaGroups) {
  golden::GoldenFile stored("hashes.txt");
  stored.compare("hash_of_content", std::to_string(content_hash("content")));
  stored.compare("hash_of_configuration", hash_text(hash_of("{}")));
  std::vector<StorageNode> nodes;
  for (int i = 0; i < 7; ++i) {
    nodes.push_back(example<StorageNode>(8 * i));  // no node is draining
    nodes.back().zone = text(204, i % 3);
  }
  for (int program = 0; program < 6; ++program) {
    std::string indices;
    for (const std::size_t at : storage::replica_group(text(1, program), nodes, 1))
      indices += std::to_string(at);
    stored.compare("group" + std::to_string(program), indices);
  }
  stored.expect_all_compared();
}

}  // namespace chutevane::common
