#include "ctl/run.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <set>

#include "common/configuration.hpp"
#include "common/settings.hpp"
#include "ctl/difference.hpp"
#include "ctl/folder.hpp"
#include "ctl/orders.hpp"
#include "ctl/table.hpp"

namespace chutevane::ctl {
namespace {

using json::Value;

constexpr Span order_most = Span::ms(4000);   // an order may be repeated for `bounds.ackMs`, 4 s by default
constexpr Span wait_every = Span::ms(500);    // a machine takes seconds to be emptied
constexpr std::size_t body_most = 8U << 20U;  // bytes: a sidecar takes no more
constexpr const char* base_field = "X-Chutevane-Base-Version";

std::string member_text(const Value& of, std::string_view name) {
  const Value* const v = of.find(name);
  if (v == nullptr) return "-";
  if (v->is(Value::Kind::boolean)) return v->flag ? "yes" : "no";
  return v->text.empty() ? "-" : v->text;
}

std::vector<Value> member_items(const Value& of, std::string_view name) {
  const Value* const v = of.find(name);
  return v == nullptr ? std::vector<Value>() : v->items;
}

std::optional<std::int64_t> whole_number(const std::string* text) {
  std::int64_t out = 0;
  if (text == nullptr) return std::nullopt;
  const auto got = std::from_chars(text->data(), text->data() + text->size(), out);
  if (got.ec != std::errc() || got.ptr != text->data() + text->size() || out < 0) return std::nullopt;
  return out;
}

std::uint64_t count(std::int64_t n) { return static_cast<std::uint64_t>(std::max<std::int64_t>(n, 0)); }
std::string text_of(const common::Ballot& b) {
  return std::to_string(b.round) + "." + common::hash_text(static_cast<std::uint64_t>(b.proposer));
}

class Run {
 public:
  Run(Order order, Surroundings& around)
      : order_(std::move(order)),
        around_(around),
        out_(around.out),
        caller_(around.transport, around.clock, order_.controls, order_.timeout) {}

  int command() {
    switch (order_.verb) {
      case Verb::status: return status();
      case Verb::members: return members();
      case Verb::duties: return duties();
      case Verb::config_get: return config_get();
      case Verb::config_check: return config_check();
      case Verb::config_put: return config_put();
      case Verb::config_diff: return config_diff();
      case Verb::config_history: return config_history();
      case Verb::retire_start: return retire_start();
      case Verb::retire_state: return retire_state();
      case Verb::settings_check: return settings_check();
      case Verb::disk_show: return disk_show();
      case Verb::turns: return turns();
      case Verb::completion: return completion();
    }
    return wrong_use;
  }

 private:
  void complain(const std::string& what) { around_.err << "chutevanectl: " << plain(what) << '\n'; }
  int end(Exit code, const std::string& what) {
    complain(what);
    return code;
  }
  void print(const json::Writer& json) { out_ << json.result() << '\n'; }
  const Value* known(const Heard& heard, Value& into) {
    auto got = read_document(heard.answer.body);
    if (!got.ok()) return nullptr;
    into = *std::move(got);
    return &into;
  }

  // Asks, and gives back the document of a 200; else says why not and sets the exit code.
  std::optional<Value> asked(const std::string& target, Heard& heard, int& code) {
    auto got = caller_.call({"GET", target});
    if (!got.ok()) {
      code = end(unclear, std::string(got.status().message()));
      return std::nullopt;
    }
    heard = *std::move(got);
    if (heard.answer.status != 200) {
      code = refusal(heard);
      return std::nullopt;
    }
    Value document;
    if (known(heard, document) == nullptr) {
      code = end(unclear, heard.from + ": its answer is no JSON");
      return std::nullopt;
    }
    return document;
  }

  // A clear answer that is no 200.
  int refusal(const Heard& heard) {
    Value document;
    std::string cause = heard.answer.body;
    std::vector<Value> findings;
    if (known(heard, document) != nullptr && document.find("cause") != nullptr) {
      cause = member_text(document, "cause");
      findings = member_items(document, "findings");
    }
    if (cause.empty()) cause = "no cause is given";
    const std::string place = heard.from + ": " + std::to_string(heard.answer.status);
    if (findings.empty()) complain(place + ": " + cause);
    for (const Value& f : findings)
      complain(place + ": " + member_text(f, "place") + ": " + member_text(f, "what"));
    if (order_.json) {
      json::Writer json;
      json.open('{').key("outcome").text("refused").key("status").number(count(heard.answer.status));
      json.key("from").text(heard.from).key("cause").text(cause).key("findings").open('[');
      for (const Value& f : findings) write_value(json, f);
      print(json.close(']').close('}'));
    }
    return refused;
  }

