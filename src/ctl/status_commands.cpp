/// What control sidecars know: register, members, holders of the singleton roles.
#include <set>

#include "ctl/commands.hpp"
#include "ctl/configuration_difference.hpp"
#include "ctl/table.hpp"

namespace chutevane::ctl {
namespace {

using json::Value;

constexpr const char* status_target = "/v1/Status.Retrieve";

void print_members(CommandContext& context, const Value& status) {
  Rows rows = {{"MEMBER", "PLANE", "ZONE", "NUMBER", "WHOLE"}};
  for (const Value& member : member_items(status, "members"))
    rows.push_back({member_text(member, "node"), member_text(member, "plane"), member_text(member, "zone"),
                    member_text(member, "number"), member_text(member, "whole")});
  context.print_table(rows);
}

void print_status(CommandContext& context, const Value& status, const std::string& from) {
  print_rows(context.out(), {{"node", member_text(status, "node")},
                             {"asked at", from},
                             {"fresh", member_text(status, "freshMs") + " ms"},
                             {"number", member_text(status, "number")},
                             {"epoch", member_text(status, "epoch")},
                             {"configuration", member_text(status, "configVersion")},
                             {"map", member_text(status, "map")},
                             {"endpoints", member_text(status, "endpoints")}});
  Rows rows = {{"ACCEPTOR", "DISK"}};
  for (const Value& acceptor : member_items(status, "acceptors"))
    rows.push_back({member_text(acceptor, "address"), member_text(acceptor, "disk")});
  context.print_table(rows);
  for (const Value& address : member_items(status, "notVoting"))
    context.out() << "in contact and does not vote: " << address.text << "\n";
  rows = {{"STORAGE", "ZONE", "LEAVING"}};
  for (const Value& node : member_items(status, "storageNodes"))
    rows.push_back({member_text(node, "node"), member_text(node, "zone"), member_text(node, "leaving")});
  context.print_table(rows);
  rows = {{"DUTY HERE", "TERM"}};
  for (const Value& role : member_items(status, "duties"))
    rows.push_back({member_text(role, "name"), member_text(role, "term")});
  context.print_table(rows);
  print_members(context, status);
}

/// A singleton role, as its holder reports it.
struct RoleHolder {
  std::string role;
  std::string term;
  std::string node;
  std::string address;
};

struct RoleHolders {
  std::vector<RoleHolder> found;
  std::set<std::string> unheld = {"list", "roster"};
  std::size_t unreachable = 0;  // sidecars that gave no status
};

/// The status of one sidecar; nothing: that it has none is reported.
std::optional<Value> status_of(CommandContext& context, const std::string& address) {
  const auto response = context.client().call_once(address, {"GET", status_target});
  if (response.ok() && response->status == 200) {
    auto document = parse_document(response->body);
    if (document.ok()) return *std::move(document);
  }
  context.complain(response.ok() ? address + ": answered " + std::to_string(response->status)
                                 : std::string(response.status().message()));
  return std::nullopt;
}

/// Each sidecar reports only the roles that it holds itself, so each is asked, once.
RoleHolders find_role_holders(CommandContext& context) {
  RoleHolders out;
  for (const std::string& address : context.client().addresses()) {
    const auto status = status_of(context, address);
    if (!status) {
      ++out.unreachable;
      continue;
    }
    for (const Value& role : member_items(*status, "duties")) {
      const std::string name = member_text(role, "name");
      out.found.push_back({name, member_text(role, "term"), member_text(*status, "node"), address});
      out.unheld.erase(name);
    }
  }
  return out;
}

void print_role_holders(CommandContext& context, const RoleHolders& holders) {
  Rows rows = {{"DUTY", "TERM", "NODE", "CONTROL"}};
  for (const RoleHolder& holder : holders.found)
    rows.push_back({holder.role, holder.term, holder.node, holder.address});
  print_rows(context.out(), rows);
}

void print_role_holders_json(CommandContext& context, const RoleHolders& holders) {
  json::Writer json;
  json.open('{').key("duties").open('[');
  for (const RoleHolder& holder : holders.found) {
    json.open('{').key("name").text(holder.role).key("term").text(holder.term);
    json.key("node").text(holder.node).key("control").text(holder.address).close('}');
  }
  json.close(']').key("unseen").open('[');
  for (const std::string& role : holders.unheld) json.text(role);
  context.print(json.close(']').key("notReached").number(holders.unreachable).close('}'));
}

}  // namespace

ExitCode show_status(CommandContext& context) {
  const auto status = context.fetch(status_target);
  if (!status.ok()) return status.exit_code();
  if (context.line().json) {
    context.print_document(status->document);
  } else {
    print_status(context, status->document, status->from);
  }
  return ExitCode::success;
}

ExitCode list_members(CommandContext& context) {
  const auto status = context.fetch(status_target);
  if (!status.ok()) return status.exit_code();
  const std::string number = member_text(status->document, "number");
  if (context.line().json) {
    json::Writer json;
    json.open('{').key("from").text(status->from).key("number").text(number).key("members").open('[');
    for (const Value& member : member_items(status->document, "members")) write_canonical(json, member);
    context.print(json.close(']').close('}'));
  } else {
    context.out() << "as " << printable(member_text(status->document, "node")) << " knows, whose number is "
                  << printable(number) << '\n';
    print_members(context, status->document);
  }
  return ExitCode::success;
}

ExitCode list_roles(CommandContext& context) {
  const RoleHolders holders = find_role_holders(context);
  if (context.line().json) {
    print_role_holders_json(context, holders);
  } else {
    print_role_holders(context, holders);
  }
  if (holders.unheld.empty()) return ExitCode::success;
  for (const std::string& role : holders.unheld)
    context.complain("duty " + role + ": held by none that answered");
  return holders.unreachable > 0 ? ExitCode::indeterminate : ExitCode::rejected;
}

}  // namespace chutevane::ctl
