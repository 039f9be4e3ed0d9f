#include "commands.h"

#include "parsleyvane/config/edits.h"
#include "platformtable.h"

#include <absl/flags/flag.h>
#include <algorithm>
#include <array>

namespace parsleyvane::ctl {

namespace {

/// An operation of the `rollout` command and the flags that it requires.
struct RolloutCommand
{
    std::string_view name;
    RolloutOperation operation;
    bool needsFrom;
    bool needsTo;
};

constexpr std::array rolloutCommands = {
    RolloutCommand{"start", startRollout, true, true},        RolloutCommand{"step", setRolloutShare, false, false},
    RolloutCommand{"halt", pauseRollout, false, false},       RolloutCommand{"back", revertRollout, false, false},
    RolloutCommand{"withdraw", withdrawVersion, false, true},
};

ExitCode submitWithNote(const Edit &edit, const std::string &defaultSummary)
{
    const auto note = makeNote(defaultSummary);
    if (!note) {
        return ExitCode::Usage;
    }
    const std::string platform = absl::GetFlag(FLAGS_platform);
    PlatformTable table(platform);
    LastReason reason;
    const SubmissionResult result = submitEdit(table, edit, *note, reason);
    return reportSubmission(platform, result, *note, reason.failure());
}

RolloutRequest readRequest()
{
    return {ModelName(absl::GetFlag(FLAGS_model)), VersionName(absl::GetFlag(FLAGS_from)),
            VersionName(absl::GetFlag(FLAGS_to)), absl::GetFlag(FLAGS_per_mille)};
}

std::string describeRequest(const std::string &name, const RolloutRequest &request)
{
    std::string text = "rollout " + name + " " + request.model.str();
    if (!request.from.empty()) {
        text += " from " + request.from.str();
    }
    if (!request.to.empty()) {
        text += " to " + request.to.str();
    }
    if (name == "start" || name == "step") {
        text += " at " + std::to_string(request.perMille) + " per mille";
    }
    return text;
}

} // namespace

ExitCode runRollout(const Arguments &arguments)
{
    const std::string name = arguments.empty() ? "" : arguments.front();
    const auto command = std::find_if(rolloutCommands.begin(), rolloutCommands.end(),
                                      [&](const RolloutCommand &candidate) { return candidate.name == name; });
    if (command == rolloutCommands.end()) {
        return usageError("rollout expects start, step, halt, back or withdraw");
    }
    const RolloutRequest request = readRequest();
    if (request.model.empty()) {
        return usageError("--model=NAME is required");
    }
    if (command->needsFrom && request.from.empty()) {
        return usageError("--from=VERSION is required");
    }
    if (command->needsTo && request.to.empty()) {
        return usageError("--to=VERSION is required");
    }
    return submitWithNote(makeRolloutEdit(command->operation, request), describeRequest(name, request));
}

ExitCode runUpstream(const Arguments &arguments)
{
    if (arguments.empty() || arguments.front() != "drain") {
        return usageError("upstream expects drain");
    }
    const UpstreamId id(absl::GetFlag(FLAGS_upstream));
    if (id.empty()) {
        return usageError("--upstream=ID is required");
    }
    return submitWithNote(makeRemoveUpstreamEdit(id), "drain " + id.str());
}

} // namespace parsleyvane::ctl
