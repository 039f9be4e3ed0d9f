/**
 * @file
 * @brief The order of a planned stop, as a state machine (Boost.MSM).
 */
#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace parsleyvane {

/// @brief An operator or the platform asked for a stop.
struct StopRequested
{
};
/// @brief The balancer has had time to see that the instance is not ready.
struct LingerElapsed
{
};
/// @brief No request is under way any more.
struct RequestsFinished
{
};
/// @brief All bills are durable, or a peer holds them.
struct BillsFlushed
{
};

/**
 * @brief What happens at each step of a stop.
 */
class ShutdownActions
{
public:
    virtual ~ShutdownActions() = default;
    /// @brief Readiness is refused from now on; requests are still accepted.
    virtual void refuseReadiness() = 0;
    /// @brief No new request is taken; those under way go on to their ends.
    virtual void refuseRequests() = 0;
    /// @brief Writes what is still held here.
    virtual void flushBills() = 0;
    /// @brief Nothing is left to do.
    virtual void finishStop() = 0;
};

/// @brief States and transitions of the stop; events out of turn are ignored.
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
    struct Finishing : boost::msm::front::state<>
    {
        template<typename Event, typename Machine>
        void on_entry(const Event &, Machine &machine)
        {
            machine.actions->refuseRequests();
        }
    };
    struct Flushing : boost::msm::front::state<>
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
        : boost::mpl::vector<Row<Serving, StopRequested, Lingering>, Row<Lingering, LingerElapsed, Finishing>,
                             Row<Finishing, RequestsFinished, Flushing>, Row<Flushing, BillsFlushed, Stopped>>
    {
    };

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }

    ShutdownActions *actions;
};

/// @brief The machine; feed it the events above with process_event().
using Shutdown = boost::msm::back::state_machine<ShutdownDefinition>;

} // namespace parsleyvane
