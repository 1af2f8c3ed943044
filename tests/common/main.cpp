// Main function of the serving tier's unit tests, which use simulated time and disks and votes in memory.
//
// CppUTest's leak detection by overloaded new is disabled, because libraries keep static objects until the
// process ends. LeakSanitizer detects leaks instead.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

#include <cstdio>
#include <cstdlib>
#include <vector>

#include "common/avro.hpp"
#include "unit.hpp"

std::string numbered(const char* word, long long number) {
  std::string out = word;
  out += std::to_string(number);
  return out;
}

namespace {

// One of `of` disjoint parts of the tests, so that several processes can run them in parallel.
struct Part {
  std::size_t index = 0, of = 1;
};

// Returns the part given by TEST_PART, such as "2/4", or all tests if it is not set. Exits if it is invalid.
Part part_from_environment() {
  const char* const text = std::getenv("TEST_PART");
  if (text == nullptr) return {};
  Part out;
  if (std::sscanf(text, "%zu/%zu", &out.index, &out.of) == 2 && out.index < out.of) return out;
  std::fprintf(stderr, "TEST_PART: must be INDEX/COUNT with INDEX < COUNT, such as 2/4\n");
  std::exit(2);
}

// Removes the tests of other parts from the registry. Tests are assigned in turn, so that those of a group,
// which take similar time, are spread over the parts.
void select_part(const Part& part) {
  TestRegistry& registry = *TestRegistry::getCurrentRegistry();
  std::vector<UtestShell*> selected;
  std::size_t number = 0;
  for (UtestShell* test = registry.getFirstTest(); test != nullptr; test = test->getNext()) {
    if (number++ % part.of == part.index) selected.push_back(test);
  }
  while (registry.getFirstTest() != nullptr) registry.unDoLastAddTest();
  for (auto test = selected.rbegin(); test != selected.rend(); ++test) registry.addTest(*test);
}

}  // namespace

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  {
    const ScopedLeakCheckDisabler disabler;
    chutevane::common::avro::shared_value("Value");
  }
  select_part(part_from_environment());
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
