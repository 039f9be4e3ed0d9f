#include "httpserver.h"
#include "recorder.h"
#include "target.h"

#include <absl/flags/flag.h>

namespace parsleyvane::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

struct ServiceFaults
{
    bool refuse = false;
    bool resetBefore = false;
    bool resetAfter = false;
    bool silentAfterFirstByte = false;
    std::int64_t delayMs = 0;
};

} // namespace

/// @brief A plain service that applies every operation it receives, without deduplication.
class Service
{
public:
    explicit Service(const std::string &recordPath)
        : recorder(recordPath)
    {
    }

    asio::awaitable<void> serve(Connection &connection, const Request &request)
    {
        const Target target = parseTarget(request.target());
        const auto operation = afterPrefix(target.path, "/operations/");
        if (operation && request.method() == http::verb::post) {
            co_await this->operate(connection, request, *operation);
            co_return;
        }
        Reply reply = this->control(request, target);
        co_await connection.send(std::move(reply));
    }

private:
    Reply control(const Request &request, const Target &target)
    {
        if (target.path == "/record") {
            return {.body = this->recorder.json()};
        }
        if (target.path != "/faults" || request.method() != http::verb::post) {
            return unknownPath();
        }
        return faultsReply(request,
                           {{"refuse", &this->faults.refuse},
                            {"resetBefore", &this->faults.resetBefore},
                            {"resetAfter", &this->faults.resetAfter},
                            {"silentAfterFirstByte", &this->faults.silentAfterFirstByte},
                            {"delayMs", &this->faults.delayMs}});
    }

    asio::awaitable<void> operate(Connection &connection, const Request &request, const std::string &operation)
    {
        const ServiceFaults current = this->faults;
        if (current.delayMs > 0) {
            co_await waitFor(std::chrono::milliseconds(current.delayMs));
        }
        if (current.resetBefore) {
            connection.reset();
            co_return;
        }
        Reply reply = current.refuse ? this->refuse() : this->apply(request, operation);
        if (current.resetAfter) {
            connection.reset();
            co_return;
        }
        if (current.silentAfterFirstByte) {
            std::string firstByte = "H";
            co_await connection.sendBytes(std::move(firstByte));
            co_await connection.holdSilent();
            co_return;
        }
        co_await connection.send(std::move(reply));
    }

    Reply refuse() const
    {
        constexpr unsigned unavailable = 503;
        return jsonReply(unavailable, {{"ran", false}, {"reason", "refused"}});
    }

    Reply apply(const Request &request, const std::string &operation)
    {
        const Json body = Json::parse(request.body());
        ++this->applied;
        this->recorder.add({{"type", "applied"},
                            {"operation", operation},
                            {"key", std::string(request["Idempotency-Key"])},
                            {"attempt", std::string(request["Parsleyvane-Attempt"])},
                            {"request", std::string(request["Parsleyvane-Request"])},
                            {"account", std::string(request["Parsleyvane-Account"])},
                            {"body", body}});
        return jsonReply(200, {{"result", {{"operation", operation}, {"applied", this->applied}}}});
    }

    Recorder recorder;
    ServiceFaults faults;
    std::uint64_t applied = 0;
};

} // namespace parsleyvane::standins

int main(int argc, char **argv)
{
    using namespace parsleyvane::standins;
    parseCommandLine(argc, argv, "A plain service for tests: applies every operation that it is given.");
    Service service(absl::GetFlag(FLAGS_record));
    const Handler handler = [&service](Connection &connection, const Request &request) {
        return service.serve(connection, request);
    };
    return runServer("standin-service", handler);
}
