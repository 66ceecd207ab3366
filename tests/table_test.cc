// Guards against replicas that reach different tables from the same lines, against invalid records
// that are applied, and against operators' documents whose errors are not reported.

#include "flamingo/guaranteed_blocks.h"
#include "flamingo/table.h"

#include <nlohmann/json.hpp>

#include <set>
#include <tuple>

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
    edit.changedGuaranteedBlocksOnly = true;
    return edit;
}

// ---- Replicas of one stream ----

// The oracle: the stream, and the state that a reader of the whole stream has at each version.
struct Stream
{
    std::vector<std::string> lines;
    std::size_t trimmed = 0; // lines before this offset are deleted
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

// Applies up to `count` lines from offset `from` to `table`, by the rules in table.h for missed and
// trimmed lines.
void readLines(const Stream &stream, Table &table, std::size_t from, std::size_t count)
{
    if (from < stream.trimmed)
        table.awaitsSnapshot = true;
    Reason reason;
    const auto begin = std::max(from, stream.trimmed);
    const auto end = std::min(stream.lines.size(), begin + count);
    for (auto offset = begin; offset < end; ++offset)
        applyTableLine(table, stream.lines[offset], offset, reason);
}

void catchUp(const Stream &stream, Table &table)
{
    for (std::size_t round = 0; round <= stream.lines.size(); ++round) {
        if (table.nextOffset < stream.lines.size())
            readLines(stream, table, table.nextOffset, stream.lines.size());
    }
}

using Command = rc::state::Command<Stream, Replicas>;

// Runs an action on the replicas and compares each replica with the oracle.
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

// An entry whose table is `lag` versions behind appends an edit.
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
        edit.changedGuaranteedBlocksOnly = true;
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

// Appends the snapshot of a reader that has read all but the last `lag` lines of the stream.
void appendSnapshot(Stream &stream, std::size_t lag)
{
    Table table;
    Reason reason;
    const auto end = stream.lines.size() - std::min(stream.lines.size(), lag);
    for (std::size_t offset = 0; offset < end; ++offset)
        applyTableLine(table, stream.lines[offset], offset, reason);
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

// Reads lines from before, at or after the next offset, so that lines are repeated or missed.
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
            applyTableLine(replicas[this->replica], snapshotLine(from), from.nextOffset - 1,
                           reason);
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

// ---- Organisations with guarantees ----

std::vector<WorkerSite> someWorkers()
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 60);
    std::vector<WorkerSite> workers(count);
    for (std::size_t index = 0; index < count; ++index)
        workers[index] = {"w" + std::to_string(index), "west", "dc" + std::to_string(index / 30),
                          "r" + std::to_string(index / 3), 4};
    return workers;
}

std::vector<Organisation> someRows()
{
    std::vector<Organisation> rows;
    for (const auto *name : {"a", "b", "c"}) {
        if (*rc::gen::inRange(0, 3) == 0)
            continue;
        rows.push_back(organisation(name));
        const auto shapes = *rc::gen::inRange(0, 3);
        for (int shape = 0; shape < shapes; ++shape)
            rows.back().guarantees.push_back({"west", *rc::gen::inRange(1U, 40U),
                                              *rc::gen::inRange(1U, 4U),
                                              *rc::gen::inRange(1U, 5U)});
    }
    return rows;
}

// An edit that changes the organisations of `table` to exactly `rows`, without guaranteed blocks.
Edit editTo(const Table &table, const std::vector<Organisation> &rows)
{
    auto edit = editOf(table, table.version + 1, rows);
    std::set<std::string> names;
    for (const auto &row : rows)
        names.insert(row.name);
    for (const auto &[name, row] : table.organisations) {
        if (names.count(name) == 0)
            edit.removals.push_back(name);
    }
    return edit;
}

Packing packingOf(const Table &table, const std::vector<Organisation> &rows,
                  const std::vector<WorkerSite> &workers)
{
    std::map<std::string, Organisation, std::less<>> byName;
    for (const auto &row : rows)
        byName[row.name] = row;
    return packGuaranteedBlocks(byName, table.guaranteedBlocks, workers);
}

