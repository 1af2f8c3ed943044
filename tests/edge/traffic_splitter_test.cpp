/// Traffic splitting: each service gets its share within two requests, whatever the number of processes.
#include "edge/traffic_splitter.hpp"

#include <cmath>
#include <vector>

#include "unit.hpp"

using chutevane::Pcg;
using chutevane::common::Weighted;
using chutevane::edge::TrafficSplitter;

TEST_GROUP(TrafficSplitting) {
  Pcg random{7};
  static std::vector<double> counts(TrafficSplitter & splitter, const std::vector<Weighted>& split,
                                    Pcg& random, int requests) {
    std::vector<double> result(split.size());
    for (int i = 0; i < requests; ++i) result[splitter.next(split, random)] += 1;
    return result;
  }
};

TEST(TrafficSplitting, EachShareIsMetWithinTwoRequests) {
  const std::vector<Weighted> split = {{"a", 70}, {"b", 25}, {"c", 5}};
  for (int requests : {1, 3, 20, 300, 1000}) {
    TrafficSplitter splitter;
    const auto counted = counts(splitter, split, random, requests);
    for (std::size_t i = 0; i < split.size(); ++i)
      CHECK_TRUE(std::abs(counted[i] - requests * split[i].weight / 100) <= 2);
  }
}

// The shares also hold across independent processes with few requests each.
TEST(TrafficSplitting, HoldsAcrossManyProcesses) {
  const std::vector<Weighted> split = {{"a", 90}, {"b", 10}};
  double canary = 0;
  constexpr int processes = 300, requests = 3;
  for (int i = 0; i < processes; ++i) {
    TrafficSplitter splitter;
    canary += counts(splitter, split, random, requests)[1];
  }
  CHECK_TRUE(std::abs(canary / (processes * requests) - 0.1) < 0.03);
}

TEST(TrafficSplitting, AServiceWithoutWeightGetsNothing) {
  TrafficSplitter splitter;
  const std::vector<Weighted> split = {{"a", 1}, {"b", 0}};
  DOUBLES_EQUAL(0, counts(splitter, split, random, 500)[1], 0);
}

TEST(TrafficSplitting, HoldsFromWhenTheSplitChanges) {
  TrafficSplitter splitter;
  counts(splitter, {{"a", 99}, {"b", 1}}, random, 50);
  const auto counted = counts(splitter, {{"a", 50}, {"b", 50}}, random, 100);
  CHECK_TRUE(std::abs(counted[0] - 50) <= 2);
  // The number of services may change too.
  const auto more = counts(splitter, {{"a", 1}, {"b", 1}, {"c", 2}}, random, 100);
  CHECK_TRUE(std::abs(more[2] - 50) <= 2);
}
