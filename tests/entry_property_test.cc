// Guards against requests with no reply or two replies, NotRun for a request that ran or runs
// later, keyed requests that run twice and answers of another request. These come about when
// messages are delayed, duplicated, reordered or lost and when agents restart.

#include "tests/entry_rig.h"

#include <map>
#include <set>

// After the standard library, because CppUTest replaces operator new by a macro.
#include "tests/fixed_seed.h"

using namespace flamingo;
using namespace flamingo::tests;

namespace {

struct FakeAttempt
{
    std::string agent;
    Start start;
    StartReply reply;
    Outcome outcome;
    bool running = false;
    bool everRan = false; // was started and did not end as NotRun
    bool ended = false;
    bool acknowledged = false;
};

struct FakeKey
{
    std::string attempt; // that has the grant, empty: unclaimed
    KeyState state = KeyState::Unknown;
    std::string answer;
};

struct Envelope
{
    bool toEntry = false;
    std::string peer;
    Message message;
};

// One entry, fake agents that reply like real ones, an owner that grants keys without delay, and a
// network that delays, duplicates, reorders and loses messages.
struct SimulatedRegion
{
    Rig rig = rigWithAgents(4);
    std::map<std::string, FakeAttempt> attempts;
    std::map<std::string, std::uint64_t> incarnations;
    std::map<std::string, FakeKey> keys;
    std::set<std::string> watchedKeys;
    std::vector<Envelope> network;
    std::map<std::string, std::string> payloads; // by request
    std::map<std::string, std::vector<Reply>> replies;
    std::map<std::string, std::string> cancels; // request to job
    int submitted = 0;

    SimulatedRegion()
    {
        for (std::uint32_t range = 0; range < rangesPerRegion; ++range)
            this->rig.entry.ranges.owners[{"west", range}].agent = "owner";
        for (int i = 0; i < 4; ++i)
            this->incarnations["w" + std::to_string(i)] = 1;
    }

    void collectOutput()
    {
        for (auto &send : this->rig.out.sends)
            this->network.push_back({false, send.to, std::move(send.message)});
        this->rig.out.sends.clear();
        for (auto &reply : this->rig.takeReplies())
            this->replies[reply.request].push_back(reply);
    }

    void sendToEntry(std::string_view from, Message message)
    {
        this->network.push_back({true, std::string(from), std::move(message)});
    }

    void submit(std::uint32_t choice)
    {
        const auto request = "r" + std::to_string(++this->submitted);
        auto spec = job(choice % 2 == 0 ? "a" : "b", 1U << (choice / 2 % 4));
        spec.payload = request;
        spec.jobClass = static_cast<JobClass>(choice / 8 % 3);
        spec.members = choice / 24 % 4 == 0 ? 2 : 1;
        spec.deadlineMs = choice / 96 % 3 == 0 ? 3000 : 0;
        spec.idempotent = choice / 288 % 2 == 0;
        spec.firstAttempt = true;
        spec.homeRegion = "west";
        if (!spec.idempotent)
            spec.key = "key-" + request;
        this->payloads[request] = request;
        this->rig.submit(request, spec);
    }

    void cancel(std::uint32_t choice)
    {
        if (this->submitted == 0)
            return;
        const auto number = 1 + choice % static_cast<std::uint32_t>(this->submitted);
        const auto request = "c" + std::to_string(this->cancels.size());
        this->cancels[request] = "entry-1.1." + std::to_string(number);
        this->rig.handle(CancelJob{request, this->cancels[request]});
    }

    // ---- Agents ----

    void refuse(FakeAttempt &attempt, ReasonCode code)
    {
        attempt.reply = accepted(attempt.start);
        attempt.reply.accepted = false;
        attempt.reply.reason = code;
        attempt.ended = attempt.acknowledged = true;
        this->sendToEntry(attempt.agent, attempt.reply);
    }

    void onStart(const std::string &agent, const Start &start, std::uint32_t choice)
    {
        const auto existing = this->attempts.find(start.attempt);
        if (existing != this->attempts.end()) {
            this->sendToEntry(agent, existing->second.reply);
            return;
        }
        auto &attempt = this->attempts[start.attempt];
        attempt.agent = agent;
        attempt.start = start;
        if (choice % 5 == 0) {
            this->refuse(attempt, choice % 2 == 0 ? ReasonCode::NoRoom : ReasonCode::Draining);
            return;
        }
        if (!start.spec->idempotent) {
            auto &key = this->keys[start.spec->key];
            if (!key.attempt.empty()) {
                this->refuse(attempt, ReasonCode::AlreadyClaimed);
                return;
            }
            key = {start.attempt, KeyState::Running, {}};
        }
        attempt.reply = accepted(start);
        attempt.running = attempt.everRan = true;
        this->sendToEntry(agent, attempt.reply);
    }

