// What an operator's file makes of a request, in words, without serving it.
#pragma once

#include <map>
#include <string>

#include "opfile/model.hpp"

namespace chutevane::opfile {

struct Question {
  std::string host, path = "/", method = "GET";
  std::map<std::string, std::string> headers;
};

// Lines: the route that it takes and the others that fit, the side and why, pools in their order, track,
// limits.
std::string explain(const Model& model, const Question& question);
// A line or two on the whole, for `check`.
std::string summary(const Model& model);

}  // namespace chutevane::opfile
