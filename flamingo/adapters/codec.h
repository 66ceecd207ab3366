#ifndef FLAMINGO_ADAPTERS_CODEC_H
#define FLAMINGO_ADAPTERS_CODEC_H

// Frames between processes: a 4-byte little-endian length, then a FlatBuffers Envelope of that
// length. Frames above maxFrameBytes are refused. A frame is verified before anything in it is
// read, so bytes from a stranger cannot do more than be refused.

#include "flamingo/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace flamingo::adapters {

constexpr std::size_t frameHeaderBytes = 4;

// Encodes a message with its length prefix; nullopt with a reason when it exceeds maxFrameBytes.
std::optional<std::string> encodeFrame(const Message &message, Reason &reason);

// Length of the frame body announced by the first frameHeaderBytes of `header`.
std::size_t frameBodyBytes(std::string_view header);

// Decodes a frame body (without the length prefix).
std::optional<Message> decodeFrameBody(std::string_view body, Reason &reason);

} // namespace flamingo::adapters

#endif
