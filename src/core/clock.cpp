#include "parsleyvane/core/clock.h"

#include <ctime>

namespace parsleyvane {

TimePoint bootClockNow() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto whole = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Milliseconds>(whole));
}

} // namespace parsleyvane
