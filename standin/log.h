#ifndef FLAMINGO_STANDIN_LOG_H
#define FLAMINGO_STANDIN_LOG_H

// The log service of the stand-in: streams of lines with consecutive offsets, kept in memory.
//
// All readers of a stream get its lines in the same order. A stream retains its newest
// `retentionLines` lines. The number of appends in any one second is limited to `appendsPerSecond`
// over all streams together.

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
    std::deque<TimeMs> recentAppendTimes; // of the appends in the last second
};

// Lines from offset `first` on. `trimmed` is true when that offset is no longer retained; `oldest`
// is the lowest retained offset of the stream.
struct LogSlice
{
    bool trimmed = false;
    std::uint64_t oldest = 0;
    std::uint64_t first = 0;
    std::vector<std::string> lines;
};

// Appends all lines to the stream, as one append, and returns the offset of the first line. Returns
// nullopt, and appends nothing, when the append rate limit is exceeded.
std::optional<std::uint64_t> appendLines(Log &log, std::string_view stream,
                                         absl::Span<const std::string> lines, TimeMs now);

// Returns at most `max` lines from offset `from` on, and fewer when they are large; none when
// `from` is the end of the stream or beyond, or when the stream does not exist.
LogSlice readLines(const Log &log, std::string_view stream, std::uint64_t from, std::size_t max);

} // namespace flamingo::standin

#endif
