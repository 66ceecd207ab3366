#ifndef FLAMINGO_STANDIN_KEYED_STORE_H
#define FLAMINGO_STANDIN_KEYED_STORE_H

// In-memory stand-in for the platform's log store: keyed topics of one partition, served over HTTP.
// It lets tests run the real store client, including its fencing, without the platform.
//
// An append with a `Producer` is fenced. It is rejected when its epoch is lower than the highest
// epoch that the topic has received; a higher epoch starts a new sequence. Within an epoch an
// append that repeats the last sequence number receives the stored response again and appends
// nothing; any other append but the first must have the next sequence number. A fenced append
// without a body appends nothing and only announces its epoch.
//
// A list of the newest records holds at most 500; the next ones follow the last key (`After`).
//
// Topics grow without bound; their contents end with the process.

#include "flamingo/adapters/http_server.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo::standin {

class KeyedStore
{
public:
    // Starts listening; nullptr with a reason when the address cannot be bound.
    static std::unique_ptr<KeyedStore> listen(adapters::Loop &loop, const std::string &address,
                                              Reason &reason);
    KeyedStore(const KeyedStore &) = delete;
    KeyedStore &operator=(const KeyedStore &) = delete;

    // Changes a value before it is returned to a reader.
    using Transform = std::function<std::string(const std::string &value)>;

    // Listens on a further address, whose readers receive the values that `transform` returns.
    // False with a reason when the address cannot be bound.
    bool listenOn(const std::string &address, Transform transform, Reason &reason);

    // Appends one record without a fence, as an operator's tool does.
    void appendUnfenced(const std::string &topic, const std::string &key, const std::string &value);

    // While set, the store responds to every request with status 503.
    void setUnavailable(bool unavailable)
    {
        this->unavailable = unavailable;
    }

    // Makes the present records of a topic unreadable by offset: reads from before the end of the
    // topic get status 410. The newest record of each key can still be listed.
    void compact(const std::string &topic);

private:
    struct StoredRecord
    {
        std::string key;
        std::string value;
    };
    struct Topic
    {
        std::vector<StoredRecord> records; // index: the record's offset
        std::uint64_t firstOffset = 0; // lowest offset that can be read
        std::uint64_t epoch = 0; // highest epoch of a fenced append
        std::optional<std::uint64_t> lastSequence; // of the last fenced append of this epoch
        std::string lastResponse; // to the last append
    };

    struct Listener
    {
        std::unique_ptr<adapters::HttpServer> server;
        Transform transform; // may be empty
    };

    explicit KeyedStore(adapters::Loop &loop)
        : loop(loop)
    {
    }
    void handle(const Listener &listener, const adapters::HttpRequest &request);
    void append(const Listener &listener, const adapters::HttpRequest &request);
    void read(const Listener &listener, const adapters::HttpRequest &request, TimeMs waitMs);
    void listNewest(const Listener &listener, const adapters::HttpRequest &request);

    adapters::Loop &loop;
    std::list<Listener> listeners;
    std::map<std::string, Topic> topics;
    bool unavailable = false;
};

} // namespace flamingo::standin

#endif
