/**
 * @file
 * @brief The availability zones whose upstreams get no new requests by order of the operator.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <set>
#include <vector>

namespace parsleyvane {

/**
 * @brief Holds the zones as the operator's table last named them, also while the store is unreachable. Complexity:
 * logarithmic in the zones unless said otherwise.
 */
class EvacuatedZones
{
public:
    // modifiers
    /// @brief Adds a zone. @return whether it was not evacuated before
    bool add(const ZoneId &zone);
    /// @brief Removes a zone. @return whether it was evacuated
    bool remove(const ZoneId &zone);

    // observers
    /// @brief The evacuated zones that a full read of the operator's table no longer names. Complexity: linear.
    std::vector<ZoneId> absentFrom(const std::set<ZoneId> &named) const;
    bool contains(const ZoneId &zone) const;
    std::size_t size() const noexcept
    {
        return this->zones.size();
    }

private:
    std::set<ZoneId> zones;
};

} // namespace parsleyvane
