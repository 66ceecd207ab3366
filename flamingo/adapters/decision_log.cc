// A line is shorter than PIPE_BUF, so a pipe that poll() reports as writable accepts the whole line
// without blocking.

#include "flamingo/adapters/decision_log.h"

#include "flamingo/adapters/loop.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace flamingo::adapters {

void DecisionLog::write(std::string_view text)
{
    if (!this->rateLimiter.allowLine(Loop::now()))
        return;
    std::string line = "unix_ms=" + std::to_string(Loop::unixNow()) + " process=" + this->process
        + " " + std::string(text.substr(0, PIPE_BUF / 2)) + this->rateLimiter.takeSuppressedField();
    if (this->unwritableLines > 0)
        line += " left_out_blocked=" + std::to_string(this->unwritableLines);
    // Texts of other processes may contain line breaks.
    std::replace_if(
        line.begin(), line.end(), [](unsigned char character) { return character < ' '; }, ' ');
    line += "\n";
    pollfd ready = {STDOUT_FILENO, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0
        || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
        ++this->unwritableLines;
        return;
    }
    this->unwritableLines = 0;
}

} // namespace flamingo::adapters
