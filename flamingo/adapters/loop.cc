// Timers are kept in one ordered map keyed by due time, and h2o waits for socket events at most
// until the earliest of them. A signal handler only sets a flag that the loop reads between two
// waits, so maxPollTimeoutMs bounds the delay until a signal is handled.

#include "flamingo/adapters/loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstring>
#include <ctime>
#include <string>

namespace flamingo::adapters {
namespace {

constexpr TimeMs maxPollTimeoutMs = 50;
constexpr int listenBacklog = 512;
constexpr int highestPort = 65535;

std::optional<TimeMs> simulatedTime; // nullopt: now() is the time of the machine

volatile std::sig_atomic_t shutdownRequested = 0;

void requestShutdown(int /*signal*/)
{
    shutdownRequested = 1;
}

volatile std::sig_atomic_t reloadRequested = 0;

void requestReload(int /*signal*/)
{
    reloadRequested = 1;
}

} // namespace

Loop::Loop()
    : loop(h2o_evloop_create())
{
}

Loop::~Loop() = default; // h2o 2.2 offers no call that frees an event loop

TimeMs Loop::now()
{
    if (simulatedTime)
        return *simulatedTime;
    // CLOCK_BOOTTIME also advances while the machine is suspended: leases must expire and received
    // data must age during that time.
    timespec time = {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimeMs(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

void Loop::simulateTime()
{
    simulatedTime = now();
}

void Loop::advanceSimulatedTime() const
{
    if (simulatedTime && !this->timers.empty())
        simulatedTime = std::max(*simulatedTime, this->timers.begin()->first.first);
}

std::uint64_t Loop::unixNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

Loop::TimerId Loop::after(TimeMs delayMs, Callback callback)
{
    const TimerId timer = this->nextTimerId++;
    const TimeMs due = now() + delayMs;
    this->timers.emplace(std::make_pair(due, timer), std::move(callback));
    this->dueTimeByTimer.emplace(timer, due);
    return timer;
}

void Loop::every(TimeMs intervalMs, const Callback &callback)
{
    this->after(intervalMs, [this, intervalMs, callback] {
        this->every(intervalMs, callback);
        callback();
    });
}

void Loop::cancel(TimerId timer)
{
    const auto found = this->dueTimeByTimer.find(timer);
    if (found == this->dueTimeByTimer.end())
        return;
    this->timers.erase({found->second, timer});
    this->dueTimeByTimer.erase(found);
}

void Loop::onShutdownSignal(Callback callback)
{
    this->shutdownCallback = std::move(callback);
    struct sigaction action = {};
    action.sa_handler = requestShutdown;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
}

void Loop::onReloadSignal(Callback callback)
{
    this->reloadCallback = std::move(callback);
    struct sigaction action = {};
    action.sa_handler = requestReload;
    sigaction(SIGHUP, &action, nullptr);
}

int Loop::pollTimeoutMs() const
{
    if (this->timers.empty())
        return static_cast<int>(maxPollTimeoutMs);
    const TimeMs untilDue = this->timers.begin()->first.first - now();
    return static_cast<int>(std::clamp<TimeMs>(untilDue, 0, maxPollTimeoutMs));
}

void Loop::fireDueTimers()
{
    const TimeMs current = now();
    while (!this->timers.empty() && this->timers.begin()->first.first <= current) {
        const auto first = this->timers.begin();
        const Callback callback = std::move(first->second);
        this->dueTimeByTimer.erase(first->first.second);
        this->timers.erase(first);
        callback();
    }
}

void Loop::run()
{
    while (!this->stopped) {
        // Calls back sockets that were written to outside of h2o's callbacks. h2o does not do that
        // when a signal ends its wait, and frees a closed socket that still waits to be called
        // back.
        h2o_timeout__do_post_callback(this->loop);
        this->advanceSimulatedTime();
        h2o_evloop_run(this->loop, this->pollTimeoutMs());
        this->fireDueTimers();
        if (reloadRequested != 0 && this->reloadCallback) {
            reloadRequested = 0;
            this->reloadCallback();
        }
        if (shutdownRequested == 0 || !this->shutdownCallback)
            continue;
        const Callback callback = std::exchange(this->shutdownCallback, nullptr);
        callback();
    }
}

void Loop::stop()
{
    this->stopped = true;
}

void Loop::resume()
{
    this->stopped = false;
}

std::optional<sockaddr_in> parseAddress(std::string_view address, Reason &reason)
{
    const auto colon = address.rfind(':');
    sockaddr_in result = {};
    result.sin_family = AF_INET;
    int port = 0;
    bool valid = colon != std::string_view::npos;
    if (valid) {
        const std::string ip(address.substr(0, colon));
        const auto digits = address.substr(colon + 1);
        const auto parsed = std::from_chars(digits.begin(), digits.end(), port);
        valid = inet_pton(AF_INET, ip.c_str(), &result.sin_addr) == 1 && parsed.ec == std::errc()
            && parsed.ptr == digits.end() && port > 0 && port <= highestPort;
    }
    if (!valid) {
        reason = {ReasonCode::InvalidInput,
                  "address '" + std::string(address) + "' is not of the form IP:port"};
        return std::nullopt;
    }
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    return result;
}

h2o_socket_t *listenOn(Loop &loop, std::string_view address, h2o_socket_cb onAccept, void *data,
                       Reason &reason)
{
    const auto parsed = parseAddress(address, reason);
    if (!parsed)
        return nullptr;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enable = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    if (bind(fd, reinterpret_cast<const sockaddr *>(&*parsed), sizeof(*parsed)) != 0
        || listen(fd, listenBacklog) != 0) {
        reason = {ReasonCode::Internal,
                  "cannot listen on " + std::string(address) + ": " + std::strerror(errno)};
        close(fd);
        return nullptr;
    }
    h2o_socket_t *socket = h2o_evloop_socket_create(loop.handle(), fd, H2O_SOCKET_FLAG_DONT_READ);
    socket->data = data;
    h2o_socket_read_start(socket, onAccept);
    return socket;
}

} // namespace flamingo::adapters
