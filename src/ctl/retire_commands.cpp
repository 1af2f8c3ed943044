/// Draining a storage machine for good.
#include "ctl/commands.hpp"
#include "ctl/table.hpp"

namespace chutevane::ctl {
namespace {

constexpr Span repeat_limit =
    Span::ms(4000);  // the request may be repeated for `bounds.ackMs`, 4 s by default
constexpr Span poll_interval = Span::ms(500);  // a machine takes seconds to be drained

ExitCode print_state(CommandContext& context, const CallResult& result) {
  const auto document = context.parse_body(result);
  if (!document.ok()) return document.exit_code();
  const std::string& node = context.line().operand;
  const std::string state = member_text(*document, "state");
  if (context.line().json) {
    json::Writer json;
    json.open('{').key("node").text(node).key("state").text(state);
    context.print(json.key("from").text(result.from).close('}'));
  } else {
    context.out() << node << ": " << printable(state) << '\n';
  }
  return ExitCode::success;
}

}  // namespace

ExitCode start_retirement(CommandContext& context) {
  json::Writer body;
  body.open('{').key("deadlineS").real(context.line().deadline_s).close('}');
  const Request request{"POST",
                        "/v1/Retire.Initiate/" + context.line().operand,
                        {{"Content-Type", "application/json"}},
                        body.result()};
  const auto result = context.client().call(request, repeat_limit);
  if (!result.ok())
    return context.fail(ExitCode::indeterminate, std::string(result.status().message()) +
                                                     "; it may be under way or not: give the order again");
  // The conflict may be with the request's own earlier attempt.
  if (result->response.status == 409 && result->may_have_been_executed)
    return context.fail(
        ExitCode::indeterminate,
        result->from + ": 409 after a try without an answer: under way, or too few would be left");
  if (result->response.status != 200) return context.report_rejection(*result);
  return print_state(context, *result);
}

ExitCode show_retirement(CommandContext& context) {
  const CommandLine& line = context.line();
  while (true) {
    const auto result = context.client().call({"GET", "/v1/Retire.Retrieve/" + line.operand});
    if (!result.ok()) return context.fail(ExitCode::indeterminate, std::string(result.status().message()));
    if (result->response.status != 200) return context.report_rejection(*result);
    const auto document = context.parse_body(*result);
    if (!document.ok()) return document.exit_code();
    if (!line.wait || member_text(*document, "state") == "completed") return print_state(context, *result);
    if (context.client().sleep(poll_interval)) continue;
    static_cast<void>(print_state(context, *result));  // the body was parsed above
    return context.fail(ExitCode::indeterminate, line.operand + ": not completed within --timeout");
  }
}

}  // namespace chutevane::ctl
