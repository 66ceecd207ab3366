#ifndef FLAMINGO_TESTS_SOAK_PROXY_H
#define FLAMINGO_TESTS_SOAK_PROXY_H

// TCP proxy of the soak, in a thread of its own: forwards the connections of links and disturbs
// them. A link leads from one process to one address; its state can change at any time and holds
// for its open connections too. Bytes that were received are delivered after a client has closed,
// so a delayed request is carried out late.

#include "flamingo/types.h"

#include <netinet/in.h>
#include <poll.h>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingo::soak {

enum Direction { Forth, Back }; // from the client to the server, and back

// What happens to the bytes of one direction.
enum class Flow {
    Passing,
    Held, // kept until the direction passes again, as behind a partition
    Lost // dropped; the connection never carries bytes in this direction again
};

struct Link
{
    std::string from; // names of the processes
    std::string to;
    std::string listen; // "IP:port"
    std::string target;
    std::string view; // replaces each address 127.1NN. in bytes on their way back; same length
    std::array<TimeMs, 2> delayMs = {0, 0}; // by direction
    std::array<Flow, 2> flow = {Flow::Passing, Flow::Passing};
    bool refusing = false; // resets all connections
};

class Proxy
{
public:
    Proxy() = default;
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    // Adds a link before run(); false with a reason when its address cannot be bound.
    bool add(const Link &link, Reason &reason);
    // Starts the thread, which runs until the proxy is destroyed.
    void run();
    // Calls `change` with each link while no connection is served.
    void changeLinks(const std::function<void(Link &)> &change);

private:
    struct Chunk
    {
        TimeMs due;
        std::string bytes;
    };
    struct Connection
    {
        Link *link = nullptr;
        std::array<int, 2> sockets = {-1, -1}; // by direction, the source
        std::array<std::deque<Chunk>, 2> queues;
        std::array<bool, 2> lost = {false, false};
        std::array<bool, 2> closed = {false, false}; // the source has closed
        bool broken = false;
    };
    struct Listener
    {
        Link link;
        int socket = -1;
        sockaddr_in target = {};
    };

    void serve();
    void accept(Listener &listener);
    static void read(Connection &connection, Direction direction);
    static void write(Connection &connection, Direction direction);
    static bool over(const Connection &connection);

    std::mutex mutex; // guards the links
    std::atomic<bool> stopping = false;
    std::list<Listener> listeners;
    std::list<Connection> connections;
    std::thread thread;
};

} // namespace flamingo::soak

#endif
