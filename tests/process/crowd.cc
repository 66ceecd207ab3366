// A crowd of clients that do not keep to the limits, for the tests crowd_*.sh. Opens connections to
// one address, sends on all of them what the mode says, and holds those that the other side does
// not close until standard input ends. Writes "sent" to standard output when all has been sent that
// the other side takes.
//
//   crowd --address=IP:PORT --path=/q/ID --mode=MODE --connections=N --bytes=N
//
// Modes, `bytes` being the size of one body:
//   announced  announces the body and sends nothing of it
//   unbounded  sends the body in chunks without announcing its size
//   whole      sends the whole announced body
//   short      sends all of the announced body but its last byte
//   pieces     as short, in pieces of a few kilobytes
//   silent     sends the head of a request without its end
//   unread     sends requests one after another and reads no answer

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

ABSL_FLAG(std::string, address, "", "address of the crowd's target, IP:PORT");
ABSL_FLAG(std::string, path, "/q/0123456789abcdef", "path of the requests");
ABSL_FLAG(std::string, mode, "short", "what each connection sends");
ABSL_FLAG(int, connections, 100, "number of connections");
ABSL_FLAG(std::size_t, bytes, 1000000, "size of a body");

namespace {

constexpr int unreadRequests = 400; // on each connection of mode "unread"
constexpr std::size_t pieceBytes = 8192;
constexpr std::chrono::milliseconds piecePause(5); // between two pieces of all connections
// All has been sent that the other side takes when nothing was sent for this long.
constexpr std::chrono::seconds quietTime(3);

struct Connection
{
    int descriptor = -1; // -1: closed
    std::size_t sent = 0;
};

std::string request(const std::string &mode, std::size_t bytes)
{
    const std::string head =
        absl::StrCat(mode == "unread" ? "GET " : "POST ", absl::GetFlag(FLAGS_path),
                     " HTTP/1.1\r\nHost: h.example\r\n"
                     "Authorization: Bearer secret\r\n");
    if (mode == "silent")
        return head + "X-Filler: " + std::string(bytes, 'x');
    if (mode == "unread") {
        std::string all;
        for (int i = 0; i < unreadRequests; ++i)
            all += head + "\r\n";
        return all;
    }
    if (mode == "unbounded")
        return absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n", absl::Hex(bytes), "\r\n",
                            std::string(bytes, 'x'));
    std::string start = absl::StrCat(head, "Content-Length: ", bytes, "\r\n\r\n");
    if (mode == "announced")
        return start;
    // A body that is read to its end is no job, because the text does not end.
    return start + "{\"TaskSpec\":\"" + std::string(bytes - 14 + (mode == "whole" ? 1 : 0), 'x');
}

int openConnection(const sockaddr_in &address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0
        || connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
            != 0) {
        if (descriptor >= 0)
            close(descriptor);
        return -1;
    }
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return descriptor;
}

// Sends what the other side takes, at most `limit` bytes. Returns whether any was sent.
bool sendSome(Connection &connection, std::string_view text, std::size_t limit)
{
    if (connection.descriptor < 0 || connection.sent >= text.size())
        return false;
    const std::string_view rest = text.substr(connection.sent, limit);
    const ssize_t count = send(connection.descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
    if (count > 0) {
        connection.sent += static_cast<std::size_t>(count);
        return true;
    }
    if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
        close(connection.descriptor);
        connection.descriptor = -1;
    }
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    const std::string mode = absl::GetFlag(FLAGS_mode);
    const std::string target = absl::GetFlag(FLAGS_address);
    const std::size_t colon = target.find(':');
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    if (colon == std::string::npos
        || inet_pton(AF_INET, target.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        std::cerr << "--address is not of the form IP:PORT\n";
        return 1;
    }
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(target.substr(colon + 1))));
    const std::string text = request(mode, absl::GetFlag(FLAGS_bytes));
    std::vector<Connection> connections(static_cast<std::size_t>(absl::GetFlag(FLAGS_connections)));
    for (Connection &connection : connections)
        connection.descriptor = openConnection(address);
    const std::size_t limit = mode == "pieces" ? pieceBytes : text.size();
    auto lastSent = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - lastSent < quietTime) {
        bool sent = false;
        for (Connection &connection : connections)
            sent = sendSome(connection, text, limit) || sent;
        if (sent)
            lastSent = std::chrono::steady_clock::now();
        const bool done =
            std::all_of(connections.begin(), connections.end(), [&text](const Connection &each) {
                return each.descriptor < 0 || each.sent == text.size();
            });
        if (done)
            break;
        poll(nullptr, 0, static_cast<int>(piecePause.count()));
    }
    std::cout << "sent" << std::endl;
    while (std::cin.get() != EOF)
        continue;
    return 0;
}