// Fails unless each copy has all its guaranteed blocks or one shortage, and no two blocks overlap.
void checkTable(const Table &table)
{
    std::map<std::string, std::uint64_t> taken;
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::set<std::string>> workers;
    for (const auto &guaranteedBlock : table.guaranteedBlocks) {
        RC_ASSERT(guaranteedBlock.first + guaranteedBlock.count <= maxAcceleratorsPerWorker);
        const auto &guarantees =
            table.organisations.find(guaranteedBlock.organisation)->second.guarantees;
        RC_ASSERT(guaranteedBlock.count == guarantees.at(guaranteedBlock.shape).accelerators);
        const auto mask = ((std::uint64_t{1} << guaranteedBlock.count) - 1)
            << guaranteedBlock.first;
        RC_ASSERT((taken[guaranteedBlock.worker] & mask) == 0U);
        taken[guaranteedBlock.worker] |= mask;
        auto &members =
            workers[{guaranteedBlock.organisation, guaranteedBlock.shape, guaranteedBlock.copy}];
        RC_ASSERT(members.insert(guaranteedBlock.worker).second);
    }
    std::set<std::tuple<std::string, std::uint32_t, std::uint32_t>> shortages;
    for (const auto &shortage : table.shortages)
        RC_ASSERT(shortages.insert({shortage.organisation, shortage.shape, shortage.copy}).second);
    std::size_t copies = 0;
    for (const auto &[name, row] : table.organisations) {
        for (std::uint32_t shape = 0; shape < row.guarantees.size(); ++shape) {
            for (std::uint32_t copy = 0; copy < row.guarantees[shape].copies; ++copy, ++copies) {
                const auto found = workers.find({name, shape, copy});
                if (found == workers.end())
                    RC_ASSERT((shortages.count({name, shape, copy}) == 1U));
                else
                    RC_ASSERT(found->second.size() == row.guarantees[shape].members);
            }
        }
    }
    RC_ASSERT(copies == workers.size() + shortages.size());
}

void checkLookups(const Table &table, const Packing &packing,
                  const std::vector<WorkerSite> &workers)
{
    for (const auto &worker : workers) {
        std::uint64_t own = 0;
        std::uint64_t others = 0;
        for (const auto &guaranteedBlock : packing.guaranteedBlocks) {
            const auto mask = ((std::uint64_t{1} << guaranteedBlock.count) - 1)
                << guaranteedBlock.first;
            if (guaranteedBlock.worker == worker.worker)
                (guaranteedBlock.organisation == "a" ? own : others) |= mask;
        }
        RC_ASSERT(guaranteedFor(table, worker.worker, "a") == own);
        RC_ASSERT(guaranteedForOthers(table, worker.worker, "a") == others);
    }
}

// Changes one value somewhere in a record.
void corruptValue(nlohmann::json &value)
{
    if (value.is_structured() && !value.empty() && *rc::gen::inRange(0, 8) > 0) {
        auto item = value.begin();
        std::advance(item, *rc::gen::inRange<std::size_t>(0, value.size()));
        if (*rc::gen::inRange(0, 8) == 0)
            value.erase(item);
        else
            corruptValue(*item);
        return;
    }
    const auto number = value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
    value = *rc::gen::element<nlohmann::json>(number + 1, number - 1, 1e30, -1, true, nullptr, "a",
                                              "", "b", "w1", nlohmann::json::array(),
                                              nlohmann::json::object());
}

// Changes the guaranteed blocks of one copy of a record such that the record often stays well
// formed.
void corruptGuaranteedBlocks(nlohmann::json &record)
{
    auto &guaranteedBlocks = record["anchors"];
    if (guaranteedBlocks.empty())
        return;
    auto organisationBlocks = guaranteedBlocks.begin();
    std::advance(organisationBlocks, *rc::gen::inRange<std::size_t>(0, guaranteedBlocks.size()));
    auto &copy =
        (*organisationBlocks)[*rc::gen::inRange<std::size_t>(0, organisationBlocks->size())];
    const auto member = 3 + 2 * *rc::gen::inRange<std::size_t>(0, (copy.size() - 3) / 2);
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        copy.erase(copy.size() - 1);
        copy.erase(copy.size() - 1);
        break;
    case 1:
        copy[member] = "w" + std::to_string(*rc::gen::inRange(0, 3));
        break;
    case 2:
        copy[member + 1] = *rc::gen::element(0, 1, 2, 61, 62, 63, 64);
        break;
    default:
        copy[*rc::gen::inRange<std::size_t>(0, 3)] = *rc::gen::inRange(0, 4);
    }
}

} // namespace

