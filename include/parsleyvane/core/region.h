/**
 * @file
 * @brief Strong type for regions.
 */
#pragma once

#include "parsleyvane/core/ids.h"

namespace parsleyvane {

/// @brief A region, which holds one or more availability zones.
using RegionId = StrongId<struct RegionTag>;

} // namespace parsleyvane
