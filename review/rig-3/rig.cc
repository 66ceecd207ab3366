#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace rig {
namespace {

const auto began = std::chrono::steady_clock::now();
std::mutex recordMutex;
std::ofstream recordFile;

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// Splits the head of a message into its first line and its headers.
std::string parseHead(const std::string &head, std::map<std::string, std::string> &headers)
{
    std::size_t line = head.find("\r\n");
    std::string first = head.substr(0, line);
    while (line != std::string::npos && line + 2 < head.size()) {
        const std::size_t next = head.find("\r\n", line + 2);
        const std::string text = head.substr(line + 2, next - line - 2);
        const std::size_t colon = text.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < text.size() && text[value] == ' ')
                ++value;
            headers[lower(text.substr(0, colon))] = text.substr(value);
        }
        line = next;
    }
    return first;
}

// nullopt while the last chunk has not arrived.
std::optional<std::string> decodeChunks(const std::string &text)
{
    std::string result;
    std::size_t at = 0;
    for (;;) {
        const std::size_t line = text.find("\r\n", at);
        if (line == std::string::npos)
            return std::nullopt;
        const std::size_t length = std::strtoull(text.substr(at, line - at).c_str(), nullptr, 16);
        if (line + 2 + length + 2 > text.size())
            return std::nullopt;
        if (length == 0)
            return result;
        result += text.substr(line + 2, length);
        at = line + 2 + length + 2;
    }
}

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string result;
    for (int i = bytes - 1; i >= 0; --i)
        result += static_cast<char>(value >> (8 * i) & 0xff);
    return result;
}

std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value =
                value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (int j = 0; j < 4; ++j)
            result += i + static_cast<std::size_t>(j) > bytes.size()
                ? '='
                : digits[value >> (18 - 6 * j) & 63];
    }
    return result;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - began)
        .count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void openRecord(const std::string &path)
{
    // Ends with the script that started it, and before 120 s are over.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    alarm(112);
    recordFile.open(path, std::ios::trunc);
}

void record(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(recordMutex);
    recordFile << nowMs() << " " << line << "\n" << std::flush;
}

Server::Server(const std::string &ip, int port, Handler handler)
    : handler(std::move(handler))
{
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enable = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    const sockaddr_in address = addressOf(ip, port);
    if (bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(this->listener, 512) != 0)
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    this->thread = std::thread([this] {
        while (!this->closed) {
            pollfd waiting = {this->listener, POLLIN, 0};
            if (poll(&waiting, 1, 100) <= 0)
                continue;
            const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->open.insert(fd);
            }
            std::thread([this, fd] { this->serve(fd); }).detach();
        }
    });
}

Server::~Server()
{
    this->close();
}

void Server::close()
{
    if (this->closed.exchange(true))
        return;
    this->thread.join();
    ::close(this->listener);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const int fd : this->open)
            shutdown(fd, SHUT_RDWR);
    }
    for (int i = 0; i < 300; ++i) {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->open.empty())
                return;
        }
        sleepMs(10);
    }
}

