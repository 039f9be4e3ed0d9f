#include "parsleyvane/core/blackboard.h"

#include <algorithm>

namespace parsleyvane {

std::optional<Failure> dispatchRefusal(const Blackboard &blackboard, TimePoint now, bool admitted)
{
    constexpr Milliseconds retryAfter{1000};
    Failure failure{.step = Step::Admit, .peer = blackboard.instance.str(), .retryAfter = retryAfter};
    if (!blackboard.configuration || blackboard.phase == InstancePhase::Starting) {
        failure.id = ErrorId::NotReady;
        failure.detail = "no configuration yet";
        return failure;
    }
    if (blackboard.phase == InstancePhase::Stopped || (blackboard.phase == InstancePhase::Draining && !admitted)) {
        failure.id = ErrorId::Draining;
        failure.detail = "the instance is stopping";
        return failure;
    }
    const TimePoint confirmed
        = std::max(blackboard.confirmations.storeConfirmedAt, blackboard.confirmations.majorityConfirmedAt);
    if (now - confirmed > configurationStalenessLimit) {
        failure.id = ErrorId::ConfigurationStale;
        failure.detail = "neither the store nor most peers confirm the configuration";
        return failure;
    }
    return std::nullopt;
}

} // namespace parsleyvane
