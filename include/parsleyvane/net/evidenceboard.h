/**
 * @file
 * @brief What the instances tell each other of requests that crash upstreams and of how versions fare.
 */
#pragma once

#include "parsleyvane/core/blackboard.h"
#include "parsleyvane/membership/digest.h"
#include "parsleyvane/quarantine/quarantine.h"

#include <functional>
#include <map>

namespace parsleyvane {

/// @brief How an answer of a version turned out.
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
    /// @brief Sets what is called when peers should hear of this instance's evidence soon.
    void onChange(std::function<void()> callback);
    /// @brief Counts an answer of a version.
    void count(const ModelVersion &version, AnswerOutcome outcome);
    /// @brief An upstream's process ended: what was in flight there is suspect.
    void upstreamCrashed(const UpstreamId &upstream, TimePoint now);
    /// @brief Takes in what a peer told; parts that make no sense are left out.
    void merge(const InstanceId &from, const Evidence &evidence, TimePoint now);
    /// @brief The quarantine of this instance.
    Quarantine &quarantine() noexcept
    {
        return this->suspects;
    }

    // observers
    /// @brief What to tell peers now. Complexity: linear in the evidence.
    Evidence current(TimePoint now) const;
    /// @brief Counters of a version over all instances heard of, this one included.
    VersionEvidence fleetTotal(const ModelVersion &version) const;

private:
    Quarantine suspects;
    std::map<ModelVersion, VersionEvidence> own;
    std::map<InstanceId, std::map<ModelVersion, VersionEvidence>> peers;
    std::function<void()> changed;
};

} // namespace parsleyvane
