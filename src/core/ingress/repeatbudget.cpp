#include "parsleyvane/ingress/repeatbudget.h"

#include <algorithm>

namespace parsleyvane {

namespace {

/// The largest fraction of the slack for one instance.
constexpr double maxSlackFraction = 0.02;
/// Fraction of the slack that all instances use together; the margin covers instances that are not known yet.
constexpr double usedSlackFraction = 0.5;

} // namespace

RepeatBudget::RepeatBudget(RepeatBounds bounds)
    : bounds(bounds)
{
}

void RepeatBudget::setBounds(const RepeatBounds &newBounds)
{
    this->bounds = newBounds;
}

void RepeatBudget::setInstances(std::size_t number)
{
    this->slackFraction = number == 0 ? 0 : std::min(maxSlackFraction, usedSlackFraction / static_cast<double>(number));
}

void RepeatBudget::onRequest(const ServiceName &service, TimePoint now)
{
    ++this->currentSlice(service, now).requests;
}

bool RepeatBudget::take(const ServiceName &service, TimePoint now)
{
    if (this->remaining(service, now) < 1) {
        return false;
    }
    this->spend(service, now);
    return true;
}

void RepeatBudget::spend(const ServiceName &service, TimePoint now)
{
    ++this->currentSlice(service, now).repeats;
}

double RepeatBudget::remaining(const ServiceName &service, TimePoint now) const
{
    double allowed = this->bounds.slack * this->slackFraction;
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return allowed;
    }
    const std::int64_t newest = this->sliceNumber(now);
    for (const Slice &slice : found->second) {
        if (slice.number > newest - static_cast<std::int64_t>(slices)) {
            allowed += this->bounds.ratio * usedRatioFraction * slice.requests - slice.repeats;
        }
    }
    return allowed;
}

std::int64_t RepeatBudget::sliceNumber(TimePoint now) const
{
    const auto length = std::max<std::int64_t>(1, this->bounds.window.count() / static_cast<std::int64_t>(slices));
    return now.time_since_epoch().count() / length;
}

RepeatBudget::Slice &RepeatBudget::currentSlice(const ServiceName &service, TimePoint now)
{
    const std::int64_t number = this->sliceNumber(now);
    Slice &slice = this->services[service].at(static_cast<std::size_t>(number) % slices);
    if (slice.number != number) {
        slice = Slice{.number = number};
    }
    return slice;
}

} // namespace parsleyvane
