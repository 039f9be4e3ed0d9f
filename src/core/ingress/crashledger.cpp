#include "parsleyvane/ingress/crashledger.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace parsleyvane {

namespace {

const std::string partPrefix = "part-";

bool isSharedPart(const Fingerprint &print)
{
    return print.str().starts_with(partPrefix);
}

} // namespace

CrashSuspects crashSuspects(const std::vector<std::string_view> &sharedParts, std::string_view caller,
                            std::string_view body)
{
    constexpr std::size_t maxParts = 32;
    CrashSuspects suspects;
    for (const std::string_view part : sharedParts) {
        if (suspects.size() == maxParts) {
            break;
        }
        suspects.emplace_back(partPrefix + std::to_string(rendezvousWeight("part", part)));
    }
    suspects.emplace_back(std::to_string(rendezvousWeight(caller, body)));
    return suspects;
}

CrashEvidence shifted(CrashEvidence evidence, Milliseconds offset)
{
    for (CrashReport &crash : evidence.crashes) {
        crash.at += offset;
    }
    for (SuspectCleared &cleared : evidence.cleared) {
        cleared.at += offset;
    }
    for (SuspectTrial &trial : evidence.trials) {
        trial.at += offset;
    }
    return evidence;
}

CrashLedger::CrashLedger(CrashLimits limits)
    : limits(limits)
{
}

void CrashLedger::setTrialPeers(TrialPeers newPeers)
{
    this->peers = std::move(newPeers);
}

void CrashLedger::onAdmitted(const CrashSuspects &suspects)
{
    this->refusedInRow.erase(suspects.front());
}

bool CrashLedger::beginTrial(const CrashSuspects &suspects, TimePoint now)
{
    if (this->refusedInRow.size() >= this->limits.maxAnswers) {
        this->refusedInRow.clear();
    }
    const unsigned refused = ++this->refusedInRow[suspects.front()];
    if (this->peers.zoneMembers.empty() || refused < this->limits.refusedBeforeTrial) {
        return false;
    }
    for (const Fingerprint &print : suspects) {
        const auto block = this->blocked.find(print);
        if (block == this->blocked.end()) {
            continue;
        }
        const auto known = this->trials.find(print);
        const bool isReserved = known != this->trials.end() && known->second.isReserved;
        if (isReserved || now < this->trialDue(print, block->second)) {
            return false;
        }
    }
    for (const Fingerprint &print : suspects) {
        if (this->blocked.contains(print)) {
            this->trials[print].isReserved = true;
        }
    }
    return true;
}

void CrashLedger::onTrialSent(const CrashSuspects &suspects, TimePoint now)
{
    for (const Fingerprint &print : suspects) {
        const auto known = this->trials.find(print);
        if (known == this->trials.end() || !known->second.isReserved) {
            continue;
        }
        known->second.at = now;
        known->second.isOwn = true;
    }
}

void CrashLedger::endTrial(const CrashSuspects &suspects)
{
    for (const Fingerprint &print : suspects) {
        const auto known = this->trials.find(print);
        if (known != this->trials.end()) {
            known->second.isReserved = false;
        }
    }
}

std::size_t CrashLedger::trialTurn(const Fingerprint &print, unsigned round) const
{
    const auto placeOf = [&](const std::string &self, const auto &all) {
        const std::uint64_t own = rendezvousWeight(print.str(), self, round);
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const auto &other) {
            return other.str() != self && rendezvousWeight(print.str(), other.str(), round) > own;
        }));
    };
    const std::size_t zoneCount = std::max<std::size_t>(1, this->peers.zones.size());
    return placeOf(this->peers.self.str(), this->peers.zoneMembers) * zoneCount
        + placeOf(this->peers.zone.str(), this->peers.zones);
}

