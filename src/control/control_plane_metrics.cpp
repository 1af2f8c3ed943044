// The metrics of a controller.
#include "common/storage_map.hpp"
#include "control/control_plane.hpp"

namespace chutevane::control {

void ControlPlane::write_metrics(common::MetricsWriter& out) {
  operator_api_.write_metrics(out);
  coordination_api_.write_metrics(out);
  out.gauge("chutevane_coordination_aligned", "",
            "1 while the acceptors of the coordination state are those of the control state.",
            coordination_.is_aligned_with(register_.epoch_value()) ? 1 : 0);
  write_register_metrics(out);
  write_peer_metrics(out);
  write_role_metrics(out);
  out.gauge("chutevane_acceptor_voting", "", "1 while this controller's disk votes.",
            acceptor_->is_voting() ? 1 : 0);
  out.gauge("chutevane_acceptors_not_voting", "",
            "Acceptors in contact that refuse or do not answer requests of the register.",
            static_cast<double>(voting_monitor_.non_voting().size()));
  out.gauge("chutevane_disk_failing", "", "1 while the disk takes nothing.",
            disk_health_.is_healthy() ? 0 : 1);
}

void ControlPlane::write_register_metrics(common::MetricsWriter& out) const {
  const common::RegisterValue no_value;
  const common::RegisterValue& value = register_.known_value() ? *register_.known_value() : no_value;
  out.gauge("chutevane_register_number", "", "Number of the newest value known to be chosen.",
            static_cast<double>(value.number));
  out.gauge("chutevane_register_epoch", "", "Epoch of the newest set of acceptors known.",
            static_cast<double>(register_.epoch_value().epoch));
  out.gauge("chutevane_register_ballot_round", "",
            "Round under which the known value was accepted; 0: not known.",
            static_cast<double>(register_.known_ballot().round));
  out.gauge("chutevane_configuration_version", "", "Newest configuration known to be chosen.",
            static_cast<double>(value.config_version));
  out.gauge("chutevane_storage_map", "", "Number of the newest map of storage nodes known to be chosen.",
            static_cast<double>(value.map_version));
  out.gauge("chutevane_storage_nodes", "", "Storage nodes in that map.",
            static_cast<double>(value.storage_nodes.size()));
  out.gauge("chutevane_storage_copies_missing", "",
            "Lost disks and absent storage nodes that are not made up for yet.",
            static_cast<double>(common::missing_replicas(value)));
  out.gauge("chutevane_knowledge_age_seconds", "seconds",
            "Since a quorum of acceptors last proved that nothing newer was chosen.",
            knowledge_.age().as_ms() / 1000);
}

void ControlPlane::write_peer_metrics(common::MetricsWriter& out) const {
  out.gauge("chutevane_control_peers", "", "Other controllers known.", static_cast<double>(peers_.size()));
  out.gauge("chutevane_control_peers_heard", "", "Other controllers heard of lately.",
            static_cast<double>(peers_.live_count()));
  out.gauge("chutevane_sessions", "", "Sessions of edges and storage nodes here.",
            static_cast<double>(sessions_.size()));
  out.gauge("chutevane_endpoint_list_age_seconds", "seconds",
            "Since this controller, as the holder of list, last read all of it; 0: it does not hold list.",
            endpoint_list_election_.is_leader() ? endpoint_list_.age().as_ms() / 1000 : 0);
  out.gauge("chutevane_endpoints", "", "Endpoints on the list held here.",
            static_cast<double>(endpoint_list_.table().entries().size()));
}

void ControlPlane::write_role_metrics(common::MetricsWriter& out) const {
  out.begin(common::MetricsWriter::Type::gauge, "chutevane_duty_held", "",
            "1 while this controller holds the duty.");
  for (const RoleElection* election : {&endpoint_list_election_, &membership_election_})
    out.sample(election->is_leader() ? 1 : 0, {{"duty", election->role()}});
}

}  // namespace chutevane::control
