// The union of schema/messages.fbs and the variant Message hold the same types in the same order,
// so the variant's index + 1 is the union's type value. encodeFrame calls the generated Pack
// function of the type; decodeFrameBody takes the unpack function from a table built at compile
// time.

#include "flamingo/adapters/codec.h"

#include <array>
#include <cstring>
#include <utility>

namespace flamingo::adapters {
namespace {

constexpr std::size_t initialBufferBytes = 1024;

template <typename T>
constexpr wire::Message messageTypeOf()
{
    return wire::MessageUnionTraits<T>::enum_value;
}

template <std::size_t... I>
constexpr bool messageTypesMatch(std::index_sequence<I...>)
{
    return (
        (static_cast<std::size_t>(messageTypeOf<std::variant_alternative_t<I, Message>>()) == I + 1)
        && ...);
}

static_assert(messageTypesMatch(std::make_index_sequence<std::variant_size_v<Message>>()),
              "Message and the union in schema/messages.fbs must list the same types in order");

template <typename T>
Message unpackMessage(const wire::Envelope &envelope)
{
    T object;
    static_cast<const typename T::TableType *>(envelope.message())->UnPackTo(&object);
    return Message(std::in_place_type<T>, std::move(object));
}

using UnpackFunction = Message (*)(const wire::Envelope &);

template <std::size_t... I>
constexpr auto makeUnpackers(std::index_sequence<I...>)
{
    return std::array<UnpackFunction, sizeof...(I)>{
        &unpackMessage<std::variant_alternative_t<I, Message>>...};
}

constexpr auto unpackers = makeUnpackers(std::make_index_sequence<std::variant_size_v<Message>>());

} // namespace

std::optional<std::string> encodeFrame(const Message &message, Reason &reason)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    const auto body = std::visit(
        [&builder](const auto &object) {
            using Table = typename std::decay_t<decltype(object)>::TableType;
            return Table::Pack(builder, &object).Union();
        },
        message);
    builder.Finish(
        wire::CreateEnvelope(builder, static_cast<wire::Message>(message.index() + 1), body));
    if (builder.GetSize() > maxFrameBytes) {
        reason = {ReasonCode::InvalidInput,
                  "message of " + std::to_string(builder.GetSize())
                      + " bytes exceeds the frame limit of " + std::to_string(maxFrameBytes)
                      + " bytes"};
        return std::nullopt;
    }
    const std::uint32_t length = flatbuffers::EndianScalar(builder.GetSize());
    std::string frame(frameHeaderBytes + builder.GetSize(), '\0');
    std::memcpy(frame.data(), &length, frameHeaderBytes);
    std::memcpy(frame.data() + frameHeaderBytes, builder.GetBufferPointer(), builder.GetSize());
    return frame;
}

std::size_t frameBodyBytes(std::string_view header)
{
    std::uint32_t length = 0;
    std::memcpy(&length, header.data(), frameHeaderBytes);
    return flatbuffers::EndianScalar(length);
}

std::optional<Message> decodeFrameBody(std::string_view body, Reason &reason)
{
    // FlatBuffers reads scalars in place, which needs a buffer aligned for the largest of them.
    const std::vector<std::uint64_t> aligned = [&body] {
        std::vector<std::uint64_t> copy((body.size() + sizeof(std::uint64_t) - 1)
                                        / sizeof(std::uint64_t));
        if (!body.empty())
            std::memcpy(copy.data(), body.data(), body.size());
        return copy;
    }();
    const auto *data = reinterpret_cast<const std::uint8_t *>(aligned.data());
    flatbuffers::Verifier verifier(data, body.size());
    if (body.empty() || !wire::VerifyEnvelopeBuffer(verifier)) {
        reason = {ReasonCode::InvalidInput, "frame is not a valid Envelope"};
        return std::nullopt;
    }
    const wire::Envelope &envelope = *wire::GetEnvelope(data);
    const auto messageType = static_cast<std::size_t>(envelope.message_type());
    if (messageType == 0 || messageType > unpackers.size() || envelope.message() == nullptr) {
        reason = {ReasonCode::InvalidInput,
                  "frame has unknown message type " + std::to_string(messageType)};
        return std::nullopt;
    }
    return unpackers[messageType - 1](envelope);
}

} // namespace flamingo::adapters
