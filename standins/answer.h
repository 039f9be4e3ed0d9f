/**
 * @file
 * @brief Deterministic answers of the model engine, equal in every process.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane::standins {

/// @brief A 64-bit hash that is equal in every process.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/// @brief Maps a hash to a uniform number in [0, 1), for comparison with a probability.
double shareOf(std::uint64_t hash);

/// @brief The number of words; the stand-ins count each word as one token.
std::int64_t countWords(std::string_view text);

/// @brief The inputs that determine an answer.
struct AnswerSource
{
    std::string prompt;
    std::string model;
    std::string version;
    std::int64_t maxTokens = 0;
    /// @brief Whether the answer starts with "BAD ".
    bool bad = false;
};

/// @brief All tokens of the answer, equal for equal sources. Complexity: linear in the tokens.
std::vector<std::string> answerTokens(const AnswerSource &source);

} // namespace parsleyvane::standins
