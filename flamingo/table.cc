#include "flamingo/table.h"

#include "flamingo/json_parse.h"
#include "flamingo/json_text.h"
#include "flamingo/messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <initializer_list>
#include <limits>
#include <set>
#include <tuple>

// Records and operators' documents are JSON. The same readers validate both: they walk the
// document, report every error with the path of its field, and fill the plain structs.
//
// Guaranteed blocks in records are grouped by organisation, one array per copy:
//
//   "anchors": {"ORGANISATION": [[shape, copy, count, "WORKER", first, "WORKER", first, ...], ...]}
//
// with one worker and first accelerator per member, in order. In this form 37,000 blocks of one
// accelerator fit into one frame.
//
// Applying an edit first computes the new organisations, blocks and shortages beside the table,
// validates them, and moves them into the table only when there is no error. By induction the
// copies that an edit does not touch are complete and disjoint, so only touched workers and
// organisations are checked. The list of blocks is kept ordered by worker and first accelerator, so
// that the blocks of one worker are found by binary search.

namespace flamingo {
namespace {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;
using NameSet = std::set<std::string, std::less<>>;

// Lists of at most this many blocks are scanned linearly: that costs no more than a binary search,
// and such a list may be in any order.
constexpr std::size_t maxScannedGuaranteedBlocks = 64;

struct Range
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

constexpr Range anyNumber{0, std::numeric_limits<std::uint64_t>::max()};
// Each edit takes one line and raises the version by 1, so a version does not exceed the number of
// lines by more than the version of the first Snapshot.
constexpr std::uint64_t maxVersionLead = 1ULL << 32U;
constexpr Range sequenceRange{0, std::numeric_limits<std::int64_t>::max()};
constexpr Range shapeIndexRange{0, maxGuarantees - 1};
constexpr Range copyIndexRange{0, maxCopies - 1};
constexpr Range acceleratorsRange{1, maxAcceleratorsPerWorker};

enum class Presence { Required, Optional };

// ---- Errors ----

struct Problems
{
    std::vector<std::string> texts;
    std::size_t count = 0;
};

std::string concat(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const auto part : parts)
        text.append(part);
    return text;
}

void addProblem(Problems &problems, std::string_view path, std::string_view text)
{
    ++problems.count;
    if (problems.texts.size() < maxProblems)
        problems.texts.push_back(path.empty() ? std::string(text) : concat({path, ": ", text}));
}

Reason toReason(const Problems &problems)
{
    Reason reason{ReasonCode::InvalidInput, {}};
    for (const auto &text : problems.texts)
        reason.text += (reason.text.empty() ? "" : "\n") + text;
    const auto omitted = problems.count - problems.texts.size();
    if (omitted > 0)
        reason.text += "\nand " + std::to_string(omitted) + " more errors";
    return reason;
}

std::string inQuotes(std::string_view text)
{
    return concat({"\"", text, "\""});
}

std::string fieldPath(std::string_view path, std::string_view key)
{
    const bool needsNoDot = path.empty() || path.back() == ' ';
    return concat({path, needsNoDot ? "" : ".", key});
}

std::string itemPath(std::string_view path, std::size_t index)
{
    return concat({path, "[", std::to_string(index), "]"});
}

// ---- Readers ----

std::string rangeText(Range range)
{
    if (range.max == anyNumber.max)
        return "an integer of at least " + std::to_string(range.min);
    return concat(
        {"an integer from ", std::to_string(range.min), " to ", std::to_string(range.max)});
}

template <typename Number>
bool readNumber(const Json &value, std::string_view path, Range range, Number &number,
                Problems &problems)
{
    if (value.is_number_unsigned()) {
        const auto read = value.get<std::uint64_t>();
        if (read >= range.min && read <= range.max) {
            number = static_cast<Number>(read);
            return true;
        }
    }
    const bool isShort = value.is_string() && value.get_ref<const std::string &>().size() <= 32;
    const auto shown =
        value.is_number() || isShort ? jsonText(value) : std::string(value.type_name());
    addProblem(problems, path, concat({"is ", shown, ", must be ", rangeText(range)}));
    return false;
}

bool isControl(char character)
{
    return static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
}

bool readText(const Json &value, std::string_view path, Range bytes, std::string &text,
              Problems &problems)
{
    if (!value.is_string()) {
        addProblem(problems, path, concat({"is ", value.type_name(), ", must be a string"}));
        return false;
    }
    const auto &read = value.get_ref<const std::string &>();
    if (read.size() < bytes.min || read.size() > bytes.max) {
        addProblem(problems, path,
                   concat({"has ", std::to_string(read.size()), " bytes, must have ",
                           std::to_string(bytes.min), " to ", std::to_string(bytes.max)}));
        return false;
    }
    if (std::any_of(read.begin(), read.end(), isControl)) {
        addProblem(problems, path, "must not contain control characters");
        return false;
    }
    text = read;
    return true;
}

bool readName(const Json &value, std::string_view path, std::string &name, Problems &problems)
{
    if (!readText(value, path, {1, maxNameBytes}, name, problems))
        return false;
    const bool padded = name.front() == ' ' || name.back() == ' ';
    if (!padded && name.find_first_of("\"\\") == std::string::npos)
        return true;
    addProblem(problems, path, "must not begin or end with a space or contain \" or \\");
    return false;
}

const Json *findField(const Json &object, std::string_view path, const char *key, Presence presence,
                      Problems &problems)
{
    const auto found = object.find(key);
    if (found != object.end())
        return &*found;
    if (presence == Presence::Required)
        addProblem(problems, fieldPath(path, key), "is missing");
    return nullptr;
}

template <typename Number>
void numberField(const Json &object, std::string_view path, const char *key, Range range,
                 Presence presence, Number &number, Problems &problems)
{
    const auto *value = findField(object, path, key, presence, problems);
    if (value != nullptr)
        readNumber(*value, fieldPath(path, key), range, number, problems);
}

void textField(const Json &object, std::string_view path, const char *key, Range bytes,
               Presence presence, std::string &text, Problems &problems)
{
    const auto *value = findField(object, path, key, presence, problems);
    if (value != nullptr)
        readText(*value, fieldPath(path, key), bytes, text, problems);
}

void nameField(const Json &object, std::string_view path, const char *key, std::string &name,
               Problems &problems)
{
    const auto *value = findField(object, path, key, Presence::Required, problems);
    if (value != nullptr)
        readName(*value, fieldPath(path, key), name, problems);
}

bool readObject(const Json &value, std::string_view path,
                std::initializer_list<std::string_view> keys, Problems &problems)
{
    if (!value.is_object()) {
        addProblem(problems, path, concat({"is ", value.type_name(), ", must be an object"}));
        return false;
    }
    for (const auto &[key, unused] : value.items()) {
        if (std::find(keys.begin(), keys.end(), key) != keys.end())
            continue;
        std::string known;
        for (const auto name : keys)
            known += concat({known.empty() ? "" : ", ", name});
        addProblem(problems, fieldPath(path, key), concat({"is unknown, allowed are ", known}));
    }
    return true;
}

// The array under `key`, or an empty one.
const Json &arrayField(const Json &object, std::string_view path, const char *key,
                       std::size_t maxItems, Problems &problems)
{
    static const Json empty; // null iterates as empty
    const auto found = object.find(key);
    if (found == object.end())
        return empty;
    if (!found->is_array()) {
        addProblem(problems, fieldPath(path, key),
                   concat({"is ", found->type_name(), ", must be an array"}));
        return empty;
    }
    if (found->size() > maxItems) {
        addProblem(problems, fieldPath(path, key),
                   concat({"has ", std::to_string(found->size()), " items, must have at most ",
                           std::to_string(maxItems)}));
        return empty;
    }
    return *found;
}

// ---- Rows ----

void readShape(const Json &value, std::string_view path, GuaranteedShape &shape, Problems &problems)
{
    if (!readObject(value, path, {"region", "copies", "members", "accelerators"}, problems))
        return;
    nameField(value, path, "region", shape.region, problems);
    numberField(value, path, "copies", {1, maxCopies}, Presence::Optional, shape.copies, problems);
    numberField(value, path, "members", {1, maxGangMembers}, Presence::Optional, shape.members,
                problems);
    numberField(value, path, "accelerators", acceleratorsRange, Presence::Required,
                shape.accelerators, problems);
}

std::uint64_t guaranteedAccelerators(const Organisation &organisation)
{
    std::uint64_t total = 0;
    for (const auto &shape : organisation.guarantees)
        total += std::uint64_t{shape.copies} * shape.members * shape.accelerators;
    return total;
}

// Rejects a limit below the guarantees: the organisation could then never reclaim them in full.
void checkLimit(const Organisation &organisation, std::string_view path, Problems &problems)
{
    const auto total = guaranteedAccelerators(organisation);
    if (organisation.limitAccelerators == 0 || organisation.limitAccelerators >= total)
        return;
    addProblem(problems, fieldPath(path, "limitAccelerators"),
               concat({"is ", std::to_string(organisation.limitAccelerators),
                       ", must be 0 or from ", std::to_string(total),
                       " (guaranteed accelerators) to ", std::to_string(maxLimit)}));
}

void readOrganisation(const Json &value, std::string_view path, Organisation &organisation,
                      Problems &problems)
{
    if (!readObject(
            value, path,
            {"name", "homeRegion", "weight", "limitAccelerators", "limitSlots", "guarantees"},
            problems))
        return;
    const auto before = problems.count;
    nameField(value, path, "name", organisation.name, problems);
    textField(value, path, "homeRegion", {0, maxNameBytes}, Presence::Optional,
              organisation.homeRegion, problems);
    numberField(value, path, "weight", {1, maxWeight}, Presence::Optional, organisation.weight,
                problems);
    numberField(value, path, "limitAccelerators", {0, maxLimit}, Presence::Optional,
                organisation.limitAccelerators, problems);
    numberField(value, path, "limitSlots", {0, maxLimit}, Presence::Optional,
                organisation.limitSlots, problems);
    const auto list = fieldPath(path, "guarantees");
    for (const auto &item : arrayField(value, path, "guarantees", maxGuarantees, problems)) {
        const auto index = organisation.guarantees.size();
        readShape(item, itemPath(list, index), organisation.guarantees.emplace_back(), problems);
    }
    if (problems.count == before)
        checkLimit(organisation, path, problems);
}

void readOrganisations(const Json &object, const char *key, std::vector<Organisation> &rows,
                       Problems &problems)
{
    NameSet names;
    for (const auto &item : arrayField(object, "", key, maxOrganisations, problems)) {
        const auto path = itemPath(key, rows.size());
        auto &row = rows.emplace_back();
        readOrganisation(item, path, row, problems);
        if (!row.name.empty() && !names.insert(row.name).second)
            addProblem(problems, fieldPath(path, "name"),
                       concat({inQuotes(row.name), " appears twice"}));
    }
}

void readNames(const Json &object, const char *key, std::vector<std::string> &names,
               Problems &problems)
{
    for (const auto &item : arrayField(object, "", key, maxOrganisations, problems)) {
        const auto path = itemPath(key, names.size());
        readName(item, path, names.emplace_back(), problems);
    }
}

// ---- Guaranteed blocks and shortages ----

auto positionOf(const GuaranteedBlock &guaranteedBlock)
{
    return std::tie(guaranteedBlock.worker, guaranteedBlock.first);
}

template <typename Item>
auto copyOf(const Item &item)
{
    return std::tie(item.organisation, item.shape, item.copy);
}

using CopyKey = std::tuple<std::string, std::uint32_t, std::uint32_t>;
using CopySet = std::set<CopyKey, std::less<>>;

bool beforeByPosition(const GuaranteedBlock &left, const GuaranteedBlock &right)
{
    return positionOf(left) < positionOf(right);
}

bool beforeByMember(const GuaranteedBlock &left, const GuaranteedBlock &right)
{
    return std::tuple_cat(copyOf(left), std::tie(left.count, left.member))
        < std::tuple_cat(copyOf(right), std::tie(right.count, right.member));
}

bool beforeByCopy(const Shortage &left, const Shortage &right)
{
    return copyOf(left) < copyOf(right);
}

std::uint64_t blockMask(std::uint32_t first, std::uint32_t count)
{
    if (count >= maxAcceleratorsPerWorker)
        return ~std::uint64_t{0};
    return ((std::uint64_t{1} << count) - 1) << first;
}

void readCopy(const Json &value, std::string_view path, std::string_view organisation,
              std::vector<GuaranteedBlock> &guaranteedBlocks, Problems &problems)
{
    if (!value.is_array() || value.size() < 5 || value.size() % 2 == 0
        || value.size() > 3 + 2 * std::size_t{maxGangMembers}) {
        addProblem(problems, path, "must be [shape, copy, count, worker, first, ...]");
        return;
    }
    GuaranteedBlock guaranteedBlock;
    guaranteedBlock.organisation = organisation;
    const auto before = problems.count;
    readNumber(value[0], itemPath(path, 0), shapeIndexRange, guaranteedBlock.shape, problems);
    readNumber(value[1], itemPath(path, 1), copyIndexRange, guaranteedBlock.copy, problems);
    readNumber(value[2], itemPath(path, 2), acceleratorsRange, guaranteedBlock.count, problems);
    if (problems.count != before)
        return;
    const Range firstRange{0, maxAcceleratorsPerWorker - guaranteedBlock.count};
    for (std::size_t index = 3; index < value.size(); index += 2) {
        readName(value[index], itemPath(path, index), guaranteedBlock.worker, problems);
        readNumber(value[index + 1], itemPath(path, index + 1), firstRange, guaranteedBlock.first,
                   problems);
        guaranteedBlocks.push_back(guaranteedBlock);
        ++guaranteedBlock.member;
    }
}

void readGuaranteedBlocks(const Json &object, std::vector<GuaranteedBlock> &guaranteedBlocks,
                          Problems &problems)
{
    const auto found = object.find("anchors");
    if (found == object.end())
        return;
    if (!found->is_object()) {
        addProblem(problems, "anchors", "must be an object");
        return;
    }
    for (const auto &[organisation, copies] : found->items()) {
        if (organisation.size() > maxNameBytes) {
            addProblem(problems, "anchors", "has an organisation whose name is too long");
            continue;
        }
        const auto path = concat({"anchors[", inQuotes(organisation), "]"});
        if (!copies.is_array()) {
            addProblem(problems, path, "must be an array");
            continue;
        }
        std::size_t index = 0;
        for (const auto &copy : copies)
            readCopy(copy, itemPath(path, index++), organisation, guaranteedBlocks, problems);
    }
    if (guaranteedBlocks.size() > maxGuaranteedBlocks)
        addProblem(
            problems, "anchors",
            concat({"has more than ", std::to_string(maxGuaranteedBlocks), " guaranteed blocks"}));
}

void readShortages(const Json &object, std::vector<Shortage> &shortages, Problems &problems)
{
    for (const auto &item : arrayField(object, "", "shortages", maxGuaranteedBlocks, problems)) {
        const auto path = itemPath("shortages", shortages.size());
        auto &shortage = shortages.emplace_back();
        if (!readObject(item, path, {"organisation", "shape", "copy", "cause"}, problems))
            continue;
        nameField(item, path, "organisation", shortage.organisation, problems);
        numberField(item, path, "shape", shapeIndexRange, Presence::Required, shortage.shape,
                    problems);
        numberField(item, path, "copy", copyIndexRange, Presence::Required, shortage.copy,
                    problems);
        textField(item, path, "cause", {1, maxCauseBytes}, Presence::Required, shortage.cause,
                  problems);
    }
}

// ---- Writers ----

OrderedJson toJson(const GuaranteedShape &shape)
{
    return {{"region", shape.region},
            {"copies", shape.copies},
            {"members", shape.members},
            {"accelerators", shape.accelerators}};
}

OrderedJson toJson(const Organisation &organisation)
{
    auto guarantees = OrderedJson::array();
    for (const auto &shape : organisation.guarantees)
        guarantees.push_back(toJson(shape));
    return {{"name", organisation.name},
            {"homeRegion", organisation.homeRegion},
            {"weight", organisation.weight},
            {"limitAccelerators", organisation.limitAccelerators},
            {"limitSlots", organisation.limitSlots},
            {"guarantees", std::move(guarantees)}};
}

OrderedJson toJson(const std::vector<Shortage> &shortages)
{
    auto list = OrderedJson::array();
    for (const auto &shortage : shortages)
        list.push_back({{"organisation", shortage.organisation},
                        {"shape", shortage.shape},
                        {"copy", shortage.copy},
                        {"cause", shortage.cause}});
    return list;
}

OrderedJson toJson(const std::vector<HistoryEntry> &history)
{
    auto list = OrderedJson::array();
    for (const auto &entry : history)
        list.push_back({{"version", entry.version},
                        {"author", entry.author},
                        {"summary", entry.summary},
                        {"writtenUnixMs", entry.writtenUnixMs}});
    return list;
}

OrderedJson toJson(const std::vector<GuaranteedBlock> &guaranteedBlocks)
{
    std::vector<const GuaranteedBlock *> ordered;
    ordered.reserve(guaranteedBlocks.size());
    for (const auto &guaranteedBlock : guaranteedBlocks)
        ordered.push_back(&guaranteedBlock);
    std::sort(ordered.begin(), ordered.end(),
              [](const auto *left, const auto *right) { return beforeByMember(*left, *right); });
    auto object = OrderedJson::object();
    const GuaranteedBlock *last = nullptr;
    OrderedJson *copies = nullptr;
    for (const auto *guaranteedBlock : ordered) {
        if (last == nullptr || last->organisation != guaranteedBlock->organisation)
            copies = &(object[guaranteedBlock->organisation] = OrderedJson::array());
        const bool sameGroup = last != nullptr && copyOf(*last) == copyOf(*guaranteedBlock)
            && last->count == guaranteedBlock->count;
        if (!sameGroup)
            copies->push_back(
                {guaranteedBlock->shape, guaranteedBlock->copy, guaranteedBlock->count});
        copies->back().push_back(guaranteedBlock->worker);
        copies->back().push_back(guaranteedBlock->first);
        last = guaranteedBlock;
    }
    return object;
}

template <typename Rows>
OrderedJson rowsJson(const Rows &rows)
{
    auto list = OrderedJson::array();
    for (const auto &row : rows) {
        if constexpr (std::is_same_v<Rows, std::vector<Organisation>>)
            list.push_back(toJson(row));
        else
            list.push_back(toJson(row.second));
    }
    return list;
}

// ---- Application of records ----

using Rows = std::map<std::string, Organisation, std::less<>>;

const GuaranteedShape *findShape(const Rows &rows, std::string_view organisation,
                                 std::uint32_t shape)
{
    const auto row = rows.find(organisation);
    if (row == rows.end() || shape >= row->second.guarantees.size())
        return nullptr;
    return &row->second.guarantees[shape];
}

// The state of the parts of a table that an edit changes, after the edit.
struct Change
{
    Rows rows;
    NameSet affected; // organisations that may lose blocks or shortages
    CopySet copiesInRecord; // copies that the record gives blocks or a shortage
    std::vector<GuaranteedBlock> guaranteedBlocks; // of the record, ordered by copy and member
    std::vector<Shortage> shortages;
};

std::string copyPath(std::string_view organisation, std::uint32_t shape, std::uint32_t copy)
{
    return concat({"organisation ", inQuotes(organisation), ", guarantee ", std::to_string(shape),
                   ", copy ", std::to_string(copy)});
}

// Checks the guaranteed blocks of one copy, [begin, end), which are ordered by member.
void checkCopy(const Rows &rows, const GuaranteedBlock *begin, const GuaranteedBlock *end,
               Problems &problems)
{
    const auto path = copyPath(begin->organisation, begin->shape, begin->copy);
    const auto *shape = findShape(rows, begin->organisation, begin->shape);
    if (shape == nullptr || begin->copy >= shape->copies) {
        addProblem(problems, path,
                   "has guaranteed blocks, but the organisation has no such guarantee");
        return;
    }
    const auto members = static_cast<std::size_t>(end - begin);
    if (members != shape->members)
        addProblem(problems, path,
                   concat({"has ", std::to_string(members), " guaranteed blocks, must have ",
                           std::to_string(shape->members)}));
    std::set<std::string_view> workers;
    for (const auto &guaranteedBlock : absl::MakeConstSpan(begin, members)) {
        if (guaranteedBlock.count != shape->accelerators)
            addProblem(problems, path,
                       concat({"has a guaranteed block of ", std::to_string(guaranteedBlock.count),
                               " accelerators, must have ", std::to_string(shape->accelerators)}));
        if (!workers.insert(guaranteedBlock.worker).second)
            addProblem(problems, path,
                       concat({"has two members on worker ", inQuotes(guaranteedBlock.worker)}));
    }
}

void checkCopies(Change &change, Problems &problems)
{
    const auto *begin = change.guaranteedBlocks.data();
    const auto *const end = begin + change.guaranteedBlocks.size();
    while (begin != end) {
        const auto *next = begin;
        while (next != end && copyOf(*next) == copyOf(*begin))
            ++next;
        checkCopy(change.rows, begin, next, problems);
        change.copiesInRecord.insert(CopyKey(copyOf(*begin)));
        begin = next;
    }
    for (const auto &shortage : change.shortages) {
        const auto path = copyPath(shortage.organisation, shortage.shape, shortage.copy);
        const auto *shape = findShape(change.rows, shortage.organisation, shortage.shape);
        if (shape == nullptr || shortage.copy >= shape->copies)
            addProblem(problems, path,
                       "has a shortage, but the organisation has no such guarantee");
        else if (!change.copiesInRecord.insert(CopyKey(copyOf(shortage))).second)
            addProblem(problems, path,
                       "has a shortage besides guaranteed blocks or another shortage");
    }
}

// True when guaranteed blocks of `before` also match `after`.
bool sameBlockLayout(const GuaranteedShape &before, const GuaranteedShape &after)
{
    return before.region == after.region && before.members == after.members
        && before.accelerators == after.accelerators;
}

bool sameGuarantees(const Organisation &before, const Organisation &after)
{
    return std::equal(before.guarantees.begin(), before.guarantees.end(), after.guarantees.begin(),
                      after.guarantees.end(), [](const auto &left, const auto &right) {
                          return left.copies == right.copies && sameBlockLayout(left, right);
                      });
}

NameSet affectedOrganisations(const Table &table, const Edit &edit, const Change &change)
{
    NameSet affected(edit.removals.begin(), edit.removals.end());
    for (const auto &row : edit.upserts) {
        const auto before = table.organisations.find(row.name);
        if (before == table.organisations.end() || !sameGuarantees(before->second, row))
            affected.insert(row.name);
    }
    for (const auto &key : change.copiesInRecord)
        affected.insert(std::get<0>(key));
    if (edit.changedGuaranteedBlocksOnly)
        return affected;
    for (const auto &[name, row] : table.organisations)
        affected.insert(name);
    return affected;
}

// True when `edit` leaves `item`, a guaranteed block or shortage of `table`, in place.
template <typename Item>
bool isRetained(const Table &table, const Edit &edit, const Change &change, const Item &item)
{
    if (change.affected.count(item.organisation) == 0)
        return true;
    if (!edit.changedGuaranteedBlocksOnly || change.copiesInRecord.count(copyOf(item)) > 0)
        return false;
    const auto *after = findShape(change.rows, item.organisation, item.shape);
    const auto *before = findShape(table.organisations, item.organisation, item.shape);
    return before != nullptr && after != nullptr && item.copy < after->copies
        && sameBlockLayout(*before, *after);
}

// Checks that every copy of the affected organisations is in `retainedCopies` or in the record.
void checkComplete(const Change &change, const CopySet &retainedCopies, Problems &problems)
{
    for (const auto &name : change.affected) {
        const auto row = change.rows.find(name);
        if (row == change.rows.end())
            continue;
        std::uint32_t index = 0;
        for (const auto &shape : row->second.guarantees) {
            for (std::uint32_t copy = 0; copy < shape.copies; ++copy) {
                const CopyKey key(name, index, copy);
                if (change.copiesInRecord.count(key) + retainedCopies.count(key) == 0)
                    addProblem(problems, copyPath(name, index, copy),
                               "has neither guaranteed blocks nor a shortage");
            }
            ++index;
        }
    }
}

std::vector<GuaranteedBlock>::const_iterator
firstBlockOf(const std::vector<GuaranteedBlock> &guaranteedBlocks, std::string_view worker)
{
    return std::lower_bound(
        guaranteedBlocks.begin(), guaranteedBlocks.end(), worker,
        [](const GuaranteedBlock &left, std::string_view right) { return left.worker < right; });
}

// Checks that the new blocks, ordered by position, are disjoint from each other and from those
// blocks of `table` that `retained` marks, by index.
void checkDisjoint(const Table &table, const std::vector<bool> &retained, const Change &change,
                   Problems &problems)
{
    std::string_view worker;
    std::uint64_t taken = 0;
    for (const auto &guaranteedBlock : change.guaranteedBlocks) {
        if (worker != guaranteedBlock.worker) {
            worker = guaranteedBlock.worker;
            taken = 0;
            for (auto former = firstBlockOf(table.guaranteedBlocks, worker);
                 former != table.guaranteedBlocks.end() && former->worker == worker; ++former) {
                if (retained[static_cast<std::size_t>(former - table.guaranteedBlocks.begin())])
                    taken |= blockMask(former->first, former->count);
            }
        }
        const auto mask = blockMask(guaranteedBlock.first, guaranteedBlock.count);
        if ((taken & mask) != 0)
            addProblem(
                problems,
                copyPath(guaranteedBlock.organisation, guaranteedBlock.shape, guaranteedBlock.copy),
                concat({"overlaps another guaranteed block on worker ",
                        inQuotes(guaranteedBlock.worker), " at accelerator ",
                        std::to_string(guaranteedBlock.first)}));
        taken |= mask;
    }
}

Rows nextRows(const Table &table, const Edit &edit, Problems &problems)
{
    auto rows = table.organisations;
    for (const auto &name : edit.removals) {
        if (rows.erase(name) == 0)
            addProblem(problems, "removals", concat({inQuotes(name), " does not exist"}));
    }
    for (const auto &row : edit.upserts)
        rows.insert_or_assign(row.name, row);
    if (rows.size() > maxOrganisations)
        addProblem(problems, "upserts",
                   concat({"the table would have more than ", std::to_string(maxOrganisations),
                           " organisations"}));
    std::uint64_t guaranteedBlocks = 0;
    for (const auto &[name, row] : rows) {
        for (const auto &shape : row.guarantees)
            guaranteedBlocks += std::uint64_t{shape.copies} * shape.members;
    }
    if (guaranteedBlocks > maxGuaranteedBlocks)
        addProblem(
            problems, "upserts",
            concat({"the guarantees need ", std::to_string(guaranteedBlocks),
                    " guaranteed blocks, allowed are ", std::to_string(maxGuaranteedBlocks)}));
    return rows;
}

void recordWriter(Table &table, const Edit &edit)
{
    table.writerSequences[edit.writer] = edit.sequence;
    table.writerVersions[edit.writer] = table.version;
    if (table.writerSequences.size() <= maxWriters)
        return;
    auto oldest = table.writerVersions.begin();
    for (auto entry = table.writerVersions.begin(); entry != table.writerVersions.end(); ++entry) {
        if (entry->second < oldest->second)
            oldest = entry;
    }
    table.writerSequences.erase(oldest->first);
    table.writerVersions.erase(oldest);
}

// Upper bounds of the bytes that an item takes in a Snapshot.
std::size_t snapshotBytesOf(const GuaranteedBlock &guaranteedBlock)
{
    return guaranteedBlock.worker.size() + 6;
}

std::size_t snapshotBytesOf(const Shortage &shortage)
{
    return shortage.organisation.size() + 2 * shortage.cause.size() + 70;
}

std::size_t snapshotBytesOf(const Rows &rows)
{
    std::size_t bytes = 0;
    for (const auto &[name, row] : rows) {
        bytes += 2 * name.size() + 2 * row.homeRegion.size() + 150;
        for (const auto &shape : row.guarantees)
            bytes += shape.region.size() + 80 + 15 * std::size_t{shape.copies};
    }
    return bytes;
}

template <typename Items>
std::size_t snapshotBytesOfAll(const Items &items)
{
    std::size_t bytes = 0;
    for (const auto &item : items)
        bytes += snapshotBytesOf(item);
    return bytes;
}

void checkSize(std::size_t bytes, Problems &problems)
{
    if (bytes > maxTableBytes)
        addProblem(problems, "",
                   concat({"the table would take ", std::to_string(bytes), " bytes, allowed are ",
                           std::to_string(maxTableBytes)}));
}

// Replaces the guaranteed blocks and shortages of the affected organisations in `table`. Leaves
// `table` unchanged when there is an error.
void applyGuaranteedBlocks(Table &table, const Edit &edit, Change &change, Problems &problems)
{
    CopySet retainedCopies;
    std::vector<bool> retained;
    retained.reserve(table.guaranteedBlocks.size());
    for (const auto &guaranteedBlock : table.guaranteedBlocks) {
        retained.push_back(isRetained(table, edit, change, guaranteedBlock));
        if (retained.back() && change.affected.count(guaranteedBlock.organisation) > 0)
            retainedCopies.insert(CopyKey(copyOf(guaranteedBlock)));
    }
    for (const auto &shortage : table.shortages) {
        if (!isRetained(table, edit, change, shortage))
            continue;
        retainedCopies.insert(CopyKey(copyOf(shortage)));
        change.shortages.push_back(shortage);
    }
    auto bytes = snapshotBytesOf(change.rows) + snapshotBytesOfAll(change.guaranteedBlocks)
        + snapshotBytesOfAll(change.shortages);
    for (std::size_t index = 0; index < retained.size(); ++index)
        bytes += retained[index] ? snapshotBytesOf(table.guaranteedBlocks[index]) : 0;
    checkSize(bytes, problems);
    checkComplete(change, retainedCopies, problems);
    std::sort(change.guaranteedBlocks.begin(), change.guaranteedBlocks.end(), beforeByPosition);
    checkDisjoint(table, retained, change, problems);
    if (problems.count > 0)
        return;
    auto &guaranteedBlocks = table.guaranteedBlocks;
    std::size_t retainedCount = 0;
    for (std::size_t index = 0; index < retained.size(); ++index) {
        if (!retained[index])
            continue;
        if (retainedCount != index)
            guaranteedBlocks[retainedCount] = std::move(guaranteedBlocks[index]);
        ++retainedCount;
    }
    guaranteedBlocks.resize(retainedCount);
    const auto middle = static_cast<std::ptrdiff_t>(guaranteedBlocks.size());
    guaranteedBlocks.insert(guaranteedBlocks.end(),
                            std::make_move_iterator(change.guaranteedBlocks.begin()),
                            std::make_move_iterator(change.guaranteedBlocks.end()));
    std::inplace_merge(guaranteedBlocks.begin(), guaranteedBlocks.begin() + middle,
                       guaranteedBlocks.end(), beforeByPosition);
    std::sort(change.shortages.begin(), change.shortages.end(), beforeByCopy);
    table.shortages = std::move(change.shortages);
}

// Applies the organisations, guaranteed blocks and shortages of `edit` to `table`. Returns false
// and leaves the table unchanged when they contain an error.
bool applyEdit(Table &table, Edit &edit, Problems &problems)
{
    Change change;
    change.rows = nextRows(table, edit, problems);
    change.guaranteedBlocks = std::move(edit.guaranteedBlocks);
    change.shortages = std::move(edit.shortages);
    std::sort(change.guaranteedBlocks.begin(), change.guaranteedBlocks.end(), beforeByMember);
    std::sort(change.shortages.begin(), change.shortages.end(), beforeByCopy);
    if (problems.count > 0)
        return false;
    checkCopies(change, problems);

    change.affected = affectedOrganisations(table, edit, change);
    if (!change.affected.empty())
        applyGuaranteedBlocks(table, edit, change, problems);
    else
        checkSize(snapshotBytesOf(change.rows) + snapshotBytesOfAll(table.guaranteedBlocks)
                      + snapshotBytesOfAll(table.shortages),
                  problems);
    if (problems.count > 0)
        return false;
    table.organisations = std::move(change.rows);
    return true;
}

Edit readEdit(const Json &record, Problems &problems)
{
    Edit edit;
    readObject(record, "",
               {"kind", "baseVersion", "writer", "sequence", "author", "summary", "writtenUnixMs",
                "upserts", "removals", "changedAnchorsOnly", "anchors", "shortages"},
               problems);
    numberField(record, "", "baseVersion", anyNumber, Presence::Required, edit.baseVersion,
                problems);
    nameField(record, "", "writer", edit.writer, problems);
    numberField(record, "", "sequence", sequenceRange, Presence::Required, edit.sequence, problems);
    textField(record, "", "author", {0, maxNameBytes}, Presence::Optional, edit.author, problems);
    textField(record, "", "summary", {0, maxSummaryBytes}, Presence::Optional, edit.summary,
              problems);
    numberField(record, "", "writtenUnixMs", anyNumber, Presence::Optional, edit.writtenUnixMs,
                problems);
    readOrganisations(record, "upserts", edit.upserts, problems);
    readNames(record, "removals", edit.removals, problems);
    const auto *changed = findField(record, "", "changedAnchorsOnly", Presence::Optional, problems);
    if (changed != nullptr && !changed->is_boolean())
        addProblem(problems, "changedAnchorsOnly", "must be true or false");
    else if (changed != nullptr)
        edit.changedGuaranteedBlocksOnly = changed->get<bool>();
    readGuaranteedBlocks(record, edit.guaranteedBlocks, problems);
    readShortages(record, edit.shortages, problems);
    return edit;
}

ApplyResult malformedResult(const Problems &problems, Reason &reason)
{
    reason = toReason(problems);
    return ApplyResult::Malformed;
}

bool hasReadNothing(const Table &table)
{
    return !table.started && table.version == 0 && table.nextOffset == 0;
}

// True when no line was missed between the last applied line and the one at `offset`.
bool isNextLine(const Table &table, std::uint64_t offset)
{
    if (table.awaitsSnapshot)
        return false;
    return offset == table.nextOffset || hasReadNothing(table)
        || (table.snapshotAtNextOffset && offset == table.nextOffset + 1);
}

void advancePast(Table &table, std::uint64_t offset)
{
    table.started = true;
    table.nextOffset = offset + 1;
    table.snapshotAtNextOffset = false;
}

ApplyResult gapResult(const Table &table, std::uint64_t offset, Reason &reason)
{
    reason = {ReasonCode::Internal,
              concat({"line ", std::to_string(offset), " of the table stream is not the next ",
                      "line; lines were missed from offset ", std::to_string(table.nextOffset)})};
    return ApplyResult::Gap;
}

ApplyResult applyEditRecord(Table &table, const Json &record, std::uint64_t offset, Reason &reason)
{
    Problems problems;
    auto edit = readEdit(record, problems);
    if (hasReadNothing(table) && offset > 0 && edit.baseVersion > 0)
        return gapResult(table, offset, reason);
    advancePast(table, offset);
    if (problems.count > 0)
        return malformedResult(problems, reason);
    const auto known = table.writerSequences.find(edit.writer);
    if (known != table.writerSequences.end() && edit.sequence <= known->second)
        return ApplyResult::Repeated;
    if (edit.baseVersion != table.version) {
        reason = {ReasonCode::VersionConflict,
                  concat({"the edit was made against version ", std::to_string(edit.baseVersion),
                          ", the table has version ", std::to_string(table.version)})};
        return ApplyResult::Conflict;
    }
    if (!applyEdit(table, edit, problems))
        return malformedResult(problems, reason);
    ++table.version;
    if (table.history.size() >= maxHistoryEntries)
        table.history.erase(table.history.begin());
    table.history.push_back({table.version, edit.author, edit.summary, edit.writtenUnixMs});
    recordWriter(table, edit);
    return ApplyResult::Applied;
}

void readHistory(const Json &record, std::vector<HistoryEntry> &history, Problems &problems)
{
    for (const auto &item : arrayField(record, "", "history", maxHistoryEntries, problems)) {
        const auto path = itemPath("history", history.size());
        auto &entry = history.emplace_back();
        if (!readObject(item, path, {"version", "author", "summary", "writtenUnixMs"}, problems))
            continue;
        numberField(item, path, "version", anyNumber, Presence::Required, entry.version, problems);
        textField(item, path, "author", {0, maxNameBytes}, Presence::Required, entry.author,
                  problems);
        textField(item, path, "summary", {0, maxSummaryBytes}, Presence::Required, entry.summary,
                  problems);
        numberField(item, path, "writtenUnixMs", anyNumber, Presence::Required, entry.writtenUnixMs,
                    problems);
    }
}

// A writer's version is that of one of its edits, so at most the version of the table.
void readWriters(const Json &record, std::uint64_t version, Table &table, Problems &problems)
{
    for (const auto &item : arrayField(record, "", "writers", maxWriters, problems)) {
        const auto path = itemPath("writers", table.writerSequences.size());
        if (!readObject(item, path, {"writer", "sequence", "version"}, problems))
            continue;
        std::string writer;
        nameField(item, path, "writer", writer, problems);
        numberField(item, path, "sequence", sequenceRange, Presence::Required,
                    table.writerSequences[writer], problems);
        numberField(item, path, "version", {0, version}, Presence::Required,
                    table.writerVersions[writer], problems);
    }
}

// Reads a whole table, with the checks of an edit of an empty table.
Table readSnapshot(const Json &record, std::uint64_t version, Problems &problems)
{
    Table table;
    Edit edit;
    readObject(record, "",
               {"kind", "version", "nextOffset", "organisations", "anchors", "shortages", "history",
                "writers"},
               problems);
    readOrganisations(record, "organisations", edit.upserts, problems);
    readGuaranteedBlocks(record, edit.guaranteedBlocks, problems);
    readShortages(record, edit.shortages, problems);
    readHistory(record, table.history, problems);
    readWriters(record, version, table, problems);
    if (problems.count == 0)
        applyEdit(table, edit, problems);
    return table;
}

// Continues after the lines before `coveredEnd`, which a Snapshot at `offset` covers.
void setReadPosition(Table &table, std::uint64_t coveredEnd, std::uint64_t offset)
{
    table.started = true;
    table.nextOffset = coveredEnd;
    table.snapshotAtNextOffset = coveredEnd == offset;
    table.awaitsSnapshot = false;
}

ApplyResult applySnapshotRecord(Table &table, const Json &record, std::uint64_t offset,
                                Reason &reason)
{
    Problems problems;
    std::uint64_t version = 0;
    std::uint64_t coveredEnd = 0;
    // A Snapshot from a peer is applied at the offset before its nextOffset.
    numberField(record, "", "nextOffset", {0, offset + 1}, Presence::Required, coveredEnd,
                problems);
    numberField(record, "", "version", {0, coveredEnd + maxVersionLead}, Presence::Required,
                version, problems);
    if (problems.count == 0 && version <= table.version) {
        if (isNextLine(table, offset))
            advancePast(table, offset);
        else if (version == table.version && coveredEnd >= table.nextOffset)
            setReadPosition(table, coveredEnd, offset); // no edit applied in the missed lines
        return ApplyResult::Repeated;
    }
    auto next = problems.count == 0 ? readSnapshot(record, version, problems) : Table();
    if (problems.count > 0) {
        if (isNextLine(table, offset))
            advancePast(table, offset);
        return malformedResult(problems, reason);
    }
    next.version = version;
    setReadPosition(next, coveredEnd, offset);
    table = std::move(next);
    return ApplyResult::Applied;
}

} // namespace

