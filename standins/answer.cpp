#include "answer.h"

#include <algorithm>
#include <charconv>

namespace parsleyvane::standins {

namespace {

constexpr std::int64_t maxAnswerTokens = 100'000;
constexpr std::int64_t minAnswerTokens = 4;

/// @brief The finaliser of SplitMix64: mixes each input bit into the whole word.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::string wordOf(std::uint64_t random)
{
    constexpr std::size_t minLetters = 3;
    constexpr std::size_t letterChoices = 6;
    constexpr std::size_t alphabet = 26;
    std::string word(minLetters + random % letterChoices, 'a');
    random = ~random;
    for (char &letter : word) {
        random = mix(random);
        letter = static_cast<char>('a' + random % alphabet);
    }
    return word + " ";
}

std::int64_t tokenCount(const AnswerSource &source)
{
    constexpr std::string_view marker = "[[tokens=";
    constexpr std::int64_t shareOfMaximum = 4;
    const std::size_t found = source.prompt.find(marker);
    std::int64_t count = std::max(minAnswerTokens, source.maxTokens / shareOfMaximum);
    if (found != std::string::npos) {
        const char *first = source.prompt.data() + found + marker.size();
        std::from_chars(first, source.prompt.data() + source.prompt.size(), count);
    }
    return std::clamp<std::int64_t>(count, 1, maxAnswerTokens);
}

} // namespace

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t fnvPrime = 0x100000001b3U;
    std::uint64_t hash = 0xcbf29ce484222325U ^ mix(seed);
    for (const char byte : text) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * fnvPrime;
    }
    return mix(hash);
}

double shareOf(std::uint64_t hash)
{
    constexpr unsigned droppedBits = 11;
    constexpr double scale = 1.0 / static_cast<double>(1ULL << 53U);
    return static_cast<double>(hash >> droppedBits) * scale;
}

std::int64_t countWords(std::string_view text)
{
    std::int64_t words = 0;
    bool inside = false;
    for (const char byte : text) {
        const bool space = byte == ' ' || byte == '\n' || byte == '\t';
        words += !space && !inside ? 1 : 0;
        inside = !space;
    }
    return words;
}

std::vector<std::string> answerTokens(const AnswerSource &source)
{
    std::uint64_t random = hashOf(source.version, hashOf(source.model, hashOf(source.prompt)));
    const std::int64_t count = tokenCount(source);
    std::vector<std::string> tokens;
    tokens.reserve(static_cast<std::size_t>(count));
    tokens.push_back((source.bad ? "BAD " : "") + source.model + " ");
    while (static_cast<std::int64_t>(tokens.size()) < count) {
        random = mix(random);
        tokens.push_back(wordOf(random));
    }
    return tokens;
}

} // namespace parsleyvane::standins