  int status() {
    Heard heard;
    int code = good;
    const auto got = asked("/v1/Status.Retrieve", heard, code);
    if (!got) return code;
    if (order_.json) {
      json::Writer json;
      write_value(json, *got);
      print(json);
      return good;
    }
    print_rows(out_, {{"node", member_text(*got, "node")},
                      {"asked at", heard.from},
                      {"fresh", member_text(*got, "freshMs") + " ms"},
                      {"number", member_text(*got, "number")},
                      {"epoch", member_text(*got, "epoch")},
                      {"configuration", member_text(*got, "configVersion")},
                      {"map", member_text(*got, "map")},
                      {"endpoints", member_text(*got, "endpoints")}});
    std::vector<std::vector<std::string>> rows = {{"ACCEPTOR", "DISK"}};
    for (const Value& a : member_items(*got, "acceptors"))
      rows.push_back({member_text(a, "address"), member_text(a, "disk")});
    print_table(rows);
    rows = {{"STORAGE", "ZONE", "LEAVING"}};
    for (const Value& c : member_items(*got, "storageNodes"))
      rows.push_back({member_text(c, "node"), member_text(c, "zone"), member_text(c, "leaving")});
    print_table(rows);
    rows = {{"DUTY HERE", "TERM"}};
    for (const Value& d : member_items(*got, "duties"))
      rows.push_back({member_text(d, "name"), member_text(d, "term")});
    print_table(rows);
    print_members(*got);
    return good;
  }
  void print_table(const std::vector<std::vector<std::string>>& rows) {
    out_ << '\n';
    print_rows(out_, rows);
  }
  void print_members(const Value& status) {
    std::vector<std::vector<std::string>> rows = {{"MEMBER", "PLANE", "ZONE", "NUMBER", "WHOLE"}};
    for (const Value& m : member_items(status, "members"))
      rows.push_back({member_text(m, "node"), member_text(m, "plane"), member_text(m, "zone"),
                      member_text(m, "number"), member_text(m, "whole")});
    print_table(rows);
  }

  int members() {
    Heard heard;
    int code = good;
    const auto got = asked("/v1/Status.Retrieve", heard, code);
    if (!got) return code;
    if (order_.json) {
      json::Writer json;
      json.open('{').key("from").text(heard.from).key("number").text(member_text(*got, "number"));
      json.key("members").open('[');
      for (const Value& m : member_items(*got, "members")) write_value(json, m);
      print(json.close(']').close('}'));
      return good;
    }
    out_ << "as " << plain(member_text(*got, "node")) << " knows, whose number is "
         << plain(member_text(*got, "number")) << '\n';
    print_members(*got);
    return good;
  }

  // Each sidecar tells its own duties alone, so each is asked, once.
  int duties() {
    std::set<std::string> unseen = {"list", "roster"};
    std::size_t silent = 0;
    std::vector<std::vector<std::string>> rows = {{"DUTY", "TERM", "NODE", "CONTROL"}};
    for (const std::string& address : caller_.addresses()) {
      const auto got = caller_.once(address, {"GET", "/v1/Status.Retrieve"});
      const auto document = got.ok() && got->status == 200
                                ? read_document(got->body)
                                : absl::StatusOr<Value>(absl::UnavailableError(""));
      if (!document.ok()) {
        ++silent;
        complain(!got.ok() ? std::string(got.status().message())
                           : address + ": answered " + std::to_string(got->status));
        continue;
      }
      for (const Value& d : member_items(*document, "duties")) {
        rows.push_back(
            {member_text(d, "name"), member_text(d, "term"), member_text(*document, "node"), address});
        unseen.erase(member_text(d, "name"));
      }
    }
    if (order_.json) {
      json::Writer json;
      json.open('{').key("duties").open('[');
      for (std::size_t i = 1; i < rows.size(); ++i)
        json.open('{')
            .key("name")
            .text(rows[i][0])
            .key("term")
            .text(rows[i][1])
            .key("node")
            .text(rows[i][2])
            .key("control")
            .text(rows[i][3])
            .close('}');
      json.close(']').key("unseen").open('[');
      for (const std::string& name : unseen) json.text(name);
      print(json.close(']').key("notReached").number(silent).close('}'));
    } else {
      print_rows(out_, rows);
    }
    if (unseen.empty()) return good;
    for (const std::string& name : unseen) complain("duty " + name + ": held by none that answered");
    return silent > 0 ? unclear : refused;
  }

