#ifndef FLAMINGO_STANDIN_LOG_H
#define FLAMINGO_STANDIN_LOG_H

// The log service of the stand-in: streams of lines with consecutive offsets, kept in memory.
//
// Each stream has one order. Only the newest `retentionLines` lines of a stream are retained. The
// number of appends in any second is limited over all streams together.

#include "flamingo/types.h"

#include <absl/types/span.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo::standin {

struct LogOptions
{
    std::size_t retentionLines = 100000; // per stream
    std::size_t appendsPerSecond = 400; // over all streams
};

struct LogStream
{
    std::uint64_t oldest = 0; // offset of lines.front()
    std::deque<std::string> lines;
};

struct Log
{
    LogOptions options;
    std::map<std::string, LogStream, std::less<>> streams;
    std::deque<TimeMs> recentAppendTimes; // of the last second
};

// Lines from offset `first` on. `trimmed` true: that offset is no longer retained.
struct LogSlice
{
    bool trimmed = false;
    std::uint64_t oldest = 0;
    std::uint64_t first = 0;
    std::vector<std::string> lines;
};

// Appends all lines and returns the offset of the first; nullopt when the rate limit is exceeded.
std::optional<std::uint64_t> appendLines(Log &log, std::string_view stream,
                                         absl::Span<const std::string> lines, TimeMs now);

// At most `max` lines from offset `from` on; none when `from` is the end of the stream or beyond.
LogSlice readLines(const Log &log, std::string_view stream, std::uint64_t from, std::size_t max);

} // namespace flamingo::standin

#endif
