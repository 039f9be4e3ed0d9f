#include "parsleyvane/stream/assembler.h"

#include <algorithm>
#include <utility>

namespace parsleyvane {

AnswerAssembler::AnswerAssembler(std::size_t maxWaitingBytes, std::size_t maxAnswerBytes)
    : maxWaitingBytes(maxWaitingBytes)
    , maxAnswerBytes(maxAnswerBytes)
{
}

void AnswerAssembler::beginAttempt(AttemptId attempt)
{
    if (this->complete()) {
        return;
    }
    this->current = std::move(attempt);
    this->waiting.clear();
    this->waitingBytes = 0;
    this->length.reset();
    this->contradicted = this->givenInDoubt;
}

std::optional<std::string> AnswerAssembler::accept(const Chunk &chunk, LastReason &reason)
{
    if (chunk.attempt != this->current) {
        return std::string();
    }
    if (this->contradicted) {
        return this->contradiction(reason, "a chunk after the attempt contradicted itself");
    }
    if (chunk.end) {
        return this->acceptEnd(chunk, reason);
    }
    const std::uint64_t limit = this->length.value_or(this->maxAnswerBytes);
    if (chunk.offset > limit || chunk.text.size() > limit - chunk.offset) {
        return this->contradiction(reason, "bytes past the answer's end");
    }
    if (chunk.offset > this->given.size()) {
        if (!this->keepForLater(chunk.offset, chunk.text)) {
            return this->contradiction(reason, "too much out of order, or two texts at one offset");
        }
        return std::string();
    }
    const std::size_t before = this->given.size();
    if (!this->append(chunk.offset, chunk.text) || !this->appendWaiting()) {
        return this->contradiction(reason, "two texts at one offset");
    }
    return this->given.substr(before);
}

std::optional<std::string> AnswerAssembler::acceptEnd(const Chunk &chunk, LastReason &reason)
{
    if (!chunk.text.empty() || chunk.offset > this->maxAnswerBytes) {
        return this->contradiction(reason, "an end with text, or too long an answer");
    }
    if (this->length && *this->length != chunk.offset) {
        return this->contradiction(reason, "two different ends");
    }
    std::uint64_t reached = this->given.size();
    for (const auto &[offset, text] : this->waiting) {
        reached = std::max<std::uint64_t>(reached, offset + text.size());
    }
    if (reached > chunk.offset) {
        this->givenInDoubt = this->given.size() > chunk.offset;
        return this->contradiction(reason, "an end before bytes that came");
    }
    if (!this->length) {
        this->length = chunk.offset;
        this->endUsage = chunk.usage;
    }
    return std::string();
}

std::optional<std::string> AnswerAssembler::contradiction(LastReason &reason, std::string detail)
{
    this->contradicted = true;
    this->waiting.clear();
    this->waitingBytes = 0;
    return reason.fail(
        {.id = ErrorId::BadUpstreamData, .step = Step::Answer, .runState = RunState::Ran, .detail = std::move(detail)});
}

bool AnswerAssembler::keepForLater(std::uint64_t offset, const std::string &text)
{
    std::string &kept = this->waiting[offset];
    const std::size_t common = std::min(kept.size(), text.size());
    if (kept.compare(0, common, text, 0, common) != 0) {
        return false;
    }
    if (text.size() > kept.size()) {
        this->waitingBytes += text.size() - kept.size();
        kept = text;
    }
    return this->waitingBytes <= this->maxWaitingBytes;
}

bool AnswerAssembler::append(std::uint64_t offset, const std::string &text)
{
    const std::size_t known = std::min<std::size_t>(this->given.size() - offset, text.size());
    if (this->given.compare(offset, known, text, 0, known) != 0) {
        this->givenInDoubt = true;
        return false;
    }
    this->given.append(text, known);
    return true;
}

bool AnswerAssembler::appendWaiting()
{
    while (!this->waiting.empty() && this->waiting.begin()->first <= this->given.size()) {
        const auto next = this->waiting.extract(this->waiting.begin());
        this->waitingBytes -= next.mapped().size();
        if (!this->append(next.key(), next.mapped())) {
            return false;
        }
    }
    return true;
}

std::uint64_t AnswerAssembler::offset() const noexcept
{
    return this->given.size();
}

const std::string &AnswerAssembler::text() const noexcept
{
    return this->given;
}

bool AnswerAssembler::complete() const noexcept
{
    return !this->contradicted && this->length == this->given.size();
}

bool AnswerAssembler::inDoubt() const noexcept
{
    return this->givenInDoubt;
}

const Usage &AnswerAssembler::usage() const noexcept
{
    return this->endUsage;
}

} // namespace parsleyvane