  int config_get() {
    auto got = caller_.call({"GET", "/v1/Configuration.Retrieve"});
    if (!got.ok()) return end(unclear, std::string(got.status().message()));
    if (got->answer.status != 200) return refusal(*got);
    const std::string& body = got->answer.body;
    const std::string* const version = got->answer.find(base_field);
    if (!order_.output.empty()) {
      if (auto s = write_file(order_.output, body); !s.ok()) return end(wrong_use, std::string(s.message()));
    }
    if (order_.json) {
      const auto document = read_document(body);
      json::Writer json;
      json.open('{').key("version").text(version == nullptr ? "" : *version).key("from").text(got->from);
      json.key("hash").text(common::hash_text(common::hash_of(body))).key("bytes").number(body.size());
      json.key("configuration");
      document.ok() ? write_value(json, *document) : static_cast<void>(json.null());
      print(json.close('}'));
    } else if (order_.output.empty()) {
      out_ << body;
    } else {
      out_ << "version " << (version == nullptr ? "?" : plain(*version)) << ", " << body.size()
           << " bytes: " << order_.output << '\n';
    }
    return good;
  }

  // Whole or not at all: beside it first, and then in its place.
  static absl::Status write_file(const std::string& path, const std::string& text) {
    const std::string beside = path + ".part";
    std::ofstream to(beside, std::ios::binary | std::ios::trunc);
    to << text;
    to.close();
    if (!to || std::rename(beside.c_str(), path.c_str()) != 0) {
      std::remove(beside.c_str());
      return absl::UnavailableError(path + ": cannot be written");
    }
    return absl::OkStatus();
  }

  static absl::StatusOr<std::string> read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) return absl::NotFoundError(path + ": cannot be opened");
    std::string text(body_most + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (in.bad() || (text.empty() && !in.eof())) return absl::UnavailableError(path + ": cannot be read");
    if (text.size() > body_most)
      return absl::InvalidArgumentError(path + ": over 8 MiB, which no sidecar takes");
    return text;
  }

  // The file's text and what it says, or an exit code with the findings told.
  std::optional<common::Configuration> checked(std::string& text, int& code) {
    auto got = read_file(order_.operand);
    if (!got.ok()) {
      code = end(absl::IsInvalidArgument(got.status()) ? refused : wrong_use,
                 std::string(got.status().message()));
      return std::nullopt;
    }
    text = *std::move(got);
    common::Findings findings;
    auto out = common::read_configuration(text, findings);
    if (out && findings.none()) return out;
    for (const common::Finding& f : findings.list())
      complain(order_.operand + ": " + f.place + ": " + f.what);
    if (order_.json) {
      json::Writer json;
      json.open('{').key("outcome").text("findings").key("findings").open('[');
      for (const common::Finding& f : findings.list())
        json.open('{').key("place").text(f.place).key("what").text(f.what).close('}');
      print(json.close(']').close('}'));
    }
    code = refused;
    return std::nullopt;
  }

  int config_check() {
    std::string text;
    int code = good;
    const auto got = checked(text, code);
    if (!got) return code;
    const std::string hash = common::hash_text(common::hash_of(text));
    if (order_.json) {
      json::Writer json;
      json.open('{')
          .key("outcome")
          .text("good")
          .key("version")
          .number(count(got->version))
          .key("hash")
          .text(hash);
      json.key("routes").number(got->routes.size()).key("services").number(got->services.size());
      print(json.key("findings").open('[').close(']').close('}'));
    } else {
      out_ << order_.operand << ": good: version " << got->version << ", " << got->routes.size()
           << " routes, " << got->services.size() << " services, hash " << hash << '\n';
    }
    return good;
  }

