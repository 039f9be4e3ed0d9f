#include "sampleconfiguration.h"
#include "suite.h"

#include "parsleyvane/config/edits.h"
#include "parsleyvane/config/validate.h"

#include <algorithm>

namespace parsleyvane {

namespace {

/// Fault that a transaction meets.
enum class Fault {
    None,
    Race, ///< another operator commits first
    ReplyLost, ///< applied, no reply
    Dropped, ///< not applied, no reply
    Delayed, ///< no reply; applied at the next call if its version check still passes
    NotSent,
    ReplyLostThenRace, ///< applied, no reply, and another operator commits before the audit entry is read
};

/// In-memory table with scripted faults, which are taken from the end of the script.
class FakeTable : public ConfigurationTable
{
public:
    FakeTable()
    {
        this->head.rowVersion = 1;
        this->head.configuration = test::sampleConfiguration();
    }

    std::optional<HeadRow> readHead(LastReason & /*reason*/) override
    {
        this->applyDelayedWrites();
        return this->head;
    }
    std::optional<AuditEntry> readAuditEntry(Revision revision, LastReason & /*reason*/) override
    {
        for (const AuditEntry &entry : this->trail) {
            if (entry.revision == revision) {
                return entry;
            }
        }
        return AuditEntry{};
    }
    CommitOutcome commit(std::uint64_t rowVersion, const Configuration &configuration, const AuditEntry &entry,
                         LastReason & /*reason*/) override
    {
        this->applyDelayedWrites();
        const Write write{rowVersion, configuration, entry};
        const Fault fault = this->nextFault();
        switch (fault) {
        case Fault::Race:
            this->commitCompetingChange();
            break;
        case Fault::Dropped:
            return CommitOutcome::Unknown;
        case Fault::Delayed:
            this->delayedWrites.push_back(write);
            return CommitOutcome::Unknown;
        case Fault::NotSent:
            return CommitOutcome::NotSent;
        case Fault::ReplyLostThenRace:
            this->apply(write);
            this->commitCompetingChange();
            return CommitOutcome::Unknown;
        case Fault::None:
        case Fault::ReplyLost:
            break;
        }
        const bool applied = this->apply(write);
        if (fault == Fault::ReplyLost) {
            return CommitOutcome::Unknown;
        }
        return applied ? CommitOutcome::Committed : CommitOutcome::CheckFailed;
    }
    void waitBeforeRetry() override
    {
    }

    std::vector<Fault> scriptedFaults;
    std::function<void()> commitCompetingChange = [] {
    };
    HeadRow head;
    std::vector<AuditEntry> trail;

    void applyDelayedWrites()
    {
        for (const Write &write : std::exchange(this->delayedWrites, {})) {
            this->apply(write);
        }
    }

private:
    struct Write
    {
        std::uint64_t rowVersion;
        Configuration configuration;
        AuditEntry entry;
    };

    Fault nextFault()
    {
        if (this->scriptedFaults.empty()) {
            return Fault::None;
        }
        const Fault fault = this->scriptedFaults.back();
        this->scriptedFaults.pop_back();
        return fault;
    }
    bool apply(const Write &write)
    {
        if (write.rowVersion != this->head.rowVersion) {
            return false;
        }
        this->head = {write.rowVersion + 1, write.configuration};
        this->trail.push_back(write.entry);
        return true;
    }

