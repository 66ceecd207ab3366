#ifndef FLAMINGO_ADAPTERS_CTL_H
#define FLAMINGO_ADAPTERS_CTL_H

// flamingoctl: the operators' command line, a client of the HTTP interface of any entry.
//
// The entries are tried in their order until one can be reached. A request that an entry may have
// received is sent to another entry only when that is safe: a read, or a job with a key. Such a
// repeated job no longer claims to be the first attempt. Whenever the outcome is unknown, the exit
// code is MayHaveRun.

#include "flamingo/adapters/loop.h"

#include <absl/types/span.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace flamingo::adapters {

enum class CtlExit {
    Done = 0,
    BadInput = 1,
    NotRun = 2, // refused, and not run
    MayHaveRun = 3,
    Unreachable = 4,
    Pending = 5, // recorded, but not in force everywhere
    VersionConflict = 6,
};

enum class CtlOutput { Table, Json, Csv };

struct CtlOptions
{
    std::vector<std::string> entries; // "IP:port"
    CtlOutput output = CtlOutput::Table;
    bool yes = false; // apply without asking
    bool wait = true;
    std::string author; // of table edits
    std::string address; // of the process to dump; empty: an entry
    std::vector<std::string> logFiles; // of processes on the platform, to explain a job from
    TimeMs readTimeoutMs = 5000;
    TimeMs waitTimeoutMs = 110000; // above maxWaitMs of every entry, below the client's own 120 s
    TimeMs pollIntervalMs = 200; // between two questions after a job
};

// Runs one command, for example {"job", "status", "j1"}. Results go to `out`, progress and errors
// to `err`; confirmations are read from `in`. Runs the loop while it waits.
CtlExit runCtl(Loop &loop, const CtlOptions &options, absl::Span<const std::string> words,
               std::istream &in, std::ostream &out, std::ostream &err);

// Help for all commands, or for those that start with `words`; empty when there is none.
std::string ctlHelp(absl::Span<const std::string> words);

} // namespace flamingo::adapters

#endif
