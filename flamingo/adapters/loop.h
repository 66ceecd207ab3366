#ifndef FLAMINGO_ADAPTERS_LOOP_H
#define FLAMINGO_ADAPTERS_LOOP_H

// The event loop of a daemon: one thread that owns every socket, timer and piece of state.
//
// Callbacks run on the loop's thread and must not block. The shutdown callback is called once,
// after the first SIGTERM or SIGINT.

#include "flamingo/types.h"

#include <h2o.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingo::adapters {

class Loop
{
public:
    using Callback = std::function<void()>;
    using TimerId = std::uint64_t;

    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    h2o_loop_t *handle() const
    {
        return this->loop;
    }

    // Milliseconds of the monotonic clock, including time in which the machine is suspended.
    static TimeMs now();

    // Starts simulated time, for tests, for all loops of the process and until its end. now() then
    // stands still while callbacks run, and run() advances it to the next timer instead of waiting.
    // Time in which the process does not run is not counted. For loops without sockets.
    static void simulateTime();

    // Milliseconds since 1970 of the wall clock; only shown to people, never used for decisions.
    static std::uint64_t unixNow();

    // Calls `callback` once, after `delayMs`.
    TimerId after(TimeMs delayMs, Callback callback);

    // Calls `callback` every `intervalMs` for as long as the loop runs, first after `intervalMs`.
    void every(TimeMs intervalMs, const Callback &callback);

    // Cancels a timer that after() started; no effect when it has fired or was cancelled.
    void cancel(TimerId timer);

    // Keeps an object that h2o refers to until this loop is destroyed.
    void keep(std::shared_ptr<void> object)
    {
        this->kept.push_back(std::move(object));
    }

    // Calls `callback` once, after SIGTERM or SIGINT. At most one Loop of a process may use this.
    void onShutdownSignal(Callback callback);

    // Calls `callback` after each SIGHUP. At most one Loop of a process may use this.
    void onReloadSignal(Callback callback);

    // run() returns after stop() was called. After resume(), run() can be called again.
    void run();
    void stop();
    void resume();

private:
    void advanceSimulatedTime() const;
    void fireDueTimers();
    int pollTimeoutMs() const;

    h2o_loop_t *loop;
    bool stopped = false;
    TimerId nextTimerId = 1;
    std::map<std::pair<TimeMs, TimerId>, Callback> timers;
    std::map<TimerId, TimeMs> dueTimeByTimer;
    Callback shutdownCallback;
    Callback reloadCallback;
    std::vector<std::shared_ptr<void>> kept;
};

// Parses "IP:port"; nullopt with a reason unless it is an IPv4 address and a port from 1 to 65535.
std::optional<sockaddr_in> parseAddress(std::string_view address, Reason &reason);

// Opens a listening socket that calls `onAccept` for each incoming connection, with `data` as the
// socket's data; nullptr with a reason when the address cannot be bound.
h2o_socket_t *listenOn(Loop &loop, std::string_view address, h2o_socket_cb onAccept, void *data,
                       Reason &reason);

} // namespace flamingo::adapters

#endif