TimePoint CrashLedger::trialDue(const Fingerprint &print, const std::set<std::string> &sites) const
{
    const auto found = this->trials.find(print);
    const Trials known = found != this->trials.end() ? found->second : Trials();
    const unsigned maxTrials = isSharedPart(print) ? this->limits.maxPartTrials : this->limits.maxRequestTrials;
    if (known.failed >= maxTrials) {
        return TimePoint::max();
    }
    Milliseconds delay = isSharedPart(print) ? this->limits.partTrialDelay : this->limits.requestTrialDelay;
    for (unsigned failed = 0; failed < known.failed; ++failed) {
        delay *= this->limits.trialBackoff;
    }
    const auto turn = static_cast<std::int64_t>(this->trialTurn(print, known.failed));
    return std::max(this->newestOf(sites) + delay, known.at + this->limits.trialPatience)
        + turn * this->limits.trialSpacing;
}

CrashLedger::Crash &CrashLedger::crashAt(const std::string &site, TimePoint at)
{
    if (!this->crashes.contains(site)) {
        this->makeRoom();
    }
    const auto [found, isNew] = this->crashes.try_emplace(site, Crash{.at = at});
    Crash &crash = found->second;
    if (this->isRefuted(crash) && at > crash.aliveAt) {
        crash = Crash{.at = at, .aliveAt = crash.aliveAt};
    } else if (!this->isRefuted(crash)) {
        crash.at = std::min(crash.at, at);
    }
    return crash;
}

void CrashLedger::makeRoom()
{
    if (this->crashes.size() < this->limits.maxSites) {
        return;
    }
    auto oldest = this->crashes.end();
    for (auto crash = this->crashes.begin(); crash != this->crashes.end(); ++crash) {
        const bool isNeeded = std::any_of(this->blocked.begin(), this->blocked.end(),
                                          [&](const auto &block) { return block.second.contains(crash->first); });
        if (!isNeeded && (oldest == this->crashes.end() || crash->second.at < oldest->second.at)) {
            oldest = crash;
        }
    }
    this->crashes.erase(oldest != this->crashes.end() ? oldest : this->crashes.begin());
}

void CrashLedger::onLost(const CrashSuspects &suspects, const std::string &site, TimePoint now)
{
    Crash &crash = this->crashAt(site, now);
    unsigned depth = 0;
    for (const Fingerprint &print : suspects) {
        const auto trial = this->trials.find(print);
        if (trial != this->trials.end() && trial->second.isReserved) {
            ++trial->second.failed;
            trial->second.isReserved = false;
        }
        if (crash.ownSuspects.size() >= this->limits.maxSuspects) {
            break;
        }
        crash.ownSuspects[print] = depth;
        crash.suspects[print] = depth;
        ++depth;
    }
    this->update(now);
}

void CrashLedger::onAlive(const std::string &site, TimePoint now)
{
    const auto crash = this->crashes.find(site);
    if (crash == this->crashes.end()) {
        return;
    }
    const bool wasRefuted = this->isRefuted(crash->second);
    crash->second.aliveAt = now;
    if (this->isRefuted(crash->second) != wasRefuted) {
        this->update(now);
    }
}

bool CrashLedger::onAnswered(const CrashSuspects &suspects, const std::string &site, TimePoint now)
{
    bool isNews = false;
    bool isChanged = false;
    this->onAlive(site, now);
    for (const Fingerprint &print : suspects) {
        isChanged = isChanged || this->crashesOf(print, false) > 0;
        if (!this->answers.contains(print) && this->answers.size() >= this->limits.maxAnswers) {
            continue;
        }
        Answers &known = this->answers[print];
        known.known = now;
        if (this->crashesOf(print, true) + 1 >= this->limits.crashesToBlock) {
            known.published = now;
            known.isOwn = true;
            isNews = true;
        }
    }
    if (isChanged) {
        this->update(now);
    }
    return isNews;
}

void CrashLedger::merge(const CrashEvidence &evidence, TimePoint now)
{
    this->add(evidence, now, false);
}

void CrashLedger::restore(const CrashEvidence &evidence, TimePoint now)
{
    this->add(evidence, now, true);
}

