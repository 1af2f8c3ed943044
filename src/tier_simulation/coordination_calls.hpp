/// \file
/// The applications' calls for coordination: their requests, and what their responses say. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tier_simulation/coordination_checker.hpp"
#include "tier_simulation/http_client.hpp"

namespace chutevane::tier_simulation {

/// What is known after a call.
enum class CallOutcome : std::uint8_t {
  done,      ///< 200, or 404 of a read
  conflict,  ///< 409 or 412: it has not taken effect
  refused,   ///< 429 or 503: it has not taken effect
  gone,      ///< 410
  unclear,   ///< anything else, and no response at all
};
CallOutcome outcome_of(const std::optional<HttpResult>& result);

std::string acquire_request(const std::string& lock, const std::string& holder, Span hold);
std::string renew_request(const std::string& lock, const std::string& holder, std::int64_t fence, Span hold);
std::string release_request(const std::string& lock, const std::string& holder, std::int64_t fence);
std::string number_request(const std::string& name);
/// `applies_to` -1: the request has no such member.
std::string put_request(const std::string& key, const std::string& value, std::int64_t applies_to);
std::string read_request(const std::string& key);
std::string watch_request(const std::string& group, std::int64_t after, Span wait);

/// A member of the response's body; 0 where it is missing.
std::int64_t integer_in(const HttpResult& result, const char* member);
/// Of a read: empty where there is none.
std::string value_in(const HttpResult& result);
/// Of a watch.
std::vector<CoordinationChecker::Event> events_in(const HttpResult& result);

}  // namespace chutevane::tier_simulation