  // The version in force; 0 before the first.
  std::optional<std::int64_t> current(int& code) {
    const auto got = caller_.call({"GET", "/v1/Configuration.Retrieve"});
    if (!got.ok()) {
      code = end(unclear, "nothing was sent: " + std::string(got.status().message()));
      return std::nullopt;
    }
    if (got->answer.status == 404) return 0;
    const auto version = whole_number(got->answer.find(base_field));
    if (got->answer.status == 200 && version) return version;
    code = got->answer.status == 200 ? end(unclear, got->from + ": its answer has no " + base_field)
                                     : refusal(*got);
    return std::nullopt;
  }

  int config_put() {
    std::string text;
    int code = good;
    const auto file = checked(text, code);
    if (!file) return code;
    const std::optional<std::int64_t> base = order_.base ? order_.base : current(code);
    if (!base) return code;
    // Base and bytes are alike in each try: a sidecar knows a configuration that was taken by them.
    const auto got =
        caller_.call({"POST",
                      "/v1/Configuration.Replace",
                      {{base_field, std::to_string(*base)}, {"Content-Type", "application/json"}},
                      text});
    if (!got.ok()) {
      if (order_.json) {
        json::Writer json;
        json.open('{').key("outcome").text("unclear").key("version").number(count(file->version));
        print(json.key("base")
                  .number(count(*base))
                  .key("cause")
                  .text(std::string(got.status().message()))
                  .close('}'));
      }
      return end(unclear, std::string(got.status().message()) +
                              "; it may be in force or not: put the same file again with --base " +
                              std::to_string(*base));
    }
    if (got->answer.status != 200) return refusal(*got);
    // A 200 says that it was taken once. Built on a later version it is an old one sent again.
    const bool past = file->version < *base;
    if (past)
      complain(order_.operand + ": version " + std::to_string(file->version) +
               " was taken before, and version " + std::to_string(*base) + " followed it: raise its version");
    if (order_.json) {
      json::Writer json;
      json.open('{').key("outcome").text(past ? "past" : "taken").key("version").number(count(file->version));
      json.key("base").number(count(*base)).key("from").text(got->from).key("tries").number(got->tries);
      print(json.close('}'));
    } else if (!past) {
      out_ << "version " << file->version << " is taken, on base " << *base << ": " << got->from << '\n';
    }
    return past ? refused : good;
  }

  int config_diff() {
    std::string text;
    int code = good;
    const auto file = checked(text, code);
    if (!file) return code;
    const auto after = read_document(text);
    if (!after.ok()) return end(refused, order_.operand + ": " + std::string(after.status().message()));
    const auto got = caller_.call({"GET", "/v1/Configuration.Retrieve"});
    if (!got.ok()) return end(unclear, std::string(got.status().message()));
    Value before;
    if (got->answer.status == 200) {
      if (known(*got, before) == nullptr) return end(unclear, got->from + ": its answer is no JSON");
    } else if (got->answer.status != 404) {
      return refusal(*got);
    }
    const std::vector<Change> changes = difference(before, *after);
    order_.json ? print_changes_json(before, *after, changes) : print_changes(before, *after, changes);
    return changes.empty() ? good : refused;
  }
  static const char* word(Change::Kind kind) {
    return kind == Change::Kind::added ? "added" : kind == Change::Kind::removed ? "removed" : "changed";
  }
  void print_changes(const Value& before, const Value& after, const std::vector<Change>& changes) {
    out_ << "in force: version " << plain(member_text(before, "version")) << "; " << order_.operand
         << ": version " << plain(member_text(after, "version")) << '\n';
    for (const Change& c : changes) {
      out_ << word(c.kind) << ' ' << c.of << ' ' << plain(c.name) << '\n';
      for (const FieldChange& f : c.fields)
        out_ << "  " << plain(f.field) << ": " << (f.before.empty() ? "(none)" : f.before) << " -> "
             << (f.after.empty() ? "(none)" : f.after) << '\n';
    }
    if (changes.empty()) out_ << "no difference\n";
  }
  void print_changes_json(const Value& before, const Value& after, const std::vector<Change>& changes) {
    json::Writer json;
    json.open('{')
        .key("inForce")
        .text(member_text(before, "version"))
        .key("file")
        .text(member_text(after, "version"));
    json.key("changes").open('[');
    for (const Change& c : changes) {
      json.open('{').key("kind").text(word(c.kind)).key("of").text(c.of).key("name").text(c.name);
      json.key("fields").open('[');
      for (const FieldChange& f : c.fields)
        json.open('{')
            .key("field")
            .text(f.field)
            .key("before")
            .text(f.before)
            .key("after")
            .text(f.after)
            .close('}');
      json.close(']').close('}');
    }
    print(json.close(']').close('}'));
  }

