/// Records of the endpoint list, which has the backends that the platform lists (common/endpoint_table.hpp).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/avro.hpp"

namespace chutevane::common {

/// An endpoint as the platform lists it: one backend of a service.
struct EndpointEntry {
  static constexpr const char* record = "Listed";
  static constexpr std::uint8_t kind = 19;
  std::string id;                  ///< id of the endpoint, unique in the system
  std::string service;             ///< name of the service that it belongs to
  std::string address;             ///< `ADDRESS:PORT` of its HTTP port
  std::string zone;                ///< failure domain
  std::int64_t capacity = 0;       ///< as stated by the platform; 0 if not stated
  bool draining = false;           ///< it must receive no new requests
  std::int64_t slow_start_ms = 0;  ///< remaining slow start in milliseconds; 0 once it has ended
  template <class Visitor>
  void each(Visitor& v) {
    v("id", id);
    v("service", service);
    v("address", address);
    v("zone", zone);
    v("capacity", capacity);
    v("draining", draining);
    v("cold_ms", slow_start_ms);
  }
  bool operator==(const EndpointEntry&) const = default;
};

/// A change of the endpoint list from number `base` to `number`, or the complete list if `base` is 0. Sent by
/// the holder of the list's role to the other control sidecars, and by these on each session.
struct EndpointList {
  static constexpr const char* record = "Endpoint_list";
  static constexpr std::uint8_t kind = 20;
  std::int64_t term = 0;                 ///< term of the lease under which it was read
  std::int64_t number = 0;               ///< number of the resulting list, starting at 1 in each term
  std::int64_t base = 0;                 ///< number that the change applies to; 0 if the list is complete
  std::vector<EndpointEntry> entries;    ///< added or changed endpoints; all if the list is complete
  std::vector<std::string> removed_ids;  ///< ids of endpoints that are no longer listed
  template <class Visitor>
  void each(Visitor& v) {
    v("term", term);
    v("number", number);
    v("base", base);
    v("entries", entries);
    v("gone", removed_ids);
  }
};

}  // namespace chutevane::common
