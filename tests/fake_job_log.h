#ifndef FLAMINGO_TESTS_FAKE_JOB_LOG_H
#define FLAMINGO_TESTS_FAKE_JOB_LOG_H

// In-memory implementation of the JobLog interface for tests. It applies the platform's fencing
// rules: an append with an epoch below the highest is rejected, and a repeated sequence number
// returns the result of the first append.

#include "flamingo/adapters/loop.h"
#include "flamingo/scheduler/job_log.h"

#include <algorithm>
#include <limits>
#include <map>
#include <type_traits>

namespace flamingo::tests {

// Contents of the log, shared by several clients.
struct FakeLogState
{
    std::vector<scheduler::StoredRecord> records;
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> sequence; // last one of the epoch
    std::uint64_t lastEnd = 0; // result of the append with that sequence number
    std::uint64_t firstKept = 0; // records below this offset have expired
};

class FakeJobLog : public scheduler::JobLog
{
public:
    FakeJobLog(adapters::Loop &loop, FakeLogState &state)
        : loop(loop)
        , state(state)
    {
    }

    bool unresponsive = false; // no call is executed or answered; all time out
    bool rejectsCalls = false; // calls fail after delayMs, without an effect
    bool dropsAnswers = false; // appends are executed, but their answers are lost
    bool dropsAppends = false; // appends are lost; reads work
    TimeMs lateAppendMs = 0; // appends are not answered, and executed after this time; 0: off
    bool waitsInFull = false; // a read that has to wait is answered only when its wait ends
    TimeMs delayMs = 2; // until a call is answered
    TimeMs timeoutMs = 300; // until an unanswered call fails
    std::size_t maxRecordsPerRead = std::numeric_limits<std::size_t>::max();
    int appends = 0; // number of append calls
    std::size_t largestAppendBytes = 0;
    int outstandingReads = 0;
    int maxOutstandingReads = 0;

    void append(absl::Span<const scheduler::Record> records,
                std::function<void(scheduler::AppendResult)> done) override
    {
        ++this->appends;
        this->respond(std::move(done),
                      [this, copied = copyRecords(records)](scheduler::AppendResult &result) {
                          result.status = scheduler::AppendStatus::Stored;
                          this->appendRecords(copied);
                          result.end = this->end();
                      });
    }

    void appendFenced(absl::Span<const scheduler::Record> records, const scheduler::Fence &fence,
                      std::function<void(scheduler::AppendResult)> done) override
    {
        ++this->appends;
        this->respond(
            std::move(done),
            [this, fence, copied = copyRecords(records)](scheduler::AppendResult &result) {
                this->applyFencedAppend(copied, fence, result);
            });
    }

    void read(std::uint64_t from, TimeMs waitMs,
              std::function<void(scheduler::ReadResult)> done) override
    {
        this->maxOutstandingReads = std::max(this->maxOutstandingReads, ++this->outstandingReads);
        this->answerRead(from, waitMs,
                         [this, done = std::move(done)](const scheduler::ReadResult &result) {
                             --this->outstandingReads;
                             done(result);
                         });
    }

    void newest(std::string_view afterKey,
                std::function<void(scheduler::NewestResult)> done) override
    {
        this->respond(std::move(done),
                      [this, key = std::string(afterKey)](scheduler::NewestResult &result) {
                          result.answered = true;
                          result.end = this->end();
                          std::map<std::string, scheduler::StoredRecord> byKey;
                          for (const scheduler::StoredRecord &stored : this->state.records)
                              byKey[stored.record.key] = stored;
                          for (const auto &[recordKey, stored] : byKey) {
                              if (recordKey > key && !stored.record.value.empty())
                                  result.records.push_back(stored);
                          }
                      });
    }

private:
    void answerRead(std::uint64_t from, TimeMs waitMs,
                    std::function<void(scheduler::ReadResult)> done)
    {
        const bool empty = from >= this->end() && !this->unresponsive && !this->rejectsCalls;
        if (empty && waitMs > 0) {
            const TimeMs step = this->waitsInFull ? waitMs : std::min<TimeMs>(waitMs, 5);
            this->loop.after(step, [this, from, waitMs, step, done = std::move(done)] {
                this->answerRead(from, waitMs - step, done);
            });
            return;
        }
        this->respond(std::move(done), [this, from](scheduler::ReadResult &result) {
            result.answered = true;
            result.end = this->end();
            result.deleted = from < this->state.firstKept;
            const std::uint64_t last = this->end() - from > this->maxRecordsPerRead
                ? from + this->maxRecordsPerRead
                : this->end();
            for (std::uint64_t i = from; i < last && !result.deleted; ++i)
                result.records.push_back(this->state.records[i]);
        });
    }

