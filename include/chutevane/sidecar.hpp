/// A whole sidecar for programs that embed it: give it its configuration and turn it.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace chutevane {

/// What is wrong with which key of a configuration, under the name that its writer knows.
struct ConfigError : std::runtime_error {
  ConfigError(const std::string& k, const std::string& why) : std::runtime_error(k + ": " + why), key(k) {}
  std::string key;
};

class Sidecar {
 public:
  /// The configuration as the platform writes it, in JSON. Throws ConfigError.
  explicit Sidecar(std::string_view configuration);
  ~Sidecar();
  Sidecar(Sidecar&&) noexcept;
  Sidecar& operator=(Sidecar&&) noexcept;

  void listen();  ///< throws std::system_error
  /// Waits for something to do and does it; all of the sidecar's work is done in here, on this thread. A
  /// wait lasts no longer than a tenth of a second.
  void turn();
  /// Takes over from a new configuration what may change while it serves: where discovery is, and the bounds
  /// on callers. Throws ConfigError; nothing has changed then.
  void reconfigure(std::string_view configuration);
  void drain();                  ///< serve on for a moment, answer all that is taken, then be finished
  bool finished() const;         ///< drained
  std::string address() const;   ///< where it listens
  std::string counters() const;  ///< what it has taken in, sent and answered, as JSON

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace chutevane
