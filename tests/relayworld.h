/**
 * @file
 * @brief Instances on a virtual clock that follow one table of a store, by their own reads or a reader's answers.
 */
#pragma once

#include "parsleyvane/relay/readerchoice.h"
#include "parsleyvane/store/storewatch.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace parsleyvane::test {

/**
 * @brief A fleet and the operator's table, in steps of 10 ms.
 *
 * Faults: an instance is dead or frozen, cut from the store, or cut from the instances that ask it while it still hears
 * them; the store answers nobody. A frozen instance goes on where it stopped, with what it was told before.
 */
class RelayWorld
{
public:
    RelayWorld(std::size_t count, std::size_t zoneCount, std::uint64_t seed)
        : random(seed)
    {
        const WatchLimits limits
            = withBounds({}, {.change = changeBound, .leaving = changeBound, .stable = stableBound});
        for (std::size_t number = 0; number < count; ++number) {
            Instance &added = this->instances.emplace_back(Instance{.id = InstanceId("edge-" + std::to_string(number)),
                                                                    .zone = number % zoneCount,
                                                                    .watch = StoreWatch(limits),
                                                                    .choice = std::nullopt});
            added.watch.onEra(1);
            added.watch.expectRelay(begin);
            added.choice.emplace(added.id);
        }
        for (Instance &instance : this->instances) {
            std::vector<PeerMember> members;
            for (std::size_t number = instance.zone; number < count; number += zoneCount) {
                members.push_back({this->instances.at(number).id, std::to_string(number), 0});
            }
            instance.choice->setMembers(members);
            if (!instance.choice->reader(this->now)) {
                instance.watch.endRelay();
            }
        }
    }

    /// @brief Draws changes and faults for the next 40 s.
    void disturb()
    {
        this->isDisturbed = true;
    }

    void run(Milliseconds duration)
    {
        const TimePoint end = this->now + duration;
        while (this->now < end && this->found.empty()) {
            this->now += step;
            this->drawFaults();
            for (Instance &instance : this->instances) {
                this->advance(instance);
            }
            this->check();
        }
    }

    double callsPerSecond() const
    {
        return static_cast<double>(this->calls) * 1000 / static_cast<double>((this->now - begin).count());
    }

    /// @brief What was wrong first; empty when nothing was.
    const std::string &violation() const
    {
        return this->found;
    }

private:
    static constexpr Milliseconds step{10};
    static constexpr Milliseconds changeBound{4000};
    static constexpr Milliseconds stableBound{5000};
    static constexpr TimePoint begin{Milliseconds(1000000)};

    struct PendingRead
    {
        TableRead read;
        TimePoint sentAt{};
        bool isLost = false; ///< its answer never comes
    };
    struct PendingPoll
    {
        std::size_t reader = 0;
        TimePoint sentAt{};
        TimePoint confirmed{};
        bool isLost = false;
    };
    /// An answer that is on its way, as of the moment in which it was sent.
    struct Offer
    {
        TimePoint arrivesAt{};
        TimePoint confirmed{};
        std::uint64_t version = 0;
    };
    struct Instance
    {
        InstanceId id;
        std::size_t zone = 0;
        StoreWatch watch;
        std::optional<ReaderChoice> choice;
        std::uint64_t known = 0;
        TimePoint confirmed{}; ///< when the store confirmed it
        TimePoint nextReadAt{};
        TimePoint askedAt{};
        std::optional<PendingRead> read;
        std::optional<PendingPoll> poll;
        std::optional<Offer> offer;
        TimePoint deadUntil{};
        TimePoint frozenUntil{};
        TimePoint storeCutUntil{};
        TimePoint peersCutUntil{};
        TimePoint disturbedUntil{begin}; ///< the bound holds from the stable window after this on
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    Milliseconds duration()
    {
        return Milliseconds(std::uniform_int_distribution<int>(500, 9000)(this->random));
    }

    void drawFaults()
    {
        if (!this->isDisturbed) {
            return;
        }
        if (this->chance(0.01)) {
            this->changes.push_back(this->now);
        }
        if (this->chance(0.0005)) {
            this->storeAwayUntil = this->now + this->duration();
        }
        if (this->now < this->storeAwayUntil) {
            this->storeDisturbedUntil = this->storeAwayUntil;
        }
        // Readers are hit as often as all others together.
        const double probability = 0.02 / static_cast<double>(this->instances.size());
        for (Instance &instance : this->instances) {
            const bool isReader = this->now - instance.askedAt < Milliseconds(3000);
            if (!this->chance(isReader ? 0.002 : probability)) {
                continue;
            }
            const TimePoint until = this->now + this->duration();
            switch (std::uniform_int_distribution<int>(0, 3)(this->random)) {
            case 0:
                instance.deadUntil = until;
                instance.read.reset();
                instance.poll.reset();
                instance.offer.reset();
                break;
            case 1:
                instance.frozenUntil = until;
                break;
            case 2:
                instance.storeCutUntil = until;
                break;
            default:
                instance.peersCutUntil = until;
                continue; // its own way to the store stands
            }
            instance.disturbedUntil = std::max(instance.disturbedUntil, until);
        }
    }

    bool isRunning(const Instance &instance) const
    {
        return this->now >= instance.deadUntil && this->now >= instance.frozenUntil;
    }

    bool reachesStore(const Instance &instance) const
    {
        return this->now >= instance.storeCutUntil && this->now >= this->storeAwayUntil;
    }

