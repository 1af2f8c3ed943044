// The serving tier's unit tests: state machines fed with played time, disks and votes in memory.
//
// Leak detection by overloaded new is off: the libraries below keep statics until the process ends. The
// sanitizer's own looks for leaks.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include "common/avro.hpp"
#include "unit.hpp"

std::string numbered(const char* word, long long number) {
  std::string out = word;
  out += std::to_string(number);
  return out;
}

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  {
    const ForGood schemas;
    chutevane::common::avro::value_of("Value");
  }
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
