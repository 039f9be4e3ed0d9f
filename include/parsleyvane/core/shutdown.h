/**
 * @file
 * @brief The sequence of a graceful shutdown, as a Boost.MSM state machine.
 */
#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace parsleyvane {

/// @brief An operator or the platform requested a stop.
struct StopRequested
{
};
/// @brief The load balancer has had time to see that the instance is not ready.
struct LingerElapsed
{
};
/// @brief No request is in flight any more.
struct RequestsFinished
{
};
/// @brief All bills are durable or handed over to a peer.
struct BillsFlushed
{
};

/**
 * @brief The actions on entry to each state of the shutdown.
 */
class ShutdownActions
{
public:
    virtual ~ShutdownActions() = default;
    /// @brief Makes the readiness check fail; requests are still accepted.
    virtual void refuseReadiness() = 0;
    /// @brief Refuses new requests; those in flight run to completion.
    virtual void refuseRequests() = 0;
    /// @brief Writes the bills that are not yet durable.
    virtual void flushBills() = 0;
    /// @brief Ends the shutdown; nothing is left to do.
    virtual void finishStop() = 0;
};

/// @brief States and transitions of the shutdown; events that the current state does not expect are ignored.
struct ShutdownDefinition : boost::msm::front::state_machine_def<ShutdownDefinition>
{
    explicit ShutdownDefinition(ShutdownActions &actions)
        : actions(&actions)
    {
    }

    struct Serving : boost::msm::front::state<>
    {
    };
    struct Lingering : boost::msm::front::state<>
    {
        template<typename Event, typename Machine>
        void on_entry(const Event &, Machine &machine)
        {
            machine.actions->refuseReadiness();
        }
    };
    struct FinishingRequests : boost::msm::front::state<>
    {
        template<typename Event, typename Machine>
        void on_entry(const Event &, Machine &machine)
        {
            machine.actions->refuseRequests();
        }
    };
    struct FlushingBills : boost::msm::front::state<>
    {
        template<typename Event, typename Machine>
        void on_entry(const Event &, Machine &machine)
        {
            machine.actions->flushBills();
        }
    };
    struct Stopped : boost::msm::front::state<>
    {
        template<typename Event, typename Machine>
        void on_entry(const Event &, Machine &machine)
        {
            machine.actions->finishStop();
        }
    };

    using initial_state = Serving;

    template<typename From, typename Event, typename To>
    using Row = boost::msm::front::Row<From, Event, To>;

    struct transition_table
        : boost::mpl::vector<Row<Serving, StopRequested, Lingering>, Row<Lingering, LingerElapsed, FinishingRequests>,
                             Row<FinishingRequests, RequestsFinished, FlushingBills>,
                             Row<FlushingBills, BillsFlushed, Stopped>>
    {
    };

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }

    ShutdownActions *actions;
};

/// @brief The state machine; pass it the events above with process_event().
using Shutdown = boost::msm::back::state_machine<ShutdownDefinition>;

} // namespace parsleyvane
