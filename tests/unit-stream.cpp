#include "suite.h"

#include "parsleyvane/stream/assembler.h"

#include <random>

namespace parsleyvane {

namespace {

const AttemptId first("a1");
const AttemptId second("a2");

Chunk textChunk(const AttemptId &attempt, std::uint64_t offset, const std::string &text)
{
    return {.attempt = attempt, .offset = offset, .text = text};
}

Chunk endChunk(const AttemptId &attempt, std::uint64_t length)
{
    return {.attempt = attempt, .offset = length, .end = true, .usage = {Tokens(3), Tokens(0), Tokens(5)}};
}

/// An answer cut into chunks of one to four bytes from `from` on, then its end.
std::vector<Chunk> chunksOf(const AttemptId &attempt, const std::string &answer, std::size_t from,
                            std::mt19937_64 &random)
{
    std::vector<Chunk> chunks;
    while (from < answer.size()) {
        const std::size_t size = 1 + (random() % 4);
        chunks.push_back(textChunk(attempt, from, answer.substr(from, size)));
        from = std::min(from + size, answer.size());
    }
    chunks.push_back(endChunk(attempt, answer.size()));
    return chunks;
}

/// Swaps, duplicates and perhaps cuts.
void disturb(std::vector<Chunk> &chunks, bool cut, std::mt19937_64 &random)
{
    for (std::size_t count = random() % 8; count > 0; --count) {
        std::swap(chunks[random() % chunks.size()], chunks[random() % chunks.size()]);
        const Chunk copy = chunks[random() % chunks.size()];
        chunks.insert(chunks.begin() + static_cast<std::ptrdiff_t>(random() % (chunks.size() + 1)), copy);
    }
    if (cut) {
        chunks.resize(random() % chunks.size());
    }
}

} // namespace

class StreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamTest);
    CPPUNIT_TEST(answerInOrderIsPassedOnAndCompletes);
    CPPUNIT_TEST(chunksAheadOfTheirTimeWait);
    CPPUNIT_TEST(duplicatesAndOverlapsGiveNothingTwice);
    CPPUNIT_TEST(lateChunksOfAnAbandonedAttemptAreDropped);
    CPPUNIT_TEST(answerResumesAtTheOffset);
    CPPUNIT_TEST(cutStreamIsNotComplete);
    CPPUNIT_TEST(differentTextAtOneOffsetIsAnError);
    CPPUNIT_TEST(bytesPastTheEndAreAnError);
    CPPUNIT_TEST(contradictionStaysUntilTheNextAttempt);
    CPPUNIT_TEST(boundsHold);
    CPPUNIT_TEST(anyInterleavingGivesTheAnswerOrNoCompletion);
    CPPUNIT_TEST_SUITE_END();