void Server::serve(int fd)
{
    std::string input;
    char buffer[65536];
    bool usable = true;
    while (usable && !this->closed) {
        std::size_t headEnd = 0;
        while ((headEnd = input.find("\r\n\r\n")) == std::string::npos) {
            const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
            if (count <= 0) {
                usable = false;
                break;
            }
            input.append(buffer, static_cast<std::size_t>(count));
        }
        if (!usable)
            break;
        Request request;
        const std::string first = parseHead(input.substr(0, headEnd), request.headers);
        const std::size_t length =
            std::strtoull(request.headers["content-length"].c_str(), nullptr, 10);
        while (input.size() < headEnd + 4 + length) {
            const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
            if (count <= 0) {
                usable = false;
                break;
            }
            input.append(buffer, static_cast<std::size_t>(count));
        }
        if (!usable)
            break;
        request.body = input.substr(headEnd + 4, length);
        input.erase(0, headEnd + 4 + length);
        const std::size_t space = first.find(' ');
        request.method = first.substr(0, space);
        request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
        const std::size_t mark = request.target.find('?');
        request.path = request.target.substr(0, mark);
        std::string query = mark == std::string::npos ? "" : request.target.substr(mark + 1);
        while (!query.empty()) {
            const std::size_t end = query.find('&');
            const std::string pair = query.substr(0, end);
            const std::size_t equals = pair.find('=');
            if (equals != std::string::npos)
                request.query[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
            query = end == std::string::npos ? "" : query.substr(end + 1);
        }
        const Response response = this->handler(request);
        if (response.silent) {
            // The connection returns nothing further; its other end closes it.
            while (!this->closed && recv(fd, buffer, sizeof(buffer), 0) > 0)
                ;
            break;
        }
        usable = sendAll(fd,
                         "HTTP/1.1 " + std::to_string(response.status) + " X\r\ncontent-type: "
                             + response.contentType + "\r\ncontent-length: "
                             + std::to_string(response.body.size()) + "\r\n\r\n" + response.body);
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->open.erase(fd);
    ::close(fd);
}

Reply call(const std::string &ip, int port, const std::string &method, const std::string &target,
           const std::map<std::string, std::string> &headers, const std::string &body,
           std::int64_t deadlineMs, bool leaveOpen)
{
    Reply reply;
    const std::int64_t until = nowMs() + deadlineMs;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        reply.error = "cannot connect";
        close(fd);
        return reply;
    }
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!sendAll(fd, text)) {
        reply.error = "the connection broke";
        close(fd);
        return reply;
    }
    std::string input;
    char buffer[65536];
    for (;;) {
        const std::size_t headEnd = input.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            std::map<std::string, std::string> answered;
            const std::string first = parseHead(input.substr(0, headEnd), answered);
            const std::string rest = input.substr(headEnd + 4);
            const std::size_t length =
                std::strtoull(answered["content-length"].c_str(), nullptr, 10);
            const bool chunked = lower(answered["transfer-encoding"]) == "chunked";
            const auto body =
                chunked ? decodeChunks(rest) : std::optional<std::string>(rest.substr(0, length));
            if (body && (chunked || rest.size() >= length)) {
                reply.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
                reply.body = *body;
                break;
            }
        }
        const std::int64_t left = until - nowMs();
        pollfd waiting = {fd, POLLIN, 0};
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            reply.error = "no answer until the deadline";
            if (leaveOpen)
                return reply;
            break;
        }
        const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            reply.error = "the connection broke";
            break;
        }
        input.append(buffer, static_cast<std::size_t>(count));
    }
    close(fd);
    return reply;
}

// --- The store.

namespace {

constexpr std::size_t recordBytes = 262144; // platform.RecordBytes
constexpr std::size_t callBytes = 2097152; // platform.CallBytes
constexpr std::size_t maxReadBytes = 1048576;
constexpr std::int64_t appendMs = 4; // platform.AppendMs

Response refuse(int status, const std::string &why)
{
    Response response;
    response.status = status;
    response.body = Json{{"Error", why}}.dump();
    return response;
}

std::optional<std::vector<std::pair<std::string, std::string>>>
decodeRecords(const std::string &body)
{
    std::vector<std::pair<std::string, std::string>> records;
    std::size_t at = 0;
    while (at < body.size()) {
        if (at + 5 > body.size())
            return std::nullopt;
        std::size_t length = 0;
        for (std::size_t i = 0; i < 4; ++i)
            length = length << 8 | static_cast<unsigned char>(body[at + i]);
        at += 4;
        if (length == 0 || at + length > body.size())
            return std::nullopt;
        const std::size_t keyLength = static_cast<unsigned char>(body[at]);
        if (1 + keyLength > length)
            return std::nullopt;
        records.emplace_back(body.substr(at + 1, keyLength),
                             body.substr(at + 1 + keyLength, length - 1 - keyLength));
        at += length;
    }
    return records;
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
    Topic &target = this->topics[topic];
    target.newest[key] = target.records.size();
    target.records.emplace_back(key, value);
    this->changed.notify_all();
}

std::size_t Store::count(const std::string &topic, const std::string &prefix)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::size_t result = 0;
    for (const auto &[key, value] : this->topics[topic].records)
        result += key.compare(0, prefix.size(), prefix) == 0 ? 1 : 0;
    return result;
}

