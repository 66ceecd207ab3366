#ifndef FLAMINGO_STANDIN_KEYED_STORE_H
#define FLAMINGO_STANDIN_KEYED_STORE_H

// Stand-in of the platform's log store: keyed topics of one partition, kept in memory, over HTTP.
// Appends with a fence follow the platform's rules: a lower epoch is refused, a repeated sequence
// number gets its first answer again, any other must be the next one.

#include "flamingo/adapters/http_server.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo::standin {

class KeyedStore
{
public:
    static std::unique_ptr<KeyedStore> listen(adapters::Loop &loop, const std::string &address,
                                              Reason &reason);
    KeyedStore(const KeyedStore &) = delete;
    KeyedStore &operator=(const KeyedStore &) = delete;

    // As an operator does it.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    // Every call is answered with 503 while set.
    void setBusy(bool busy)
    {
        this->busy = busy;
    }

    // Drops all records of a topic but the newest of each key.
    void compact(const std::string &topic);

private:
    struct StoredRecord
    {
        std::string key;
        std::string value;
    };
    struct Topic
    {
        std::vector<StoredRecord> records; // all, by offset; `first` and later ones can be read
        std::uint64_t firstOffset = 0;
        std::uint64_t epoch = 0;
        std::optional<std::uint64_t> lastSequence;
        std::string lastResponse;
    };

    explicit KeyedStore(adapters::Loop &loop)
        : loop(loop)
    {
    }
    void handle(const adapters::HttpRequest &request);
    void append(const adapters::HttpRequest &request);
    void read(const adapters::HttpRequest &request, TimeMs waitMs);
    void listNewest(const adapters::HttpRequest &request);
    void respond(adapters::HttpRequestId id, int status, const std::string &body);

    adapters::Loop &loop;
    std::unique_ptr<adapters::HttpServer> server;
    std::map<std::string, Topic> topics;
    bool busy = false;
};

} // namespace flamingo::standin

#endif
