#include "ctl/difference.hpp"

#include <cmath>
#include <map>

namespace chutevane::ctl {
namespace {

using json::Value;
constexpr int depth_most = 256;          // of nested values: the parser and what follows it recurse
constexpr double whole_most = 9.007e15;  // a double holds whole numbers up to here

using Members = std::map<std::string, const Value*>;

Members members_of(const Value& object) {
  Members out;
  for (const json::Member& m : object.members) out[m.first] = &m.second;  // the last one counts
  return out;
}

std::string text_at(const Value& object, std::string_view name) {
  const Value* const found = object.find(name);
  return found != nullptr && found->is(Value::Kind::text) ? found->text : "";
}

std::string route_name(const Value& route) {
  std::string host = text_at(route, "host");
  for (char& c : host) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
  return host + text_at(route, "pathPrefix");
}

std::vector<FieldChange> fields_changed(const Value& before, const Value& after) {
  const Members old_ones = members_of(before), new_ones = members_of(after);
  Members both = old_ones;
  both.insert(new_ones.begin(), new_ones.end());
  std::vector<FieldChange> out;
  for (const auto& [name, unused] : both) {
    const auto was = old_ones.find(name), is = new_ones.find(name);
    FieldChange one{name, was == old_ones.end() ? "" : canonical(*was->second),
                    is == new_ones.end() ? "" : canonical(*is->second)};
    if (one.before != one.after) out.push_back(std::move(one));
  }
  return out;
}

template <class Name>
void compare_lists(const Value& before, const Value& after, const std::string& key, const std::string& of,
                   Name name, std::vector<Change>& out) {
  const auto named = [&](const Value& from) {
    std::vector<std::pair<std::string, const Value*>> list;
    if (const Value* const found = from.find(key)) {
      for (const Value& one : found->items) list.emplace_back(name(one), &one);
    }
    return list;
  };
  const auto old_ones = named(before), new_ones = named(after);
  const std::map<std::string, const Value*> old_names(old_ones.begin(), old_ones.end()),
      new_names(new_ones.begin(), new_ones.end());
  for (const auto& [id, value] : new_ones) {
    const auto was = old_names.find(id);
    if (was == old_names.end()) {
      out.push_back({Change::Kind::added, of, id});
    } else if (auto fields = fields_changed(*was->second, *value); !fields.empty()) {
      out.push_back({Change::Kind::changed, of, id, std::move(fields)});
    }
  }
  for (const auto& [id, value] : old_ones) {
    if (!new_names.contains(id)) out.push_back({Change::Kind::removed, of, id});
  }
}

}  // namespace

void write_value(json::Writer& out, const Value& value) {
  switch (value.kind) {
    case Value::Kind::null: out.null(); return;
    case Value::Kind::boolean: out.truth(value.flag); return;
    case Value::Kind::text: out.text(value.text); return;
    case Value::Kind::number:
      if (value.number >= 0 && value.number < whole_most && std::floor(value.number) == value.number) {
        out.number(static_cast<std::uint64_t>(value.number));
      } else {
        out.real(value.number);
      }
      return;
    case Value::Kind::list:
      out.open('[');
      for (const Value& one : value.items) write_value(out, one);
      out.close(']');
      return;
    case Value::Kind::object:
      out.open('{');
      for (const auto& [name, one] : members_of(value)) {
        out.key(name);
        write_value(out, *one);
      }
      out.close('}');
      return;
  }
}

std::string canonical(const Value& value) {
  json::Writer out;
  write_value(out, value);
  return out.result();
}

absl::StatusOr<Value> read_document(std::string_view text) {
  try {
    return json::parse(text, {.bytes = document_most, .depth = depth_most});
  } catch (const json::ParseError& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

std::vector<Change> difference(const Value& before, const Value& after) {
  std::vector<Change> out;
  compare_lists(before, after, "routes", "route", route_name, out);
  compare_lists(
      before, after, "services", "service", [](const Value& v) { return text_at(v, "name"); }, out);
  for (FieldChange& f : fields_changed(before, after)) {
    if (f.field == "version" || f.field == "routes" || f.field == "services") continue;
    const Change::Kind kind = f.before.empty()  ? Change::Kind::added
                              : f.after.empty() ? Change::Kind::removed
                                                : Change::Kind::changed;
    Change one{kind, "document", f.field};
    one.fields.push_back(std::move(f));
    out.push_back(std::move(one));
  }
  return out;
}

}  // namespace chutevane::ctl
