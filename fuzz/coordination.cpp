// What controllers read of the coordination service: the state's bytes, which come back as they were read,
// and clients' requests, each of which is a call within its bounds or has findings. The first byte says
// which.
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "control/coordination/coordination_request.hpp"
#include "control/coordination/state.hpp"
#include "http.hpp"

namespace {

namespace coordination = chutevane::control::coordination;
namespace http = chutevane::http;
using chutevane::Span;
using chutevane::fuzz::must;

void read_state(std::string_view bytes) {
  const std::optional<coordination::State> state = coordination::decode(bytes);
  if (!state) return;
  const std::string again = coordination::encode(*state);
  must(again.size() <= std::max<std::size_t>(bytes.size(), 1));
  must(coordination::decode(again) == state);
}

void check_call(const coordination::Call& call) {
  using coordination::Operation;
  const bool is_of_key = call.operation == Operation::put_key || call.operation == Operation::get_key;
  must(!is_of_key || coordination::group_of(call.name).has_value());
  must(call.operation != Operation::put_key || (!call.value.empty() && call.value.size() <= 4096));
  must(call.applies_to >= coordination::any_revision && call.fence >= 0);
  const bool has_hold = call.operation == Operation::acquire_lock || call.operation == Operation::renew_lock;
  must(has_hold ? call.hold >= Span::ms(1) && call.hold <= Span::ms(3'600'000) : call.hold == Span());
  const bool is_of_lock = has_hold || call.operation == Operation::release_lock;
  must(is_of_lock ? !call.holder.empty() && call.holder.size() <= 256 : call.holder.empty());
  must(!call.name.empty() && call.name.size() <= 256 && call.name.find('/') == std::string::npos);
}

void read_request(std::string bytes) {
  http::Parser parser(http::Side::request, {.head = 1024, .body = 8192, .fields = 10});
  if (parser.feed({bytes.data(), bytes.size()}) != http::Progress::complete) return;
  chutevane::common::Findings findings;
  const auto request = coordination::read_coordination_request(parser, findings);
  must(!request || (findings.none() && coordination::is_coordination_target(parser.target())));
  if (!request) return;
  if (const auto* const call = std::get_if<coordination::Call>(&*request)) return check_call(*call);
  const auto& watch = std::get<coordination::WatchRequest>(*request);
  must(coordination::group_of(watch.group) == watch.group && watch.after >= 0);
  must(watch.wait >= Span() && watch.wait <= Span::ms(60'000));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 1) return 0;
  const std::string bytes(reinterpret_cast<const char*>(data + 1), size - 1);
  if (data[0] % 2 == 0) {
    read_state(bytes);
  } else {
    read_request(bytes);
  }
  return 0;
}
