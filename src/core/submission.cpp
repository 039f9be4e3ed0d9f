#include "parsleyvane/config/submission.h"

#include "parsleyvane/config/validate.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

constexpr int maxAttempts = 8;
constexpr int maxEditSubmissions = 8;

Failure configureFailure(ErrorId id, const std::string &detail)
{
    return {.id = id, .step = Step::Configure, .detail = detail};
}

AuditEntry makeAuditEntry(const Configuration &before, const Configuration &after)
{
    return AuditEntry{after.revision, before.revision, after.change, diff(before, after)};
}

/// State of one submission over all its attempts.
class Submission
{
public:
    Submission(ConfigurationTable &table, Configuration proposed, Revision basedOn, LastReason &reason)
        : table(table)
        , proposed(std::move(proposed))
        , basedOn(basedOn)
        , reason(reason)
    {
        this->result.basedOn = basedOn;
    }

    SubmissionResult run()
    {
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            const auto finalOutcome = this->attemptOnce();
            if (finalOutcome) {
                this->result.outcome = *finalOutcome;
                return this->result;
            }
        }
        this->result.outcome = this->maybeApplied ? SubmissionOutcome::Unknown : SubmissionOutcome::Unreachable;
        return this->result;
    }

private:
    std::optional<SubmissionOutcome> attemptOnce()
    {
        const auto head = this->table.readHead(this->reason);
        if (!head) {
            this->table.waitBeforeRetry();
            return std::nullopt;
        }
        this->result.revision = head->configuration.revision;
        if (head->configuration.revision != this->basedOn) {
            return this->resolveRevisionMismatch();
        }
        return this->commitOn(*head);
    }

    /// Handles an active revision that differs from the base revision. If a reply was lost, the audit entry shows
    /// whether this change was applied; otherwise it is a conflict with another change.
    std::optional<SubmissionOutcome> resolveRevisionMismatch()
    {
        if (this->maybeApplied) {
            const auto entry = this->table.readAuditEntry(this->proposed.revision, this->reason);
            if (!entry) {
                this->table.waitBeforeRetry();
                return std::nullopt;
            }
            if (entry->change.id == this->proposed.change.id) {
                this->result.revision = this->proposed.revision;
                return SubmissionOutcome::Accepted;
            }
        }
        this->reason.fail(configureFailure(ErrorId::RevisionConflict,
                                           "based on revision " + std::to_string(this->basedOn.value())
                                               + ", but the active revision is "
                                               + std::to_string(this->result.revision.value())));
        return SubmissionOutcome::Conflict;
    }

    std::optional<SubmissionOutcome> commitOn(const HeadRow &head)
    {
        const AuditEntry entry = makeAuditEntry(head.configuration, this->proposed);
        this->result.changes = entry.changes;
        const CommitOutcome outcome = this->table.commit(head.rowVersion, this->proposed, entry, this->reason);
        if (outcome == CommitOutcome::Committed) {
            this->result.revision = this->proposed.revision;
            return SubmissionOutcome::Accepted;
        }
        this->maybeApplied = this->maybeApplied || outcome == CommitOutcome::Unknown;
        if (outcome != CommitOutcome::CheckFailed) {
            this->table.waitBeforeRetry();
        }
        return std::nullopt;
    }

    ConfigurationTable &table;
    Configuration proposed;
    Revision basedOn;
    LastReason &reason;
    SubmissionResult result;
    bool maybeApplied = false;
};

bool overlaps(const std::vector<ConfigurationChange> &changes, const std::vector<std::string> &conflictPrefixes)
{
    return std::any_of(changes.begin(), changes.end(), [&](const ConfigurationChange &change) {
        return std::any_of(conflictPrefixes.begin(), conflictPrefixes.end(),
                           [&](const std::string &subject) { return change.place.starts_with(subject); });
    });
}

std::optional<HeadRow> readHeadWithRetries(ConfigurationTable &table, LastReason &reason)
{
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        auto head = table.readHead(reason);
        if (head) {
            return head;
        }
        table.waitBeforeRetry();
    }
    return std::nullopt;
}

std::optional<Configuration> applyAndValidate(const Edit &edit, const Configuration &current, LastReason &reason)
{
    auto edited = edit.apply(current, reason);
    if (!edited) {
        return std::nullopt;
    }
    const auto problems = validate(*edited);
    if (problems.empty()) {
        return edited;
    }
    std::string detail;
    for (const ConfigurationProblem &problem : problems) {
        detail += (detail.empty() ? "" : "; ") + describe(problem);
    }
    return reason.fail(configureFailure(ErrorId::InvalidConfiguration, detail));
}

} // namespace

std::string serialise(const AuditEntry &entry)
{
    Json changes = Json::array();
    for (const ConfigurationChange &change : entry.changes) {
        changes.push_back(Json{{"place", change.place}, {"before", change.before}, {"after", change.after}});
    }
    return Json{{"revision", entry.revision.value()},
                {"basedOn", entry.basedOn.value()},
                {"change", entry.change.id},
                {"operator", entry.change.operatorName},
                {"at", entry.change.at},
                {"summary", entry.change.summary},
                {"changes", std::move(changes)}}
        .dump();
}

std::optional<AuditEntry> parseAuditEntry(const std::string &text, LastReason &reason)
{
    try {
        const Json json = Json::parse(text);
        AuditEntry entry;
        entry.revision = Revision(json.at("revision").get<std::uint64_t>());
        entry.basedOn = Revision(json.at("basedOn").get<std::uint64_t>());
        entry.change = {json.at("change"), json.at("operator"), json.at("at"), json.at("summary")};
        for (const Json &change : json.at("changes")) {
            entry.changes.push_back({change.at("place"), change.at("before"), change.at("after")});
        }
        return entry;
    } catch (const std::exception &error) {
        return reason.fail({.id = ErrorId::BadUpstreamData, .step = Step::Configure, .detail = error.what()});
    }
}

SubmissionResult submit(ConfigurationTable &table, Configuration proposed, Revision basedOn, const ChangeNote &note,
                        LastReason &reason)
{
    proposed.revision = basedOn + Revision(1);
    proposed.change = note;
    return Submission(table, std::move(proposed), basedOn, reason).run();
}

SubmissionResult submitEdit(ConfigurationTable &table, const Edit &edit, const ChangeNote &note, LastReason &reason)
{
    std::optional<Configuration> firstRead;
    SubmissionResult result;
    for (int submission = 0; submission < maxEditSubmissions; ++submission) {
        const auto head = readHeadWithRetries(table, reason);
        if (!head) {
            return result;
        }
        result.revision = head->configuration.revision;
        firstRead = firstRead ? firstRead : head->configuration;
        result.basedOn = firstRead->revision;
        if (overlaps(diff(*firstRead, head->configuration), edit.conflictPrefixes)) {
            result.outcome = SubmissionOutcome::Conflict;
            reason.fail(configureFailure(ErrorId::RevisionConflict, "another operator changed the same entries"));
            return result;
        }
        const auto edited = applyAndValidate(edit, head->configuration, reason);
        if (!edited) {
            result.outcome = SubmissionOutcome::Invalid;
            return result;
        }
        result = submit(table, *edited, head->configuration.revision, note, reason);
        result.basedOn = firstRead->revision;
        if (result.outcome != SubmissionOutcome::Conflict) {
            return result;
        }
    }
    return result;
}

} // namespace parsleyvane
