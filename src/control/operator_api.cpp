#include "control/operator_api.hpp"

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>

#include "common/configuration.hpp"
#include "common/log.hpp"
#include "control/roster.hpp"
#include "json/value.hpp"

namespace chutevane::control {
namespace {

constexpr Span change_most = Span::ms(3000);  // told as unclear well before `ackMs`
constexpr Span order_most = Span::ms(2500);   // ... and so with all other calls

common::HttpResponse problem(int status, const std::string& cause) {
  json::Writer out;
  out.open('{').key("cause").text(cause).close('}');
  return {status, out.result(), {}};
}

common::HttpResponse unclear() {
  common::HttpResponse out = problem(503, "not known yet whether it is taken: send it again unchanged");
  out.fields.emplace_back("Retry-After", "0.2");
  return out;
}

// All findings, each with its place.
common::HttpResponse invalid(const common::Findings& findings) {
  json::Writer out;
  out.open('{').key("cause").text(findings.text()).key("findings").open('[');
  for (const common::Finding& f : findings.list())
    out.open('{').key("place").text(f.place).key("what").text(f.what).close('}');
  out.close(']').close('}');
  return {400, out.result(), {}};
}

// -1 where it is missing or no version: a finding then.
std::int64_t base_version(const http::Parser& request, common::Findings& findings) {
  constexpr std::string_view name = "X-Chutevane-Base-Version";
  const auto text = request.find(name);
  if (!text) {
    findings.add(std::string(name), "missing");
    return -1;
  }
  std::int64_t base = -1;
  const char* const end = text->data() + text->size();
  const auto got = std::from_chars(text->data(), end, base);
  if (got.ec == std::errc() && got.ptr == end && base >= 0) return base;
  findings.add(std::string(name), "not a version");
  return -1;
}

bool is_retired(const common::RegisterValue& value, const std::string& node) {
  return std::any_of(value.retired_nodes.begin(), value.retired_nodes.end(),
                     [&](const common::RetiredNode& r) { return r.node == node; });
}

}  // namespace

OperatorApi::OperatorApi(Register& control_register, Host& host, std::size_t machine_losses,
                         std::size_t remembered)
    : register_(control_register), host_(host), machine_losses_(machine_losses), remembered_(remembered) {}

void OperatorApi::serve(const http::Parser& request, common::HttpServer::Reply reply) {
  const std::string_view target = request.target();
  const std::string_view path = target.substr(0, target.find('?'));
  const auto node_of = [&](std::string_view prefix) { return std::string(path.substr(prefix.size())); };
  constexpr std::string_view initiate = "/v1/Retire.Initiate/", state = "/v1/Retire.Retrieve/";
  const bool get = request.method() == "GET", post = request.method() == "POST";
  if (post && path == "/v1/Configuration.Replace") return replace(request, std::move(reply));
  if (get && path == "/v1/Configuration.Retrieve") return retrieve(std::move(reply));
  if (get && path == "/v1/Configuration.History") return history(std::move(reply));
  if (post && path.starts_with(initiate)) return initiate_retire(node_of(initiate), std::move(reply));
  if (get && path.starts_with(state)) return retrieve_retire(node_of(state), std::move(reply));
  if (get && path == "/v1/Status.Retrieve") return status(std::move(reply));
  reply(problem(404, "no such call"));
}

void OperatorApi::replace(const http::Parser& request, common::HttpServer::Reply reply) {
  common::Findings findings;
  ConfigurationOrder order;
  order.base = base_version(request, findings);
  order.body = request.body();
  order.hash = static_cast<std::int64_t>(common::hash_of(order.body));
  const auto read = common::read_configuration(order.body, findings);
  if (read && findings.none() && read->version <= order.base)
    findings.add("version", std::to_string(read->version) + " is not above its base");
  if (!findings.none() || !read) {
    note(Outcome::invalid, order, findings.text());
    return reply(invalid(findings));
  }
  order.version = read->version;
  const auto shared = std::make_shared<const ConfigurationOrder>(std::move(order));
  register_.change(
      [shared, remembered = remembered_](
          const common::RegisterValue& current) -> std::optional<common::RegisterValue> {
        if (judge(current, *shared, remembered) != OrderVerdict::applicable) return std::nullopt;
        return applied(current, *shared, remembered);
      },
      change_most,
      [this, reply, shared](absl::StatusOr<common::RegisterValue> got) {
        if (!got.ok()) {
          note(Outcome::unclear, *shared, got.status().ToString());
          return reply(unclear());
        }
        const std::string current = "version " + std::to_string(got->config_version) + " is current";
        switch (judge(*got, *shared, remembered_)) {
          case OrderVerdict::taken:
            note(Outcome::taken, *shared, current);
            return acknowledge(*got, shared->version, reply);
          case OrderVerdict::superseded:
            note(Outcome::superseded, *shared, current);
            return reply(problem(412, current));
          case OrderVerdict::not_above_base:
            note(Outcome::invalid, *shared, "not above its base");
            return reply(problem(400, "version: not above its base"));
          case OrderVerdict::applicable:
          case OrderVerdict::unclear: note(Outcome::unclear, *shared, current); return reply(unclear());
        }
      });
}

std::string_view OperatorApi::name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::taken: return "taken";
    case Outcome::invalid: return "invalid";
    case Outcome::superseded: return "superseded";
    case Outcome::unclear: return "unclear";
    case Outcome::read: return "read";
    case Outcome::read_unclear: return "read_unclear";
  }
  return "";
}