    std::vector<Write> delayedWrites;
};

ChangeNote makeChangeNote(const std::string &id)
{
    return {id, "operator-" + id, "2026-12-04T00:00:00Z", "test"};
}

std::size_t countWrites(const FakeTable &table, const std::string &id)
{
    return static_cast<std::size_t>(std::count_if(table.trail.begin(), table.trail.end(),
                                                  [&](const AuditEntry &entry) { return entry.change.id == id; }));
}

/// An operator who removes the upstream of the same identifier.
struct Operator
{
    std::string id;
    SubmissionOutcome outcome = SubmissionOutcome::Unreachable;
};

/// Runs all operators; at each Race or ReplyLostThenRace in the script, the next operator submits its change.
void runOperators(FakeTable &table, std::vector<Operator> &operators)
{
    std::size_t next = 0;
    const std::function<void()> runNextOperator = [&] {
        if (next == operators.size()) {
            return;
        }
        Operator &self = operators[next++];
        LastReason reason;
        self.outcome
            = submitEdit(table, makeRemoveUpstreamEdit(UpstreamId(self.id)), makeChangeNote(self.id), reason).outcome;
    };
    table.commitCompetingChange = runNextOperator;
    while (next < operators.size()) {
        runNextOperator();
    }
    table.applyDelayedWrites();
}

const RolloutRequest toVersion4{ModelName("wattle"), VersionName("3"), VersionName("4"), 50};

} // namespace

class EditsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EditsTest);
    CPPUNIT_TEST(stepsARolloutToTheNewVersionAndClosesTheOldOne);
    CPPUNIT_TEST(revertingARolloutRestoresTheOldVersion);
    CPPUNIT_TEST(withdrawingAVersionEndsItsRollout);
    CPPUNIT_TEST(rejectsInvalidOperations);
    CPPUNIT_TEST(concurrentEditsConflictOnlyOnTheSameModel);
    CPPUNIT_TEST(anyOperationSequenceKeepsTheConfigurationValid);
    CPPUNIT_TEST(concurrentSubmissionsLoseNoAcceptedChange);
    CPPUNIT_TEST_SUITE_END();