Response Store::handle(const Request &request)
{
    if (request.path == "/api/log-append")
        return this->append(request);
    if (request.path == "/api/log-read")
        return this->read(request);
    if (request.path == "/api/log-newest")
        return this->listNewest(request);
    return refuse(404, "no such call");
}

Response Store::append(const Request &request)
{
    ++this->appends;
    const auto records = decodeRecords(request.body);
    if (!records)
        return refuse(400, "invalid records");
    std::size_t largest = 0;
    for (const auto &[key, value] : *records)
        largest = std::max(largest, 1 + key.size() + value.size());
    if (largest > recordBytes || request.body.size() > callBytes) {
        ++this->refusedAppends;
        this->largestRefused =
            std::max<std::int64_t>(this->largestRefused, static_cast<std::int64_t>(largest));
        return refuse(413,
                      largest > recordBytes ? "a record is larger than RecordBytes"
                                            : "the records are larger than CallBytes");
    }
    if (this->disturb) {
        const std::string key = records->empty() ? "" : records->front().first;
        const std::int64_t lateMs =
            this->disturb(request.query.at("Topic"), key, request.query.count("Producer") > 0);
        if (lateMs > 0) {
            ++this->lateAppends;
            record("store: the append of " + key + " gets no answer and is carried out "
                   + std::to_string(lateMs) + " ms later");
            std::thread([this, request, lateMs, key] {
                sleepMs(lateMs);
                const Response response = this->apply(request);
                record("store: carried out late: the append of " + key + ", status "
                       + std::to_string(response.status));
            }).detach();
            Response silent;
            silent.silent = true;
            return silent;
        }
    }
    sleepMs(appendMs);
    return this->apply(request);
}

Response Store::apply(const Request &request)
{
    const auto records = decodeRecords(request.body);
    const std::lock_guard<std::mutex> lock(this->mutex);
    Topic &topic = this->topics[request.query.at("Topic")];
    const auto number = [&request](const char *name) -> std::uint64_t {
        const auto found = request.query.find(name);
        return found == request.query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
    };
    const bool fenced = request.query.count("Producer") > 0;
    const std::uint64_t epoch = number("epoch");
    const std::uint64_t sequence = number("Sequence");
    Response response;
    if (fenced) {
        if (epoch < topic.epoch) {
            response.status = 409;
            response.body = R"({"Reason":"fenced"})";
            return response;
        }
        if (epoch > topic.epoch) {
            topic.epoch = epoch;
            topic.lastSequence.reset();
            topic.responses.clear();
        }
        const auto repeated = topic.responses.find(sequence);
        if (!records->empty() && repeated != topic.responses.end()) {
            response.body = repeated->second;
            return response;
        }
        if (!records->empty() && topic.lastSequence && sequence != *topic.lastSequence + 1) {
            response.status = 409;
            response.body = Json{{"Reason", "seq"}, {"Sequence", *topic.lastSequence + 1}}.dump();
            return response;
        }
    }
    const std::uint64_t offset = topic.records.size();
    for (const auto &[key, value] : *records) {
        topic.newest[key] = topic.records.size();
        topic.records.emplace_back(key, value);
    }
    response.body = Json{{"Offset", offset}, {"End", topic.records.size()}}.dump();
    if (fenced && !records->empty()) {
        topic.lastSequence = sequence;
        topic.responses[sequence] = response.body;
        if (topic.responses.size() > 5)
            topic.responses.erase(topic.responses.begin());
    }
    this->changed.notify_all();
    return response;
}

