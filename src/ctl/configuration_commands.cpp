/// The operator's configuration: what is in force, and putting another in its place.
#include <charconv>
#include <cstdio>
#include <fstream>

#include "common/configuration.hpp"
#include "ctl/commands.hpp"
#include "ctl/configuration_difference.hpp"
#include "ctl/table.hpp"

namespace chutevane::ctl {
namespace {

using json::Value;

constexpr const char* retrieve_target = "/v1/Configuration.Retrieve";
constexpr const char* base_version_field = "X-Chutevane-Base-Version";
constexpr std::size_t max_file_bytes = 8U << 20U;  // a sidecar accepts no more

/// A configuration from a file.
struct ConfigurationFile {
  std::string text;
  common::Configuration configuration;
};

/// Nothing: the header field is absent or no version.
std::optional<std::int64_t> parse_version(const std::string* text) {
  std::int64_t out = 0;
  if (text == nullptr) return std::nullopt;
  const char* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, out);
  if (parsed.ec != std::errc() || parsed.ptr != end || out < 0) return std::nullopt;
  return out;
}

/// Replaces the file atomically: the text is written beside it first.
absl::Status write_file(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".part";
  std::ofstream to(temporary, std::ios::binary | std::ios::trunc);
  to << text;
  to.close();
  if (!to || std::rename(temporary.c_str(), path.c_str()) != 0) {
    std::remove(temporary.c_str());
    return absl::UnavailableError(path + ": cannot be written");
  }
  return absl::OkStatus();
}

/// InvalidArgument: it is too large. Other errors: it cannot be read.
absl::StatusOr<std::string> read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return absl::NotFoundError(path + ": cannot be opened");
  std::string text(max_file_bytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  if (in.bad() || (text.empty() && !in.eof())) return absl::UnavailableError(path + ": cannot be read");
  if (text.size() > max_file_bytes)
    return absl::InvalidArgumentError(path + ": over 8 MiB, which no sidecar takes");
  return text;
}

void report_findings(CommandContext& context, const common::Findings& findings) {
  for (const common::Finding& finding : findings.list())
    context.complain(context.line().operand + ": " + finding.place + ": " + finding.what);
  if (!context.line().json) return;
  json::Writer json;
  json.open('{').key("outcome").text("findings").key("findings").open('[');
  for (const common::Finding& finding : findings.list())
    json.open('{').key("place").text(finding.place).key("what").text(finding.what).close('}');
  context.print(json.close(']').close('}'));
}

/// Reads and checks the file that the operand names. A failure is reported.
Outcome<ConfigurationFile> read_configuration_file(CommandContext& context) {
  auto text = read_file(context.line().operand);
  if (!text.ok()) {
    const bool is_too_large = absl::IsInvalidArgument(text.status());
    return context.fail(is_too_large ? ExitCode::rejected : ExitCode::bad_usage,
                        std::string(text.status().message()));
  }
  common::Findings findings;
  auto configuration = common::read_configuration(*text, findings);
  if (configuration && findings.none()) return ConfigurationFile{*std::move(text), *std::move(configuration)};
  report_findings(context, findings);
  return ExitCode::rejected;
}

/// The version in force; 0: there is none yet. A failure is reported.
Outcome<std::int64_t> fetch_version_in_force(CommandContext& context) {
  const auto result = context.client().call({"GET", retrieve_target});
  if (!result.ok())
    return context.fail(ExitCode::indeterminate,
                        "nothing was sent: " + std::string(result.status().message()));
  if (result->response.status == 404) return std::int64_t{0};
  if (result->response.status != 200) return context.report_rejection(*result);
  const auto version = parse_version(result->response.find(base_version_field));
  if (version) return *version;
  return context.fail(ExitCode::indeterminate, result->from + ": its answer has no " + base_version_field);
}

void print_configuration_json(CommandContext& context, const CallResult& result, const std::string* version) {
  const std::string& body = result.response.body;
  const auto document = parse_document(body);
  json::Writer json;
  json.open('{').key("version").text(version == nullptr ? "" : *version).key("from").text(result.from);
  json.key("hash").text(common::hash_text(common::hash_of(body))).key("bytes").number(body.size());
  json.key("configuration");
  if (document.ok()) {
    write_canonical(json, *document);
  } else {
    json.null();
  }
  context.print(json.close('}'));
}

/// Nobody has replied conclusively to the request to put a configuration in force.
ExitCode report_indeterminate_put(CommandContext& context, std::int64_t version, std::int64_t base,
                                  const std::string& cause) {
  if (context.line().json) {
    json::Writer json;
    json.open('{').key("outcome").text("unclear").key("version").number(non_negative(version));
    context.print(json.key("base").number(non_negative(base)).key("cause").text(cause).close('}'));
  }
  return context.fail(
      ExitCode::indeterminate,
      cause + "; it may be in force or not: put the same file again with --base " + std::to_string(base));
}

void print_changes(CommandContext& context, const Value& before, const Value& after,
                   const std::vector<Change>& changes) {
  std::ostream& out = context.out();
  out << "in force: version " << printable(member_text(before, "version")) << "; " << context.line().operand
      << ": version " << printable(member_text(after, "version")) << '\n';
  for (const Change& change : changes) {
    out << name_of(change.kind) << ' ' << name_of(change.subject) << ' ' << printable(change.name) << '\n';
    for (const FieldChange& field : change.fields)
      out << "  " << printable(field.field) << ": " << (field.before.empty() ? "(none)" : field.before)
          << " -> " << (field.after.empty() ? "(none)" : field.after) << '\n';
  }
  if (changes.empty()) out << "no difference\n";
}

void print_changes_json(CommandContext& context, const Value& before, const Value& after,
                        const std::vector<Change>& changes) {
  json::Writer json;
  json.open('{').key("inForce").text(member_text(before, "version"));
  json.key("file").text(member_text(after, "version")).key("changes").open('[');
  for (const Change& change : changes) {
    json.open('{').key("kind").text(name_of(change.kind)).key("of").text(name_of(change.subject));
    json.key("name").text(change.name).key("fields").open('[');
    for (const FieldChange& field : change.fields) {
      json.open('{').key("field").text(field.field).key("before").text(field.before);
      json.key("after").text(field.after).close('}');
    }
    json.close(']').close('}');
  }
  context.print(json.close(']').close('}'));
}

}  // namespace