void OperatorApi::note(Outcome outcome, const ConfigurationOrder& order, std::string_view cause) {
  ++counts_[static_cast<std::size_t>(outcome)];
  if (outcome == Outcome::taken || outcome == Outcome::read) return;
  const ControlStatus own = host_.status();
  if (!refusals_.admits(own.now)) return;
  const common::Ballot ballot = register_.known_ballot();
  refusals_.line("outcome=" + std::string(name_of(outcome)) + " version=" + std::to_string(order.version) +
                 " base=" + std::to_string(order.base) +
                 " hash=" + common::hash_text(static_cast<std::uint64_t>(order.hash)) +
                 " epoch=" + std::to_string(register_.initial().epoch) +
                 " ballot=" + std::to_string(ballot.round) + "." + std::to_string(ballot.proposer) +
                 " quorum_age_ms=" + std::to_string(static_cast<std::int64_t>(own.fresh_age.as_ms())) +
                 " cause=" + std::string(cause));
}

void OperatorApi::write_metrics(common::MetricsWriter& out) const {
  out.begin(common::MetricsWriter::Type::counter, "chutevane_control_orders", "",
            "Configurations and reads of operators, by what became of them.");
  for (std::size_t i = 0; i < outcomes; ++i)
    out.sample(static_cast<double>(counts_[i]), {{"outcome", name_of(static_cast<Outcome>(i))}});
}

void OperatorApi::acknowledge(const common::RegisterValue& chosen, std::int64_t version,
                              common::HttpServer::Reply reply) {
  common::log_info("config.taken",
                   "version " + std::to_string(version) + ", number " + std::to_string(chosen.number));
  host_.announce(chosen);
  json::Writer out;
  out.open('{').key("version").number(static_cast<std::uint64_t>(version)).close('}');
  host_.when_acknowledged(chosen.number, [reply = std::move(reply), text = out.result()] {
    reply({200, text, {}});
  });
}

void OperatorApi::retrieve(common::HttpServer::Reply reply) {
  register_.read(order_most, [this, reply](absl::StatusOr<common::RegisterValue> got) {
    if (!got.ok()) {
      note(Outcome::read_unclear, {}, got.status().ToString());
      return reply(unclear());
    }
    note(Outcome::read, {}, "");
    if (got->config_version == 0) return reply(problem(404, "no configuration was taken yet"));
    reply({200, got->config.data, {{"X-Chutevane-Base-Version", std::to_string(got->config_version)}}});
  });
}

// What was taken, the oldest first; hashes as texts, since a number in JSON may lose their last digits.
void OperatorApi::history(common::HttpServer::Reply reply) {
  register_.read(order_most, [reply](absl::StatusOr<common::RegisterValue> got) {
    if (!got.ok()) return reply(unclear());
    json::Writer out;
    out.open('{')
        .key("version")
        .number(static_cast<std::uint64_t>(got->config_version))
        .key("taken")
        .open('[');
    for (const common::AppliedConfiguration& t : got->applied_configurations)
      out.open('{')
          .key("version")
          .number(static_cast<std::uint64_t>(t.version))
          .key("hash")
          .text(common::hash_text(static_cast<std::uint64_t>(t.hash)))
          .close('}');
    out.close(']').close('}');
    reply({200, out.result(), {}});
  });
}

