// Operators that change the configuration, and readers that ask for it.
#pragma once

#include <string>

#include "simulation/callers.hpp"
#include "simulation/checker.hpp"
#include "simulation/deployment.hpp"

namespace chutevane::simulation {

struct OperatorLoad {
  std::size_t operators = 2, readers = 1;
  Span pause_least = Span::ms(50), pause_most = Span::ms(1200);  // between an operator's orders
  Span read_pause = Span::ms(600);
  double same_number = 0.5;   // of an order, to take the next number: others do so too
  double lost_answer = 0.05;  // of a call, to have its answer lost
  double sent_twice = 0.05;   // of a call, to be repeated while the first is under way
  double favourite = 0.0;     // of a call, to go to the machine that faults are done to
  std::size_t filler = 0;     // bytes of a configuration beyond the least
};

// Whom the next fault is done to, where calls are to meet it.
struct Favourite {
  const Machine* machine = nullptr;
};

// One operator: an order at a time, sent again unchanged to any control machine until it is clear.
class Operator {
 public:
  Operator(Deployment& deployment, Callers& callers, Checker& checker, const OperatorLoad& load,
           const Favourite& favourite, std::string name, std::uint64_t seed);
  void begin() { think(); }
  void end() { ending_ = true; }  // begins no more orders
  // Told of the control machine that has answered an order with 200.
  std::function<void(const sockaddr_in&)> on_acknowledged;

 private:
  void think();
  void order();
  void send();
  void answered(Order& order, const sockaddr_in& by, const std::optional<HttpResult>& result);
  void look();
  sockaddr_in choose();
  Span between(Span least, Span most);

  Deployment& deployment_;
  Callers& callers_;
  Checker& checker_;
  const OperatorLoad load_;
  const Favourite& favourite_;
  const std::string name_;
  Pcg chance_;
  std::int64_t base_ = 0;
  Order* order_ = nullptr;
  std::size_t tries_ = 0, last_order_ = 0;
  bool ending_ = false;
};

// Reads the configuration now and then from any control machine.
class Reader {
 public:
  Reader(Deployment& deployment, Callers& callers, Checker& checker, const OperatorLoad& load,
         const Favourite& favourite, std::uint64_t seed);
  void begin();

 private:
  Deployment& deployment_;
  Callers& callers_;
  Checker& checker_;
  const OperatorLoad load_;
  const Favourite& favourite_;
  Pcg chance_;
};

}  // namespace chutevane::simulation
