#include "standin/log.h"

#include <algorithm>

namespace flamingo::standin {
namespace {

constexpr TimeMs rateWindowMs = 1000;
constexpr std::size_t maxSliceBytes = 4194304; // the clients reject responses above 16 MiB

// Records an append at `now`. Returns false when the rate limit of the last second is used up.
bool consumeAppendQuota(Log &log, TimeMs now)
{
    while (!log.recentAppendTimes.empty() && log.recentAppendTimes.front() <= now - rateWindowMs)
        log.recentAppendTimes.pop_front();
    if (log.recentAppendTimes.size() >= log.options.appendsPerSecond)
        return false;
    log.recentAppendTimes.push_back(now);
    return true;
}

} // namespace

std::optional<std::uint64_t> appendLines(Log &log, std::string_view stream,
                                         absl::Span<const std::string> lines, TimeMs now)
{
    if (!consumeAppendQuota(log, now))
        return std::nullopt;
    LogStream &target = log.streams[std::string(stream)];
    const std::uint64_t offset = target.oldest + target.lines.size();
    target.lines.insert(target.lines.end(), lines.begin(), lines.end());
    while (target.lines.size() > log.options.retentionLines) {
        target.lines.pop_front();
        ++target.oldest;
    }
    return offset;
}

LogSlice readLines(const Log &log, std::string_view stream, std::uint64_t from, std::size_t max)
{
    LogSlice slice;
    slice.first = from;
    const auto found = log.streams.find(stream);
    if (found == log.streams.end())
        return slice;
    const LogStream &source = found->second;
    slice.oldest = source.oldest;
    slice.trimmed = from < source.oldest;
    if (slice.trimmed)
        return slice;
    std::size_t bytes = 0;
    for (std::size_t i = from - source.oldest; i < source.lines.size(); ++i) {
        if (slice.lines.size() >= max || bytes > maxSliceBytes)
            break;
        bytes += source.lines[i].size();
        slice.lines.push_back(source.lines[i]);
    }
    return slice;
}

} // namespace flamingo::standin
