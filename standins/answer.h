/**
 * @file
 * @brief The answers of the model engine, the same in every process.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane::standins {

/// @brief A 64-bit hash that is the same in every process.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/// @brief Maps a hash to a number in [0, 1), to be compared with a share.
double shareOf(std::uint64_t hash);

/// @brief The number of words, which the stand-ins count as tokens.
std::int64_t countWords(std::string_view text);

/// @brief What an answer depends on.
struct AnswerSource
{
    std::string prompt;
    std::string model;
    std::string version;
    std::int64_t maxTokens = 0;
    /// @brief Whether the answer starts with "BAD ".
    bool bad = false;
};

/// @brief The tokens of the whole answer, the same for the same source. Complexity: linear in the tokens.
std::vector<std::string> answerTokens(const AnswerSource &source);

} // namespace parsleyvane::standins
