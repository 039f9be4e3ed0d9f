#include "parsleyvane/forward/connectionpool.h"

namespace parsleyvane {

std::unique_ptr<HttpCall> ConnectionPool::take(const std::string &address, TimePoint now)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    // The newest is the least likely to have been closed.
    while (!found->second.empty()) {
        Waiting waiting = std::move(found->second.back());
        found->second.pop_back();
        if (now - waiting.since <= this->limits.idle && waiting.call->isOpen()) {
            return std::move(waiting.call);
        }
    }
    return nullptr;
}

void ConnectionPool::keep(const std::string &address, std::unique_ptr<HttpCall> call, TimePoint now)
{
    std::deque<Waiting> &waiting = this->idle[address];
    if (waiting.size() >= this->limits.each) {
        waiting.pop_front();
    }
    call->suspendTimeouts();
    waiting.push_back({std::move(call), now});
}

void ConnectionPool::expire(TimePoint now)
{
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        std::deque<Waiting> &waiting = entry->second;
        while (!waiting.empty() && now - waiting.front().since > this->limits.idle) {
            waiting.pop_front();
        }
        entry = waiting.empty() ? this->idle.erase(entry) : std::next(entry);
    }
}

} // namespace parsleyvane
