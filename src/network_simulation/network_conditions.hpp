/// \file
/// How good the simulated network and the simulated schedulers are: delays, losses and buffer sizes. Every
/// value of kind `..._probability` is between 0 and 1.
#pragma once

#include <cstddef>

#include "chutevane/types.hpp"

namespace chutevane::network_simulation {

/// Parameters of the random behaviour of links, connections and processes.
struct NetworkConditions {
  /// One-way delay of a link: the minimum plus an exponentially distributed rest.
  Span min_delay = Span::us(40), mean_delay = Span::us(120);
  /// A segment is split at a random place.
  double split_probability = 0.05;
  /// A segment arrives `retransmit_delay` late, as after a loss.
  double retransmit_probability = 0.0;
  Span retransmit_delay = Span::ms(200);
  /// A connect to a remote process is lost; the kernel tries again after 1 s, 2 s and 4 s.
  double connect_loss_probability = 0.0;
  /// A reset discards what the receiver has not read yet.
  double unread_discard_probability = 0.5;
  /// Bytes; the range of the sizes of the receive and the send buffer of a connection.
  std::size_t min_buffer_size = 64 * 1024, max_buffer_size = 256 * 1024;
  /// Upper bound of the time between two turns of a process.
  Span max_turn_delay = Span::us(60);
  /// A turn is late by up to `max_late_turn_delay` more, as on a busy machine.
  double late_turn_probability = 0.0;
  Span max_late_turn_delay = Span::ms(20);
};

}  // namespace chutevane::network_simulation
