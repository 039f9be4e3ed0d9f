#include "sampleconfiguration.h"
#include "suite.h"

#include "parsleyvane/config/edits.h"
#include "parsleyvane/config/validate.h"

#include <algorithm>

namespace parsleyvane {

namespace {

/// What happens to a transaction.
enum class Fault {
    None,
    Race, ///< another operator goes first
    ReplyLost, ///< applied, no answer
    Dropped, ///< not applied, no answer
    Delayed, ///< no answer; applied at the next call if its check still holds
    NotSent,
    LostThenRace, ///< applied, no answer, and another operator follows before the read-back
};

/// The platform's table in memory, with faults by script.
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
        this->applyDelayed();
        return this->head;
    }
    std::optional<AuditEntry> readAudit(Revision revision, LastReason & /*reason*/) override
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
        this->applyDelayed();
        const Write write{rowVersion, configuration, entry};
        const Fault fault = this->nextFault();
        switch (fault) {
        case Fault::Race:
            this->race();
            break;
        case Fault::Dropped:
            return CommitOutcome::Unknown;
        case Fault::Delayed:
            this->delayed.push_back(write);
            return CommitOutcome::Unknown;
        case Fault::NotSent:
            return CommitOutcome::NotSent;
        case Fault::LostThenRace:
            this->apply(write);
            this->race();
            return CommitOutcome::Unknown;
        case Fault::None:
        case Fault::ReplyLost:
            break;
        }
        const bool applied = this->apply(write);
        if (fault == Fault::ReplyLost) {
            return CommitOutcome::Unknown;
        }
        return applied ? CommitOutcome::Committed : CommitOutcome::Refused;
    }
    void pause() override
    {
    }

    std::vector<Fault> script;
    std::function<void()> race = [] {
    };
    HeadRow head;
    std::vector<AuditEntry> trail;

    void applyDelayed()
    {
        for (const Write &write : std::exchange(this->delayed, {})) {
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
        if (this->script.empty()) {
            return Fault::None;
        }
        const Fault fault = this->script.back();
        this->script.pop_back();
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

    std::vector<Write> delayed;
};

ChangeNote noteOf(const std::string &id)
{
    return {id, "operator-" + id, "2026-12-04T00:00:00Z", "test"};
}

std::size_t timesWritten(const FakeTable &table, const std::string &id)
{
    return static_cast<std::size_t>(std::count_if(table.trail.begin(), table.trail.end(),
                                                  [&](const AuditEntry &entry) { return entry.change.id == id; }));
}

/// One operator who takes one upstream out.
struct Operator
{
    std::string id;
    SubmissionOutcome outcome = SubmissionOutcome::Unreachable;
};

/// Lets the operators work; at each race in the script, the next one goes first.
void runOperators(FakeTable &table, std::vector<Operator> &operators)
{
    std::size_t next = 0;
    const std::function<void()> startNext = [&] {
        if (next == operators.size()) {
            return;
        }
        Operator &self = operators[next++];
        LastReason reason;
        self.outcome = submitEdit(table, drainEdit(UpstreamId(self.id)), noteOf(self.id), reason).outcome;
    };
    table.race = startNext;
    while (next < operators.size()) {
        startNext();
    }
    table.applyDelayed();
}

const RolloutRequest toFour{ModelName("wattle"), VersionName("3"), VersionName("4"), 50};

} // namespace

class EditsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EditsTest);
    CPPUNIT_TEST(movesSharesAndFinishes);
    CPPUNIT_TEST(takesARolloutBack);
    CPPUNIT_TEST(withdrawalEndsTheRollout);
    CPPUNIT_TEST(refusesWhatCannotBe);
    CPPUNIT_TEST(conflictsOnTheSameModelOnly);
    CPPUNIT_TEST(anyOperationsKeepTheConfigurationValid);
    CPPUNIT_TEST(operatorsLoseNoChange);
    CPPUNIT_TEST_SUITE_END();

