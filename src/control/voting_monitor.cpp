#include "control/voting_monitor.hpp"

#include <utility>

namespace chutevane::control {

void VotingMonitor::enter_epoch(std::int64_t epoch) {
  if (epoch <= epoch_) return;
  epoch_ = epoch;
  not_voting_since_.clear();
}

void VotingMonitor::on_reply(std::int64_t epoch, const std::string& address, AcceptorReply reply,
                             TimePoint now) {
  enter_epoch(epoch);
  if (epoch < epoch_) return;
  if (reply == AcceptorReply::member) {
    not_voting_since_.erase(address);
  } else {
    not_voting_since_.emplace(address, now);
  }
}

std::vector<std::string> VotingMonitor::suspects() const {
  std::vector<std::string> out;
  for (const auto& [address, since] : not_voting_since_) out.push_back(address);
  return out;
}

bool VotingMonitor::update(std::int64_t epoch, const std::set<std::string>& in_contact, TimePoint now) {
  enter_epoch(epoch);
  std::erase_if(not_voting_since_, [&](const auto& entry) { return !in_contact.contains(entry.first); });
  std::set<std::string> non_voting;
  for (const auto& [address, since] : not_voting_since_) {
    if (now - since >= non_voting_delay) non_voting.insert(address);
  }
  const bool has_changed = non_voting != non_voting_;
  non_voting_ = std::move(non_voting);
  return has_changed;
}

}  // namespace chutevane::control
