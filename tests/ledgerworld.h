/**
 * @file
 * @brief Several attempts at several keys against a table and a service that fail, stepped in any order by a seed.
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

/// @brief What may go wrong in a world.
enum class Fault {
    ReplyLost, ///< the write takes effect, its reply is lost
    WriteDelayed, ///< the write takes effect later, its reply is lost
    WriteDropped, ///< the write never takes effect, nor does a reply come
    WriteNotSent,
    ReadLost,
    ReadStale, ///< the row as it was before the last write
    Frozen, ///< the attempt stands still for many steps
    Killed,
    ServiceOutcomeUnknown, ///< the service's outcome is lost; it ran, runs later, or never runs
    Abandoned, ///< the dispatch check refuses after the permit
    Count
};

/// @brief A table of rows under compare-and-set, with the rows before the last write and writes still on their way.
struct FakeTable
{
    struct LateWrite
    {
        std::string key;
        ClaimRow row;
    };

    std::map<std::string, ClaimRow> rows;
    std::map<std::string, ClaimRow> before;
    std::vector<LateWrite> late;
    unsigned forbidden = 0; ///< writes that replaced another attempt's held or done row

    WriteReply transact(const std::string &key, const ClaimRow &row)
    {
        ClaimRow &current = this->rows[key];
        if (current.version != row.version) {
            return WriteConflict{current};
        }
        const bool replaceable = current.version == 0 || current.state == ClaimState::Released;
        if (!replaceable && (current.attempt != row.attempt || current.state == ClaimState::Done)) {
            ++this->forbidden;
        }
        this->before[key] = current;
        current = row;
        ++current.version;
        return WriteCommitted{current.version};
    }

    void land(std::size_t index)
    {
        const LateWrite write = this->late[index];
        this->late.erase(this->late.begin() + static_cast<std::ptrdiff_t>(index));
        this->transact(write.key, write.row);
    }
};

/// @brief One attempt and what an outside observer knows of it.
struct Agent
{
    Agent(const std::string &id, std::string key, const std::string &body)
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
        return this->answered() && !this->inbox && !this->machine.pendingCleanUp();
    }

    bool toldNotRun() const
    {
        const auto *refusal = std::get_if<RefuseRequest>(&this->next);
        return refusal != nullptr && refusal->failure.runState == RunState::NotRun;
    }

    std::string id;
    std::string key;
    std::string body;
    RunOnce machine;
    LedgerAction next;
    std::optional<std::variant<WriteReply, ReadReply, ServiceReply>> inbox;
    unsigned frozenSteps = 0;
    unsigned sends = 0;
    unsigned applications = 0;
    bool killed = false;
    bool outcomeLost = false;
};

/// @brief The table, the service and the attempts.
class LedgerWorld
{
public:
    LedgerWorld(std::uint64_t seed, std::set<Fault> faults)
        : random(seed)
        , faults(std::move(faults))
    {
    }

    /// @brief Starts an attempt.
    Agent &start(const std::string &key, const std::string &body)
    {
        return this->agents.emplace_back("a" + std::to_string(this->agents.size() + 1), key, body);
    }

    /// @brief One random step of anything.
    void step()
    {
        if (this->draw(4) == 0) {
            this->landSomething();
        }
        Agent &agent = this->agents[this->draw(this->agents.size())];
        if (agent.killed) {
            return;
        }
        if (agent.frozenSteps > 0) {
            --agent.frozenSteps;
            return;
        }
        if (this->strikes(Fault::Killed, 12)) {
            agent.killed = true;
            return;
        }
        if (this->strikes(Fault::Frozen, 4)) {
            agent.frozenSteps = 20;
            return;
        }
        this->advance(agent);
    }

    /// @brief Ends all faults; live attempts go on to their ends, while late writes land or stay on their way.
    void heal()
    {
        this->faults.clear();
        for (Agent &agent : this->agents) {
            while (!agent.killed && !agent.finished()) {
                this->advance(agent);
                if (this->draw(8) == 0) {
                    this->landSomething();
                }
            }
        }
    }

    /// @brief Lets all that is on its way arrive.
    void landAll()
    {
        while (!this->table.late.empty() || !this->lateRuns.empty()) {
            this->landSomething();
        }
    }

    /// @brief How often the service applied the key.
    unsigned applications(const std::string &key) const
    {
        unsigned sum = 0;
        for (const Agent &agent : this->agents) {
            sum += agent.key == key ? agent.applications : 0;
        }
        return sum;
    }

    std::uint64_t draw(std::uint64_t bound)
    {
        return this->random() % bound;
    }

    FakeTable table;
    std::deque<Agent> agents;

private:
    bool strikes(Fault fault, std::uint64_t oneIn)
    {
        return this->faults.contains(fault) && this->draw(oneIn) == 0;
    }

    void landSomething()
    {
        if (!this->table.late.empty()) {
            this->table.land(this->draw(this->table.late.size()));
        }
        if (!this->lateRuns.empty()) {
            ++this->lateRuns.back()->applications;
            this->lateRuns.pop_back();
        }
    }

    /// Carries out the next action and leaves its reply in the inbox, or takes the reply that lies there.
    void advance(Agent &agent)
    {
        if (agent.inbox) {
            this->takeReply(agent);
            return;
        }
        if (agent.answered()) {
            if (const auto wanted = agent.machine.pendingCleanUp()) {
                agent.inbox = this->write(agent.key, *wanted);
            }
            return;
        }
        if (const auto *claim = std::get_if<WriteClaim>(&agent.next)) {
            agent.inbox = this->write(agent.key, claim->row);
            return;
        }
        if (std::holds_alternative<ReadClaim>(agent.next)) {
            agent.inbox = this->read(agent.key);
            return;
        }
        if (this->strikes(Fault::Abandoned, 2)) {
            agent.next = agent.machine.abandon({.id = ErrorId::DeadlineExceeded});
            return;
        }
        ++agent.sends;
        agent.inbox = this->callService(agent);
    }

    void takeReply(Agent &agent)
    {
        const auto reply = *agent.inbox;
        agent.inbox.reset();
        std::visit(Overloaded{
                       [&](const WriteReply &write) {
                           if (agent.answered()) {
                               agent.machine.onCleanUpReply(write);
                               return;
                           }
                           agent.next = agent.machine.onWrite(write);
                       },
                       [&](const ReadReply &read) { agent.next = agent.machine.onRead(read); },
                       [&](const ServiceReply &service) { agent.next = agent.machine.onService(service); },
                   },
                   reply);
    }

    WriteReply write(const std::string &key, const ClaimRow &row)
    {
        constexpr std::uint64_t oneIn = 2;
        if (this->strikes(Fault::WriteNotSent, oneIn)) {
            return WriteNotSent{};
        }
        if (this->strikes(Fault::WriteDropped, oneIn)) {
            return WriteIndeterminate{};
        }
        if (this->strikes(Fault::WriteDelayed, oneIn)) {
            this->table.late.push_back({key, row});
            return WriteIndeterminate{};
        }
        const WriteReply reply = this->table.transact(key, row);
        return this->strikes(Fault::ReplyLost, oneIn) ? WriteReply(WriteIndeterminate{}) : reply;
    }

    ReadReply read(const std::string &key)
    {
        if (this->strikes(Fault::ReadLost, 2)) {
            return ReadLost{};
        }
        return ReadRow{this->strikes(Fault::ReadStale, 2) ? this->table.before[key] : this->table.rows[key]};
    }

    ServiceReply callService(Agent &agent)
    {
        if (this->strikes(Fault::ServiceOutcomeUnknown, 2)) {
            return this->loseOutcome(agent);
        }
        if (this->draw(3) == 0) {
            return ServiceNotRun{{.id = ErrorId::UpstreamRefused}};
        }
        ++agent.applications;
        return ServiceAnswered{200, "result of " + agent.id};
    }

    ServiceReply loseOutcome(Agent &agent)
    {
        agent.outcomeLost = true;
        const std::uint64_t fate = this->draw(3);
        agent.applications += fate == 0 ? 1 : 0;
        if (fate == 1) {
            this->lateRuns.push_back(&agent);
        }
        return ServiceOutcomeUnknown{{.id = ErrorId::UpstreamLost}};
    }

    std::mt19937_64 random;
    std::set<Fault> faults;
    std::vector<Agent *> lateRuns;
};

} // namespace parsleyvane::test
