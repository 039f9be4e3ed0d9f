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

/// Splits the answer from offset `from` on into chunks of one to four bytes, followed by the end marker.
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

/// Reorders and duplicates random chunks.
void disturb(std::vector<Chunk> &chunks, std::mt19937_64 &random)
{
    for (std::size_t count = random() % 8; count > 0; --count) {
        std::swap(chunks[random() % chunks.size()], chunks[random() % chunks.size()]);
        const Chunk copy = chunks[random() % chunks.size()];
        chunks.insert(chunks.begin() + static_cast<std::ptrdiff_t>(random() % (chunks.size() + 1)), copy);
    }
}

/// Simulates one answer over several attempts. All but the last may be truncated, each may be garbled, and chunks of
/// earlier attempts arrive late.
struct StreamRun
{
    explicit StreamRun(std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t size = this->random() % 40; size > 0; --size) {
            this->answer.push_back(static_cast<char>('a' + (this->random() % 3)));
        }
    }

    void run()
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

    /// Runs one more attempt with all chunks in order.
    void runUndisturbedAttempt()
    {
        const AttemptId id("last");
        const auto chunks = chunksOf(id, this->answer, this->assembler.offset(), this->random);
        this->assembler.beginAttempt(id);
        this->deliver(chunks);
    }

    /**
     * Adds a chunk that differs in each byte from one of the others. Both precede the end marker, since a wrong chunk
     * cannot be detected when the answer completes without the right one.
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
            this->delivered += text.value_or("");
            if (this->assembler.complete()) {
                return;
            }
        }
    }

    std::mt19937_64 random;
    std::string answer;
    AnswerAssembler assembler;
    std::string delivered;
    bool garbled = false;
};

} // namespace

class StreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamTest);
    CPPUNIT_TEST(chunksInOrderAreDeliveredAndComplete);
    CPPUNIT_TEST(chunksAheadOfTheOffsetAreBuffered);
    CPPUNIT_TEST(duplicatesAndOverlapsAreDeliveredOnce);
    CPPUNIT_TEST(lateChunksOfAnEarlierAttemptAreDropped);
    CPPUNIT_TEST(answerResumesAtTheOffset);
    CPPUNIT_TEST(truncatedStreamIsNotComplete);
    CPPUNIT_TEST(differentTextsAtOneOffsetAreAnError);
    CPPUNIT_TEST(bytesPastTheEndAreAnError);
    CPPUNIT_TEST(inconsistentAttemptIsRefusedUntilTheNextAttempt);
    CPPUNIT_TEST(conflictWithDeliveredBytesIsUnrecoverable);
    CPPUNIT_TEST(sizeLimitsAreEnforced);
    CPPUNIT_TEST(anyInterleavingYieldsTheAnswerOrAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    LastReason reason;

    void chunksInOrderAreDeliveredAndComplete()
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

    void chunksAheadOfTheOffsetAreBuffered()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        CPPUNIT_ASSERT(assembler.accept(endChunk(first, 4), this->reason)->empty());
        CPPUNIT_ASSERT(assembler.accept(textChunk(first, 2, "cd"), this->reason)->empty());
        CPPUNIT_ASSERT(!assembler.complete());
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), *assembler.accept(textChunk(first, 0, "ab"), this->reason));
        CPPUNIT_ASSERT(assembler.complete());
    }

    void duplicatesAndOverlapsAreDeliveredOnce()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 0, "abc"), this->reason);
        CPPUNIT_ASSERT_EQUAL(std::string(), *assembler.accept(textChunk(first, 0, "abc"), this->reason));
        CPPUNIT_ASSERT_EQUAL(std::string("d"), *assembler.accept(textChunk(first, 2, "cd"), this->reason));
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), assembler.text());
    }

    void lateChunksOfAnEarlierAttemptAreDropped()
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

    void truncatedStreamIsNotComplete()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 0, "whole sentence."), this->reason);
        CPPUNIT_ASSERT(!assembler.complete());
    }

    void differentTextsAtOneOffsetAreAnError()
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

    void inconsistentAttemptIsRefusedUntilTheNextAttempt()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 0, "ab"), this->reason);
        assembler.accept(textChunk(first, 3, "d"), this->reason);
        CPPUNIT_ASSERT(!assembler.accept(textChunk(first, 3, "x"), this->reason));
        CPPUNIT_ASSERT(!assembler.accept(endChunk(first, 2), this->reason));
        CPPUNIT_ASSERT(!assembler.complete() && !assembler.isUnrecoverable());
        assembler.beginAttempt(second);
        CPPUNIT_ASSERT(assembler.accept(endChunk(second, 2), this->reason));
        CPPUNIT_ASSERT(assembler.complete());
    }

    void conflictWithDeliveredBytesIsUnrecoverable()
    {
        AnswerAssembler assembler;
        assembler.beginAttempt(first);
        assembler.accept(textChunk(first, 0, "ab"), this->reason);
        CPPUNIT_ASSERT(!assembler.accept(textChunk(first, 0, "x"), this->reason));
        CPPUNIT_ASSERT(assembler.isUnrecoverable());
        assembler.beginAttempt(second);
        CPPUNIT_ASSERT(!assembler.accept(endChunk(second, 2), this->reason));
        CPPUNIT_ASSERT(!assembler.complete());
    }

    void sizeLimitsAreEnforced()
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

    void anyInterleavingYieldsTheAnswerOrAnError()
    {
        unsigned completed = 0;
        unsigned failed = 0;
        test::property("a completed answer is correct, and only a garbled one fails", [&]() {
            for (unsigned run = 0; run < 20; ++run) {
                StreamRun stream(test::seed());
                stream.run();
                if (stream.assembler.complete()) {
                    RC_ASSERT(stream.assembler.text() == stream.answer);
                    RC_ASSERT(stream.delivered == stream.answer);
                    ++completed;
                    continue;
                }
                RC_ASSERT(stream.garbled);
                stream.runUndisturbedAttempt();
                RC_ASSERT(stream.assembler.complete() != stream.assembler.isUnrecoverable());
                RC_ASSERT((!stream.assembler.complete() || stream.delivered == stream.answer));
                failed += stream.assembler.isUnrecoverable() ? 1 : 0;
            }
        });
        std::cout << "completed " << completed << ", failed " << failed << '\n';
        CPPUNIT_ASSERT(completed > 0 && failed > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

} // namespace parsleyvane
