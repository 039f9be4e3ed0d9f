#include "parsleyvane/ledger/runonce.h"

#include "parsleyvane/core/overloaded.h"

#include <utility>

namespace parsleyvane {

namespace {

// Maximum claim writes per attempt: a claim is written again after a lost reply or over a released row.
constexpr unsigned maxClaimWrites = 4;

} // namespace

RunOnce::RunOnce(AttemptId attempt, RequestId request, std::string bodyHash)
    : own{.attempt = std::move(attempt), .request = std::move(request), .bodyHash = std::move(bodyHash)}
{
}

LedgerAction RunOnce::start()
{
    return this->writeClaimOver(0);
}

LedgerAction RunOnce::onWrite(const WriteReply &reply)
{
    if (this->phase == Phase::Recording || this->phase == Phase::Releasing) {
        return this->onFinalStateReply(reply);
    }
    if (this->phase != Phase::Inserting) {
        return this->answer(this->refuse(ErrorId::StoreConflict, RunState::Unknown, "unexpected reply to a write"));
    }
    return std::visit(Overloaded{
                          [this](const WriteCommitted &committed) { return this->permit(committed.version); },
                          [this](const WriteConflict &conflict) { return this->onClaimConflict(conflict.current); },
                          [this](const WriteIndeterminate &) -> LedgerAction {
                              this->mayLostClaimCommit = true;
                              this->phase = Phase::ReadingBack;
                              return ReadClaim{};
                          },
                          [this](const WriteNotSent &) { return this->storeUnavailable(); },
                      },
                      reply);
}

LedgerAction RunOnce::onRead(const ReadReply &reply)
{
    if (this->phase != Phase::ReadingBack) {
        return this->answer(this->refuse(ErrorId::StoreConflict, RunState::Unknown, "unexpected reply to a read"));
    }
    const auto *read = std::get_if<ReadRow>(&reply);
    if (read == nullptr) {
        return this->storeUnavailable();
    }
    const ClaimRow &current = read->row;
    if (current.attempt == this->own.attempt && current.state == ClaimState::Held) {
        return this->permit(current.version);
    }
    if (current.version > this->own.version) {
        // The row has a newer version, so the lost write can no longer commit.
        this->mayLostClaimCommit = false;
        return this->decideFromRow(current);
    }
    // The row is unchanged or the read is stale: the lost write may still commit.
    return this->writeClaimOver(this->own.version);
}

LedgerAction RunOnce::onService(const ServiceReply &reply)
{
    if (this->phase != Phase::Permitted) {
        return this->answer(
            this->refuse(ErrorId::StoreConflict, RunState::Unknown, "unexpected reply from the service"));
    }
    return std::visit(Overloaded{
                          [this](const ServiceAnswered &answered) {
                              this->own.status = answered.status;
                              this->own.result = answered.result;
                              return this->writeFinalState(ClaimState::Done, Phase::Recording,
                                                           DeliverResult{answered.status, answered.result});
                          },
                          [this](const ServiceNotRun &notRun) { return this->abandon(notRun.failure); },
                          [this](const ServiceOutcomeUnknown &unknown) {
                              Failure failure = unknown.failure;
                              failure.runState = RunState::Unknown;
                              return this->answer(RefuseRequest{std::move(failure)});
                          },
                      },
                      reply);
}

LedgerAction RunOnce::abandon(const Failure &failure)
{
    if (this->phase != Phase::Permitted) {
        return this->answer(
            this->refuse(ErrorId::StoreConflict, RunState::Unknown, "abandoned in an unexpected state"));
    }
    Failure unrun = failure;
    unrun.runState = RunState::NotRun;
    return this->writeFinalState(ClaimState::Released, Phase::Releasing, RefuseRequest{std::move(unrun)});
}

std::optional<ClaimRow> RunOnce::pendingCleanUp() const
{
    return this->phase == Phase::Answered ? this->cleanUp : std::nullopt;
}

void RunOnce::onCleanUpReply(const WriteReply &reply)
{
    if (!this->pendingCleanUp()) {
        return;
    }
    if (std::holds_alternative<WriteCommitted>(reply)) {
        this->cleanUp.reset();
        return;
    }
    const auto *conflict = std::get_if<WriteConflict>(&reply);
    if (conflict == nullptr) {
        return;
    }
    const ClaimRow &current = conflict->current;
    if (current.attempt == this->own.attempt && current.state == ClaimState::Held) {
        this->cleanUp->version = current.version;
        return;
    }
    this->cleanUp.reset();
}

LedgerAction RunOnce::writeClaimOver(std::uint64_t version)
{
    if (this->claimWrites == maxClaimWrites) {
        return this->storeUnavailable();
    }
    ++this->claimWrites;
    this->own.version = version;
    this->phase = Phase::Inserting;
    return WriteClaim{this->own};
}

LedgerAction RunOnce::onClaimConflict(const ClaimRow &current)
{
    if (current.attempt == this->own.attempt && current.state == ClaimState::Held) {
        return this->permit(current.version);
    }
    if (current.version <= this->own.version) {
        return this->answer(this->refuse(ErrorId::StoreConflict, RunState::NotRun,
                                         "the claim row's version is older than the one already read"));
    }
    this->mayLostClaimCommit = false;
    return this->decideFromRow(current);
}

LedgerAction RunOnce::decideFromRow(const ClaimRow &current)
{
    if (current.bodyHash != this->own.bodyHash) {
        return this->answer(this->refuse(ErrorId::KeyBodyMismatch, RunState::NotRun,
                                         "the idempotency key was used with a different body"));
    }
    switch (current.state) {
    case ClaimState::Released:
        return this->writeClaimOver(current.version);
    case ClaimState::Done:
        return this->answer(ReplayResult{current.status, current.result});
    case ClaimState::Held:
        break;
    }
    return this->answer(this->refuse(ErrorId::ClaimHeld, RunState::Unknown,
                                     "attempt " + current.attempt.str() + " holds the idempotency key"));
}

LedgerAction RunOnce::permit(std::uint64_t version)
{
    this->own.version = version;
    this->mayLostClaimCommit = false;
    this->phase = Phase::Permitted;
    return SendOnce{};
}

LedgerAction RunOnce::writeFinalState(ClaimState state, Phase next, LedgerAction after)
{
    this->own.state = state;
    this->phase = next;
    this->pendingAnswer = std::move(after);
    return WriteClaim{this->own};
}

LedgerAction RunOnce::onFinalStateReply(const WriteReply &reply)
{
    this->cleanUp = this->own;
    this->phase = Phase::Answered;
    this->onCleanUpReply(reply);
    return *this->pendingAnswer;
}

LedgerAction RunOnce::storeUnavailable()
{
    return this->answer(
        this->refuse(ErrorId::StoreUnavailable, RunState::NotRun, "the claim could not be written to the store"));
}

LedgerAction RunOnce::refuse(ErrorId id, RunState runState, std::string detail)
{
    return RefuseRequest{{.id = id, .step = Step::Claim, .runState = runState, .detail = std::move(detail)}};
}

LedgerAction RunOnce::answer(LedgerAction action)
{
    if (this->phase == Phase::Answered) {
        return *this->pendingAnswer;
    }
    if (this->mayLostClaimCommit) {
        this->cleanUp = this->own;
        this->cleanUp->state = ClaimState::Released;
    }
    this->phase = Phase::Answered;
    this->pendingAnswer = action;
    return action;
}

} // namespace parsleyvane