ApplyResult applyTableLine(Table &table, std::string_view line, std::uint64_t offset,
                           Reason &reason)
{
    reason = {};
    if (offset >= maxLogOffset) {
        reason = {ReasonCode::InvalidInput,
                  concat({"offset ", std::to_string(offset), " is out of range"})};
        return ApplyResult::Malformed;
    }
    Reason cause = {ReasonCode::InvalidInput, "the line is too long"};
    std::optional<Json> parsed;
    if (line.size() <= maxRecordBytes)
        parsed = parseJson(line, cause);
    const Json record = parsed ? std::move(*parsed) : Json();
    const auto kind = record.is_object() ? record.value("kind", Json()) : Json();
    if (kind == "Snapshot")
        return applySnapshotRecord(table, record, offset, reason);
    if (offset < table.nextOffset)
        return ApplyResult::Repeated;
    if (!isNextLine(table, offset))
        return gapResult(table, offset, reason);
    if (kind == "Edit")
        return applyEditRecord(table, record, offset, reason);
    advancePast(table, offset);
    reason = {ReasonCode::InvalidInput,
              concat({"line ", std::to_string(offset), " of the table stream is neither an Edit ",
                      "nor a Snapshot of at most ", std::to_string(maxRecordBytes), " bytes",
                      parsed ? "" : ": ", parsed ? "" : cause.text})};
    return ApplyResult::Malformed;
}

