// The operator's API of a control sidecar, by api/operators.yaml.
#include <algorithm>
#include <charconv>

#include "control/control_plane.hpp"
#include "json/value.hpp"
#include "market/log.hpp"

namespace chutevane::control {
namespace {

constexpr Span acks_most = Span::ms(300);     // an operator waits so long for sidecars to acknowledge
constexpr Span change_most = Span::ms(3000);  // told as unclear well before `ackMs`
constexpr std::size_t taken_most = 64;        // configurations whose repeats are known
constexpr Span order_most = Span::ms(2500);

market::HttpAnswer problem(int status, const std::string& cause) {
  json::Writer out;
  out.open('{').key("cause").text(cause).close('}');
  return {status, out.result(), {}};
}

market::HttpAnswer unclear() {
  market::HttpAnswer out = problem(503, "not known yet whether it is taken: send it again unchanged");
  out.fields.emplace_back("Retry-After", "0.2");
  return out;
}

// All findings, each with its place.
market::HttpAnswer invalid(const market::Findings& findings) {
  json::Writer out;
  out.open('{').key("cause").text(findings.text()).key("findings").open('[');
  for (const market::Finding& f : findings.list())
    out.open('{').key("place").text(f.place).key("what").text(f.what).close('}');
  out.close(']').close('}');
  return {400, out.result(), {}};
}

}  // namespace

void ControlPlane::operate(const http::Parser& request, market::HttpPort::Reply reply) {
  const std::string_view target = request.target();
  const std::string_view path = target.substr(0, target.find('?'));
  const auto node_of = [&](std::string_view prefix) { return std::string(path.substr(prefix.size())); };
  constexpr std::string_view start = "/v1/Retire.Initiate/", state = "/v1/Retire.Retrieve/";
  const bool get = request.method() == "GET", post = request.method() == "POST";
  if (post && path == "/v1/Configuration.Replace") return replace(request, std::move(reply));
  if (get && path == "/v1/Configuration.Retrieve") return retrieve(std::move(reply));
  if (get && path == "/v1/Configuration.History") return history(std::move(reply));
  if (post && path.starts_with(start)) return retire_start(node_of(start), std::move(reply));
  if (get && path.starts_with(state)) return retire_state(node_of(state), std::move(reply));
  if (get && path == "/v1/Status.Retrieve") return status(std::move(reply));
  reply(problem(404, "no such call"));
}

void ControlPlane::replace(const http::Parser& request, market::HttpPort::Reply reply) {
  market::Findings findings;
  std::int64_t base = -1;
  const auto text = request.find("X-Chutevane-Base-Version");
  if (text) {
    const auto got = std::from_chars(text->data(), text->data() + text->size(), base);
    if (got.ec != std::errc() || got.ptr != text->data() + text->size() || base < 0)
      findings.add("X-Chutevane-Base-Version", "not a version");
  } else {
    findings.add("X-Chutevane-Base-Version", "missing");
  }
  const std::string body(request.body());
  const auto read = market::read_configuration(body, findings);
  if (!findings.none() || !read) return reply(invalid(findings));
  const std::int64_t version = read->version;
  const auto hash = static_cast<std::int64_t>(market::hash_of(body));
  const auto had = [version, hash](const market::Value& v) {
    return std::any_of(v.taken.begin(), v.taken.end(),
                       [&](const market::Taken& t) { return t.version == version && t.hash == hash; });
  };
  register_.change(
      [=](const market::Value& current) -> std::optional<market::Value> {
        if (had(current) || base != current.config_version || version <= current.config_version)
          return std::nullopt;
        market::Value out = current;
        out.config_version = version;
        out.config.data = body;
        out.taken.push_back({version, hash});
        if (out.taken.size() > taken_most) out.taken.erase(out.taken.begin());
        return out;
      },
      change_most,
      [this, reply, had, base, version](absl::StatusOr<market::Value> got) {
        if (!got.ok()) return reply(unclear());
        if (!had(*got)) {
          if (base != got->config_version)
            return reply(problem(412, "version " + std::to_string(got->config_version) + " is current"));
          return reply(problem(400, "version: " + std::to_string(version) +
                                        " is not above the current one, " +
                                        std::to_string(got->config_version)));
        }
        market::log_info("config.taken",
                         "version " + std::to_string(version) + ", number " + std::to_string(got->number));
        tell_chosen(*got);
        json::Writer out;
        out.open('{').key("version").number(static_cast<std::uint64_t>(version)).close('}');
        waiting_.push_back({got->number, later_.now() + acks_most, [reply, text = out.result()] {
                              reply({200, text, {}});
                            }});
        later_.after(acks_most + Span::ms(1), [this] { acknowledged(); });
        acknowledged();
      });
}

void ControlPlane::retrieve(market::HttpPort::Reply reply) {
  register_.read(order_most, [reply](absl::StatusOr<market::Value> got) {
    if (!got.ok()) return reply(unclear());
    if (got->config_version == 0) return reply(problem(404, "no configuration was taken yet"));
    reply({200, got->config.data, {{"X-Chutevane-Base-Version", std::to_string(got->config_version)}}});
  });
}

// What was taken, the oldest first; hashes as texts, since a number in JSON may lose their last digits.
void ControlPlane::history(market::HttpPort::Reply reply) {
  register_.read(order_most, [reply](absl::StatusOr<market::Value> got) {
    if (!got.ok()) return reply(unclear());
    json::Writer out;
    out.open('{')
        .key("version")
        .number(static_cast<std::uint64_t>(got->config_version))
        .key("taken")
        .open('[');
    for (const market::Taken& t : got->taken)
      out.open('{')
          .key("version")
          .number(static_cast<std::uint64_t>(t.version))
          .key("hash")
          .text(market::hash_text(static_cast<std::uint64_t>(t.hash)))
          .close('}');
    out.close(']').close('}');
    reply({200, out.result(), {}});
  });
}

void ControlPlane::retire_start(const std::string& node, market::HttpPort::Reply reply) {
  auto verdict = std::make_shared<RetireVerdict>(RetireVerdict::unknown);
  register_.change(
      [this, node, verdict](const market::Value& current) -> std::optional<market::Value> {
        market::Value out = current;
        *verdict = retire(out, node, settings_.machine_losses);
        if (*verdict != RetireVerdict::taken) return std::nullopt;
        return out;
      },
      order_most,
      [this, reply, node, verdict](absl::StatusOr<market::Value> got) {
        if (!got.ok()) return reply(unclear());
        const bool listed = std::any_of(got->retired.begin(), got->retired.end(),
                                        [&](const market::Retired& r) { return r.node == node; });
        if (*verdict == RetireVerdict::taken) tell_chosen(*got);
        if (listed) return reply({200, "{\"state\":\"active\"}", {}});
        if (*verdict == RetireVerdict::too_few) return reply(problem(409, "too few would be left"));
        const auto all = members();
        const bool there = std::any_of(all.begin(), all.end(), [&](const market::Member& m) {
          return m.plane == "storage" && m.node == node;
        });
        reply(there ? unclear() : problem(404, "no storage machine of that name"));
      });
}

void ControlPlane::retire_state(const std::string& node, market::HttpPort::Reply reply) {
  register_.read(order_most, [reply, node](absl::StatusOr<market::Value> got) {
    if (!got.ok()) return reply(unclear());
    for (const market::Retired& r : got->retired) {
      if (r.node != node) continue;
      return reply({200, r.completed ? "{\"state\":\"completed\"}" : "{\"state\":\"active\"}", {}});
    }
    const bool serves = std::any_of(got->storage_nodes.begin(), got->storage_nodes.end(),
                                    [&](const market::StorageNode& c) { return c.node == node; });
    reply(serves ? market::HttpAnswer{200, "{\"state\":\"active\"}", {}}
                 : problem(404, "no storage machine of that name"));
  });
}

void ControlPlane::status(market::HttpPort::Reply reply) {
  json::Writer out;
  const auto count = [](std::int64_t n) { return static_cast<std::uint64_t>(std::max<std::int64_t>(n, 0)); };
  const std::optional<market::Value>& v = register_.known();
  out.open('{').key("node").text(settings_.node);
  out.key("freshMs").number(count(static_cast<std::int64_t>(fresh_age().as_ms())));
  out.key("number").number(v ? count(v->number) : 0).key("epoch").number(count(register_.initial().epoch));
  out.key("configVersion").number(v ? count(v->config_version) : 0).key("map").number(v ? count(v->map) : 0);
  out.key("acceptors").open('[');
  for (const market::Acceptor& a : register_.initial().acceptors)
    out.open('{').key("address").text(a.address).key("disk").text(a.disk).close('}');
  out.close(']').key("storageNodes").open('[');
  if (v) {
    for (const market::StorageNode& c : v->storage_nodes)
      out.open('{').key("node").text(c.node).key("zone").text(c.zone).key("leaving").truth(c.leaving).close(
          '}');
  }
  out.close(']').key("duties").open('[');
  for (const Duty* duty : {&list_duty_, &roster_duty_}) {
    if (duty->mine())
      out.open('{').key("name").text(duty->name()).key("term").number(count(duty->term())).close('}');
  }
  out.close(']').key("members").open('[');
  for (const market::Member& m : members())
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
        .number(count(m.whole))
        .close('}');
  out.close(']').key("endpoints").number(list_.entries().size()).close('}');
  reply({200, out.result(), {}});
}

}  // namespace chutevane::control
