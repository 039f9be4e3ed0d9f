#include "parsleyvane/ingress/upstreamlimiter.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleyvane {

namespace {

constexpr double millisecondsPerSecond = 1000;
/// Demand is rounded to tenths of a request a second, so that a report doesn't change with each request. An instance
/// without any request keeps this much, as its next one may come.
constexpr double demandStep = 0.1;

/// Score of a member in rendezvous hashing with weights: it wins a share of the choices proportional to its weight.
double weightedScore(std::uint64_t hash, double weight)
{
    constexpr double range = 18446744073709551616.0;
    const double uniform = (static_cast<double>(hash) + 0.5) / range;
    return -weight / std::log(std::min(uniform, std::nextafter(1.0, 0.0)));
}

} // namespace

LimitReport shifted(LimitReport report, Milliseconds offset)
{
    for (LimitNotice &notice : report.notices) {
        notice.at += offset;
    }
    return report;
}

UpstreamLimiter::UpstreamLimiter(UpstreamLimiterLimits limits)
    : limits(limits)
{
}

void UpstreamLimiter::setSelf(const InstanceId &instance)
{
    this->self = instance;
}

void UpstreamLimiter::onRequest(const ServiceName &service, std::int64_t promptTokens, TimePoint now)
{
    Demand &demand = this->demands[service];
    const double decay = this->decay(demand, now);
    demand.requests = demand.requests * decay + 1;
    demand.promptTokens = demand.promptTokens * decay + static_cast<double>(promptTokens);
    demand.at = now;
}

double UpstreamLimiter::decay(const Demand &demand, TimePoint now) const
{
    const double age = std::max(0.0, static_cast<double>((now - demand.at).count()));
    return std::exp(-age / static_cast<double>(this->limits.demandTime.count()));
}

RequestRate UpstreamLimiter::measured(const ServiceName &service, TimePoint now) const
{
    const auto found = this->demands.find(service);
    if (found == this->demands.end()) {
        return {};
    }
    const double requests = found->second.requests * this->decay(found->second, now);
    return {requests * millisecondsPerSecond / static_cast<double>(this->limits.demandTime.count())};
}

bool UpstreamLimiter::onAnswer(const UpstreamEntry &target, std::optional<RequestRate> rate, TimePoint sentAt,
                               TimePoint now)
{
    if (!rate && this->upstreams.empty()) {
        return false;
    }
    const std::string process = processName(target);
    const auto found = this->upstreams.find(process);
    const bool isKnown = found != this->upstreams.end();
    const TimePoint at = rate ? now : sentAt;
    const bool isRelevant = isKnown ? at > found->second.at : rate.has_value();
    if (!isRelevant) {
        return false;
    }
    const bool isChanged = this->addNotice({process, target.service, rate, at}, now);
    const auto entry = this->upstreams.find(process);
    if (entry == this->upstreams.end()) {
        return false;
    }
    Limit &limit = entry->second;
    if (!isKnown) {
        limit.bucket.fill();
    }
    const bool isOutdated = limit.shares > 0 && at - limit.publishedAt >= this->limits.reportPeriod;
    if (isChanged || isOutdated) {
        limit.publishedAt = at;
        limit.isOwnNotice = true;
    }
    return isChanged;
}

bool UpstreamLimiter::addNotice(const LimitNotice &notice, TimePoint now)
{
    const bool isKnown = this->upstreams.contains(notice.process);
    const bool isFull = this->upstreams.size() >= this->limits.maxUpstreams;
    if (now - notice.at > this->limits.retention || (!isKnown && isFull)) {
        return false;
    }
    Limit &limit = this->upstreams[notice.process];
    limit.service = notice.service;
    if (notice.at <= limit.at) {
        return false;
    }
    limit.at = notice.at;
    if (limit.rate == notice.rate) {
        return false;
    }
    limit.rate = notice.rate;
    const bool isFirstOfService = !this->reportedDemand.contains(notice.service);
    if (isFirstOfService && this->updateOwnDemand(false, now)) {
        this->assignAllShares(now);
    } else {
        this->assignShares(notice.process, limit, now);
    }
    return true;
}

std::vector<LimitNotice> UpstreamLimiter::merge(const std::map<InstanceId, LimitReport> &reports, TimePoint now)
{
    std::vector<LimitNotice> changed;
    bool isMemberChanged = !std::exchange(this->hasReadReports, true);
    for (const auto &[from, report] : reports) {
        for (LimitNotice notice : report.notices) {
            notice.at = std::min(notice.at, now);
            if (this->addNotice(notice, now)) {
                changed.push_back(notice);
            }
            const auto found = this->upstreams.find(notice.process);
            if (found != this->upstreams.end() && notice.at > found->second.publishedAt) {
                found->second.publishedAt = notice.at;
                found->second.isOwnNotice = false;
            }
        }
        isMemberChanged = (from != this->self && this->addMember(from, report)) || isMemberChanged;
    }
    if (isMemberChanged) {
        this->assignAllShares(now);
    }
    return changed;
}