std::string editLine(const Edit &edit)
{
    OrderedJson record = {{"kind", "Edit"},
                          {"baseVersion", edit.baseVersion},
                          {"writer", edit.writer},
                          {"sequence", edit.sequence},
                          {"author", edit.author},
                          {"summary", edit.summary},
                          {"writtenUnixMs", edit.writtenUnixMs},
                          {"upserts", rowsJson(edit.upserts)},
                          {"removals", edit.removals},
                          {"changedAnchorsOnly", edit.changedGuaranteedBlocksOnly},
                          {"anchors", toJson(edit.guaranteedBlocks)},
                          {"shortages", toJson(edit.shortages)}};
    return jsonText(record);
}

std::string snapshotLine(const Table &table)
{
    auto writers = OrderedJson::array();
    for (const auto &[writer, sequence] : table.writerSequences) {
        const auto version = table.writerVersions.find(writer);
        writers.push_back(
            {{"writer", writer},
             {"sequence", sequence},
             {"version", version == table.writerVersions.end() ? 0 : version->second}});
    }
    OrderedJson record = {{"kind", "Snapshot"},
                          {"version", table.version},
                          {"nextOffset", table.nextOffset},
                          {"organisations", rowsJson(table.organisations)},
                          {"anchors", toJson(table.guaranteedBlocks)},
                          {"shortages", toJson(table.shortages)},
                          {"history", toJson(table.history)},
                          {"writers", std::move(writers)}};
    return jsonText(record);
}