Response Store::read(const Request &request)
{
    const auto number = [&request](const char *name) -> std::uint64_t {
        const auto found = request.query.find(name);
        return found == request.query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
    };
    const std::uint64_t from = number("From");
    const std::int64_t until = nowMs() + static_cast<std::int64_t>(number("WaitMs"));
    std::unique_lock<std::mutex> lock(this->mutex);
    Topic &topic = this->topics[request.query.at("Topic")];
    while (topic.records.size() <= from && nowMs() < until)
        this->changed.wait_for(lock, std::chrono::milliseconds(until - nowMs()));
    Response response;
    response.contentType = "application/octet-stream";
    response.body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
    for (std::uint64_t i = from; i < topic.records.size(); ++i) {
        const auto &[key, value] = topic.records[i];
        if (response.body.size() + value.size() > maxReadBytes && i > from)
            break;
        response.body.append(bigEndian(1 + key.size() + value.size(), 4))
            .append(bigEndian(key.size(), 1))
            .append(key)
            .append(value);
    }
    return response;
}

Response Store::listNewest(const Request &request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Topic &topic = this->topics[request.query.at("Topic")];
    const auto after = request.query.find("After");
    Json items = Json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (const auto &[key, offset] : topic.newest) {
        const std::string &value = topic.records[offset].second;
        if ((after != request.query.end() && key <= after->second) || value.empty())
            continue;
        if (items.size() == 500 || bytes > 700000) {
            more = true;
            break;
        }
        bytes += value.size();
        items.push_back({{"Key", key}, {"Value", base64(value)}, {"Offset", offset}});
    }
    Response response;
    response.body = Json{{"items", items}, {"HasMore", more}, {"End", topic.records.size()}}.dump();
    return response;
}

// --- A worker.

namespace {

// "work_ms=N;", or "work_ms=N..M;" for tasks of a step that take from N to M by their number.
std::int64_t workOf(const std::string &spec, const std::string &task)
{
    constexpr std::int64_t defaultMs = 1000;
    constexpr std::int64_t steps = 100;
    if (spec.compare(0, 8, "work_ms=") != 0)
        return defaultMs;
    const std::int64_t least = std::atoll(spec.c_str() + 8);
    const std::size_t dots = spec.find("..");
    if (dots == std::string::npos)
        return least;
    const std::int64_t most = std::atoll(spec.c_str() + dots + 2);
    const std::int64_t index = std::atoll(task.c_str() + task.rfind('.') + 1);
    return least + (most - least) * (index % steps) / (steps - 1);
}

} // namespace

Worker::Worker(const WorkerOptions &options)
    : options(options)
    , bornSteady(nowMs() - 1000)
    , bornUnix(unixMs())
{
    this->server =
        std::make_unique<Server>(options.ip, options.appPort,
                                 [this](const Request &request) { return this->handle(request); });
    this->beats = std::thread([this] { this->beat(); });
    this->clockThread = std::thread([this] {
        while (!this->stopping) {
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->advance();
            }
            sleepMs(10);
        }
    });
}

Worker::~Worker()
{
    this->stopping = true;
    this->changed.notify_all();
    this->clockThread.join();
    this->beats.join();
    this->server->close();
}

std::int64_t Worker::clock() const
{
    return nowMs() - this->bornSteady;
}

std::vector<Start> Worker::starts()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->begun;
}

std::int64_t Worker::runningCpu()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<std::int64_t>(this->running.size());
}

std::string Worker::checkpointOf(const Run &run) const
{
    const std::int64_t worked = std::min(this->clock() - run.beganAt, run.workMs);
    const std::int64_t saves = worked / this->options.saveMs;
    if (saves == 0)
        return "";
    std::string text = std::to_string(saves);
    text.insert(
        0, this->options.checkpointBytes - std::min(this->options.checkpointBytes, text.size()),
        '0');
    return text;
}

void Worker::end(const std::string &task, const Run &run, const std::string &how)
{
    this->ended.push_back(Json::array({this->nextEnd++, task, run.run, how,
                                       how == "done" ? std::string() : this->checkpointOf(run)}));
    std::int64_t &number = this->highest[task];
    number = std::max(number, run.run);
    Start &start = this->begun[run.start];
    start.endedAt = nowMs();
    start.how = how;
    record("worker " + this->options.id + ": " + task + " run " + std::to_string(run.run) + " ends "
           + how);
    this->changed.notify_all();
}

