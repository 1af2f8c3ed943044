// Which route a request takes, without I/O: the most precise one that fits, found in a structure whose cost
// grows with the request and not with the number of routes.
//
// Precision goes by host (exact, then the longest suffix, then any), then path (exact, then the longest
// prefix, then any), then method (named, then any), then headers (more exact values, then more prefixes, then
// more presences).
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chutevane::route {

struct HeaderRule {
  enum class Kind : std::uint8_t { exact, prefix, present };
  std::string name;  // any case
  Kind kind = Kind::present;
  std::string value;
};

struct Route {
  std::string host;  // "": any; "a.b"; "*.b", which is not b itself. No port.
  enum class PathKind : std::uint8_t { any, exact, prefix };
  PathKind path_kind = PathKind::any;
  std::string path;                 // a prefix ends on a segment's border: /a is not of /ab
  std::string method;               // "": any
  std::vector<HeaderRule> headers;  // all of them hold
};

// What a request says, as views; headers by name, any case.
class Request {
 public:
  virtual std::string_view host() const = 0;  // as sent, with or without a port
  virtual std::string_view path() const = 0;  // without its query
  virtual std::string_view method() const = 0;
  virtual std::optional<std::string_view> header(std::string_view name) const = 0;

 protected:
  ~Request() = default;
};

// Two routes that fit the same requests with the same precision, by their places.
struct TieError : std::runtime_error {
  TieError(std::size_t a, std::size_t b, const std::string& what)
      : std::runtime_error(what), first(a), second(b) {}
  std::size_t first, second;
};

// Whether that one route fits: the plain meaning, which the compiled structure is tested against.
bool fits(const Route& route, const Request& request);
// Which of two routes is the more precise: negative where it is `a`, 0 where neither is.
int compare_precision(const Route& a, const Route& b);

class Table {
 public:
  static constexpr std::uint32_t none = 0xffffffffU;

  Table() = default;
  // Routes keep their places as numbers. Throws TieError.
  explicit Table(std::span<const Route> routes);
  // The place of the route that the request takes; `none` where no route fits. Never allocates.
  std::uint32_t choose(const Request& request) const;
  std::size_t bytes() const;  // of memory, about

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  struct Equal {
    using is_transparent = void;
    bool operator()(std::string_view a, std::string_view b) const { return a == b; }
  };
  template <class V>
  using ByText = std::unordered_map<std::string, V, Hash, Equal>;

  struct Candidate {
    std::uint32_t route = none;
    std::array<std::size_t, 3> rank{};  // among routes with as many exact headers: the larger goes first
    std::vector<HeaderRule> others;     // prefixes and presences, still to be looked at
  };
  // Routes of one place and method whose exact headers have the same names: found by their values.
  struct Shape {
    std::vector<std::string> names;  // sorted; of exact rules
    std::unordered_multimap<std::uint64_t, std::uint32_t>
        by_values;  // into candidates, the most precise first
    std::vector<std::vector<Candidate>> buckets;
    std::vector<std::vector<std::string>> values;  // of each bucket
  };
  struct Leaf {                            // routes of one host and path
    ByText<std::vector<Shape>> by_method;  // "": any; shapes with more names first
  };
  struct Node {                                 // of a path, by segments
    std::uint32_t exact = none, prefix = none;  // leaves
    ByText<std::uint32_t> children;
  };
  struct Host {
    std::uint32_t root = none;      // node of the path ""
    std::uint32_t any_path = none;  // leaf
  };
  std::uint32_t leaf_for(Host& host, const Route& route);
  void put(Leaf& leaf, const Route& route, std::uint32_t place);
  std::uint32_t in_host(const Host& host, const Request& request) const;
  std::uint32_t in_leaf(std::uint32_t leaf, const Request& request) const;
  void check_ties(std::span<const Route> routes, const std::vector<Shape>& shapes) const;
  std::uint32_t in_shapes(const std::vector<Shape>& shapes, const Request& request) const;

  ByText<Host> exact_hosts_, suffix_hosts_;  // suffixes without "*."
  Host any_host_;
  std::vector<Node> nodes_;
  std::vector<Leaf> leaves_;
};

}  // namespace chutevane::route