public:
    LastReason reason;

    void answerInOrderIsPassedOnAndCompletes()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), *assembler.accept(textChunk(first, 0, "ab"), this->reason));
        CPPUNIT_ASSERT_EQUAL(std::string("c"), *assembler.accept(textChunk(first, 2, "c"), this->reason));
        CPPUNIT_ASSERT(!assembler.complete());
        CPPUNIT_ASSERT_EQUAL(std::string(), *assembler.accept(endChunk(first, 3), this->reason));
        CPPUNIT_ASSERT(assembler.complete());
        CPPUNIT_ASSERT(assembler.usage().outputTokens == Tokens(5));
    }

    void chunksAheadOfTheirTimeWait()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        CPPUNIT_ASSERT(assembler.accept(endChunk(first, 4), this->reason)->empty());
        CPPUNIT_ASSERT(assembler.accept(textChunk(first, 2, "cd"), this->reason)->empty());
        CPPUNIT_ASSERT(!assembler.complete());
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), *assembler.accept(textChunk(first, 0, "ab"), this->reason));
        CPPUNIT_ASSERT(assembler.complete());
    }

    void duplicatesAndOverlapsGiveNothingTwice()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 0, "abc"), this->reason);
        CPPUNIT_ASSERT_EQUAL(std::string(), *assembler.accept(textChunk(first, 0, "abc"), this->reason));
        CPPUNIT_ASSERT_EQUAL(std::string("d"), *assembler.accept(textChunk(first, 2, "cd"), this->reason));
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), assembler.text());
    }

    void lateChunksOfAnAbandonedAttemptAreDropped()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 2, "X"), this->reason);
        assembler.beginAttempt(second);
        CPPUNIT_ASSERT(assembler.accept(textChunk(first, 0, "zz"), this->reason)->empty());
        CPPUNIT_ASSERT(assembler.accept(endChunk(first, 0), this->reason)->empty());
        CPPUNIT_ASSERT(!assembler.complete());
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), *assembler.accept(textChunk(second, 0, "ab"), this->reason));
    }

    void answerResumesAtTheOffset()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 0, "ab"), this->reason);
        assembler.beginAttempt(second);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, assembler.offset());
        CPPUNIT_ASSERT_EQUAL(std::string("cd"), *assembler.accept(textChunk(second, 2, "cd"), this->reason));
        assembler.accept(endChunk(second, 4), this->reason);
        CPPUNIT_ASSERT(assembler.complete());
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), assembler.text());
    }

    void cutStreamIsNotComplete()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 0, "whole sentence."), this->reason);
        CPPUNIT_ASSERT(!assembler.complete());
    }

    void differentTextAtOneOffsetIsAnError()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 0, "ab"), this->reason);
        CPPUNIT_ASSERT(!assembler.accept(textChunk(first, 1, "x"), this->reason));
        CPPUNIT_ASSERT(this->reason.failure().id == ErrorId::BadUpstreamData);
        AnswerAssembler ahead;
        ahead.beginAttempt(first);
        ahead.accept(textChunk(first, 2, "cd"), this->reason);
        CPPUNIT_ASSERT(!ahead.accept(textChunk(first, 2, "cx"), this->reason));
    }

    void bytesPastTheEndAreAnError()
    {
        AnswerAssembler late;
        late.beginAttempt(first);
        late.accept(endChunk(first, 2), this->reason);
        CPPUNIT_ASSERT(!late.accept(textChunk(first, 1, "bc"), this->reason));
        AnswerAssembler early;
        early.beginAttempt(first);
        early.accept(textChunk(first, 3, "d"), this->reason);
        CPPUNIT_ASSERT(!early.accept(endChunk(first, 3), this->reason));
        AnswerAssembler twice;
        twice.beginAttempt(first);
        twice.accept(endChunk(first, 3), this->reason);
        CPPUNIT_ASSERT(!twice.accept(endChunk(first, 4), this->reason));
    }

    void contradictionStaysUntilTheNextAttempt()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 0, "ab"), this->reason);
        assembler.accept(textChunk(first, 0, "x"), this->reason);
        CPPUNIT_ASSERT(!assembler.accept(endChunk(first, 2), this->reason));
        CPPUNIT_ASSERT(!assembler.complete());
        assembler.beginAttempt(second);
        CPPUNIT_ASSERT(assembler.accept(endChunk(second, 2), this->reason));
        CPPUNIT_ASSERT(assembler.complete());
    }

    void boundsHold()
    {
        AnswerAssembler assembler(4, 8);
        assembler.beginAttempt(first);
        CPPUNIT_ASSERT(assembler.accept(textChunk(first, 1, "1234"), this->reason));
        CPPUNIT_ASSERT(!assembler.accept(textChunk(first, 6, "1"), this->reason));
        assembler.beginAttempt(second);
        CPPUNIT_ASSERT(!assembler.accept(textChunk(second, 0, "123456789"), this->reason));
        assembler.beginAttempt(first);
        CPPUNIT_ASSERT(!assembler.accept(textChunk(first, ~std::uint64_t{0}, "12"), this->reason));
    }

    void anyInterleavingGivesTheAnswerOrNoCompletion()
    {
        test::property("what completes is the whole answer, and what is passed on is its beginning", []() {
            std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
            const auto answer = *rc::gen::string<std::string>();
            std::vector<Chunk> stale;
            AnswerAssembler assembler;
            std::string passedOn;
            LastReason ignored;
            for (unsigned attempt = 0; attempt < 4 && !assembler.complete(); ++attempt) {
                const AttemptId id("a" + std::to_string(attempt));
                const std::size_t resumed = assembler.offset();
                assembler.beginAttempt(id);
                auto chunks = chunksOf(id, answer, resumed, random);
                disturb(chunks, attempt < 3, random);
                std::vector<Chunk> arriving = chunks;
                arriving.insert(arriving.begin(), stale.begin(), stale.end());
                // Every second attempt is also met by bytes of another answer.
                const bool garbled = attempt < 3 && random() % 2 == 0;
                if (garbled) {
                    arriving.push_back(textChunk(id, random() % (answer.size() + 2), "\x01\x02"));
                }
                for (const Chunk &chunk : arriving) {
                    const auto text = assembler.accept(chunk, ignored);
                    if (!text) {
                        break;
                    }
                    passedOn += *text;
                    if (assembler.complete()) {
                        break;
                    }
                }
                RC_ASSERT(assembler.text() == passedOn);
                if (garbled && !assembler.complete()) {
                    return; // Bytes of another answer that fill a gap cannot be told from the right ones.
                }
                RC_ASSERT(answer.substr(0, passedOn.size()) == passedOn);
                stale = std::move(chunks);
            }
            RC_ASSERT(assembler.complete());
            RC_ASSERT(assembler.text() == answer);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

} // namespace parsleyvane