void Worker::advance()
{
    const std::int64_t now = this->clock();
    for (auto item = this->running.begin(); item != this->running.end();) {
        const Run &run = item->second;
        std::string how;
        if (now > this->leaseUntil)
            how = "lapsed";
        else if (run.stoppedAt > 0 && now >= run.stoppedAt + this->options.stopMs)
            how = "stopped";
        else if (run.stoppedAt == 0 && now >= run.beganAt + run.workMs)
            how = "done";
        if (how.empty()) {
            ++item;
            continue;
        }
        this->end(item->first, run, how);
        item = this->running.erase(item);
    }
}

Response Worker::withClock(int status, Json body)
{
    body["ClockMs"] = this->clock();
    body["born"] = this->bornUnix;
    Response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

Response Worker::handle(const Request &request)
{
    const auto expected = request.headers.find("x-expect-instance");
    std::unique_lock<std::mutex> lock(this->mutex);
    this->advance();
    if (expected != request.headers.end() && expected->second != this->options.id)
        return this->withClock(421, Json::object());
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return this->withClock(400, Json::object());
    const std::uint64_t fence = body.value("FencingToken", std::uint64_t(0));
    if (fence < this->token)
        return this->withClock(409, {{"Reason", "fence"}});
    this->token = fence;
    const std::int64_t now = this->clock();
    const auto extend = [&](std::int64_t until) {
        this->leaseUntil = std::max(this->leaseUntil, std::min(until, now + 10000));
    };
    if (request.path == "/api/hold") {
        if (body.contains("UntilMs"))
            extend(body["UntilMs"].get<std::int64_t>());
        const std::int64_t lastSeen = body.value("LastSeen", std::int64_t(0));
        for (const Json &each : this->ended) {
            if (each[0].get<std::int64_t>() > lastSeen)
                continue;
            for (auto start = this->begun.rbegin(); start != this->begun.rend(); ++start) {
                if (start->task == each[1].get<std::string>()
                    && start->run == each[2].get<std::int64_t>()) {
                    start->notedAt = nowMs();
                    break;
                }
            }
        }
        this->ended.erase(std::remove_if(this->ended.begin(), this->ended.end(),
                                         [&](const Json &each) {
                                             return each[0].get<std::int64_t>() <= lastSeen;
                                         }),
                          this->ended.end());
        const std::int64_t until = nowMs() + body.value("WaitMs", std::int64_t(0));
        while (this->ended.empty() && nowMs() < until && !this->stopping)
            this->changed.wait_for(lock, std::chrono::milliseconds(until - nowMs()));
        Json list = Json::array();
        for (const auto &[task, run] : this->running) {
            const std::int64_t percent = std::min<std::int64_t>(
                100, (this->clock() - run.beganAt) * 100 / std::max<std::int64_t>(1, run.workMs));
            list.push_back(Json::array({task, run.run, this->checkpointOf(run), percent, 0}));
        }
        Json ends = Json::array();
        for (std::size_t i = 0; i < this->ended.size() && i < 500; ++i)
            ends.push_back(this->ended[i]);
        return this->withClock(200, {{"Running", list}, {"Ended", ends}});
    }
    const std::string task = body.value("Task", std::string());
    const std::int64_t number = body.value("RunId", std::int64_t(0));
    const auto found = this->running.find(task);
    if (request.path == "/api/run-stop") {
        std::int64_t &highest = this->highest[task];
        if (found != this->running.end() && found->second.run == number) {
            if (found->second.stoppedAt == 0)
                found->second.stoppedAt = now;
        } else {
            highest = std::max(highest, number);
        }
        return this->withClock(200, Json::object());
    }
    if (request.path != "/api/run-start")
        return this->withClock(404, Json::object());
    if (found != this->running.end() && found->second.run == number)
        return this->withClock(200, Json::object());
    const std::int64_t until = body.value("UntilMs", std::int64_t(0));
    if (until <= now)
        return this->withClock(409, {{"Reason", "late"}});
    extend(until);
    const auto highest = this->highest.find(task);
    if (found != this->running.end()
        || (highest != this->highest.end() && number <= highest->second))
        return this->withClock(409, {{"Reason", "old"}});
    const std::string spec = body.value("TaskSpec", std::string());
    Run run;
    run.run = number;
    run.beganAt = now;
    run.workMs = workOf(spec, task);
    run.start = this->begun.size();
    this->begun.push_back({this->options.id, task, number, nowMs(), 0, 0, ""});
    this->running[task] = run;
    record("worker " + this->options.id + ": " + task + " run " + std::to_string(number)
           + " starts");
    return this->withClock(200, Json::object());
}

void Worker::beat()
{
    std::int64_t sequence = 0;
    while (!this->stopping) {
        const Json body = {
            {"Service", this->options.service},
            {"Address", this->options.ip + ":" + std::to_string(this->options.appPort)},
            {"Zone", this->options.zone},
            {"Version", "v1"},
            {"Slots", 8},
            {"State", "ready"},
            {"ColdRemainingMs", 0},
            {"Capacity",
             {{"Cpu", this->options.cpu},
              {"MemMb", this->options.memMb},
              {"Gpus", this->options.gpus}}},
            {"Labels", {"a", this->options.rack}},
            {"ClockMs", this->clock()},
            {"born", this->bornUnix},
            {"Sequence", ++sequence}};
        const Reply reply = call(this->options.ip, this->options.controlPort, "POST",
                                 "/api/Instances.Heartbeat/" + this->options.id,
                                 {{"Host", this->options.ip}}, body.dump(), 1000);
        const std::int64_t until = nowMs() + (reply.status == 200 ? 1500 : 200);
        while (!this->stopping && nowMs() < until)
            sleepMs(20);
    }
}

// --- Processes.

Process::Process(std::string name, const std::string &program, const std::string &settings,
                 const std::string &logPath)
    : name(std::move(name))
{
    const pid_t parent = getpid();
    this->pid = fork();
    if (this->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        setenv("FLAMINGOSTREAM_CONFIG", settings.c_str(), 1);
        const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
        dup2(log, 1);
        dup2(log, 2);
        execl(program.c_str(), program.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }
}

Process::~Process()
{
    if (this->pid > 0 && !this->reaped) {
        kill(this->pid, SIGCONT);
        kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
    }
}

void Process::signal(int number)
{
    record("signal " + std::to_string(number) + " to " + this->name);
    if (!this->reaped)
        kill(this->pid, number);
}

bool Process::hasEnded()
{
    if (!this->reaped && waitpid(this->pid, nullptr, WNOHANG) == this->pid)
        this->reaped = true;
    return this->reaped;
}

std::int64_t Process::peakMemoryMb() const
{
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.compare(0, 6, "VmHWM:") == 0)
            return std::atoll(line.c_str() + 6) / 1024;
    }
    return 0;
}