    std::uint64_t version() const
    {
        return 1 + this->changes.size();
    }

    void advance(Instance &instance)
    {
        if (!this->isRunning(instance)) {
            if (instance.read && !this->reachesStore(instance)) {
                instance.read->isLost = true;
            }
            return;
        }
        this->finishRead(instance);
        this->startRead(instance);
        this->finishPoll(instance);
        this->startPoll(instance);
        for (const StoreTable table : instance.watch.takeInterrupts(this->now)) {
            if (table == StoreTable::Orders && instance.read) {
                instance.read.reset();
                instance.nextReadAt = this->now + instance.watch.onFailure(StoreTable::Orders, 1);
            }
        }
    }

    void startRead(Instance &instance)
    {
        const bool isSpared = instance.watch.untilOwnRead(StoreTable::Orders, this->now) > Milliseconds(0);
        if (instance.read || isSpared || this->now < instance.nextReadAt) {
            return;
        }
        ++this->calls;
        instance.watch.setRelaying(this->now - instance.askedAt < 3 * instance.watch.relayAge());
        instance.read = PendingRead{instance.watch.beginRead(StoreTable::Orders, this->now), this->now};
    }

    void finishRead(Instance &instance)
    {
        if (!instance.read) {
            return;
        }
        constexpr Milliseconds margin{700};
        constexpr Milliseconds latency{10};
        PendingRead &pending = *instance.read;
        pending.isLost = pending.isLost || !this->reachesStore(instance);
        const Milliseconds waited = this->now - pending.sentAt;
        if (pending.isLost) {
            if (waited >= pending.read.wait + margin) {
                instance.read.reset();
                instance.nextReadAt = this->now + instance.watch.onFailure(StoreTable::Orders, 1);
            }
            return;
        }
        const bool isNews = !pending.read.after || this->version() > *pending.read.after;
        if (waited < latency || (!isNews && waited < pending.read.wait)) {
            return;
        }
        instance.read.reset();
        instance.nextReadAt = this->now + instance.watch.onAnswer(StoreTable::Orders, this->version(), this->now);
        instance.known = std::max(instance.known, this->version());
        instance.confirmed = this->now;
    }

    void startPoll(Instance &instance)
    {
        if (instance.poll || instance.offer) {
            return;
        }
        const auto reader = instance.choice->reader(this->now);
        if (!reader) {
            return;
        }
        instance.poll = PendingPoll{std::stoul(reader->address), this->now, instance.confirmed};
    }

    void finishPoll(Instance &instance)
    {
        if (instance.offer && this->now >= instance.offer->arrivesAt) {
            this->applyOffer(instance, *std::exchange(instance.offer, std::nullopt));
        }
        if (!instance.poll) {
            return;
        }
        PendingPoll &pending = *instance.poll;
        Instance &reader = this->instances.at(pending.reader);
        const Milliseconds waited = this->now - pending.sentAt;
        if (this->isRunning(reader)) {
            reader.askedAt = this->now;
            reader.watch.setRelaying(true);
        }
        const bool answers = this->isRunning(reader) && this->now >= reader.peersCutUntil;
        const bool isYoung = this->now - reader.confirmed <= reader.watch.relayAge() / 2;
        const bool isNews = isYoung && reader.confirmed > pending.confirmed;
        if (answers && (isNews || waited >= instance.watch.relayAge())) {
            constexpr Milliseconds latency{10};
            instance.offer = Offer{this->now + latency, reader.confirmed, reader.known};
            instance.poll.reset();
        } else if (waited >= 2 * instance.watch.relayAge()) {
            instance.choice->onFailed(reader.id, this->now);
            instance.poll.reset();
        }
    }

    void applyOffer(Instance &instance, const Offer &offer)
    {
        const InstanceId reader
            = instance.choice->reader(this->now) ? instance.choice->reader(this->now)->id : instance.id;
        if (this->now - offer.confirmed > instance.watch.relayAge()) {
            instance.choice->onFailed(reader, this->now);
            return;
        }
        instance.choice->onAnswered(reader);
        instance.watch.onRelayed(StoreTable::Orders, offer.version, offer.confirmed, this->now);
        instance.known = std::max(instance.known, offer.version);
        instance.confirmed = std::max(instance.confirmed, offer.confirmed);
    }

    void check()
    {
        for (const Instance &instance : this->instances) {
            const TimePoint calmSince
                = std::max({instance.disturbedUntil, this->storeDisturbedUntil, begin}) + stableBound;
            if (!this->isRunning(instance) || this->now < calmSince) {
                continue;
            }
            // The change that the instance does not know yet.
            if (instance.known >= this->version()) {
                continue;
            }
            const TimePoint changedAt = instance.known == 0 ? begin : this->changes.at(instance.known - 1);
            if (this->now - std::max(changedAt, calmSince - stableBound) > changeBound) {
                this->found = instance.id.str() + " does not know a change of "
                    + std::to_string((this->now - changedAt).count()) + " ms ago, at "
                    + std::to_string((this->now - begin).count()) + " ms";
                return;
            }
        }
    }

    std::mt19937_64 random;
    std::vector<Instance> instances;
    std::vector<TimePoint> changes; ///< when each version after the first was written
    TimePoint now = begin;
    TimePoint storeAwayUntil{};
    TimePoint storeDisturbedUntil{};
    std::uint64_t calls = 0;
    bool isDisturbed = false;
    std::string found;
};

} // namespace parsleyvane::test
