// The serving tier's unit tests: state machines fed with played time, disks and votes in memory.
//
// Leak detection by overloaded new is off: the libraries below keep statics until the process ends. The
// sanitizer's own looks for leaks.
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

// A part of the tests, so that several processes share them: of so many parts, the one of that index. Each
// test is in exactly one.
struct Part {
  std::size_t index = 0, of = 1;
};

// Of TEST_PART, as "2/4"; all of the tests where it is not set.
Part part_of_environment() {
  const char* const text = std::getenv("TEST_PART");
  if (text == nullptr) return {};
  Part out;
  if (std::sscanf(text, "%zu/%zu", &out.index, &out.of) == 2 && out.index < out.of) return out;
  std::fprintf(stderr, "TEST_PART: not a part such as 2/4\n");
  std::exit(2);
}

// Leaves the tests of one part in the registry. By turns, as they are registered: those of a group, which
// take alike long, come to different parts.
void keep_part(const Part& part) {
  TestRegistry& registry = *TestRegistry::getCurrentRegistry();
  std::vector<UtestShell*> mine;
  std::size_t number = 0;
  for (UtestShell* test = registry.getFirstTest(); test != nullptr; test = test->getNext()) {
    if (number++ % part.of == part.index) mine.push_back(test);
  }
  while (registry.getFirstTest() != nullptr) registry.unDoLastAddTest();
  for (auto test = mine.rbegin(); test != mine.rend(); ++test) registry.addTest(*test);
}

}  // namespace

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  {
    const ForGood schemas;
    chutevane::common::avro::shared_value("Value");
  }
  keep_part(part_of_environment());
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