bool UpstreamLimiter::addMember(const InstanceId &from, const LimitReport &report)
{
    Member member{report.demand, report.period};
    std::erase_if(member.demand, [](const auto &entry) { return !(entry.second.perSecond > 0); });
    if (member.demand.empty() || member.period + this->limits.maxMissedPeriods < this->period) {
        return this->others.erase(from) > 0;
    }
    Member &known = this->others[from];
    const bool isChanged = known.demand != member.demand;
    known = std::move(member);
    return isChanged;
}

bool UpstreamLimiter::update(Milliseconds storeTime, TimePoint now)
{
    std::erase_if(this->upstreams, [&](const auto &entry) { return now - entry.second.at > this->limits.retention; });
    const std::int64_t current = storeTime / this->limits.reportPeriod;
    const bool isNewPeriod = current > this->period;
    this->period = std::max(this->period, current);
    const std::size_t silent = std::erase_if(this->others, [&](const auto &entry) {
        return entry.second.period + this->limits.maxMissedPeriods < this->period;
    });
    const bool isChanged = this->updateOwnDemand(isNewPeriod, now);
    if (silent > 0 || isChanged) {
        this->assignAllShares(now);
    }
    const bool isReported = !this->reportedDemand.empty();
    return isChanged || (isNewPeriod && isReported);
}

bool UpstreamLimiter::updateOwnDemand(bool isNewPeriod, TimePoint now)
{
    std::map<ServiceName, RequestRate> current;
    for (const auto &[process, limit] : this->upstreams) {
        if (!limit.rate || this->hasLeft || current.contains(limit.service)) {
            continue;
        }
        const double measuredRate = this->measured(limit.service, now).perSecond;
        const RequestRate rounded{std::max(demandStep, std::round(measuredRate / demandStep) * demandStep)};
        const auto reported = this->reportedDemand.find(limit.service);
        const bool isReported = reported != this->reportedDemand.end();
        current[limit.service] = isReported && !isNewPeriod ? reported->second : rounded;
    }
    const bool isChanged = current != this->reportedDemand;
    this->reportedDemand = std::move(current);
    return isChanged;
}

void UpstreamLimiter::leave(TimePoint now)
{
    this->hasLeft = true;
    this->updateOwnDemand(false, now);
    this->assignAllShares(now);
}

unsigned UpstreamLimiter::ownedShares(const std::string &process, const ServiceName &service) const
{
    const auto own = this->reportedDemand.find(service);
    if (own == this->reportedDemand.end() || !this->hasReadReports) {
        return 0;
    }
    unsigned owned = 0;
    for (unsigned share = 0; share < this->limits.sharesPerUpstream; ++share) {
        const double ownScore
            = weightedScore(rendezvousWeight(process, this->self.str(), share), own->second.perSecond);
        const bool isOwner = std::none_of(this->others.begin(), this->others.end(), [&](const auto &entry) {
            const auto demand = entry.second.demand.find(service);
            return demand != entry.second.demand.end()
                && weightedScore(rendezvousWeight(process, entry.first.str(), share), demand->second.perSecond)
                >= ownScore;
        });
        owned += isOwner ? 1 : 0;
    }
    return owned;
}

void UpstreamLimiter::assignShares(const std::string &process, Limit &limit, TimePoint now) const
{
    limit.shares = limit.rate ? this->ownedShares(process, limit.service) : 0;
    const double fraction = static_cast<double>(limit.shares) / this->limits.sharesPerUpstream;
    limit.bucket.configure({limit.rate.value_or(RequestRate()).perSecond * fraction}, limit.shares, now);
}

void UpstreamLimiter::assignAllShares(TimePoint now)
{
    for (auto &[process, limit] : this->upstreams) {
        this->assignShares(process, limit, now);
    }
}

const UpstreamLimiter::Limit *UpstreamLimiter::findLimit(const UpstreamEntry &target) const
{
    if (this->upstreams.empty()) {
        return nullptr;
    }
    const auto found = this->upstreams.find(processName(target));
    return found != this->upstreams.end() && found->second.rate ? &found->second : nullptr;
}

