/**
 * @file
 * @brief Simulates attempts at several keys against a faulty table and service, in an order chosen by a random seed.
 */
#pragma once

#include "parsleyvane/core/overloaded.h"
#include "parsleyvane/ledger/runonce.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace parsleyvane::test {

/// @brief The faults that a LedgerWorld can inject.
enum class Fault {
    ReplyLost, ///< the write commits, its reply is lost
    WriteDelayed, ///< the write commits later, if its version check still holds; its reply is lost
    WriteDropped, ///< the write never commits, and no reply arrives
    WriteNotSent,
    ReadLost,
    ReadStale, ///< the read returns the row before its last write
    Frozen, ///< the attempt is paused for many steps
    Killed,
    ServiceOutcomeUnknown, ///< the service's reply is lost; the request ran, runs later, or never runs
    Abandoned, ///< the attempt is abandoned after it got the permit
    Count
};

/// @brief A table with compare-and-swap writes, which also holds each row's previous value and the delayed writes.
struct FakeTable
{
    struct DelayedWrite
    {
        std::string key;
        ClaimRow row;
    };

    std::map<std::string, ClaimRow> rows;
    std::map<std::string, ClaimRow> previousRows;
    std::vector<DelayedWrite> delayed;
    unsigned forbiddenWrites = 0; ///< writes that replaced a Done row, or a Held row of another attempt

    WriteReply transact(const std::string &key, const ClaimRow &row)
    {
        ClaimRow &current = this->rows[key];
        if (current.version != row.version) {
            return WriteConflict{current};
        }
        const bool replaceable = current.version == 0 || current.state == ClaimState::Released;
        if (!replaceable && (current.attempt != row.attempt || current.state == ClaimState::Done)) {
            ++this->forbiddenWrites;
        }
        this->previousRows[key] = current;
        current = row;
        ++current.version;
        return WriteCommitted{current.version};
    }

    void commitDelayed(std::size_t index)
    {
        const DelayedWrite write = this->delayed[index];
        this->delayed.erase(this->delayed.begin() + static_cast<std::ptrdiff_t>(index));
        this->transact(write.key, write.row);
    }
};

/// @brief One attempt with its state machine and what the simulation recorded of it.
struct SimulatedAttempt
{
    SimulatedAttempt(const std::string &id, std::string key, const std::string &body)
        : id(id)
        , key(std::move(key))
        , body(body)
        , machine(AttemptId(id), RequestId(this->key), body)
        , next(machine.start())
    {
    }

    bool answered() const
    {
        return !std::holds_alternative<WriteClaim>(this->next) && !std::holds_alternative<ReadClaim>(this->next)
            && !std::holds_alternative<SendOnce>(this->next);
    }

    bool finished() const
    {
        return this->answered() && !this->pendingReply && !this->machine.pendingCleanUp();
    }

    bool reportedNotRun() const
    {
        const auto *refusal = std::get_if<RefuseRequest>(&this->next);
        return refusal != nullptr && refusal->failure.runState == RunState::NotRun;
    }

    std::string id;
    std::string key;
    std::string body;
    RunOnce machine;
    LedgerAction next;
    std::optional<std::variant<WriteReply, ReadReply, ServiceReply>> pendingReply;
    unsigned frozenSteps = 0;
    unsigned sends = 0;
    unsigned executions = 0;
    bool killed = false;
    bool outcomeLost = false;
};

/// @brief The simulated table, service and attempts.
class LedgerWorld
{
public:
    LedgerWorld(std::uint64_t seed, std::set<Fault> faults)
        : random(seed)
        , faults(std::move(faults))
    {
    }

    /// @brief Starts an attempt.
    SimulatedAttempt &start(const std::string &key, const std::string &body)
    {
        return this->attempts.emplace_back("a" + std::to_string(this->attempts.size() + 1), key, body);
    }

    /// @brief Advances a random attempt, and sometimes delivers a delayed write or run.
    void step()
    {
        if (this->randomBelow(4) == 0) {
            this->deliverOneDelayed();
        }
        SimulatedAttempt &attempt = this->attempts[this->randomBelow(this->attempts.size())];
        if (attempt.killed) {
            return;
        }
        if (attempt.frozenSteps > 0) {
            --attempt.frozenSteps;
            return;
        }
        if (this->injects(Fault::Killed, 12)) {
            attempt.killed = true;
            return;
        }
        if (this->injects(Fault::Frozen, 4)) {
            attempt.frozenSteps = 20;
            return;
        }
        this->advance(attempt);
    }

    /// @brief Stops injecting faults and runs all live attempts to completion; some delayed writes and runs are
    /// delivered meanwhile.
    void finishWithoutFaults()
    {
        this->faults.clear();
        for (SimulatedAttempt &attempt : this->attempts) {
            while (!attempt.killed && !attempt.finished()) {
                this->advance(attempt);
                if (this->randomBelow(8) == 0) {
                    this->deliverOneDelayed();
                }
            }
        }
    }

