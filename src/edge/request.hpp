// A client's request as a sidecar of the traffic works with it: what it asks, and what its headers say.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chutevane/types.hpp"
#include "edge/service_balancer.hpp"
#include "http/parser.hpp"
#include "net/buffer.hpp"

namespace chutevane::edge {

struct Request {
  std::string method, target, host, body;
  std::vector<std::pair<std::string, std::string>> fields;  // that go along
  std::string attempt_id, program, previous;
  std::optional<Span> left;              // that the client will wait
  std::optional<std::int64_t> budget;    // tokens of the whole program
  std::optional<std::int64_t> most_out;  // tokens that it may generate
  std::vector<PromptBlock> parts;        // of its prompt
};

// Empty where it is good; else what is wrong with which header.
std::string read_request(const http::Parser& from, Request& into);
// Whether a field concerns one connection only. `also`: what the Connection field names.
bool of_one_connection(std::string_view name, std::string_view also);

// What a sidecar says itself in the head of a request to an endpoint.
struct OwnFields {
  std::string endpoint_id{};
  Span left{};  // until the endpoint is to stop work
  std::optional<int> priority{};
  std::optional<std::int64_t> last_event{};  // of a stream that is taken up: in place of what the client says
};
// The request as it goes to an endpoint, head only; `size`: of its body, in bytes.
std::string head_for(const Request& request, const OwnFields& own, std::size_t size);

// An event of a stream, as far as it is read: the data with a line feed behind.
struct Event {
  std::string data;
  std::optional<std::int64_t> id;
};
// The size of the first whole event in the bytes, 0 where none is.
std::size_t whole_event(std::string_view bytes);
Event read_event(std::string_view bytes);

}  // namespace chutevane::edge
