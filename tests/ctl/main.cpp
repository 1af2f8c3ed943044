#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "scripted_control.hpp"

namespace chutevane::ctl {

TemporaryFile::TemporaryFile(const std::string& text) {
  std::string name = "/tmp/ctl-test-XXXXXX";
  folder_ = ::mkdtemp(name.data());
  path_ = folder_ + "/file";
  std::ofstream(path_, std::ios::binary) << text;
}

TemporaryFile::~TemporaryFile() {
  std::remove(path_.c_str());
  ::rmdir(folder_.c_str());
}

}  // namespace chutevane::ctl

// avro-c loses three small objects of its own where a class is made of a schema with links, once in a
// process's life. Only what comes from that place is let pass, which takes whole stacks: the library has no
// frame pointers.
// The sanitizers call both functions by name.
// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" const char* __lsan_default_suppressions() { return "leak:Schemas\n"; }
extern "C" const char* __asan_default_options() { return "fast_unwind_on_malloc=0"; }
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)

int main(int argc, char** argv) {
  // Values of the Avro schemas are made at their first use and stay: no leak of the test that comes first.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
