/**
 * @file
 * @brief Bounds the memory for answers that are buffered until they are complete.
 */
#pragma once

#include <cstddef>

namespace parsleyvane {

/// @brief Limits on buffered answers.
struct AnswerMemoryLimits
{
    std::size_t answerBytes = 1U << 20U;
    /// @brief All answers together.
    std::size_t totalBytes = 16U << 20U;
    /// @brief An answer of this size is accepted even when others have used up the total.
    std::size_t smallAnswerBytes = 16U << 10U;
};

/// @brief Sum of the bytes that the requests of one instance buffer.
class AnswerMemory
{
public:
    explicit AnswerMemory(AnswerMemoryLimits limits)
        : limits(limits)
    {
    }

private:
    friend class AnswerShare;

    AnswerMemoryLimits limits;
    std::size_t total = 0;
};

/// @brief The bytes of one answer; they are given back when the share is destroyed.
class AnswerShare
{
public:
    explicit AnswerShare(AnswerMemory &memory)
        : memory(memory)
    {
    }
    AnswerShare(const AnswerShare &) = delete;
    AnswerShare &operator=(const AnswerShare &) = delete;
    ~AnswerShare()
    {
        this->memory.total -= this->bytes;
    }

    /// @brief Takes further bytes. Returns false, and takes nothing, when a limit would be exceeded.
    bool take(std::size_t more)
    {
        const AnswerMemoryLimits &limits = this->memory.limits;
        const std::size_t wanted = this->bytes + more;
        const bool fits = wanted <= limits.smallAnswerBytes || this->memory.total + more <= limits.totalBytes;
        if (wanted > limits.answerBytes || !fits) {
            return false;
        }
        this->bytes = wanted;
        this->memory.total += more;
        return true;
    }

private:
    AnswerMemory &memory;
    std::size_t bytes = 0;
};

} // namespace parsleyvane