std::string tableJson(const Table &table)
{
    OrderedJson document = {{"version", table.version},
                            {"organisations", rowsJson(table.organisations)},
                            {"anchors", toJson(table.guaranteedBlocks)},
                            {"shortages", toJson(table.shortages)},
                            {"history", toJson(table.history)}};
    return jsonText(document, 2);
}

namespace {

// Parses JSON and reports keys that appear twice in one object, of which the parser would silently
// keep the last.
Json parseStrictly(std::string_view text, Problems &problems)
{
    std::vector<NameSet> keys;
    const auto onEvent = [&](int, Json::parse_event_t event, Json &parsed) {
        if (event == Json::parse_event_t::object_start)
            keys.emplace_back();
        else if (event == Json::parse_event_t::object_end)
            keys.pop_back();
        else if (event == Json::parse_event_t::key
                 && !keys.back().insert(parsed.get<std::string>()).second)
            addProblem(problems, parsed.get<std::string>(), "appears twice in one object");
        return true;
    };
    return Json::parse(text, onEvent, false);
}

std::optional<TableChange> checkedChange(TableChange change, const Problems &problems,
                                         Reason &reason)
{
    if (problems.count == 0)
        return change;
    reason = toReason(problems);
    return std::nullopt;
}

void checkRemovals(const TableChange &change, Problems &problems)
{
    NameSet names;
    for (const auto &row : change.upserts)
        names.insert(row.name);
    std::size_t index = 0;
    for (const auto &name : change.removals) {
        const auto path = itemPath("remove", index++);
        if (!name.empty() && !names.insert(name).second)
            addProblem(problems, path,
                       concat({inQuotes(name), " appears twice or is also in organisations"}));
    }
}

} // namespace

