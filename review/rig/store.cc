#include "review/rig/store.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t maxReadBytes = 1048576;
constexpr std::size_t maxItems = 500;
constexpr std::size_t keptAnswers = 5;
constexpr int appendMs = 4;
constexpr std::size_t maxRecordBytes = 262144;
constexpr std::size_t maxCallBytes = 2097152;

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string result;
    for (int i = bytes - 1; i >= 0; --i)
        result += static_cast<char>(value >> (8 * i) & 0xff);
    return result;
}

std::string base64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            result += i + k <= text.size() ? digits[bits >> (18 - 6 * k) & 63] : '=';
    }
    return result;
}

std::string parameter(const Request &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

std::uint64_t number(const Request &request, const std::string &name)
{
    return std::strtoull(parameter(request, name).c_str(), nullptr, 10);
}

} // namespace

Store::Store(const std::string &ip, int port)
{
    this->server = std::make_unique<Server>(
        ip, port, [this](const Request &request) { return this->handle(request); });
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Topic &written = this->topics[topic];
    written.newest[key] = written.records.size();
    written.records.push_back({key, value});
    this->changed.notify_all();
}

Response Store::handle(const Request &request)
{
    if (this->down)
        return {503, "{}"};
    Response response = {404, "{}"};
    if (request.path == "/api/log-append")
        response = this->append(request);
    else if (request.path == "/api/log-read")
        response = this->read(request);
    else if (request.path == "/api/log-newest")
        response = this->newest(request);
    sleepMs(this->delayMs);
    return response;
}

Response Store::append(const Request &request)
{
    const std::lock_guard<std::mutex> turn(this->appendMutex);
    sleepMs(appendMs);
    const std::lock_guard<std::mutex> lock(this->mutex);
    Topic &topic = this->topics[parameter(request, "Topic")];
    const std::string name = parameter(request, "Producer");
    const std::uint64_t epoch = number(request, "epoch");
    const auto sequence = static_cast<std::int64_t>(number(request, "Sequence"));
    if (request.body.size() > maxCallBytes)
        return {400, "{}"};
    if (!name.empty()) {
        Producer &producer = topic.producers[name];
        if (epoch < producer.epoch)
            return {409, Json{{"Reason", "fenced"}}.dump()};
        if (epoch > producer.epoch) {
            producer = Producer();
            producer.epoch = epoch;
        } else {
            for (const auto &[answered, answer] : producer.answers) {
                if (answered == sequence)
                    return {200, answer};
            }
            if (sequence != producer.lastSequence + 1)
                return {409,
                        Json{{"Reason", "seq"}, {"Sequence", producer.lastSequence + 1}}.dump()};
        }
    }
    std::vector<Stored> records;
    std::size_t position = 0;
    while (position + lengthBytes < request.body.size()) {
        std::size_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            length = length << 8 | static_cast<unsigned char>(request.body[position + i]);
        if (length > maxRecordBytes)
            return {400, "{}"};
        const std::string content = request.body.substr(position + lengthBytes, length);
        const std::size_t keyLength = static_cast<unsigned char>(content[0]);
        records.push_back({content.substr(1, keyLength), content.substr(1 + keyLength)});
        position += lengthBytes + length;
    }
    const std::size_t offset = topic.records.size();
    for (const Stored &record : records) {
        if (record.value.empty())
            topic.newest.erase(record.key);
        else
            topic.newest[record.key] = topic.records.size();
        topic.records.push_back(record);
    }
    std::string answer = Json{{"Offset", offset}, {"End", topic.records.size()}}.dump();
    if (!name.empty()) {
        Producer &producer = topic.producers[name];
        producer.lastSequence = sequence;
        producer.answers.emplace_back(sequence, answer);
        if (producer.answers.size() > keptAnswers)
            producer.answers.pop_front();
    }
    this->changed.notify_all();
    return {200, answer};
}

Response Store::read(const Request &request)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    Topic &topic = this->topics[parameter(request, "Topic")];
    const std::uint64_t from = number(request, "From");
    this->changed.wait_for(lock, std::chrono::milliseconds(number(request, "WaitMs")),
                           [&] { return topic.records.size() > from || this->down; });
    if (this->down)
        return {503, "{}"};
    std::string body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < topic.records.size(); ++i) {
        const Stored &record = topic.records[i];
        const std::string content =
            static_cast<char>(record.key.size()) + record.key + record.value;
        if (body.size() + content.size() > maxReadBytes)
            break;
        body += bigEndian(content.size(), lengthBytes) + content;
    }
    return {200, body, "application/octet-stream"};
}

Response Store::newest(const Request &request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const Topic &topic = this->topics[parameter(request, "Topic")];
    Json items = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (auto item = topic.newest.upper_bound(parameter(request, "After"));
         item != topic.newest.end(); ++item) {
        const Stored &record = topic.records[item->second];
        if (items.size() == maxItems || bytes + record.value.size() > maxReadBytes) {
            more = true;
            break;
        }
        bytes += record.value.size();
        items.push_back(
            {{"Key", record.key}, {"Value", base64(record.value)}, {"Offset", item->second}});
    }
    return {200, Json{{"items", items}, {"HasMore", more}, {"End", topic.records.size()}}.dump()};
}

} // namespace review
