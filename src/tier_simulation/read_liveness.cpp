#include "tier_simulation/read_liveness.hpp"

#include <algorithm>

#include "common/control_sessions.hpp"
#include "json/value.hpp"
#include "net/socket.hpp"

namespace chutevane::tier_simulation {
namespace {

constexpr Span status_interval = Span::ms(500);
/// A set is seen in a status at the latest so long after it was planned. A disk that was lost in between may
/// be one that the set names, or not: the machine is not counted.
constexpr Span max_sight_delay = Span::ms(3000);

std::string acceptor_address(const Machine& control) {
  return net::text_of(control.settings().internal_address(common::control_plane_port));
}

std::vector<json::Value> items_of(const json::Value& object, std::string_view name) {
  const json::Value* const member = object.find(name);
  return member == nullptr ? std::vector<json::Value>() : member->items;
}

}  // namespace

void ReadLiveness::ask_all() {
  for (const Machine* control : deployment_.machines_of(Role::control)) {
    if (!deployment_.is_undisturbed(*control, undisturbed_time)) continue;
    http_client_.call(*control->settings().control, HttpClient::get("/v1/Status.Retrieve"), max_read_duration,
                      [this, name = control->name()](const std::optional<HttpResult>& result) {
                        if (result && result->status == 200) handle_status(name, result->body);
                      });
  }
  http_client_.timers().after(status_interval, [this] { ask_all(); });
}

void ReadLiveness::handle_status(const std::string& control, const std::string& body) {
  const Machine* const machine = deployment_.find(control);
  if (machine == nullptr) return;
  const json::Value status = json::parse(body);
  Report report;
  if (const json::Value* epoch = status.find("epoch"))
    report.epoch = static_cast<std::int64_t>(epoch->number);
  for (const json::Value& acceptor : items_of(status, "acceptors")) {
    if (const json::Value* address = acceptor.find("address")) report.acceptors.push_back(address->text);
  }
  for (const json::Value& address : items_of(status, "notVoting")) report.non_voting.push_back(address.text);
  if (report.epoch > newest_epoch_) {
    newest_epoch_ = report.epoch;
    newest_epoch_seen_at_ = http_client_.timers().now();
  }
  check_votes(*machine, report);
  check_read(*machine, report);
}

/// In calm times each acceptor votes.
void ReadLiveness::check_votes(const Machine& control, const Report& report) {
  const TimePoint calm_since = deployment_.calm_since();
  if (calm_since == TimePoint::never() || http_client_.timers().now() - calm_since < contact_window) return;
  for (const std::string& address : report.non_voting)
    checker_.report_violation("not-voting", control.name() + " says that " + address +
                                                " does not vote in epoch " + std::to_string(report.epoch));
}

void ReadLiveness::check_read(const Machine& control, const Report& report) {
  if (report.epoch < newest_epoch_) return;  // a later set is in force, or about to be
  const std::optional<Majority> majority = find_majority(control, report);
  if (!majority) return;
  ++checked_reads_;
  const TimePoint start = http_client_.timers().now();
  http_client_.call(
      *control.settings().control, HttpClient::get("/v1/Configuration.Retrieve"), max_read_duration,
      [this, start, epoch = report.epoch, majority = *majority,
       name = control.name()](const std::optional<HttpResult>& result) {
        if (result && (result->status == 200 || result->status == 404)) return;
        const Span elapsed = http_client_.timers().now() - start;
        if (!are_undisturbed(majority, undisturbed_time + elapsed)) return;
        checker_.report_violation("no-read-in-contact",
                                  name + " answers no read in epoch " + std::to_string(epoch) + " (status " +
                                      std::to_string(result ? result->status : 0) + "), with " +
                                      std::to_string(majority.size()) + " machines undisturbed");
      });
}

bool ReadLiveness::is_acceptor_now(const Machine& machine, const Report& report) const {
  const std::string address = acceptor_address(machine);
  const bool is_named =
      std::find(report.acceptors.begin(), report.acceptors.end(), address) != report.acceptors.end();
  return is_named && deployment_.disk_since(machine) + max_sight_delay <= newest_epoch_seen_at_;
}

std::optional<ReadLiveness::Majority> ReadLiveness::find_majority(const Machine& control,
                                                                  const Report& report) const {
  Majority out{&control};
  std::size_t acceptors = 0;
  for (const Machine* other : deployment_.machines_of(Role::control)) {
    if (!is_acceptor_now(*other, report)) continue;
    if (!deployment_.is_undisturbed(*other, undisturbed_time) || !deployment_.connected(control, *other))
      continue;
    ++acceptors;
    if (other != &control) out.push_back(other);
  }
  if (acceptors * 2 <= report.acceptors.size() || !are_undisturbed(out, undisturbed_time))
    return std::nullopt;
  return out;
}

bool ReadLiveness::are_undisturbed(const Majority& machines, Span span) const {
  return std::all_of(machines.begin(), machines.end(),
                     [&](const Machine* machine) { return deployment_.is_undisturbed(*machine, span); });
}

}  // namespace chutevane::tier_simulation
