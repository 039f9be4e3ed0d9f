#include "suite.h"

#include "parsleyvane/ledger/runonce.h"

namespace parsleyvane {

namespace {

const std::string body = "hash-1";

RunOnce newAttempt(const std::string &id)
{
    return {AttemptId(id), RequestId("r1"), body};
}

ClaimRow rowOf(const std::string &attempt, ClaimState state, std::uint64_t version)
{
    return {.attempt = AttemptId(attempt),
            .request = RequestId("r1"),
            .bodyHash = body,
            .state = state,
            .version = version};
}

RefuseRequest refusalIn(const LedgerAction &action)
{
    return std::get<RefuseRequest>(action);
}

bool isSend(const LedgerAction &action)
{
    return std::holds_alternative<SendOnce>(action);
}

} // namespace

class LedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LedgerTest);
    CPPUNIT_TEST(committedClaimSendsAndDeliversTheResult);
    CPPUNIT_TEST(ownRowInTheWayIsALostReply);
    CPPUNIT_TEST(readBackOfTheOwnRowSends);
    CPPUNIT_TEST(anotherAttemptsHeldRowRefusesUnknown);
    CPPUNIT_TEST(doneRowReplaysItsResult);
    CPPUNIT_TEST(releasedRowIsClaimedAnew);
    CPPUNIT_TEST(anotherBodyIsRefusedInEveryState);
    CPPUNIT_TEST(lostClaimsEndInARefusalWithATombstone);
    CPPUNIT_TEST(lostReadEndsInARefusalWithATombstone);
    CPPUNIT_TEST(staleReadIsNoNews);
    CPPUNIT_TEST(tombstoneStandsOverTheReleasedRowThatTheLostClaimWasFor);
    CPPUNIT_TEST(rowThatMovedOnNeedsNoTombstone);
    CPPUNIT_TEST(unsentClaimNeedsNoCleanUp);
    CPPUNIT_TEST(tombstoneOverwritesTheOwnLateClaim);
    CPPUNIT_TEST(resultIsDeliveredThoughItsRecordIsLost);
    CPPUNIT_TEST(unrunRequestReleasesTheKey);
    CPPUNIT_TEST(unknownOutcomeKeepsTheKey);
    CPPUNIT_TEST_SUITE_END();

