/**
 * @file
 * @brief Counters and gauges of one instance, for Prometheus. docs/METRICS.md lists them.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/core/ids.h"

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace parsleyvane {

/**
 * @brief The instance's metrics. The configuration bounds the label values: accounts, tasks, upstreams, error names.
 */
class Metrics
{
public:
    // constructors
    Metrics();

    // modifiers
    /// @brief Counts an answered request. @param outcome "ok" or an error's name
    void countRequest(const AccountId &account, const TaskName &task, std::string_view outcome);
    /// @brief Counts an attempt at an upstream. @param outcome "ok" or an error's name
    void countAttempt(const UpstreamId &upstream, std::string_view outcome);
    /// @brief Records a request's duration, from its last byte to the end of its answer.
    void observeRequest(Milliseconds duration);
    /// @brief Counts generated tokens forwarded to clients.
    void countTokens(Tokens tokens);
    /// @brief Counts an event that has no labels of its own, such as "preempted" or "bill_handed_over".
    void countEvent(const std::string &event);
    /// @brief Sets a gauge such as "revision" or "bills_pending".
    void setGauge(const std::string &name, double value);

    // observers
    /// @brief All metrics in the Prometheus text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter> &requests;
    prometheus::Family<prometheus::Counter> &attempts;
    prometheus::Family<prometheus::Counter> &events;
    prometheus::Counter &tokens;
    prometheus::Histogram &requestSeconds;
    prometheus::Family<prometheus::Gauge> &gauges;
};

} // namespace parsleyvane
