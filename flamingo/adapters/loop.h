#ifndef FLAMINGO_ADAPTERS_LOOP_H
#define FLAMINGO_ADAPTERS_LOOP_H

// The event loop of a daemon: one thread that owns every socket, timer and piece of state.
//
// Callbacks run on the loop's thread and must not block. Signals SIGTERM and SIGINT are turned into
// one call of the shutdown callback.

#include "flamingo/types.h"

#include <h2o.h>

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

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

    // Milliseconds of the monotonic clock; time in which the machine is suspended counts.
    static TimeMs now();

    // Milliseconds since 1970 of the wall clock; only shown to people, never used for decisions.
    static std::uint64_t unixNow();

    TimerId after(TimeMs delayMs, Callback callback);
    void every(TimeMs intervalMs, const Callback &callback);
    void cancel(TimerId timer);

    // Calls `callback` once, after SIGTERM or SIGINT. At most one Loop of a process may use this.
    void onShutdownSignal(Callback callback);

    // Calls `callback` after each SIGHUP. At most one Loop of a process may use this.
    void onReloadSignal(Callback callback);

    // Runs until stop() is called; resume() lets it run again.
    void run();
    void stop();
    void resume();

private:
    void fireDueTimers();
    int pollTimeoutMs() const;

    h2o_loop_t *loop;
    bool stopped = false;
    TimerId nextTimerId = 1;
    std::map<std::pair<TimeMs, TimerId>, Callback> timers;
    std::map<TimerId, TimeMs> dueTimeByTimer;
    Callback shutdownCallback;
    Callback reloadCallback;
};

// Parses "IP:port"; nullopt with a reason when it is not an IPv4 address and a port from 1 to
// 65535.
std::optional<sockaddr_in> parseAddress(std::string_view address, Reason &reason);

// Opens a listening socket; nullptr with a reason when the address cannot be bound.
h2o_socket_t *listenOn(Loop &loop, std::string_view address, h2o_socket_cb onAccept, void *data,
                       Reason &reason);

} // namespace flamingo::adapters

#endif
