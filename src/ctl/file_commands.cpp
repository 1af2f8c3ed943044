/// Commands that only read files of a machine: settings and data folders.
#include "common/configuration.hpp"
#include "common/settings.hpp"
#include "ctl/commands.hpp"
#include "ctl/data_folder.hpp"
#include "ctl/table.hpp"

namespace chutevane::ctl {
namespace {

std::string text_of(const common::Ballot& ballot) {
  return std::to_string(ballot.round) + "." + common::hash_text(static_cast<std::uint64_t>(ballot.proposer));
}

std::string bytes_text(std::size_t bytes) { return std::to_string(bytes) + " bytes"; }

/// As in JSON output.
const char* name_of(RecordState state) {
  switch (state) {
    case RecordState::absent: return "none";
    case RecordState::readable: return "whole";
    case RecordState::unreadable: break;
  }
  return "lost";
}

/// Reads the folder that the operand names. A failure is reported.
Outcome<FolderContents> read_folder(CommandContext& context) {
  const std::string& path = context.line().operand;
  auto snapshot = DiskSnapshot::of_folder(path);
  if (!snapshot.ok())
    return context.fail(ExitCode::bad_usage, path + ": " + std::string(snapshot.status().message()));
  auto contents = read_contents(*std::move(snapshot));
  if (!contents.ok())
    return context.fail(ExitCode::rejected, path + ": " + std::string(contents.status().message()));
  if (contents->changed_while_read)
    context.complain(path + ": written to meanwhile: its parts may be of more than one moment");
  return *std::move(contents);
}

// ---- disk show, for people

void add_acceptor_rows(const FolderContents& contents, Rows& rows) {
  if (contents.acceptor_state == RecordState::unreadable) rows.push_back({"acceptor", "cannot be read"});
  if (contents.acceptor_state != RecordState::readable) return;
  const common::AcceptorRecord& acceptor = contents.acceptor;
  rows.push_back({"acceptor epoch", std::to_string(acceptor.epoch)});
  rows.push_back({"acceptor promised", text_of(acceptor.promised)});
  rows.push_back({"acceptor accepted", text_of(acceptor.accepted)});
  rows.push_back({"acceptor value", "number " + std::to_string(acceptor.value.number) + ", configuration " +
                                        std::to_string(acceptor.value.config_version) + ", map " +
                                        std::to_string(acceptor.value.map_version)});
  for (const common::Acceptor& member : acceptor.initial.acceptors)
    rows.push_back(
        {"acceptor of the epoch", member.address + (member.disk.empty() ? "" : " " + member.disk)});
}

void add_controller_rows(const FolderContents& contents, Rows& rows) {
  if (contents.controller_state == RecordState::unreadable) rows.push_back({"control", "cannot be read"});
  if (contents.controller_state != RecordState::readable) return;
  const common::ControllerRecord& controller = contents.controller;
  rows.push_back({"control disk", controller.disk + (controller.first ? " (first start)" : "")});
  rows.push_back({"control knows", "number " + std::to_string(controller.known.number) + ", epoch " +
                                       std::to_string(controller.initial.epoch)});
  for (const std::string& address : controller.controllers) rows.push_back({"control knows of", address});
}

void add_coordination_rows(const FolderContents& contents, Rows& rows) {
  if (contents.coordination_state == RecordState::unreadable)
    rows.push_back({"coordination", "cannot be read"});
  if (contents.coordination_state != RecordState::readable) return;
  rows.push_back({"coordination", "epoch " + std::to_string(contents.coordination.epoch) + ", number " +
                                      std::to_string(contents.coordination.value.number) + ", and " +
                                      std::to_string(contents.coordination_changes) + " changes"});
}

void add_storage_rows(const FolderContents& contents, Rows& rows) {
  const common::StorageNodeRecord& node = contents.storage_node;
  if (contents.storage_node_state == RecordState::unreadable) rows.push_back({"storage", "cannot be read"});
  if (contents.storage_node_state == RecordState::readable)
    rows.push_back({"storage disk", node.disk + (node.held ? " (in a map before)" : "")});
  rows.push_back({"turns", std::to_string(contents.turns.size()) + ", " + bytes_text(contents.turn_bytes)});
  rows.push_back({"accounts", std::to_string(contents.accounts.size())});
  for (const Segment& segment : contents.segments)
    rows.push_back({"segment " + std::to_string(segment.number),
                    bytes_text(segment.bytes) + ", " + std::to_string(segment.records) + " records"});
}

void print_contents(CommandContext& context, const FolderContents& contents) {
  Rows rows = {{"files", bytes_text(contents.file_bytes)}};
  add_acceptor_rows(contents, rows);
  add_controller_rows(contents, rows);
  add_coordination_rows(contents, rows);
  add_storage_rows(contents, rows);
  for (const TornTail& torn : contents.torn_tails)
    rows.push_back(
        {"torn " + torn.file, bytes_text(torn.bytes) + " behind byte " + std::to_string(torn.offset)});
  for (const std::string& name : contents.unknown_files) rows.push_back({"not the tier's", name});
  print_rows(context.out(), rows);
}

// ---- disk show, for programs

void write_acceptor(json::Writer& json, const FolderContents& contents) {
  json.open('{').key("record").text(name_of(contents.acceptor_state));
  if (contents.acceptor_state == RecordState::readable) {
    const common::AcceptorRecord& acceptor = contents.acceptor;
    json.key("epoch").number(non_negative(acceptor.epoch)).key("promised").text(text_of(acceptor.promised));
    json.key("accepted").text(text_of(acceptor.accepted));
    json.key("number").number(non_negative(acceptor.value.number));
    json.key("configVersion").number(non_negative(acceptor.value.config_version));
    json.key("map").number(non_negative(acceptor.value.map_version));
    json.key("acceptors").open('[');
    for (const common::Acceptor& member : acceptor.initial.acceptors)
      json.open('{').key("address").text(member.address).key("disk").text(member.disk).close('}');
    json.close(']');
  }
  json.close('}');
}

void write_controller(json::Writer& json, const FolderContents& contents) {
  json.open('{').key("record").text(name_of(contents.controller_state));
  if (contents.controller_state == RecordState::readable) {
    const common::ControllerRecord& controller = contents.controller;
    json.key("disk").text(controller.disk).key("first").truth(controller.first);
    json.key("number").number(non_negative(controller.known.number));
    json.key("epoch").number(non_negative(controller.initial.epoch));
    json.key("controllers").open('[');
    for (const std::string& address : controller.controllers) json.text(address);
    json.close(']');
  }
  json.close('}');
}

void write_coordination(json::Writer& json, const FolderContents& contents) {
  json.open('{').key("record").text(name_of(contents.coordination_state));
  if (contents.coordination_state == RecordState::readable) {
    json.key("epoch").number(non_negative(contents.coordination.epoch));
    json.key("number").number(non_negative(contents.coordination.value.number));
    json.key("changes").number(contents.coordination_changes);
  }
  json.close('}');
}

void write_storage_node(json::Writer& json, const FolderContents& contents) {
  json.open('{').key("record").text(name_of(contents.storage_node_state));
  if (contents.storage_node_state == RecordState::readable)
    json.key("disk").text(contents.storage_node.disk).key("held").truth(contents.storage_node.held);
  json.close('}');
}

void print_contents_json(CommandContext& context, const FolderContents& contents) {
  json::Writer json;
  json.open('{').key("bytes").number(contents.file_bytes).key("moving").truth(contents.changed_while_read);
  write_acceptor(json.key("acceptor"), contents);
  write_controller(json.key("control"), contents);
  write_coordination(json.key("coordination"), contents);
  write_storage_node(json.key("storage"), contents);
  json.key("turns").number(contents.turns.size()).key("turnBytes").number(contents.turn_bytes);
  json.key("accounts").number(contents.accounts.size()).key("segments").open('[');
  for (const Segment& segment : contents.segments) {
    json.open('{').key("number").number(segment.number).key("bytes").number(segment.bytes);
    json.key("records").number(segment.records).close('}');
  }
  json.close(']').key("torn").open('[');
  for (const TornTail& torn : contents.torn_tails) {
    json.open('{').key("file").text(torn.file).key("at").number(torn.offset);
    json.key("bytes").number(torn.bytes).close('}');
  }
  json.close(']').key("unknown").open('[');
  for (const std::string& name : contents.unknown_files) json.text(name);
  context.print(json.close(']').close('}'));
}

// ---- turns

/// What of a folder belongs to the program that was named, or to any.
struct Selection {
  std::vector<const common::Turn*> turns;
  std::vector<const common::Account*> accounts;
};

Selection select(const FolderContents& contents, const std::string& program) {
  Selection out;
  for (const common::Turn& turn : contents.turns) {
    if (program.empty() || program == turn.program) out.turns.push_back(&turn);
  }
  for (const common::Account& account : contents.accounts) {
    if (program.empty() || program == account.program) out.accounts.push_back(&account);
  }
  return out;
}

void print_selection(CommandContext& context, const Selection& selection) {
  Rows rows = {{"TURN", "PROGRAM", "GOES ON FROM", "INPUT", "OUTPUT", "KEEP MS"}};
  for (const common::Turn* turn : selection.turns)
    rows.push_back({turn->id, turn->program.empty() ? "-" : turn->program,
                    turn->previous.empty() ? "-" : turn->previous, std::to_string(turn->input.data.size()),
                    std::to_string(turn->output.data.size()), std::to_string(turn->retention_ms)});
  print_rows(context.out(), rows);
  rows = {{"PROGRAM", "ATTEMPT", "TOKENS", "SETTLED"}};
  for (const common::Account* account : selection.accounts) {
    for (const common::Reservation& entry : account->entries)
      rows.push_back(
          {account->program, entry.attempt, std::to_string(entry.tokens), entry.committed ? "yes" : "no"});
  }
  context.print_table(rows);
}

void print_selection_json(CommandContext& context, const Selection& selection) {
  json::Writer json;
  json.open('{').key("turns").open('[');
  for (const common::Turn* turn : selection.turns) {
    json.open('{').key("id").text(turn->id).key("program").text(turn->program);
    json.key("previous").text(turn->previous).key("inputBytes").number(turn->input.data.size());
    json.key("outputBytes").number(turn->output.data.size());
    json.key("keepMs").number(non_negative(turn->retention_ms)).close('}');
  }
  json.close(']').key("accounts").open('[');
  for (const common::Account* account : selection.accounts) {
    json.open('{').key("program").text(account->program).key("entries").open('[');
    for (const common::Reservation& entry : account->entries) {
      json.open('{').key("attempt").text(entry.attempt).key("tokens").number(non_negative(entry.tokens));
      json.key("settled").truth(entry.committed).close('}');
    }
    json.close(']').close('}');
  }
  context.print(json.close(']').close('}'));
}

}  // namespace

ExitCode check_settings(CommandContext& context) {
  const std::string& path = context.line().operand;
  const auto settings = common::load_settings(path);
  const std::string cause(settings.status().message());
  if (context.line().json) {
    json::Writer json;
    json.open('{').key("outcome").text(settings.ok() ? "good" : "findings");
    json.key("node").text(settings.ok() ? settings->node : "");
    context.print(json.key("cause").text(cause).close('}'));
  } else if (settings.ok()) {
    context.out() << path << ": good: " << printable(settings->node) << ", zone " << printable(settings->zone)
                  << '\n';
  }
  if (settings.ok()) return ExitCode::success;
  return context.fail(absl::IsNotFound(settings.status()) ? ExitCode::bad_usage : ExitCode::rejected, cause);
}

ExitCode show_data_folder(CommandContext& context) {
  const auto contents = read_folder(context);
  if (!contents.ok()) return contents.exit_code();
  if (context.line().json) {
    print_contents_json(context, *contents);
  } else {
    print_contents(context, *contents);
  }
  ExitCode code = ExitCode::success;
  for (const auto& [name, state] : {std::pair("acceptor", contents->acceptor_state),
                                    {"control", contents->controller_state},
                                    {"coordination", contents->coordination_state},
                                    {"storage", contents->storage_node_state}}) {
    if (state != RecordState::unreadable) continue;
    context.complain(context.line().operand + ": " + name + ": there was a record, and it cannot be read");
    code = ExitCode::rejected;
  }
  return code;
}

ExitCode list_turns(CommandContext& context) {
  const auto contents = read_folder(context);
  if (!contents.ok()) return contents.exit_code();
  const Selection selection = select(*contents, context.line().program);
  if (context.line().json) {
    print_selection_json(context, selection);
  } else {
    print_selection(context, selection);
  }
  return ExitCode::success;
}

}  // namespace chutevane::ctl
