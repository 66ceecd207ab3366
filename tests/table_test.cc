// Guards against replicas that reach different tables from the same lines, against records with
// mistakes that are folded, and against operators' documents whose mistakes go unnamed.

#include "flamingo/anchors.h"
#include "flamingo/table.h"
#include "tests/fixed_seed.h"

using namespace flamingo;

namespace {

const bool started = startRapidCheck("seed=20240611 max_success=500 max_size=100");

Organisation organisation(std::string_view name, std::vector<GuaranteedShape> guarantees = {})
{
    Organisation row;
    row.name = name;
    row.homeRegion = "west";
    row.guarantees = std::move(guarantees);
    return row;
}

Edit editOf(const Table &table, std::uint64_t sequence, std::vector<Organisation> upserts)
{
    Edit edit;
    edit.baseVersion = table.version;
    edit.writer = "entry-1";
    edit.sequence = sequence;
    edit.upserts = std::move(upserts);
    edit.changedAnchorsOnly = true;
    return edit;
}

// ---- Replicas of one stream ----

// The oracle: what a reader of the whole stream has after each version, as text.
struct Stream
{
    std::vector<std::string> lines;
    std::size_t trimmed = 0; // lines before this offset are gone
    std::map<std::string, std::uint32_t> weights;
    std::vector<std::string> states{""}; // by version
    std::uint64_t sequence = 0;
};

std::string stateOf(const std::map<std::string, std::uint32_t> &weights)
{
    std::string text;
    for (const auto &[name, weight] : weights)
        text += name + "=" + std::to_string(weight) + ";";
    return text;
}

std::string stateOf(const Table &table)
{
    std::map<std::string, std::uint32_t> weights;
    for (const auto &[name, row] : table.organisations)
        weights[name] = row.weight;
    return stateOf(weights);
}

constexpr std::size_t replicaCount = 4;
using Replicas = std::vector<Table>;

void checkReplicas(const Stream &stream, const Replicas &before, const Replicas &after)
{
    for (std::size_t index = 0; index < replicaCount; ++index) {
        RC_ASSERT(after[index].version >= before[index].version);
        RC_ASSERT(after[index].version < stream.states.size());
        RC_ASSERT(stateOf(after[index]) == stream.states[after[index].version]);
    }
}

// Reads up to `count` lines from `from`, as a process does that follows the rules in table.h.
void readLines(const Stream &stream, Table &table, std::size_t from, std::size_t count)
{
    if (from < stream.trimmed)
        table.awaitsSnapshot = true;
    Reason reason;
    const auto begin = std::max(from, stream.trimmed);
    const auto end = std::min(stream.lines.size(), begin + count);
    for (auto offset = begin; offset < end; ++offset)
        foldTable(table, stream.lines[offset], offset, reason);
}

void catchUp(const Stream &stream, Table &table)
{
    for (std::size_t round = 0; round <= stream.lines.size(); ++round) {
        if (table.nextOffset < stream.lines.size())
            readLines(stream, table, table.nextOffset, stream.lines.size());
    }
}

using Command = rc::state::Command<Stream, Replicas>;

// Runs an action on the replicas and compares them with the oracle.
struct ReplicaCommand : Command
{
    std::size_t replica = *rc::gen::inRange<std::size_t>(0, replicaCount);

    virtual void act(const Stream &stream, Replicas &replicas) const = 0;

    void run(const Stream &before, Replicas &replicas) const override
    {
        const auto former = replicas;
        this->act(before, replicas);
        checkReplicas(before, former, replicas);
    }
};

// An entry whose table is at any version appends an edit.
struct AppendEdit : Command
{
    std::uint64_t lag = *rc::gen::weightedElement<std::uint64_t>({{6, 0}, {2, 1}, {1, 2}});
    std::string name = *rc::gen::element<std::string>("a", "b", "c");
    std::uint32_t weight = *rc::gen::inRange<std::uint32_t>(1, 1000);

    void apply(Stream &stream) const override
    {
        const auto version = stream.states.size() - 1;
        Edit edit;
        edit.baseVersion = version - std::min<std::uint64_t>(this->lag, version);
        edit.writer = "entry-" + this->name;
        edit.sequence = ++stream.sequence;
        edit.upserts = {organisation(this->name)};
        edit.upserts[0].weight = this->weight;
        edit.changedAnchorsOnly = true;
        stream.lines.push_back(editLine(edit));
        if (edit.baseVersion != version)
            return;
        stream.weights[this->name] = this->weight;
        stream.states.push_back(stateOf(stream.weights));
    }
    void run(const Stream &, Replicas &) const override
    {
    }
    void show(std::ostream &os) const override
    {
        os << "AppendEdit(" << this->name << ", lag " << this->lag << ")";
    }
};

struct AppendRepeat : Command
{
    std::size_t back = *rc::gen::inRange<std::size_t>(1, 6);

    void checkPreconditions(const Stream &stream) const override
    {
        RC_PRE(stream.lines.size() >= this->back);
    }
    void apply(Stream &stream) const override
    {
        stream.lines.push_back(stream.lines[stream.lines.size() - this->back]);
    }
    void run(const Stream &, Replicas &) const override
    {
    }
    void show(std::ostream &os) const override
    {
        os << "AppendRepeat(" << this->back << ")";
    }
};

// Appends the snapshot of a reader of the whole stream up to `lag` lines ago.
void appendSnapshot(Stream &stream, std::size_t lag)
{
    Table table;
    Reason reason;
    const auto end = stream.lines.size() - std::min(stream.lines.size(), lag);
    for (std::size_t offset = 0; offset < end; ++offset)
        foldTable(table, stream.lines[offset], offset, reason);
    stream.lines.push_back(snapshotLine(table));
}

struct AppendSnapshot : Command
{
    std::size_t lag = *rc::gen::inRange<std::size_t>(0, 3);

