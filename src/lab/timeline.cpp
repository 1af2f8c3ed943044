#include "lab/timeline.hpp"

#include <algorithm>

namespace chutevane::lab {

std::size_t zone_of(const TierSpec& tier, std::size_t place) { return place % tier.zones.size(); }

bool hits_sidecars(FaultKind kind) {
  return kind == FaultKind::sidecar_killed || kind == FaultKind::sidecar_drained ||
         kind >= FaultKind::sidecar_stopped;
}

std::size_t sidecars_of(const Experiment& e, std::size_t tier) {
  if (e.pools && tier > 0) return 0;
  const int own = e.tiers[tier].sidecars;
  return static_cast<std::size_t>(own > 0 || tier == 0 ? own : e.tiers[tier - 1].endpoints);
}

Timeline::Timeline(const Experiment& experiment, std::uint64_t seed) : experiment_(experiment) {
  for (std::size_t f = 0; f < experiment.faults.size(); ++f) {
    const FaultSpec& fault = experiment.faults[f];
    const std::size_t tier = experiment.tier_at(fault.tier);
    const TierSpec& spec = experiment.tiers[tier];
    tiers_.push_back(tier);
    std::vector<std::size_t> all;
    const std::size_t count =
        hits_sidecars(fault.kind) ? sidecars_of(experiment, tier) : static_cast<std::size_t>(spec.endpoints);
    for (std::size_t i = 0; i < count; ++i) {
      if (fault.zone.empty() || hits_sidecars(fault.kind) || spec.zones[zone_of(spec, i)] == fault.zone)
        all.push_back(i);
    }
    const bool whole = fault.kind == FaultKind::zone_lost || fault.kind == FaultKind::release;
    const std::size_t wanted =
        whole ? all.size() : std::min(all.size(), static_cast<std::size_t>(fault.endpoints));
    Chance chance(seed, "fault " + std::to_string(f));
    for (std::size_t i = 0; i < wanted && !whole; ++i)
      std::swap(all[i], all[i + chance.below(all.size() - i)]);
    all.resize(wanted);
    std::sort(all.begin(), all.end());
    targets_.push_back(all);
    std::vector<std::size_t> far;
    for (std::size_t i = 0; fault.far > 0 && i < static_cast<std::size_t>(spec.endpoints); ++i)
      far.push_back(i);
    for (std::size_t i = 0; i < far.size(); ++i) std::swap(far[i], far[i + chance.below(far.size() - i)]);
    far.resize(std::min(far.size(), static_cast<std::size_t>(fault.far)));
    std::sort(far.begin(), far.end());
    far_.push_back(far);
    steps_.push_back({fault.at, f, true});
    if (fault.lasts > Span()) steps_.push_back({fault.at + fault.lasts, f, false});
  }
  std::stable_sort(steps_.begin(), steps_.end(), [](const Step& a, const Step& b) {
    return a.at != b.at ? a.at < b.at : a.begins < b.begins;
  });
}

bool Timeline::hits(std::size_t fault, std::size_t tier, std::size_t place) const {
  const auto& t = targets_[fault];
  return tiers_[fault] == tier && std::binary_search(t.begin(), t.end(), place);
}

Ills Timeline::ills(std::size_t tier, std::size_t place, const std::vector<bool>& in_force) const {
  Ills out;
  for (std::size_t f = 0; f < in_force.size(); ++f) {
    if (!in_force[f] || !hits(f, tier, place)) continue;
    const FaultSpec& spec = experiment_.faults[f];
    const auto more = [&](double& p) { p = 1.0 - (1.0 - p) * (1.0 - spec.probability); };
    switch (spec.kind) {
      case FaultKind::silent:
      case FaultKind::zone_lost: out.silent = true; break;
      case FaultKind::slow: out.speed /= spec.factor; break;
      case FaultKind::neighbour: out.cores_part *= 1.0 - spec.part; break;
      case FaultKind::refused: out.refused = true; break;
      case FaultKind::reset_before: out.reset_accepted = true; break;
      case FaultKind::reset_amid: more(out.reset_amid); break;
      case FaultKind::reset_after: more(out.reset_after); break;
      case FaultKind::reset_answer: more(out.reset_answer); break;
      case FaultKind::half_answer: more(out.half_answer); break;
      case FaultKind::spoilt: more(out.spoilt); break;
      case FaultKind::doubled: more(out.doubled); break;
      case FaultKind::error: more(out.error); break;
      default: break;  // what happens once, or to others
    }
  }
  return out;
}

ListIlls Timeline::list_ills(std::size_t tier, const std::vector<bool>& in_force) const {
  ListIlls out;
  for (std::size_t f = 0; f < in_force.size(); ++f) {
    if (!in_force[f] || tiers_[f] != tier) continue;
    const FaultSpec& spec = experiment_.faults[f];
    out.silent = out.silent || spec.kind == FaultKind::discovery_silent;
    out.broken = out.broken || spec.kind == FaultKind::discovery_broken;
    out.truncated = out.truncated || spec.kind == FaultKind::discovery_truncated;
    if (spec.kind == FaultKind::discovery_late) out.delay = std::max(out.delay, spec.delay);
  }
  return out;
}

bool Timeline::hits_way(std::size_t fault, std::size_t tier, std::size_t sidecar, WayTo link,
                        std::size_t far) const {
  const FaultSpec& spec = experiment_.faults[fault];
  if (!breaks_ways(spec.kind) || spec.link != link || !hits(fault, tier, sidecar)) return false;
  return link != WayTo::endpoints || far_[fault].empty() ||
         std::binary_search(far_[fault].begin(), far_[fault].end(), far);
}

WayIlls Timeline::way_ills(std::size_t tier, std::size_t sidecar, WayTo link, std::size_t far,
                           const std::vector<bool>& in_force) const {
  WayIlls out;
  for (std::size_t f = 0; f < in_force.size(); ++f) {
    if (!in_force[f] || !hits_way(f, tier, sidecar, link, far)) continue;
    const FaultSpec& spec = experiment_.faults[f];
    const bool parted = spec.kind == FaultKind::partition;
    out.to_sidecar = out.to_sidecar || (parted && spec.heading != Heading::from_sidecar);
    out.from_sidecar = out.from_sidecar || (parted && spec.heading != Heading::to_sidecar);
    out.held = out.held || spec.kind == FaultKind::held_link;
    if (spec.kind == FaultKind::slow_link) {
      out.delay = std::max(out.delay, spec.delay);
      out.spread = std::max(out.spread, spec.spread);
    }
    if (spec.kind == FaultKind::capped_link)
      out.bytes_per_s =
          out.bytes_per_s > 0.0 ? std::min(out.bytes_per_s, spec.bytes_per_s) : spec.bytes_per_s;
  }
  return out;
}

double Timeline::rate_factor(const std::vector<bool>& in_force) const {
  double out = 1.0;
  for (std::size_t f = 0; f < in_force.size(); ++f) {
    if (in_force[f] && experiment_.faults[f].kind == FaultKind::burst) out *= experiment_.faults[f].factor;
  }
  return out;
}

}  // namespace chutevane::lab
