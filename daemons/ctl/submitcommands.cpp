#include "commands.h"

#include "platformtable.h"

#include <absl/flags/flag.h>
#include <iostream>

namespace parsleyvane::ctl {

using Json = nlohmann::json;

namespace {

ExitCode toExitCode(SubmissionOutcome outcome)
{
    switch (outcome) {
    case SubmissionOutcome::Accepted:
        return ExitCode::Ok;
    case SubmissionOutcome::Conflict:
        return ExitCode::RevisionConflict;
    case SubmissionOutcome::Invalid:
        return ExitCode::InvalidConfiguration;
    case SubmissionOutcome::Unreachable:
    case SubmissionOutcome::Unknown:
        return ExitCode::OutcomeUnknown;
    }
    return ExitCode::Failure;
}

ExitCode reportAccepted(const SubmissionResult &result, const ChangeNote &note)
{
    print(Json{{"accepted", true},
               {"revision", result.revision.value()},
               {"change", note.id},
               {"changes", changesJson(result.changes)}},
          "accepted as revision " + std::to_string(result.revision.value()) + "\n" + changesText(result.changes));
    return waitForInstances(result.revision);
}

ExitCode reportConflict(const std::string &platform, const SubmissionResult &result, const Failure &failure)
{
    Json others = Json::array();
    std::string text = "parsleyvanectl: " + describe(failure) + "\nchanges by others since then:\n";
    PlatformTable table(platform);
    LastReason reason;
    for (auto number = result.basedOn.value() + 1; number <= result.revision.value(); ++number) {
        const auto entry = table.readAuditEntry(Revision(number), reason);
        if (!entry) {
            text += "revision " + std::to_string(number) + ": " + describe(reason.failure()) + "\n";
            continue;
        }
        others.push_back(auditJson(*entry));
        text += auditText(*entry);
    }
    if (absl::GetFlag(FLAGS_json)) {
        print(Json{{"accepted", false}, {"revision", result.revision.value()}, {"others", others}}, "");
        return ExitCode::RevisionConflict;
    }
    std::cerr << text;
    return ExitCode::RevisionConflict;
}

} // namespace

ExitCode reportSubmission(const std::string &platform, const SubmissionResult &result, const ChangeNote &note,
                          const Failure &failure)
{
    if (result.outcome == SubmissionOutcome::Accepted) {
        return reportAccepted(result, note);
    }
    if (result.outcome == SubmissionOutcome::Conflict) {
        return reportConflict(platform, result, failure);
    }
    Failure reported = failure;
    if (result.outcome == SubmissionOutcome::Unknown) {
        reported.runState = RunState::Unknown;
        reported.detail += "; change " + note.id + " may have been applied, see parsleyvanectl audit";
    }
    return reportFailure(toExitCode(result.outcome), reported);
}

ExitCode runSubmit(const Arguments & /*arguments*/)
{
    LastReason reason;
    const auto proposed = readConfigurationFile(absl::GetFlag(FLAGS_file), reason);
    if (!proposed) {
        return reportReadFailure(reason.failure());
    }
    const ExitCode validationCode = reportConfigurationProblems(*proposed);
    if (validationCode != ExitCode::Ok) {
        return validationCode;
    }
    const auto note = makeNote("submit");
    if (!note) {
        return ExitCode::Usage;
    }
    const std::string platform = absl::GetFlag(FLAGS_platform);
    const std::int64_t givenBasedOn = absl::GetFlag(FLAGS_based_on);
    const Revision basedOn = givenBasedOn < 0 ? proposed->revision : Revision(static_cast<std::uint64_t>(givenBasedOn));
    PlatformTable table(platform);
    const SubmissionResult result = submit(table, *proposed, basedOn, *note, reason);
    return reportSubmission(platform, result, *note, reason.failure());
}

ExitCode runAudit(const Arguments & /*arguments*/)
{
    LastReason reason;
    const auto trail = PlatformTable(absl::GetFlag(FLAGS_platform)).readAuditTrail(absl::GetFlag(FLAGS_limit), reason);
    if (!trail) {
        return reportReadFailure(reason.failure());
    }
    Json list = Json::array();
    std::string text;
    for (const AuditEntry &entry : *trail) {
        list.push_back(auditJson(entry));
        text += auditText(entry);
    }
    print(Json{{"entries", list}}, text);
    return ExitCode::Ok;
}

} // namespace parsleyvane::ctl
