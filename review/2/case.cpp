/// Case 2: a conversation is continued shortly before the retention of its last turn ends. The new turn is
/// answered whole; then its edge is killed, and the next turn goes to another edge of the zone.
#include <cstdlib>
#include <exception>

#include "stand_ins.hpp"

namespace {

using namespace review;

constexpr int thinking_time_ms = 57000;  // below the 60 s for which the previous turn is kept
constexpr int dark_ms = 3500;            // from the end of the third turn to the next one
// 17 events with pauses of 300 ms; the protocol's example allows 400.
constexpr ModelEndpoint::Pace slow_answer{.first_ms = 150, .gap_ms = 300, .events = 17};
constexpr int tries = 5;
constexpr int pause_between_tries_ms = 300;

bool is_served(const Response& response) { return response.status == 200 && response.complete; }

int play(Record& record, bool with_trouble) {
  Cluster cluster(record, {.edges = 9, .settings = {}});
  ModelEndpoint first(record, "model-0", cluster.next_address());
  ModelEndpoint second(record, "model-1", cluster.next_address());
  cluster.platform().set(first.instance(cluster.zone(0)));
  cluster.platform().set(second.instance(cluster.zone(1)));
  cluster.start();
  const bool is_up =
      cluster.put_configuration(turn_configuration(1, {}), 0, Ms(15000)) && cluster.wait_ready(Ms(15000));
  if (!is_up) return could_not_run;
  sleep_ms(1000);

  Machine& edge = cluster.edge(0);
  Machine& other = cluster.edge(4);  // of the same zone
  const std::string program = "3fa81c";
  const Turn one{"a1", program, "", "first question\n"};
  const Turn two{"a2", program, "a1", "second question\n"};
  const Turn three{"a3", program, "a2", "third question\n"};
  if (!is_served(send_turn(record, cluster.front(edge), edge.node, one))) return could_not_run;
  if (!is_served(send_turn(record, cluster.front(edge), edge.node, two))) return could_not_run;
  sleep_ms(thinking_time_ms);
  first.set_pace(slow_answer);
  second.set_pace(slow_answer);
  if (!is_served(send_turn(record, cluster.front(edge), edge.node, three))) return could_not_run;
  first.set_pace({});
  second.set_pace({});

  if (with_trouble) {
    record.line("trouble: " + edge.node + " is killed");
    edge.process->kill();
  }
  sleep_ms(dark_ms);
  if (with_trouble) edge.process->start();
  const Machine& next = with_trouble ? other : edge;
  for (int i = 0; i < tries; ++i) {
    const Turn four{"b" + std::to_string(i), program, "a3", "fourth question\n"};
    const Response response = send_turn(record, cluster.front(next), next.node, four);
    if (is_served(response)) return rule_held;
    if (response.status == 404 || response.status == 410) {
      record.line("LOST: turn a3 was answered whole less than 60 s ago, and a turn that names it gets " +
                  std::to_string(response.status));
      return rule_broken;
    }
    sleep_ms(pause_between_tries_ms);
  }
  return could_not_run;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return could_not_run;
  const char* const trouble = std::getenv("TROUBLE");
  try {
    Record record(argv[1]);
    const int result = play(record, trouble == nullptr || std::string(trouble) != "0");
    record.line("exit " + std::to_string(result));
    return result;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return could_not_run;
  }
}