    void settleKey(const FakeAttempt &attempt)
    {
        if (attempt.start.spec->idempotent)
            return;
        auto &key = this->keys[attempt.start.spec->key];
        if (attempt.outcome.verdict == Verdict::NotRun)
            key = {};
        else
            key.state =
                attempt.outcome.verdict == Verdict::Ran ? KeyState::Finished : KeyState::MayHaveRun;
        key.answer = attempt.outcome.answer;
        if (this->watchedKeys.erase(attempt.start.spec->key) != 0)
            this->sendToEntry("owner", this->keyReply(attempt.start.spec->key));
    }

    void endAttempt(FakeAttempt &attempt, Verdict verdict, ReasonCode code)
    {
        attempt.outcome = ran(attempt.start, "answer to " + attempt.start.spec->payload);
        attempt.outcome.verdict = verdict;
        attempt.outcome.reason = code;
        attempt.running = false;
        attempt.ended = true;
        attempt.everRan = verdict != Verdict::NotRun;
        this->settleKey(attempt);
        this->sendToEntry(attempt.agent, attempt.outcome);
    }

    // Ends one of the running tasks; the choice selects which and how.
    void endOneTask(std::uint32_t choice)
    {
        std::vector<FakeAttempt *> running;
        for (auto &[id, attempt] : this->attempts) {
            if (attempt.running)
                running.push_back(&attempt);
        }
        if (running.empty())
            return;
        auto &attempt = *running[choice / 8 % running.size()];
        if (choice % 8 < 4)
            this->endAttempt(attempt, Verdict::Ran, ReasonCode::None);
        else if (choice % 8 < 6)
            this->endAttempt(attempt, Verdict::NotRun, ReasonCode::Evicted);
        else if (choice % 8 == 6)
            this->endAttempt(attempt, Verdict::Ran, ReasonCode::TaskFailed);
        else
            this->endAttempt(attempt, Verdict::MayHaveRun, ReasonCode::LeaseLapsed);
    }

    void onCancel(const std::string &agent, const Cancel &cancel)
    {
        auto &attempt = this->attempts[cancel.attempt];
        if (!attempt.start.spec) { // the Cancel overtook the Start
            attempt.agent = agent;
            attempt.start.spec = std::make_unique<JobSpec>();
            attempt.start.spec->job = cancel.job;
            attempt.start.attempt = cancel.attempt;
            this->refuse(attempt, ReasonCode::Cancelled);
            this->network.pop_back(); // the refusal is recorded and not sent
        } else if (attempt.running) {
            this->endAttempt(attempt, Verdict::NotRun, ReasonCode::Cancelled);
        }
    }

    KeyReply keyReply(const std::string &name)
    {
        const auto &key = this->keys[name];
        KeyReply reply;
        reply.key = name;
        reply.state = key.state;
        reply.verdict = key.state == KeyState::Finished ? Verdict::Ran : Verdict::MayHaveRun;
        reply.answer = key.answer;
        return reply;
    }

    // The process of an agent restarts without its attempts. Its running tasks may have run.
    void restart(std::uint32_t choice)
    {
        const auto agent = "w" + std::to_string(choice % 4);
        this->incarnations[agent] += 1;
        for (auto &[id, attempt] : this->attempts) {
            if (attempt.agent != agent)
                continue;
            if (attempt.running) {
                attempt.outcome.verdict = Verdict::MayHaveRun;
                this->settleKey(attempt);
            }
            attempt.running = false;
            attempt.ended = attempt.acknowledged = true;
        }
        this->rig.handle(PeerDown{agent});
        this->rig.connectPeer(agent, ProcessKind::Agent);
    }

    void report(const std::string &agent)
    {
        auto report = this->rig.report(agent);
        report.incarnation = this->incarnations[agent];
        std::uint32_t used = 0;
        for (const auto &[id, attempt] : this->attempts) {
            if (attempt.agent != agent || !attempt.running)
                continue;
            report.tasks.emplace_back();
            report.tasks.back().job = attempt.start.spec->job;
            report.tasks.back().attempt = id;
            report.tasks.back().organisation = attempt.start.spec->organisation;
            report.tasks.back().accelerators = attempt.start.spec->accelerators;
            used += attempt.start.spec->accelerators;
        }
        report.freeMask = used >= 8 ? 0 : 0xffU >> used;
        this->sendToEntry(agent, report);
    }

    // ---- Network ----

