// Measures time and memory of packing guaranteed blocks and of applying table edits, by number of
// workers. The cluster is generated from a fixed seed.

#include "flamingo/guaranteed_blocks.h"
#include "flamingo/table.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>

namespace {

std::size_t liveBytes = 0;
std::size_t peakBytes = 0;

} // namespace

// Replacements that count the live bytes of the measured code. They must not be inlined, because
// the compiler would then warn that memory from new is released by free.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    auto *block = std::malloc(size);
    if (block == nullptr)
        throw std::bad_alloc();
    liveBytes += malloc_usable_size(block);
    peakBytes = std::max(peakBytes, liveBytes);
    return block;
}

[[gnu::noinline]] void operator delete(void *block) noexcept
{
    liveBytes -= malloc_usable_size(block);
    std::free(block);
}

[[gnu::noinline]] void operator delete(void *block, std::size_t) noexcept
{
    operator delete(block);
}

using namespace flamingo;

namespace {

using Rows = std::map<std::string, Organisation, std::less<>>;

constexpr std::uint64_t seed = 20240611;
constexpr int organisationCount = 110;
constexpr int editCount = 200;
constexpr double guaranteedShare = 0.6; // of all accelerators, before rounding to whole gangs

// Clusters of 1000 workers or more have the regions and data centres of the two-year target;
// smaller ones have two regions of one data centre each.
std::vector<WorkerSite> makeWorkers(std::size_t count, Random &random)
{
    const std::size_t dataCentres = count >= 1000 ? 17 : 2;
    const std::size_t regions = count >= 1000 ? 6 : 2;
    std::vector<WorkerSite> workers;
    workers.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        const auto dataCentre = index * dataCentres / count;
        // The target of 15,000 workers has 37,000 accelerators; workers of today's clusters have 8
        // each.
        const std::uint32_t sizes[] = {1, 1, 1, 1, 2, 2, 2, 4, 4, 7};
        const auto accelerators = count >= 15000 ? sizes[random() % 10] : 8;
        workers.push_back({"worker-" + std::to_string(100000 + index),
                           "region-" + std::to_string(dataCentre % regions),
                           "dc-" + std::to_string(dataCentre), "rack-" + std::to_string(index / 3),
                           accelerators});
    }
    return workers;
}

Rows makeRows(const std::vector<WorkerSite> &workers, Random &random)
{
    std::uint32_t total = 0;
    for (const auto &worker : workers)
        total += worker.accelerators;
    const auto share = static_cast<std::uint32_t>(guaranteedShare * total / organisationCount);
    Rows rows;
    for (int index = 0; index < organisationCount; ++index) {
        const auto name = "organisation-" + std::to_string(100 + index);
        auto &row = rows[name];
        row.name = name;
        row.homeRegion = workers[random() % workers.size()].region;
        row.weight = 1 + static_cast<std::uint32_t>(random() % 10);
        const auto members = std::min<std::uint32_t>(1U << random() % 4, std::max(1U, share / 2));
        const auto accelerators = std::min<std::uint32_t>(1U << random() % 3, std::max(1U, share));
        const auto copies = share / (members * accelerators);
        if (copies > 0)
            row.guarantees.push_back({row.homeRegion, copies, members, accelerators});
    }
    return rows;
}

template <typename Action>
double millisecondsOf(Action action)
{
    const auto begin = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count();
}

void applyOrExit(Table &table, std::string_view line)
{
    Reason reason;
    if (applyTableLine(table, line, table.nextOffset, reason) == ApplyResult::Applied)
        return;
    std::fprintf(stderr, "table_bench: %s\n", reason.text.c_str());
    std::exit(1);
}

Edit nextEdit(const Table &table)
{
    Edit edit;
    edit.baseVersion = table.version;
    edit.writer = "bench";
    edit.sequence = table.version + 1;
    edit.author = "operator";
    edit.summary = "change a weight";
    edit.changedGuaranteedBlocksOnly = true;
    return edit;
}