public:
    void stepsARolloutToTheNewVersionAndClosesTheOldOne()
    {
        LastReason reason;
        auto current = startRollout(test::sampleConfiguration(), toVersion4, reason);
        CPPUNIT_ASSERT(current && validate(*current).empty());
        CPPUNIT_ASSERT_EQUAL(950U, current->versions[0].weight);
        CPPUNIT_ASSERT_EQUAL(50U, current->versions[1].weight);
        CPPUNIT_ASSERT(current->versions[1].state == VersionState::Serving);
        current = pauseRollout(*current, toVersion4, reason);
        CPPUNIT_ASSERT_EQUAL(std::string("halted"), current->rollouts[0].state);
        current = setRolloutShare(*current, {ModelName("wattle"), {}, {}, 1000}, reason);
        CPPUNIT_ASSERT(current && validate(*current).empty());
        CPPUNIT_ASSERT(current->versions[0].state == VersionState::Closed);
        CPPUNIT_ASSERT_EQUAL(1000U, current->versions[1].weight);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), current->rollouts[0].state);
    }

    void revertingARolloutRestoresTheOldVersion()
    {
        LastReason reason;
        const auto started = startRollout(test::sampleConfiguration(), toVersion4, reason);
        const auto reverted = revertRollout(*started, {ModelName("wattle")}, reason);
        CPPUNIT_ASSERT(reverted && validate(*reverted).empty());
        CPPUNIT_ASSERT_EQUAL(1000U, reverted->versions[0].weight);
        CPPUNIT_ASSERT(reverted->versions[1].state == VersionState::Closed);
        CPPUNIT_ASSERT_EQUAL(0U, reverted->versions[1].weight);
    }

    void withdrawingAVersionEndsItsRollout()
    {
        LastReason reason;
        const auto started = startRollout(test::sampleConfiguration(), toVersion4, reason);
        const auto withdrawn = withdrawVersion(*started, toVersion4, reason);
        CPPUNIT_ASSERT(withdrawn && validate(*withdrawn).empty());
        CPPUNIT_ASSERT(withdrawn->versions[1].state == VersionState::Withdrawn);
        CPPUNIT_ASSERT_EQUAL(1000U, withdrawn->versions[0].weight);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), withdrawn->rollouts[0].state);
        CPPUNIT_ASSERT(!startRollout(*withdrawn, toVersion4, reason));
    }

    void rejectsInvalidOperations()
    {
        LastReason reason;
        Configuration sample = test::sampleConfiguration();
        CPPUNIT_ASSERT(!setRolloutShare(sample, toVersion4, reason));
        CPPUNIT_ASSERT(!removeUpstream(sample, UpstreamId("e9"), reason));
        CPPUNIT_ASSERT(!startRollout(sample, {toVersion4.model, toVersion4.from, toVersion4.to, 1001}, reason));
        const auto started = startRollout(sample, toVersion4, reason);
        CPPUNIT_ASSERT(!startRollout(*started, toVersion4, reason));
        Configuration restricted = *started;
        std::erase(restricted.accounts[0].allowed, test::version("wattle", "4"));
        CPPUNIT_ASSERT(!setRolloutShare(restricted, {toVersion4.model, {}, {}, 1000}, reason));
        CPPUNIT_ASSERT(reason.failure().detail.find("agents") != std::string::npos);
        std::get<Engine>(sample.upstreams[0].kind).loads.pop_back();
        CPPUNIT_ASSERT(!startRollout(sample, toVersion4, reason));
    }

    void concurrentEditsConflictOnlyOnTheSameModel()
    {
        for (const bool sameModel : {true, false}) {
            FakeTable table;
            table.scriptedFaults = {Fault::Race};
            table.commitCompetingChange = [&] {
                const Edit edit = sameModel ? makeRolloutEdit(withdrawVersion, toVersion4)
                                            : makeRemoveUpstreamEdit(UpstreamId("e2"));
                LastReason competingReason;
                submitEdit(table, edit, makeChangeNote("other"), competingReason);
            };
            LastReason reason;
            const auto result
                = submitEdit(table, makeRolloutEdit(startRollout, toVersion4), makeChangeNote("own"), reason);
            CPPUNIT_ASSERT(result.outcome == (sameModel ? SubmissionOutcome::Conflict : SubmissionOutcome::Accepted));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countWrites(table, "other"));
        }
    }

    void anyOperationSequenceKeepsTheConfigurationValid()
    {
        test::property("roll-outs keep the configuration valid and assign all work", [] {
            constexpr std::array operations
                = {startRollout, setRolloutShare, pauseRollout, revertRollout, withdrawVersion};
            Configuration current = test::sampleConfiguration();
            const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 10000U));
            for (const unsigned step : steps) {
                const bool forward = step % 2 == 0;
                const RolloutRequest request{ModelName("wattle"), VersionName(forward ? "3" : "4"),
                                             VersionName(forward ? "4" : "3"), step % 1001};
                LastReason reason;
                const auto next = operations[step / 2 % operations.size()](current, request, reason);
                current = next.value_or(current);
                RC_ASSERT(validate(current).empty());
                const bool isInProgress = !current.rollouts.empty() && current.rollouts[0].state != "done";
                RC_ASSERT(!isInProgress
                          || current.versions[0].weight + current.versions[1].weight == fullSharePerMille);
            }
        });
    }

    void concurrentSubmissionsLoseNoAcceptedChange()
    {
        test::property("accepted changes stay, rejected ones are not written", [](const std::vector<unsigned> &codes) {
            FakeTable table;
            std::vector<Operator> operators;
            for (const char *id : {"e3", "e4", "e5", "e6"}) {
                operators.push_back({id});
                table.head.configuration.upstreams.push_back(
                    {UpstreamId(id), "127.0.0.1:1" + std::string(id + 1), ZoneId("a"), Engine{}});
            }
            for (const unsigned code : codes) {
                table.scriptedFaults.push_back(static_cast<Fault>(code % 7));
            }
            runOperators(table, operators);
            for (const Operator &submitter : operators) {
                const std::size_t writes = countWrites(table, submitter.id);
                const bool isRemoved = table.head.configuration.findUpstream(UpstreamId(submitter.id)) == nullptr;
                RC_ASSERT(isRemoved == (writes == 1));
                RC_ASSERT(writes <= 1);
                RC_ASSERT(submitter.outcome != SubmissionOutcome::Accepted || writes == 1);
                RC_ASSERT(submitter.outcome != SubmissionOutcome::Conflict);
                RC_ASSERT(submitter.outcome == SubmissionOutcome::Accepted
                          || submitter.outcome == SubmissionOutcome::Unknown || writes == 0);
            }
            std::uint64_t revision = 0;
            for (const AuditEntry &entry : table.trail) {
                RC_ASSERT(entry.basedOn == Revision(revision));
                RC_ASSERT(entry.revision == Revision(++revision));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EditsTest);

} // namespace parsleyvane
