#include "simulation/observers.hpp"

#include <algorithm>

namespace chutevane::simulation {
namespace {

constexpr Span tell_every = Span::ms(300);
constexpr Span silent_most = Span::ms(1000);     // then the connection is taken to be lost
constexpr Span trusted_within = Span::ms(1000);  // edges hold to a heartbeat that claims to be so fresh
constexpr Span slack = Span::ms(600);            // for ways, late turns and lost segments

}  // namespace

void Observers::tick() {
  for (const Machine* control : deployment_.of(Role::control)) {
    if (!sessions_.contains(control->name())) open(*control);
    Session& session = sessions_[control->name()];
    if (session.link->up() && session.link->time_since_receive() > silent_most) session.link->reconnect();
    tell(control->name());
  }
  callers_.later().after(tell_every, [this] { tick(); });
}

void Observers::open(const Machine& control) {
  Session& session = sessions_[control.name()];
  const std::string name = control.name();
  session.link = std::make_unique<common::RpcClient>(
      callers_.scheduler(), callers_.later(), control.settings().internal_address(common::control_plane_port),
      std::hash<std::string>()(name));
  session.link->on_up([this, name] {
    Session& at = sessions_[name];
    at.values = {};
    at.version = at.owed = 0;
    tell(name);
  });
  session.link->on_message(
      [this, name](std::uint8_t kind, std::string_view record) { word(name, kind, record); });
}

void Observers::tell(const std::string& name) {
  Session& session = sessions_[name];
  common::MemberHeartbeat hello;
  hello.member.node = "observer";
  hello.member.plane = "observer";
  hello.member.number = session.values.number();
  hello.primary = true;
  session.link->send(hello);
}

void Observers::word(const std::string& name, std::uint8_t kind, std::string_view record) {
  Session& session = sessions_[name];
  if (kind == common::ControlHeartbeat::kind) {
    common::ControlHeartbeat got;
    if (common::decode(record, got)) heartbeat(name, got);
  } else if (kind == common::ValuePush::kind) {
    common::ValuePush push;
    if (!common::decode(record, push)) return;
    const std::int64_t before = session.values.number(), number = push.number;
    // One session alone brings each difference behind its base.
    if (number < before || session.values.receive(push) == common::ValueReceiver::Result::rejected)
      checker_.broken("pushed-back", name + " pushes what can't follow: number " + std::to_string(number) +
                                         " after " + std::to_string(before));
    if (!session.values.value()) return;
    const common::RegisterValue& value = *session.values.value();
    if (value.config_version < session.version)
      checker_.broken("pushed-back", name + " pushes version " + std::to_string(value.config_version) +
                                         " after " + std::to_string(session.version));
    session.version = value.config_version;
    checker_.seen(session.version, value.config.data, "a push of " + name);
  }
}

// What a heartbeat promises is owed by the next one: the push that belongs to it comes behind it.
void Observers::heartbeat(const std::string& name, const common::ControlHeartbeat& heartbeat) {
  Session& session = sessions_[name];
  if (session.version < session.owed)
    checker_.broken("stale-but-fresh", name + " claims to be fresh and has version " +
                                           std::to_string(session.version) + ", acknowledged was " +
                                           std::to_string(session.owed));
  session.owed = 0;
  const Span age = Span::ms(static_cast<double>(heartbeat.knowledge_age_ms));
  const Machine* const control = deployment_.find(name);
  if (age >= trusted_within || control == nullptr || deployment_.slowed(*control)) return;
  session.owed = checker_.acknowledged_before(callers_.later().now() - age - slack);
}

}  // namespace chutevane::simulation
