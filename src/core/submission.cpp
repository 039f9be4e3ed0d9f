#include "parsleyvane/config/submission.h"

#include "parsleyvane/config/validate.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

constexpr int maxTries = 8;
constexpr int maxRaces = 8;

Failure configureFailure(ErrorId id, const std::string &detail)
{
    return {.id = id, .step = Step::Configure, .detail = detail};
}

AuditEntry auditOf(const Configuration &before, const Configuration &after)
{
    return AuditEntry{after.revision, before.revision, after.change, diff(before, after)};
}

/// One submission from its first read to its end.
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
        for (int tries = 0; tries < maxTries; ++tries) {
            const auto ended = this->tryOnce();
            if (ended) {
                this->result.outcome = *ended;
                return this->result;
            }
        }
        this->result.outcome = this->maybeApplied ? SubmissionOutcome::Unknown : SubmissionOutcome::Unreachable;
        return this->result;
    }

private:
    std::optional<SubmissionOutcome> tryOnce()
    {
        const auto head = this->table.readHead(this->reason);
        if (!head) {
            this->table.pause();
            return std::nullopt;
        }
        this->result.revision = head->configuration.revision;
        if (head->configuration.revision != this->basedOn) {
            return this->judgeOtherRevision();
        }
        return this->commitOn(*head);
    }

    /// The head has moved on: by the own change, whose reply was lost and which others may have followed, or by theirs.
    std::optional<SubmissionOutcome> judgeOtherRevision()
    {
        if (this->maybeApplied) {
            const auto entry = this->table.readAudit(this->proposed.revision, this->reason);
            if (!entry) {
                this->table.pause();
                return std::nullopt;
            }
            if (entry->change.id == this->proposed.change.id) {
                this->result.revision = this->proposed.revision;
                return SubmissionOutcome::Accepted;
            }
        }
        this->reason.fail(configureFailure(ErrorId::RevisionConflict,
                                           "based on revision " + std::to_string(this->basedOn.value())
                                               + ", but in force is " + std::to_string(this->result.revision.value())));
        return SubmissionOutcome::Lost;
    }

    std::optional<SubmissionOutcome> commitOn(const HeadRow &head)
    {
        const AuditEntry entry = auditOf(head.configuration, this->proposed);
        this->result.changes = entry.changes;
        const CommitOutcome outcome = this->table.commit(head.rowVersion, this->proposed, entry, this->reason);
        if (outcome == CommitOutcome::Committed) {
            this->result.revision = this->proposed.revision;
            return SubmissionOutcome::Accepted;
        }
        this->maybeApplied = this->maybeApplied || outcome == CommitOutcome::Unknown;
        if (outcome != CommitOutcome::Refused) {
            this->table.pause();
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

bool touches(const std::vector<ConfigurationChange> &changes, const std::vector<std::string> &subjects)
{
    return std::any_of(changes.begin(), changes.end(), [&](const ConfigurationChange &change) {
        return std::any_of(subjects.begin(), subjects.end(),
                           [&](const std::string &subject) { return change.place.starts_with(subject); });
    });
}

std::optional<HeadRow> readHeadPatiently(ConfigurationTable &table, LastReason &reason)
{
    for (int tries = 0; tries < maxTries; ++tries) {
        auto head = table.readHead(reason);
        if (head) {
            return head;
        }
        table.pause();
    }
    return std::nullopt;
}

std::optional<Configuration> editChecked(const Edit &edit, const Configuration &current, LastReason &reason)
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
    std::optional<Configuration> first;
    SubmissionResult result;
    for (int races = 0; races < maxRaces; ++races) {
        const auto head = readHeadPatiently(table, reason);
        if (!head) {
            return result;
        }
        result.revision = head->configuration.revision;
        first = first ? first : head->configuration;
        result.basedOn = first->revision;
        if (touches(diff(*first, head->configuration), edit.subjects)) {
            result.outcome = SubmissionOutcome::Lost;
            reason.fail(configureFailure(ErrorId::RevisionConflict, "another operator changed the same thing"));
            return result;
        }
        const auto edited = editChecked(edit, head->configuration, reason);
        if (!edited) {
            result.outcome = SubmissionOutcome::Invalid;
            return result;
        }
        result = submit(table, *edited, head->configuration.revision, note, reason);
        result.basedOn = first->revision;
        if (result.outcome != SubmissionOutcome::Lost) {
            return result;
        }
    }
    return result;
}

} // namespace parsleyvane
