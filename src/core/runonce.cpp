#include "parsleyvane/ledger/runonce.h"

#include "parsleyvane/core/overloaded.h"

#include <utility>

namespace parsleyvane {

namespace {

// Writes of a claim in one attempt, over losses and races, before it gives up.
constexpr unsigned maxClaimWrites = 4;

} // namespace

RunOnce::RunOnce(AttemptId attempt, RequestId request, std::string bodyHash)
    : own{.attempt = std::move(attempt), .request = std::move(request), .bodyHash = std::move(bodyHash)}
{
}

LedgerAction RunOnce::start()
{
    return this->claimOver(0);
}

LedgerAction RunOnce::onWrite(const WriteReply &reply)
{
    if (this->phase == Phase::Recording || this->phase == Phase::Releasing) {
        return this->onSettleReply(reply);
    }
    if (this->phase != Phase::Inserting) {
        return this->answer(this->refuse(ErrorId::StoreConflict, RunState::Unknown, "a write's reply out of turn"));
    }
    return std::visit(Overloaded{
                          [this](const WriteCommitted &committed) { return this->permit(committed.version); },
                          [this](const WriteConflict &conflict) { return this->onClaimConflict(conflict.current); },
                          [this](const WriteIndeterminate &) -> LedgerAction {
                              this->insertMayLand = true;
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
        return this->answer(this->refuse(ErrorId::StoreConflict, RunState::Unknown, "a read's reply out of turn"));
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
        // The row moved on, so the lost write cannot take effect any more.
        this->insertMayLand = false;
        return this->judge(current);
    }
    // Unchanged, or a read from before what is already known: the lost write may still take effect.
    return this->claimOver(this->own.version);
}

LedgerAction RunOnce::onService(const ServiceReply &reply)
{
    if (this->phase != Phase::Permitted) {
        return this->answer(this->refuse(ErrorId::StoreConflict, RunState::Unknown, "a service's reply out of turn"));
    }
    return std::visit(Overloaded{
                          [this](const ServiceAnswered &answered) {
                              this->own.status = answered.status;
                              this->own.result = answered.result;
                              return this->settle(ClaimState::Done, Phase::Recording,
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
        return this->answer(this->refuse(ErrorId::StoreConflict, RunState::Unknown, "abandoned out of turn"));
    }
    Failure unrun = failure;
    unrun.runState = RunState::NotRun;
    return this->settle(ClaimState::Released, Phase::Releasing, RefuseRequest{std::move(unrun)});
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

LedgerAction RunOnce::claimOver(std::uint64_t version)
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
        return this->answer(this->refuse(ErrorId::StoreConflict, RunState::NotRun, "the claim's row went backwards"));
    }
    this->insertMayLand = false;
    return this->judge(current);
}

LedgerAction RunOnce::judge(const ClaimRow &current)
{
    if (current.bodyHash != this->own.bodyHash) {
        return this->answer(
            this->refuse(ErrorId::KeyBodyMismatch, RunState::NotRun, "the key was used with another body"));
    }
    switch (current.state) {
    case ClaimState::Released:
        return this->claimOver(current.version);
    case ClaimState::Done:
        return this->answer(ReplayResult{current.status, current.result});
    case ClaimState::Held:
        break;
    }
    return this->answer(
        this->refuse(ErrorId::ClaimHeld, RunState::Unknown, "attempt " + current.attempt.str() + " holds the key"));
}

LedgerAction RunOnce::permit(std::uint64_t version)
{
    this->own.version = version;
    this->insertMayLand = false;
    this->phase = Phase::Permitted;
    return SendOnce{};
}

LedgerAction RunOnce::settle(ClaimState state, Phase next, LedgerAction after)
{
    this->own.state = state;
    this->phase = next;
    this->pendingAnswer = std::move(after);
    return WriteClaim{this->own};
}

LedgerAction RunOnce::onSettleReply(const WriteReply &reply)
{
    this->cleanUp = this->own;
    this->phase = Phase::Answered;
    this->onCleanUpReply(reply);
    return *this->pendingAnswer;
}

LedgerAction RunOnce::storeUnavailable()
{
    return this->answer(this->refuse(ErrorId::StoreUnavailable, RunState::NotRun, "the claim could not be written"));
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
    if (this->insertMayLand) {
        this->cleanUp = this->own;
        this->cleanUp->state = ClaimState::Released;
    }
    this->phase = Phase::Answered;
    this->pendingAnswer = action;
    return action;
}

} // namespace parsleyvane
