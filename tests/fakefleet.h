/**
 * @file
 * @brief Simulation of a fleet: the membership and configuration controllers of several instances on a virtual clock,
 * with a store and a network that have injected faults.
 */
#pragma once

#include "parsleyvane/core/blackboard.h"
#include "parsleyvane/membership/membership.h"
#include "parsleyvane/spread/configurationspread.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace parsleyvane::test {

/// @brief Simulated store and its current faults.
struct FakeStore
{
    std::vector<TimePoint> commits; ///< when revision n + 1 was committed
    bool down = false;
    bool silent = false; ///< accepts connections and never answers
    bool stale = false; ///< answers unchecked reads with the value before the last
    double loss = 0; ///< share of replies lost
    Milliseconds delay{0};

    Revision newest() const
    {
        return Revision(this->commits.size());
    }
    /// @brief The newest revision that was committed by then.
    Revision newestAt(TimePoint time) const
    {
        Revision newest;
        for (const TimePoint at : this->commits) {
            newest += Revision(at <= time ? 1 : 0);
        }
        return newest;
    }
};

/// @brief Traffic counters of the simulated network.
struct FakeTraffic
{
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0; ///< of calls and replies, as measured by sizeOf()
    std::uint64_t storeReads = 0;
};

/// @brief One instance: its controllers and its current faults.
struct FakeInstance
{
    InstanceId id;
    ZoneId zone;
    std::string address;
    Incarnation incarnation;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ConfigurationSpread> spread;
    bool frozen = false;
    bool cutFromStore = false;
    unsigned side = 0; ///< network partition; instances of different partitions cannot reach each other
    std::vector<std::function<void()>> backlog; ///< events that arrived while it was frozen
    TimePoint wakeAt{};
    std::uint64_t start = 0; ///< increases with each restart; events of earlier starts are dropped

    /// @brief Whether a ready instance in this state accepts work, by dispatchRefusal().
    bool takesWork(TimePoint now) const
    {
        Blackboard blackboard;
        blackboard.phase = InstancePhase::Ready;
        blackboard.confirmations = this->spread->confirmations();
        if (this->spread->revision() != Revision()) {
            static const auto any = std::make_shared<const Configuration>();
            blackboard.configuration = any;
        }
        return !this->frozen && !dispatchRefusal(blackboard, now, false);
    }
};

/// @brief The fleet. All times are virtual; all random numbers derive from the seed.
class FakeFleet
{
public:
    FakeFleet(std::size_t count, std::size_t zones, unsigned seed, bool checkedReads = true)
        : checkedReads(checkedReads)
        , random(seed)
    {
        this->store.commits.push_back(this->now);
        for (std::size_t index = 0; index < count; ++index) {
            FakeInstance &instance = this->instances.emplace_back();
            instance.id = InstanceId("instance-" + std::to_string(index));
            instance.zone = ZoneId("zone-" + std::to_string(index % zones));
            instance.address = "10.0.0." + std::to_string(index) + ":7300";
        }
        for (std::size_t index = 0; index < count; ++index) {
            this->restart(index);
        }
    }

    /// @brief Restarts the instance with empty state.
    void restart(std::size_t index)
    {
        FakeInstance &instance = this->instances[index];
        instance.incarnation += Incarnation(1);
        ++instance.start;
        instance.backlog.clear();
        instance.membership = std::make_unique<Membership>(instance.id, instance.zone, instance.address,
                                                           instance.incarnation, this->membershipLimits);
        instance.spread = std::make_unique<ConfigurationSpread>(this->now, this->spreadLimits);
        std::vector<std::string> seeds;
        std::vector<ListedInstance> list;
        for (const FakeInstance &other : this->instances) {
            seeds.push_back(other.address);
            list.push_back({other.id, other.zone, other.address, false});
        }
        if (this->instances.size() > this->maxSeeds) {
            static_cast<void>(instance.membership->onList(list, this->now));
        } else {
            instance.membership->setSeeds(seeds);
        }
        this->wake(index, this->now);
    }

