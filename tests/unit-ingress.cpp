#include "suite.h"

#include "parsleyvane/ingress/eventsplitter.h"
#include "parsleyvane/ingress/fleetreport.h"
#include "parsleyvane/ingress/repeatbudget.h"
#include "parsleyvane/ingress/routetable.h"
#include "parsleyvane/ingress/sizechoice.h"
#include "parsleyvane/ingress/upstreamchoice.h"
#include "parsleyvane/ingress/upstreamlist.h"
#include "parsleyvane/membership/rendezvous.h"

#include <limits>

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds{1000000}};

RouteRule route(const std::string &prefix, std::vector<ServiceShare> services)
{
    return {.name = RouteName(prefix), .host = "a.example", .prefix = prefix, .services = std::move(services)};
}

UpstreamEntry entry(const std::string &id, const std::string &zone = "a")
{
    return {.id = UpstreamId(id),
            .service = ServiceName("s"),
            .address = "127.0.0.1:9",
            .zone = ZoneId(zone),
            .version = VersionName("v1"),
            .slots = 8,
            .startedAtMs = 1};
}

/// The ids of the upstreams that may get requests.
std::string usableOf(const UpstreamList &list)
{
    std::string ids;
    list.forEachUsable(ServiceName("s"),
                       [&](const RegisteredUpstream &upstream) { ids.append(upstream.entry.id.str()).append(" "); });
    return ids;
}

UpstreamRequirements question()
{
    return {.service = ServiceName("s"), .zone = ZoneId("a")};
}

} // namespace

class IngressTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IngressTest);
    CPPUNIT_TEST(theRouteWithTheLongestMatchingPrefixIsFound);
    CPPUNIT_TEST(servicesAreChosenByWeight);
    CPPUNIT_TEST(theHighestHashChoosesTheLastService);
    CPPUNIT_TEST(aRouteWithoutServiceIsIgnored);
    CPPUNIT_TEST(anEntryThatLapsesAfterAStoreOutageIsKeptForTheGracePeriod);
    CPPUNIT_TEST(anEntryThatIsRemovedWithoutAStoreOutageIsRemovedAtOnce);
    CPPUNIT_TEST(aFewEntriesThatLapseAfterAStoreOutageAreNotUsed);
    CPPUNIT_TEST(mostEntriesThatLapseInAStoreOutageAreUsed);
    CPPUNIT_TEST(aDrainingEntryThatLapsesDuringAStoreOutageIsRemovedAtOnce);
    CPPUNIT_TEST(aRestartedUpstreamIsAvailableAtOnce);
    CPPUNIT_TEST(theOutcomeOfAnAttemptAtAReplacedProcessIsIgnored);
    CPPUNIT_TEST(theEndOfAnAttemptAtAReplacedProcessIsNotCounted);
    CPPUNIT_TEST(anEntryThatReturnsKeepsItsAttemptsInFlight);
    CPPUNIT_TEST(anUpstreamThatReportedDrainingIsNotChosen);
    CPPUNIT_TEST(anUpstreamThatFailedIsChosenLast);
    CPPUNIT_TEST(anUpstreamThatWasTriedIsChosenLast);
    CPPUNIT_TEST(instancesAgreeOnTheReplicasOfALongPrefix);
    CPPUNIT_TEST(aPrefixHasMoreReplicasInALargerFleet);
    CPPUNIT_TEST(anOverloadedReplicaIsSkipped);
    CPPUNIT_TEST(aPreferredUpstreamIsChosenUnlessItFailed);
    CPPUNIT_TEST(aFullUpstreamIsNotSampledWhileAnotherHasASlot);
    CPPUNIT_TEST(onlySampledUpstreamsAreAskedForTheirLoad);
    CPPUNIT_TEST(aLoadedZoneSendsToTheOthers);
    CPPUNIT_TEST(anUpstreamWhoseLimitIsReachedIsNotChosen);
    CPPUNIT_TEST(retriesStayWithinTheBudgetInEveryWindow);
    CPPUNIT_TEST(onlyCompleteEventsAreReturned);
    CPPUNIT_TEST(eventsDoNotDependOnHowTheInputIsSplit);
    CPPUNIT_TEST(lowConfidenceEscalatesToTheLargestModel);
    CPPUNIT_TEST(highLoadLowersTheMinimumConfidence);
    CPPUNIT_TEST(answersOfTheLargestModelAreAlwaysAccepted);
    CPPUNIT_TEST(aSingleAttemptGoesToTheLargestModel);
    CPPUNIT_TEST(reportsRoundTripThroughJson);
    CPPUNIT_TEST(malformedReportsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void theRouteWithTheLongestMatchingPrefixIsFound()
    {
        RouteTable table{Revision(1)};
        table.addRoute(route("/a/", {{ServiceName("one"), 1}}));
        table.addRoute(route("/a/b/", {{ServiceName("two"), 1}}));
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), table.findRoute("a.example", "/a/b/c")->prefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"), table.findRoute("a.example", "/a/bc")->prefix);
        CPPUNIT_ASSERT(table.findRoute("a.example", "/b/") == nullptr);
        CPPUNIT_ASSERT(table.findRoute("b.example", "/a/") == nullptr);
        CPPUNIT_ASSERT(table.findRoute("a.example", "") == nullptr);
    }

    void servicesAreChosenByWeight()
    {
        const RouteRule split = route("/a/", {{ServiceName("one"), 90}, {ServiceName("two"), 10}});
        CPPUNIT_ASSERT_EQUAL(std::string("one"), RouteTable::chooseService(split, 0.89).str());
        CPPUNIT_ASSERT_EQUAL(std::string("two"), RouteTable::chooseService(split, 0.91).str());
    }

    // Guards against a request whose hash rounds to 1.0 and which therefore gets the first service, whatever its
    // weight.
    void theHighestHashChoosesTheLastService()
    {
        const RouteRule split = route("/a/", {{ServiceName("one"), 90}, {ServiceName("two"), 10}});
        const double sample = unitInterval(std::numeric_limits<std::uint64_t>::max());
        CPPUNIT_ASSERT(sample < 1);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), RouteTable::chooseService(split, sample).str());
        CPPUNIT_ASSERT_EQUAL(0.0, unitInterval(0));
        CPPUNIT_ASSERT_EQUAL(0.5, unitInterval(std::uint64_t{1} << 63U));
    }

    void aRouteWithoutServiceIsIgnored()
    {
        RouteTable table{Revision(1)};
        table.addRoute(route("/a/", {}));
        CPPUNIT_ASSERT(table.findRoute("a.example", "/a/") == nullptr);
    }

    void anEntryThatLapsesAfterAStoreOutageIsKeptForTheGracePeriod()
    {
        UpstreamList list;
        list.update(entry("u"));
        list.onStoreUnreachable();
        list.onStoreReachable(start + Milliseconds(8000));
        CPPUNIT_ASSERT_EQUAL(std::string("lapsed"), list.remove(UpstreamId("u"), start + Milliseconds(8100)));
        CPPUNIT_ASSERT(list.expire(start + Milliseconds(9900)).empty());
        CPPUNIT_ASSERT(list.find(UpstreamId("u")) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list.expire(start + Milliseconds(10300)).size());
        CPPUNIT_ASSERT(list.find(UpstreamId("u")) == nullptr);
    }

    void anEntryThatIsRemovedWithoutAStoreOutageIsRemovedAtOnce()
    {
        UpstreamList list;
        list.update(entry("u"));
        CPPUNIT_ASSERT_EQUAL(std::string("removed"), list.remove(UpstreamId("u"), start));
        CPPUNIT_ASSERT(list.find(UpstreamId("u")) == nullptr);
    }

    /// Guards against taking the loss of this instance's own path for an outage of the store: requests would reach an
    /// upstream that has left.
    void aFewEntriesThatLapseAfterAStoreOutageAreNotUsed()
    {
        UpstreamList list;
        for (const char *id : {"u", "v", "w"}) {
            list.update(entry(id));
        }
        list.onStoreUnreachable();
        list.remove(UpstreamId("u"), start);
        list.onStoreReachable(start);
        CPPUNIT_ASSERT_EQUAL(std::string("v w "), usableOf(list));
        list.update(entry("u"));
        CPPUNIT_ASSERT_EQUAL(std::string("u v w "), usableOf(list));
        CPPUNIT_ASSERT_EQUAL(std::string("lapsed"), list.remove(UpstreamId("v"), start + Milliseconds(500)));
        CPPUNIT_ASSERT_EQUAL(std::string("u w "), usableOf(list));
    }

    /// Without them there would be nobody to send requests to.
    void mostEntriesThatLapseInAStoreOutageAreUsed()
    {
        UpstreamList list;
        for (const char *id : {"u", "v", "w"}) {
            list.update(entry(id));
        }
        list.onStoreUnreachable();
        list.remove(UpstreamId("u"), start);
        list.remove(UpstreamId("v"), start);
        list.onStoreReachable(start);
        CPPUNIT_ASSERT_EQUAL(std::string("u v w "), usableOf(list));
        list.update(entry("v"));
        CPPUNIT_ASSERT_EQUAL(std::string("v w "), usableOf(list));
    }

    void aDrainingEntryThatLapsesDuringAStoreOutageIsRemovedAtOnce()
    {
        UpstreamList list;
        UpstreamEntry drainingEntry = entry("u");
        drainingEntry.draining = true;
        list.update(drainingEntry);
        list.onStoreUnreachable();
        CPPUNIT_ASSERT_EQUAL(std::string("removed"), list.remove(UpstreamId("u"), start));
    }

    void aRestartedUpstreamIsAvailableAtOnce()
    {
        UpstreamList list;
        list.update(entry("u"));
        list.recordOutcome(entry("u"), UpstreamOutcome::Lost, start);
        list.recordOutcome(entry("u"), UpstreamOutcome::ReportedDraining, start);
        UpstreamEntry restarted = entry("u");
        restarted.startedAtMs = 2;
        list.update(restarted);
        CPPUNIT_ASSERT(!list.find(UpstreamId("u"))->reportedDraining);
        CPPUNIT_ASSERT(list.find(UpstreamId("u"))->avoidUntil <= start);
    }

    void theOutcomeOfAnAttemptAtAReplacedProcessIsIgnored()
    {
        UpstreamList list;
        list.update(entry("u"));
        UpstreamEntry restarted = entry("u");
        restarted.startedAtMs = 2;
        list.update(restarted);
        list.recordOutcome(entry("u"), UpstreamOutcome::Lost, start);
        list.recordOutcome(entry("u"), UpstreamOutcome::ReportedDraining, start);
        CPPUNIT_ASSERT(!list.find(UpstreamId("u"))->reportedDraining);
        CPPUNIT_ASSERT(list.find(UpstreamId("u"))->avoidUntil <= start);
    }

    void theEndOfAnAttemptAtAReplacedProcessIsNotCounted()
    {
        UpstreamList list;
        list.update(entry("u"));
        list.begin(entry("u"));
        list.remove(UpstreamId("u"), start);
        UpstreamEntry restarted = entry("u");
        restarted.startedAtMs = 2;
        list.update(restarted);
        list.begin(restarted);
        list.end(entry("u"));
        CPPUNIT_ASSERT_EQUAL(1U, list.find(UpstreamId("u"))->running);
    }

    void anEntryThatReturnsKeepsItsAttemptsInFlight()
    {
        UpstreamList list;
        list.update(entry("u"));
        list.begin(entry("u"));
        list.remove(UpstreamId("u"), start);
        list.update(entry("u"));
        CPPUNIT_ASSERT_EQUAL(1U, list.find(UpstreamId("u"))->running);
    }

    void anUpstreamThatReportedDrainingIsNotChosen()
    {
        UpstreamList list;
        std::mt19937_64 random(1);
        list.update(entry("u"));
        list.recordOutcome(entry("u"), UpstreamOutcome::ReportedDraining, start);
        CPPUNIT_ASSERT(!chooseUpstream(list, question(), start, random));
    }

    void anUpstreamThatFailedIsChosenLast()
    {
        UpstreamList list;
        std::mt19937_64 random(1);
        list.update(entry("bad"));
        list.update(entry("good", "far"));
        list.recordOutcome(entry("bad"), UpstreamOutcome::Unreachable, start);
        CPPUNIT_ASSERT_EQUAL(std::string("good"), chooseUpstream(list, question(), start, random)->id.str());
        const TimePoint later = start + Milliseconds(600);
        CPPUNIT_ASSERT_EQUAL(std::string("bad"), chooseUpstream(list, question(), later, random)->id.str());
    }

    void anUpstreamThatWasTriedIsChosenLast()
    {
        UpstreamList list;
        std::mt19937_64 random(1);
        list.update(entry("one"));
        list.update(entry("two", "far"));
        UpstreamRequirements retry = question();
        retry.tried = {UpstreamId("one")};
        CPPUNIT_ASSERT_EQUAL(std::string("two"), chooseUpstream(list, retry, start, random)->id.str());
        retry.tried.insert(UpstreamId("two"));
        CPPUNIT_ASSERT(chooseUpstream(list, retry, start, random).has_value());
    }

    static std::set<std::string> chosenReplicas(std::size_t fleet, const std::string &zone)
    {
        UpstreamList list;
        for (std::size_t number = 0; number < fleet; ++number) {
            list.update(entry("u" + std::to_string(number)));
        }
        UpstreamRequirements requirements = question();
        requirements.zone = ZoneId(zone);
        requirements.affinity = "prefix";
        requirements.affinityTokens = 5000;
        std::set<std::string> chosen;
        std::mt19937_64 random(7);
        constexpr int choices = 200;
        for (int choice = 0; choice < choices; ++choice) {
            chosen.insert(chooseUpstream(list, requirements, start, random)->id.str());
        }
        return chosen;
    }

    void instancesAgreeOnTheReplicasOfALongPrefix()
    {
        CPPUNIT_ASSERT(chosenReplicas(12, "a") == chosenReplicas(12, "b"));
        CPPUNIT_ASSERT(chosenReplicas(12, "a").size() == 2);
    }

    void aPrefixHasMoreReplicasInALargerFleet()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, chosenReplicas(112, "a").size());
    }

    void anOverloadedReplicaIsSkipped()
    {
        UpstreamList list;
        std::mt19937_64 random(7);
        for (const char *id : {"u0", "u1", "u2", "u3"}) {
            list.update(entry(id));
        }
        UpstreamRequirements requirements = question();
        requirements.affinity = "prefix";
        requirements.affinityTokens = 1000000;
        const UpstreamId replica = chooseUpstream(list, requirements, start, random)->id;
        constexpr int attempts = 9;
        for (int running = 0; running < attempts; ++running) {
            list.begin(entry(replica.str()));
        }
        CPPUNIT_ASSERT(chooseUpstream(list, requirements, start, random)->id != replica);
    }

    void aPreferredUpstreamIsChosenUnlessItFailed()
    {
        UpstreamList list;
        std::mt19937_64 random(7);
        for (const char *id : {"u0", "u1"}) {
            list.update(entry(id));
        }
        list.begin(entry("u1"));
        UpstreamRequirements requirements = question();
        requirements.prefers = [](const RegisteredUpstream &upstream) {
            return upstream.entry.id == UpstreamId("u1");
        };
        CPPUNIT_ASSERT_EQUAL(UpstreamId("u1"), chooseUpstream(list, requirements, start, random)->id);
        list.recordOutcome(entry("u1"), UpstreamOutcome::Lost, start);
        CPPUNIT_ASSERT_EQUAL(UpstreamId("u0"), chooseUpstream(list, requirements, start, random)->id);
    }

    void aFullUpstreamIsNotSampledWhileAnotherHasASlot()
    {
        UpstreamList list;
        std::mt19937_64 random(7);
        for (int number = 0; number < 20; ++number) {
            list.update(entry("u" + std::to_string(number)));
        }
        UpstreamRequirements requirements = question();
        const LoadView unknown;
        requirements.load = loadCost(unknown, start);
        for (int number = 0; number < 20; ++number) {
            const auto chosen = chooseUpstream(list, requirements, start, random);
            CPPUNIT_ASSERT(list.find(chosen->id)->running < chosen->slots);
            for (unsigned slot = 0; slot < chosen->slots; ++slot) {
                list.begin(*chosen);
            }
        }
    }

    /// Guards against evaluating the load of upstreams that are not compared.
    void onlySampledUpstreamsAreAskedForTheirLoad()
    {
        UpstreamList list;
        std::mt19937_64 random(7);
        for (int number = 0; number < 20; ++number) {
            list.update(entry("u" + std::to_string(number)));
        }
        int evaluated = 0;
        UpstreamRequirements requirements = question();
        requirements.load = [&](const RegisteredUpstream &) {
            ++evaluated;
            return 1.0;
        };
        CPPUNIT_ASSERT(chooseUpstream(list, requirements, start, random));
        CPPUNIT_ASSERT_EQUAL(2, evaluated);
    }

    void aLoadedZoneSendsToTheOthers()
    {
        // The own zone's only upstream refuses the zone's burst while those of other zones are idle.
        UpstreamList list;
        std::mt19937_64 random(7);
        list.update(entry("u0"));
        list.update(entry("u1", "far"));
        LoadView view;
        UpstreamRequirements requirements = question();
        requirements.load = loadCost(view, start);
        CPPUNIT_ASSERT_EQUAL(UpstreamId("u0"), chooseUpstream(list, requirements, start, random)->id);
        for (int attempt = 0; attempt < 4; ++attempt) {
            view.record(entry("u0"), {.outcome = UpstreamOutcome::Refused}, start);
        }
        CPPUNIT_ASSERT_EQUAL(UpstreamId("u1"), chooseUpstream(list, requirements, start, random)->id);
    }

    void anUpstreamWhoseLimitIsReachedIsNotChosen()
    {
        UpstreamList list;
        std::mt19937_64 random(7);
        list.update(entry("u0"));
        UpstreamRequirements requirements = question();
        requirements.limitsPermit = [](const RegisteredUpstream &) {
            return false;
        };
        CPPUNIT_ASSERT(!chooseUpstream(list, requirements, start, random));
    }

    void retriesStayWithinTheBudgetInEveryWindow()
    {
        test::property("retries never exceed ratio x requests + slack in any window", []() {
            const RepeatBounds bounds{.ratio = *rc::gen::element(0.1, 0.5, 0.9), .slack = 50};
            RepeatBudget budget(bounds);
            budget.setInstances(1);
            const ServiceName service("s");
            std::vector<TimePoint> requests;
            std::vector<TimePoint> retries;
            TimePoint now = start;
            const int events = *rc::gen::inRange(1, 400);
            for (int event = 0; event < events; ++event) {
                now += Milliseconds(*rc::gen::inRange(0, 300));
                if (*rc::gen::inRange(0, 3) == 0) {
                    budget.onRequest(service, now);
                    requests.push_back(now);
                } else if (budget.take(service, now)) {
                    retries.push_back(now);
                }
                // The deployment's rule also counts the requests of the preceding window.
                const auto within = [&](const std::vector<TimePoint> &times, Milliseconds span) {
                    return std::count_if(times.begin(), times.end(), [&](TimePoint at) { return at > now - span; });
                };
                const auto allowed
                    = bounds.ratio * static_cast<double>(within(requests, 2 * bounds.window)) + bounds.slack;
                RC_ASSERT(static_cast<double>(within(retries, bounds.window)) <= allowed);
            }
        });
    }

    void onlyCompleteEventsAreReturned()
    {
        EventSplitter splitter;
        splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
        const auto first = splitter.next();
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), std::string(first->bytes));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, *first->id);
        CPPUNIT_ASSERT(!splitter.next());
        CPPUNIT_ASSERT(splitter.pending() > 0);
    }

    void eventsDoNotDependOnHowTheInputIsSplit()
    {
        test::property("splitting the input changes neither bytes nor ids", []() {
            const std::string text = "id:1\r\ndata: a\r\n\r\nid: 2\ndata: b\nid-like: 7\n\ndata: none\n\n";
            EventSplitter splitter;
            std::string returned;
            std::vector<std::uint64_t> ids;
            for (std::size_t at = 0; at < text.size();) {
                const auto length = *rc::gen::inRange<std::size_t>(1, 9);
                splitter.feed(std::string_view(text).substr(at, length));
                at += length;
                while (const auto event = splitter.next()) {
                    returned.append(event->bytes);
                    ids.push_back(event->id.value_or(0));
                }
            }
            RC_ASSERT(returned == text);
            RC_ASSERT(ids == (std::vector<std::uint64_t>{1, 2, 0}));
        });
    }

    static RouteRule threeSizes()
    {
        RouteRule rule = route("/a/", {{ServiceName("s"), 1}});
        rule.sizes = {ModelName("small"), ModelName("middle"), ModelName("large")};
        return rule;
    }

    void lowConfidenceEscalatesToTheLargestModel()
    {
        const SizeLimits limits{.minConfidence = 50};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, *largerSize(threeSizes(), {.confidence = 49}, limits));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, *largerSize(threeSizes(), {.confidence = std::nullopt}, limits));
        CPPUNIT_ASSERT(!largerSize(threeSizes(), {.confidence = 50}, limits));
    }

    void highLoadLowersTheMinimumConfidence()
    {
        const SizeLimits limits{
            .minConfidence = 60, .normalLoadLevel = 0.2, .saturatedLoadLevel = 1, .longPromptTokens = 2000};
        SizeChoiceInput question{.confidence = 40, .promptTokens = 2000, .loadLevel = 0.2};
        CPPUNIT_ASSERT(largerSize(threeSizes(), question, limits));
        question.loadLevel = 1;
        CPPUNIT_ASSERT(!largerSize(threeSizes(), question, limits));
        // Load lowers the minimum confidence less for a short prompt.
        question.promptTokens = 200;
        CPPUNIT_ASSERT(largerSize(threeSizes(), question, limits));
    }

    void answersOfTheLargestModelAreAlwaysAccepted()
    {
        CPPUNIT_ASSERT(!largerSize(threeSizes(), {.size = 2, .confidence = 0}));
    }

    void aSingleAttemptGoesToTheLargestModel()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, firstSize(threeSizes(), 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, firstSize(threeSizes(), 3));
    }

    void reportsRoundTripThroughJson()
    {
        FleetReport report;
        report.crashes.crashes.push_back({"a@1", start, {{Fingerprint("p"), 0}, {Fingerprint("q"), 1}}});
        report.crashes.cleared.push_back({Fingerprint("q"), start});
        report.crashes.trials.push_back({Fingerprint("q"), start, 1});
        report.versions.push_back({ServiceName("s"),
                                   VersionName("v2"),
                                   {{RouteName("r"), {{7, 2}, {9, 1}}}},
                                   {.allSlow = 2.5, .someSlow = 1.5, .answers = 6},
                                   {.allSlow = 3, .someSlow = 4, .answers = 7},
                                   9});
        LastReason reason;
        CPPUNIT_ASSERT(parseFleetReport(serialise(report), reason) == report);
        report.limits = {.notices = {{"a@1", ServiceName("s"), RequestRate{2.5}, start},
                                     {"b@1", ServiceName("s"), std::nullopt, start}},
                         .demand = {{ServiceName("s"), {7.3}}},
                         .period = 12};
        CPPUNIT_ASSERT(parseFleetReport(serialise(report), reason) == report);
    }

    void malformedReportsAreRejected()
    {
        for (const char *text :
             {"", "{", "[]", "{\"crashes\":1,\"cleared\":[],\"versions\":[]}",
              "{\"crashes\":[],\"cleared\":[1],\"versions\":[]}", "{\"crashes\":[],\"cleared\":[],\"versions\":[[]]}",
              "{\"crashes\":[],\"cleared\":[],\"versions\":[],\"limits\":{\"notices\":[]}}"}) {
            LastReason reason;
            CPPUNIT_ASSERT(!parseFleetReport(text, reason));
            CPPUNIT_ASSERT(reason.failure().id == ErrorId::BadPeerData);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IngressTest);

} // namespace parsleyvane
