#include "route/route_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace chutevane::route {
namespace {

constexpr std::size_t max_host_bytes = 255;    // no DNS name is longer
constexpr std::size_t max_path_segments = 64;  // longest path prefix of a route

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

std::string lowered(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), lower);
  return out;
}

bool same_name(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

/// Removes the port and a trailing dot: "a.b.:80" is the same host as "a.b".
std::string_view normalized_host(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.find(']') == std::string_view::npos)
    host = host.substr(0, colon);
  if (host.ends_with('.')) host.remove_suffix(1);
  return host;
}

/// Removes trailing slashes: "/a/" is the prefix "/a", and "/" the empty prefix.
std::string_view normalized_prefix(std::string_view path) {
  while (path.ends_with('/')) path.remove_suffix(1);
  return path;
}

bool matches_header(const HeaderMatcher& rule, const RequestView& request) {
  const std::optional<std::string_view> value = request.header(rule.name);
  if (!value) return false;
  switch (rule.kind) {
    case HeaderMatcher::Kind::exact: return *value == rule.value;
    case HeaderMatcher::Kind::prefix: return value->starts_with(rule.value);
    case HeaderMatcher::Kind::present: break;
  }
  return true;
}

bool is_suffix(const Route& r) { return r.host.starts_with("*."); }

/// Returns a tuple that is larger for a more specific route.
auto specificity(const Route& r) {
  const int host_kind = r.host.empty() ? 0 : is_suffix(r) ? 1 : 2;
  const std::size_t host_length = is_suffix(r) ? r.host.size() : 0;
  const int path_kind = static_cast<int>(r.path_kind == Route::PathKind::exact    ? 2
                                         : r.path_kind == Route::PathKind::prefix ? 1
                                                                                  : 0);
  const std::size_t path_length =
      r.path_kind == Route::PathKind::prefix ? normalized_prefix(r.path).size() : 0;
  std::array<std::size_t, 3> kinds{};
  std::size_t prefix_length = 0;
  for (const HeaderMatcher& h : r.headers) {
    ++kinds[static_cast<std::size_t>(h.kind)];
    if (h.kind == HeaderMatcher::Kind::prefix) prefix_length += h.value.size();
  }
  return std::tuple(host_kind, host_length, path_kind, path_length, !r.method.empty(), kinds[0], kinds[1],
                    prefix_length, kinds[2]);
}

/// Returns true if no value of a header can match both.
bool are_exclusive(const HeaderMatcher& a, const HeaderMatcher& b) {
  if (!same_name(a.name, b.name)) return false;
  if (a.kind == HeaderMatcher::Kind::present || b.kind == HeaderMatcher::Kind::present) return false;
  const bool a_is_exact = a.kind == HeaderMatcher::Kind::exact,
             b_is_exact = b.kind == HeaderMatcher::Kind::exact;
  if (a_is_exact && b_is_exact) return a.value != b.value;
  if (a_is_exact) return !a.value.starts_with(b.value);
  if (b_is_exact) return !b.value.starts_with(a.value);
  return !a.value.starts_with(b.value) && !b.value.starts_with(a.value);
}

/// Returns true if no request can match the headers of both routes.
bool are_exclusive(const Route& a, const Route& b) {
  return std::any_of(a.headers.begin(), a.headers.end(), [&](const HeaderMatcher& x) {
    return std::any_of(b.headers.begin(), b.headers.end(),
                       [&](const HeaderMatcher& y) { return are_exclusive(x, y); });
  });
}

std::uint64_t combine_hash(std::uint64_t hash, std::string_view value) {
  return XXH3_64bits_withSeed(value.data(), value.size(), hash + 1);
}

}  // namespace

