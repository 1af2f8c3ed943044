/// Durations and identities that lease servers and lease clients share.
///
/// A lease is safe between processes whose clocks run at slightly different rates if its holder stops using
/// it before its grantor counts it as free. Each side measures with its own monotonic clock: the holder
/// measures `holder_duration` from before it sent its request, and the grantor `grantor_duration` from after
/// the grant. The absolute times of clocks are never compared. docs/shares.md has the proof.
#pragma once

#include <cstdint>

#include "chutevane/types.hpp"

namespace chutevane::quota_lease {

/// Must be the same at all servers and clients of one quota.
struct LeaseConfig {
  Span lease_duration = Span::ms(4000);         ///< duration of a client's lease on a share of the quota
  Span leader_lease_duration = Span::ms(2000);  ///< duration of a server's vote for a leader
  /// Every clock runs at a rate between 1 - clock_drift and 1 + clock_drift of real time. Beyond this bound
  /// the sum of the leases may exceed the quota, and no process can detect it.
  double clock_drift = 0.01;

  /// Returns how long a holder may rely on a lease of `duration`, by its own clock.
  [[nodiscard]] Span holder_duration(Span duration) const { return duration * (1.0 - clock_drift); }
  /// Returns how long its grantor must count the lease as used, by its own clock.
  [[nodiscard]] Span grantor_duration(Span duration) const { return duration * (1.0 + clock_drift); }
};

/// One incarnation of a process. After a restart the process has the same index and a different incarnation,
/// and counts as a different holder: it owns nothing that was granted to the previous incarnation.
struct ProcessIdentity {
  std::uint32_t index = 0;
  std::uint64_t incarnation = 0;
  auto operator<=>(const ProcessIdentity&) const = default;
};

/// An uninterrupted period in which one server is the leader. A request names one term and is invalid in any
/// other.
struct LeaderTerm {
  ProcessIdentity leader;
  std::uint32_t number = 0;  ///< 1 for the first term of this incarnation; 0: no term
  bool operator==(const LeaderTerm&) const = default;
};

}  // namespace chutevane::quota_lease
