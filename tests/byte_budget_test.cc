// The accounting of what connections hold, alone and behind a server, with crowds of clients that
// stop short of the end of a request.

#include "flamingo/adapters/byte_budget.h"
#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/http_server.h"

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <numeric>

using namespace flamingo;
using namespace flamingo::adapters;

namespace {

constexpr const char *address = "127.0.0.1:18690";
constexpr std::uint16_t port = 18690;

// As in the programs: writing to a connection that was shut down is an error, not a signal.
const bool brokenPipesIgnored = std::signal(SIGPIPE, SIG_IGN) != SIG_ERR;

struct Fixture
{
    Loop loop;
    std::unique_ptr<HttpServer> server;
    std::vector<HttpRequest> handled;
    std::vector<int> clients;
    bool answers = true;

    explicit Fixture(std::size_t maxHeldBytes, std::size_t maxConnections = 1024,
                     TimeMs stalledMs = 0, TimeMs unreadMs = 0)
    {
        HttpServerOptions options;
        options.address = address;
        options.maxHeldBytes = maxHeldBytes;
        options.maxConnections = maxConnections;
        options.replaceIdle = true;
        options.stalledRequestMs = stalledMs;
        options.unreadResponseMs = unreadMs;
        Reason reason;
        this->server = HttpServer::listen(
            this->loop, options,
            [this](const HttpRequest &request) {
                this->handled.push_back(request);
                if (this->answers)
                    this->server->respond(request.id, {200, std::string(this->responseBytes, 'x')});
            },
            nullptr, reason);
        CHECK(this->server != nullptr);
    }
    ~Fixture()
    {
        for (const int client : this->clients)
            ::close(client);
        this->runFor(20);
    }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    void runFor(TimeMs ms)
    {
        this->loop.after(ms, [this] { this->loop.stop(); });
        this->loop.run();
        this->loop.resume();
    }

    int connectClient()
    {
        sockaddr_in target = {};
        target.sin_family = AF_INET;
        target.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
        const int client = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const int result =
            connect(client, reinterpret_cast<const sockaddr *>(&target), sizeof target);
        CHECK(result == 0 || errno == EINPROGRESS);
        this->clients.push_back(client);
        return client;
    }

