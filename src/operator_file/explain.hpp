/// What an operator's file makes of a request, in words, without serving it: for `chutevane explain` and
/// `check`.
#pragma once

#include <map>
#include <string>

#include "operator_file/model.hpp"

namespace chutevane::operator_file {

struct ExplainQuery {
  std::string host, path = "/", method = "GET";
  std::map<std::string, std::string> headers;
};

/// Lines: the route that the request takes and others that match, the service, the side and why, its pools in
/// their order, the track, the limits.
std::string explain(const Model& model, const ExplainQuery& query);
/// A line on the whole file.
std::string summary(const Model& model);

}  // namespace chutevane::operator_file
