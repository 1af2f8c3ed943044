/// \file
/// Liveness of the register, checked all through a run: where a majority of the epoch's acceptors has been in
/// contact and undisturbed for a while, a read is answered.
///
/// What the epoch's set is, and whether a controller says that an acceptor does not vote, comes from the
/// controllers' status. Which machines are undisturbed, and since when their disks are theirs, comes from
/// what was done to them. A machine whose disk was lost since the set was first seen is none of its
/// acceptors.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tier_simulation/checker.hpp"
#include "tier_simulation/http_client.hpp"

namespace chutevane::tier_simulation {

inline constexpr Span undisturbed_time = Span::ms(2000);   ///< then a majority has to answer
inline constexpr Span max_read_duration = Span::ms(1000);  ///< within this time

class ReadLiveness {
 public:
  /// All must outlive this object.
  ReadLiveness(Deployment& deployment, HttpClient& http_client, Checker& checker)
      : deployment_(deployment), http_client_(http_client), checker_(checker) {}
  void begin() { ask_all(); }
  /// Reads that had to be answered.
  [[nodiscard]] std::size_t checked_reads() const { return checked_reads_; }

 private:
  /// What a controller's status says.
  struct Report {
    std::int64_t epoch = 0;
    std::vector<std::string> acceptors;  // addresses
    std::vector<std::string> non_voting;
  };
  /// The machines that a read depends on: its controller and acceptors that make up a majority.
  using Majority = std::vector<const Machine*>;

  void ask_all();
  void handle_status(const std::string& control, const std::string& body);
  void check_votes(const Machine& control, const Report& report);
  void check_read(const Machine& control, const Report& report);
  /// Nothing: no majority of the acceptors is in contact with that controller and undisturbed.
  std::optional<Majority> find_majority(const Machine& control, const Report& report) const;
  bool are_undisturbed(const Majority& machines, Span span) const;
  bool is_acceptor_now(const Machine& machine, const Report& report) const;

  Deployment& deployment_;
  HttpClient& http_client_;
  Checker& checker_;
  std::int64_t newest_epoch_ = 0;
  TimePoint newest_epoch_seen_at_;
  std::size_t checked_reads_ = 0;
};

}  // namespace chutevane::tier_simulation