TEST_GROUP(Table){};

TEST(Table, anEditIsAppliedOnceAndASecondEditOfTheSameVersionConflicts)
{
    Table table;
    Reason reason;
    auto edit = editOf(table, 1, {organisation("a", {{"west", 1, 2, 4}})});
    edit.guaranteedBlocks = {{"a", 0, 0, 0, "w1", 0, 4}, {"a", 0, 0, 1, "w2", 4, 4}};
    const auto line = editLine(edit);
    CHECK(applyTableLine(table, line, 0, reason) == ApplyResult::Applied);
    CHECK_EQUAL(std::string(), reason.text);
    CHECK(applyTableLine(table, line, 1, reason) == ApplyResult::Repeated);
    auto conflicting = editOf(Table{}, 1, {organisation("b")});
    conflicting.writer = "entry-2";
    CHECK(applyTableLine(table, editLine(conflicting), 2, reason) == ApplyResult::Conflict);
    CHECK(reason.code == ReasonCode::VersionConflict);
    CHECK_EQUAL(1U, table.version);
    CHECK_EQUAL(0xf0U, guaranteedFor(table, "w2", "a"));
    CHECK_EQUAL(0xf0U, guaranteedForOthers(table, "w2", "b"));
    Table reader;
    CHECK(applyTableLine(reader, snapshotLine(table), 9, reason) == ApplyResult::Applied);
    CHECK_EQUAL(std::string(), reason.text);
    CHECK_EQUAL(snapshotLine(table), snapshotLine(reader));
}

TEST(Table, replicasAgreeAndVersionsNeverDecrease)
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

TEST(Table, anEditWithOnlyTheChangedGuaranteedBlocksEqualsOneWithAll)
{
    CHECK(rc::check("changed guaranteed blocks suffice", [] {
        Table table;
        Table replacedAsWhole;
        Reason reason;
        const auto workers = someWorkers();
        for (int step = *rc::gen::inRange(1, 5); step > 0; --step) {
            auto remainingWorkers = workers;
            remainingWorkers.erase(
                remainingWorkers.begin()
                + *rc::gen::inRange<std::ptrdiff_t>(0, 1 + remainingWorkers.size() / 2));
            const auto rows = someRows();
            const auto packing = packingOf(table, rows, remainingWorkers);
            auto edit = editTo(table, rows);
            setGuaranteedBlocks(edit, table, packing.guaranteedBlocks, packing.shortages);
            auto full = edit;
            full.changedGuaranteedBlocksOnly = false;
            full.guaranteedBlocks = packing.guaranteedBlocks;
            full.shortages = packing.shortages;
            const auto offset = table.nextOffset;
            RC_ASSERT(applyTableLine(table, editLine(edit), offset, reason)
                      == ApplyResult::Applied);
            RC_ASSERT(applyTableLine(replacedAsWhole, editLine(full), offset, reason)
                      == ApplyResult::Applied);
            RC_ASSERT(snapshotLine(table) == snapshotLine(replacedAsWhole));
            checkTable(table);
            checkLookups(table, packing, workers);
        }
    }));
}

TEST(Table, aCorruptRecordHasNoEffectOrLeavesAValidTable)
{
    CHECK(rc::check("corrupt records", [] {
        Table table;
        Reason reason;
        const auto workers = someWorkers();
        for (int step = 0; step < 2; ++step) {
            const auto rows = someRows();
            const auto packing = packingOf(table, rows, workers);
            auto edit = editTo(table, rows);
            setGuaranteedBlocks(edit, table, packing.guaranteedBlocks, packing.shortages);
            edit.changedGuaranteedBlocksOnly = step > 0;
            auto record = nlohmann::json::parse(editLine(edit));
            if (step > 0) {
                for (int count = *rc::gen::inRange(0, 3); count > 0; --count)
                    corruptGuaranteedBlocks(record);
                if (*rc::gen::inRange(0, 3) == 0)
                    corruptValue(record);
            }
            auto before = table;
            const auto result = applyTableLine(table, record.dump(), step, reason);
            RC_ASSERT((result == ApplyResult::Malformed) == !reason.text.empty()
                      || result == ApplyResult::Conflict);
            checkTable(table);
            before.nextOffset = table.nextOffset;
            RC_ASSERT(result == ApplyResult::Applied
                      || snapshotLine(table) == snapshotLine(before));
        }
        auto record = nlohmann::json::parse(snapshotLine(table));
        corruptGuaranteedBlocks(record);
        Table reader;
        applyTableLine(reader, record.dump(), 0, reason);
        checkTable(reader);
    }));
}