    void apply(Stream &stream) const override
    {
        appendSnapshot(stream, this->lag);
    }
    void run(const Stream &, Replicas &) const override
    {
    }
    void show(std::ostream &os) const override
    {
        os << "AppendSnapshot(lag " << this->lag << ")";
    }
};

struct Trim : Command
{
    std::size_t kept = *rc::gen::inRange<std::size_t>(0, 8);

    void apply(Stream &stream) const override
    {
        if (stream.lines.size() > this->kept)
            stream.trimmed = std::max(stream.trimmed, stream.lines.size() - this->kept);
    }
    void run(const Stream &, Replicas &) const override
    {
    }
    void show(std::ostream &os) const override
    {
        os << "Trim(" << this->kept << ")";
    }
};

// Reads lines from before, at or beyond the next offset, so lines are repeated or missed.
struct Read : ReplicaCommand
{
    int shift = *rc::gen::weightedElement<int>({{6, 0}, {1, -2}, {1, 1}, {1, 3}});
    std::size_t count = *rc::gen::inRange<std::size_t>(1, 6);

    void act(const Stream &stream, Replicas &replicas) const override
    {
        auto &table = replicas[this->replica];
        const auto from =
            std::max<std::int64_t>(0, static_cast<std::int64_t>(table.nextOffset) + this->shift);
        if (table.nextOffset == 0 && from > 0)
            table.awaitsSnapshot = true;
        readLines(stream, table, static_cast<std::size_t>(from), this->count);
    }
    void show(std::ostream &os) const override
    {
        os << "Read(" << this->replica << ", " << this->shift << ", " << this->count << ")";
    }
};

struct Restart : ReplicaCommand
{
    void run(const Stream &, Replicas &replicas) const override
    {
        replicas[this->replica] = Table();
    }
    void act(const Stream &, Replicas &) const override
    {
    }
    void show(std::ostream &os) const override
    {
        os << "Restart(" << this->replica << ")";
    }
};

struct SnapshotFromPeer : ReplicaCommand
{
    std::size_t peer = *rc::gen::inRange<std::size_t>(0, replicaCount);

    void act(const Stream &, Replicas &replicas) const override
    {
        const auto from = replicas[this->peer];
        Reason reason;
        if (from.nextOffset > 0)
            foldTable(replicas[this->replica], snapshotLine(from), from.nextOffset - 1, reason);
    }
    void show(std::ostream &os) const override
    {
        os << "SnapshotFromPeer(" << this->peer << " to " << this->replica << ")";
    }
};

// Once a current snapshot is in the stream, every replica that catches up has the same table.
struct CatchUpAll : ReplicaCommand
{
    void apply(Stream &stream) const override
    {
        appendSnapshot(stream, 0);
    }
    void run(const Stream &before, Replicas &replicas) const override
    {
        auto stream = before;
        this->apply(stream);
        const auto former = replicas;
        for (auto &table : replicas) {
            catchUp(stream, table);
            RC_ASSERT(table.version == stream.states.size() - 1);
            RC_ASSERT(table.nextOffset == stream.lines.size());
        }
        checkReplicas(stream, former, replicas);
        for (const auto &table : replicas)
            RC_ASSERT(snapshotLine(table) == snapshotLine(replicas[0]));
    }
    void act(const Stream &, Replicas &) const override
    {
    }
    void show(std::ostream &os) const override
    {
        os << "CatchUpAll";
    }
};

} // namespace

TEST_GROUP(Table){};

TEST(Table, anEditIsAppliedOnceAndTheLoserOfARaceConflicts)
{
    Table table;
    Reason reason;
    auto edit = editOf(table, 1, {organisation("a", {{"west", 1, 2, 4}})});
    edit.anchors = {{"a", 0, 0, 0, "w1", 0, 4}, {"a", 0, 0, 1, "w2", 4, 4}};
    const auto line = editLine(edit);
    CHECK(foldTable(table, line, 0, reason) == FoldResult::Applied);
    CHECK_EQUAL(std::string(), reason.text);
    CHECK(foldTable(table, line, 1, reason) == FoldResult::Repeated);
    auto loser = editOf(Table{}, 1, {organisation("b")});
    loser.writer = "entry-2";
    CHECK(foldTable(table, editLine(loser), 2, reason) == FoldResult::Conflict);
    CHECK(reason.code == ReasonCode::VersionConflict);
    CHECK_EQUAL(1U, table.version);
    CHECK_EQUAL(0xf0U, anchoredFor(table, "w2", "a"));
    CHECK_EQUAL(0xf0U, anchoredForOthers(table, "w2", "b"));
    Table reader;
    CHECK(foldTable(reader, snapshotLine(table), 9, reason) == FoldResult::Applied);
    CHECK_EQUAL(std::string(), reason.text);
    CHECK_EQUAL(snapshotLine(table), snapshotLine(reader));
}

TEST(Table, replicasAgreeAndVersionsNeverGoBack)
{
    CHECK(rc::check("replicas agree", [] {
        Replicas replicas(replicaCount);
        rc::state::check(
            Stream(), replicas,
            rc::state::gen::execOneOfWithArgs<AppendEdit, AppendEdit, AppendRepeat, AppendSnapshot,
                                              Trim, Read, Read, Read, Restart, SnapshotFromPeer,
                                              CatchUpAll>());
    }));
}
