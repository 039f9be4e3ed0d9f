/**
 * @file
 * @brief Chooses which instances of an availability zone read the store for the others.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief An instance as its row in the store names it.
struct PeerMember
{
    InstanceId id;
    std::string address; ///< IP:PORT for other instances
    double processorShare = 0; ///< of a core

    friend bool operator==(const PeerMember &, const PeerMember &) = default;
};

/// @brief Formats the row of a member as JSON. The id is the row's key.
std::string serialise(const PeerMember &member);
/// @brief Parses the output of serialise(); nothing when it is malformed.
std::optional<PeerMember> parsePeerMember(const InstanceId &id, const std::string &text);

/// @brief Tunable values of ReaderChoice.
struct ReaderChoiceLimits
{
    std::size_t readers = 2; ///< in a zone
    std::size_t minMembers = 5; ///< in a smaller zone each instance reads for itself
    Milliseconds initialBackoff{2000}; ///< after a failed call; doubles with each further one
    Milliseconds maxBackoff{8000};
};

/**
 * @brief Ranks the members of the zone, those with the largest processors first, and chooses readers from the top.
 *
 * Instances with the same members choose alike. They need not: an instance may be asked by others without being one of
 * its own readers, and answers with what it knows and how old that is; and two or no readers cost calls, not answers.
 * Complexity: linear in the members, n log n when they change.
 */
class ReaderChoice
{
public:
    // constructors
    explicit ReaderChoice(InstanceId self, ReaderChoiceLimits limits = {});

    // modifiers
    /// @brief Replaces the members of the zone; this instance is one of them in any case.
    void setMembers(std::vector<PeerMember> newMembers);
    /// @brief Records an answer that was young enough to be of use.
    void onAnswered(const InstanceId &reader);
    /// @brief Records that there was no such answer: for some time the next member in rank takes the reader's place.
    void onFailed(const InstanceId &reader, TimePoint now);

    // observers
    /// @brief The reader that this instance asks; nothing when it reads for itself.
    std::optional<PeerMember> reader(TimePoint now) const;
    /// @brief Number of known members of the zone; 0 until they are known.
    std::size_t members() const noexcept
    {
        return this->ranked.size();
    }

private:
    struct Backoff
    {
        TimePoint until{};
        Milliseconds length{0};
    };

    InstanceId self;
    ReaderChoiceLimits limits;
    std::vector<PeerMember> ranked;
    std::map<InstanceId, Backoff> backoffs;
};

} // namespace parsleyvane