TEST(Table, everyErrorInAnOperatorsDocumentIsReported)
{
    Reason reason;
    CHECK_FALSE(parseTableChange(R"({"organisations": [
        {"name": "a", "weight": 0, "colour": "red"},
        {"name": "a", "limitAccelerators": 7, "guarantees": [
            {"region": "west", "copies": 1, "members": 2, "accelerators": 4}]},
        {"homeRegion": 5, "guarantees": [{"region": "w\"", "accelerators": 65}, 3]}],
        "remove": ["a"], "remvoe": []})",
                                 reason)
                    .has_value());
    CHECK(reason.code == ReasonCode::InvalidInput);
    CHECK_EQUAL(
        std::string(
            "remvoe: is unknown, allowed are organisations, remove\n"
            "organisations[0].colour: is unknown, allowed are name, homeRegion, weight, "
            "limitAccelerators, limitSlots, guarantees\n"
            "organisations[0].weight: is 0, must be an integer from 1 to 1000000\n"
            "organisations[1].limitAccelerators: is 7, must be 0 or from 8 (guaranteed "
            "accelerators) to 1000000\n"
            "organisations[1].name: \"a\" appears twice\n"
            "organisations[2].name: is missing\n"
            "organisations[2].homeRegion: is number, must be a string\n"
            "organisations[2].guarantees[0].region: must not begin or end with a space or contain "
            "\" or \\\n"
            "organisations[2].guarantees[0].accelerators: is 65, must be an integer from 1 to 64\n"
            "organisations[2].guarantees[1]: is number, must be an object\n"
            "remove[0]: \"a\" appears twice or is also in organisations"),
        reason.text);
    CHECK_FALSE(parseTableChange(R"({"remove": [], "remove": ["a"]})", reason).has_value());
    CHECK_EQUAL(std::string("remove: appears twice in one object"), reason.text);
}

TEST(Table, aCopyWithTwoMembersOnOneWorkerIsRejected)
{
    Table table;
    Reason reason;
    auto edit = editOf(table, 1, {organisation("a", {{"west", 1, 2, 4}})});
    edit.guaranteedBlocks = {{"a", 0, 0, 0, "w1", 0, 4}, {"a", 0, 0, 1, "w1", 4, 4}};
    CHECK(applyTableLine(table, editLine(edit), 0, reason) == ApplyResult::Malformed);
    CHECK_EQUAL(std::string("organisation \"a\", guarantee 0, copy 0: has two members on worker "
                            "\"w1\""),
                reason.text);
}

// Peers could not send a table whose snapshot does not fit into a frame.
TEST(Table, anEditThatMakesTheTableTooLargeForASnapshotIsRejected)
{
    Table table;
    Reason reason;
    for (std::uint64_t part = 1; part <= 40; ++part) {
        const auto name = "part-" + std::to_string(part);
        auto edit = editOf(table, part, {organisation(name, {{"west", 1000, 1, 1}})});
        for (std::uint32_t copy = 0; copy < 1000; ++copy)
            edit.guaranteedBlocks.push_back(
                {name, 0, copy, 0, "w" + std::to_string(part * 1000 + copy), 0, 1});
        if (applyTableLine(table, editLine(edit), part, reason) != ApplyResult::Applied)
            break;
    }
    CHECK_EQUAL(std::string("the table would take"), reason.text.substr(0, 20));
    CHECK(snapshotLine(table).size() <= maxTableBytes);
    CHECK(table.guaranteedBlocks.size() >= 25000);
}
