#include "parsleyvane/ingress/evacuatedzones.h"

#include <algorithm>
#include <iterator>

namespace parsleyvane {

bool EvacuatedZones::add(const ZoneId &zone)
{
    return this->zones.insert(zone).second;
}

bool EvacuatedZones::remove(const ZoneId &zone)
{
    return this->zones.erase(zone) > 0;
}

std::vector<ZoneId> EvacuatedZones::absentFrom(const std::set<ZoneId> &named) const
{
    std::vector<ZoneId> absent;
    std::set_difference(this->zones.begin(), this->zones.end(), named.begin(), named.end(), std::back_inserter(absent));
    return absent;
}

bool EvacuatedZones::contains(const ZoneId &zone) const
{
    return this->zones.contains(zone);
}

} // namespace parsleyvane
