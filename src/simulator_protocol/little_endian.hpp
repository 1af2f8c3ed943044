/// Little-endian numbers of the simulator protocol, on any host. Callers check bounds.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <type_traits>

#include "chutevane/types.hpp"

namespace chutevane::simulator_protocol {

inline constexpr std::size_t endpoint_id_size = 6;  // 4 bytes and 2 bytes, each little-endian

/// Reads a T at `from`. A floating-point NaN becomes 0, and other floating-point numbers are limited to a
/// magnitude of 10^12, which a Span can hold in milliseconds.
template <class T>
T read_number(const std::uint8_t* from) {
  if constexpr (std::is_floating_point_v<T>) {
    using Bits = std::conditional_t<sizeof(T) == 8, std::uint64_t, std::uint32_t>;
    const Bits bits = read_number<Bits>(from);
    T value;
    std::memcpy(&value, &bits, sizeof value);
    return std::isnan(value) ? T{0} : std::clamp(value, T{-1e12F}, T{1e12F});
  } else {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value |= std::uint64_t{from[i]} << (8 * i);
    return static_cast<T>(value);
  }
}

/// Writes `value` at `to`, in sizeof(T) bytes.
template <class T>
void write_number(std::uint8_t* to, T value) {
  std::uint64_t bits = 0;
  if constexpr (std::is_floating_point_v<T>) {
    std::memcpy(&bits, &value, sizeof value);
  } else {
    bits = static_cast<std::uint64_t>(value);
  }
  for (std::size_t i = 0; i < sizeof(T); ++i) to[i] = static_cast<std::uint8_t>(bits >> (8 * i));
}

inline EndpointId read_endpoint_id(const std::uint8_t* from) {
  return std::uint64_t{read_number<std::uint32_t>(from)} |
         (std::uint64_t{read_number<std::uint16_t>(from + 4)} << 32U);
}

inline void write_endpoint_id(std::uint8_t* to, EndpointId id) {
  write_number(to, static_cast<std::uint32_t>(id));
  write_number(to + 4, static_cast<std::uint16_t>(id >> 32U));
}

}  // namespace chutevane::simulator_protocol