    void freeze(std::size_t index, bool frozen)
    {
        FakeInstance &instance = this->instances[index];
        instance.frozen = frozen;
        if (frozen) {
            return;
        }
        for (const auto &task : std::exchange(instance.backlog, {})) {
            task();
        }
        this->wake(index, this->now);
    }

    void commit()
    {
        this->store.commits.push_back(this->now);
    }

    /// @brief Advances the clock and calls `check` after each step.
    void runUntil(TimePoint end, const std::function<void()> &check = {}, Milliseconds step = Milliseconds(50))
    {
        TimePoint nextCheck = this->now;
        while (this->now < end) {
            const TimePoint stop = std::min(end, nextCheck + step);
            while (!this->queue.empty() && this->queue.top().at <= stop) {
                const Event event = this->queue.top();
                this->queue.pop();
                this->now = std::max(this->now, event.at);
                event.task();
            }
            this->now = nextCheck = stop;
            if (check) {
                check();
            }
        }
    }

    TimePoint now{Milliseconds(1000000)};
    FakeStore store;
    FakeTraffic traffic;
    std::vector<FakeInstance> instances;
    MembershipLimits membershipLimits;
    SpreadLimits spreadLimits;
    std::function<std::size_t(const Digest &)> sizeOf = [](const Digest &) {
        return 0;
    };
    std::function<void(std::size_t, Revision)> onInForce = [](std::size_t, Revision) {
    };

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> task;

        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };

    void schedule(Milliseconds delay, std::function<void()> task)
    {
        this->queue.push({this->now + delay, ++this->lastNumber, std::move(task)});
    }

    /// @brief Runs the task at the instance after the delay: once it is thawed if frozen, never after a restart.
    void deliver(std::size_t index, Milliseconds delay, const std::function<void()> &task)
    {
        this->schedule(delay, [this, index, task, start = this->instances[index].start]() {
            FakeInstance &instance = this->instances[index];
            if (instance.start != start) {
                return;
            }
            if (instance.frozen) {
                instance.backlog.push_back(task);
                return;
            }
            task();
        });
    }

    Milliseconds wireDelay()
    {
        return Milliseconds(1 + this->random() % 5);
    }

    void wake(std::size_t index, TimePoint at)
    {
        FakeInstance &instance = this->instances[index];
        instance.wakeAt = at;
        this->deliver(index, std::max(at - this->now, Milliseconds(0)), [this, index, at]() {
            if (this->instances[index].wakeAt == at) {
                this->runTimers(index);
            }
        });
    }

    void runTimers(std::size_t index)
    {
        FakeInstance &instance = this->instances[index];
        for (const std::string &address : instance.membership->tick(this->now).call) {
            this->exchange(index, address);
        }
        this->feed(index, SpreadTick{instance.membership->isReader(), instance.membership->electorate()});
    }

    void feed(std::size_t index, const SpreadEvent &event)
    {
        FakeInstance &instance = this->instances[index];
        for (const SpreadAction &action : instance.spread->handle(event, this->now)) {
            if (std::holds_alternative<ReadStore>(action)) {
                this->readStore(index);
            } else if (const auto *fetch = std::get_if<FetchDocument>(&action)) {
                this->fetch(index, fetch->peer, fetch->revision);
            } else if (const auto *force = std::get_if<PutInForce>(&action)) {
                this->onInForce(index, force->revision);
            } else {
                instance.membership->announce();
            }
        }
        instance.membership->setUrgent(instance.spread->isStoreUnresponsive(this->now));
        const TimePoint due = std::min(instance.membership->nextDue(),
                                       instance.spread->nextDue(instance.membership->isReader(), this->now));
        this->wake(index, std::max(due, this->now + Milliseconds(20)));
    }

    Digest digestOf(const FakeInstance &instance) const
    {
        Digest digest{.instance = instance.id,
                      .zone = instance.zone,
                      .address = instance.address,
                      .incarnation = instance.incarnation};
        instance.spread->describe(digest, this->now);
        return digest;
    }

    std::optional<std::size_t> find(const std::string &address) const
    {
        const std::size_t start = address.rfind('.') + 1;
        return std::stoul(address.substr(start, address.find(':') - start));
    }

    bool canReach(std::size_t a, std::size_t b) const
    {
        return this->instances[a].side == this->instances[b].side;
    }

    void exchange(std::size_t from, const std::string &address)
    {
        const std::size_t to = *this->find(address);
        const auto answered = std::make_shared<bool>(false);
        const TimePoint requestedAt = this->now;
        const Digest digest = this->digestOf(this->instances[from]);
        ++this->traffic.calls;
        this->traffic.bytes += this->sizeOf(digest);
        this->deliver(from, callTimeout, [this, from, address, answered]() {
            if (!*answered) {
                *answered = true;
                this->instances[from].membership->onCallFailed(address);
            }
        });
        const auto reply = [this, from, requestedAt, answered](const Digest &response) {
            if (*answered) {
                return;
            }
            *answered = true;
            if (this->instances[from].membership->onDigest(response, this->now)) {
                this->feed(from, PeerReplied{response, requestedAt});
            }
        };
        if (!this->canReach(from, to)) {
            return;
        }
        this->deliver(to, this->wireDelay(), [this, from, to, digest, reply]() {
            if (this->instances[to].membership->onDigest(digest, this->now)) {
                this->feed(to, PeerCallReceived{digest});
            }
            const Digest response = this->digestOf(this->instances[to]);
            this->traffic.bytes += this->sizeOf(response);
            if (this->canReach(from, to)) {
                this->deliver(from, this->wireDelay(), [reply, response]() { reply(response); });
            }
        });
    }

    void fetch(std::size_t from, const InstanceId &peer, Revision revision)
    {
        const auto &members = this->instances[from].membership->members();
        const auto member = members.find(peer);
        const std::size_t to = member == members.end() ? from : *this->find(member->second.address);
        const FakeInstance &other = this->instances[to];
        const bool available
            = to != from && this->canReach(from, to) && !other.frozen && other.spread->revision() >= revision;
        const Revision fetchedRevision = other.spread->revision();
        this->deliver(from, available ? this->wireDelay() : callTimeout,
                      [this, from, peer, available, fetchedRevision]() {
                          if (available) {
                              this->feed(from, DocumentFetched{fetchedRevision, changeName});
                              return;
                          }
                          this->feed(from, FetchFailed{peer});
                      });
    }

    void readStore(std::size_t from)
    {
        ++this->traffic.storeReads;
        const TimePoint requestedAt = this->now;
        const bool lost = std::uniform_real_distribution<>(0, 1)(this->random) < this->store.loss;
        this->schedule(this->wireDelay(), [this, from, requestedAt, lost, start = this->instances[from].start]() {
            if (this->instances[from].start != start) {
                return;
            }
            const bool refused = this->store.down || lost;
            if (this->store.silent || this->instances[from].cutFromStore) {
                this->deliver(from, silentStoreTimeout,
                              [this, from, requestedAt]() { this->feed(from, StoreFailed{requestedAt}); });
                return;
            }
            const bool old = this->store.stale && !this->checkedReads && this->store.commits.size() > 1;
            const Revision revision(this->store.commits.size() - (old ? 1 : 0));
            this->deliver(from, this->store.delay + this->wireDelay(), [this, from, requestedAt, refused, revision]() {
                if (refused) {
                    this->feed(from, StoreFailed{requestedAt});
                    return;
                }
                this->feed(from, StoreAnswered{requestedAt, revision, changeName, this->checkedReads});
            });
        });
    }

    /// @brief Has the length of a real change identifier.
    static constexpr const char *changeName = "9f86d081884c7d659a2feaa0c55ad015";
    static constexpr Milliseconds callTimeout{700};
    static constexpr Milliseconds silentStoreTimeout{2500};
    static constexpr std::size_t maxSeeds = 16;

    bool checkedReads;
    std::mt19937 random;
    std::priority_queue<Event> queue;
    std::uint64_t lastNumber = 0;
};

} // namespace parsleyvane::test
