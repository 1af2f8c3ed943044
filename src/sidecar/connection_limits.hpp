/// Sizes that the downstream and the upstream connections share.
#pragma once

#include <cstddef>

#include "http/parser.hpp"

namespace chutevane::sidecar {

/// What a message may have at most, either way. Bodies over max_buffered_body() are streamed (body_pipe.hpp).
constexpr http::Limits message_limits{.head = 16 * 1024, .body = 32U << 20U, .fields = 100};  // bytes
/// Bytes of a streamed body that are read or written in one go: bounds the time that one connection takes of
/// a turn of the scheduler.
constexpr std::size_t max_piece_bytes = 16 * 1024;
/// Bytes of its buffer that a connection keeps while it is idle.
constexpr std::size_t idle_buffer_bytes = 8 * 1024;

}  // namespace chutevane::sidecar