  int config_history() {
    Heard heard;
    int code = good;
    const auto got = asked("/v1/Configuration.History", heard, code);
    if (!got) return code;
    if (order_.json) {
      json::Writer json;
      write_value(json, *got);
      print(json);
      return good;
    }
    std::vector<std::vector<std::string>> rows = {{"VERSION", "HASH", ""}};
    const std::string version = member_text(*got, "version");
    for (const Value& t : member_items(*got, "taken")) {
      rows.push_back({member_text(t, "version"), member_text(t, "hash"), ""});
      if (rows.back()[0] == version) rows.back()[2] = "in force";
    }
    print_rows(out_, rows);
    return good;
  }

  int retire_start() {
    json::Writer body;
    body.open('{').key("deadlineS").real(order_.deadline_s).close('}');
    const auto got = caller_.call({"POST",
                                   "/v1/Retire.Initiate/" + order_.operand,
                                   {{"Content-Type", "application/json"}},
                                   body.result()},
                                  order_most);
    if (!got.ok())
      return end(unclear,
                 std::string(got.status().message()) + "; it may be under way or not: give the order again");
    if (got->answer.status == 409 && got->doubt)
      return end(unclear,
                 got->from + ": 409 after a try without an answer: under way, or too few would be left");
    if (got->answer.status != 200) return refusal(*got);
    return print_state(*got);
  }

  int retire_state() {
    while (true) {
      const auto got = caller_.call({"GET", "/v1/Retire.Retrieve/" + order_.operand});
      if (!got.ok()) return end(unclear, std::string(got.status().message()));
      if (got->answer.status != 200) return refusal(*got);
      Value document;
      if (known(*got, document) == nullptr) return end(unclear, got->from + ": its answer is no JSON");
      if (!order_.wait || member_text(document, "state") == "completed") return print_state(*got);
      if (!caller_.pause(wait_every)) {
        print_state(*got);
        return end(unclear, order_.operand + ": not completed within --timeout");
      }
    }
  }
  int print_state(const Heard& heard) {
    Value document;
    if (known(heard, document) == nullptr) return end(unclear, heard.from + ": its answer is no JSON");
    if (order_.json) {
      json::Writer json;
      json.open('{').key("node").text(order_.operand).key("state").text(member_text(document, "state"));
      print(json.key("from").text(heard.from).close('}'));
    } else {
      out_ << order_.operand << ": " << plain(member_text(document, "state")) << '\n';
    }
    return good;
  }

  int settings_check() {
    const auto got = common::load_settings(order_.operand);
    const std::string why(got.status().message());
    if (order_.json) {
      json::Writer json;
      json.open('{')
          .key("outcome")
          .text(got.ok() ? "good" : "findings")
          .key("node")
          .text(got.ok() ? got->node : "");
      print(json.key("cause").text(why).close('}'));
    } else if (got.ok()) {
      out_ << order_.operand << ": good: " << plain(got->node) << ", zone " << plain(got->zone) << '\n';
    }
    if (got.ok()) return good;
    return end(absl::IsNotFound(got.status()) ? wrong_use : refused, why);
  }

  std::optional<Holdings> looked(int& code) {
    auto snapshot = Snapshot::of_folder(order_.operand);
    if (!snapshot.ok()) {
      code = end(wrong_use, order_.operand + ": " + std::string(snapshot.status().message()));
      return std::nullopt;
    }
    auto out = holdings_of(*std::move(snapshot));
    if (!out.ok()) {
      code = end(refused, order_.operand + ": " + std::string(out.status().message()));
      return std::nullopt;
    }
    if (out->moving)
      complain(order_.operand + ": written to meanwhile: its parts may be of more than one moment");
    return *std::move(out);
  }