bool matches(const Route& r, const RequestView& request) {
  const std::string host = lowered(normalized_host(request.host()));
  if (is_suffix(r)) {
    const std::string suffix = lowered(std::string_view(r.host).substr(1));  // ".b"
    if (host.size() <= suffix.size() || !std::string_view(host).ends_with(suffix)) return false;
  } else if (!r.host.empty() && host != lowered(r.host)) {
    return false;
  }
  const std::string_view path = request.path();
  if (r.path_kind == Route::PathKind::exact && path != r.path) return false;
  if (r.path_kind == Route::PathKind::prefix) {
    const std::string_view prefix = normalized_prefix(r.path);
    if (!path.starts_with(prefix) || (path.size() > prefix.size() && path[prefix.size()] != '/'))
      return false;
  }
  if (!r.method.empty() && r.method != request.method()) return false;
  return std::all_of(r.headers.begin(), r.headers.end(),
                     [&](const auto& h) { return matches_header(h, request); });
}

int compare_specificity(const Route& a, const Route& b) {
  const auto x = specificity(a), y = specificity(b);
  return x > y ? -1 : x < y ? 1 : 0;
}

RouteTable::RouteTable(std::span<const Route> routes) {
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const Route& route = routes[i];
    HostRoutes& host = route.host.empty() ? any_host_
                       : is_suffix(route) ? suffix_hosts_[lowered(std::string_view(route.host).substr(2))]
                                          : exact_hosts_[lowered(route.host)];
    add_route(path_routes_[path_routes_for(host, route)], route, static_cast<std::uint32_t>(i));
  }
  for (PathRoutes& path_routes : path_routes_) {
    for (auto& [method, groups] : path_routes.by_method) {
      for (HeaderGroup& group : groups) {
        for (auto& bucket : group.buckets)
          std::stable_sort(bucket.begin(), bucket.end(),
                           [](const auto& x, const auto& y) { return x.rank > y.rank; });
      }
      std::stable_sort(groups.begin(), groups.end(),
                       [](const auto& x, const auto& y) { return x.names.size() > y.names.size(); });
      check_ambiguity(routes, groups);
    }
  }
}

/// Throws AmbiguousRouteError if two equally specific routes of one host, path and method can match the same
/// request.
void RouteTable::check_ambiguity(std::span<const Route> routes,
                                 const std::vector<HeaderGroup>& groups) const {
  const auto check = [&](const std::vector<Candidate>& xs, const std::vector<Candidate>& ys) {
    for (const Candidate& x : xs) {
      for (const Candidate& y : ys) {
        if (x.route == y.route || compare_specificity(routes[x.route], routes[y.route]) != 0 ||
            are_exclusive(routes[x.route], routes[y.route]))
          continue;
        throw AmbiguousRouteError(std::min(x.route, y.route), std::max(x.route, y.route),
                                  "matches the same requests as another route, with the same specificity");
      }
    }
  };
  for (std::size_t i = 0; i < groups.size(); ++i) {
    // Different values of the same headers never match together, so each bucket is compared only with itself.
    for (const auto& bucket : groups[i].buckets) check(bucket, bucket);
    for (std::size_t j = i + 1; j < groups.size() && groups[j].names.size() == groups[i].names.size(); ++j) {
      for (const auto& x : groups[i].buckets) {
        for (const auto& y : groups[j].buckets) check(x, y);
      }
    }
  }
}

/// Returns the entry for the route's host and path, creating it if needed.
std::uint32_t RouteTable::path_routes_for(HostRoutes& host, const Route& route) {
  const auto existing_or_new = [&](std::uint32_t& index) {
    if (index == none) {
      index = static_cast<std::uint32_t>(path_routes_.size());
      path_routes_.emplace_back();
    }
    return index;
  };
  if (route.path_kind == Route::PathKind::any) return existing_or_new(host.any_path);
  const bool is_exact = route.path_kind == Route::PathKind::exact;
  const std::uint32_t node =
      node_for(host, is_exact ? std::string_view(route.path) : normalized_prefix(route.path));
  return existing_or_new(is_exact ? nodes_[node].exact : nodes_[node].prefix);
}

