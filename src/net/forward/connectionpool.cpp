#include "parsleyvane/forward/connectionpool.h"

namespace parsleyvane {

std::unique_ptr<HttpCall> ConnectionPool::take(const std::string &address, TimePoint now)
{
    const auto found = this->idleConnections.find(address);
    if (found == this->idleConnections.end()) {
        return nullptr;
    }
    // The newest connection is the least likely to have been closed by the upstream.
    while (!found->second.empty()) {
        IdleConnection connection = std::move(found->second.back());
        found->second.pop_back();
        if (now - connection.since <= this->limits.idleTimeout && connection.call->isOpen()) {
            return std::move(connection.call);
        }
    }
    return nullptr;
}

void ConnectionPool::keep(const std::string &address, std::unique_ptr<HttpCall> call, TimePoint now)
{
    std::deque<IdleConnection> &connections = this->idleConnections[address];
    if (connections.size() >= this->limits.maxPerUpstream) {
        connections.pop_front();
    }
    call->watchIdle();
    connections.push_back({std::move(call), now});
}

void ConnectionPool::expire(TimePoint now)
{
    for (auto entry = this->idleConnections.begin(); entry != this->idleConnections.end();) {
        std::deque<IdleConnection> &connections = entry->second;
        while (!connections.empty() && now - connections.front().since > this->limits.idleTimeout) {
            connections.pop_front();
        }
        entry = connections.empty() ? this->idleConnections.erase(entry) : std::next(entry);
    }
}

} // namespace parsleyvane
