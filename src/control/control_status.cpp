#include "control/control_status.hpp"

#include <algorithm>

#include "json/value.hpp"

namespace chutevane::control {
namespace {

/// The JSON writer takes unsigned numbers. No number here should be negative; a negative one is shown as 0.
std::uint64_t unsigned_of(std::int64_t number) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(number, 0));
}

void write_acceptors(json::Writer& out, const RegisterValue& epoch_value) {
  out.key("acceptors").open('[');
  for (const Acceptor& acceptor : epoch_value.acceptors)
    out.open('{').key("address").text(acceptor.address).key("disk").text(acceptor.disk).close('}');
  out.close(']');
}

void write_non_voting(json::Writer& out, const std::set<std::string>& addresses) {
  out.key("notVoting").open('[');
  for (const std::string& address : addresses) out.text(address);
  out.close(']');
}

void write_storage_nodes(json::Writer& out, const std::vector<common::StorageNode>& nodes) {
  out.key("storageNodes").open('[');
  for (const common::StorageNode& node : nodes) {
    out.open('{').key("node").text(node.node).key("zone").text(node.zone);
    out.key("leaving").truth(node.draining).key("lost").truth(node.disk_replaced).close('}');
  }
  out.close(']');
}

void write_absent_nodes(json::Writer& out, const std::vector<common::StorageNode>& nodes) {
  out.key("absentStorageNodes").open('[');
  for (const common::StorageNode& node : nodes)
    out.open('{').key("node").text(node.node).key("zone").text(node.zone).close('}');
  out.close(']');
}

void write_led_roles(json::Writer& out, const std::vector<common::HeldRole>& roles) {
  out.key("duties").open('[');
  for (const common::HeldRole& role : roles)
    out.open('{').key("name").text(role.name).key("term").number(unsigned_of(role.term)).close('}');
  out.close(']');
}

void write_members(json::Writer& out, const std::vector<common::Member>& members) {
  out.key("members").open('[');
  for (const common::Member& member : members) {
    out.open('{').key("node").text(member.node).key("plane").text(member.plane).key("zone").text(member.zone);
    out.key("number").number(unsigned_of(member.number));
    out.key("whole").number(unsigned_of(member.complete_map_version)).close('}');
  }
  out.close(']');
}

}  // namespace

std::string status_json(const ControlStatus& status, const Register& reg,
                        const std::vector<common::Member>& members) {
  const RegisterValue no_value;
  const RegisterValue& value = reg.known_value() ? *reg.known_value() : no_value;
  json::Writer out;
  out.open('{').key("node").text(status.node);
  out.key("freshMs").number(unsigned_of(static_cast<std::int64_t>(status.knowledge_age.as_ms())));
  out.key("number").number(unsigned_of(value.number));
  out.key("epoch").number(unsigned_of(reg.epoch_value().epoch));
  out.key("configVersion").number(unsigned_of(value.config_version));
  out.key("map").number(unsigned_of(value.map_version));
  write_acceptors(out, reg.epoch_value());
  write_non_voting(out, status.non_voting);
  write_storage_nodes(out, value.storage_nodes);
  write_absent_nodes(out, value.absent_nodes);
  write_led_roles(out, status.led_roles);
  write_members(out, members);
  out.key("endpoints").number(status.endpoint_count).close('}');
  return out.result();
}

}  // namespace chutevane::control