    void deliver(const Envelope &envelope, std::uint32_t choice)
    {
        if (envelope.toEntry)
            this->rig.handleFrom(envelope.peer, envelope.message);
        else if (const auto *start = std::get_if<Start>(&envelope.message))
            this->onStart(envelope.peer, *start, choice);
        else if (const auto *cancel = std::get_if<Cancel>(&envelope.message))
            this->onCancel(envelope.peer, *cancel);
        else if (const auto *ack = std::get_if<OutcomeAck>(&envelope.message))
            this->attempts[ack->attempt].acknowledged = true;
        else if (const auto *query = std::get_if<KeyQuery>(&envelope.message)) {
            this->watchedKeys.insert(query->key);
            this->sendToEntry("owner", this->keyReply(query->key));
        }
        this->collectOutput();
    }

    void deliverOne(std::uint32_t choice, bool keep, bool drop)
    {
        if (this->network.empty())
            return;
        const auto index = choice % this->network.size();
        const auto envelope = this->network[index];
        if (!keep)
            this->network.erase(this->network.begin() + static_cast<std::ptrdiff_t>(index));
        if (!drop)
            this->deliver(envelope, choice / 7);
    }

    void step(std::uint32_t choice)
    {
        const auto rest = choice / 16;
        switch (choice % 16) {
        case 0:
        case 1:
            this->submit(rest);
            break;
        case 2:
        case 3:
            this->endOneTask(rest);
            break;
        case 4:
            this->deliverOne(rest, true, false); // stays in the network: delivered again later
            break;
        case 5:
            if (rest % 2 == 0)
                this->deliverOne(rest / 2, false, true);
            break;
        case 6:
            this->rig.advance(static_cast<TimeMs>(100 + rest % 500));
            break;
        case 7:
            this->cancel(rest);
            break;
        case 8:
            if (rest % 8 == 0)
                this->restart(rest / 8);
            break;
        case 9:
            this->report("w" + std::to_string(rest % 4));
            break;
        default:
            this->deliverOne(rest, false, false);
        }
        this->collectOutput();
    }

    void deliverAll()
    {
        while (!this->network.empty()) {
            const auto envelope = this->network.front();
            this->network.erase(this->network.begin());
            this->deliver(envelope, 1);
        }
    }

    // Ends the run without further losses: delivers every message, ends every task and repeats each
    // outcome until it is acknowledged.
    void runToCompletion()
    {
        for (int round = 0; round < 120; ++round) {
            for (const auto &[agent, incarnation] : this->incarnations)
                this->report(agent);
            for (const auto &[id, attempt] : this->attempts) {
                if (attempt.ended && !attempt.acknowledged && attempt.reply.accepted)
                    this->sendToEntry(attempt.agent, attempt.outcome);
            }
            this->deliverAll();
            this->endOneTask(static_cast<std::uint32_t>(round * 8));
            this->endOneTask(0);
            this->rig.advance(1000);
            this->collectOutput();
        }
        this->deliverAll();
    }

    bool anyAttemptRan(const std::string &request) const
    {
        return std::any_of(
            this->attempts.begin(), this->attempts.end(), [&request](const auto &row) {
                return row.second.everRan && row.second.start.spec->payload == request;
            });
    }

    int keyedRuns(const std::string &request) const
    {
        return static_cast<int>(std::count_if(
            this->attempts.begin(), this->attempts.end(), [&request](const auto &row) {
                return row.second.everRan && !row.second.start.spec->idempotent
                    && row.second.start.spec->payload == request;
            }));
    }

    void checkReplies() const
    {
        for (const auto &[request, payload] : this->payloads) {
            const auto found = this->replies.find(request);
            RC_ASSERT(found != this->replies.end());
            RC_ASSERT(found->second.size() == 1U);
            const auto &reply = found->second.front();
            if (reply.verdict == Verdict::NotRun)
                RC_ASSERT(!this->anyAttemptRan(payload));
            if (reply.verdict == Verdict::Ran)
                RC_ASSERT(reply.answer == "answer to " + payload);
            RC_ASSERT(this->keyedRuns(payload) <= 1);
        }
        for (const auto &[request, job] : this->cancels) {
            const auto found = this->replies.find(request);
            RC_ASSERT(found != this->replies.end());
            RC_ASSERT(found->second.size() == 1U);
        }
    }
};

const bool started = startRapidCheck("seed=20240611 max_success=200");

} // namespace

TEST_GROUP(EntryProperty){};

TEST(EntryProperty, eachRequestGetsOneCorrectReplyUnderFaults)
{
    constexpr int maxSteps = 400;
    CHECK(rc::check("one correct reply per request", [] {
        const auto choices =
            *rc::gen::resize(maxSteps, rc::gen::arbitrary<std::vector<std::uint32_t>>());
        SimulatedRegion region;
        for (const auto choice : choices)
            region.step(choice * 2654435761U >> 3U); // RapidCheck prefers small numbers
        region.runToCompletion();
        region.checkReplies();
    }));
}
