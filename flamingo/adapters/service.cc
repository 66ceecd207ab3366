#include "flamingo/adapters/service.h"

#include <glog/logging.h>

namespace flamingo::adapters {
namespace {

constexpr std::size_t maxLoggedReasonBytes = 300;

} // namespace

void logIgnoredRecords(absl::Span<const IgnoredRecord> records)
{
    for (const IgnoredRecord &record : records)
        LOG(WARNING) << "ignored line stream=" << record.stream << " offset=" << record.offset
                     << " reason=\"" << record.reason.text.substr(0, maxLoggedReasonBytes) << "\"";
}

} // namespace flamingo::adapters
