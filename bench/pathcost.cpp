/**
 * @file
 * @brief Measures the overhead of an instance on loopback: time to first token and CPU time per streamed token.
 *
 * One instance, one engine. The same prompts are sent alternately to the engine directly and through the instance.
 * Wall-clock measurements are reported without failing the run.
 */
#include "parsleyvane/net/blockingclient.h"
#include "rig/scenario.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <numeric>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace parsleyvane::rig {

namespace {

using Clock = std::chrono::steady_clock;

constexpr unsigned firstTokenSamples = 200;
constexpr unsigned streamsAtOnce = 8;
constexpr std::array<unsigned, 3> tokenCounts = {400, 800, 1600};
constexpr unsigned tokenDelayUs = 500;

double millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

std::string promptOfTokens(unsigned tokens, unsigned number)
{
    return "[[tokens=" + std::to_string(tokens) + "]] summary number " + std::to_string(number);
}

/// Time in ms to the first chunk of the response body.
double firstPieceMs(const std::string &address, const HttpRequest &request)
{
    double first = -1;
    LastReason reason;
    const Clock::time_point start = Clock::now();
    const auto onPiece = [&](const std::string &) {
        if (first < 0) {
            first = millisecondsSince(start);
        }
        return true;
    };
    if (!blockingStream(address, request, onPiece, reason)) {
        throw std::runtime_error(describe(reason.failure()));
    }
    return first;
}

HttpRequest directRequest(const std::string &prompt)
{
    const nlohmann::json body{{"attempt", "bench"}, {"request", "bench"}, {"account", "bench"}, {"model", "wattle"},
                              {"version", "3"},     {"prompt", prompt},   {"maxTokens", 2000},  {"priority", 1},
                              {"offset", 0},        {"prefix", ""}};
    return makeRequest(boost::beast::http::verb::post, "/generate", body.dump());
}

HttpRequest routedRequest(const Ask &ask)
{
    const nlohmann::json message{{"role", "user"}, {"content", ask.body}};
    const nlohmann::json body{{"messages", nlohmann::json::array({message})}, {"stream", true}};
    HttpRequest request = makeRequest(boost::beast::http::verb::post, "/v1/chat/completions", body.dump());
    request.set("Authorization", "Bearer " + ask.apiKey);
    request.set("Parsleyvane-Task", ask.task);
    return request;
}

double median(std::vector<double> samples)
{
    std::sort(samples.begin(), samples.end());
    return samples.at(samples.size() / 2);
}

/// User plus system CPU time of a process, in microseconds.
double processorUs(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int fieldsBeforeTimes = 11;
    for (int i = 0; i < fieldsBeforeTimes; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    constexpr double microseconds = 1e6;
    return (user + system) * microseconds / static_cast<double>(sysconf(_SC_CLK_TCK));
}

long residentKb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    constexpr long bytesPerKb = 1024;
    return resident * sysconf(_SC_PAGESIZE) / bytesPerKb;
}

/// Runs concurrent streams of the given length; returns the CPU time of the instance in microseconds.
double costOfTokens(Scenario &scenario, unsigned tokens)
{
    const Member &instance = scenario.fleet.instance(0);
    const double before = processorUs(instance.process->id());
    std::vector<std::thread> streams;
    for (unsigned i = 0; i < streamsAtOnce; ++i) {
        streams.emplace_back([&, i]() {
            const Ask ask = scenario.ask("long", promptOfTokens(tokens, i));
            firstPieceMs(instance.address, routedRequest(ask));
        });
    }
    for (std::thread &stream : streams) {
        stream.join();
    }
    return processorUs(instance.process->id()) - before;
}

void report(const char *name, double value, const char *unit, const char *target, bool met)
{
    std::printf("%s %.2f %s %s %s\n", name, value, unit, target, met ? "within" : "past");
}

void measureFirstToken(Scenario &scenario)
{
    std::vector<double> direct;
    std::vector<double> routed;
    for (unsigned i = 0; i < firstTokenSamples; ++i) {
        const Ask ask = scenario.ask("ask", promptOfTokens(4, i));
        direct.push_back(firstPieceMs(scenario.fleet.engine(0).address, directRequest(promptOf(ask))));
        routed.push_back(firstPieceMs(scenario.fleet.instance(0).address, routedRequest(ask)));
    }
    constexpr double targetMs = 1.0;
    const double added = median(routed) - median(direct);
    report("first-token-direct-median", median(direct), "ms", "-", true);
    report("first-token-routed-median", median(routed), "ms", "-", true);
    report("first-token-added-median", added, "ms", "<1.0", added < targetMs);
}

void measureTokens(Scenario &scenario)
{
    std::vector<double> costs;
    for (const unsigned tokens : tokenCounts) {
        costs.push_back(costOfTokens(scenario, tokens));
        std::printf("processor-time-of-%u-streams-of-%u-tokens %.0f us - -\n", streamsAtOnce, tokens, costs.back());
    }
    const double tokens = streamsAtOnce * static_cast<double>(tokenCounts.back() - tokenCounts.front());
    const double slope = (costs.back() - costs.front()) / tokens;
    constexpr double targetUs = 10;
    report("processor-time-per-token-slope", slope, "us", "<10", slope < targetUs);
}

/// The value of a gauge in an instance's metrics.
double gauge(const Member &instance, const std::string &name)
{
    LastReason reason;
    const auto request = makeRequest(boost::beast::http::verb::get, "/metrics");
    const auto response = blockingCall(instance.operators, request, reason);
    const std::string label = "name=\"" + name + "\"} ";
    const std::size_t at = response ? response->body().find(label) : std::string::npos;
    return at == std::string::npos ? -1 : std::stod(response->body().substr(at + label.size()));
}

/// Measures the cost of the control traffic in each of seven instances without client requests.
void measureIdleFleet()
{
    constexpr unsigned instances = 7;
    constexpr std::chrono::seconds idle{10};
    Scenario scenario({.name = "bench-idle", .instances = instances, .engines = 4});
    double processor = 0;
    double bytes = 0;
    for (unsigned i = 0; i < instances; ++i) {
        processor -= processorUs(scenario.fleet.instance(i).process->id());
        bytes -= gauge(scenario.fleet.instance(i), "control_bytes_sent");
    }
    std::this_thread::sleep_for(idle);
    for (unsigned i = 0; i < instances; ++i) {
        processor += processorUs(scenario.fleet.instance(i).process->id());
        bytes += gauge(scenario.fleet.instance(i), "control_bytes_sent");
    }
    constexpr double percentPerUs = 100.0 / 1e6;
    constexpr double targetPercent = 2.4;
    constexpr double targetBytes = 2000;
    const double seconds = static_cast<double>(idle.count()) * instances;
    const double percent = processor * percentPerUs / seconds;
    report("idle-of-7-processor", percent, "%", "<2.4", percent < targetPercent);
    report("idle-of-7-control-bytes-sent", bytes / seconds, "B/s", "<2000", bytes / seconds < targetBytes);
}

int run()
{
    measureIdleFleet();
    Scenario scenario({.name = "bench-path", .instances = 1, .engines = 1, .tokenDelayUs = tokenDelayUs});
    const pid_t pid = scenario.fleet.instance(0).process->id();
    constexpr double targetMb = 64;
    constexpr double kbPerMb = 1024;
    const double idleMb = static_cast<double>(residentKb(pid)) / kbPerMb;
    report("idle-resident", idleMb, "MB", "<64", idleMb < targetMb);
    measureFirstToken(scenario);
    measureTokens(scenario);
    report("resident-after", static_cast<double>(residentKb(pid)) / kbPerMb, "MB", "-", true);
    return 0;
}

} // namespace

} // namespace parsleyvane::rig

int main()
{
    return parsleyvane::rig::run();
}
