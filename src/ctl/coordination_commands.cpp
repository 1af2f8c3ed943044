/// What control sidecars know of locks, elections, numbers and groups of keys. An election is a lock that is
/// held long, so both are in one table.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "ctl/commands.hpp"
#include "ctl/configuration_difference.hpp"
#include "ctl/table.hpp"

namespace chutevane::ctl {
namespace {

using json::Value;

constexpr const char* coordination_target = "/v1/Coordination.Retrieve";

/// What one sidecar answered.
struct Answered {
  std::string from;  ///< its address
  Value document;
};

/// Of the newest state that the sidecar knows; 0: none.
std::int64_t number_of(const Value& document) {
  constexpr double max_number = 9e15;  // exact in JSON
  const Value* const number = document.find("number");
  const bool is_valid = number != nullptr && number->number >= 0 && number->number <= max_number;
  return is_valid ? static_cast<std::int64_t>(number->number) : 0;
}

/// Where a sidecar lists only the first of its names.
void print_omitted(CommandContext& context, const Value& document, std::string_view list,
                   std::string_view total) {
  const std::string listed = std::to_string(member_items(document, list).size());
  const std::string all = member_text(document, total);
  if (all != "-" && all != listed)
    context.out() << listed << " of " << printable(all) << " " << list << " are shown\n";
}

void print_locks(CommandContext& context, const Value& document) {
  Rows rows = {{"LOCK", "HOLDER", "FENCE", "HOLD MS"}};
  for (const Value& lock : member_items(document, "locks"))
    rows.push_back({member_text(lock, "name"), member_text(lock, "holder"), member_text(lock, "fence"),
                    member_text(lock, "holdMs")});
  context.print_table(rows);
  print_omitted(context, document, "locks", "lockCount");
}

void print_groups(CommandContext& context, const Value& document) {
  Rows rows = {{"GROUP", "REVISION", "KEYS", "HISTORY"}};
  for (const Value& group : member_items(document, "groups"))
    rows.push_back({member_text(group, "name"), member_text(group, "revision"), member_text(group, "keys"),
                    member_text(group, "history")});
  context.print_table(rows);
  print_omitted(context, document, "groups", "groupCount");
}

void print_numbers(CommandContext& context, const Value& document) {
  Rows rows = {{"NUMBER", "VALUE"}};
  for (const Value& number : member_items(document, "numbers"))
    rows.push_back({member_text(number, "name"), member_text(number, "value")});
  context.print_table(rows);
  print_omitted(context, document, "numbers", "numberCount");
}

void print_names(CommandContext& context, const Value& document) {
  print_locks(context, document);
  print_groups(context, document);
  print_numbers(context, document);
}

void print_coordination(CommandContext& context, const Answered& answered) {
  const Value& document = answered.document;
  print_rows(context.out(), {{"node", member_text(document, "node")},
                             {"asked at", answered.from},
                             {"available", member_text(document, "available")},
                             {"proposer", member_text(document, "proposer")},
                             {"number", member_text(document, "number")},
                             {"epoch", member_text(document, "epoch")},
                             {"queue", member_text(document, "queue")},
                             {"watchers", member_text(document, "watchers")},
                             {"state", member_text(document, "stateBytes") + " bytes"}});
  Rows rows = {{"ACCEPTOR", "DISK"}};
  for (const Value& acceptor : member_items(document, "acceptors"))
    rows.push_back({member_text(acceptor, "address"), member_text(acceptor, "disk")});
  context.print_table(rows);
  print_names(context, document);
}

ExitCode show_one(CommandContext& context) {
  const auto fetched = context.fetch(coordination_target);
  if (!fetched.ok()) return fetched.exit_code();
  if (context.line().json) {
    context.print_document(fetched->document);
  } else {
    print_coordination(context, {fetched->from, fetched->document});
  }
  return ExitCode::success;
}

/// Asks each sidecar once; those without an answer are reported.
std::vector<Answered> ask_all(CommandContext& context) {
  std::vector<Answered> out;
  for (const std::string& address : context.client().addresses()) {
    const auto response = context.client().call_once(address, {"GET", coordination_target});
    if (!response.ok()) {
      context.complain(std::string(response.status().message()));
      continue;
    }
    auto document = parse_document(response->body);
    if (response->status == 200 && document.ok()) {
      out.push_back({address, *std::move(document)});
    } else if (response->status == 200) {
      context.complain(address + ": its answer is no JSON");
    } else {
      context.complain(address + ": answered " + std::to_string(response->status));
    }
  }
  return out;
}

/// How many changes each is behind the one that knows the most. They are asked one after the other, so some
/// are shown where the state changes meanwhile.
void print_comparison(CommandContext& context, const std::vector<Answered>& answers, const Answered& newest) {
  Rows rows = {
      {"NODE", "CONTROL", "AVAILABLE", "PROPOSER", "EPOCH", "NUMBER", "BEHIND", "QUEUE", "WATCHERS"}};
  for (const Answered& answered : answers) {
    const Value& document = answered.document;
    const std::int64_t behind = number_of(newest.document) - number_of(document);
    rows.push_back({member_text(document, "node"), answered.from, member_text(document, "available"),
                    member_text(document, "proposer"), member_text(document, "epoch"),
                    member_text(document, "number"), std::to_string(behind), member_text(document, "queue"),
                    member_text(document, "watchers")});
  }
  print_rows(context.out(), rows);
  print_names(context, newest.document);
}

void print_comparison_json(CommandContext& context, const std::vector<Answered>& answers,
                           const Answered& newest) {
  json::Writer json;
  json.open('{').key("sidecars").open('[');
  for (const Answered& answered : answers) {
    json.open('{').key("control").text(answered.from);
    json.key("behind").number(non_negative(number_of(newest.document) - number_of(answered.document)));
    json.key("status");
    write_canonical(json, answered.document);
    json.close('}');
  }
  const std::size_t not_reached = context.client().addresses().size() - answers.size();
  context.print(json.close(']').key("notReached").number(not_reached).close('}'));
}

ExitCode show_all(CommandContext& context) {
  const std::vector<Answered> answers = ask_all(context);
  if (answers.empty()) return ExitCode::indeterminate;
  const auto newest = std::max_element(
      answers.begin(), answers.end(),
      [](const Answered& a, const Answered& b) { return number_of(a.document) < number_of(b.document); });
  if (context.line().json) {
    print_comparison_json(context, answers, *newest);
  } else {
    print_comparison(context, answers, *newest);
  }
  const bool is_complete = answers.size() == context.client().addresses().size();
  return is_complete ? ExitCode::success : ExitCode::indeterminate;
}

}  // namespace

ExitCode show_coordination(CommandContext& context) {
  return context.line().all ? show_all(context) : show_one(context);
}

}  // namespace chutevane::ctl
