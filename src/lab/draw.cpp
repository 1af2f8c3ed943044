#include "lab/draw.hpp"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <cmath>

namespace chutevane::lab {
namespace {

// FNV-1a, 64 bits: names of streams to numbers, the same on every machine.
std::uint64_t hash_of(std::string_view text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return h;
}

}  // namespace

Chance::Chance(std::uint64_t seed, std::string_view stream)
    : pcg_(seed * 0x9e3779b97f4a7c15ULL ^ hash_of(stream)) {}

double Chance::draw(const Distribution& from) {
  if (from.mean <= 0.0) return 0.0;
  switch (from.kind) {
    case Distribution::Kind::fixed: return from.mean;
    case Distribution::Kind::exponential:
      return boost::random::exponential_distribution<double>(1.0 / from.mean)(*this);
    case Distribution::Kind::lognormal:  // the mean of the values is `mean`, whatever the spread
      return boost::random::lognormal_distribution<double>(
          std::log(from.mean) - from.spread * from.spread / 2.0, from.spread)(*this);
    case Distribution::Kind::pareto: {
      const double least = from.mean * (from.spread - 1.0) / from.spread;
      return least / std::pow(1.0 - unit(), 1.0 / from.spread);
    }
  }
  return from.mean;
}

}  // namespace chutevane::lab
