#ifndef REVIEW_RIG_STORE_H
#define REVIEW_RIG_STORE_H

// Stand-in for the platform's metadata store: topics of one partition with appends, reads with a
// wait, and the newest record of each key. An append takes 4 ms.

#include "review/rig/http.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

namespace review {

class Store
{
public:
    Store(const std::string &ip, int port);

    // An append of the operator.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    std::atomic<bool> down{false}; // answers 503 and does nothing
    std::atomic<int> delayMs{0}; // of every answer

private:
    struct Stored
    {
        std::string key;
        std::string value;
    };
    struct Producer
    {
        std::uint64_t epoch = 0;
        std::int64_t lastSequence = -1;
        std::deque<std::pair<std::int64_t, std::string>> answers; // of the last five appends
    };
    struct Topic
    {
        std::vector<Stored> records;
        std::map<std::string, std::uint64_t> newest; // offset, by key
        std::map<std::string, Producer> producers;
    };

    Response handle(const Request &request);
    Response append(const Request &request);
    Response read(const Request &request);
    Response newest(const Request &request);

    std::mutex mutex;
    std::mutex appendMutex; // a partition executes one append at a time
    std::condition_variable changed;
    std::map<std::string, Topic> topics;
    std::unique_ptr<Server> server;
};

} // namespace review

#endif