void benchPacking(const Rows &rows, const std::vector<WorkerSite> &workers)
{
    Packing packing;
    const auto liveBefore = liveBytes;
    peakBytes = liveBytes;
    const auto fromScratchMs =
        millisecondsOf([&] { packing = packGuaranteedBlocks(rows, {}, workers); });
    const auto peak = peakBytes - liveBefore;
    Packing repacked;
    const auto unchangedMs = millisecondsOf(
        [&] { repacked = packGuaranteedBlocks(rows, packing.guaranteedBlocks, workers); });
    auto remainingWorkers = workers;
    if (!packing.guaranteedBlocks.empty())
        remainingWorkers.erase(
            std::find_if(remainingWorkers.begin(), remainingWorkers.end(), [&](const auto &worker) {
                return worker.worker == packing.guaranteedBlocks[0].worker;
            }));
    const auto lostHostMs = millisecondsOf(
        [&] { repacked = packGuaranteedBlocks(rows, packing.guaranteedBlocks, remainingWorkers); });
    // One copy more than fits into the region, so that best fit places many and the search fails.
    auto excessRows = rows;
    auto &greedy = excessRows["greedy"];
    greedy.name = "greedy";
    greedy.guarantees = {{workers[0].region, maxCopies, 1, 1}};
    const auto missingCopies =
        packGuaranteedBlocks(excessRows, packing.guaranteedBlocks, workers).shortages.size();
    greedy.guarantees[0].copies -= static_cast<std::uint32_t>(missingCopies) - 1;
    const auto refusedMs = millisecondsOf(
        [&] { repacked = packGuaranteedBlocks(excessRows, packing.guaranteedBlocks, workers); });
    std::printf("%8zu %8zu %8zu %10.2f %10.2f %10.2f %10.2f %10zu\n", workers.size(),
                packing.guaranteedBlocks.size(), repacked.shortages.size(), fromScratchMs,
                unchangedMs, lostHostMs, refusedMs, peak / 1024);
}

void benchApply(const Rows &rows, const std::vector<WorkerSite> &workers)
{
    const auto packing = packGuaranteedBlocks(rows, {}, workers);
    Table table;
    auto first = nextEdit(table);
    for (const auto &[name, row] : rows)
        first.upserts.push_back(row);
    setGuaranteedBlocks(first, table, packing.guaranteedBlocks, packing.shortages);
    applyOrExit(table, editLine(first));
    std::size_t editBytes = 0;
    double weightEditMs = 0;
    double guaranteedBlockEditMs = 0;
    for (int index = 0; index < editCount; ++index) {
        auto edit = nextEdit(table);
        edit.upserts = {std::next(table.organisations.begin(), index % organisationCount)->second};
        edit.upserts[0].weight = 1 + static_cast<std::uint32_t>(index);
        setGuaranteedBlocks(edit, table, packing.guaranteedBlocks, packing.shortages);
        const auto line = editLine(edit);
        editBytes = std::max(editBytes, line.size());
        weightEditMs += millisecondsOf([&] { applyOrExit(table, line); });
        edit = nextEdit(table);
        if (!table.guaranteedBlocks.empty()) {
            const auto key = table.guaranteedBlocks[static_cast<std::size_t>(index)
                                                    % table.guaranteedBlocks.size()];
            edit.shortages = {{key.organisation, key.shape, key.copy, "host lost"}};
            const auto shortageLine = editLine(edit);
            auto copy = table;
            guaranteedBlockEditMs += millisecondsOf([&] { applyOrExit(copy, shortageLine); });
        }
    }
    const auto snapshot = snapshotLine(table);
    auto liveBefore = liveBytes;
    Table reader;
    peakBytes = liveBytes;
    const auto loadMs = millisecondsOf([&] { applyOrExit(reader, snapshot); });
    const auto size = liveBytes - liveBefore;
    const auto peak = peakBytes - liveBefore;
    liveBefore = liveBytes;
    peakBytes = liveBytes;
    std::string written;
    const auto writeMs = millisecondsOf([&] { written = snapshotLine(table); });
    const auto writePeak = peakBytes - liveBefore;
    std::uint64_t mask = 0;
    const auto lookupMs = millisecondsOf([&] {
        for (const auto &worker : workers)
            mask ^= guaranteedForOthers(table, worker.worker, "organisation-100");
    });
    std::printf("%8zu %8.3f %8.3f %9zu %9zu %8.2f %8.2f %8zu %8zu %8zu %8.0f %4llx\n",
                workers.size(), weightEditMs / editCount, guaranteedBlockEditMs / editCount,
                editBytes, snapshot.size(), loadMs, writeMs, size / 1024, peak / 1024,
                writePeak / 1024, 1e6 * lookupMs / static_cast<double>(workers.size()),
                static_cast<unsigned long long>(mask & 0xff));
}

} // namespace

int main()
{
    constexpr std::size_t sizes[] = {10, 100, 1000, 15000};
    std::printf("packing, %d organisations, times in ms\n%8s %8s %8s %10s %10s %10s %10s %10s\n",
                organisationCount, "workers", "anchors", "short", "scratch", "unchanged",
                "lost host", "refused", "peak KiB");
    for (const auto count : sizes) {
        Random random(seed);
        const auto workers = makeWorkers(count, random);
        benchPacking(makeRows(workers, random), workers);
    }
    std::printf("\napply, times in ms unless named\n%8s %8s %8s %9s %9s %8s %8s %8s %8s %8s %8s\n",
                "workers", "weight", "anchor", "edit B", "snap B", "load", "write", "KiB",
                "load KiB", "write KiB", "find ns");
    for (const auto count : sizes) {
        Random random(seed);
        const auto workers = makeWorkers(count, random);
        benchApply(makeRows(workers, random), workers);
    }
    return 0;
}
