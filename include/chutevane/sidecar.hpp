/// A complete sidecar, for programs that embed one.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace chutevane {

/// An invalid configuration value. `key` is the key as it is spelled in the configuration.
struct ConfigError : std::runtime_error {
  ConfigError(const std::string& k, const std::string& why) : std::runtime_error(k + ": " + why), key(k) {}
  std::string key;
};

/// Construct, then listen(), then call turn() until finished(). An instance is used by one thread.
class Sidecar {
 public:
  /// `configuration` is JSON in the platform's format. Throws ConfigError.
  explicit Sidecar(std::string_view configuration);
  ~Sidecar();
  Sidecar(Sidecar&&) noexcept;
  Sidecar& operator=(Sidecar&&) noexcept;

  void listen();  ///< Opens the listening socket. Throws std::system_error.
  /// Runs one iteration of the event loop on the calling thread: waits for events, for no longer than a
  /// tenth of a second, and handles them. All of the sidecar's work is done here.
  void turn();
  /// Applies the settings that can change at run time: the address of discovery, and the limits on clients.
  /// Throws ConfigError, in which case nothing has changed.
  void reconfigure(std::string_view configuration);
  void drain();  ///< Begins a graceful shutdown: accepts calls for a moment longer, then completes them all.
  bool finished() const;         ///< Returns true if the drain is complete.
  std::string address() const;   ///< Returns the address that the sidecar listens on.
  std::string counters() const;  ///< Returns the counters of calls, dispatches and responses as JSON.

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace chutevane
