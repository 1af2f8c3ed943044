/// Finds the route that a request takes: the most specific one that matches. No I/O.
///
/// Specificity goes by host (exact, then the longest suffix, then any), then path (exact, then the longest
/// prefix, then any), then method (named, then any), then headers (more exact values, then more and longer
/// prefixes, then more presences). Two routes that match the same requests with the same specificity are an
/// error of the configuration, so the order of routes in a file means nothing.
///
/// Routes are compiled into a structure whose cost of a match grows with the request, not with the number of
/// routes: hash tables by host, a tree by path segment, hash tables by method and by the values of exact
/// headers.
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

struct HeaderMatcher {
  enum class Kind : std::uint8_t { exact, prefix, present };
  std::string name;  // any case
  Kind kind = Kind::present;
  std::string value;  // of an exact one or a prefix
};

struct Route {
  enum class PathKind : std::uint8_t { any, exact, prefix };
  std::string host;  // without a port. "": any; "a.b": exact; "*.b": any name under b, not b itself
  PathKind path_kind = PathKind::any;
  std::string path;                    // a prefix ends at a segment: /a does not match /ab
  std::string method;                  // "": any
  std::vector<HeaderMatcher> headers;  // all must match
};

/// What matching looks at, as views that are valid during a call.
class RequestView {
 public:
  virtual std::string_view host() const = 0;  // as sent, with or without a port
  virtual std::string_view path() const = 0;  // without the query
  virtual std::string_view method() const = 0;
  /// By name, in any case.
  virtual std::optional<std::string_view> header(std::string_view name) const = 0;

 protected:
  ~RequestView() = default;
};

/// Two routes, by their indices, that match the same requests with the same specificity.
struct AmbiguousRouteError : std::runtime_error {
  AmbiguousRouteError(std::size_t a, std::size_t b, const std::string& what)
      : std::runtime_error(what), first(a), second(b) {}
  std::size_t first, second;
};

/// Whether one route matches: the plain definition, which the compiled table is tested against.
bool matches(const Route& route, const RequestView& request);
/// Negative where `a` is the more specific route, positive where `b` is, 0 where neither.
int compare_specificity(const Route& a, const Route& b);

class RouteTable {
 public:
  static constexpr std::uint32_t none = 0xffffffffU;

  RouteTable() = default;
  /// Throws AmbiguousRouteError.
  explicit RouteTable(std::span<const Route> routes);
  /// The index of the route that the request takes, or `none`. Never allocates.
  std::uint32_t match(const RequestView& request) const;
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
    /// Prefixes, their length, presences: among routes with as many exact headers the larger goes first.
    std::array<std::size_t, 3> rank{};
    std::vector<HeaderMatcher> other_matchers;  // those that are not exact
  };
  /// Routes of one host, path and method whose exact headers have the same names: found by a hash of the
  /// values.
  struct HeaderGroup {
    std::vector<std::string> names;                                   // sorted, in lower case
    std::unordered_multimap<std::uint64_t, std::uint32_t> by_values;  // into `buckets`
    std::vector<std::vector<Candidate>> buckets;                      // the highest rank first
    std::vector<std::vector<std::string>> values;                     // of each bucket
  };
  /// Routes of one host and path.
  struct PathRoutes {
    ByText<std::vector<HeaderGroup>> by_method;  // "": any; groups with more names first
  };
  /// A path, segment by segment; each with the slash before it.
  struct PathNode {
    std::uint32_t exact = none, prefix = none;  // into path_routes_
    ByText<std::uint32_t> children;             // into nodes_
  };
  struct HostRoutes {
    std::uint32_t root = none;      // the node of the empty path
    std::uint32_t any_path = none;  // into path_routes_
  };
  std::uint32_t path_routes_for(HostRoutes& host, const Route& route);
  std::uint32_t node_for(HostRoutes& host, std::string_view path);
  void add_route(PathRoutes& path_routes, const Route& route, std::uint32_t index);
  void check_ambiguity(std::span<const Route> routes, const std::vector<HeaderGroup>& groups) const;
  std::uint32_t match_in_host(const HostRoutes& host, const RequestView& request) const;
  std::uint32_t match_path(std::uint32_t path_routes, const RequestView& request) const;
  std::uint32_t match_headers(const std::vector<HeaderGroup>& groups, const RequestView& request) const;
  static const Candidate* find_in_group(const HeaderGroup& group, const RequestView& request,
                                        const Candidate* best);

  ByText<HostRoutes> exact_hosts_, suffix_hosts_;  // suffixes without "*."
  HostRoutes any_host_;
  std::vector<PathNode> nodes_;
  std::vector<PathRoutes> path_routes_;
};

}  // namespace chutevane::route
