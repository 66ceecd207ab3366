#ifndef FLAMINGO_ADAPTERS_CODEC_H
#define FLAMINGO_ADAPTERS_CODEC_H

// Encoding of the frames between processes: a 4-byte little-endian length, then a FlatBuffers
// Envelope of that length. Messages above maxFrameBytes are not encoded. A frame is verified before
// any field of it is read, because its bytes may come from an unauthenticated connection.

#include "flamingo/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace flamingo::adapters {

constexpr std::size_t frameHeaderBytes = 4;

// Encodes a message with its length prefix. Returns nullopt and sets `reason` when the encoded
// message exceeds maxFrameBytes.
std::optional<std::string> encodeFrame(const Message &message, Reason &reason);

// Returns the length of the frame body, from the first frameHeaderBytes of `header`. It is not
// checked against maxFrameBytes; the caller does that.
std::size_t frameBodyBytes(std::string_view header);

// Decodes a frame body (without the length prefix). Returns nullopt and sets `reason` when it is
// not a valid Envelope.
std::optional<Message> decodeFrameBody(std::string_view body, Reason &reason);

// Replaces values that are not in their enumeration, for example those of a newer version, by one
// that claims nothing: Verdict::MayHaveRun, ReasonCode::Internal, KeyState::MayHaveRun. Returns
// true if there were any.
bool replaceUnknownEnumValues(Message &message);

// Returns false, with a reason, for a message with a number that is out of range: it would overflow
// in later arithmetic or hide the valid messages after it. JobSpec is checked where it is used,
// because its caller receives the reason.
bool hasValidNumbers(const Message &message, Reason &reason);

} // namespace flamingo::adapters

#endif
