#include "suite.h"

#include "platform/configurationcheck.h"
#include "platform/configurationdiff.h"
#include "platform/contracts.h"
#include "platform/headers.h"
#include "platform/names.h"
#include "platform/rows.h"

namespace parsleyvane {

namespace http = boost::beast::http;

namespace {

HttpRequest clientRequest()
{
    HttpRequest request(http::verb::post, "/a/b?c=d", 11);
    request.set(http::field::host, "a.example:80");
    request.set("X-Parsleyvane-Attempt-Id", "r-1");
    request.set("X-Parsleyvane-Deadline-Ms", "1500");
    request.set("X-Parsleyvane-Credential", "secret");
    request.set("X-Parsleyvane-Prompt-Prefix", "5c1e:800,91bd:410");
    request.set("X-Parsleyvane-Token-Counts", "1460,80");
    request.body() = "body";
    request.prepare_payload();
    return request;
}

TableRow row(const std::string &key, const std::string &value)
{
    return {.key = key, .version = 3, .value = value};
}

const std::string validUpstream
    = R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":6,"state":"ready","born":17})";

/// A configuration without findings.
const std::string checkedConfiguration
    = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"idempotent","timeout_ms":1500,)"
      R"("target_latency_ms":300,"max_attempts":2,"allowed_regions":["n"],"traffic_split":[)"
      R"({"service":"s","weight":90},{"service":"t","weight":10}]},)"
      R"({"name":"q","host":"h","prefix":"/q/","kind":"streaming","stream_resume":true,"service":"s","sizes":["m"]}],)"
      R"("services":[{"name":"s","cold_start_s":2,"cold_per_s":5},{"name":"t"}],"limits":{"idle_timeout_ms":9000},)"
      R"("tenants":[{"name":"acme","api_keys":["secret-1"],"allowed_regions":["n","w"]},)"
      R"({"name":"umbra","api_keys":["secret-2"]}]})";

std::string replaced(std::string text, const std::string &found, const std::string &replacement)
{
    const std::size_t at = text.find(found);
    CPPUNIT_ASSERT_MESSAGE(found, at != std::string::npos);
    return text.replace(at, found.size(), replacement);
}

std::string findingsOf(const std::string &text)
{
    LastReason reason;
    const auto findings = platform::checkConfiguration({"F", text}, reason);
    if (!findings) {
        return "unreadable " + reason.failure().detail + "\n";
    }
    std::string lines;
    for (const CheckFinding &finding : *findings) {
        lines += describe(finding) + "\n";
    }
    return lines;
}

/// A replacement in a configuration without findings, and the only finding that it must cause.
struct BrokenConfiguration
{
    const char *found;
    const char *replacement;
    const char *finding;
};

constexpr std::array brokenConfigurations = {
    BrokenConfiguration{"1500", "\"1500\"", "error F: routes[r] timeout_ms: is not a number"},
    BrokenConfiguration{"1500", "1e300", "error F: routes[r] timeout_ms: is not from 1.0 to 2592000000.0"},
    BrokenConfiguration{"\"max_attempts\":2", "\"max_attempts\":0",
                        "error F: routes[r] max_attempts: is not from 1.0 to 2147483647.0"},
    BrokenConfiguration{"[\"n\"]", "[5]", "error F: routes[r] allowed_regions: is not a list of texts"},
    BrokenConfiguration{"\"idempotent\"", "\"idempotant\"",
                        "error F: routes[r] kind: is unknown and read as non_idempotent"},
    BrokenConfiguration{"\"/p/\"", "\"/p\"",
                        "error F: routes[r] prefix: does not begin and end with '/', so the route never matches"},
    BrokenConfiguration{"\"/p/\"", "\"/q/\"",
                        "warning F: routes[r] prefix: is that of a later route of the same host, so this one never "
                        "matches"},
    BrokenConfiguration{",\"service\":\"s\",", ",", "error F: routes[q] service: is missing, so the route is ignored"},
    BrokenConfiguration{",\"service\":\"s\",", ",\"service\":\"u\",",
                        "warning F: routes[q] service: names 'u', which is not one of the services"},
    BrokenConfiguration{"{\"name\":\"t\"}", "{\"name\":\"t\"},{\"name\":\"u\"}",
                        "warning F: services[u]: is never used: no route names it"},
    BrokenConfiguration{"\"weight\":10", "\"weight\":0",
                        "warning F: routes[r].traffic_split[1] weight: is 0, so the service gets no requests of the "
                        "route"},
    BrokenConfiguration{"1500", "200", "warning F: routes[r] timeout_ms: is less than target_latency_ms"},
    BrokenConfiguration{"[\"m\"]", "[]",
                        "warning F: routes[q] sizes: is an empty list, which is read as no choice of models"},
    BrokenConfiguration{"[\"n\"]", "[\"e\"]",
                        "warning F: routes[r] allowed_regions: has no region in common with tenant 'acme'"},
    BrokenConfiguration{"[\"secret-2\"]", "[]",
                        "warning F: tenants[umbra] api_keys: has no key, so no client can use the tenant"},
    BrokenConfiguration{"secret-2", "secret-1",
                        "error F: tenants[umbra] api_keys[0]: is held by tenants[acme], too; only the last entry "
                        "counts"},
    BrokenConfiguration{",\"cold_per_s\":5", "",
                        "warning F: services[s] cold_start_s: and cold_per_s are not both greater than 0, so the "
                        "service has no cold phase"},
    BrokenConfiguration{"{\"idle_timeout_ms\":9000}", "[]", "error F: limits: is not an object and is ignored"},
    BrokenConfiguration{"\"weight\":90", "\"weight\":9,\"weight\":90",
                        "error F: routes[r].traffic_split[0] weight: is given twice; only the last value is read"},
    BrokenConfiguration{"{\"version\"", "{", "unreadable F: is no JSON object"},
};

} // namespace

class PlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(readsAClientRequest);
    CPPUNIT_TEST(refusesARequestWithoutId);
    CPPUNIT_TEST(refusesARepeatedKeyOrId);
    CPPUNIT_TEST(refusesAConnectionThatNamesAHeaderForUpstreams);
    CPPUNIT_TEST(forwardsMethodPathBodyAndIdUnchanged);
    CPPUNIT_TEST(doesNotForwardTheApiKey);
    CPPUNIT_TEST(removesHeadersReservedToTheSystem);
    CPPUNIT_TEST(removesHopByHopHeaders);
    CPPUNIT_TEST(readsTheLimitOfAnUpstream);
    CPPUNIT_TEST(readsThatAnUpstreamLeaves);
    CPPUNIT_TEST(readsHowLongAnUpstreamWantsNoRequests);
    CPPUNIT_TEST(readsAConfiguration);
    CPPUNIT_TEST(aStreamWithoutResumeRunsOnce);
    CPPUNIT_TEST(readsARollOutOrder);
    CPPUNIT_TEST(readsColdStartsRegionsAndEvacuations);
    CPPUNIT_TEST(onlyTheContractThatAsksForItChangesTheLoadSettings);
    CPPUNIT_TEST(unreadableColdTimesAreIgnoredAndReported);
    CPPUNIT_TEST(readsAnUpstream);
    CPPUNIT_TEST(refusesMalformedUpstreamRows);
    CPPUNIT_TEST(refusesAnUpstreamRowThatNamesNoUsableServer);
    CPPUNIT_TEST(deeplyNestedRowsAreRead);
    CPPUNIT_TEST(aWrittenStatusReadsBackEqual);
    CPPUNIT_TEST(arbitraryBytesDoNotCrashTheReaders);
    CPPUNIT_TEST(aValidConfigurationHasNoFindings);
    CPPUNIT_TEST(brokenConfigurationsAreExplained);
    CPPUNIT_TEST(findingsDoNotContainKeys);
    CPPUNIT_TEST(differencesOfConfigurationsAreOrderedByHarm);
    CPPUNIT_TEST(damagedConfigurationsGiveFindingsOrAReason);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsAClientRequest()
    {
        LastReason reason;
        const auto facts = platform::readRequest(clientRequest(), reason);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b"), facts->path);
        CPPUNIT_ASSERT_EQUAL(std::string("a.example"), facts->host);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), facts->apiKey);
        CPPUNIT_ASSERT(facts->timeout == Milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, facts->prompt.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{410}, facts->prompt.back().tokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1460}, facts->promptTokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{80}, facts->outputTokens);
    }

    void refusesARequestWithoutId()
    {
        HttpRequest request = clientRequest();
        request.erase("X-Parsleyvane-Attempt-Id");
        LastReason reason;
        CPPUNIT_ASSERT(!platform::readRequest(request, reason));
        CPPUNIT_ASSERT(reason.failure().id == ErrorId::MalformedRequest);
    }

    void refusesARepeatedKeyOrId()
    {
        for (const char *header : {"X-Parsleyvane-Credential", "X-Parsleyvane-Attempt-Id", "Host", "Session"}) {
            HttpRequest request = clientRequest();
            request.insert(header, "one");
            request.insert(header, "two");
            LastReason reason;
            CPPUNIT_ASSERT_MESSAGE(header, !platform::readRequest(request, reason));
        }
    }

    /// Guards against an upstream that runs a request without the client's model, session or id.
    void refusesAConnectionThatNamesAHeaderForUpstreams()
    {
        for (const std::string header :
             {"X-Parsleyvane-Attempt-Id", "X-Parsleyvane-Model", "X-Parsleyvane-Token-Counts",
              "X-Parsleyvane-Prompt-Prefix", "X-Parsleyvane-Deadline-Ms", "X-Parsleyvane-Credential", "Session",
              "Last-Event-Id"}) {
            HttpRequest request = clientRequest();
            request.insert(http::field::connection, "keep-alive");
            request.insert(http::field::connection, "X-Any, " + header);
            LastReason reason;
            CPPUNIT_ASSERT_MESSAGE(header, !platform::readRequest(request, reason));
            CPPUNIT_ASSERT_MESSAGE(header, reason.failure().id == ErrorId::MalformedRequest);
        }
    }

    void forwardsMethodPathBodyAndIdUnchanged()
    {
        const HttpRequest sent = platform::makeUpstreamRequest(
            clientRequest(),
            {.upstream = UpstreamId("u"), .account = AccountId("t"), .remainingTime = Milliseconds(900)});
        CPPUNIT_ASSERT(sent.method() == http::verb::post);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d"), std::string(sent.target()));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), sent.body());
        CPPUNIT_ASSERT_EQUAL(std::string("r-1"), std::string(sent["X-Parsleyvane-Attempt-Id"]));
        CPPUNIT_ASSERT_EQUAL(std::string("900"), std::string(sent["X-Parsleyvane-Deadline-Ms"]));
        CPPUNIT_ASSERT_EQUAL(std::string("u"), std::string(sent["X-Parsleyvane-Expect-Instance"]));
        CPPUNIT_ASSERT_EQUAL(std::string("t"), std::string(sent["X-Parsleyvane-Tenant"]));
        CPPUNIT_ASSERT_EQUAL(std::string("4"), std::string(sent[http::field::content_length]));
    }

    void doesNotForwardTheApiKey()
    {
        const HttpRequest sent = platform::makeUpstreamRequest(clientRequest(), {.upstream = UpstreamId("u")});
        for (const auto &header : sent) {
            CPPUNIT_ASSERT(header.value().find("secret") == boost::beast::string_view::npos);
        }
    }

    void removesHeadersReservedToTheSystem()
    {
        for (const char *header :
             {"X-Parsleyvane-Tenant", "x-parsleyvane-hold", "X-Parsleyvane-Pin-Ms", "X-Parsleyvane-Kv-Backup",
              "Kv-From", "KV-FETCH", "X-Parsleyvane-Request-Priority", "X-Parsleyvane-Expect-Version"}) {
            HttpRequest request = clientRequest();
            request.set(header, "forged");
            const HttpRequest sent = platform::makeUpstreamRequest(request, {.upstream = UpstreamId("u")});
            CPPUNIT_ASSERT_MESSAGE(header, sent[header] != "forged");
        }
    }

    void removesHopByHopHeaders()
    {
        HttpRequest request = clientRequest();
        request.set(http::field::connection, "close, X-Hop");
        request.set("X-Hop", "1");
        request.set("X-Kept", "1");
        const HttpRequest sent = platform::makeUpstreamRequest(request, {.upstream = UpstreamId("u")});
        CPPUNIT_ASSERT(sent.count("X-Hop") == 0);
        CPPUNIT_ASSERT(sent.count(http::field::connection) == 0);
        CPPUNIT_ASSERT(sent.count("X-Kept") == 1);
    }

    void readsTheLimitOfAnUpstream()
    {
        const auto limitOf = [](const char *value) {
            boost::beast::http::response_header<> head;
            head.set("Server-Limit", value);
            return platform::readAnswer(head).requestRate;
        };
        CPPUNIT_ASSERT(limitOf("2.5") == RequestRate{2.5});
        CPPUNIT_ASSERT(limitOf("0") == RequestRate{0});
        for (const char *value : {"", "-1", "inf", "nan", "2.5x", "many"}) {
            CPPUNIT_ASSERT(!limitOf(value));
        }
        CPPUNIT_ASSERT(!platform::readAnswer({}).requestRate);
    }

    void readsThatAnUpstreamLeaves()
    {
        const auto read = [](const std::string &value) {
            http::response_header<> head;
            head.set("Server-Leaving", value);
            return platform::readAnswer(head).isLeaving;
        };
        CPPUNIT_ASSERT(read("1"));
        for (const char *value : {"", "0", "-1", "10", "yes", "1 1"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !read(value));
        }
        CPPUNIT_ASSERT(!platform::readAnswer({}).isLeaving);
    }

    void readsHowLongAnUpstreamWantsNoRequests()
    {
        const auto read = [](const std::string &value, http::status status = http::status::service_unavailable) {
            http::response_header<> head;
            head.result(status);
            head.set(http::field::retry_after, value);
            return platform::readAnswer(head);
        };
        CPPUNIT_ASSERT(read("2").retryAfter == Milliseconds(2000));
        CPPUNIT_ASSERT(read("0.35").retryAfter == Milliseconds(350));
        CPPUNIT_ASSERT(read("0").retryAfter == Milliseconds(0));
        CPPUNIT_ASSERT(read("0.0001").retryAfter == Milliseconds(1));
        // A value that is cut sends requests to an upstream that wants none yet.
        CPPUNIT_ASSERT(read("90").retryAfter == Milliseconds(90000));
        CPPUNIT_ASSERT(read("86400").retryAfter == Milliseconds(86400000));
        CPPUNIT_ASSERT(read("1e300").retryAfter == Milliseconds(86400000));
        for (const char *value : {"", "-1", "soon", "nan", "inf", "1,5", "Wed, 21 Oct 2015 07:28:00 GMT"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !read(value).retryAfter && !read(value).isRetryAfterReadable);
        }
        // Only a refusal with 503 asks for no work.
        CPPUNIT_ASSERT(!read("2", http::status::ok).retryAfter);
        CPPUNIT_ASSERT(!platform::readAnswer({}).retryAfter && platform::readAnswer({}).isRetryAfterReadable);
    }

    void readsAConfiguration()
    {
        const std::string text
            = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"idempotent","timeout_ms":1500,
            "target_latency_ms":300,"priority":2,"max_attempts":2,"traffic_split":[{"service":"s","weight":90},
            {"service":"t","weight":10}]}],"services":[{"name":"s","max_connections":100}],
            "limits":{"idle_timeout_ms":9000},"tenants":[{"name":"acme","api_keys":["k"],"priority":0}]})";
        LastReason reason;
        const auto order = platform::readOrder(row("op/config", text), reason);
        const auto table = std::get<std::shared_ptr<const RouteTable>>(*order);
        CPPUNIT_ASSERT(table->revision() == Revision(7));
        const RouteRule *found = table->findRoute("h", "/p/x");
        CPPUNIT_ASSERT(found->repeat == Repeatability::Always);
        CPPUNIT_ASSERT_EQUAL(2U, found->maxAttempts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found->services.size());
        CPPUNIT_ASSERT(table->limits().idleTimeout == Milliseconds(9000));
        CPPUNIT_ASSERT(table->keysRequired());
        CPPUNIT_ASSERT_EQUAL(std::string("acme"), table->findTenant("k")->account.str());
        CPPUNIT_ASSERT(table->findTenant("x") == nullptr);
    }

    void aStreamWithoutResumeRunsOnce()
    {
        const auto repeatOf = [](const std::string &fields) {
            const std::string text
                = R"({"version":1,"routes":[{"host":"h","prefix":"/p/","service":"s",)" + fields + "}]}";
            LastReason reason;
            const auto order = platform::readOrder(row("op/config", text), reason);
            return std::get<std::shared_ptr<const RouteTable>>(*order)->findRoute("h", "/p/")->repeat;
        };
        CPPUNIT_ASSERT(repeatOf(R"("kind":"streaming")") == Repeatability::Once);
        CPPUNIT_ASSERT(repeatOf(R"("kind":"streaming","stream_resume":true)") == Repeatability::Resumable);
        CPPUNIT_ASSERT(repeatOf(R"("kind":"non_idempotent")") == Repeatability::Once);
        CPPUNIT_ASSERT(repeatOf(R"("kind":"unheard_of")") == Repeatability::Once);
    }

    void readsARollOutOrder()
    {
        LastReason reason;
        const auto order
            = platform::readOrder(row("op/rollout/s", R"({"service":"s","to":"v2","duration_s":12})"), reason);
        const auto rollout = std::get<RolloutOrder>(*order);
        CPPUNIT_ASSERT(rollout.duration == Milliseconds(12000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, rollout.number);
        CPPUNIT_ASSERT(!platform::readOrder(row("op/else", "{}"), reason));
    }

    void readsColdStartsRegionsAndEvacuations()
    {
        const std::string text = R"({"version":7,"routes":[{"host":"h","prefix":"/p/","service":"s",
            "allowed_regions":["north",5]}],"services":[{"name":"s","cold_start_s":3,"cold_per_s":7.8},
            {"name":"t","cold_start_s":"3","cold_per_s":-1},{"name":"v","cold_start_s":1e300,"cold_per_s":2},
            {"name":"w","cold_start_s":3,"cold_per_s":1e300},{"name":"x"},
            {"name":"y","cold_start_s":0,"cold_per_s":0}]})";
        LastReason reason;
        const auto order = platform::readOrder(row("op/config", text), reason);
        const auto table = std::get<std::shared_ptr<const RouteTable>>(*order);
        CPPUNIT_ASSERT(table->coldStart(ServiceName("s")) == (ColdStart{Milliseconds(3000), {7.8}}));
        CPPUNIT_ASSERT(table->coldStart(ServiceName("t")) == ColdStart());
        CPPUNIT_ASSERT(table->coldStart(ServiceName("v")) == ColdStart());
        CPPUNIT_ASSERT(table->coldStart(ServiceName("w")) == ColdStart());
        CPPUNIT_ASSERT(table->coldStart(ServiceName("x")) == ColdStart());
        CPPUNIT_ASSERT(
            (table->unreadableColdStarts() == std::vector{ServiceName("t"), ServiceName("v"), ServiceName("w")}));
        CPPUNIT_ASSERT(table->findRoute("h", "/p/")->allowedRegions == std::vector{RegionId("north")});
        const auto evacuation = platform::readOrder(row("op/evacuate/z", "{}"), reason);
        CPPUNIT_ASSERT(std::get<EvacuationOrder>(*evacuation).zone == ZoneId("z"));
        CPPUNIT_ASSERT(!platform::readEvacuatedZone("op/evacuate/") && !platform::readEvacuatedZone("op/config"));
    }

    // Guards against load settings that change where a deployment does not ask for them.
    void onlyTheContractThatAsksForItChangesTheLoadSettings()
    {
        InstanceSettings settings;
        settings.contracts = {"base", "places", "rollout"};
        const LoadSettings before = settings.load;
        platform::applyContracts(settings);
        CPPUNIT_ASSERT(settings.load == before);
        settings.contracts.emplace_back("pressure");
        platform::applyContracts(settings);
        CPPUNIT_ASSERT(settings.load.shared && settings.load.replicas == ReplicaRule::ByDemand);
        CPPUNIT_ASSERT(settings.load.firstModel == FirstModelRule::Learned);
        CPPUNIT_ASSERT(!settings.load.controlsAdmission && settings.hedging.maxShare == 0);
    }

    // Guards against ignoring an unreadable value without a report.
    void unreadableColdTimesAreIgnoredAndReported()
    {
        const auto read = [](const std::string &value) {
            LastReason reason;
            const std::string text = R"({"service":"s","address":"127.0.0.1:80","zone":"z","version":"v","slots":6,)"
                                     R"("state":"ready","cold_remaining_ms":)"
                + value + "}";
            return platform::readUpstream(row("servers/i-1", text), reason).value();
        };
        const auto readHead = [](const std::string &cold, const std::string &rate) {
            http::response_header<> head;
            head.set(std::string(platform::coldHeader), cold);
            head.set(std::string(platform::rateLimitHeader), rate);
            return platform::readAnswer(head);
        };
        CPPUNIT_ASSERT(read("1200").coldRemaining == Milliseconds(1200) && read("1200").isColdReadable);
        CPPUNIT_ASSERT(readHead("1200", "5").isColdReadable && readHead("1200", "5").isRateReadable);
        CPPUNIT_ASSERT(platform::readAnswer({}).isColdReadable && platform::readAnswer({}).isRateReadable);
        LastReason reason;
        CPPUNIT_ASSERT(platform::readUpstream(row("servers/i-1", validUpstream), reason)->isColdReadable);
        for (const char *value : {"-1", "1e300", "\"5\"", "null", "18446744073709551615", "[]"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !read(value).coldRemaining && !read(value).isColdReadable);
            CPPUNIT_ASSERT_MESSAGE(value, !readHead(value, "5").coldRemaining && !readHead(value, "5").isColdReadable);
        }
        for (const char *value : {"-1", "inf", "nan", "", "five"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !readHead("5", value).requestRate && !readHead("5", value).isRateReadable);
        }
    }

    void readsAnUpstream()
    {
        LastReason reason;
        const auto entry = platform::readUpstream(row("servers/i-1", validUpstream), reason);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), entry->id.str());
        CPPUNIT_ASSERT_EQUAL(6U, entry->slots);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{17}, entry->startedAtMs);
        CPPUNIT_ASSERT(!entry->draining);
    }

    void refusesMalformedUpstreamRows()
    {
        for (const char *text :
             {"", "[]", "{}", R"({"service":5})",
              R"({"service":"s","address":"a","zone":"z","version":"v","slots":"6","state":"ready"})",
              R"({"service":"s","address":"a","zone":"z","version":"v","slots":6,"state":"odd"})",
              R"({"service":"s","address":"a","zone":"z","version":"v","slots":6,"state":"ready","born":"x"})"}) {
            LastReason reason;
            CPPUNIT_ASSERT_MESSAGE(text, !platform::readUpstream(row("servers/i-1", text), reason));
            CPPUNIT_ASSERT(reason.failure().id == ErrorId::BadPeerData);
        }
    }

    void refusesAnUpstreamRowThatNamesNoUsableServer()
    {
        const auto upstream = [](const std::string &address, const std::string &slots, const std::string &born) {
            return R"({"service":"s","address":")" + address + R"(","zone":"z","version":"v","slots":)" + slots
                + R"(,"state":"ready","born":)" + born + "}";
        };
        LastReason reason;
        CPPUNIT_ASSERT(platform::readUpstream(row("servers/i-1", upstream("10.0.0.1:80", "6", "17")), reason));
        for (const std::string &text : {
                 upstream("10.0.0.1:65536", "6", "17"),
                 upstream("10.0.0.1:99999999999999999999", "6", "17"),
                 upstream("10.0.0.1:0", "6", "17"),
                 upstream("10.0.0.1:-1", "6", "17"),
                 upstream("10.0.0.1", "6", "17"),
                 upstream("10.0.0.1:80", "4294967296", "17"),
                 upstream("10.0.0.1:80", "18446744073709551615", "17"),
                 upstream("10.0.0.1:80", "18446744073709551616", "17"),
                 upstream("10.0.0.1:80", "1e400", "17"),
                 upstream("10.0.0.1:80", "0", "17"),
                 upstream("10.0.0.1:80", "6", "18446744073709551615"),
                 upstream("10.0.0.1:80", "6", "1e300"),
             }) {
            CPPUNIT_ASSERT_MESSAGE(text, !platform::readUpstream(row("servers/i-1", text), reason));
            CPPUNIT_ASSERT(reason.failure().id == ErrorId::BadPeerData);
        }
    }

    void deeplyNestedRowsAreRead()
    {
        constexpr std::size_t depth = 2000000;
        const std::string nested = std::string(depth, '[') + std::string(depth, ']');
        LastReason reason;
        CPPUNIT_ASSERT(!platform::readUpstream(row("servers/i-1", nested), reason));
        CPPUNIT_ASSERT(!platform::readUpstream(row("servers/i-1", std::string(depth, '[')), reason));
        const std::string text = validUpstream.substr(0, validUpstream.size() - 1) + R"(,"more":)" + nested + "}";
        CPPUNIT_ASSERT(platform::readUpstream(row("servers/i-1", text), reason));
    }

    void aWrittenStatusReadsBackEqual()
    {
        for (const RolloutState state : {RolloutState::Running, RolloutState::Completed, RolloutState::RolledBack}) {
            const RolloutStatus status{ServiceName("s"), VersionName("v2"), state, 9, Milliseconds(1234)};
            const auto [key, text] = platform::writeStatus(status);
            LastReason reason;
            CPPUNIT_ASSERT(platform::readStatus(row("status/" + key, text), reason) == status);
        }
    }

    void arbitraryBytesDoNotCrashTheReaders()
    {
        test::property("arbitrary bytes do not crash the readers", []() {
            const auto text = *rc::gen::arbitrary<std::string>();
            LastReason reason;
            platform::readUpstream(row("servers/x", text), reason);
            platform::readOrder(row("op/config", text), reason);
            platform::readStatus(row("status/rollout/x", text), reason);
        });
    }

    /// Guards against false alarms, which would make the exit code useless in scripts.
    void aValidConfigurationHasNoFindings()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), findingsOf(checkedConfiguration));
        CPPUNIT_ASSERT(platform::isConfiguration(checkedConfiguration));
        CPPUNIT_ASSERT(!platform::isConfiguration(R"({"accounts":[],"versions":[]})"));
    }

    /// Guards against a mistake that passes silently, or whose message names another entry or field.
    void brokenConfigurationsAreExplained()
    {
        for (const BrokenConfiguration &broken : brokenConfigurations) {
            CPPUNIT_ASSERT_EQUAL(std::string(broken.finding) + "\n",
                                 findingsOf(replaced(checkedConfiguration, broken.found, broken.replacement)));
        }
    }

    /// Guards against keys of clients in logs of scripts.
    void findingsDoNotContainKeys()
    {
        const std::string twice = replaced(checkedConfiguration, "secret-2", "secret-1");
        CPPUNIT_ASSERT(findingsOf(twice).find("secret") == std::string::npos);
    }

    /// Guards against a removal that is overlooked below additions, and against keys in the output.
    void differencesOfConfigurationsAreOrderedByHarm()
    {
        std::string after = replaced(checkedConfiguration, "\"max_attempts\":2,\"allowed_regions\":[\"n\"]",
                                     "\"allowed_regions\":[\"n\",\"w\"]");
        after = replaced(after, "\"weight\":10", "\"weight\":0");
        after = replaced(after, "\"secret-2\"", "\"secret-3\"");
        after = replaced(after, "300", "400");
        LastReason reason;
        std::string lines;
        const auto findings = platform::compareConfigurations({"old", checkedConfiguration}, {"F", after}, reason);
        CPPUNIT_ASSERT(findings);
        for (const CheckFinding &finding : *findings) {
            lines += describe(finding) + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string("warning F: routes[r] service: removed: share of 't': 0.1 -> 0.0\n"
                                         "warning F: tenants[umbra] api_keys: removed: 1 of them\n"
                                         "warning F: routes[r] max_attempts: narrowed: 2 -> 1\n"
                                         "warning F: routes[r] target_latency_ms: replaced: 300 -> 400\n"
                                         "note F: routes[r] allowed_regions: widened: [\"n\"] -> [\"n\",\"w\"]\n"
                                         "note F: routes[r] service: widened: share of 's': 0.9 -> 1.0\n"
                                         "note F: tenants[umbra] api_keys: added: 1 of them\n"),
                             lines);
    }

    /// Guards against files that end the process, and against numbers out of range that reach the decoder.
    void damagedConfigurationsGiveFindingsOrAReason()
    {
        const std::vector<std::string> tokens
            = {"{", "}", "[", "]", ",", "null", "-1", "1e300", "1e18", "\"\"", "{}", "\xff", std::string(1000, '[')};
        test::property("a damaged configuration gives findings or a reason", [&] {
            std::string text = checkedConfiguration;
            const int damages = *rc::gen::inRange(1, 5);
            for (int damage = 0; damage < damages; ++damage) {
                const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
                text.replace(at, *rc::gen::inRange<std::size_t>(0, 20), *rc::gen::elementOf(tokens));
            }
            LastReason reason;
            const auto findings = platform::checkConfiguration({"F", text}, reason);
            RC_ASSERT(findings || !reason.failure().detail.empty());
            LastReason diffReason;
            const bool isCompared
                = platform::compareConfigurations({"old", text}, {"F", checkedConfiguration}, diffReason).has_value()
                && platform::compareConfigurations({"old", checkedConfiguration}, {"F", text}, diffReason).has_value();
            RC_ASSERT(isCompared || !diffReason.failure().detail.empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);

} // namespace parsleyvane
