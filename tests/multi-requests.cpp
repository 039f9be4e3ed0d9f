#include "suite.h"

#include "rawmessage.h"

#include "parsleyvane/net/endpoint.h"

#include "rig/scenario.h"

#include <boost/asio.hpp>

namespace parsleyvane::rig {

namespace {

namespace asio = boost::asio;

using test::MessageChange;
using test::RawMessage;

/// A request to a path of the chat front. Without credentials no engine runs it.
RawMessage soundRequest()
{
    RawMessage request = test::rawRequest({"Content-Type: application/json"}, "{}");
    request.startLine = "POST /v1/chat/completions HTTP/1.1";
    return request;
}

const std::string nextRequest = "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/// Sends the bytes on one connection. @return what is received until the other side closes it; nothing if it stays open
std::optional<std::string> sendRaw(const std::string &address, const std::string &bytes)
{
    constexpr std::chrono::seconds bound(3);
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    LastReason reason;
    socket.connect(parseEndpoint(address, reason).value());
    asio::write(socket, asio::buffer(bytes));
    std::string answer;
    bool isClosed = false;
    asio::async_read(socket, asio::dynamic_buffer(answer), [&](const boost::system::error_code &error, std::size_t) {
        isClosed = error == asio::error::eof;
    });
    io.run_for(bound);
    return isClosed ? std::optional(answer) : std::nullopt;
}

std::size_t answersIn(const std::string &received)
{
    const std::string statusLine = "HTTP/1.1 ";
    std::size_t count = 0;
    for (std::size_t at = received.find(statusLine); at != std::string::npos; at = received.find(statusLine, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

/// The listeners of the chat front judge requests by the rule of the ingress front.
class RequestsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestsTest);
    CPPUNIT_TEST(listenersRefuseMalformedRequestsOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a listener that reads the bytes after a malformed head as a request.
    void listenersRefuseMalformedRequestsOnly()
    {
        Scenario scenario({.name = "requests", .instances = 1, .engines = 1});
        const Member &instance = scenario.fleet.instance(0);
        for (const std::string &listener : {instance.address, instance.operators}) {
            for (const auto &changes : {test::unsupportedCodings(), test::malformedRequestLines(),
                                        test::malformedFields(), test::malformedFraming(), test::hostsOfOneConnection(),
                                        test::malformedHosts(), test::foldedFields()}) {
                for (const MessageChange &change : changes) {
                    this->expectRefused(listener, change);
                }
            }
            for (const MessageChange &change : test::unusualRequests()) {
                this->expectAnswered(listener, change);
            }
        }
    }

private:
    void expectRefused(const std::string &listener, const MessageChange &change)
    {
        const auto received = sendRaw(listener, change.changed(soundRequest()) + nextRequest);
        const std::string what = change.name + ": " + received.value_or("not closed");
        CPPUNIT_ASSERT_MESSAGE(what, received && received->starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{1}, answersIn(*received));
        CPPUNIT_ASSERT_MESSAGE(what, received->find("malformed-request") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(what, received->find(R"("run":"not_run")") != std::string::npos);
    }

    void expectAnswered(const std::string &listener, const MessageChange &change)
    {
        const auto received = sendRaw(listener, change.changed(soundRequest()) + nextRequest);
        const std::string what = change.name + ": " + received.value_or("not closed");
        CPPUNIT_ASSERT_MESSAGE(what, received && answersIn(*received) == 2);
        CPPUNIT_ASSERT_MESSAGE(what, received->find("malformed-request") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestsTest);

} // namespace parsleyvane::rig
