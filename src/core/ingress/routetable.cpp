#include "parsleyvane/ingress/routetable.h"

namespace parsleyvane {

RouteTable::RouteTable(Revision revision)
    : number(revision)
{
}

void RouteTable::addRoute(RouteRule route)
{
    if (route.services.empty()) {
        return;
    }
    ++this->routes;
    std::string prefix = route.prefix;
    this->hosts[route.host].insert_or_assign(std::move(prefix), std::move(route));
}

void RouteTable::addKey(const std::string &key, const TenantRule &tenant)
{
    this->tenants.insert_or_assign(key, tenant);
}

void RouteTable::requireKeys()
{
    this->needsKeys = true;
}

void RouteTable::setLimits(const ClientLimits &limits)
{
    this->clientLimits = limits;
}

void RouteTable::setColdStart(const ServiceName &service, const ColdStart &coldStart)
{
    this->coldStarts.insert_or_assign(service, coldStart);
}

void RouteTable::addUnreadableColdStart(const ServiceName &service)
{
    this->ignoredColdStarts.push_back(service);
}

ColdStart RouteTable::coldStart(const ServiceName &service) const
{
    const auto found = this->coldStarts.find(service);
    return found != this->coldStarts.end() ? found->second : ColdStart();
}

const RouteRule *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto prefixes = this->hosts.find(std::string(host));
    if (prefixes == this->hosts.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so a matching prefix ends at a slash of the path.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = prefixes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != prefixes->second.end()) {
            return &found->second;
        }
    }
    return nullptr;
}

const ServiceName &RouteTable::chooseService(const RouteRule &route, double randomValue)
{
    double total = 0;
    for (const ServiceShare &share : route.services) {
        total += share.weight;
    }
    double remaining = randomValue * total;
    for (const ServiceShare &share : route.services) {
        if (remaining < share.weight) {
            return share.service;
        }
        remaining -= share.weight;
    }
    return route.services.front().service;
}

const TenantRule *RouteTable::findTenant(const std::string &key) const
{
    const auto found = this->tenants.find(key);
    return found != this->tenants.end() ? &found->second : nullptr;
}

} // namespace parsleyvane