    std::vector<scheduler::Record> copyRecords(absl::Span<const scheduler::Record> records)
    {
        std::size_t bytes = 0;
        for (const scheduler::Record &record : records)
            bytes += scheduler::appendedBytes(record);
        this->largestAppendBytes = std::max(this->largestAppendBytes, bytes);
        return {records.begin(), records.end()};
    }

    std::uint64_t end() const
    {
        return this->state.records.size();
    }

    void appendRecords(const std::vector<scheduler::Record> &records)
    {
        for (const scheduler::Record &record : records)
            this->state.records.push_back({this->end(), record});
    }

    void applyFencedAppend(const std::vector<scheduler::Record> &records,
                           const scheduler::Fence &fence, scheduler::AppendResult &result)
    {
        if (fence.epoch < this->state.epoch) {
            result.status = scheduler::AppendStatus::Fenced;
            return;
        }
        if (fence.epoch > this->state.epoch)
            this->state.sequence.reset();
        this->state.epoch = fence.epoch;
        result.status = scheduler::AppendStatus::Stored;
        if (!records.empty() && this->state.sequence == fence.sequence) {
            result.end = this->state.lastEnd;
            return;
        }
        if (!records.empty() && this->state.sequence
            && fence.sequence != *this->state.sequence + 1) {
            result.status = scheduler::AppendStatus::WrongSequence;
            result.expectedSequence = *this->state.sequence + 1;
            return;
        }
        if (!records.empty())
            this->state.sequence = fence.sequence;
        this->appendRecords(records);
        result.end = this->end();
        this->state.lastEnd = result.end;
    }

    template <typename Result, typename Fill>
    void respond(std::function<void(Result)> done, Fill fill)
    {
        if (this->unresponsive) {
            this->loop.after(this->timeoutMs, [done = std::move(done)] { done({}); });
            return;
        }
        if (this->lateAppendMs > 0 && std::is_same_v<Result, scheduler::AppendResult>) {
            this->loop.after(this->lateAppendMs, [fill] {
                Result ignored;
                fill(ignored);
            });
            this->loop.after(this->timeoutMs, [done = std::move(done)] { done({}); });
            return;
        }
        if ((this->dropsAnswers || this->dropsAppends)
            && std::is_same_v<Result, scheduler::AppendResult>) {
            this->loop.after(this->delayMs, [fill, appendLost = this->dropsAppends] {
                Result ignored;
                if (!appendLost)
                    fill(ignored);
            });
            this->loop.after(this->timeoutMs, [done = std::move(done)] { done({}); });
            return;
        }
        this->loop.after(this->delayMs, [this, done = std::move(done), fill] {
            Result result;
            if (!this->rejectsCalls)
                fill(result);
            else
                markRejected(result);
            done(result);
        });
    }

    static void markRejected(scheduler::AppendResult &result)
    {
        result.status = scheduler::AppendStatus::NotStored;
    }
    static void markRejected(scheduler::ReadResult & /*result*/)
    {
    }
    static void markRejected(scheduler::NewestResult & /*result*/)
    {
    }

    adapters::Loop &loop;
    FakeLogState &state;
};

} // namespace flamingo::tests

#endif
