// A small tier of real processes on loopback, one address for each machine, between stand-ins; faults at
// stated parts of its time or a story of troubles, and what it came to.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/loopback.hpp"
#include "lab/tier/coordination_load.hpp"
#include "lab/tier/endpoint_set.hpp"
#include "lab/tier/fault_player.hpp"
#include "lab/tier/lingering_conversations.hpp"
#include "lab/tier/link_relays.hpp"
#include "lab/tier/load.hpp"
#include "lab/tier/machines.hpp"
#include "lab/tier/operators.hpp"
#include "lab/tier/own_delays.hpp"

namespace chutevane::lab::tier {

struct FleetSpec {
  std::string programs;  // folder of chutevane-control, -storage node, -edge
  std::string folder;    // for settings, logs and the storage nodes' data; it is there
  std::uint64_t seed = 1;
  double seconds = 20;  // of load, with what follows it
  double programs_per_s = 12;
  double coordination_calls_per_s = 30;  // about; 0: none
  bool has_faults = true;                // the stated ones
  // Played in place of the stated faults; `seconds` is then of load alone.
  std::optional<FaultPlan> story;
};

struct FaultRecord {
  std::string name;
  TimePoint at;
  double at_ms = 0;   // from the start of the load
  Span full_service;  // from the fault to the end of the last try that went badly
  bool back = true;   // before the next fault
  std::size_t bad_tries = 0, tries = 0;
  std::string note;
};

struct FleetResult {
  bool started = false, stopped = false;
  std::string trouble;  // why it did not start
  Span up;              // from the first start to a ready tier
  Load::Figures load;
  Auditor::Figures figures;
  std::array<std::uint64_t, rule_count> counts{};
  std::vector<Violation> violations;
  std::vector<FaultRecord> faults;
  std::vector<double> first_event_ms, tool_ms;
  struct BadTry {
    std::string id;
    double began_ms = 0, lasted_ms = 0, first_ms = 0;  // from the start of the load
    int status = 0;
    bool turn = false;
  };
  std::vector<BadTry> bad_tries;
  std::vector<double> change_ms;             // from the operator's first call to the 200
  std::vector<double> force_ms;              // from the 200 to the last edge
  std::vector<double> lateness_ms, sync_ms;  // the lab's own
  std::uint64_t operator_calls = 0, operator_reads = 0, operator_calm_reads = 0, list_pages = 0,
                list_over_rate = 0, turned_away = 0, troubles = 0;
  std::array<std::uint64_t, fault_kinds> played{};  // of a story
  std::uint64_t lingering_continued = 0;            // turns of lingering conversations
  std::uint64_t excused = 0;                        // misses of service amid a story's troubles
  CoordinationFigures coordination;
  std::array<std::uint64_t, coordination_rules> coordination_counts{};
  std::vector<CoordinationViolation> coordination_violations;
  double resident_mb = 0;  // of all processes, each at its most
  bool broken() const;
};

class Fleet {
 public:
  explicit Fleet(const FleetSpec& spec);
  ~Fleet();
  FleetResult run();
  void stop() { told_to_stop_ = true; }  // from a signal

 private:
  using Machine = Machines::Machine;
  Machine& drawn(MachinePlane plane, std::size_t& which);
  bool wait(Span most, const std::function<bool()>& what);
  void plan(TimePoint begin, Span lasts);
  FaultRecord& fault(const std::string& name);
  void lose_storage_node();
  void kill_controller();
  void end_edge();
  void look_whole(std::size_t record, const std::string& node, TimePoint since);
  void change(std::int64_t version, std::size_t first_to);
  void probe(std::int64_t version, std::int64_t before, std::size_t edge, TimePoint since,
             const std::shared_ptr<std::size_t>& left);
  bool start_all();
  void play_load(FleetResult& result);
  void play_story(TimePoint begin);
  void restart_edges();
  void collect(FleetResult& result);
  void judge_invariants();
  void end_coordination();
  struct FiguresDue {
    TimePoint until;
    std::set<const Machine*> open;  // that have not told theirs
  };
  void ask_figures(Machine& machine, const std::shared_ptr<FiguresDue>& due);
  void judge_figures(const Machine& machine, const std::string& figures);
  void judge_faults(FleetResult& result, TimePoint begin, TimePoint end);
  void judge_fault(FaultRecord& fault, TimePoint next) const;

  FleetSpec spec_;
  volatile bool told_to_stop_ = false;
  Chance chance_;
  AddressBlock addresses_;
  net::Scheduler scheduler_;
  net::TimerQueue timers_;
  Auditor auditor_;
  ListStandIn list_;
  Machines machines_;
  LinkRelays relays_;
  EndpointSet endpoints_;
  HttpConnector lines_;
  Front front_;
  std::unique_ptr<OperatorStandIn> operator_;
  std::unique_ptr<FaultPlayer> fault_player_;
  std::unique_ptr<Load> load_;
  std::unique_ptr<LingeringConversations> lingering_;
  std::unique_ptr<CoordinationLoad> coordination_;
  std::unique_ptr<OwnDelays> delays_;
  std::vector<FaultRecord> faults_;
  std::vector<double> change_ms_, force_ms_;
  std::size_t probes_open_ = 0, orders_open_ = 0;
};

std::string table_of(const FleetResult& result);
std::string json_of(const FleetResult& result);

}  // namespace chutevane::lab::tier
