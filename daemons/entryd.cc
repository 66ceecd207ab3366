// flamingo-entryd: an entry. Serves callers and operators over HTTP.

#include "daemons/daemon.h"
#include "flamingo/adapters/entry_service.h"

int main(int argc, char **argv)
{
    using flamingo::adapters::EntryService;
    return flamingo::daemons::runDaemon<EntryService>(
        argc, argv,
        "Entry of flamingostream: accepts requests from callers and operators over HTTP.",
        flamingo::parseEntrySettings);
}
