/**
 * @file
 * @brief Passes on what the readers of an availability zone read from the store, over HTTP between the instances.
 */
#pragma once

#include "parsleyvane/forward/forwardcontext.h"
#include "parsleyvane/net/httpserver.h"
#include "parsleyvane/relay/readerchoice.h"
#include "parsleyvane/relay/relaymessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <vector>

namespace parsleyvane {

/// @brief What an instance knows of the store, as far as it asks others for it or tells it them.
class RelayKnowledge
{
public:
    virtual ~RelayKnowledge() = default;

    /// @brief What this instance knows, for the question to a reader.
    virtual RelayPoll makePoll() = 0;
    /// @brief Applies a reader's answer to the question. @return whether it is young enough to be of use
    virtual bool applyOffer(const InstanceId &from, const RelayPoll &asked, const RelayOffer &offer) = 0;
    /// @brief Another instance relies on what this one reads.
    virtual void onAsked() = 0;
    /// @brief Whether there is something that the other instance does not know.
    virtual bool hasNews(const RelayPoll &poll) const = 0;
    /// @brief What this instance tells the other one.
    virtual RelayOffer makeOffer(const RelayPoll &poll) const = 0;
    /// @brief Adds the load that the other instance reports.
    virtual void onLoad(const RelayPoll &poll) = 0;
    /// @brief Takes over another instance's evidence. @param report as FleetReport
    virtual void onReport(const InstanceId &from, const std::string &report) = 0;
};

/**
 * @brief Asks the zone's reader by long polls, and answers the instances that ask this one.
 *
 * An answer says how old it is by the store's clock. Nothing follows from a connection that stands or breaks, except
 * whom to ask next.
 */
class StoreRelay
{
public:
    // constructors
    StoreRelay(ForwardContext &context, const InstanceId &self, RelayKnowledge &knowledge);

    // modifiers
    /// @brief Opens the listener for other instances. @param reason InvalidSetting when the address cannot be used
    bool listen(const boost::asio::ip::tcp::endpoint &endpoint, LastReason &reason);
    /// @brief Starts to ask the readers of the zone.
    void start();
    void setMembers(std::vector<PeerMember> members);
    /// @brief Sets how old a confirmation may be; calls and answers are bounded by it.
    void setAge(Milliseconds newAge);
    /// @brief Answers the instances that wait.
    void notify();
    /// @brief Tells the instances that ask to ask another one.
    void leave();

    // observers
    /// @brief Whether other instances have asked this one lately.
    bool isAsked(TimePoint now) const;
    /// @brief Whether this instance reads the store for itself.
    bool isReader(TimePoint now) const;
    /// @brief Number of known members of the zone; 0 until they are known.
    std::size_t members() const noexcept
    {
        return this->choice.members();
    }

private:
    boost::asio::awaitable<void> handle(Exchange &exchange);
    boost::asio::awaitable<void> askLoop();
    /// Asks once. Returns whether the answer was of use.
    boost::asio::awaitable<bool> ask(const PeerMember &reader);
    boost::asio::awaitable<std::optional<HttpResponse>> call(const PeerMember &reader, const RelayPoll &poll,
                                                             LastReason &reason);

    ForwardContext &context;
    RelayKnowledge &knowledge;
    ReaderChoice choice;
    HttpServer server;
    std::set<boost::asio::steady_timer *> waiting;
    boost::asio::steady_timer readerCheck; ///< while this instance reads for itself
    std::unique_ptr<HttpCall> connection; ///< to the reader asked last
    InstanceId askedReader;
    Milliseconds age{600};
    std::optional<TimePoint> askedAt; ///< when another instance asked this one
    bool isLeaving = false;
};

} // namespace parsleyvane
