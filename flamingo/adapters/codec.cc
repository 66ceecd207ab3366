// The union of schema/messages.fbs and the variant Message hold the same types in the same order,
// so the variant's index + 1 is the union's type value. encodeFrame calls the generated Pack
// function of the type; decodeFrameBody takes the unpack function from a table built at compile
// time.

#include "flamingo/adapters/codec.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace flamingo::adapters {
namespace {

constexpr std::size_t initialBufferBytes = 1024;
constexpr std::uint64_t maxSequence = 1ULL << 53U;
constexpr std::uint64_t maxAmount = 1ULL << 30U; // sums of two fit into std::int32_t

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

// ---- Checks of values ----

template <typename T, typename = void>
struct HasVerdict : std::false_type
{
};
template <typename T>
struct HasVerdict<T, std::void_t<decltype(T::verdict)>> : std::true_type
{
};
template <typename T, typename = void>
struct HasReason : std::false_type
{
};
template <typename T>
struct HasReason<T, std::void_t<decltype(T::reason)>> : std::true_type
{
};

template <typename Enum>
bool replaceUnknown(Enum &value, Enum replacement)
{
    if (value <= Enum::MAX)
        return false;
    value = replacement;
    return true;
}

template <typename T>
bool replaceUnknownInTable(T &table)
{
    bool replaced = false;
    if constexpr (HasVerdict<T>::value)
        replaced = replaceUnknown(table.verdict, Verdict::MayHaveRun) || replaced;
    if constexpr (HasReason<T>::value)
        replaced = replaceUnknown(table.reason, ReasonCode::Internal) || replaced;
    if constexpr (std::is_same_v<T, BeginReply> || std::is_same_v<T, KeyReply>)
        replaced = replaceUnknown(table.state, KeyState::MayHaveRun) || replaced;
    if constexpr (std::is_same_v<T, WitnessReply>) {
        for (auto &key : table.keys)
            replaced = replaceUnknownInTable(key) || replaced;
    }
    return replaced;
}

bool atMost(const char *field, std::uint64_t value, std::uint64_t max, Reason &reason)
{
    if (value <= max)
        return true;
    reason = {ReasonCode::InvalidInput,
              std::string(field) + " " + std::to_string(value) + " is above "
                  + std::to_string(max)};
    return false;
}

bool hasValidReportNumbers(const Report &report, Reason &reason)
{
    const bool valid = atMost("incarnation", report.incarnation, maxIncarnation, reason)
        && atMost("sequence", report.sequence, maxSequence, reason)
        && atMost("accelerators", report.accelerators, maxAcceleratorsPerWorker, reason)
        && atMost("slots", report.slots, maxAmount, reason)
        && atMost("cores", report.cores, maxAmount, reason)
        && atMost("memoryMib", report.memoryMib, maxAmount, reason)
        && atMost("freeSlots", report.freeSlots, maxAmount, reason)
        && atMost("freeCores", report.freeCores, maxAmount, reason)
        && atMost("freeMemoryMib", report.freeMemoryMib, maxAmount, reason)
        && atMost("tableVersion", report.tableVersion, maxSequence, reason);
    return valid
        && std::all_of(report.tasks.begin(), report.tasks.end(), [&reason](const auto &task) {
               return atMost("accelerators of a task", task.accelerators, maxAcceleratorsPerWorker,
                             reason);
           });
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

bool replaceUnknownEnumValues(Message &message)
{
    return std::visit([](auto &table) { return replaceUnknownInTable(table); }, message);
}

bool hasValidNumbers(const Message &message, Reason &reason)
{
    if (const auto *report = std::get_if<Report>(&message))
        return hasValidReportNumbers(*report, reason);
    if (const auto *witness = std::get_if<Witness>(&message))
        return atMost("epoch", witness->epoch, maxLogOffset, reason);
    return true;
}

} // namespace flamingo::adapters
