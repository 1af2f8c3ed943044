/// Finds the route of a request: the most specific one that matches.
///
/// Specificity is compared by host (exact, then the longest suffix, then any), then path (exact, then the
/// longest prefix, then any), then method (a given one, then any), then headers (more exact matchers, then
/// more and longer prefix matchers, then more presence matchers). Two routes that match the same request with
/// the same specificity are a configuration error, so the order of routes in a file is irrelevant.
///
/// Routes are compiled into hash tables by host, a tree by path segment, and hash tables by method and by the
/// values of exactly matched headers. The cost of a match grows with the request, not with the number of
/// routes.
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
  std::string name;  // case-insensitive
  Kind kind = Kind::present;
  std::string value;  // for `exact` and `prefix`
};

struct Route {
  enum class PathKind : std::uint8_t { any, exact, prefix };
  std::string host;  // without a port. "": any; "a.b": exact; "*.b": any subdomain of b, not b itself
  PathKind path_kind = PathKind::any;
  std::string path;                    // a prefix matches whole segments: /a does not match /ab
  std::string method;                  // "": any
  std::vector<HeaderMatcher> headers;  // all must match
};

/// The parts of a request that are matched. The views must be valid during the call to match().
class RequestView {
 public:
  virtual std::string_view host() const = 0;  // as sent, with or without a port
  virtual std::string_view path() const = 0;  // without the query
  virtual std::string_view method() const = 0;
  /// Returns the value of a header, or std::nullopt if there is none. `name` is case-insensitive.
  virtual std::optional<std::string_view> header(std::string_view name) const = 0;

 protected:
  ~RequestView() = default;
};

/// Two routes match the same requests with the same specificity. `first` and `second` are their indices.
struct AmbiguousRouteError : std::runtime_error {
  AmbiguousRouteError(std::size_t a, std::size_t b, const std::string& what)
      : std::runtime_error(what), first(a), second(b) {}
  std::size_t first, second;
};

/// Returns true if the route matches. This is the reference that the compiled table is tested against.
bool matches(const Route& route, const RequestView& request);
/// Returns a negative number if `a` is more specific, a positive one if `b` is, and 0 otherwise.
int compare_specificity(const Route& a, const Route& b);

class RouteTable {
 public:
  static constexpr std::uint32_t none = 0xffffffffU;

  RouteTable() = default;
  /// Throws AmbiguousRouteError.
  explicit RouteTable(std::span<const Route> routes);
  /// Returns the index of the most specific matching route, or `none`. Never allocates memory.
  std::uint32_t match(const RequestView& request) const;
  std::size_t bytes() const;  // approximate memory use

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
    /// Number of prefix matchers, their total length, and number of presence matchers. Orders routes with the
    /// same number of exact matchers, the largest first.
    std::array<std::size_t, 3> rank{};
    std::vector<HeaderMatcher> other_matchers;  // prefix and presence matchers
  };
  /// Routes of one host, path and method whose exact matchers have the same header names. They are found by a
  /// hash of the values.
  struct HeaderGroup {
    std::vector<std::string> names;                                   // sorted, in lower case
    std::unordered_multimap<std::uint64_t, std::uint32_t> by_values;  // hash to index into `buckets`
    std::vector<std::vector<Candidate>> buckets;                      // each with the highest rank first
    std::vector<std::vector<std::string>> values;                     // the values of each bucket
  };
  /// Routes of one host and path.
  struct PathRoutes {
    ByText<std::vector<HeaderGroup>> by_method;  // "": any; groups with more names first
  };
  /// A node of the tree of path segments. Each segment includes the slash before it.
  struct PathNode {
    std::uint32_t exact = none, prefix = none;  // indices into path_routes_
    ByText<std::uint32_t> children;             // indices into nodes_
  };
  struct HostRoutes {
    std::uint32_t root = none;      // node of the empty path
    std::uint32_t any_path = none;  // index into path_routes_
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
