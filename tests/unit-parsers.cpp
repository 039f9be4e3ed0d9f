#include "suite.h"

#include "parsleyvane/billing/billqueue.h"
#include "parsleyvane/core/textcodec.h"
#include "parsleyvane/ledger/runonce.h"
#include "parsleyvane/session/token.h"
#include "parsleyvane/stream/assembler.h"
#include "parsleyvane/stream/eventparser.h"

namespace parsleyvane {

namespace {

/// Bytes that need not be valid UTF-8.
std::string arbitraryBytes()
{
    return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

/// Valid UTF-8 text that includes characters which JSON must escape.
std::string arbitraryText()
{
    const std::vector<std::string> pieces = {"a", "Z", "0", "\"", "\\", "/", "\n", "\x01", "é", "€", "𝄞", " ", "{"};
    std::string text;
    for (const std::string &piece : *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(pieces))) {
        text += piece;
    }
    return text;
}

/// A valid text with some bytes changed, removed or duplicated; it reaches more of a parser than random bytes do.
std::string damaged(std::string text)
{
    const auto damages = *rc::gen::inRange(1, 4);
    for (int damage = 0; damage < damages && !text.empty(); ++damage) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 4));
            break;
        default:
            text.insert(at, text.substr(at, *rc::gen::inRange<std::size_t>(1, 6)));
            break;
        }
    }
    return text;
}

ClaimRow arbitraryRow()
{
    return {.attempt = AttemptId(arbitraryText()),
            .request = RequestId(arbitraryText()),
            .bodyHash = arbitraryText(),
            .state = *rc::gen::element(ClaimState::Held, ClaimState::Done, ClaimState::Released),
            .status = *rc::gen::arbitrary<int>(),
            .result = arbitraryBytes(),
            .version = *rc::gen::arbitrary<std::uint64_t>()};
}

Bill arbitraryBill()
{
    return {.request = RequestId(arbitraryText()),
            .account = AccountId(arbitraryText()),
            .task = TaskName(arbitraryText()),
            .version = {ModelName(arbitraryText()), VersionName(arbitraryText())},
            .promptTokens = Tokens(*rc::gen::arbitrary<std::int64_t>()),
            .outputTokens = Tokens(*rc::gen::arbitrary<std::int64_t>()),
            .cost = MicroCost(*rc::gen::arbitrary<std::int64_t>())};
}

Configuration arbitraryConfiguration()
{
    Configuration configuration;
    configuration.revision = Revision(*rc::gen::inRange<std::uint64_t>(0, 1000000));
    configuration.change = {arbitraryText(), arbitraryText(), arbitraryText(), arbitraryText()};
    const ModelVersion version{ModelName("wattle"), VersionName("3.1")};
    configuration.versions.push_back({.id = version,
                                      .state = *rc::gen::element(VersionState::Warming, VersionState::Serving,
                                                                 VersionState::Closed, VersionState::Withdrawn),
                                      .weight = *rc::gen::inRange(0U, 1000U)});
    Account account{.id = AccountId("lumara-agents"), .organisation = arbitraryText(), .allowed = {version}};
    account.tasks.push_back({.name = TaskName("triage"),
                             .work = ModelTask{.chain = {version.model}},
                             .repeatable = *rc::gen::arbitrary<bool>()});
    configuration.accounts.push_back(account);
    configuration.sessionKeys.push_back({"k1", std::string(64, 'a')});
    return configuration;
}

/// Checks that the parser does not crash, and that a refusal has the expected error number.
template<typename Parse>
void checkRefusalOf(Parse parse, ErrorId refusal, const std::string &text)
{
    LastReason reason;
    if (!parse(text, reason)) {
        RC_ASSERT(reason.failure().id == refusal);
    }
}

template<typename Parse>
void checkParser(Parse parse, ErrorId refusal, const std::string &valid)
{
    checkRefusalOf(parse, refusal, arbitraryBytes());
    checkRefusalOf(parse, refusal, arbitraryText());
    checkRefusalOf(parse, refusal, damaged(valid));
}

} // namespace

class ParsersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ParsersTest);
    CPPUNIT_TEST(arbitraryBytesAsAChunkAreParsedOrRefused);
    CPPUNIT_TEST(chunkOutOfRangeIsRefused);
    CPPUNIT_TEST(arbitraryBytesAsAClaimAreParsedOrRefused);
    CPPUNIT_TEST(claimSurvivesSerialisation);
    CPPUNIT_TEST(claimKeysDifferWhereAccountsOrKeysDiffer);
    CPPUNIT_TEST(arbitraryBytesAsABillAreParsedOrRefused);
    CPPUNIT_TEST(billSurvivesSerialisation);
    CPPUNIT_TEST(arbitraryBytesAsAConfigurationAreParsedOrRefused);
    CPPUNIT_TEST(configurationSurvivesSerialisation);
    CPPUNIT_TEST(arbitraryBytesAsATokenAreRefused);
    CPPUNIT_TEST(hexadecimalSurvivesEncoding);
    CPPUNIT_TEST(aLineOverTheLimitIsRefusedHoweverItArrives);
    CPPUNIT_TEST_SUITE_END();

public:
    void arbitraryBytesAsAChunkAreParsedOrRefused()
    {
        test::property("parseChunk parses or refuses", []() {
            checkParser(
                parseChunk, ErrorId::BadUpstreamData,
                *rc::gen::element<std::string>(
                    R"({"attempt":"a1","offset":12,"text":"kit \u00e9"})",
                    R"({"attempt":"a1","offset":3,"end":true,"promptTokens":1,"cachedTokens":0,"outputTokens":2})"));
        });
    }

    void chunkOutOfRangeIsRefused()
    {
        const std::vector<std::string> payloads = {R"({"attempt":"a1","offset":-1,"text":""})",
                                                   R"({"attempt":"a1","offset":1.5,"text":""})",
                                                   R"({"attempt":"a1","offset":1e30,"text":""})",
                                                   R"({"attempt":"a1","offset":1})",
                                                   R"({"attempt":"a1","offset":1,"end":true})",
                                                   R"({"attempt":1,"offset":1,"text":""})",
                                                   "[]",
                                                   "null",
                                                   ""};
        for (const std::string &payload : payloads) {
            LastReason reason;
            CPPUNIT_ASSERT_MESSAGE(payload, !parseChunk(payload, reason));
        }
    }

    void arbitraryBytesAsAClaimAreParsedOrRefused()
    {
        test::property("parseClaimRow parses or refuses", []() {
            const auto parse = [](const std::string &text, LastReason &reason) {
                return parseClaimRow(text, 1, reason);
            };
            checkParser(parse, ErrorId::BadUpstreamData, serialise(arbitraryRow()));
        });
    }

    void claimSurvivesSerialisation()
    {
        test::property("a serialised claim parses back unchanged, with any bytes as its result", []() {
            const ClaimRow row = arbitraryRow();
            LastReason reason;
            RC_ASSERT(parseClaimRow(serialise(row), row.version, reason) == row);
        });
    }

    void claimKeysDifferWhereAccountsOrKeysDiffer()
    {
        test::property("no two accounts or keys share a claim", []() {
            const AccountId account(arbitraryBytes());
            const AccountId other(arbitraryBytes());
            const IdempotencyKey key(arbitraryBytes());
            const IdempotencyKey otherKey(arbitraryBytes());
            const bool same = account == other && key == otherKey;
            RC_ASSERT((claimKey(account, key) == claimKey(other, otherKey)) == same);
        });
        CPPUNIT_ASSERT(claimKey(AccountId("a"), IdempotencyKey("b/c"))
                       != claimKey(AccountId("a/b"), IdempotencyKey("c")));
        CPPUNIT_ASSERT_EQUAL(std::string("runonce/txoko-members/k-1"),
                             claimKey(AccountId("txoko-members"), IdempotencyKey("k-1")));
    }

    void arbitraryBytesAsABillAreParsedOrRefused()
    {
        test::property("parseBill parses or refuses",
                       []() { checkParser(parseBill, ErrorId::BadUpstreamData, serialise(arbitraryBill())); });
    }

    void billSurvivesSerialisation()
    {
        test::property("a serialised bill parses back unchanged", []() {
            const Bill bill = arbitraryBill();
            LastReason reason;
            RC_ASSERT(parseBill(serialise(bill), reason) == bill);
        });
    }

    void arbitraryBytesAsAConfigurationAreParsedOrRefused()
    {
        test::property("parseConfiguration parses or refuses", []() {
            checkParser(parseConfiguration, ErrorId::InvalidConfiguration, serialise(arbitraryConfiguration()));
        });
    }

    void configurationSurvivesSerialisation()
    {
        test::property("a serialised configuration parses back unchanged", []() {
            const std::string text = serialise(arbitraryConfiguration());
            LastReason reason;
            const auto read = parseConfiguration(text, reason);
            RC_ASSERT(read.has_value());
            RC_ASSERT(serialise(*read) == text);
        });
    }

    void arbitraryBytesAsATokenAreRefused()
    {
        const AccountId account("lumara-agents");
        test::property("checkToken refuses tokens that were not issued", [&]() {
            const Configuration configuration = arbitraryConfiguration();
            LastReason ignored;
            const Session session{"s-1", account, configuration.versions.front().id};
            const std::string issued = *issueToken(configuration, session, ignored);
            for (const std::string &token : {arbitraryBytes(), arbitraryText(), damaged(issued)}) {
                LastReason reason;
                const bool isAccepted = checkToken(configuration, account, token, reason).has_value();
                RC_ASSERT(isAccepted == (token == issued));
                RC_ASSERT((isAccepted || reason.failure().id == ErrorId::SessionInvalid));
            }
        });
    }

    void hexadecimalSurvivesEncoding()
    {
        test::property("hexadecimal decodes to the original bytes, and other text is refused", []() {
            const std::string bytes = arbitraryBytes();
            RC_ASSERT(hexDecode(hexEncode(bytes)) == bytes);
            const std::string alphabet = "0123456789abcdefAg-";
            const auto text = *rc::gen::container<std::string>(rc::gen::elementOf(alphabet));
            const auto read = hexDecode(text);
            if (read) {
                RC_ASSERT(hexEncode(*read) == text);
            }
        });
    }

    // Guards against a limit that applies only to lines which arrive in pieces.
    void aLineOverTheLimitIsRefusedHoweverItArrives()
    {
        constexpr std::size_t maxLineBytes = 10;
        const auto feed = [](std::initializer_list<std::string> pieces) {
            EventParser parser(maxLineBytes);
            LastReason reason;
            std::size_t payloads = 0;
            for (const std::string &piece : pieces) {
                const auto parsed = parser.feed(piece, reason);
                if (!parsed) {
                    CPPUNIT_ASSERT(reason.failure().id == ErrorId::BadUpstreamData);
                    return std::optional<std::size_t>();
                }
                payloads += parsed->size();
            }
            return std::optional(payloads);
        };
        CPPUNIT_ASSERT(feed({"data: 1234\ndata: 1\n"}) == std::size_t{2});
        CPPUNIT_ASSERT(feed({"data: 12", "34\n"}) == std::size_t{1});
        CPPUNIT_ASSERT(!feed({"data: 12345"}));
        CPPUNIT_ASSERT(!feed({"data: 12345\n"}));
        CPPUNIT_ASSERT(!feed({"data: 1\ndata: 12345\ndata: 1\n"}));
        CPPUNIT_ASSERT(!feed({"data: 12", "345\n"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParsersTest);

} // namespace parsleyvane