// --- The deployment.

namespace {

std::string addressText(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

bool isFree(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    const bool free = bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(fd);
    return free;
}

} // namespace

std::string Deployment::entryIp(int number) const
{
    return "127." + std::to_string(this->network) + ".1." + std::to_string(number + 1);
}

std::string Deployment::workerIp(int number) const
{
    return "127." + std::to_string(this->network) + ".2." + std::to_string(number + 1);
}

void Deployment::start(const Json &routes, const Json &tenants)
{
    const char *temporary = std::getenv("TMPDIR");
    std::string folderName =
        std::string(temporary == nullptr ? "/tmp" : temporary) + "/review-3-XXXXXX";
    if (mkdtemp(folderName.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    this->folder = folderName;
    this->network = 20 + static_cast<int>(getpid() % 200);
    const std::string storeIp = "127." + std::to_string(this->network) + ".0.1";
    int port = 0;
    for (int base = 17000; port == 0 && base < 30000; base += 40) {
        bool free = isFree(storeIp, base + 30);
        for (int i = 0; i < this->entries; ++i) {
            for (int j = 0; j < 24; ++j)
                free = free && isFree(this->entryIp(i), base + j);
        }
        for (int i = 0; i < this->workers; ++i) {
            for (int j = 0; j < 24; ++j)
                free = free && isFree(this->workerIp(i), base + j);
        }
        port = free ? base : 0;
    }
    if (port == 0)
        throw std::runtime_error("no free ports");
    this->frontPort = port + 20;
    this->readyPort = port + 21;
    const int controlPort = port + 22;
    const int appPort = port + 23;
    const std::string storeAddress = storeIp + ":" + std::to_string(port + 30);
    this->store = std::make_unique<Store>(storeIp, port + 30);
    const Json configuration = {{"Version", 7},
                                {"Routes", routes},
                                {"Services", {{{"Name", "svc"}, {"AdmissionCheck", false}}}},
                                {"Tenants", tenants},
                                {"Limits", {{"MaxBodyBytes", 262144}}}};
    this->store->put("keyed.op", "config", configuration.dump());
    std::string seeds;
    for (int i = 0; i < std::min(this->entries, 3); ++i)
        seeds += (i > 0 ? "," : "") + this->entryIp(i) + ":" + std::to_string(controlPort);
    const auto settings = [&](const std::string &name, const std::string &ip,
                              const std::string &zone, const std::string &more) {
        std::string path = this->folder + "/" + name + ".conf";
        std::ofstream(path)
            << "Node=" << name << "\nIp=" << ip << "\nZone=" << zone
            << "\nRegion=r\nInternalPorts=" << port << "," << port + 15 << "\nSeeds=" << seeds
            << "\nBootstrap=true\nplatform.Address=" << storeAddress
            << "\nplatform.form=log\nplatform.RecordBytes=262144\nplatform.CallBytes=2097152"
               "\nLimits.MaxFds=4100\nHeartbeatMs=1500\nBounds.ContactMs="
            << this->contactMs
            << "\nBounds.GraceS=6\nBounds.StrictRevocation=true\nBounds.RevokeMs=5000"
               "\nBounds.HoldMaxMs=10000\nBounds.StopMs="
            << this->stopMs << "\nBounds.cancel_ms=" << this->cancelMs
            << "\nBounds.visible_ms=3000\nBounds.FarFactor=3\nBounds.RestoreMs=250"
               "\nBounds.ReclaimMs=3400\nOrders=invoke\n"
            << more;
        return path;
    };
    const char *zones[] = {"z-a", "z-b", "z-c"};
    for (int i = 0; i < this->entries; ++i) {
        const std::string name = "front-" + std::to_string(i + 1);
        const std::string ip = this->entryIp(i);
        const std::string path =
            settings(name, ip, zones[i % 3],
                     "MachineClass=front\nServes=front,control\nLimits.CpuShare=0.25\nLimits."
                     "MemoryMb=260\nListen.Front="
                         + addressText(ip, this->frontPort)
                         + "\nListen.Ready=" + addressText(ip, this->readyPort)
                         + "\nListen.Control=" + addressText(ip, controlPort) + "\n");
        this->entryList.push_back(std::make_unique<Process>(
            name, "target/flamingo-schedulerd", path, this->folder + "/" + name + ".log"));
    }
    for (int i = 0; i < this->workers; ++i) {
        const std::string name = "side-" + std::to_string(i + 1);
        const std::string ip = this->workerIp(i);
        const std::string path =
            settings(name, ip, zones[i % 3],
                     "MachineClass=side\nServes=side\nLimits.CpuShare=0.15\nLimits.MemoryMb="
                     "128\nService=svc\napp="
                         + addressText(ip, appPort)
                         + "\nListen.Control=" + addressText(ip, controlPort) + "\n");
        this->agentList.push_back(std::make_unique<Process>(
            name, "target/flamingo-hostagentd", path, this->folder + "/" + name + ".log"));
        WorkerOptions options;
        options.id = "i-" + std::to_string(i + 1);
        options.ip = ip;
        options.appPort = appPort;
        options.controlPort = controlPort;
        options.zone = zones[i % 3];
        options.rack = "r1-" + std::to_string(i % 3 + 1);
        options.cpu = this->cpu;
        options.checkpointBytes = this->checkpointBytes;
        this->workerList.push_back(std::make_unique<Worker>(options));
    }
    record("deployment: 1 store, " + std::to_string(this->entries) + " entries, "
           + std::to_string(this->workers) + " workers with agents");
}

bool Deployment::waitUntilReady(std::int64_t limitMs)
{
    const std::int64_t until = nowMs() + limitMs;
    int ready = 0;
    while (ready < this->entries && nowMs() < until) {
        ready = 0;
        for (int i = 0; i < this->entries; ++i)
            ready += call(this->entryIp(i), this->readyPort, "GET", "/api/readiness",
                          {{"Host", this->entryIp(i)}}, "", 1000)
                         .status
                    == 200
                ? 1
                : 0;
        sleepMs(100);
    }
    // The workers' first heartbeats and the agents' first reports.
    sleepMs(4000);
    record("ready: " + std::to_string(ready) + " entries");
    return ready == this->entries;
}

std::vector<Start> Deployment::starts()
{
    std::vector<Start> result;
    for (const auto &worker : this->workerList) {
        for (const Start &start : worker->starts())
            result.push_back(start);
    }
    std::sort(result.begin(), result.end(),
              [](const Start &a, const Start &b) { return a.at < b.at; });
    return result;
}

std::vector<std::string> Deployment::endedProcesses()
{
    std::vector<std::string> result;
    for (const auto *list : {&this->entryList, &this->agentList}) {
        for (const auto &process : *list) {
            if (process->hasEnded())
                result.push_back(process->name);
        }
    }
    return result;
}

Deployment::~Deployment()
{
    this->agentList.clear();
    this->entryList.clear();
    this->workerList.clear();
    if (!this->folder.empty() && std::getenv("KEEP") == nullptr) {
        for (const char *kind : {"front", "side"}) {
            for (int i = 1; i <= 20; ++i) {
                for (const char *end : {".conf", ".log"})
                    unlink((this->folder + "/" + kind + "-" + std::to_string(i) + end).c_str());
            }
        }
        rmdir(this->folder.c_str());
    }
}

Reply request(Deployment &deployment, int entry, const std::string &method,
              const std::string &target, const std::string &key, const std::string &body,
              std::int64_t deadlineMs, bool leaveOpen)
{
    const std::int64_t sentAt = nowMs();
    Reply reply = call(deployment.entryIp(entry), deployment.frontPort, method, target,
                       {{"Host", "jobs.example"},
                        {"Authorization", "Bearer " + key},
                        {"X-Deadline-Ms", std::to_string(deadlineMs)}},
                       body, deadlineMs, leaveOpen);
    record("client: " + method + " " + target + " at front-" + std::to_string(entry + 1)
           + ", sent at " + std::to_string(sentAt) + ", answer "
           + (reply.status == 0 ? "none (" + reply.error + ")"
                                : std::to_string(reply.status) + " " + reply.body.substr(0, 100)));
    return reply;
}

Json route(const std::string &name, const std::string &prefix, int priority, int maxAttempts)
{
    return {{"Name", name},
            {"Hostname", "jobs.example"},
            {"PathPrefix", prefix},
            {"RouteKind", "unsafe"},
            {"TimeoutMs", 3000},
            {"TargetLatencyMs", 1200},
            {"Priority", priority},
            {"Service", "svc"},
            {"MaxAttempts", maxAttempts},
            {"Stretch", 3.0},
            {"Public", false}};
}

std::string jobId(std::uint64_t number)
{
    char text[17];
    snprintf(text, sizeof(text), "%016llx",
             static_cast<unsigned long long>(0x5c0e7a2100000000ULL + number));
    return text;
}

std::string jobBody(const std::string &work, const Json &steps, const Json &more)
{
    Json body = more;
    body["TaskSpec"] = "work_ms=" + work + ";";
    body["Steps"] = steps;
    return body.dump();
}

} // namespace rig