public:
    void committedClaimSendsAndDeliversTheResult()
    {
        RunOnce attempt = newAttempt("a1");
        const auto claim = std::get<WriteClaim>(attempt.start());
        CPPUNIT_ASSERT(claim.row == rowOf("a1", ClaimState::Held, 0));
        CPPUNIT_ASSERT(isSend(attempt.onWrite(WriteCommitted{1})));
        const auto record = std::get<WriteClaim>(attempt.onService(ServiceAnswered{200, "unlocked"}));
        CPPUNIT_ASSERT(record.row.state == ClaimState::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, record.row.version);
        const auto answer = std::get<DeliverResult>(attempt.onWrite(WriteCommitted{2}));
        CPPUNIT_ASSERT_EQUAL(std::string("unlocked"), answer.result);
        CPPUNIT_ASSERT(!attempt.pendingCleanUp());
    }

    void ownRowInTheWayIsALostReply()
    {
        RunOnce attempt = newAttempt("a1");
        attempt.start();
        CPPUNIT_ASSERT(isSend(attempt.onWrite(WriteConflict{rowOf("a1", ClaimState::Held, 1)})));
    }

    void readBackOfTheOwnRowSends()
    {
        RunOnce attempt = newAttempt("a1");
        attempt.start();
        CPPUNIT_ASSERT(std::holds_alternative<ReadClaim>(attempt.onWrite(WriteIndeterminate{})));
        CPPUNIT_ASSERT(isSend(attempt.onRead(ReadRow{rowOf("a1", ClaimState::Held, 1)})));
    }

    void anotherAttemptsHeldRowRefusesUnknown()
    {
        RunOnce attempt = newAttempt("a2");
        attempt.start();
        const auto answer = refusalIn(attempt.onWrite(WriteConflict{rowOf("a1", ClaimState::Held, 1)}));
        CPPUNIT_ASSERT(answer.failure.id == ErrorId::ClaimHeld);
        CPPUNIT_ASSERT(answer.failure.runState == RunState::Unknown);
        CPPUNIT_ASSERT(!attempt.pendingCleanUp());
    }

    void doneRowReplaysItsResult()
    {
        RunOnce attempt = newAttempt("a2");
        attempt.start();
        ClaimRow done = rowOf("a1", ClaimState::Done, 2);
        done.status = 200;
        done.result = "unlocked";
        const auto answer = std::get<ReplayResult>(attempt.onWrite(WriteConflict{done}));
        CPPUNIT_ASSERT_EQUAL(std::string("unlocked"), answer.result);
    }

    void releasedRowIsClaimedAnew()
    {
        RunOnce attempt = newAttempt("a2");
        attempt.start();
        const auto claim = std::get<WriteClaim>(attempt.onWrite(WriteConflict{rowOf("a1", ClaimState::Released, 2)}));
        CPPUNIT_ASSERT(claim.row == rowOf("a2", ClaimState::Held, 2));
        CPPUNIT_ASSERT(isSend(attempt.onWrite(WriteCommitted{3})));
    }

    void anotherBodyIsRefusedInEveryState()
    {
        for (const ClaimState state : {ClaimState::Held, ClaimState::Done, ClaimState::Released}) {
            RunOnce attempt(AttemptId("a2"), RequestId("r1"), "hash-2");
            attempt.start();
            const auto answer = refusalIn(attempt.onWrite(WriteConflict{rowOf("a1", state, 1)}));
            CPPUNIT_ASSERT(answer.failure.id == ErrorId::KeyBodyMismatch);
            CPPUNIT_ASSERT(answer.failure.runState == RunState::NotRun);
        }
    }

    void lostClaimsEndInARefusalWithATombstone()
    {
        RunOnce attempt = newAttempt("a1");
        LedgerAction next = attempt.start();
        unsigned writes = 0;
        while (std::holds_alternative<WriteClaim>(next)) {
            ++writes;
            attempt.onWrite(WriteIndeterminate{});
            next = attempt.onRead(ReadRow{});
        }
        CPPUNIT_ASSERT(writes > 1 && writes < 10);
        CPPUNIT_ASSERT(refusalIn(next).failure.id == ErrorId::StoreUnavailable);
        CPPUNIT_ASSERT(refusalIn(next).failure.runState == RunState::NotRun);
        CPPUNIT_ASSERT(attempt.pendingCleanUp() == rowOf("a1", ClaimState::Released, 0));
    }

    void lostReadEndsInARefusalWithATombstone()
    {
        RunOnce attempt = newAttempt("a1");
        attempt.start();
        attempt.onWrite(WriteIndeterminate{});
        CPPUNIT_ASSERT(refusalIn(attempt.onRead(ReadLost{})).failure.id == ErrorId::StoreUnavailable);
        CPPUNIT_ASSERT(attempt.pendingCleanUp() == rowOf("a1", ClaimState::Released, 0));
    }

    void staleReadIsNoNews()
    {
        RunOnce attempt = newAttempt("a2");
        attempt.start();
        attempt.onWrite(WriteConflict{rowOf("a1", ClaimState::Released, 4)});
        attempt.onWrite(WriteIndeterminate{});
        const auto again = std::get<WriteClaim>(attempt.onRead(ReadRow{rowOf("a1", ClaimState::Held, 3)}));
        CPPUNIT_ASSERT(again.row == rowOf("a2", ClaimState::Held, 4));
        CPPUNIT_ASSERT(isSend(attempt.onWrite(WriteConflict{rowOf("a2", ClaimState::Held, 5)})));
    }

    void tombstoneStandsOverTheReleasedRowThatTheLostClaimWasFor()
    {
        RunOnce attempt = newAttempt("a2");
        attempt.start();
        attempt.onWrite(WriteConflict{rowOf("a1", ClaimState::Released, 4)});
        attempt.onWrite(WriteIndeterminate{});
        attempt.onRead(ReadLost{});
        CPPUNIT_ASSERT(attempt.pendingCleanUp() == rowOf("a2", ClaimState::Released, 4));
    }

    void rowThatMovedOnNeedsNoTombstone()
    {
        RunOnce attempt = newAttempt("a2");
        attempt.start();
        attempt.onWrite(WriteIndeterminate{});
        const auto answer = refusalIn(attempt.onRead(ReadRow{rowOf("a1", ClaimState::Held, 1)}));
        CPPUNIT_ASSERT(answer.failure.id == ErrorId::ClaimHeld);
        CPPUNIT_ASSERT(!attempt.pendingCleanUp());
    }

    void unsentClaimNeedsNoCleanUp()
    {
        RunOnce attempt = newAttempt("a1");
        attempt.start();
        CPPUNIT_ASSERT(refusalIn(attempt.onWrite(WriteNotSent{})).failure.runState == RunState::NotRun);
        CPPUNIT_ASSERT(!attempt.pendingCleanUp());
    }

    void tombstoneOverwritesTheOwnLateClaim()
    {
        RunOnce attempt = newAttempt("a1");
        attempt.start();
        attempt.onWrite(WriteIndeterminate{});
        attempt.onRead(ReadLost{});
        attempt.onCleanUpReply(WriteIndeterminate{});
        attempt.onCleanUpReply(WriteConflict{rowOf("a1", ClaimState::Held, 1)});
        CPPUNIT_ASSERT(attempt.pendingCleanUp() == rowOf("a1", ClaimState::Released, 1));
        attempt.onCleanUpReply(WriteCommitted{2});
        CPPUNIT_ASSERT(!attempt.pendingCleanUp());
    }

    void resultIsDeliveredThoughItsRecordIsLost()
    {
        RunOnce attempt = newAttempt("a1");
        attempt.start();
        attempt.onWrite(WriteCommitted{1});
        attempt.onService(ServiceAnswered{200, "unlocked"});
        CPPUNIT_ASSERT(std::holds_alternative<DeliverResult>(attempt.onWrite(WriteIndeterminate{})));
        CPPUNIT_ASSERT(attempt.pendingCleanUp()->state == ClaimState::Done);
        attempt.onCleanUpReply(WriteConflict{*attempt.pendingCleanUp()});
        CPPUNIT_ASSERT(!attempt.pendingCleanUp());
    }

    void unrunRequestReleasesTheKey()
    {
        RunOnce attempt = newAttempt("a1");
        attempt.start();
        attempt.onWrite(WriteCommitted{1});
        const auto release = std::get<WriteClaim>(attempt.onService(ServiceNotRun{{.id = ErrorId::ConnectFailed}}));
        CPPUNIT_ASSERT(release.row == rowOf("a1", ClaimState::Released, 1));
        CPPUNIT_ASSERT(refusalIn(attempt.onWrite(WriteIndeterminate{})).failure.runState == RunState::NotRun);
        CPPUNIT_ASSERT(attempt.pendingCleanUp() == release.row);
    }

    void unknownOutcomeKeepsTheKey()
    {
        RunOnce attempt = newAttempt("a1");
        attempt.start();
        attempt.onWrite(WriteCommitted{1});
        const auto answer = refusalIn(attempt.onService(ServiceOutcomeUnknown{{.id = ErrorId::UpstreamLost}}));
        CPPUNIT_ASSERT(answer.failure.runState == RunState::Unknown);
        CPPUNIT_ASSERT(!attempt.pendingCleanUp());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

} // namespace parsleyvane
