// The platform's protocol between callers, sidecars and endpoints: which header says what. Nothing else in
// the program knows a header by name; a second front would stand beside this one.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "chutevane/types.hpp"
#include "http/parser.hpp"
#include "http/writer.hpp"
#include "net/buffer.hpp"
#include "sidecar/counters.hpp"

namespace chutevane::sidecar {

// Which header says what.
struct HeaderNames {
  std::string id = "X-Request-ID", track = "X-Priority-Class", wait = "X-Timeout", repeated = "X-Retried",
              reference = "Idempotency-Key", never_ran = "X-Not-Processed", attributes = "X-Attrs";
  std::string key;  // a header of its own for what the call is about; empty: an attribute
};

class Front {
 public:
  explicit Front(const Settings& settings, HeaderNames names = {});

  std::vector<Counters::Class> classes() const;  // the tracks, with nothing counted
  enum class Kind : std::uint8_t { call, ready, bad, nowhere };
  // What a caller's request is. Of a call it reads all but the id; of a bad one it says why.
  Kind read_request(const http::Parser& request, ApiCall& call, std::string_view& why) const;
  // The same where a route has told the track, and with it what the request is: any method, an id or none.
  Kind read_routed(const http::Parser& request, ApiCall& call, std::string_view& why) const;
  // What names a call; no two that are open share it.
  std::string_view id_of(const http::Parser& request) const;
  // The head alone where the body comes in pieces: with its length, or in chunks.
  void write_dispatch(net::Buffer& out, const http::Parser& request, Span wait, bool in_pieces) const;
  Outcome outcome_of(const http::Parser& response) const;

  // `to_head`: the length is that of a body that does not come.
  void write_done(net::Buffer& out, const http::Parser& response, bool close, bool to_head) const;
  // The head of an answer whose body comes in pieces.
  void write_begun(net::Buffer& out, const http::Parser& response, bool chunked, bool close) const;
  void write_rejection(net::Buffer& out, Span come_back, bool close) const;
  void write_broken_off(net::Buffer& out, bool timed_out, bool close) const;
  // Everything that is no answer to a call.
  void write_plain(net::Buffer& out, int status, std::string_view text, bool close) const;

 private:
  bool read_rest(const http::Parser& request, ApiCall& call, std::string_view& why) const;
  bool passed_on(std::string_view name) const;
  void copy_fields(http::Writer& out, const http::Parser& from, std::string_view but = {}) const;
  struct Track {
    std::string name;
    Span client_timeout;
    bool read_only = false, keyed = false;  // GET, or POST with a key, or POST without
  };
  std::uint64_t key_of(const http::Parser& request) const;
  bool uses_keys_;  // endpoints know keys, or some tracks go in the order of theirs
  HeaderNames names_;
  std::vector<Track> tracks_;
};

}  // namespace chutevane::sidecar
