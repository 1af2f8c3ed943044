/// Durations and identities that lease servers and lease clients agree on. No I/O.
///
/// A lease is safe between processes whose clocks run at slightly different rates if its holder stops using
/// it before its grantor counts it as free. Each side measures with its own monotonic clock: the holder takes
/// `holder_duration` from before it sent its request, the grantor `grantor_duration` from after it granted.
/// Clocks are never compared, and may be set to anything. docs/shares.md has the proof.
#pragma once

#include <cstdint>

#include "chutevane/types.hpp"

namespace chutevane::quota_lease {

/// The same at all servers and clients of one quota.
struct LeaseConfig {
  Span lease_duration = Span::ms(4000);         ///< of a client's lease on a part of the quota
  Span leader_lease_duration = Span::ms(2000);  ///< of a server's vote for a leader
  /// The rate of every clock lies within 1 - clock_drift and 1 + clock_drift of real time. Beyond that bound
  /// the sum of the leases may exceed the quota, and no process can notice.
  double clock_drift = 0.01;

  /// How long a holder may rely on a lease of `duration`, by its own clock.
  [[nodiscard]] Span holder_duration(Span duration) const { return duration * (1.0 - clock_drift); }
  /// How long its grantor has to count the lease as used, by its own clock.
  [[nodiscard]] Span grantor_duration(Span duration) const { return duration * (1.0 + clock_drift); }
};

/// One start of one process. After a restart the process has the same index and another incarnation, and
/// counts as another holder: nothing that was granted to the earlier incarnation is its own.
struct ProcessIdentity {
  std::uint32_t index = 0;
  std::uint64_t incarnation = 0;
  auto operator<=>(const ProcessIdentity&) const = default;
};

/// An uninterrupted period in which one server led. A request is made to one term and is void in any other.
struct LeaderTerm {
  ProcessIdentity leader;
  std::uint32_t number = 0;  ///< 1 for the first term of this incarnation; 0: no term
  bool operator==(const LeaderTerm&) const = default;
};

}  // namespace chutevane::quota_lease
