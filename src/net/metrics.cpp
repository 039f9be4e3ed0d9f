#include "parsleyvane/net/metrics.h"

#include <prometheus/text_serializer.h>
#include <sstream>

namespace parsleyvane {

namespace {

prometheus::Family<prometheus::Counter> &counters(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

/// Upper bounds in seconds, from a short answer to the longest stream.
const prometheus::Histogram::BucketBoundaries requestBuckets
    = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25};

} // namespace

Metrics::Metrics()
    : registry(std::make_shared<prometheus::Registry>())
    , requests(counters(*this->registry, "parsleyvane_requests_total", "Requests answered, by account, task, outcome"))
    , attempts(counters(*this->registry, "parsleyvane_attempts_total", "Attempts at upstreams, by outcome"))
    , events(counters(*this->registry, "parsleyvane_events_total", "Other events, by name"))
    , tokens(counters(*this->registry, "parsleyvane_tokens_total", "Generated tokens passed on").Add({}))
    , requestSeconds(prometheus::BuildHistogram()
                         .Name("parsleyvane_request_seconds")
                         .Help("From a request's last byte to the end of its answer")
                         .Register(*this->registry)
                         .Add({}, requestBuckets))
    , gauges(prometheus::BuildGauge()
                 .Name("parsleyvane_state")
                 .Help("State of the instance, by name")
                 .Register(*this->registry))
{
}

void Metrics::countRequest(const AccountId &account, const TaskName &task, std::string_view outcome)
{
    this->requests.Add({{"account", account.str()}, {"task", task.str()}, {"outcome", std::string(outcome)}})
        .Increment();
}

void Metrics::countAttempt(const UpstreamId &upstream, std::string_view outcome)
{
    this->attempts.Add({{"upstream", upstream.str()}, {"outcome", std::string(outcome)}}).Increment();
}

void Metrics::observeRequest(Milliseconds duration)
{
    constexpr double msPerSecond = 1000;
    this->requestSeconds.Observe(static_cast<double>(duration.count()) / msPerSecond);
}

void Metrics::countTokens(Tokens tokens)
{
    this->tokens.Increment(static_cast<double>(tokens.value()));
}

void Metrics::countEvent(const std::string &event)
{
    this->events.Add({{"event", event}}).Increment();
}

void Metrics::setGauge(const std::string &name, double value)
{
    this->gauges.Add({{"name", name}}).Set(value);
}

std::string Metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, this->registry->Collect());
    return out.str();
}

} // namespace parsleyvane