std::optional<TableChange> parseTableChange(std::string_view json, Reason &reason)
{
    Problems problems;
    TableChange change;
    if (nestsDeeperThan(json, maxJsonDepth)) {
        reason = {ReasonCode::InvalidInput,
                  concat({"the document is nested deeper than ", std::to_string(maxJsonDepth),
                          " levels"})};
        return std::nullopt;
    }
    const auto document = parseStrictly(json, problems);
    if (document.is_discarded()) {
        addProblem(problems, "", "the document is not JSON");
    } else if (readObject(document, "", {"organisations", "remove"}, problems)) {
        readOrganisations(document, "organisations", change.upserts, problems);
        readNames(document, "remove", change.removals, problems);
        checkRemovals(change, problems);
    }
    return checkedChange(std::move(change), problems, reason);
}

void setGuaranteedBlocks(Edit &edit, const Table &table,
                         absl::Span<const GuaranteedBlock> guaranteedBlocks,
                         absl::Span<const Shortage> shortages)
{
    Rows rows;
    for (const auto &row : edit.upserts)
        rows.insert_or_assign(row.name, row);
    // Whether applying the edit retains blocks and shortages of this copy that it does not name.
    const auto retainsCopy = [&](const auto &item) {
        if (rows.count(item.organisation) == 0)
            return true;
        const auto *before = findShape(table.organisations, item.organisation, item.shape);
        const auto *after = findShape(rows, item.organisation, item.shape);
        return before != nullptr && after != nullptr && sameBlockLayout(*before, *after);
    };
    const auto isBlockInTable = [&](const GuaranteedBlock &guaranteedBlock) {
        const auto [begin, end] =
            std::equal_range(table.guaranteedBlocks.begin(), table.guaranteedBlocks.end(),
                             guaranteedBlock, beforeByPosition);
        return std::any_of(begin, end, [&](const GuaranteedBlock &other) {
            return copyOf(other) == copyOf(guaranteedBlock)
                && std::tie(other.member, other.count)
                == std::tie(guaranteedBlock.member, guaranteedBlock.count);
        });
    };
    const auto isShortageInTable = [&](const Shortage &shortage) {
        const auto [begin, end] = std::equal_range(table.shortages.begin(), table.shortages.end(),
                                                   shortage, beforeByCopy);
        return begin != end && begin->cause == shortage.cause;
    };
    CopySet changed;
    for (const auto &guaranteedBlock : guaranteedBlocks) {
        if (!retainsCopy(guaranteedBlock) || !isBlockInTable(guaranteedBlock))
            changed.insert(CopyKey(copyOf(guaranteedBlock)));
    }
    edit.changedGuaranteedBlocksOnly = true;
    edit.guaranteedBlocks.clear();
    edit.shortages.clear();
    std::copy_if(guaranteedBlocks.begin(), guaranteedBlocks.end(),
                 std::back_inserter(edit.guaranteedBlocks),
                 [&](const GuaranteedBlock &guaranteedBlock) {
                     return changed.count(copyOf(guaranteedBlock)) > 0;
                 });
    std::copy_if(
        shortages.begin(), shortages.end(), std::back_inserter(edit.shortages),
        [&](const Shortage &item) { return !retainsCopy(item) || !isShortageInTable(item); });
}

