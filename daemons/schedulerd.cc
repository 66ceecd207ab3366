// flamingo-schedulerd: the daemon of an entry on the platform.

#include "daemons/platform_daemon.h"
#include "platform/entry_process.h"

int main(int argc, char **argv)
{
    return flamingo::daemons::runOnPlatform<flamingo::platform::EntryProcess>(
        argc, argv,
        "Serves callers. One of these processes leads and schedules all tasks; another takes over\n"
        "when it is lost.");
}
