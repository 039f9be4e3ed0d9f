/**
 * @file
 * @brief Evidence exchanged between instances: requests suspected of crashing upstreams, and outcome counters per
 * version.
 */
#pragma once

#include "parsleyvane/core/blackboard.h"
#include "parsleyvane/membership/digest.h"
#include "parsleyvane/quarantine/quarantine.h"

#include <functional>
#include <map>

namespace parsleyvane {

/// @brief Outcome of an answer of a model version.
enum class AnswerOutcome { Good, Error, FailedRating };

/**
 * @brief Collects this instance's evidence and merges that of its peers.
 */
class EvidenceBoard
{
public:
    // constructors
    explicit EvidenceBoard(InstanceId self);

    // modifiers
    /// @brief Sets the callback that runs when the evidence should be sent to peers without waiting for a heartbeat.
    void onChange(std::function<void()> callback);
    /// @brief Counts an answer of a version.
    void count(const ModelVersion &version, AnswerOutcome outcome);
    /// @brief Records that an upstream's process crashed: the requests in flight there become suspects.
    void upstreamCrashed(const UpstreamId &upstream, TimePoint now);
    /// @brief Merges a peer's evidence; malformed suspect reports are skipped.
    void merge(const InstanceId &from, const Evidence &evidence, TimePoint now);
    /// @brief The quarantine of this instance.
    Quarantine &quarantine() noexcept
    {
        return this->suspects;
    }

    // observers
    /// @brief The evidence to send to peers. Complexity: linear in the evidence.
    Evidence current(TimePoint now) const;
    /// @brief Sum of a version's counters over this instance and all peers whose evidence was received.
    VersionEvidence fleetTotal(const ModelVersion &version) const;

private:
    Quarantine suspects;
    std::map<ModelVersion, VersionEvidence> own;
    std::map<InstanceId, std::map<ModelVersion, VersionEvidence>> peers;
    std::function<void()> changeCallback;
};

} // namespace parsleyvane