  int disk_show() {
    int code = good;
    const auto held = looked(code);
    if (!held) return code;
    order_.json ? print_holdings_json(*held) : print_holdings(*held);
    for (const auto& [name, presence] : {std::pair("acceptor", held->has_acceptor),
                                         {"control", held->has_controller},
                                         {"storage", held->has_storage_node}}) {
      if (presence != Presence::lost) continue;
      complain(order_.operand + ": " + name + ": there was a record, and it cannot be read");
      code = refused;
    }
    return code;
  }
  void print_holdings(const Holdings& held) {
    std::vector<std::vector<std::string>> rows = {{"files", std::to_string(held.file_bytes) + " bytes"}};
    if (held.has_acceptor == Presence::lost) rows.push_back({"acceptor", "cannot be read"});
    if (held.has_acceptor == Presence::whole) {
      const common::AcceptorRecord& a = held.acceptor;
      rows.push_back({"acceptor epoch", std::to_string(a.epoch)});
      rows.push_back({"acceptor promised", text_of(a.promised)});
      rows.push_back({"acceptor accepted", text_of(a.accepted)});
      rows.push_back({"acceptor value", "number " + std::to_string(a.value.number) + ", configuration " +
                                            std::to_string(a.value.config_version) + ", map " +
                                            std::to_string(a.value.map_version)});
      for (const common::Acceptor& one : a.initial.acceptors)
        rows.push_back({"acceptor of the epoch", one.address + (one.disk.empty() ? "" : " " + one.disk)});
    }
    if (held.has_controller == Presence::lost) rows.push_back({"control", "cannot be read"});
    if (held.has_controller == Presence::whole) {
      rows.push_back(
          {"control disk", held.controller.disk + (held.controller.first ? " (first start)" : "")});
      rows.push_back({"control knows", "number " + std::to_string(held.controller.known.number) + ", epoch " +
                                           std::to_string(held.controller.initial.epoch)});
      for (const std::string& one : held.controller.controllers) rows.push_back({"control knows of", one});
    }
    if (held.has_storage_node == Presence::lost) rows.push_back({"storage", "cannot be read"});
    if (held.has_storage_node == Presence::whole)
      rows.push_back(
          {"storage disk", held.storage_node.disk + (held.storage_node.held ? " (in a map before)" : "")});
    rows.push_back(
        {"turns", std::to_string(held.turns.size()) + ", " + std::to_string(held.turn_bytes) + " bytes"});
    rows.push_back({"accounts", std::to_string(held.accounts.size())});
    for (const Segment& s : held.segments)
      rows.push_back({"segment " + std::to_string(s.number),
                      std::to_string(s.bytes) + " bytes, " + std::to_string(s.records) + " records"});
    for (const Torn& t : held.torn)
      rows.push_back(
          {"torn " + t.file, std::to_string(t.bytes) + " bytes behind byte " + std::to_string(t.at)});
    for (const std::string& name : held.unknown) rows.push_back({"not the tier's", name});
    print_rows(out_, rows);
  }
  static const char* word(Presence p) {
    return p == Presence::none ? "none" : p == Presence::whole ? "whole" : "lost";
  }
  void print_holdings_json(const Holdings& held) {
    json::Writer json;
    json.open('{').key("bytes").number(held.file_bytes).key("moving").truth(held.moving);
    json.key("acceptor").open('{').key("record").text(word(held.has_acceptor));
    if (held.has_acceptor == Presence::whole) {
      const common::AcceptorRecord& a = held.acceptor;
      json.key("epoch").number(count(a.epoch)).key("promised").text(text_of(a.promised));
      json.key("accepted").text(text_of(a.accepted)).key("number").number(count(a.value.number));
      json.key("configVersion")
          .number(count(a.value.config_version))
          .key("map")
          .number(count(a.value.map_version));
      json.key("acceptors").open('[');
      for (const common::Acceptor& one : a.initial.acceptors)
        json.open('{').key("address").text(one.address).key("disk").text(one.disk).close('}');
      json.close(']');
    }
    json.close('}').key("control").open('{').key("record").text(word(held.has_controller));
    if (held.has_controller == Presence::whole) {
      json.key("disk").text(held.controller.disk).key("first").truth(held.controller.first);
      json.key("number")
          .number(count(held.controller.known.number))
          .key("epoch")
          .number(count(held.controller.initial.epoch));
      json.key("controllers").open('[');
      for (const std::string& one : held.controller.controllers) json.text(one);
      json.close(']');
    }
    json.close('}').key("storage").open('{').key("record").text(word(held.has_storage_node));
    if (held.has_storage_node == Presence::whole)
      json.key("disk").text(held.storage_node.disk).key("held").truth(held.storage_node.held);
    json.close('}').key("turns").number(held.turns.size()).key("turnBytes").number(held.turn_bytes);
    json.key("accounts").number(held.accounts.size()).key("segments").open('[');
    for (const Segment& s : held.segments)
      json.open('{')
          .key("number")
          .number(s.number)
          .key("bytes")
          .number(s.bytes)
          .key("records")
          .number(s.records)
          .close('}');
    json.close(']').key("torn").open('[');
    for (const Torn& t : held.torn)
      json.open('{').key("file").text(t.file).key("at").number(t.at).key("bytes").number(t.bytes).close('}');
    json.close(']').key("unknown").open('[');
    for (const std::string& name : held.unknown) json.text(name);
    print(json.close(']').close('}'));
  }

