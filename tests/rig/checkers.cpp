#include "rig/checkers.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <unordered_set>

namespace parsleyvane::rig {

using Json = nlohmann::json;

namespace {

constexpr std::string_view billPrefix = "bill/";

std::string text(const ModelVersion &id)
{
    return id.model.str() + "@" + id.version.str();
}

template<typename Id>
Id idOf(const Json &event, const char *member)
{
    return Id(event.value(member, ""));
}

Run readRun(const Json &event, const UpstreamId &upstream)
{
    return Run{upstream,
               idOf<AttemptId>(event, "attempt"),
               idOf<RequestId>(event, "request"),
               idOf<AccountId>(event, "account"),
               {idOf<ModelName>(event, "model"), idOf<VersionName>(event, "version")},
               event.value("at", std::int64_t{0})};
}

AppliedOperation readApplied(const Json &event, const UpstreamId &upstream)
{
    return AppliedOperation{upstream,
                            event.value("operation", ""),
                            idOf<IdempotencyKey>(event, "key"),
                            idOf<AttemptId>(event, "attempt"),
                            idOf<RequestId>(event, "request"),
                            idOf<AccountId>(event, "account"),
                            event.value("at", std::int64_t{0})};
}

/// @brief Records the write of a bill; other rows are ignored.
void readPut(const Json &event, Records &records)
{
    const std::string key = event.value("key", "");
    if (key.starts_with(billPrefix)) {
        records.bills.push_back({RequestId(key.substr(billPrefix.size()))});
    }
}

void readEvent(const Json &event, const UpstreamId &upstream, Records &records)
{
    const std::string type = event.value("type", "");
    if (event.value("account", "") == referenceAccount) {
        return;
    }
    if (type == "run") {
        records.runs.push_back(readRun(event, upstream));
    } else if (type == "ran") {
        records.ends.push_back({upstream, idOf<AttemptId>(event, "attempt"),
                                event.value("outputTokens", std::int64_t{0}), event.value("at", std::int64_t{0})});
    } else if (type == "applied") {
        records.applied.push_back(readApplied(event, upstream));
    } else if (type == "put") {
        readPut(event, records);
    }
}

/// @brief Whether a send before time `at`, other than those reported as "not run", may have caused a run.
bool isExplained(const std::vector<const ClientObservation *> &sendings, std::int64_t at)
{
    for (const ClientObservation *sending : sendings) {
        if (sending->reportedRunState != RunState::NotRun && sending->sentAt <= at) {
            return true;
        }
    }
    return false;
}

bool anyReportedNotRun(const std::vector<const ClientObservation *> &sendings)
{
    for (const ClientObservation *sending : sendings) {
        if (sending->reportedRunState == RunState::NotRun) {
            return true;
        }
    }
    return false;
}

template<typename Event>
void checkUnexplained(const Event &event, const std::vector<const ClientObservation *> &sendings,
                      Violations &violations)
{
    if (!anyReportedNotRun(sendings) || isExplained(sendings, event.at)) {
        return;
    }
    violations.push_back({6,
                          "request " + event.request.str() + " was reported as not run, but " + event.upstream.str()
                              + " ran it as attempt " + event.attempt.str()});
}

} // namespace

void readRecords(const std::filesystem::path &file, const UpstreamId &upstream, Records &records)
{
    std::ifstream lines(file);
    for (std::string line; std::getline(lines, line);) {
        const Json event = Json::parse(line, nullptr, false);
        if (!event.is_object()) {
            continue;
        }
        readEvent(event, upstream, records);
    }
}

Violations checkAllowedVersions(const Records &records, const Configuration &configuration)
{
    Violations violations;
    for (const Run &run : records.runs) {
        const Account *account = configuration.findAccount(run.account);
        if (account != nullptr && allows(*account, run.version)) {
            continue;
        }
        violations.push_back({1,
                              "account " + run.account.str() + " ran on " + text(run.version) + " at "
                                  + run.upstream.str() + ", attempt " + run.attempt.str()});
    }
    return violations;
}

Violations checkWithdrawals(const Records &records, const std::vector<Withdrawal> &withdrawals, Milliseconds bound)
{
    Violations violations;
    for (const Withdrawal &withdrawal : withdrawals) {
        for (const Run &run : records.runs) {
            const std::int64_t elapsedMs = run.at - withdrawal.at;
            if (run.version != withdrawal.version || elapsedMs <= bound.count()) {
                continue;
            }
            violations.push_back({2,
                                  text(run.version) + " ran attempt " + run.attempt.str() + " "
                                      + std::to_string(elapsedMs) + " ms after its withdrawal"});
        }
    }
    return violations;
}

Violations checkSessions(const Records &records, const std::vector<ClientObservation> &callers)
{
    Violations violations;
    std::unordered_map<std::string, ModelVersion> versionOf;
    std::unordered_map<RequestId, std::string> conversationOf;
    for (const ClientObservation &observation : callers) {
        if (observation.conversation.empty() || !observation.version) {
            continue;
        }
        conversationOf[observation.request] = observation.conversation;
        const auto &first = versionOf.try_emplace(observation.conversation, *observation.version).first->second;
        if (first != *observation.version) {
            violations.push_back({3,
                                  "session " + observation.conversation + " changed from " + text(first) + " to "
                                      + text(*observation.version)});
        }
    }
    for (const Run &run : records.runs) {
        const auto conversation = conversationOf.find(run.request);
        if (conversation == conversationOf.end() || versionOf.at(conversation->second) == run.version) {
            continue;
        }
        violations.push_back({3, "session " + conversation->second + " ran on " + text(run.version) + " too"});
    }
    return violations;
}

Violations checkBills(const Records &records, const std::vector<ClientObservation> &callers)
{
    Violations violations;
    std::unordered_map<RequestId, int> writes;
    for (const BillWrite &bill : records.bills) {
        if (++writes[bill.request] == 2) {
            violations.push_back({4, "request " + bill.request.str() + " was billed more than once"});
        }
    }
    for (const ClientObservation &observation : callers) {
        if (observation.succeeded && !writes.contains(observation.request)) {
            violations.push_back({4, "request " + observation.request.str() + " was answered but not billed"});
        }
    }
    return violations;
}

Violations checkAnswers(const std::vector<ClientObservation> &callers)
{
    Violations violations;
    for (const ClientObservation &observation : callers) {
        if (!observation.succeeded || !observation.expected || *observation.expected == observation.text) {
            continue;
        }
        violations.push_back({5,
                              "request " + observation.request.str() + " got " + std::to_string(observation.text.size())
                                  + " bytes that differ from the engine's answer of "
                                  + std::to_string(observation.expected->size())});
    }
    return violations;
}

Violations checkNotRun(const Records &records, const std::vector<ClientObservation> &callers)
{
    std::unordered_map<RequestId, std::vector<const ClientObservation *>> byRequest;
    for (const ClientObservation &observation : callers) {
        if (!observation.request.empty()) {
            byRequest[observation.request].push_back(&observation);
        }
    }
    Violations violations;
    for (const Run &run : records.runs) {
        checkUnexplained(run, byRequest[run.request], violations);
    }
    for (const AppliedOperation &applied : records.applied) {
        checkUnexplained(applied, byRequest[applied.request], violations);
    }
    return violations;
}

Violations checkRunOnce(const Records &records)
{
    Violations violations;
    std::unordered_set<std::string> seen;
    for (const Run &run : records.runs) {
        if (!seen.insert(run.request.str() + " " + text(run.version)).second) {
            violations.push_back({4, "request " + run.request.str() + " ran again on " + text(run.version)});
        }
    }
    return violations;
}

Violations checkAtMostOnce(const Records &records)
{
    Violations violations;
    std::unordered_set<std::string> seen;
    for (const AppliedOperation &applied : records.applied) {
        const std::string identity = applied.account.str() + " " + applied.operation + " " + applied.key.str();
        if (seen.insert(identity).second) {
            continue;
        }
        violations.push_back({7,
                              applied.operation + " of " + applied.account.str() + " under key " + applied.key.str()
                                  + " was applied again, attempt " + applied.attempt.str()});
    }
    return violations;
}

Violations checkDepartures(const Records &records, const std::vector<Departure> &departures, Milliseconds bound)
{
    Violations violations;
    const auto check = [&](const auto &event, const Departure &departure) {
        const std::int64_t elapsedMs = event.at - departure.at;
        if (event.upstream != departure.upstream || elapsedMs <= bound.count()) {
            return;
        }
        violations.push_back({8,
                              departure.upstream.str() + " started attempt " + event.attempt.str() + " "
                                  + std::to_string(elapsedMs) + " ms after it began to drain"});
    };
    for (const Departure &departure : departures) {
        for (const Run &run : records.runs) {
            check(run, departure);
        }
        for (const AppliedOperation &applied : records.applied) {
            check(applied, departure);
        }
    }
    return violations;
}

Violations checkPlannedStops(const std::vector<ClientObservation> &callers, const std::vector<PlannedStop> &stops,
                             Milliseconds lag)
{
    Violations violations;
    for (const PlannedStop &stop : stops) {
        for (const ClientObservation &observation : callers) {
            const bool sentWithinLag = observation.sentAt <= stop.at + lag.count();
            if (observation.instance != stop.instance || !sentWithinLag || observation.answerReceivedAt < stop.at
                || !observation.cutOff) {
                continue;
            }
            violations.push_back({9,
                                  "the stop of " + stop.instance.str() + " cut off request " + observation.request.str()
                                      + " after " + std::to_string(observation.text.size()) + " bytes"});
        }
    }
    return violations;
}

Violations checkRevisions(const std::vector<RevisionSeen> &seen, const std::vector<Acceptance> &acceptances,
                          Milliseconds bound)
{
    Violations violations;
    std::unordered_map<InstanceId, Revision> highest;
    for (const RevisionSeen &view : seen) {
        Revision &known = highest[view.instance];
        if (view.revision.value() < known.value()) {
            violations.push_back({10,
                                  view.instance.str() + " went back from revision " + std::to_string(known.value())
                                      + " to " + std::to_string(view.revision.value())});
        }
        known = Revision(std::max(known.value(), view.revision.value()));
        for (const Acceptance &acceptance : acceptances) {
            if (view.at <= acceptance.at + bound.count() || view.revision.value() >= acceptance.revision.value()) {
                continue;
            }
            violations.push_back({10,
                                  view.instance.str() + " shows revision " + std::to_string(view.revision.value())
                                      + " past the bound after " + std::to_string(acceptance.revision.value())
                                      + " was accepted"});
        }
    }
    return violations;
}

} // namespace parsleyvane::rig
