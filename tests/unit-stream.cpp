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

/// Swaps and duplicates chunks.
void disturb(std::vector<Chunk> &chunks, std::mt19937_64 &random)
{
    for (std::size_t count = random() % 8; count > 0; --count) {
        std::swap(chunks[random() % chunks.size()], chunks[random() % chunks.size()]);
        const Chunk copy = chunks[random() % chunks.size()];
        chunks.insert(chunks.begin() + static_cast<std::ptrdiff_t>(random() % (chunks.size() + 1)), copy);
    }
}

/// One answer over several attempts: some cut, the last one whole, any of them garbled, old chunks coming late.
struct StreamRun
{
    explicit StreamRun(std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t size = this->random() % 40; size > 0; --size) {
            this->answer.push_back(static_cast<char>('a' + (this->random() % 3)));
        }
    }

    void play()
    {
        constexpr unsigned attempts = 4;
        std::vector<Chunk> late;
        for (unsigned attempt = 1; attempt <= attempts && !this->assembler.complete(); ++attempt) {
            const AttemptId id("a" + std::to_string(attempt));
            auto chunks = chunksOf(id, this->answer, this->assembler.offset(), this->random);
            this->assembler.beginAttempt(id);
            disturb(chunks, this->random);
            if (this->random() % 5 == 0) {
                this->garble(chunks);
            } else if (attempt < attempts) {
                chunks.resize(this->random() % chunks.size());
            }
            const std::vector<Chunk> sent = chunks;
            chunks.insert(chunks.begin() + static_cast<std::ptrdiff_t>(this->random() % (chunks.size() + 1)),
                          late.begin(), late.end());
            this->deliver(chunks);
            late = sent;
        }
    }

    /// One more attempt, undisturbed.
    void playWhole()
    {
        const AttemptId id("last");
        const auto chunks = chunksOf(id, this->answer, this->assembler.offset(), this->random);
        this->assembler.beginAttempt(id);
        this->deliver(chunks);
    }

    /**
     * Adds a chunk that differs in each byte from one of the others. Both come before the end: a wrong chunk whose
     * right one never comes cannot be told from a right one.
     */
    void garble(std::vector<Chunk> &chunks)
    {
        Chunk wrong = chunks[this->random() % chunks.size()];
        if (wrong.end) {
            return;
        }
        for (char &c : wrong.text) {
            c = static_cast<char>(c ^ 1);
        }
        chunks.insert(chunks.begin() + static_cast<std::ptrdiff_t>(this->random() % (chunks.size() + 1)), wrong);
        std::erase_if(chunks, [](const Chunk &chunk) { return chunk.end; });
        chunks.push_back(endChunk(wrong.attempt, this->answer.size()));
        this->garbled = true;
    }

    void deliver(const std::vector<Chunk> &chunks)
    {
        LastReason ignored;
        for (const Chunk &chunk : chunks) {
            const auto text = this->assembler.accept(chunk, ignored);
            this->passedOn += text.value_or("");
            if (this->assembler.complete()) {
                return;
            }
        }
    }

    std::mt19937_64 random;
    std::string answer;
    AnswerAssembler assembler;
    std::string passedOn;
    bool garbled = false;
};

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
    CPPUNIT_TEST(contradictionAheadStaysUntilTheNextAttempt);
    CPPUNIT_TEST(contradictionOfGivenBytesCannotBeMended);
    CPPUNIT_TEST(boundsHold);
    CPPUNIT_TEST(anyInterleavingGivesTheAnswerOrAnError);
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

    void contradictionAheadStaysUntilTheNextAttempt()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 0, "ab"), this->reason);
        assembler.accept(textChunk(first, 3, "d"), this->reason);
        CPPUNIT_ASSERT(!assembler.accept(textChunk(first, 3, "x"), this->reason));
        CPPUNIT_ASSERT(!assembler.accept(endChunk(first, 2), this->reason));
        CPPUNIT_ASSERT(!assembler.complete() && !assembler.inDoubt());
        assembler.beginAttempt(second);
        CPPUNIT_ASSERT(assembler.accept(endChunk(second, 2), this->reason));
        CPPUNIT_ASSERT(assembler.complete());
    }

    void contradictionOfGivenBytesCannotBeMended()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 0, "ab"), this->reason);
        CPPUNIT_ASSERT(!assembler.accept(textChunk(first, 0, "x"), this->reason));
        CPPUNIT_ASSERT(assembler.inDoubt());
        assembler.beginAttempt(second);
        CPPUNIT_ASSERT(!assembler.accept(endChunk(second, 2), this->reason));
        CPPUNIT_ASSERT(!assembler.complete());
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

    void anyInterleavingGivesTheAnswerOrAnError()
    {
        unsigned completed = 0;
        unsigned failed = 0;
        test::property("what completes is the whole answer, and only a garbled one fails", [&]() {
            for (unsigned run = 0; run < 20; ++run) {
                StreamRun stream(test::seed());
                stream.play();
                if (stream.assembler.complete()) {
                    RC_ASSERT(stream.assembler.text() == stream.answer);
                    RC_ASSERT(stream.passedOn == stream.answer);
                    ++completed;
                    continue;
                }
                RC_ASSERT(stream.garbled);
                stream.playWhole();
                RC_ASSERT(stream.assembler.complete() != stream.assembler.inDoubt());
                RC_ASSERT((!stream.assembler.complete() || stream.passedOn == stream.answer));
                failed += stream.assembler.inDoubt() ? 1 : 0;
            }
        });
        std::cout << "completed " << completed << ", failed " << failed << '\n';
        CPPUNIT_ASSERT(completed > 0 && failed > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

} // namespace parsleyvane
