#ifndef FLAMINGO_ADAPTERS_CTL_H
#define FLAMINGO_ADAPTERS_CTL_H

// flamingoctl: the command line tool of the operators, a client of the HTTP interface of the
// entries.
//
// The entries are tried in the given order until one can be reached. A request that an entry may
// have received is sent to another entry only when it may safely be repeated: a read, or a job with
// a key. A repeated job is sent with firstAttempt = false. The exit code is MayHaveRun whenever the
// outcome is unknown.

#include "flamingo/adapters/loop.h"

#include <absl/types/span.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace flamingo::adapters {

enum class CtlExit {
    Done = 0,
    BadInput = 1,
    NotRun = 2, // refused; nothing was run
    MayHaveRun = 3,
    Unreachable = 4,
    Pending = 5, // recorded, but not in force everywhere yet
    VersionConflict = 6,
};

enum class CtlOutput { Table, Json, Csv };

struct CtlOptions
{
    std::vector<std::string> entries; // "IP:port"
    CtlOutput output = CtlOutput::Table;
    bool yes = false; // apply without a confirmation
    bool wait = true; // for the end of a job, or until an edit is in force
    std::string author; // of table edits
    std::string address; // of the process to dump; empty: an entry
    std::vector<std::string> logFiles; // of processes; `explain` reads them instead of an entry
    std::string job; // of which `account` lists the waits and runs; empty: sums over all jobs
    std::uint64_t fromMs = 0; // begin of the period of `account`, Unix time; 0: of the log
    std::uint64_t toMs = 0; // end of the period of `account`, Unix time; 0: of the log
    std::uint64_t idleMs = 3000; // shortest time without runs that `account` lists
    std::string plotFile; // to which `account` writes an SVG image; empty: none
    TimeMs readTimeoutMs = 5000;
    // Above the highest maxWaitMs of an entry, 100 s, and below the 120 s of HttpClient.
    TimeMs waitTimeoutMs = 110000;
    TimeMs pollIntervalMs = 200; // between two requests for the state of a job
};

// Runs one command, for example {"job", "status", "j1"}. Writes results to `out`, progress and
// errors to `err`, and reads confirmations from `in`. Runs `loop` while it waits for answers.
CtlExit runCtl(Loop &loop, const CtlOptions &options, absl::Span<const std::string> words,
               std::istream &in, std::ostream &out, std::ostream &err);

// Returns the help for the commands that start with `words`, or for all when `words` is empty. The
// result is empty when no command matches.
std::string ctlHelp(absl::Span<const std::string> words);

} // namespace flamingo::adapters

#endif
