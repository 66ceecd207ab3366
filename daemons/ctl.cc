// flamingoctl: parses the flags and runs one command of flamingo/adapters/ctl.h on the standard
// streams.

#include "flamingo/adapters/ctl.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <glog/logging.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, entry, "127.0.0.1:19001", "comma-separated entries as IP:PORT");
ABSL_FLAG(std::string, output, "table", "table or json; csv for 'table get'");
ABSL_FLAG(bool, yes, false, "apply a table file without confirmation");
ABSL_FLAG(bool, wait, true, "wait for the end of a job, or until an edit is in force");
ABSL_FLAG(std::string, author, "", "author of a table edit; $USER when empty");
ABSL_FLAG(std::string, address, "", "process to dump as IP:PORT; an entry when empty");
ABSL_FLAG(std::vector<std::string>, log, {}, "comma-separated log files for explain and account");
ABSL_FLAG(std::string, job, "", "job of which account lists the waits and runs");
ABSL_FLAG(std::uint64_t, from_ms, 0, "begin of the period of account, Unix time; 0: of the log");
ABSL_FLAG(std::uint64_t, to_ms, 0, "end of the period of account, Unix time; 0: of the log");
ABSL_FLAG(std::uint64_t, idle_ms, 3000, "shortest time without runs that account lists");
ABSL_FLAG(std::string, plot, "", "file to which account writes an SVG image");

namespace {

using flamingo::adapters::CtlOutput;

std::optional<CtlOutput> parseOutput(std::string_view name)
{
    if (name == "table")
        return CtlOutput::Table;
    if (name == "json")
        return CtlOutput::Json;
    if (name == "csv")
        return CtlOutput::Csv;
    return std::nullopt;
}

std::string authorOrUser(const std::string &author)
{
    if (!author.empty())
        return author;
    const char *user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace flamingo::adapters;

    absl::SetProgramUsageMessage(ctlHelp({}));
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    google::InitGoogleLogging(argv[0]);
    const auto output = parseOutput(absl::GetFlag(FLAGS_output));
    if (!output) {
        std::cerr << "--output must be one of table, json, csv" << std::endl;
        return static_cast<int>(CtlExit::BadInput);
    }
    CtlOptions options;
    options.entries = absl::StrSplit(absl::GetFlag(FLAGS_entry), ',', absl::SkipWhitespace());
    options.output = *output;
    options.yes = absl::GetFlag(FLAGS_yes);
    options.wait = absl::GetFlag(FLAGS_wait);
    options.author = authorOrUser(absl::GetFlag(FLAGS_author));
    options.address = absl::GetFlag(FLAGS_address);
    options.logFiles = absl::GetFlag(FLAGS_log);
    options.job = absl::GetFlag(FLAGS_job);
    options.fromMs = absl::GetFlag(FLAGS_from_ms);
    options.toMs = absl::GetFlag(FLAGS_to_ms);
    options.idleMs = absl::GetFlag(FLAGS_idle_ms);
    options.plotFile = absl::GetFlag(FLAGS_plot);
    const std::vector<std::string> words(positional.begin() + 1, positional.end());
    Loop loop;
    return static_cast<int>(runCtl(loop, options, words, std::cin, std::cout, std::cerr));
}