public:
    void movesSharesAndFinishes()
    {
        LastReason reason;
        auto current = startRollout(test::sampleConfiguration(), toFour, reason);
        CPPUNIT_ASSERT(current && validate(*current).empty());
        CPPUNIT_ASSERT_EQUAL(950U, current->versions[0].weight);
        CPPUNIT_ASSERT_EQUAL(50U, current->versions[1].weight);
        CPPUNIT_ASSERT(current->versions[1].state == VersionState::Serving);
        current = haltRollout(*current, toFour, reason);
        CPPUNIT_ASSERT_EQUAL(std::string("halted"), current->rollouts[0].state);
        current = stepRollout(*current, {ModelName("wattle"), {}, {}, 1000}, reason);
        CPPUNIT_ASSERT(current && validate(*current).empty());
        CPPUNIT_ASSERT(current->versions[0].state == VersionState::Closed);
        CPPUNIT_ASSERT_EQUAL(1000U, current->versions[1].weight);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), current->rollouts[0].state);
    }

    void takesARolloutBack()
    {
        LastReason reason;
        const auto started = startRollout(test::sampleConfiguration(), toFour, reason);
        const auto back = backRollout(*started, {ModelName("wattle")}, reason);
        CPPUNIT_ASSERT(back && validate(*back).empty());
        CPPUNIT_ASSERT_EQUAL(1000U, back->versions[0].weight);
        CPPUNIT_ASSERT(back->versions[1].state == VersionState::Closed);
        CPPUNIT_ASSERT_EQUAL(0U, back->versions[1].weight);
    }

    void withdrawalEndsTheRollout()
    {
        LastReason reason;
        const auto started = startRollout(test::sampleConfiguration(), toFour, reason);
        const auto withdrawn = withdrawVersion(*started, toFour, reason);
        CPPUNIT_ASSERT(withdrawn && validate(*withdrawn).empty());
        CPPUNIT_ASSERT(withdrawn->versions[1].state == VersionState::Withdrawn);
        CPPUNIT_ASSERT_EQUAL(1000U, withdrawn->versions[0].weight);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), withdrawn->rollouts[0].state);
        CPPUNIT_ASSERT(!startRollout(*withdrawn, toFour, reason));
    }

    void refusesWhatCannotBe()
    {
        LastReason reason;
        Configuration sample = test::sampleConfiguration();
        CPPUNIT_ASSERT(!stepRollout(sample, toFour, reason));
        CPPUNIT_ASSERT(!drainUpstream(sample, UpstreamId("e9"), reason));
        CPPUNIT_ASSERT(!startRollout(sample, {toFour.model, toFour.from, toFour.to, 1001}, reason));
        const auto started = startRollout(sample, toFour, reason);
        CPPUNIT_ASSERT(!startRollout(*started, toFour, reason));
        Configuration narrow = *started;
        std::erase(narrow.accounts[0].allowed, test::version("wattle", "4"));
        CPPUNIT_ASSERT(!stepRollout(narrow, {toFour.model, {}, {}, 1000}, reason));
        CPPUNIT_ASSERT(reason.failure().detail.find("agents") != std::string::npos);
        std::get<Engine>(sample.upstreams[0].kind).loads.pop_back();
        CPPUNIT_ASSERT(!startRollout(sample, toFour, reason));
    }

    void conflictsOnTheSameModelOnly()
    {
        for (const bool sameModel : {true, false}) {
            FakeTable table;
            table.script = {Fault::Race};
            table.race = [&] {
                const Edit edit = sameModel ? rolloutEdit(withdrawVersion, toFour) : drainEdit(UpstreamId("e2"));
                LastReason inner;
                submitEdit(table, edit, noteOf("other"), inner);
            };
            LastReason reason;
            const auto result = submitEdit(table, rolloutEdit(startRollout, toFour), noteOf("own"), reason);
            CPPUNIT_ASSERT(result.outcome == (sameModel ? SubmissionOutcome::Lost : SubmissionOutcome::Accepted));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, timesWritten(table, "other"));
        }
    }

    void anyOperationsKeepTheConfigurationValid()
    {
        test::property("roll-outs keep the configuration valid and share all work", [] {
            constexpr std::array operations = {startRollout, stepRollout, haltRollout, backRollout, withdrawVersion};
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
                const bool open = !current.rollouts.empty() && current.rollouts[0].state != "done";
                RC_ASSERT(!open || current.versions[0].weight + current.versions[1].weight == wholePerMille);
            }
        });
    }

    void operatorsLoseNoChange()
    {
        test::property("an accepted change stays, any other is never written", [](const std::vector<unsigned> &draws) {
            FakeTable table;
            std::vector<Operator> operators;
            for (const char *id : {"e3", "e4", "e5", "e6"}) {
                operators.push_back({id});
                table.head.configuration.upstreams.push_back(
                    {UpstreamId(id), "127.0.0.1:1" + std::string(id + 1), ZoneId("a"), Engine{}});
            }
            for (const unsigned draw : draws) {
                table.script.push_back(static_cast<Fault>(draw % 7));
            }
            runOperators(table, operators);
            for (const Operator &each : operators) {
                const std::size_t times = timesWritten(table, each.id);
                const bool gone = table.head.configuration.findUpstream(UpstreamId(each.id)) == nullptr;
                RC_ASSERT(gone == (times == 1));
                RC_ASSERT(times <= 1);
                RC_ASSERT(each.outcome != SubmissionOutcome::Accepted || times == 1);
                RC_ASSERT(each.outcome != SubmissionOutcome::Lost);
                RC_ASSERT(each.outcome == SubmissionOutcome::Accepted || each.outcome == SubmissionOutcome::Unknown
                          || times == 0);
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
