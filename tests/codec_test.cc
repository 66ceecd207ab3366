// Guards against fields that are lost in encoding, and against malformed frames that are accepted
// or crash the process.

#include "flamingo/adapters/codec.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;

TEST_GROUP(Codec){};

TEST(Codec, startIsDecodedAsItWasEncoded)
{
    Start start;
    start.spec = std::make_unique<JobSpec>();
    start.spec->job = "job-1";
    start.spec->members = 4;
    start.attempt = "entry-a#7";
    start.members = {"agent-1", "agent-2"};
    Reason reason;
    const auto frame = adapters::encodeFrame(start, reason);
    CHECK(frame.has_value());
    const auto size = adapters::frameBodyBytes(*frame);
    CHECK_EQUAL(frame->size() - adapters::frameHeaderBytes, size);
    const auto message = adapters::decodeFrameBody(
        std::string_view(*frame).substr(adapters::frameHeaderBytes), reason);
    CHECK(message.has_value());
    const auto &decoded = std::get<Start>(*message);
    CHECK_EQUAL(std::string("job-1"), decoded.spec->job);
    CHECK_EQUAL(4U, decoded.spec->members);
    CHECK_EQUAL(std::string("agent-2"), decoded.members[1]);
}

TEST(Codec, everyTruncatedFrameIsRefused)
{
    Report report;
    report.agent = "agent-1";
    report.tasks.resize(3);
    Reason reason;
    const auto frame = adapters::encodeFrame(report, reason);
    const auto body = std::string_view(*frame).substr(adapters::frameHeaderBytes);
    for (std::size_t length = 0; length < body.size(); ++length)
        CHECK_FALSE(adapters::decodeFrameBody(body.substr(0, length), reason).has_value());
}

TEST(Codec, oversizedMessageIsRefused)
{
    Outcome outcome;
    outcome.answer.assign(maxFrameBytes, 'x');
    Reason reason;
    CHECK_FALSE(adapters::encodeFrame(outcome, reason).has_value());
    CHECK(reason.code == ReasonCode::InvalidInput);
}