void CrashLedger::add(const CrashEvidence &evidence, TimePoint now, bool own)
{
    bool isNews = false;
    for (const CrashReport &report : evidence.crashes) {
        if (now - report.at <= this->limits.blockRetention) {
            isNews = this->addCrash(report, own) || isNews;
        }
    }
    for (const SuspectCleared &cleared : evidence.cleared) {
        if (now - cleared.at > this->limits.blockRetention) {
            continue;
        }
        Answers &known = this->answers[cleared.print];
        isNews = isNews || cleared.at > known.known;
        known.known = std::max(known.known, cleared.at);
        if (cleared.at > known.published) {
            known.published = cleared.at;
            known.isOwn = own;
        }
    }
    for (const SuspectTrial &trial : evidence.trials) {
        if (now - trial.at > this->limits.blockRetention) {
            continue;
        }
        Trials &known = this->trials[trial.print];
        known.at = std::max(known.at, trial.at);
        known.failed = std::max(known.failed, trial.failed);
        known.isOwn = known.isOwn || own;
    }
    if (isNews) {
        this->update(now);
    }
}

bool CrashLedger::addCrash(const CrashReport &report, bool own)
{
    const auto known = this->crashes.find(report.site);
    const bool isNew = known == this->crashes.end();
    const TimePoint knownAt = isNew ? TimePoint() : known->second.at;
    Crash &crash = this->crashAt(report.site, report.at);
    if (this->isRefuted(crash)) {
        return false;
    }
    const std::size_t suspectsBefore = crash.suspects.size();
    crash.suspects.insert(report.suspects.begin(), report.suspects.end());
    if (own) {
        crash.ownSuspects.insert(report.suspects.begin(), report.suspects.end());
    }
    return isNew || crash.at != knownAt || crash.suspects.size() != suspectsBefore;
}

void CrashLedger::expire(TimePoint now)
{
    std::size_t erased = 0;
    for (const auto &[print, sites] : this->blocked) {
        const TimePoint endsAt = this->newestOf(sites) + this->limits.blockRetention;
        std::size_t kept = sites.size();
        for (const std::string &site : sites) {
            if (now > endsAt && kept >= this->limits.crashesToBlock) {
                erased += this->crashes.erase(site);
                --kept;
                continue;
            }
            // What remains after the block is one crash short of it.
            Crash &crash = this->crashes.at(site);
            crash.keptUntil = std::max(crash.keptUntil, endsAt + this->limits.blockRetention);
        }
    }
    erased += std::erase_if(this->crashes, [&](const auto &entry) {
        return now > std::max(entry.second.at + this->limits.retention, entry.second.keptUntil);
    });
    std::erase_if(this->answers, [&](const auto &entry) {
        const Answers &known = entry.second;
        return now - known.known > this->limits.answerRetention && now - known.published > this->limits.retention
            && this->crashesOf(entry.first, true) == 0;
    });
    if (this->blocked.empty()) {
        this->refusedInRow.clear();
    }
    std::erase_if(this->trials, [&](const auto &entry) {
        const Trials &known = entry.second;
        return !known.isReserved && !this->blocked.contains(entry.first)
            && now - known.at > this->limits.answerRetention;
    });
    if (erased > 0) {
        this->update(now);
    }
}

TimePoint CrashLedger::newestOf(const std::set<std::string> &sites) const
{
    TimePoint newest{};
    for (const std::string &site : sites) {
        newest = std::max(newest, this->crashes.at(site).at);
    }
    return newest;
}

std::vector<BlockChange> CrashLedger::takeChanges()
{
    return std::exchange(this->changes, {});
}

std::optional<Fingerprint> CrashLedger::blockedOf(const CrashSuspects &suspects) const
{
    const auto found = std::find_if(suspects.begin(), suspects.end(),
                                    [&](const Fingerprint &print) { return this->blocked.contains(print); });
    return found != suspects.end() ? std::optional(*found) : std::nullopt;
}