ExitCode get_configuration(CommandContext& context) {
  const CommandLine& line = context.line();
  const auto result = context.client().call({"GET", retrieve_target});
  if (!result.ok()) return context.fail(ExitCode::indeterminate, std::string(result.status().message()));
  if (result->response.status != 200) return context.report_rejection(*result);
  const std::string& body = result->response.body;
  const std::string* const version = result->response.find(base_version_field);
  if (!line.output.empty()) {
    const absl::Status written = write_file(line.output, body);
    if (!written.ok()) return context.fail(ExitCode::bad_usage, std::string(written.message()));
  }
  if (line.json) {
    print_configuration_json(context, *result, version);
  } else if (line.output.empty()) {
    context.out() << body;
  } else {
    context.out() << "version " << (version == nullptr ? "?" : printable(*version)) << ", " << body.size()
                  << " bytes: " << line.output << '\n';
  }
  return ExitCode::success;
}

ExitCode check_configuration(CommandContext& context) {
  const auto file = read_configuration_file(context);
  if (!file.ok()) return file.exit_code();
  const common::Configuration& configuration = file->configuration;
  const std::string hash = common::hash_text(common::hash_of(file->text));
  if (context.line().json) {
    json::Writer json;
    json.open('{').key("outcome").text("good");
    json.key("version").number(non_negative(configuration.version)).key("hash").text(hash);
    json.key("routes").number(configuration.routes.size());
    json.key("services").number(configuration.services.size());
    context.print(json.key("findings").open('[').close(']').close('}'));
  } else {
    context.out() << context.line().operand << ": good: version " << configuration.version << ", "
                  << configuration.routes.size() << " routes, " << configuration.services.size()
                  << " services, hash " << hash << '\n';
  }
  return ExitCode::success;
}

ExitCode put_configuration(CommandContext& context) {
  const CommandLine& line = context.line();
  const auto file = read_configuration_file(context);
  if (!file.ok()) return file.exit_code();
  const std::int64_t version = file->configuration.version;
  const auto base = line.base ? Outcome<std::int64_t>(*line.base) : fetch_version_in_force(context);
  if (!base.ok()) return base.exit_code();
  // Base and bytes are the same in each attempt: a sidecar recognises a configuration that was applied by
  // them.
  const auto result = context.client().call(
      {"POST",
       "/v1/Configuration.Replace",
       {{base_version_field, std::to_string(*base)}, {"Content-Type", "application/json"}},
       file->text});
  if (!result.ok())
    return report_indeterminate_put(context, version, *base, std::string(result.status().message()));
  if (result->response.status != 200) return context.report_rejection(*result);
  // A 200 says that it was applied once. If it is older than its base, it is an old one that was sent again.
  const bool is_old = version < *base;
  if (is_old)
    context.complain(line.operand + ": version " + std::to_string(version) +
                     " was taken before, and version " + std::to_string(*base) +
                     " followed it: raise its version");
  if (line.json) {
    json::Writer json;
    json.open('{').key("outcome").text(is_old ? "past" : "taken");
    json.key("version").number(non_negative(version)).key("base").number(non_negative(*base));
    json.key("from").text(result->from).key("tries").number(result->attempts);
    context.print(json.close('}'));
  } else if (!is_old) {
    context.out() << "version " << version << " is taken, on base " << *base << ": " << result->from << '\n';
  }
  return is_old ? ExitCode::rejected : ExitCode::success;
}

ExitCode diff_configuration(CommandContext& context) {
  const auto file = read_configuration_file(context);
  if (!file.ok()) return file.exit_code();
  const auto after = parse_document(file->text);
  if (!after.ok())
    return context.fail(ExitCode::rejected,
                        context.line().operand + ": " + std::string(after.status().message()));
  const auto result = context.client().call({"GET", retrieve_target});
  if (!result.ok()) return context.fail(ExitCode::indeterminate, std::string(result.status().message()));
  Value before;  // stays empty where there is none in force yet
  if (result->response.status == 200) {
    const auto document = context.parse_body(*result);
    if (!document.ok()) return document.exit_code();
    before = *document;
  } else if (result->response.status != 404) {
    return context.report_rejection(*result);
  }
  const std::vector<Change> changes = difference(before, *after);
  if (context.line().json) {
    print_changes_json(context, before, *after, changes);
  } else {
    print_changes(context, before, *after, changes);
  }
  return changes.empty() ? ExitCode::success : ExitCode::rejected;
}

ExitCode show_configuration_history(CommandContext& context) {
  const auto history = context.fetch("/v1/Configuration.History");
  if (!history.ok()) return history.exit_code();
  if (context.line().json) {
    context.print_document(history->document);
    return ExitCode::success;
  }
  Rows rows = {{"VERSION", "HASH", ""}};
  const std::string in_force = member_text(history->document, "version");
  for (const Value& applied : member_items(history->document, "taken")) {
    const std::string version = member_text(applied, "version");
    rows.push_back({version, member_text(applied, "hash"), version == in_force ? "in force" : ""});
  }
  print_rows(context.out(), rows);
  return ExitCode::success;
}

}  // namespace chutevane::ctl
