// What of a remembered figure counts when a process starts: as evidence, as a first guess, or as nothing.
// Without I/O; docs/restart.md has the rules as a table.
#pragma once

#include "snapshot/form.hpp"

namespace chutevane::snapshot {

// What the process that starts is, and finds.
struct Situation {
  std::string owner, deployment;
  std::uint32_t sidecars = 0;
  Stamp now;
};

struct Evidence {
  std::vector<Remembered> endpoints;  // first guesses, for those that the list names with address and start
  Carried carried;
  bool list = false;  // the remembered list may be started from, if it is newer than the one at hand
  Age age;
  std::string why;  // a line for the log: what was taken, what was not, and for which reason
};

// Nothing is left of a snapshot of another sidecar or deployment, or without an age.
Evidence judge(const Content& content, const Situation& here);
// Where there is no snapshot that counts: a process that ought to have one starts with empty budgets.
Evidence nothing(const std::string& why);
// What is left of the limit and the rate, given the list that is at hand now: they are of the endpoints that
// were there then.
Evidence against(Evidence evidence, const discovery::EndpointList& list);
// Of two lists of one deployment the newer one.
const discovery::EndpointList& newer(const discovery::EndpointList& given, const Content& content,
                                     const Evidence& evidence);

}  // namespace chutevane::snapshot
