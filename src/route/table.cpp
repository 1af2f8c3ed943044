#include "route/table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace chutevane::route {
namespace {

constexpr std::size_t host_most = 255;  // bytes: no name is longer, and none that is fits a route
constexpr std::size_t segments_most =
    64;  // of a path that are looked at for prefixes: deeper ones have no routes

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

// "A.b.:80" names the same host as "a.b".
std::string_view plain_host(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.find(']') == std::string_view::npos)
    host = host.substr(0, colon);
  if (host.ends_with('.')) host.remove_suffix(1);
  return host;
}

// "/a/" is the prefix "/a", and "/" the empty one.
std::string_view plain_prefix(std::string_view path) {
  while (path.ends_with('/')) path.remove_suffix(1);
  return path;
}

bool holds(const HeaderRule& rule, const Request& request) {
  const std::optional<std::string_view> got = request.header(rule.name);
  if (!got) return false;
  switch (rule.kind) {
    case HeaderRule::Kind::exact: return *got == rule.value;
    case HeaderRule::Kind::prefix: return got->starts_with(rule.value);
    case HeaderRule::Kind::present: break;
  }
  return true;
}

bool is_suffix(const Route& r) { return r.host.starts_with("*."); }

// Larger is more precise.
auto precision(const Route& r) {
  const int host_kind = r.host.empty() ? 0 : is_suffix(r) ? 1 : 2;
  const std::size_t host_length = is_suffix(r) ? r.host.size() : 0;
  const int path_kind = static_cast<int>(r.path_kind == Route::PathKind::exact    ? 2
                                         : r.path_kind == Route::PathKind::prefix ? 1
                                                                                  : 0);
  const std::size_t path_length = r.path_kind == Route::PathKind::prefix ? plain_prefix(r.path).size() : 0;
  std::array<std::size_t, 3> kinds{};
  std::size_t prefix_length = 0;
  for (const HeaderRule& h : r.headers) {
    ++kinds[static_cast<std::size_t>(h.kind)];
    if (h.kind == HeaderRule::Kind::prefix) prefix_length += h.value.size();
  }
  return std::tuple(host_kind, host_length, path_kind, path_length, !r.method.empty(), kinds[0], kinds[1],
                    prefix_length, kinds[2]);
}

// Whether no request can fulfil the headers of both.
bool exclusive(const Route& a, const Route& b) {
  for (const HeaderRule& x : a.headers) {
    for (const HeaderRule& y : b.headers) {
      if (!same_name(x.name, y.name)) continue;
      if (x.kind == HeaderRule::Kind::present || y.kind == HeaderRule::Kind::present) continue;
      const bool x_exact = x.kind == HeaderRule::Kind::exact, y_exact = y.kind == HeaderRule::Kind::exact;
      if (x_exact && y_exact && x.value != y.value) return true;
      if (x_exact && !y_exact && !x.value.starts_with(y.value)) return true;
      if (!x_exact && y_exact && !y.value.starts_with(x.value)) return true;
      if (!x_exact && !y_exact && !x.value.starts_with(y.value) && !y.value.starts_with(x.value)) return true;
    }
  }
  return false;
}

std::uint64_t mix(std::uint64_t sum, std::string_view value) {
  return XXH3_64bits_withSeed(value.data(), value.size(), sum + 1);
}

}  // namespace

bool fits(const Route& r, const Request& request) {
  const std::string host = lowered(plain_host(request.host()));
  if (is_suffix(r)) {
    const std::string suffix = lowered(std::string_view(r.host).substr(1));  // ".b"
    if (host.size() <= suffix.size() || !std::string_view(host).ends_with(suffix)) return false;
  } else if (!r.host.empty() && host != lowered(r.host)) {
    return false;
  }
  const std::string_view path = request.path();
  if (r.path_kind == Route::PathKind::exact && path != r.path) return false;
  if (r.path_kind == Route::PathKind::prefix) {
    const std::string_view prefix = plain_prefix(r.path);
    if (!path.starts_with(prefix) || (path.size() > prefix.size() && path[prefix.size()] != '/'))
      return false;
  }
  if (!r.method.empty() && r.method != request.method()) return false;
  return std::all_of(r.headers.begin(), r.headers.end(), [&](const auto& h) { return holds(h, request); });
}

int compare_precision(const Route& a, const Route& b) {
  const auto x = precision(a), y = precision(b);
  return x > y ? -1 : x < y ? 1 : 0;
}

