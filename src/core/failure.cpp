#include "parsleyvane/core/failure.h"

#include <array>

namespace parsleyvane {

namespace {

struct ErrorRow
{
    ErrorId id;
    std::string_view name;
    int status;
};

constexpr std::array errorRows = {
    ErrorRow{ErrorId::MalformedRequest, "malformed-request", 400},
    ErrorRow{ErrorId::TooLarge, "too-large", 413},
    ErrorRow{ErrorId::TooSlow, "too-slow", 408},
    ErrorRow{ErrorId::UnknownPath, "unknown-path", 404},
    ErrorRow{ErrorId::BadCredentials, "bad-credentials", 401},
    ErrorRow{ErrorId::UnknownTask, "unknown-task", 404},
    ErrorRow{ErrorId::ModelNotAllowed, "model-not-allowed", 403},
    ErrorRow{ErrorId::SessionInvalid, "session-invalid", 403},
    ErrorRow{ErrorId::SessionVersionWithdrawn, "session-version-withdrawn", 410},
    ErrorRow{ErrorId::PriorityNotBought, "priority-not-bought", 403},
    ErrorRow{ErrorId::KeyRequired, "key-required", 400},
    ErrorRow{ErrorId::KeyBodyMismatch, "key-body-mismatch", 422},
    ErrorRow{ErrorId::NotReady, "not-ready", 503},
    ErrorRow{ErrorId::ConfigurationStale, "configuration-stale", 503},
    ErrorRow{ErrorId::RateLimited, "rate-limited", 429},
    ErrorRow{ErrorId::NoCapacity, "no-capacity", 503},
    ErrorRow{ErrorId::Draining, "draining", 503},
    ErrorRow{ErrorId::RetryBudgetSpent, "retry-budget-spent", 503},
    ErrorRow{ErrorId::Quarantined, "quarantined", 422},
    ErrorRow{ErrorId::ClaimHeld, "claim-held", 409},
    ErrorRow{ErrorId::StoreUnavailable, "store-unavailable", 503},
    ErrorRow{ErrorId::StoreConflict, "store-conflict", 409},
    ErrorRow{ErrorId::ConnectFailed, "connect-failed", 502},
    ErrorRow{ErrorId::UpstreamRefused, "upstream-refused", 503},
    ErrorRow{ErrorId::UpstreamLost, "upstream-lost", 502},
    ErrorRow{ErrorId::UpstreamSilent, "upstream-silent", 504},
    ErrorRow{ErrorId::UpstreamError, "upstream-error", 502},
    ErrorRow{ErrorId::AnswerIncomplete, "answer-incomplete", 502},
    ErrorRow{ErrorId::DeadlineExceeded, "deadline-exceeded", 504},
    ErrorRow{ErrorId::BadUpstreamData, "bad-upstream-data", 502},
    ErrorRow{ErrorId::InvalidSetting, "invalid-setting", 500},
    ErrorRow{ErrorId::InvalidConfiguration, "invalid-configuration", 422},
    ErrorRow{ErrorId::RevisionConflict, "revision-conflict", 409},
    ErrorRow{ErrorId::PeerUnavailable, "peer-unavailable", 503},
    ErrorRow{ErrorId::BadPeerData, "bad-peer-data", 502},
};

const ErrorRow *findRow(ErrorId id) noexcept
{
    for (const ErrorRow &row : errorRows) {
        if (row.id == id) {
            return &row;
        }
    }
    return nullptr;
}

} // namespace

std::string_view errorName(ErrorId id) noexcept
{
    const ErrorRow *row = findRow(id);
    return row != nullptr ? row->name : "unknown-error";
}

int httpStatus(ErrorId id) noexcept
{
    constexpr int internalError = 500;
    const ErrorRow *row = findRow(id);
    return row != nullptr ? row->status : internalError;
}

std::string_view stepName(Step step) noexcept
{
    constexpr std::array<std::string_view, 13> names
        = {"receive", "authenticate", "admit", "queue", "claim",     "route",   "connect",
           "send",    "answer",       "bill",  "reply", "configure", "exchange"};
    const auto index = static_cast<std::size_t>(step);
    return index < names.size() ? names.at(index) : "unknown";
}

std::string_view runStateName(RunState state) noexcept
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

std::string describe(const Failure &failure)
{
    std::string line = std::to_string(static_cast<int>(failure.id));
    line.append(" ").append(errorName(failure.id));
    line.append(" at ").append(stepName(failure.step));
    if (!failure.peer.empty()) {
        line.append(" with ").append(failure.peer);
    }
    line.append(" (").append(runStateName(failure.runState)).append(")");
    if (!failure.detail.empty()) {
        line.append(": ").append(failure.detail);
    }
    return line;
}

} // namespace parsleyvane
