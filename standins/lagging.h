/**
 * @file
 * @brief Values that readers see with a delay.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

namespace parsleyvane::standins {

/**
 * @brief A value whose changes become visible after a delay.
 * @tparam Value a copyable type
 */
template<typename Value>
class Lagging
{
public:
    // constructors
    /// @param kept how long replaced values are kept, in milliseconds; the max lag
    Lagging(Value first, std::int64_t kept)
        : kept(kept)
    {
        this->history.push_back({0, std::move(first)});
    }

    // modifiers
    void set(std::int64_t now, Value value)
    {
        while (this->history.size() > 1 && this->history[1].since + this->kept < now) {
            this->history.pop_front();
        }
        if (this->history.size() == keptEntries) {
            this->history.pop_front();
        }
        this->history.push_back({now, std::move(value)});
    }

    // observers
    /// @brief The value as it was `lag` milliseconds before `now`.
    const Value &get(std::int64_t now, std::int64_t lag) const
    {
        for (auto entry = this->history.rbegin(); entry != this->history.rend(); ++entry) {
            if (entry->since <= now - lag) {
                return entry->value;
            }
        }
        return this->history.front().value;
    }

private:
    static constexpr std::size_t keptEntries = 100'000;

    struct Entry
    {
        std::int64_t since;
        Value value;
    };

    std::int64_t kept;
    std::deque<Entry> history;
};

} // namespace parsleyvane::standins