/// Returns the node of a path, creating it if needed. Each segment includes the slash before it, so that
/// "/a/" and "/a" differ.
std::uint32_t RouteTable::node_for(HostRoutes& host, std::string_view path) {
  const auto new_node = [&] {
    nodes_.emplace_back();
    return static_cast<std::uint32_t>(nodes_.size() - 1);
  };
  if (host.root == none) host.root = new_node();
  std::uint32_t node = host.root;
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/', 1), path.size());
    const std::string_view segment = path.substr(0, end);
    const auto found = nodes_[node].children.find(segment);
    std::uint32_t next = found == nodes_[node].children.end() ? none : found->second;
    if (next == none) {
      next = new_node();
      nodes_[node].children.emplace(std::string(segment), next);
    }
    node = next;
    path.remove_prefix(end);
  }
  return node;
}

void RouteTable::add_route(PathRoutes& path_routes, const Route& route, std::uint32_t index) {
  Candidate candidate;
  candidate.route = index;
  std::map<std::string, std::string> exact;  // sorted by name, like the group's names
  for (const HeaderMatcher& header : route.headers) {
    if (header.kind == HeaderMatcher::Kind::exact && exact.emplace(lowered(header.name), header.value).second)
      continue;
    candidate.other_matchers.push_back(header);
    candidate.rank[0] += header.kind == HeaderMatcher::Kind::prefix ? 1U : 0U;
    candidate.rank[1] += header.kind == HeaderMatcher::Kind::prefix ? header.value.size() : 0U;
    candidate.rank[2] += header.kind == HeaderMatcher::Kind::present ? 1U : 0U;
  }
  std::vector<std::string> names, values;
  std::uint64_t hash = 0;
  for (const auto& [name, value] : exact) {
    names.push_back(name);
    values.push_back(value);
    hash = combine_hash(hash, value);
  }
  std::vector<HeaderGroup>& groups = path_routes.by_method[route.method];
  auto group =
      std::find_if(groups.begin(), groups.end(), [&](const auto& one) { return one.names == names; });
  if (group == groups.end()) group = groups.insert(groups.end(), HeaderGroup{names, {}, {}, {}});
  const auto [first, last] = group->by_values.equal_range(hash);
  const auto same =
      std::find_if(first, last, [&](const auto& one) { return group->values[one.second] == values; });
  std::uint32_t bucket = static_cast<std::uint32_t>(group->buckets.size());
  if (same != last) {
    bucket = same->second;
  } else {
    group->by_values.emplace(hash, bucket);
    group->buckets.emplace_back();
    group->values.push_back(values);
  }
  group->buckets[bucket].push_back(std::move(candidate));
}

/// Returns the best matching candidate of a group if it is better than `best`, and `best` otherwise.
const RouteTable::Candidate* RouteTable::find_in_group(const HeaderGroup& group, const RequestView& request,
                                                       const Candidate* best) {
  std::uint64_t hash = 0;
  for (const std::string& name : group.names) {
    const std::optional<std::string_view> value = request.header(name);
    if (!value) return best;
    hash = combine_hash(hash, *value);
  }
  const auto [first, last] = group.by_values.equal_range(hash);
  for (auto it = first; it != last; ++it) {
    const std::vector<std::string>& values = group.values[it->second];
    bool is_same = true;  // different lists of values may have the same hash
    for (std::size_t i = 0; is_same && i < values.size(); ++i)
      is_same = request.header(group.names[i]) == values[i];
    if (!is_same) continue;
    const auto& bucket = group.buckets[it->second];
    const auto found = std::find_if(bucket.begin(), bucket.end(), [&](const Candidate& candidate) {
      return std::all_of(candidate.other_matchers.begin(), candidate.other_matchers.end(),
                         [&](const auto& header) { return matches_header(header, request); });
    });
    if (found == bucket.end() || (best != nullptr && best->rank >= found->rank)) continue;
    best = &*found;
  }
  return best;
}