  int turns() {
    int code = good;
    const auto held = looked(code);
    if (!held) return code;
    const auto wanted = [&](const std::string& program) {
      return order_.program.empty() || program == order_.program;
    };
    std::vector<const common::Turn*> turns;
    for (const common::Turn& t : held->turns) {
      if (wanted(t.program)) turns.push_back(&t);
    }
    std::vector<const common::Account*> accounts;
    for (const common::Account& a : held->accounts) {
      if (wanted(a.program)) accounts.push_back(&a);
    }
    order_.json ? print_turns_json(turns, accounts) : print_turns(turns, accounts);
    return good;
  }
  void print_turns(const std::vector<const common::Turn*>& turns,
                   const std::vector<const common::Account*>& accounts) {
    std::vector<std::vector<std::string>> rows = {
        {"TURN", "PROGRAM", "GOES ON FROM", "INPUT", "OUTPUT", "KEEP MS"}};
    for (const common::Turn* t : turns)
      rows.push_back({t->id, t->program.empty() ? "-" : t->program, t->previous.empty() ? "-" : t->previous,
                      std::to_string(t->input.data.size()), std::to_string(t->output.data.size()),
                      std::to_string(t->retention_ms)});
    print_rows(out_, rows);
    rows = {{"PROGRAM", "ATTEMPT", "TOKENS", "SETTLED"}};
    for (const common::Account* a : accounts) {
      for (const common::Reservation& r : a->entries)
        rows.push_back({a->program, r.attempt, std::to_string(r.tokens), r.committed ? "yes" : "no"});
    }
    print_table(rows);
  }
  void print_turns_json(const std::vector<const common::Turn*>& turns,
                        const std::vector<const common::Account*>& accounts) {
    json::Writer json;
    json.open('{').key("turns").open('[');
    for (const common::Turn* t : turns)
      json.open('{')
          .key("id")
          .text(t->id)
          .key("program")
          .text(t->program)
          .key("previous")
          .text(t->previous)
          .key("inputBytes")
          .number(t->input.data.size())
          .key("outputBytes")
          .number(t->output.data.size())
          .key("keepMs")
          .number(count(t->retention_ms))
          .close('}');
    json.close(']').key("accounts").open('[');
    for (const common::Account* a : accounts) {
      json.open('{').key("program").text(a->program).key("entries").open('[');
      for (const common::Reservation& r : a->entries)
        json.open('{')
            .key("attempt")
            .text(r.attempt)
            .key("tokens")
            .number(count(r.tokens))
            .key("settled")
            .truth(r.committed)
            .close('}');
      json.close(']').close('}');
    }
    print(json.close(']').close('}'));
  }

  int completion() {
    if (!order_.json) {
      out_ << bash_completion();
      return good;
    }
    json::Writer json;
    print(json.open('{').key("shell").text(order_.operand).key("script").text(bash_completion()).close('}'));
    return good;
  }

  const Order order_;
  Surroundings& around_;
  std::ostream& out_;
  Caller caller_;
};

}  // namespace

int run(const std::vector<std::string>& arguments, Surroundings& around) {
  auto order = read_order(arguments, around.control);
  if (!order.ok()) {
    around.err << "chutevanectl: " << plain(std::string(order.status().message())) << '\n';
    return wrong_use;
  }
  int code = good;
  if (order->help) {
    around.out << help_text();
  } else if (order->version) {
    around.out << "chutevanectl " << around.version << '\n';
  } else {
    code = Run(*std::move(order), around).command();
  }
  if (around.out.flush()) return code;
  around.err << "chutevanectl: standard output: cannot be written\n";
  return code == good ? wrong_use : code;
}

}  // namespace chutevane::ctl
