#include "parsleyvane/ingress/speedsteps.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane {

SpeedSteps::SpeedSteps(SpeedStepLimits limits)
    : limits(limits)
{
}

double SpeedSteps::update(const std::string &process, double relativeTime, TimePoint now)
{
    if (this->speeds.size() >= this->limits.maxProcesses && !this->speeds.contains(process)) {
        // Processes that are gone are no longer updated.
        std::erase_if(this->speeds,
                      [&](const auto &entry) { return now - entry.second.at > this->limits.averagingTime; });
        if (this->speeds.size() >= this->limits.maxProcesses) {
            return 1;
        }
    }
    Speed &speed = this->speeds.try_emplace(process, Speed{.at = now}).first->second;
    if (std::isfinite(relativeTime) && relativeTime > 0) {
        const double maxAverage = this->limits.maxStep + 0.5;
        const double measured
            = std::clamp(-std::log(relativeTime) / std::log(this->limits.ratio), -maxAverage, maxAverage);
        const auto elapsed = static_cast<double>(std::max(Milliseconds(0), now - speed.at).count());
        const double decay = std::exp(-elapsed / static_cast<double>(this->limits.averagingTime.count()));
        speed.average = decay * speed.average + (1 - decay) * measured;
    }
    speed.at = std::max(speed.at, now);
    if (std::abs(speed.average - speed.step) > this->limits.hysteresis) {
        speed.step
            = std::clamp(static_cast<int>(std::lround(speed.average)), -this->limits.maxStep, this->limits.maxStep);
    }
    return std::pow(this->limits.ratio, speed.step);
}

} // namespace parsleyvane