    void sendText(int client, const std::string &text)
    {
        std::size_t sent = 0;
        for (int i = 0; i < 100 && sent < text.size(); ++i) {
            const ssize_t count =
                ::send(client, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            this->runFor(1);
        }
    }

    // A request of which the last `missing` bytes of the body are not sent.
    int sendPart(std::size_t bodyBytes, std::size_t missing)
    {
        const int client = this->connectClient();
        this->sendText(client,
                       "POST /part HTTP/1.1\r\nhost: h\r\ncontent-length: "
                           + std::to_string(bodyBytes) + "\r\n\r\n"
                           + std::string(bodyBytes - missing, 'x'));
        return client;
    }

    std::size_t openCount() const
    {
        return this->server->openConnections();
    }

    std::size_t responseBytes = 2;
};

} // namespace

TEST_GROUP(ByteBudget){};

TEST(ByteBudget, oldestLargeHolderGoesFirst)
{
    ByteBudget budget;
    budget.options = {100000, 16384, 0};
    for (HolderId id = 1; id <= 5; ++id)
        addHolder(budget, id, 0);
    setHeldBytes(budget, 1, 1000, true, 1);
    setHeldBytes(budget, 2, 40000, true, 2);
    setHeldBytes(budget, 3, 40000, true, 3);
    CHECK(!nextToClose(budget));
    setHeldBytes(budget, 4, 40000, true, 4);
    CHECK(nextToClose(budget) == HolderId(2));
    setHeldBytes(budget, 2, 41000, true, 5); // it moves
    CHECK(nextToClose(budget) == HolderId(3));
    setYields(budget, 3, false, 6);
    CHECK(nextToClose(budget) == HolderId(4));
    removeHolder(budget, 4);
    CHECK(!nextToClose(budget));
    UNSIGNED_LONGS_EQUAL(82000, budget.heldBytes);
    CHECK(oldestYielding(budget) == HolderId(5));
}

TEST(ByteBudget, manySmallHoldersGiveWayWhenNoLargeOneDoes)
{
    ByteBudget budget;
    budget.options = {100000, 16384, 0};
    for (HolderId id = 1; id <= 11; ++id) {
        addHolder(budget, id, 0);
        setHeldBytes(budget, id, 10000, true, TimeMs(id));
    }
    CHECK(nextToClose(budget) == HolderId(1));
}

TEST(ByteBudget, stalledHoldersAreThoseThatWaitWithBytes)
{
    ByteBudget budget;
    budget.options = {0, 0, 1000};
    for (HolderId id = 1; id <= 3; ++id)
        addHolder(budget, id, 0);
    setHeldBytes(budget, 2, 10, true, 100);
    setHeldBytes(budget, 3, 10, true, 100);
    setYields(budget, 3, false, 100);
    CHECK(stalledHolders(budget, 1099).empty());
    const auto stalled = stalledHolders(budget, 1100);
    LONGS_EQUAL(1, stalled.size());
    LONGS_EQUAL(2, stalled.front());
}

// After any order of changes the sum is that of the holders, and what is named for closing yields.
TEST(ByteBudget, sumIsThatOfAllHoldersAfterAnyOrderOfChanges)
{
    Random random(11);
    const auto below = [&random](std::uint64_t limit) { return random() % limit; };
    for (int round = 0; round < 200; ++round) {
        ByteBudget budget;
        budget.options = {50000 + below(100000), below(20000), TimeMs(below(500))};
        for (TimeMs now = 0; now < 300; ++now) {
            const HolderId id = below(12);
            switch (below(5)) {
            case 0:
                addHolder(budget, id, now);
                break;
            case 1:
                removeHolder(budget, id);
                break;
            case 2:
                setYields(budget, id, below(2) == 0, now);
                break;
            default:
                setHeldBytes(budget, id, below(60000), below(2) == 0, now);
            }
            while (const auto closed = nextToClose(budget)) {
                CHECK(budget.holders.at(*closed).yields);
                removeHolder(budget, *closed);
            }
            const std::size_t sum = std::accumulate(
                budget.holders.begin(), budget.holders.end(), std::size_t(0),
                [](std::size_t total, const auto &item) { return total + item.second.bytes; });
            UNSIGNED_LONGS_EQUAL(sum, budget.heldBytes);
            const bool allServe =
                std::none_of(budget.holders.begin(), budget.holders.end(), [](const auto &item) {
                    return item.second.yields && item.second.bytes > 0;
                });
            CHECK(!isOverLimit(budget) || allServe);
        }
    }
}

TEST(ByteBudget, serverHoldsNoMoreThanItsLimit)
{
    Fixture fixture(1000000);
    for (int i = 0; i < 30; ++i) {
        fixture.sendPart(200000, 1);
        CHECK(fixture.server->heldBytes() <= 1000000);
    }
    CHECK(fixture.server->closures().overBudget > 0);
    LONGS_EQUAL(0, fixture.handled.size()); // what was cut off is never handled
    fixture.sendText(fixture.connectClient(), "GET /small HTTP/1.1\r\nhost: h\r\n\r\n");
    LONGS_EQUAL(1, fixture.handled.size());
}

// After any order of opening, sending, stopping short, answering and closing, nothing is held.
TEST(ByteBudget, serverHoldsNothingWhenAllClientsHaveGone)
{
    Random random(5);
    Fixture fixture(600000, 20, 200, 0);
    std::vector<int> open;
    for (int step = 0; step < 150; ++step) {
        const std::uint64_t choice = random() % 5;
        if (choice == 0 && !open.empty()) {
            const std::size_t index = random() % open.size();
            ::shutdown(open[index], SHUT_RDWR);
            open.erase(open.begin() + static_cast<long>(index));
        } else if (choice == 1) {
            open.push_back(fixture.sendPart(1000 + random() % 200000, 0));
        } else if (choice == 2) {
            open.push_back(fixture.connectClient());
        } else if (choice == 3 && !open.empty()) {
            fixture.sendText(
                open[random() % open.size()],
                "GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n");
        } else {
            open.push_back(fixture.sendPart(1000 + random() % 200000, 1 + random() % 900));
        }
        CHECK(fixture.server->heldBytes() <= 600000);
        CHECK(fixture.openCount() <= 20);
    }
    for (const int client : open)
        ::shutdown(client, SHUT_RDWR);
    fixture.runFor(100);
    LONGS_EQUAL(0, fixture.openCount());
    LONGS_EQUAL(0, fixture.server->heldBytes());
    LONGS_EQUAL(0, fixture.server->pendingCount());
}

TEST(ByteBudget, newClientReplacesTheOneThatHasWaitedLongest)
{
    Fixture fixture(0, 5);
    for (int i = 0; i < 12; ++i) {
        fixture.connectClient();
        fixture.runFor(2);
    }
    LONGS_EQUAL(5, fixture.openCount());
    LONGS_EQUAL(7, fixture.server->closures().replaced);
    fixture.sendText(fixture.clients.back(), "GET /small HTTP/1.1\r\nhost: h\r\n\r\n");
    LONGS_EQUAL(1, fixture.handled.size());
}

// Connections whose requests are being handled are not closed for others.
TEST(ByteBudget, connectionsWithAPendingRequestAreKept)
{
    Fixture fixture(500000, 3);
    fixture.answers = false;
    for (int i = 0; i < 3; ++i)
        fixture.sendText(fixture.connectClient(), "GET /wait HTTP/1.1\r\nhost: h\r\n\r\n");
    LONGS_EQUAL(3, fixture.handled.size());
    fixture.connectClient();
    fixture.runFor(5);
    LONGS_EQUAL(3, fixture.openCount());
    LONGS_EQUAL(1, fixture.server->closures().refused);
    for (const HttpRequest &request : std::vector<HttpRequest>(fixture.handled))
        fixture.server->respond(request.id, {200, "{}"});
    fixture.runFor(5);
    fixture.connectClient();
    fixture.runFor(5);
    LONGS_EQUAL(1, fixture.server->closures().replaced);
}

TEST(ByteBudget, stalledRequestAndUnreadResponseAreClosed)
{
    Fixture fixture(0, 1024, 100, 100);
    fixture.sendPart(1000, 1);
    fixture.responseBytes = 30000000;
    fixture.sendText(fixture.connectClient(), "GET /large HTTP/1.1\r\nhost: h\r\n\r\n");
    fixture.runFor(1300);
    LONGS_EQUAL(1, fixture.server->closures().stalled);
    LONGS_EQUAL(1, fixture.server->closures().unread);
    LONGS_EQUAL(0, fixture.openCount());
}
