#include "parsleyvane/stream/assembler.h"

#include <algorithm>
#include <utility>

namespace parsleyvane {

AnswerAssembler::AnswerAssembler(std::size_t maxBufferedBytes, std::size_t maxAnswerBytes)
    : maxBufferedBytes(maxBufferedBytes)
    , maxAnswerBytes(maxAnswerBytes)
{
}

void AnswerAssembler::beginAttempt(AttemptId attempt)
{
    if (this->complete()) {
        return;
    }
    this->current = std::move(attempt);
    this->buffered.clear();
    this->bufferedBytes = 0;
    this->length.reset();
    this->isInconsistent = this->hasDeliveryConflict;
}

std::optional<std::string> AnswerAssembler::accept(const Chunk &chunk, LastReason &reason)
{
    if (chunk.attempt != this->current) {
        return std::string();
    }
    if (this->isInconsistent) {
        return this->failInconsistent(reason, "chunk of an attempt whose earlier chunks were inconsistent");
    }
    if (chunk.end) {
        return this->acceptEnd(chunk, reason);
    }
    const std::uint64_t limit = this->length.value_or(this->maxAnswerBytes);
    if (chunk.offset > limit || chunk.text.size() > limit - chunk.offset) {
        return this->failInconsistent(reason, "chunk extends past the end of the answer");
    }
    if (chunk.offset > this->delivered.size()) {
        if (!this->bufferChunk(chunk.offset, chunk.text)) {
            return this->failInconsistent(reason, "too many bytes out of order, or different texts at the same offset");
        }
        return std::string();
    }
    const std::size_t before = this->delivered.size();
    if (!this->append(chunk.offset, chunk.text) || !this->appendBuffered()) {
        return this->failInconsistent(reason, "different texts at the same offset");
    }
    return this->delivered.substr(before);
}

std::optional<std::string> AnswerAssembler::acceptEnd(const Chunk &chunk, LastReason &reason)
{
    if (!chunk.text.empty() || chunk.offset > this->maxAnswerBytes) {
        return this->failInconsistent(reason, "end marker with text, or answer over the size limit");
    }
    if (this->length && *this->length != chunk.offset) {
        return this->failInconsistent(reason, "two end markers with different lengths");
    }
    std::uint64_t receivedEnd = this->delivered.size();
    for (const auto &[offset, text] : this->buffered) {
        receivedEnd = std::max<std::uint64_t>(receivedEnd, offset + text.size());
    }
    if (receivedEnd > chunk.offset) {
        this->hasDeliveryConflict = this->delivered.size() > chunk.offset;
        return this->failInconsistent(reason, "end marker before bytes already received");
    }
    if (!this->length) {
        this->length = chunk.offset;
        this->endUsage = chunk.usage;
    }
    return std::string();
}

std::optional<std::string> AnswerAssembler::failInconsistent(LastReason &reason, std::string detail)
{
    this->isInconsistent = true;
    this->buffered.clear();
    this->bufferedBytes = 0;
    return reason.fail(
        {.id = ErrorId::BadUpstreamData, .step = Step::Answer, .runState = RunState::Ran, .detail = std::move(detail)});
}

bool AnswerAssembler::bufferChunk(std::uint64_t offset, const std::string &text)
{
    std::string &bufferedText = this->buffered[offset];
    const std::size_t common = std::min(bufferedText.size(), text.size());
    if (bufferedText.compare(0, common, text, 0, common) != 0) {
        return false;
    }
    if (text.size() > bufferedText.size()) {
        this->bufferedBytes += text.size() - bufferedText.size();
        bufferedText = text;
    }
    return this->bufferedBytes <= this->maxBufferedBytes;
}

bool AnswerAssembler::append(std::uint64_t offset, const std::string &text)
{
    const std::size_t known = std::min<std::size_t>(this->delivered.size() - offset, text.size());
    if (this->delivered.compare(offset, known, text, 0, known) != 0) {
        this->hasDeliveryConflict = true;
        return false;
    }
    this->delivered.append(text, known);
    return true;
}

bool AnswerAssembler::appendBuffered()
{
    while (!this->buffered.empty() && this->buffered.begin()->first <= this->delivered.size()) {
        const auto next = this->buffered.extract(this->buffered.begin());
        this->bufferedBytes -= next.mapped().size();
        if (!this->append(next.key(), next.mapped())) {
            return false;
        }
    }
    return true;
}

std::uint64_t AnswerAssembler::offset() const noexcept
{
    return this->delivered.size();
}

const std::string &AnswerAssembler::text() const noexcept
{
    return this->delivered;
}

bool AnswerAssembler::complete() const noexcept
{
    return !this->isInconsistent && this->length == this->delivered.size();
}

bool AnswerAssembler::isUnrecoverable() const noexcept
{
    return this->hasDeliveryConflict;
}

const Usage &AnswerAssembler::usage() const noexcept
{
    return this->endUsage;
}

} // namespace parsleyvane