namespace {

// Mask of the guaranteed blocks of `worker` that `wanted` accepts.
template <typename Wanted>
std::uint64_t maskOfBlocks(const Table &table, std::string_view worker, Wanted wanted)
{
    auto guaranteedBlock = table.guaranteedBlocks.begin();
    auto end = table.guaranteedBlocks.end();
    if (table.guaranteedBlocks.size() > maxScannedGuaranteedBlocks) {
        guaranteedBlock = firstBlockOf(table.guaranteedBlocks, worker);
        end = std::find_if(guaranteedBlock, end,
                           [&](const GuaranteedBlock &other) { return other.worker != worker; });
    }
    std::uint64_t mask = 0;
    for (; guaranteedBlock != end; ++guaranteedBlock) {
        if (guaranteedBlock->worker == worker && wanted(*guaranteedBlock))
            mask |= blockMask(guaranteedBlock->first, guaranteedBlock->count);
    }
    return mask;
}

} // namespace

std::uint64_t guaranteedFor(const Table &table, std::string_view worker,
                            std::string_view organisation)
{
    return maskOfBlocks(table, worker, [&](const GuaranteedBlock &guaranteedBlock) {
        return guaranteedBlock.organisation == organisation;
    });
}

std::uint64_t guaranteedForOthers(const Table &table, std::string_view worker,
                                  std::string_view organisation)
{
    return maskOfBlocks(table, worker, [&](const GuaranteedBlock &guaranteedBlock) {
        return guaranteedBlock.organisation != organisation;
    });
}

} // namespace flamingo
