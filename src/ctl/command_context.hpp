/// What the commands of chutevanectl share: the command line, output in both forms, requests to control
/// sidecars.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ctl/command_line.hpp"
#include "ctl/control_client.hpp"
#include "ctl/run.hpp"
#include "json/value.hpp"

namespace chutevane::ctl {

/// A value, or the exit code of a command that has failed. The failure has been reported then.
template <class T>
class Outcome {
 public:
  Outcome(T value) : value_(std::move(value)) {}          // NOLINT(google-explicit-constructor)
  Outcome(ExitCode exit_code) : exit_code_(exit_code) {}  // NOLINT(google-explicit-constructor)
  bool ok() const { return value_.has_value(); }
  ExitCode exit_code() const { return exit_code_; }
  const T& operator*() const { return *value_; }
  const T* operator->() const { return &*value_; }

 private:
  std::optional<T> value_;
  ExitCode exit_code_ = ExitCode::success;
};

using Rows = std::vector<std::vector<std::string>>;

/// A document that a control sidecar has sent, and the sidecar's address.
struct FetchedDocument {
  json::Value document;
  std::string from;
};

class CommandContext {
 public:
  CommandContext(CommandLine line, Environment& environment);

  const CommandLine& line() const { return line_; }
  std::ostream& out() { return environment_.out; }
  ControlClient& client() { return client_; }

  /// One line on standard error.
  void complain(const std::string& what);
  /// The same, as the end of a command.
  [[nodiscard]] ExitCode fail(ExitCode code, const std::string& what);
  void print(const json::Writer& json);
  void print_document(const json::Value& document);
  /// An empty line, then a table.
  void print_table(const Rows& rows);

  /// The document of a 200. Anything else is reported.
  Outcome<FetchedDocument> fetch(const std::string& target);
  /// Parses the body of a response; a failure is reported.
  Outcome<json::Value> parse_body(const CallResult& result);
  /// Reports a conclusive response other than 200, with its cause or findings.
  [[nodiscard]] ExitCode report_rejection(const CallResult& result);

 private:
  const CommandLine line_;
  Environment& environment_;
  ControlClient client_;
};

/// The value of a member for people; "-": it is absent or empty.
std::string member_text(const json::Value& object, std::string_view name);
/// The items of a member that is a list; empty: it is absent.
std::vector<json::Value> member_items(const json::Value& object, std::string_view name);

/// For JSON output; a negative number, which is never valid here, counts as 0.
std::uint64_t non_negative(std::int64_t number);

}  // namespace chutevane::ctl
