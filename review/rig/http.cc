#include "review/rig/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string_view>
#include <thread>

namespace review {
namespace {

constexpr std::size_t chunkBytes = 65536;

sockaddr_in socketAddress(const std::string &ip, int port)
{
    if (ip.compare(0, 4, "127.") != 0)
        throw std::runtime_error("not a loopback address: " + ip);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool sendAll(int socket, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t sent = send(socket, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

// Reads more bytes into `buffer`; false at the end of the connection or after `deadline`.
bool readMore(int socket, std::string &buffer, std::optional<std::int64_t> deadline)
{
    if (deadline) {
        pollfd waiting = {socket, POLLIN, 0};
        const std::int64_t left = *deadline - nowMs();
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return false;
    }
    const std::size_t size = buffer.size();
    buffer.resize(size + chunkBytes);
    const ssize_t received = recv(socket, buffer.data() + size, chunkBytes, 0);
    buffer.resize(size + static_cast<std::size_t>(std::max<ssize_t>(0, received)));
    return received > 0;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

std::string withoutChunks(const std::string &text)
{
    std::string result;
    for (std::size_t position = 0; position < text.size();) {
        const std::size_t lineEnd = text.find("\r\n", position);
        const std::size_t size = std::strtoull(text.c_str() + position, nullptr, 16);
        if (lineEnd == std::string::npos || size == 0)
            break;
        result += text.substr(lineEnd + 2, size);
        position = lineEnd + 2 + size + 2;
    }
    return result;
}

// Reads one message: returns its first line, headers and body. Bytes behind it stay in `buffer`.
struct Message
{
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
};

std::optional<Message> readMessage(int socket, std::string &buffer,
                                   std::optional<std::int64_t> deadline)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(socket, buffer, deadline))
            return std::nullopt;
    }
    Message message;
    std::size_t position = buffer.find("\r\n");
    message.firstLine = buffer.substr(0, position);
    while (position < end) {
        const std::size_t begin = position + 2;
        position = buffer.find("\r\n", begin);
        const std::string line = buffer.substr(begin, position - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        message.headers[lowerCase(line.substr(0, colon))] = line.substr(value);
    }
    const bool hasLength = message.headers.count("content-length") > 0;
    if (!hasLength && message.firstLine.compare(0, 5, "HTTP/") == 0) {
        // The end of the connection ends an answer without a length.
        while (readMore(socket, buffer, deadline))
            ;
        message.body = buffer.substr(end + 4);
        if (message.headers["transfer-encoding"] == "chunked")
            message.body = withoutChunks(message.body);
        return message;
    }
    const std::size_t length =
        std::strtoull(message.headers["content-length"].c_str(), nullptr, 10);
    while (buffer.size() < end + 4 + length) {
        if (!readMore(socket, buffer, deadline))
            return std::nullopt;
    }
    message.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return message;
}

std::string percentDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%' || i + 2 >= text.size()) {
            result += text[i];
            continue;
        }
        result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
    }
    return result;
}

Request parseRequest(const Message &message)
{
    Request request;
    const std::size_t first = message.firstLine.find(' ');
    const std::size_t second = message.firstLine.find(' ', first + 1);
    request.method = message.firstLine.substr(0, first);
    const std::string target = message.firstLine.substr(first + 1, second - first - 1);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    request.headers = message.headers;
    request.body = message.body;
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
            request.query[pair.substr(0, equals)] = percentDecoded(pair.substr(equals + 1));
    }
    return request;
}

std::string serialize(const Response &response)
{
    return "HTTP/1.1 " + std::to_string(response.status) + " Status\r\ncontent-type: "
        + response.type + "\r\ncontent-length: " + std::to_string(response.body.size()) + "\r\n\r\n"
        + response.body;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
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

struct Server::State
{
    int listener = -1;
    Handler handler;
    std::mutex mutex;
    std::set<int> connections;
    bool closed = false;

    void serve(int socket)
    {
        std::string buffer;
        while (const auto message = readMessage(socket, buffer, std::nullopt)) {
            const Response response = this->handler(parseRequest(*message));
            if (response.status == 0 || !sendAll(socket, serialize(response)))
                break;
        }
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->connections.erase(socket);
        close(socket);
    }

    void acceptAll()
    {
        for (;;) {
            const int socket = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->closed) {
                close(socket);
                return;
            }
            this->connections.insert(socket);
            std::thread([this, socket] { this->serve(socket); }).detach();
        }
    }
};

Server::Server(const std::string &ip, int port, Handler handler)
    : state(new State)
{
    this->state->handler = std::move(handler);
    this->state->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->state->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = socketAddress(ip, port);
    if (bind(this->state->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
            != 0
        || listen(this->state->listener, 512) != 0)
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    std::thread([shared = this->state] { shared->acceptAll(); }).detach();
}

Server::~Server()
{
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->closed = true;
    shutdown(this->state->listener, SHUT_RDWR);
    close(this->state->listener);
    for (const int connection : this->state->connections)
        shutdown(connection, SHUT_RDWR);
    // The state stays: threads of connections may still use it.
}

Response call(const std::string &ip, int port, const std::string &method, const std::string &target,
              const std::map<std::string, std::string> &headers, const std::string &body,
              int timeoutMs)
{
    Response response;
    response.status = 0;
    const std::int64_t deadline = nowMs() + timeoutMs;
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socketAddress(ip, port);
    std::string text = method + " " + target + " HTTP/1.1\r\nconnection: close\r\ncontent-length: "
        + std::to_string(body.size()) + "\r\n";
    if (headers.count("host") == 0)
        text.append("host: ").append(ip).append("\r\n");
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text.append("\r\n").append(body);
    std::string buffer;
    if (connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
        && sendAll(connection, text)) {
        if (const auto message = readMessage(connection, buffer, deadline)) {
            response.status = std::atoi(message->firstLine.substr(9, 3).c_str());
            response.body = message->body;
        }
    }
    close(connection);
    return response;
}

} // namespace review