CrashEvidence CrashLedger::report() const
{
    CrashEvidence evidence;
    for (const auto &[site, crash] : this->crashes) {
        if (!crash.ownSuspects.empty() && !this->isRefuted(crash)) {
            evidence.crashes.push_back({.site = site, .at = crash.at, .suspects = crash.ownSuspects});
        }
    }
    std::sort(evidence.crashes.begin(), evidence.crashes.end(),
              [](const CrashReport &a, const CrashReport &b) { return a.at > b.at; });
    if (evidence.crashes.size() > this->limits.maxReported) {
        evidence.crashes.resize(this->limits.maxReported);
    }
    for (const auto &[print, known] : this->answers) {
        if (known.isOwn) {
            evidence.cleared.push_back({print, known.published});
        }
    }
    for (const auto &[print, known] : this->trials) {
        if (known.isOwn) {
            evidence.trials.push_back({print, known.at, known.failed});
        }
    }
    return evidence;
}

bool CrashLedger::isRefuted(const Crash &crash) const
{
    return crash.aliveAt > crash.at + this->limits.lifeMargin;
}

bool CrashLedger::accuses(const Crash &crash, const Fingerprint &print, bool publishedOnly) const
{
    if (this->isRefuted(crash) || !crash.suspects.contains(print)) {
        return false;
    }
    const auto found = this->answers.find(print);
    return found == this->answers.end() || crash.at >= (publishedOnly ? found->second.published : found->second.known);
}

bool CrashLedger::isSuspected(const CrashSuspects &suspects) const
{
    return std::any_of(suspects.begin(), suspects.end(),
                       [this](const Fingerprint &print) { return this->crashesOf(print, false) > 0; });
}

std::size_t CrashLedger::crashesOf(const Fingerprint &print, bool publishedOnly) const
{
    return static_cast<std::size_t>(std::count_if(this->crashes.begin(), this->crashes.end(), [&](const auto &entry) {
        return this->accuses(entry.second, print, publishedOnly);
    }));
}

void CrashLedger::update(TimePoint now)
{
    struct Accusation
    {
        std::set<std::string> sites;
        unsigned depth = 0;
    };
    ++this->comparisonCount;
    // Few suspects are in enough crashes to be blocked; only those are looked up further.
    std::unordered_map<std::string_view, std::size_t> occurrences;
    for (const auto &[site, crash] : this->crashes) {
        if (this->isRefuted(crash)) {
            continue;
        }
        for (const auto &[print, depth] : crash.suspects) {
            ++occurrences[print.str()];
        }
    }
    std::map<Fingerprint, Accusation> accused;
    for (const auto &[site, crash] : this->crashes) {
        for (const auto &[print, depth] : crash.suspects) {
            const auto found = occurrences.find(print.str());
            const bool isFrequent = found != occurrences.end() && found->second >= this->limits.crashesToBlock;
            if (isFrequent && this->accuses(crash, print, false)) {
                accused[print].sites.insert(site);
                accused[print].depth = depth;
            }
        }
    }
    std::map<Fingerprint, std::set<std::string>> found;
    while (!accused.empty()) {
        const auto worst = std::max_element(accused.begin(), accused.end(), [](const auto &a, const auto &b) {
            return std::pair(a.second.sites.size(), a.second.depth) < std::pair(b.second.sites.size(), b.second.depth);
        });
        if (worst->second.sites.size() < this->limits.crashesToBlock) {
            break;
        }
        const std::set<std::string> explained = worst->second.sites;
        found[worst->first] = explained;
        accused.erase(worst);
        for (auto &[print, accusation] : accused) {
            std::erase_if(accusation.sites, [&](const std::string &site) { return explained.contains(site); });
        }
    }
    for (const auto &[print, sites] : found) {
        if (!this->blocked.contains(print)) {
            this->changes.push_back({print, true, sites, now - this->newestOf(sites)});
        }
    }
    for (const auto &[print, sites] : this->blocked) {
        if (!found.contains(print)) {
            this->changes.push_back({print, false, sites, Milliseconds(0)});
        }
    }
    this->blocked = std::move(found);
}

} // namespace parsleyvane
