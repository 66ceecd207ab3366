// flamingo-schedulerd: the daemon of an entry on the platform.

#include "daemons/platform_daemon.h"
#include "platform/entry_process.h"

int main(int argc, char **argv)
{
    return flamingo::daemons::runOnPlatform<flamingo::platform::EntryProcess>(argc, argv);
}
