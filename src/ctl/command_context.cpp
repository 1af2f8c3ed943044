#include "ctl/command_context.hpp"

#include <algorithm>

#include "ctl/configuration_difference.hpp"
#include "ctl/table.hpp"

namespace chutevane::ctl {

using json::Value;

CommandContext::CommandContext(CommandLine line, Environment& environment)
    : line_(std::move(line)),
      environment_(environment),
      client_(environment.transport, environment.clock, line_.control_addresses, line_.timeout) {}

void CommandContext::complain(const std::string& what) {
  environment_.err << "chutevanectl: " << printable(what) << '\n';
}

ExitCode CommandContext::fail(ExitCode code, const std::string& what) {
  complain(what);
  return code;
}

void CommandContext::print(const json::Writer& json) { out() << json.result() << '\n'; }

void CommandContext::print_document(const Value& document) {
  json::Writer json;
  write_canonical(json, document);
  print(json);
}

void CommandContext::print_table(const Rows& rows) {
  out() << '\n';
  print_rows(out(), rows);
}

Outcome<FetchedDocument> CommandContext::fetch(const std::string& target) {
  const auto result = client_.call({"GET", target});
  if (!result.ok()) return fail(ExitCode::indeterminate, std::string(result.status().message()));
  if (result->response.status != 200) return report_rejection(*result);
  const auto document = parse_body(*result);
  if (!document.ok()) return document.exit_code();
  return FetchedDocument{*document, result->from};
}

Outcome<Value> CommandContext::parse_body(const CallResult& result) {
  auto document = parse_document(result.response.body);
  if (!document.ok()) return fail(ExitCode::indeterminate, result.from + ": its answer is no JSON");
  return *std::move(document);
}

ExitCode CommandContext::report_rejection(const CallResult& result) {
  std::string cause = result.response.body;
  std::vector<Value> findings;
  const auto document = parse_document(result.response.body);
  if (document.ok() && document->find("cause") != nullptr) {
    cause = member_text(*document, "cause");
    findings = member_items(*document, "findings");
  }
  if (cause.empty()) cause = "no cause is given";
  const std::string place = result.from + ": " + std::to_string(result.response.status);
  if (findings.empty()) complain(place + ": " + cause);
  for (const Value& finding : findings)
    complain(place + ": " + member_text(finding, "place") + ": " + member_text(finding, "what"));
  if (line_.json) {
    json::Writer json;
    json.open('{').key("outcome").text("refused");
    json.key("status").number(non_negative(result.response.status));
    json.key("from").text(result.from).key("cause").text(cause).key("findings").open('[');
    for (const Value& finding : findings) write_canonical(json, finding);
    print(json.close(']').close('}'));
  }
  return ExitCode::rejected;
}

std::string member_text(const Value& object, std::string_view name) {
  const Value* const member = object.find(name);
  if (member == nullptr) return "-";
  if (member->is(Value::Kind::boolean)) return member->flag ? "yes" : "no";
  return member->text.empty() ? "-" : member->text;
}

std::vector<Value> member_items(const Value& object, std::string_view name) {
  const Value* const member = object.find(name);
  return member == nullptr ? std::vector<Value>() : member->items;
}

std::uint64_t non_negative(std::int64_t number) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(number, 0));
}

}  // namespace chutevane::ctl
