// Guards against peers that are accepted with a wrong key, malformed frames that are accepted,
// messages that are lost because the sender does not have the receiver's address yet, and a restart
// that is not reported.

#include "flamingo/adapters/peers.h"

#include "flamingo/adapters/codec.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::adapters;

namespace {

constexpr TimeMs testTimeoutMs = 5000;
constexpr const char *entryAddress = "127.0.0.1:18441";

struct TestPeer
{
    std::vector<std::pair<std::string, Message>> messages;
    std::vector<PeerInfo> connectedPeers;
    std::vector<std::string> disconnectedProcesses;
    std::unique_ptr<Peers> peers;

    TestPeer(Loop &loop, const std::string &name, ProcessKind kind, const std::string &address,
             const std::string &key, std::uint64_t incarnation = 1)
    {
        PeersOptions options;
        options.self.process = name;
        options.self.kind = kind;
        options.self.region = "vestland";
        options.self.address = address;
        options.self.incarnation = incarnation;
        options.key = key;
        options.helloTimeoutMs = 300;
        if (address != entryAddress)
            options.seeds = {entryAddress};
        Reason reason;
        this->peers =
            Peers::listen(loop, options,
                          {[this](const std::string &from, Message message) {
                               this->messages.emplace_back(from, std::move(message));
                           },
                           [this](const PeerInfo &peer) { this->connectedPeers.push_back(peer); },
                           [this](const std::string &process) {
                               this->disconnectedProcesses.push_back(process);
                           }},
                          reason);
        CHECK(this->peers != nullptr);
    }
};

template <typename Condition>
void runUntil(Loop &loop, Condition condition, TimeMs timeoutMs = testTimeoutMs)
{
    const TimeMs end = Loop::now() + timeoutMs;
    while (!condition() && Loop::now() < end) {
        loop.after(1, [&loop] { loop.stop(); });
        loop.run();
        loop.resume();
    }
}

} // namespace

TEST_GROUP(PeersGroup)
{
    Loop *loop = nullptr;

    void setup() override
    {
        // Timers of one test must not run in the next, so each test has its own loop.
        this->loop = new Loop;
    }
    void teardown() override
    {
        delete this->loop;
    }
};

TEST(PeersGroup, agentsReachEachOtherThroughTheEntrysAddresses)
{
    TestPeer entry(*this->loop, "entry", ProcessKind::Entry, entryAddress, "secret");
    TestPeer first(*this->loop, "agent-1", ProcessKind::Agent, "127.0.0.1:18442", "secret");
    TestPeer second(*this->loop, "agent-2", ProcessKind::Agent, "127.0.0.1:18443", "secret");
    runUntil(*this->loop, [&] { return entry.connectedPeers.size() == 2; });
    CHECK_EQUAL(2U, entry.connectedPeers.size());
    GangStart start;
    start.gang = "g";
    first.peers->send("agent-2", start);
    runUntil(*this->loop, [&] { return !second.messages.empty(); });
    CHECK_EQUAL(1U, second.messages.size());
    CHECK_EQUAL(std::string("agent-1"), second.messages[0].first);
}

TEST(PeersGroup, wrongKeyIsRefused)
{
    TestPeer entry(*this->loop, "entry", ProcessKind::Entry, entryAddress, "secret");
    TestPeer wrongKeyAgent(*this->loop, "agent-1", ProcessKind::Agent, "127.0.0.1:18442", "other");
    wrongKeyAgent.peers->send("entry", GangStart());
    runUntil(*this->loop, [&] { return entry.peers->refusedConnections() > 1; });
    CHECK(entry.peers->refusedConnections() > 1);
    CHECK(entry.connectedPeers.empty());
    CHECK(entry.messages.empty());
}

TEST(PeersGroup, restartIsReportedAsDisconnectAndConnect)
{
    TestPeer entry(*this->loop, "entry", ProcessKind::Entry, entryAddress, "secret");
    auto agent = std::make_unique<TestPeer>(*this->loop, "agent-1", ProcessKind::Agent,
                                            "127.0.0.1:18442", "secret", 1);
    runUntil(*this->loop, [&] { return entry.connectedPeers.size() == 1; });
    TestPeer restarted(*this->loop, "agent-1", ProcessKind::Agent, "127.0.0.1:18443", "secret", 2);
    runUntil(*this->loop, [&] { return entry.connectedPeers.size() == 2; });
    CHECK_EQUAL(2U, entry.connectedPeers.size());
    CHECK_EQUAL(1U, entry.disconnectedProcesses.size());
    CHECK_EQUAL(2U, entry.connectedPeers.back().incarnation);
}

TEST(PeersGroup, halfOpenAndOversizedConnectionsAreClosed)
{
    TestPeer entry(*this->loop, "entry", ProcessKind::Entry, entryAddress, "secret");
    const auto connectRaw = [](std::string_view bytes) {
        Reason reason;
        auto address = *parseAddress(entryAddress, reason);
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        CHECK_EQUAL(0, connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)));
        CHECK_EQUAL(static_cast<ssize_t>(bytes.size()), write(fd, bytes.data(), bytes.size()));
        return fd;
    };
    const int halfOpen = connectRaw("");
    const int oversized = connectRaw("\xff\xff\xff\x7f");
    const int garbage = connectRaw(std::string("\x08\0\0\0garbage!", 12));
    runUntil(*this->loop, [&] { return entry.peers->refusedConnections() == 3; });
    CHECK_EQUAL(3U, entry.peers->refusedConnections());
    close(halfOpen);
    close(oversized);
    close(garbage);
}
