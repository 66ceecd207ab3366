// flamingo-schedulerd: the daemon of an entry on the platform.

#include "daemons/platform_daemon.h"
#include "platform/entry_process.h"

int main(int argc, char **argv)
{
    return flamingo::daemons::runOnPlatform<flamingo::platform::EntryProcess>(
        argc, argv,
        "Serves callers on a front machine of the platform. One of these processes leads and\n"
        "schedules all tasks; the others take over when it is lost.");
}
