#include "ctl/configuration_difference.hpp"

#include <cmath>
#include <map>

#include "common/configuration.hpp"

namespace chutevane::ctl {
namespace {

using json::Value;
constexpr int max_depth = 256;                  // of nested values: the parser and all functions here recurse
constexpr double max_exact_integer = 9.007e15;  // a double has all integers up to here

using Members = std::map<std::string, const Value*>;

Members members_of(const Value& object) {
  Members out;
  for (const json::Member& m : object.members)
    out[m.first] = &m.second;  // of members with one name the last counts
  return out;
}

std::string text_at(const Value& object, std::string_view name) {
  const Value* const found = object.find(name);
  return found != nullptr && found->is(Value::Kind::text) ? found->text : "";
}

std::string service_name(const Value& service) { return text_at(service, "name"); }

std::string route_name(const Value& route) {
  return common::lower_case(text_at(route, "host")) + text_at(route, "pathPrefix");
}

std::vector<FieldChange> changed_fields(const Value& before, const Value& after) {
  const Members old_members = members_of(before), new_members = members_of(after);
  Members all = old_members;
  all.insert(new_members.begin(), new_members.end());
  std::vector<FieldChange> out;
  for (const auto& [name, unused] : all) {
    const auto old_member = old_members.find(name), new_member = new_members.find(name);
    FieldChange change{name, old_member == old_members.end() ? "" : canonical(*old_member->second),
                       new_member == new_members.end() ? "" : canonical(*new_member->second)};
    if (change.before != change.after) out.push_back(std::move(change));
  }
  return out;
}

using NamedItems = std::vector<std::pair<std::string, const Value*>>;
using NameOfItem = std::string (*)(const Value& item);

NamedItems named_items(const Value& document, std::string_view key, NameOfItem name) {
  NamedItems out;
  if (const Value* const list = document.find(key)) {
    for (const Value& item : list->items) out.emplace_back(name(item), &item);
  }
  return out;
}

/// Appends the changes between two lists, whose items are matched by name.
void compare_lists(const NamedItems& before, const NamedItems& after, Change::Subject subject,
                   std::vector<Change>& out) {
  const Members old_by_name(before.begin(), before.end()), new_by_name(after.begin(), after.end());
  for (const auto& [name, item] : after) {
    const auto old_item = old_by_name.find(name);
    if (old_item == old_by_name.end()) {
      out.push_back({Change::Kind::added, subject, name});
    } else if (auto fields = changed_fields(*old_item->second, *item); !fields.empty()) {
      out.push_back({Change::Kind::changed, subject, name, std::move(fields)});
    }
  }
  for (const auto& [name, item] : before) {
    if (!new_by_name.contains(name)) out.push_back({Change::Kind::removed, subject, name});
  }
}

}  // namespace

std::string_view name_of(Change::Kind kind) {
  switch (kind) {
    case Change::Kind::added: return "added";
    case Change::Kind::removed: return "removed";
    case Change::Kind::changed: break;
  }
  return "changed";
}

std::string_view name_of(Change::Subject subject) {
  switch (subject) {
    case Change::Subject::route: return "route";
    case Change::Subject::service: return "service";
    case Change::Subject::document: break;
  }
  return "document";
}

void write_canonical(json::Writer& out, const Value& value) {
  switch (value.kind) {
    case Value::Kind::null: out.null(); return;
    case Value::Kind::boolean: out.truth(value.flag); return;
    case Value::Kind::text: out.text(value.text); return;
    case Value::Kind::number:
      if (value.number >= 0 && value.number < max_exact_integer && std::floor(value.number) == value.number) {
        out.number(static_cast<std::uint64_t>(value.number));
      } else {
        out.real(value.number);
      }
      return;
    case Value::Kind::list:
      out.open('[');
      for (const Value& item : value.items) write_canonical(out, item);
      out.close(']');
      return;
    case Value::Kind::object:
      out.open('{');
      for (const auto& [name, member] : members_of(value)) {
        out.key(name);
        write_canonical(out, *member);
      }
      out.close('}');
      return;
  }
}

std::string canonical(const Value& value) {
  json::Writer out;
  write_canonical(out, value);
  return out.result();
}

absl::StatusOr<Value> parse_document(std::string_view text) {
  try {
    return json::parse(text, {.bytes = max_document_bytes, .depth = max_depth});
  } catch (const json::ParseError& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

std::vector<Change> difference(const Value& before, const Value& after) {
  std::vector<Change> out;
  compare_lists(named_items(before, "routes", route_name), named_items(after, "routes", route_name),
                Change::Subject::route, out);
  compare_lists(named_items(before, "services", service_name), named_items(after, "services", service_name),
                Change::Subject::service, out);
  for (FieldChange& field : changed_fields(before, after)) {
    if (field.field == "version" || field.field == "routes" || field.field == "services") continue;
    const Change::Kind kind = field.before.empty()  ? Change::Kind::added
                              : field.after.empty() ? Change::Kind::removed
                                                    : Change::Kind::changed;
    Change change{kind, Change::Subject::document, field.field};
    change.fields.push_back(std::move(field));
    out.push_back(std::move(change));
  }
  return out;
}

}  // namespace chutevane::ctl