std::function<bool(const RegisteredUpstream &)> UpstreamLimiter::filter(const UpstreamList &list,
                                                                        const TokenClaim &claim, TimePoint now) const
{
    const auto own = this->reportedDemand.find(claim.service);
    const bool isMember = own != this->reportedDemand.end();
    if (!isMember && !this->hasLeft) {
        return [](const RegisteredUpstream &) {
            return true;
        };
    }
    constexpr double fractionPerRank = 0.1;
    constexpr double minFraction = 0.5;
    const double demandFraction = isMember ? own->second.perSecond / this->totalDemand(claim.service).perSecond : 1;
    const double fraction = demandFraction * std::max(minFraction, 1 - fractionPerRank * claim.rank);
    const auto hasRoom = [fraction](const RegisteredUpstream &upstream) {
        return upstream.running < fraction * upstream.entry.slots;
    };
    bool hasAlternative = false;
    list.forEachUsable(claim.service, [&](const RegisteredUpstream &upstream) {
        hasAlternative = hasAlternative || (this->findLimit(upstream.entry) == nullptr && hasRoom(upstream));
    });
    const bool mayTake = this->hasTokenFor(claim, hasAlternative, now);
    return [this, hasRoom, mayTake, now](const RegisteredUpstream &upstream) {
        const Limit *limit = this->findLimit(upstream.entry);
        return limit != nullptr ? mayTake && limit->bucket.untilNext(now) == Milliseconds(0) : hasRoom(upstream);
    };
}

RequestRate UpstreamLimiter::totalDemand(const ServiceName &service) const
{
    const auto own = this->reportedDemand.find(service);
    double total = own != this->reportedDemand.end() ? own->second.perSecond : 0;
    for (const auto &[instance, member] : this->others) {
        const auto demand = member.demand.find(service);
        total += demand != member.demand.end() ? demand->second.perSecond : 0;
    }
    return {total};
}

std::function<bool(const RegisteredUpstream &)> UpstreamLimiter::preference(const UpstreamList &list,
                                                                            const TokenClaim &claim) const
{
    if (!this->reportedDemand.contains(claim.service) || this->isShort(claim)) {
        return {};
    }
    double limited = 0;
    double unlimited = 0;
    double limitSum = 0;
    list.forEachUsable(claim.service, [&](const RegisteredUpstream &upstream) {
        const Limit *limit = this->findLimit(upstream.entry);
        (limit != nullptr ? limited : unlimited) += 1;
        limitSum += limit != nullptr ? limit->rate->perSecond : 0;
    });
    const double demand = this->totalDemand(claim.service).perSecond;
    const double equalPart = demand / (limited + unlimited);
    if (unlimited == 0 || demand - limitSum < this->limits.relievedLoadFactor * equalPart * unlimited) {
        return {};
    }
    return [this](const RegisteredUpstream &upstream) {
        return this->findLimit(upstream.entry) != nullptr;
    };
}

bool UpstreamLimiter::hasTokenFor(const TokenClaim &claim, bool hasAlternative, TimePoint now) const
{
    constexpr double maxReservedFraction = 0.5;
    double burst = 0;
    double wholeTokens = 0;
    for (const auto &[process, limit] : this->upstreams) {
        if (limit.service == claim.service) {
            burst += limit.shares;
            wholeTokens += std::floor(limit.bucket.level(now));
        }
    }
    const double maxReserved = std::floor(burst * maxReservedFraction);
    double reserved = std::min<double>(claim.rank, maxReserved);
    if (hasAlternative) {
        reserved = this->isShort(claim) ? maxReserved : 0;
    }
    return wholeTokens >= 1 + reserved;
}

bool UpstreamLimiter::isShort(const TokenClaim &claim) const
{
    const auto found = this->demands.find(claim.service);
    return found != this->demands.end()
        && static_cast<double>(claim.promptTokens) * found->second.requests < found->second.promptTokens;
}

bool UpstreamLimiter::take(const UpstreamEntry &target, TimePoint now)
{
    const auto found = this->upstreams.find(processName(target));
    return found == this->upstreams.end() || !found->second.rate || found->second.bucket.take(now);
}

void UpstreamLimiter::giveBack(const UpstreamEntry &target)
{
    const auto found = this->upstreams.find(processName(target));
    if (found != this->upstreams.end()) {
        found->second.bucket.giveBack();
    }
}

LimitReport UpstreamLimiter::report() const
{
    LimitReport own{.demand = this->reportedDemand};
    for (const auto &[process, limit] : this->upstreams) {
        if (limit.isOwnNotice) {
            own.notices.push_back({process, limit.service, limit.rate, limit.publishedAt});
        }
    }
    // A report that says nothing stays the same in each period.
    if (!own.demand.empty()) {
        own.period = this->period;
    }
    return own;
}

bool UpstreamLimiter::isLimited(const ServiceName &service) const
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(),
                       [&](const auto &entry) { return entry.second.rate && entry.second.service == service; });
}

bool UpstreamLimiter::isLimited(const UpstreamEntry &target) const
{
    return this->findLimit(target) != nullptr;
}

std::size_t UpstreamLimiter::limitedUpstreams() const
{
    return static_cast<std::size_t>(std::count_if(this->upstreams.begin(), this->upstreams.end(),
                                                  [](const auto &entry) { return entry.second.rate.has_value(); }));
}

std::size_t UpstreamLimiter::members() const
{
    return this->others.size() + (this->hasLeft ? 0 : 1);
}

} // namespace parsleyvane