std::uint32_t RouteTable::match_headers(const std::vector<HeaderGroup>& groups,
                                        const RequestView& request) const {
  const Candidate* best = nullptr;
  std::size_t best_exact_headers = 0;
  for (const HeaderGroup& group : groups) {
    if (best != nullptr && group.names.size() < best_exact_headers) break;
    const Candidate* const found = find_in_group(group, request, best);
    if (found != best) best_exact_headers = group.names.size();
    best = found;
  }
  return best == nullptr ? none : best->route;
}

/// Matches the method and headers among the routes of one host and path.
std::uint32_t RouteTable::match_path(std::uint32_t path_routes, const RequestView& request) const {
  if (path_routes == none) return none;
  const auto& by_method = path_routes_[path_routes].by_method;
  for (const std::string_view method : {request.method(), std::string_view()}) {
    const auto found = by_method.find(method);
    if (found == by_method.end()) continue;
    const std::uint32_t route = match_headers(found->second, request);
    if (route != none) return route;
  }
  return none;
}

std::uint32_t RouteTable::match_in_host(const HostRoutes& host, const RequestView& request) const {
  if (host.root != none) {
    // Descends the tree. A match of an exact path ends the search; prefixes are collected, the longest last.
    std::array<std::uint32_t, max_path_segments + 1> prefixes;
    std::size_t prefix_count = 0;
    std::string_view rest = request.path();
    std::uint32_t index = host.root;
    while (true) {
      const PathNode& node = nodes_[index];
      if (rest.empty()) {
        const std::uint32_t route = match_path(node.exact, request);
        if (route != none) return route;
      }
      if (node.prefix != none && prefix_count < prefixes.size()) prefixes[prefix_count++] = node.prefix;
      if (rest.empty()) break;
      const std::size_t end = std::min(rest.find('/', 1), rest.size());
      const auto next = node.children.find(rest.substr(0, end));
      if (next == node.children.end()) break;
      index = next->second;
      rest.remove_prefix(end);
    }
    while (prefix_count > 0) {
      const std::uint32_t route = match_path(prefixes[--prefix_count], request);
      if (route != none) return route;
    }
  }
  return match_path(host.any_path, request);
}

std::uint32_t RouteTable::match(const RequestView& request) const {
  const std::string_view sent = normalized_host(request.host());
  std::array<char, max_host_bytes> lower_case;
  if (sent.size() <= max_host_bytes && (!exact_hosts_.empty() || !suffix_hosts_.empty())) {
    std::transform(sent.begin(), sent.end(), lower_case.begin(), lower);
    const std::string_view host(lower_case.data(), sent.size());
    const auto exact = exact_hosts_.find(host);
    if (exact != exact_hosts_.end()) {
      const std::uint32_t route = match_in_host(exact->second, request);
      if (route != none) return route;
    }
    // Looks up each suffix that begins at a dot, the longest first.
    for (std::size_t dot = host.find('.', 1); !suffix_hosts_.empty() && dot != std::string_view::npos;
         dot = host.find('.', dot + 1)) {
      const auto suffix = suffix_hosts_.find(host.substr(dot + 1));
      if (suffix == suffix_hosts_.end()) continue;
      const std::uint32_t route = match_in_host(suffix->second, request);
      if (route != none) return route;
    }
  }
  return match_in_host(any_host_, request);
}

std::size_t RouteTable::bytes() const {
  constexpr std::size_t entry = 64;  // approximate size of a hash table node
  std::size_t out = nodes_.capacity() * sizeof(PathNode) + path_routes_.capacity() * sizeof(PathRoutes) +
                    (exact_hosts_.size() + suffix_hosts_.size()) * (sizeof(HostRoutes) + entry);
  for (const PathNode& n : nodes_)
    out += n.children.size() * entry + n.children.bucket_count() * sizeof(void*);
  for (const PathRoutes& l : path_routes_) {
    for (const auto& [method, groups] : l.by_method) {
      out += entry + groups.capacity() * sizeof(HeaderGroup);
      for (const HeaderGroup& s : groups)
        out += s.buckets.size() * (entry + sizeof(Candidate) + 2 * sizeof(std::vector<int>));
    }
  }
  return out;
}

}  // namespace chutevane::route
