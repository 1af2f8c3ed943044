// The operator's API of a control machine, by api/operators.yaml: configurations, retirements, status. It
// reads and changes the register, and asks the control plane around it for the rest.
//
// What it refuses (4xx) was decided by a value that a majority has chosen, or by the call alone. Whatever
// else it cannot tell is 503 with Retry-After: the call is sent again unchanged.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "common/http_server.hpp"
#include "common/messages.hpp"
#include "common/metrics.hpp"
#include "common/rate_limited_log.hpp"
#include "control/configuration_order.hpp"
#include "control/register.hpp"
#include "http/parser.hpp"

namespace chutevane::control {

// What a control machine knows of itself without asking anybody.
struct ControlStatus {
  std::string node;
  Span fresh_age;                        // since its knowledge of the register was last confirmed
  std::vector<common::HeldRole> duties;  // its own
  std::size_t endpoints = 0;             // in its list
  TimePoint now;                         // by its steady clock
};

class OperatorApi {
 public:
  // The control plane, as far as this API needs it.
  class Host {
   public:
    // Tells the other control machines of a value that was chosen here.
    virtual void announce(const common::RegisterValue& chosen) = 0;
    // Calls back once the edges with a session here have that value, or after a bounded time.
    virtual void when_acknowledged(std::int64_t number, std::function<void()> then) = 0;
    // Edges and storage machines with a session at this or another control machine.
    virtual std::vector<common::Member> members() const = 0;
    // Whether members() holds all that are in touch: false after a start and while a peer is out of contact.
    virtual bool members_complete() const = 0;
    virtual ControlStatus status() const = 0;

   protected:
    ~Host() = default;
  };

  // `remembered`: taken configurations whose repeats are known, the same at all control machines.
  OperatorApi(Register& control_register, Host& host, std::size_t machine_losses,
              std::size_t remembered = remembered_configurations);
  // Answers one call: at once or later, exactly once.
  void serve(const http::Parser& request, common::HttpServer::Reply reply);
  void write_metrics(common::MetricsWriter& out) const;

 private:
  // What became of a configuration, or of a read.
  enum class Outcome : std::uint8_t { taken, invalid, superseded, unclear, read, read_unclear };
  static constexpr std::size_t outcomes = static_cast<std::size_t>(Outcome::read_unclear) + 1;
  static std::string_view name_of(Outcome outcome);
  // Counts it; what was refused or left unclear is told with all that the decision rested on.
  void note(Outcome outcome, const ConfigurationOrder& order, std::string_view cause);

  void replace(const http::Parser& request, common::HttpServer::Reply reply);
  void acknowledge(const common::RegisterValue& chosen, std::int64_t version,
                   common::HttpServer::Reply reply);
  void retrieve(common::HttpServer::Reply reply);
  void history(common::HttpServer::Reply reply);
  void initiate_retire(const std::string& node, common::HttpServer::Reply reply);
  void retrieve_retire(const std::string& node, common::HttpServer::Reply reply);
  common::HttpResponse no_such_storage_machine(const std::string& node) const;
  void status(common::HttpServer::Reply reply);

  Register& register_;
  Host& host_;
  const std::size_t machine_losses_, remembered_;
  static constexpr int lines_most = 10;  // a second
  std::array<std::uint64_t, outcomes> counts_{};
  common::RateLimitedLog refusals_{"order.not_taken", lines_most};
};

}  // namespace chutevane::control
