/**
 * @file
 * @brief A handful of pure controllers on a virtual clock, a store with faults and the wires between them.
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

/// @brief Faults of the store.
struct FakeStore
{
    std::vector<TimePoint> commits; ///< when revision n + 1 was committed
    bool down = false;
    bool silent = false; ///< takes the connection and never answers
    bool stale = false; ///< answers plain reads with the value before the last
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

/// @brief What the wires carried.
struct FakeTraffic
{
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0; ///< of calls and answers, as sizeOf() tells
    std::uint64_t storeReads = 0;
};

/// @brief One instance: its controllers, and the faults around it.
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
    unsigned side = 0; ///< instances of different sides do not hear each other
    std::vector<std::function<void()>> backlog; ///< what came while it was frozen
    TimePoint wakeAt{};
    std::uint64_t start = 0; ///< rises with each restart: what belongs to an earlier start is dropped

    /// @brief As dispatchRefusal() decides for a ready instance.
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

/// @brief The fleet. All times are virtual; all chance comes from the seed.
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

    /// @brief Starts the instance anew, with nothing kept.
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
        if (this->instances.size() > this->seedsMost) {
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

    /// @brief Runs the clock on, and looks at every instance after each step.
    void runUntil(TimePoint end, const std::function<void()> &look = {}, Milliseconds step = Milliseconds(50))
    {
        TimePoint nextLook = this->now;
        while (this->now < end) {
            const TimePoint stop = std::min(end, nextLook + step);
            while (!this->queue.empty() && this->queue.top().at <= stop) {
                const Event event = this->queue.top();
                this->queue.pop();
                this->now = std::max(this->now, event.at);
                event.task();
            }
            this->now = nextLook = stop;
            if (look) {
                look();
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

    /// @brief Runs the task at the instance, later when it is frozen, never when it was restarted.
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
                this->turn(index);
            }
        });
    }

    void turn(std::size_t index)
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

    bool reach(std::size_t a, std::size_t b) const
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
        const auto reply = [this, from, requestedAt, answered](const Digest &told) {
            if (*answered) {
                return;
            }
            *answered = true;
            if (this->instances[from].membership->onDigest(told, this->now)) {
                this->feed(from, PeerReplied{told, requestedAt});
            }
        };
        if (!this->reach(from, to)) {
            return;
        }
        this->deliver(to, this->wireDelay(), [this, from, to, digest, reply]() {
            if (this->instances[to].membership->onDigest(digest, this->now)) {
                this->feed(to, PeerCallReceived{digest});
            }
            const Digest told = this->digestOf(this->instances[to]);
            this->traffic.bytes += this->sizeOf(told);
            if (this->reach(from, to)) {
                this->deliver(from, this->wireDelay(), [reply, told]() { reply(told); });
            }
        });
    }

    void fetch(std::size_t from, const InstanceId &peer, Revision revision)
    {
        const auto &members = this->instances[from].membership->members();
        const auto member = members.find(peer);
        const std::size_t to = member == members.end() ? from : *this->find(member->second.address);
        const FakeInstance &other = this->instances[to];
        const bool has = to != from && this->reach(from, to) && !other.frozen && other.spread->revision() >= revision;
        const Revision got = other.spread->revision();
        this->deliver(from, has ? this->wireDelay() : callTimeout, [this, from, peer, has, got]() {
            if (has) {
                this->feed(from, DocumentFetched{got, changeName});
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
                this->deliver(from, silentLimit,
                              [this, from, requestedAt]() { this->feed(from, StoreFailed{requestedAt}); });
                return;
            }
            const bool old = this->store.stale && !this->checkedReads && this->store.commits.size() > 1;
            const Revision told(this->store.commits.size() - (old ? 1 : 0));
            this->deliver(from, this->store.delay + this->wireDelay(), [this, from, requestedAt, refused, told]() {
                if (refused) {
                    this->feed(from, StoreFailed{requestedAt});
                    return;
                }
                this->feed(from, StoreAnswered{requestedAt, told, changeName, this->checkedReads});
            });
        });
    }

    /// @brief As long as a real change's identifier.
    static constexpr const char *changeName = "9f86d081884c7d659a2feaa0c55ad015";
    static constexpr Milliseconds callTimeout{700};
    static constexpr Milliseconds silentLimit{2500};
    static constexpr std::size_t seedsMost = 16;

    bool checkedReads;
    std::mt19937 random;
    std::priority_queue<Event> queue;
    std::uint64_t lastNumber = 0;
};

} // namespace parsleyvane::test
