/// Stand-ins of the cases that keep conversations: a model endpoint, a client, and the operator's
/// configuration.
#pragma once

#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "harness.hpp"

namespace review {

constexpr int kv_capacity = 256505;  // tokens in an endpoint's memory, as the configuration states
constexpr const char* host = "agents.example";
constexpr const char* turn_path = "/turns/";
constexpr const char* model_service = "models";

/// What the operator states of the route of the turns.
struct TurnRoute {
  double retention_s = 60.0;  // as in the example of the protocol's page
  int timeout_ms = 6000;
  int max_attempts = 2;
  int tokens_per_event = 2;
};

/// Returns a configuration with one route that keeps turns.
std::string turn_configuration(std::int64_t version, const TurnRoute& route);

/// A model endpoint: answers each turn with a stream of events, and records what it has run.
class ModelEndpoint {
 public:
  struct Pace {
    int first_ms = 60;
    int gap_ms = 20;
    int events = 17;
  };
  ModelEndpoint(Record& record, std::string id, const Address& at);
  void set_pace(const Pace& pace);
  Instance instance(const std::string& zone) const;

 private:
  /// Tokens in the engine's memory while a request runs.
  class MemoryUse {
   public:
    MemoryUse(ModelEndpoint& endpoint, int tokens);
    ~MemoryUse();
    bool fits() const { return fits_; }

   private:
    ModelEndpoint& endpoint_;
    const int tokens_;
    bool fits_ = false;
  };
  void serve(Connection& connection);
  bool stream(Connection& connection, const Request& request);

  Record& record_;
  const std::string id_;
  std::mutex mutex_;
  Pace pace_;
  int used_tokens_ = 0;  // by the requests that run
  std::unique_ptr<Server> server_;
};

/// One turn of a program, as a client sends it.
struct Turn {
  std::string attempt;
  std::string program;
  std::string previous;  // empty for the first
  std::string input;
  int max_tokens = 136;
  int budget = 100000;
  int time_ms = 6000;
};

/// Sends the turn; writes both ends to the record.
Response send_turn(Record& record, const Address& front, const std::string& edge, const Turn& turn);

/// Returns the data of the events of a stream, each with a line feed behind.
std::string data_of_events(const std::string& body);

}  // namespace review
