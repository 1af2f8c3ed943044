/// \file
/// This machine as an environment: loopback addresses, the lab's one thread for all stand-ins, real sidecars.
#pragma once

#include "lab/environment.hpp"

namespace chutevane::lab {

struct Places {
  std::string sidecar;  // the program
  std::string folder;   // for configurations and logs; it is there
};

// A block of loopback addresses that no other lab has: 127.N.0.0, held for as long as this lives.
class AddressBlock {
 public:
  AddressBlock();  // throws std::runtime_error when none is free
  ~AddressBlock();
  AddressBlock(const AddressBlock&) = delete;
  AddressBlock& operator=(const AddressBlock&) = delete;
  sockaddr_in at(int group, std::size_t number, std::uint16_t port) const;

 private:
  int fd_ = -1, block_ = 0;
};

class Loopback final : public Environment {
 public:
  explicit Loopback(const Places& places);  // throws as AddressBlock and Scheduler do
  net::Scheduler& lab_scheduler() override { return scheduler_; }
  net::Scheduler& scheduler_at(const sockaddr_in&) override { return scheduler_; }
  sockaddr_in at(int group, std::size_t number, std::uint16_t port) const override {
    return addresses_.at(group, number, port);
  }
  std::unique_ptr<SidecarProcess> sidecar(const std::string& name, const sockaddr_in& listen) override;
  void turn() override { scheduler_.turn(); }

 private:
  Places places_;
  net::Scheduler scheduler_;
  AddressBlock addresses_;
};

}  // namespace chutevane::lab