// An order that was taken is in the value's list for good: the list is looked at before anything else.
void OperatorApi::initiate_retire(const std::string& node, common::HttpServer::Reply reply) {
  register_.change(
      [this, node](const common::RegisterValue& current) -> std::optional<common::RegisterValue> {
        common::RegisterValue out = current;
        if (retire(out, node, machine_losses_) != RetireVerdict::taken) return std::nullopt;
        return out;
      },
      order_most,
      [this, reply, node](absl::StatusOr<common::RegisterValue> got) {
        if (!got.ok()) return reply(unclear());
        if (is_retired(*got, node)) {
          host_.announce(*got);
          return reply({200, "{\"state\":\"active\"}", {}});
        }
        const RetireVerdict verdict = retire(*got, node, machine_losses_);
        if (verdict == RetireVerdict::too_few) return reply(problem(409, "too few would be left"));
        reply(no_such_storage_machine(node));
      });
}

void OperatorApi::retrieve_retire(const std::string& node, common::HttpServer::Reply reply) {
  register_.read(order_most, [this, reply, node](absl::StatusOr<common::RegisterValue> got) {
    if (!got.ok()) return reply(unclear());
    for (const common::RetiredNode& r : got->retired_nodes) {
      if (r.node != node) continue;
      return reply({200, r.completed ? "{\"state\":\"completed\"}" : "{\"state\":\"active\"}", {}});
    }
    const bool serves = std::any_of(got->storage_nodes.begin(), got->storage_nodes.end(),
                                    [&](const common::StorageNode& n) { return n.node == node; });
    if (serves) return reply({200, "{\"state\":\"active\"}", {}});
    reply(no_such_storage_machine(node));
  });
}

// Of one that the map does not name: it may be there and not be taken into the map yet.
common::HttpResponse OperatorApi::no_such_storage_machine(const std::string& node) const {
  if (!host_.members_complete()) return unclear();
  const std::vector<common::Member> all = host_.members();
  const bool there = std::any_of(all.begin(), all.end(), [&](const common::Member& m) {
    return m.plane == "storage" && m.node == node;
  });
  return there ? unclear() : problem(404, "no storage machine of that name");
}

void OperatorApi::status(common::HttpServer::Reply reply) {
  const ControlStatus own = host_.status();
  json::Writer out;
  const auto count = [](std::int64_t n) { return static_cast<std::uint64_t>(std::max<std::int64_t>(n, 0)); };
  const std::optional<common::RegisterValue>& v = register_.known();
  out.open('{').key("node").text(own.node);
  out.key("freshMs").number(count(static_cast<std::int64_t>(own.fresh_age.as_ms())));
  out.key("number").number(v ? count(v->number) : 0).key("epoch").number(count(register_.initial().epoch));
  out.key("configVersion")
      .number(v ? count(v->config_version) : 0)
      .key("map")
      .number(v ? count(v->map_version) : 0);
  out.key("acceptors").open('[');
  for (const common::Acceptor& a : register_.initial().acceptors)
    out.open('{').key("address").text(a.address).key("disk").text(a.disk).close('}');
  out.close(']').key("storageNodes").open('[');
  if (v) {
    for (const common::StorageNode& c : v->storage_nodes)
      out.open('{')
          .key("node")
          .text(c.node)
          .key("zone")
          .text(c.zone)
          .key("leaving")
          .truth(c.draining)
          .key("lost")
          .truth(c.disk_replaced)
          .close('}');
  }
  out.close(']').key("absentStorageNodes").open('[');
  if (v) {
    for (const common::StorageNode& c : v->absent_nodes)
      out.open('{').key("node").text(c.node).key("zone").text(c.zone).close('}');
  }
  out.close(']').key("duties").open('[');
  for (const common::HeldRole& duty : own.duties)
    out.open('{').key("name").text(duty.name).key("term").number(count(duty.term)).close('}');
  out.close(']').key("members").open('[');
  for (const common::Member& m : host_.members())
    out.open('{')
        .key("node")
        .text(m.node)
        .key("plane")
        .text(m.plane)
        .key("zone")
        .text(m.zone)
        .key("number")
        .number(count(m.number))
        .key("whole")
        .number(count(m.complete_map_version))
        .close('}');
  out.close(']').key("endpoints").number(own.endpoints).close('}');
  reply({200, out.result(), {}});
}

}  // namespace chutevane::control
