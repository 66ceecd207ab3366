// flamingoctl: parses the flags and runs one command of flamingo/adapters/ctl.h, or the check of a
// platform's configuration, on the standard streams.

#include "flamingo/adapters/ctl.h"
#include "platform/configuration_check.h"

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

ABSL_FLAG(std::string, in_force, "", "configuration in force, for config check");
ABSL_FLAG(std::string, store, "",
          "store that holds the configuration in force, IP:PORT, for config check");
ABSL_FLAG(std::string, workers, "", "file with a heartbeat a line, for config check");
ABSL_FLAG(std::uint64_t, memory_mb, 0, "memory of an entry in MB, for config check; 0: not known");

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

// Runs `config check FILE`; nullopt for other words.
std::optional<int> checkConfiguration(flamingo::adapters::Loop &loop,
                                      const std::vector<std::string> &words, CtlOutput output)
{
    if (words.size() < 2 || words[0] != "config" || words[1] != "check")
        return std::nullopt;
    if (words.size() != 3 || output == CtlOutput::Csv) {
        std::cerr << "usage:\n" << flamingo::platform::configurationCheckHelp;
        return static_cast<int>(flamingo::adapters::CtlExit::BadInput);
    }
    flamingo::platform::ConfigurationCheckOptions options;
    options.file = words[2];
    options.inForceFile = absl::GetFlag(FLAGS_in_force);
    options.storeAddress = absl::GetFlag(FLAGS_store);
    options.workersFile = absl::GetFlag(FLAGS_workers);
    options.memoryMb = absl::GetFlag(FLAGS_memory_mb);
    options.json = output == CtlOutput::Json;
    return runConfigurationCheck(loop, options, std::cout, std::cerr);
}

} // namespace

int main(int argc, char **argv)
{
    using namespace flamingo::adapters;

    const std::string checkHelp(flamingo::platform::configurationCheckHelp);
    absl::SetProgramUsageMessage(ctlHelp({}) + "\n" + checkHelp);
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
    if (const auto exitCode = checkConfiguration(loop, words, *output))
        return *exitCode;
    if (words.size() > 1 && words[0] == "help" && words[1] == "config") {
        std::cout << checkHelp;
        return 0;
    }
    const auto exitCode = runCtl(loop, options, words, std::cin, std::cout, std::cerr);
    if (words.size() == 1 && words[0] == "help")
        std::cout << "\n" << checkHelp;
    return static_cast<int>(exitCode);
}
