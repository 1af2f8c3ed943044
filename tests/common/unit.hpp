// CppUTest with helpers. Test files must include it last, because its macros have common names such as CHECK
// and FAIL.
#pragma once

#include <CppUTest/TestHarness.h>

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/lsan_interface.h>
#endif

#include <string>

// Checks a condition; on failure, `where` identifies the case among many.
#define CHECK_WHERE(condition, where) CHECK_TEXT(condition, std::string(where).c_str())

// Returns `word` followed by `number`. Not inline, because GCC 12 gives a false warning for "word" +
// std::to_string(n).
std::string numbered(const char* word, long long number);

// Excludes what is allocated during its lifetime from leak detection. Used for the schemas, which are parsed
// once and live until the process ends.
struct ScopedLeakCheckDisabler {
#if defined(__SANITIZE_ADDRESS__)
  ScopedLeakCheckDisabler() { __lsan_disable(); }
  ~ScopedLeakCheckDisabler() { __lsan_enable(); }
#else
  ScopedLeakCheckDisabler() {}
#endif
  ScopedLeakCheckDisabler(const ScopedLeakCheckDisabler&) = delete;
  ScopedLeakCheckDisabler& operator=(const ScopedLeakCheckDisabler&) = delete;
};
