// CppUTest, included last by every test file here: its macros are plain words such as CHECK and FAIL.
#pragma once

#include <CppUTest/TestHarness.h>

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/lsan_interface.h>
#endif

#include <string>

// A check that says in words what was not so, and where in a run of many.
#define CHECK_WHERE(condition, where) CHECK_TEXT(condition, std::string(where).c_str())

// A word and its number. (Not inline: GCC 12 warns of "word" + std::to_string(n), wrongly.)
std::string numbered(const char* word, long long number);

// While it stands, what is allocated is there until the process ends, and is no leak: schemas, read once.
struct ForGood {
#if defined(__SANITIZE_ADDRESS__)
  ForGood() { __lsan_disable(); }
  ~ForGood() { __lsan_enable(); }
#else
  ForGood() {}
#endif
  ForGood(const ForGood&) = delete;
  ForGood& operator=(const ForGood&) = delete;
};