Table::Table(std::span<const Route> routes) {
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const Route& r = routes[i];
    Host& host = r.host.empty() ? any_host_
                 : is_suffix(r) ? suffix_hosts_[lowered(std::string_view(r.host).substr(2))]
                                : exact_hosts_[lowered(r.host)];
    put(leaves_[leaf_for(host, r)], r, static_cast<std::uint32_t>(i));
  }
  for (Leaf& leaf : leaves_) {
    for (auto& [method, shapes] : leaf.by_method) {
      for (Shape& shape : shapes) {
        for (auto& bucket : shape.buckets)
          std::stable_sort(bucket.begin(), bucket.end(),
                           [](const auto& x, const auto& y) { return x.rank > y.rank; });
      }
      std::stable_sort(shapes.begin(), shapes.end(),
                       [](const auto& x, const auto& y) { return x.names.size() > y.names.size(); });
      check_ties(routes, shapes);
    }
  }
}

// Two routes of one host, path and method that are as precise, and that one request can fit, are a tie.
void Table::check_ties(std::span<const Route> routes, const std::vector<Shape>& shapes) const {
  const auto check = [&](const std::vector<Candidate>& xs, const std::vector<Candidate>& ys) {
    for (const Candidate& x : xs) {
      for (const Candidate& y : ys) {
        if (x.route == y.route || compare_precision(routes[x.route], routes[y.route]) != 0 ||
            exclusive(routes[x.route], routes[y.route]))
          continue;
        throw TieError(std::min(x.route, y.route), std::max(x.route, y.route),
                       "fits the same requests as another route, with the same precision");
      }
    }
  };
  for (std::size_t i = 0; i < shapes.size(); ++i) {
    // Other values of the same headers never meet: each bucket is compared with itself alone.
    for (const auto& bucket : shapes[i].buckets) check(bucket, bucket);
    for (std::size_t j = i + 1; j < shapes.size() && shapes[j].names.size() == shapes[i].names.size(); ++j) {
      for (const auto& x : shapes[i].buckets) {
        for (const auto& y : shapes[j].buckets) check(x, y);
      }
    }
  }
}

std::uint32_t Table::leaf_for(Host& host, const Route& route) {
  const auto new_leaf = [&](std::uint32_t& at) {
    if (at == none) {
      at = static_cast<std::uint32_t>(leaves_.size());
      leaves_.emplace_back();
    }
    return at;
  };
  if (route.path_kind == Route::PathKind::any) return new_leaf(host.any_path);
  const auto new_node = [&] {
    nodes_.emplace_back();
    return static_cast<std::uint32_t>(nodes_.size() - 1);
  };
  if (host.root == none) host.root = new_node();
  const bool exact = route.path_kind == Route::PathKind::exact;
  std::string_view rest = exact ? std::string_view(route.path) : plain_prefix(route.path);
  std::uint32_t at = host.root;
  while (!rest.empty()) {  // each segment with the slash before it, so that "/a/" and "/a" differ
    const std::size_t end = std::min(rest.find('/', 1), rest.size());
    const std::string_view segment = rest.substr(0, end);
    const auto found = nodes_[at].children.find(segment);
    std::uint32_t next = found == nodes_[at].children.end() ? none : found->second;
    if (next == none) {
      next = new_node();
      nodes_[at].children.emplace(std::string(segment), next);
    }
    at = next;
    rest.remove_prefix(end);
  }
  return new_leaf(exact ? nodes_[at].exact : nodes_[at].prefix);
}

void Table::put(Leaf& leaf, const Route& route, std::uint32_t place) {
  Candidate candidate;
  candidate.route = place;
  std::map<std::string, std::string> exact;
  for (const HeaderRule& h : route.headers) {
    if (h.kind == HeaderRule::Kind::exact && exact.emplace(lowered(h.name), h.value).second) continue;
    candidate.others.push_back(h);
    candidate.rank[0] += h.kind == HeaderRule::Kind::prefix ? 1U : 0U;
    candidate.rank[1] += h.kind == HeaderRule::Kind::prefix ? h.value.size() : 0U;
    candidate.rank[2] += h.kind == HeaderRule::Kind::present ? 1U : 0U;
  }
  std::vector<std::string> names, values;
  std::uint64_t sum = 0;
  for (const auto& [name, value] : exact) {
    names.push_back(name);
    values.push_back(value);
    sum = mix(sum, value);
  }
  std::vector<Shape>& shapes = leaf.by_method[route.method];
  auto shape = std::find_if(shapes.begin(), shapes.end(), [&](const auto& s) { return s.names == names; });
  if (shape == shapes.end()) shape = shapes.insert(shapes.end(), Shape{names, {}, {}, {}});
  const auto [from, to] = shape->by_values.equal_range(sum);
  const auto same =
      std::find_if(from, to, [&](const auto& one) { return shape->values[one.second] == values; });
  std::uint32_t bucket = static_cast<std::uint32_t>(shape->buckets.size());
  if (same != to) {
    bucket = same->second;
  } else {
    shape->by_values.emplace(sum, bucket);
    shape->buckets.emplace_back();
    shape->values.push_back(values);
  }
  shape->buckets[bucket].push_back(std::move(candidate));
}