    /// @brief Delivers all delayed writes and runs.
    void deliverAllDelayed()
    {
        while (!this->table.delayed.empty() || !this->delayedRuns.empty()) {
            this->deliverOneDelayed();
        }
    }

    /// @brief How often the service ran the key's request.
    unsigned executions(const std::string &key) const
    {
        unsigned sum = 0;
        for (const SimulatedAttempt &attempt : this->attempts) {
            sum += attempt.key == key ? attempt.executions : 0;
        }
        return sum;
    }

    std::uint64_t randomBelow(std::uint64_t bound)
    {
        return this->random() % bound;
    }

    FakeTable table;
    std::deque<SimulatedAttempt> attempts;

private:
    bool injects(Fault fault, std::uint64_t oneIn)
    {
        return this->faults.contains(fault) && this->randomBelow(oneIn) == 0;
    }

    void deliverOneDelayed()
    {
        if (!this->table.delayed.empty()) {
            this->table.commitDelayed(this->randomBelow(this->table.delayed.size()));
        }
        if (!this->delayedRuns.empty()) {
            ++this->delayedRuns.back()->executions;
            this->delayedRuns.pop_back();
        }
    }

    /// Handles the pending reply, or carries out the next action and stores its reply.
    void advance(SimulatedAttempt &attempt)
    {
        if (attempt.pendingReply) {
            this->handleReply(attempt);
            return;
        }
        if (attempt.answered()) {
            if (const auto wanted = attempt.machine.pendingCleanUp()) {
                attempt.pendingReply = this->write(attempt.key, *wanted);
            }
            return;
        }
        if (const auto *claim = std::get_if<WriteClaim>(&attempt.next)) {
            attempt.pendingReply = this->write(attempt.key, claim->row);
            return;
        }
        if (std::holds_alternative<ReadClaim>(attempt.next)) {
            attempt.pendingReply = this->read(attempt.key);
            return;
        }
        if (this->injects(Fault::Abandoned, 2)) {
            attempt.next = attempt.machine.abandon({.id = ErrorId::DeadlineExceeded});
            return;
        }
        ++attempt.sends;
        attempt.pendingReply = this->callService(attempt);
    }

    void handleReply(SimulatedAttempt &attempt)
    {
        const auto reply = *attempt.pendingReply;
        attempt.pendingReply.reset();
        std::visit(Overloaded{
                       [&](const WriteReply &write) {
                           if (attempt.answered()) {
                               attempt.machine.onCleanUpReply(write);
                               return;
                           }
                           attempt.next = attempt.machine.onWrite(write);
                       },
                       [&](const ReadReply &read) { attempt.next = attempt.machine.onRead(read); },
                       [&](const ServiceReply &service) { attempt.next = attempt.machine.onService(service); },
                   },
                   reply);
    }

    WriteReply write(const std::string &key, const ClaimRow &row)
    {
        constexpr std::uint64_t oneIn = 2;
        if (this->injects(Fault::WriteNotSent, oneIn)) {
            return WriteNotSent{};
        }
        if (this->injects(Fault::WriteDropped, oneIn)) {
            return WriteIndeterminate{};
        }
        if (this->injects(Fault::WriteDelayed, oneIn)) {
            this->table.delayed.push_back({key, row});
            return WriteIndeterminate{};
        }
        const WriteReply reply = this->table.transact(key, row);
        return this->injects(Fault::ReplyLost, oneIn) ? WriteReply(WriteIndeterminate{}) : reply;
    }

    ReadReply read(const std::string &key)
    {
        if (this->injects(Fault::ReadLost, 2)) {
            return ReadLost{};
        }
        return ReadRow{this->injects(Fault::ReadStale, 2) ? this->table.previousRows[key] : this->table.rows[key]};
    }

    ServiceReply callService(SimulatedAttempt &attempt)
    {
        if (this->injects(Fault::ServiceOutcomeUnknown, 2)) {
            return this->loseOutcome(attempt);
        }
        if (this->randomBelow(3) == 0) {
            return ServiceNotRun{{.id = ErrorId::UpstreamRefused}};
        }
        ++attempt.executions;
        return ServiceAnswered{200, "result of " + attempt.id};
    }

    ServiceReply loseOutcome(SimulatedAttempt &attempt)
    {
        attempt.outcomeLost = true;
        const std::uint64_t outcome = this->randomBelow(3);
        attempt.executions += outcome == 0 ? 1 : 0;
        if (outcome == 1) {
            this->delayedRuns.push_back(&attempt);
        }
        return ServiceOutcomeUnknown{{.id = ErrorId::UpstreamLost}};
    }

    std::mt19937_64 random;
    std::set<Fault> faults;
    std::vector<SimulatedAttempt *> delayedRuns;
};

} // namespace parsleyvane::test
