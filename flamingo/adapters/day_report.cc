// A line is parsed completely only when its event is a decision or when it reports suppressed
// lines; most lines of a day are neither.

#include "flamingo/adapters/day_report.h"

#include "flamingo/adapters/idle_jobs.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cmath>
#include <istream>

namespace flamingo::adapters {
namespace {

using Json = nlohmann::ordered_json;

constexpr double msPerSecond = 1000;

// ---- Reading ----

std::string_view eventOf(std::string_view text)
{
    constexpr std::string_view mark = " event=";
    const std::size_t at = text.find(mark);
    if (at == std::string_view::npos)
        return {};
    const std::string_view rest = text.substr(at + mark.size());
    return rest.substr(0, rest.find_first_of(" \r"));
}

std::uint64_t countOf(const LogLine &line, std::string_view name)
{
    const auto found = line.fields.find(name);
    std::uint64_t count = 0;
    return found != line.fields.end() && absl::SimpleAtoi(found->second, &count) ? count : 0;
}

// ---- Tables ----

double rounded(double value)
{
    return std::round(value * 10) / 10;
}

double seconds(std::uint64_t beginMs, std::uint64_t endMs)
{
    return rounded((double(endMs) - double(beginMs)) / msPerSecond);
}

std::string_view endName(const JobAccount &job)
{
    switch (job.end) {
    case JobEnd::Open:
        return "open";
    case JobEnd::Completed:
        return "completed";
    case JobEnd::Failed:
        return "failed";
    case JobEnd::Cancelled:
        return "cancelled";
    }
    return "?";
}

std::string_view punctualityName(Punctuality value)
{
    switch (value) {
    case Punctuality::Unknown:
        return "";
    case Punctuality::InTime:
        return "in time";
    case Punctuality::Late:
        return "late";
    case Punctuality::TooLate:
        return "too late";
    }
    return "?";
}

// The job's acceptance, or the first decision about it when job_known is not in the log.
std::uint64_t beginMs(const JobAccount &job)
{
    return job.known ? job.facts.acceptedMs : firstMs(job);
}

// The name of the queue, which is empty for jobs whose job_known is not in the log.
std::string_view queueName(std::string_view queue)
{
    return queue.empty() ? "unknown" : queue;
}

struct QueueSum
{
    std::uint64_t jobs = 0;
    std::map<JobEnd, std::uint64_t> ends;
    std::map<Punctuality, std::uint64_t> punctualities; // of completed jobs
    std::vector<double> startSeconds; // from acceptance to the first assignment
};

Json queueRows(const DayAccount &account)
{
    std::map<std::pair<std::uint32_t, std::string>, QueueSum> queues;
    for (const auto &[id, job] : account.jobs) {
        QueueSum &sum = queues[{job.facts.priority, job.facts.queue}];
        ++sum.jobs;
        ++sum.ends[job.end];
        if (job.end == JobEnd::Completed)
            ++sum.punctualities[punctuality(job)];
        if (job.known && !job.runs.empty())
            sum.startSeconds.push_back(seconds(job.facts.acceptedMs, job.runs.front().beginMs));
    }
    Json rows = Json::array();
    for (auto &[key, sum] : queues) {
        std::sort(sum.startSeconds.begin(), sum.startSeconds.end());
        Json row = {{"priority", key.first},
                    {"queue", queueName(key.second)},
                    {"jobs", sum.jobs},
                    {"completed", sum.ends[JobEnd::Completed]},
                    {"in_time", sum.punctualities[Punctuality::InTime]},
                    {"late", sum.punctualities[Punctuality::Late]},
                    {"too_late", sum.punctualities[Punctuality::TooLate]},
                    {"failed", sum.ends[JobEnd::Failed]},
                    {"cancelled", sum.ends[JobEnd::Cancelled]},
                    {"open", sum.ends[JobEnd::Open]}};
        if (!sum.startSeconds.empty()) {
            row["median_start_s"] = sum.startSeconds[sum.startSeconds.size() / 2];
            row["longest_start_s"] = sum.startSeconds.back();
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

// Sorts by priority, then by `value`, largest first.
template <typename Sum, typename Value>
std::vector<std::pair<CauseKey, Sum>> sortedSums(const std::map<CauseKey, Sum> &sums,
                                                 const Value &value)
{
    std::vector<std::pair<CauseKey, Sum>> sorted(sums.begin(), sums.end());
    std::stable_sort(sorted.begin(), sorted.end(), [&](const auto &a, const auto &b) {
        if (a.first.priority != b.first.priority)
            return a.first.priority < b.first.priority;
        return value(a.second) > value(b.second);
    });
    return sorted;
}

Json waitRows(const DayAccount &account)
{
    Json rows = Json::array();
    const auto length = [](const WaitSum &sum) { return sum.seconds; };
    for (const auto &[key, sum] : sortedSums(account.waits, length)) {
        rows.push_back({{"priority", key.priority},
                        {"queue", queueName(key.queue)},
                        {"cause", key.cause},
                        {"waits", sum.waits},
                        {"seconds", rounded(sum.seconds)},
                        {"longest_s", rounded(sum.longestSeconds)},
                        {"task_seconds", rounded(sum.taskSeconds)}});
    }
    return rows;
}

Json lossRows(const DayAccount &account)
{
    Json rows = Json::array();
    const auto work = [](const LossSum &sum) {
        return sum.coreSeconds + sum.checkpointedCoreSeconds;
    };
    for (const auto &[key, sum] : sortedSums(account.losses, work)) {
        rows.push_back({{"priority", key.priority},
                        {"queue", queueName(key.queue)},
                        {"cause", key.cause},
                        {"runs", sum.runs},
                        {"core_s", rounded(sum.coreSeconds)},
                        {"core_s_checkpointed", rounded(sum.checkpointedCoreSeconds)}});
    }
    return rows;
}

Json idleSumRows(const DayAccount &account)
{
    std::vector<std::pair<std::string, IdleSum>> sorted(account.idleByReason.begin(),
                                                        account.idleByReason.end());
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) {
        return a.second.seconds > b.second.seconds;
    });
    Json rows = Json::array();
    for (const auto &[reason, sum] : sorted) {
        rows.push_back({{"reason", reason},
                        {"intervals", sum.intervals},
                        {"seconds", rounded(sum.seconds)},
                        {"longest_s", rounded(sum.longestSeconds)}});
    }
    return rows;
}

// The reasons after the first with their lengths, without those of less than 0.1 s.
std::string otherReasons(const IdleInterval &interval)
{
    constexpr std::uint64_t shownMs = 100;
    std::vector<std::string> reasons;
    for (std::size_t i = 1; i < interval.parts.size() && interval.parts[i].lengthMs >= shownMs; ++i)
        reasons.push_back(absl::StrFormat("%s %.1f s", interval.parts[i].reason,
                                          double(interval.parts[i].lengthMs) / msPerSecond));
    return absl::StrJoin(reasons, "; ");
}

Json idleRows(const DayAccount &account)
{
    Json rows = Json::array();
    for (const IdleInterval &interval : account.idle) {
        const auto job = account.jobs.find(interval.jobId);
        const bool known = job != account.jobs.end();
        Json row = {{"job", interval.jobId},
                    {"queue", queueName(known ? job->second.facts.queue : "")},
                    {"from_s", seconds(account.beginMs, interval.beginMs)},
                    {"seconds", seconds(interval.beginMs, interval.endMs)},
                    {"leader_changed", interval.leaderChanged},
                    {"tasks_waiting", ""},
                    {"places_free", ""},
                    {"mostly", interval.parts.front().reason},
                    {"also", otherReasons(interval)}};
        if (interval.tasksWaiting) {
            row["tasks_waiting"] = *interval.tasksWaiting;
            row["places_free"] = interval.placesFree;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

// The key with the largest value; empty when there is none.
std::string largest(const std::map<std::string, double> &values)
{
    const auto found =
        std::max_element(values.begin(), values.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    return found == values.end() ? "" : found->first;
}

Json jobRow(const JobAccount &job)
{
    std::map<std::string, double> waits;
    std::map<std::string, double> losses;
    double waited = 0;
    double lost = 0;
    for (const WaitAccount &wait : job.waits) {
        const double length = double(wait.endMs - wait.beginMs) / msPerSecond;
        waits[wait.cause] += length;
        waited += length;
    }
    for (const RunAccount &run : job.runs) {
        if (run.cause.empty())
            continue;
        losses[run.cause] += run.coreSeconds;
        lost += run.coreSeconds;
    }
    Json row = {{"job", job.id},
                {"priority", job.facts.priority},
                {"tasks", job.facts.tasks},
                {"accelerators", job.facts.accelerators},
                {"start_s", ""},
                {"waited_s", rounded(waited)},
                {"runs", job.runs.size()},
                {"discarded_core_s", rounded(lost)},
                {"end", endName(job)},
                {"took_s", ""},
                {"objective_s", ""},
                {"verdict", punctualityName(punctuality(job))},
                {"mostly_waited_for", largest(waits)},
                {"mostly_discarded_by", largest(losses)}};
    if (job.known && !job.runs.empty())
        row["start_s"] = seconds(job.facts.acceptedMs, job.runs.front().beginMs);
    if (job.known && job.end != JobEnd::Open)
        row["took_s"] = rounded(double(timeTakenMs(job)) / msPerSecond);
    if (job.facts.objectiveMs > 0)
        row["objective_s"] = rounded(double(job.facts.objectiveMs) / msPerSecond);
    return row;
}

// ---- Plot ----

constexpr double plotWidth = 900;
constexpr double panelHeight = 110;
constexpr double panelGap = 60;
constexpr double leftMargin = 60;
constexpr double topMargin = 40;
constexpr double legendWidth = 330;
constexpr double legendLine = 14;
constexpr int timeTicks = 8;
constexpr std::string_view colours[] = {"#c0392b", "#2471a3", "#229954", "#b7950b",
                                        "#7d3c98", "#616a6b", "#ca6f1e", "#17a589"};

struct Curve
{
    std::string name;
    absl::Span<const double> values;
};

std::string escaped(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        if (c == '<')
            result += "&lt;";
        else if (c == '&')
            result += "&amp;";
        else
            result += c;
    }
    return result;
}

std::string textElement(double x, double y, std::string_view anchor, std::string_view text)
{
    return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y,
                           anchor, escaped(text));
}

// A curve as steps, one for each bin.
std::string curveElement(const Curve &curve, double top, double maximum, std::string_view colour)
{
    std::string points;
    const double step = plotWidth / double(std::max<std::size_t>(1, curve.values.size()));
    for (std::size_t i = 0; i < curve.values.size(); ++i) {
        const double y = top + panelHeight * (1 - curve.values[i] / maximum);
        absl::StrAppendFormat(&points, "%.1f,%.1f %.1f,%.1f ", leftMargin + step * double(i), y,
                              leftMargin + step * double(i + 1), y);
    }
    return absl::StrFormat("<polyline fill=\"none\" stroke=\"%s\" points=\"%s\"/>\n", colour,
                           points);
}

std::string panel(std::string_view title, absl::Span<const Curve> curves, double top,
                  double periodSeconds)
{
    double maximum = 0;
    for (const Curve &curve : curves) {
        for (const double value : curve.values)
            maximum = std::max(maximum, value);
    }
    const double scale = maximum > 0 ? maximum : 1;
    std::string text = textElement(leftMargin, top - 8, "start", title);
    absl::StrAppendFormat(&text,
                          "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
                          "fill=\"none\" stroke=\"#999\"/>\n",
                          leftMargin, top, plotWidth, panelHeight);
    text += textElement(leftMargin - 5, top + 10, "end", absl::StrFormat("%.4g", maximum));
    text += textElement(leftMargin - 5, top + panelHeight, "end", "0");
    for (int i = 0; i <= timeTicks; ++i) {
        const double share = double(i) / timeTicks;
        text += textElement(leftMargin + share * plotWidth, top + panelHeight + 15, "middle",
                            absl::StrFormat("%.1f s", share * periodSeconds));
    }
    for (std::size_t i = 0; i < curves.size(); ++i) {
        const std::string_view colour = colours[i % std::size(colours)];
        text += curveElement(curves[i], top, scale, colour);
        const double y = top + legendLine * (double(i) + 0.7);
        absl::StrAppendFormat(
            &text, "<rect x=\"%.1f\" y=\"%.1f\" width=\"10\" height=\"3\" fill=\"%s\"/>\n",
            leftMargin + plotWidth + 10, y - 5, colour);
        text += textElement(leftMargin + plotWidth + 25, y, "start", curves[i].name);
    }
    return text;
}

// The causes that discarded most; a plot of all would not be legible.
std::vector<Curve> largestLosses(const std::map<std::string, std::vector<double>> &coreSeconds)
{
    std::vector<std::pair<double, Curve>> sorted;
    for (const auto &[cause, values] : coreSeconds) {
        double sum = 0;
        for (const double value : values)
            sum += value;
        sorted.push_back({sum, {absl::StrFormat("%s: %.0f", cause, sum), values}});
    }
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<Curve> curves;
    for (auto &[sum, curve] : sorted) {
        if (curves.size() < std::size(colours) && sum > 0)
            curves.push_back(std::move(curve));
    }
    return curves;
}

} // namespace

void readDayLog(std::istream &log, DayLog &day)
{
    for (std::string text; std::getline(log, text);) {
        const std::string_view event = eventOf(text);
        const bool decision = isDayEvent(event);
        const bool sign = isDaySign(event);
        if (!decision && !sign && text.find(" left_out_") == std::string::npos) {
            day.lines += !event.empty() && text.find("unix_ms=") != std::string::npos ? 1 : 0;
            continue;
        }
        if (text.back() == '\r')
            text.pop_back();
        const auto line = parseLogLine(text);
        if (!line)
            continue;
        ++day.lines;
        const std::uint64_t suppressed =
            countOf(*line, "left_out_before") + countOf(*line, "left_out_blocked");
        if (suppressed > 0) {
            day.suppressedLines[line->process] += suppressed;
            DaySign suppression;
            suppression.kind = DaySignKind::LinesSuppressed;
            suppression.unixMs = line->unixMs;
            suppression.process = line->process;
            day.signs.push_back(std::move(suppression));
        }
        if (auto parsed = toDaySign(*line))
            day.signs.push_back(std::move(*parsed));
        if (!decision)
            continue;
        auto parsed = toDayEvent(*line);
        if (parsed)
            day.events.push_back(std::move(*parsed));
        else
            ++day.incompleteLines;
    }
}

Json accountSummary(const DayAccount &account, const DayLog &day)
{
    std::uint64_t suppressed = 0;
    for (const auto &[process, count] : day.suppressedLines) {
        const auto &leaders = account.leaders;
        if (std::find(leaders.begin(), leaders.end(), process) != leaders.end())
            suppressed += count;
    }
    std::vector<const JobAccount *> jobs;
    for (const auto &[id, job] : account.jobs)
        jobs.push_back(&job);
    std::stable_sort(jobs.begin(), jobs.end(), [](const JobAccount *a, const JobAccount *b) {
        return beginMs(*a) < beginMs(*b);
    });
    Json jobRows = Json::array();
    for (const JobAccount *job : jobs)
        jobRows.push_back(jobRow(*job));
    return {{"from_unix_ms", account.beginMs},
            {"to_unix_ms", account.endMs},
            {"leaders", absl::StrJoin(account.leaders, ", ")},
            {"decisions", day.events.size()},
            {"decisions_of_deposed_leaders", account.formerLeaderLines},
            {"incomplete_lines", day.incompleteLines},
            {"lines_suppressed_by_leaders", suppressed},
            {"runs_without_start", account.runsWithoutStart},
            {"runs_without_end", account.runsWithoutEnd},
            {"discarded_runs_with_estimated_need", account.estimatedRuns},
            {"queues", queueRows(account)},
            {"waits", waitRows(account)},
            {"discarded_work", lossRows(account)},
            {"idle_by_reason", idleSumRows(account)},
            {"idle_jobs", idleRows(account)},
            {"jobs", jobRows}};
}

Json jobSummary(const JobAccount &job)
{
    const std::uint64_t begin = beginMs(job);
    Json waits = Json::array();
    for (const WaitAccount &wait : job.waits) {
        waits.push_back({{"step", absl::StrCat(wait.occurrence, ".", wait.step)},
                         {"from_s", seconds(begin, wait.beginMs)},
                         {"seconds", seconds(wait.beginMs, wait.endMs)},
                         {"task_seconds", rounded(wait.taskSeconds)},
                         {"cause", wait.cause}});
    }
    Json runs = Json::array();
    for (const RunAccount &run : job.runs) {
        runs.push_back({{"task", absl::StrCat(run.occurrence, ".", run.step, ".", run.index)},
                        {"run", run.run},
                        {"from_s", seconds(begin, run.beginMs)},
                        {"seconds", seconds(run.beginMs, run.endMs)},
                        {"end", run.end},
                        {"discarded_core_s", run.cause.empty() ? 0 : rounded(run.coreSeconds)},
                        {"worker", run.worker},
                        {"cause", run.cause},
                        {"for_job", run.stoppedFor}});
    }
    return {{"job", job.id},
            {"queue", queueName(job.facts.queue)},
            {"organisation", job.facts.organisation},
            {"guaranteed", job.facts.guaranteed},
            {"accepted_unix_ms", begin},
            {"summary", Json::array({jobRow(job)})},
            {"waits", waits},
            {"runs", runs}};
}

std::string renderDayPlot(const DayAccount &account)
{
    const DaySeries &series = account.series;
    std::vector<Curve> waits;
    for (const auto &[priority, values] : series.waitingTasks)
        waits.push_back({absl::StrCat("priority ", priority), values});
    const std::vector<Curve> runs = {{"runs", series.runs}};
    const std::vector<Curve> accelerators = {{"accelerators", series.accelerators}};
    const std::vector<Curve> losses = largestLosses(series.lostCoreSeconds);
    const std::vector<Curve> checkpointed = largestLosses(series.checkpointedCoreSeconds);
    const std::pair<std::string_view, absl::Span<const Curve>> panels[] = {
        {"Runs", runs},
        {"Accelerators of runs", accelerators},
        {"Tasks that wait for longer than 0.5 s", waits},
        {"Discarded core-seconds of runs without checkpoints, per interval", losses},
        {"Core-seconds of discarded runs with checkpoints, per interval", checkpointed},
    };
    const double periodSeconds = double(account.endMs - account.beginMs) / msPerSecond;
    std::string body;
    double top = topMargin;
    for (const auto &[title, curves] : panels) {
        body += panel(title, curves, top, periodSeconds);
        top += panelHeight + panelGap;
    }
    return absl::StrFormat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
                           "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"11\">\n"
                           "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
                           leftMargin + plotWidth + legendWidth, top)
        + body + "</svg>\n";
}

} // namespace flamingo::adapters
