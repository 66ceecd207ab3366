// A read with `WaitMs` polls the topic at a fixed interval until there is a record to return; this
// is cheap enough, because a test has only a handful of readers. Records are encoded as the
// platform does it: a 4-byte big-endian length, one byte with the length of the key, the key, the
// value.

#include "standin/keyed_store.h"

#include "flamingo/adapters/http_status.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingo::standin {
namespace {

using adapters::HttpRequest;
using Json = nlohmann::json;

constexpr TimeMs pollIntervalMs = 5;
constexpr int bitsPerByte = 8;
constexpr std::size_t maxListedRecords = 500;

std::string queryParameter(const HttpRequest &request, std::string_view name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

std::uint64_t queryNumber(const HttpRequest &request, std::string_view name)
{
    return std::strtoull(queryParameter(request, name).c_str(), nullptr, 10);
}

std::string encodeBigEndian(std::uint64_t value, int bytes)
{
    std::string result;
    for (int i = bytes - 1; i >= 0; --i)
        result += static_cast<char>(value >> (bitsPerByte * i) & 0xff);
    return result;
}

std::uint64_t decodeBigEndian(std::string_view bytes)
{
    std::uint64_t result = 0;
    for (const char byte : bytes)
        result = result << bitsPerByte | static_cast<unsigned char>(byte);
    return result;
}

// Returns the keys and values of an append; nullopt when a length exceeds the bytes that follow.
std::optional<std::vector<std::pair<std::string, std::string>>>
decodeRecords(std::string_view remaining)
{
    std::vector<std::pair<std::string, std::string>> records;
    while (remaining.size() > 4) {
        const std::uint64_t size = decodeBigEndian(remaining.substr(0, 4));
        remaining.remove_prefix(4);
        if (size == 0 || size > remaining.size())
            return std::nullopt;
        const std::string_view content = remaining.substr(0, size);
        const auto keySize = static_cast<unsigned char>(content.front());
        if (1 + std::uint64_t{keySize} > size)
            return std::nullopt;
        records.emplace_back(content.substr(1, keySize), content.substr(1 + keySize));
        remaining.remove_prefix(size);
    }
    return records;
}

} // namespace

std::unique_ptr<KeyedStore> KeyedStore::listen(adapters::Loop &loop, const std::string &address,
                                               Reason &reason)
{
    std::unique_ptr<KeyedStore> store(new KeyedStore(loop));
    return store->listenOn(address, nullptr, reason) ? std::move(store) : nullptr;
}

bool KeyedStore::listenOn(const std::string &address, Transform transform, Reason &reason)
{
    Listener &listener = this->listeners.emplace_back();
    listener.transform = std::move(transform);
    adapters::HttpServerOptions options;
    options.address = address;
    listener.server = adapters::HttpServer::listen(
        this->loop, options,
        [this, &listener](const HttpRequest &request) { this->handle(listener, request); }, nullptr,
        reason);
    return listener.server != nullptr;
}

void KeyedStore::appendUnfenced(const std::string &topic, const std::string &key,
                                const std::string &value)
{
    this->topics[topic].records.push_back({key, value});
}

void KeyedStore::compact(const std::string &topic)
{
    this->topics[topic].firstOffset = this->topics[topic].records.size();
}

void KeyedStore::handle(const Listener &listener, const HttpRequest &request)
{
    if (this->unavailable)
        listener.server->respond(request.id,
                                 {adapters::statusServiceUnavailable, R"({"Error":"busy"})"});
    else if (request.path == "/api/log-append")
        this->append(listener, request);
    else if (request.path == "/api/log-read")
        this->read(listener, request, static_cast<TimeMs>(queryNumber(request, "WaitMs")));
    else if (request.path == "/api/log-newest")
        this->listNewest(listener, request);
    else
        listener.server->respond(request.id, {adapters::statusNotFound, "{}"});
}

void KeyedStore::append(const Listener &listener, const HttpRequest &request)
{
    Topic &topic = this->topics[queryParameter(request, "Topic")];
    const bool fenced = !queryParameter(request, "Producer").empty();
    const std::uint64_t epoch = queryNumber(request, "epoch");
    const std::uint64_t sequence = queryNumber(request, "Sequence");
    if (fenced && epoch < topic.epoch) {
        listener.server->respond(request.id, {adapters::statusConflict, R"({"Reason":"fenced"})"});
        return;
    }
    const auto records = decodeRecords(request.body);
    if (!records) {
        listener.server->respond(request.id,
                                 {adapters::statusBadRequest, R"({"Error":"invalid frames"})"});
        return;
    }
    if (fenced && epoch > topic.epoch) {
        topic.epoch = epoch;
        topic.lastSequence.reset();
    }
    const bool empty = request.body.empty();
    if (fenced && !empty && topic.lastSequence == sequence) {
        listener.server->respond(request.id, {adapters::statusOk, topic.lastResponse});
        return;
    }
    if (fenced && !empty && topic.lastSequence && sequence != *topic.lastSequence + 1) {
        const Json body = {{"Reason", "seq"}, {"Sequence", *topic.lastSequence + 1}};
        listener.server->respond(request.id, {adapters::statusConflict, body.dump()});
        return;
    }
    if (fenced && !empty)
        topic.lastSequence = sequence;
    const std::uint64_t appendedAt = topic.records.size();
    for (const auto &[key, value] : *records)
        topic.records.push_back({key, value});
    topic.lastResponse = Json{{"Offset", appendedAt}, {"End", topic.records.size()}}.dump();
    listener.server->respond(request.id, {adapters::statusOk, topic.lastResponse});
}

void KeyedStore::read(const Listener &listener, const HttpRequest &request, TimeMs waitMs)
{
    if (this->unavailable) {
        listener.server->respond(request.id,
                                 {adapters::statusServiceUnavailable, R"({"Error":"busy"})"});
        return;
    }
    const Topic &topic = this->topics[queryParameter(request, "Topic")];
    const std::uint64_t from = queryNumber(request, "From");
    if (from < topic.firstOffset) {
        listener.server->respond(request.id,
                                 {adapters::statusGone, Json{{"First", topic.firstOffset}}.dump()});
        return;
    }
    if (from >= topic.records.size() && waitMs > 0) {
        this->loop.after(std::min(waitMs, pollIntervalMs), [this, &listener, request, waitMs] {
            this->read(listener, request, waitMs - pollIntervalMs);
        });
        return;
    }
    std::string body =
        encodeBigEndian(topic.records.size(), 8) + encodeBigEndian(topic.firstOffset, 8);
    for (std::uint64_t i = from; i < topic.records.size(); ++i) {
        const StoredRecord &record = topic.records[i];
        const std::string value =
            listener.transform ? listener.transform(record.value) : record.value;
        body += encodeBigEndian(1 + record.key.size() + value.size(), 4)
            + encodeBigEndian(record.key.size(), 1) + record.key + value;
    }
    listener.server->respond(request.id, {adapters::statusOk, body});
}

void KeyedStore::listNewest(const Listener &listener, const HttpRequest &request)
{
    const Topic &topic = this->topics[queryParameter(request, "Topic")];
    std::map<std::string, std::uint64_t> newestOffsets;
    for (std::uint64_t i = 0; i < topic.records.size(); ++i)
        newestOffsets[topic.records[i].key] = i;
    Json items = Json::array();
    bool more = false;
    for (const auto &[key, offset] : newestOffsets) {
        const std::string &stored = topic.records[offset].value;
        const std::string value = listener.transform ? listener.transform(stored) : stored;
        if (key <= queryParameter(request, "After") || value.empty())
            continue;
        more = items.size() == maxListedRecords;
        if (more)
            break;
        items.push_back({{"Key", key}, {"Value", absl::Base64Escape(value)}, {"Offset", offset}});
    }
    const Json body = {{"items", items}, {"HasMore", more}, {"End", topic.records.size()}};
    listener.server->respond(request.id, {adapters::statusOk, body.dump()});
}

} // namespace flamingo::standin