std::uint32_t Table::in_shapes(const std::vector<Shape>& shapes, const Request& request) const {
  const Candidate* best = nullptr;
  std::size_t exact_of_best = 0;
  for (const Shape& shape : shapes) {
    if (best != nullptr && shape.names.size() < exact_of_best) break;
    std::uint64_t sum = 0;
    bool all = true;
    for (const std::string& name : shape.names) {
      const std::optional<std::string_view> value = request.header(name);
      all = all && value.has_value();
      if (!all) break;
      sum = mix(sum, *value);
    }
    if (!all) continue;
    const auto [from, to] = shape.by_values.equal_range(sum);
    for (auto it = from; it != to; ++it) {
      const std::vector<std::string>& values = shape.values[it->second];
      bool same = true;  // guards against two lists of values with one hash
      for (std::size_t i = 0; same && i < values.size(); ++i)
        same = request.header(shape.names[i]) == values[i];
      if (!same) continue;
      const auto& bucket = shape.buckets[it->second];
      const auto first = std::find_if(bucket.begin(), bucket.end(), [&](const Candidate& c) {
        return std::all_of(c.others.begin(), c.others.end(),
                           [&](const auto& h) { return holds(h, request); });
      });
      if (first == bucket.end() || (best != nullptr && best->rank >= first->rank)) continue;
      best = &*first;
      exact_of_best = shape.names.size();
    }
  }
  return best == nullptr ? none : best->route;
}

std::uint32_t Table::in_leaf(std::uint32_t leaf, const Request& request) const {
  if (leaf == none) return none;
  const auto& by_method = leaves_[leaf].by_method;
  for (const std::string_view method : {request.method(), std::string_view()}) {
    const auto found = by_method.find(method);
    if (found == by_method.end()) continue;
    const std::uint32_t route = in_shapes(found->second, request);
    if (route != none) return route;
  }
  return none;
}

std::uint32_t Table::in_host(const Host& host, const Request& request) const {
  if (host.root != none) {
    std::array<std::uint32_t, segments_most + 1> prefixes;
    std::size_t count = 0;
    std::string_view rest = request.path();
    std::uint32_t at = host.root;
    while (true) {
      const Node& node = nodes_[at];
      if (rest.empty()) {
        const std::uint32_t route = in_leaf(node.exact, request);
        if (route != none) return route;
      }
      if (node.prefix != none && count < prefixes.size()) prefixes[count++] = node.prefix;
      if (rest.empty()) break;
      const std::size_t end = std::min(rest.find('/', 1), rest.size());
      const auto next = node.children.find(rest.substr(0, end));
      if (next == node.children.end()) break;
      at = next->second;
      rest.remove_prefix(end);
    }
    while (count > 0) {
      const std::uint32_t route = in_leaf(prefixes[--count], request);
      if (route != none) return route;
    }
  }
  return in_leaf(host.any_path, request);
}

std::uint32_t Table::choose(const Request& request) const {
  const std::string_view sent = plain_host(request.host());
  std::array<char, host_most> room;
  if (sent.size() <= host_most && (!exact_hosts_.empty() || !suffix_hosts_.empty())) {
    std::transform(sent.begin(), sent.end(), room.begin(), lower);
    const std::string_view host(room.data(), sent.size());
    const auto exact = exact_hosts_.find(host);
    if (exact != exact_hosts_.end()) {
      const std::uint32_t route = in_host(exact->second, request);
      if (route != none) return route;
    }
    // Each suffix at a dot, the longest first.
    for (std::size_t dot = host.find('.', 1); !suffix_hosts_.empty() && dot != std::string_view::npos;
         dot = host.find('.', dot + 1)) {
      const auto suffix = suffix_hosts_.find(host.substr(dot + 1));
      if (suffix == suffix_hosts_.end()) continue;
      const std::uint32_t route = in_host(suffix->second, request);
      if (route != none) return route;
    }
  }
  return in_host(any_host_, request);
}

std::size_t Table::bytes() const {
  constexpr std::size_t entry = 64;  // of a hash table's node, about
  std::size_t out = nodes_.capacity() * sizeof(Node) + leaves_.capacity() * sizeof(Leaf) +
                    (exact_hosts_.size() + suffix_hosts_.size()) * (sizeof(Host) + entry);
  for (const Node& n : nodes_) out += n.children.size() * entry + n.children.bucket_count() * sizeof(void*);
  for (const Leaf& l : leaves_) {
    for (const auto& [method, shapes] : l.by_method) {
      out += entry + shapes.capacity() * sizeof(Shape);
      for (const Shape& s : shapes)
        out += s.buckets.size() * (entry + sizeof(Candidate) + 2 * sizeof(std::vector<int>));
    }
  }
  return out;
}

}  // namespace chutevane::route
