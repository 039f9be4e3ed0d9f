/**
 * @file
 * @brief One section of an answers file: typed access to its answers, with reports of invalid, missing and unknown
 * ones.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/config/ini.h"
#include "parsleyvane/config/textvalues.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleyvane {

// Bounds of answers, for the answers file and the interview.
inline constexpr double minRequestsPerSecond = 0.001;
inline constexpr double maxRequestsPerSecond = 1e6;
inline constexpr unsigned maxInFlight = 100000;
inline constexpr unsigned maxTokensLimit = 1U << 20U;

/**
 * @brief The answers under one heading such as `[engine engine-1]`.
 *
 * @code
 * AnswerSection section("lumara.ini", "engine engine-1", entries, problems);
 * const std::string zone = section.identifier("zone");
 * section.reportUnknown();
 * @endcode
 */
class AnswerSection
{
public:
    // constructors
    /// @param heading the section's name, such as "engine engine-1"
    /// @param values the section's answers by key
    AnswerSection(std::string file, std::string heading, std::map<std::string, std::string> values,
                  std::vector<SettingProblem> &problems);

    // observers
    /// @brief The first word of the heading, such as "engine".
    std::string kind() const;
    /// @brief The rest of the heading, such as "engine-1"; empty when there is none.
    std::string name() const;
    /// @brief Whether the section has an answer for the key; records the key as known.
    bool has(const std::string &key);

    // modifiers
    /// @brief The answer, or nullopt if there is none; records the key as known.
    std::optional<std::string> text(const std::string &key);
    /// @brief A required answer that must be an identifier; reports a problem otherwise.
    std::string identifier(const std::string &key);
    /// @brief A required answer that must be IP:PORT; reports a problem otherwise.
    std::string address(const std::string &key);
    bool boolean(const std::string &key, bool defaultValue);
    /// @brief A comma-separated list; a long one continues under "KEY-2", "KEY-3" and so on.
    std::vector<std::string> list(const std::string &key);
    /// @brief A list of MODEL@VERSION.
    std::vector<ModelVersion> versions(const std::string &key);
    std::optional<VersionState> state(const std::string &key);
    template<typename Number>
    std::optional<Number> number(const std::string &key, Number min, Number max);
    /// @brief Reports an invalid or missing answer.
    /// @param found the invalid text; ignored when the key has no answer
    void report(const std::string &key, const std::string &found, const std::string &allowed);
    /// @brief Reports each answer whose key is not known, so it must be called after all keys were read.
    void reportUnknown();

private:
    std::string file;
    std::string heading;
    std::map<std::string, std::string> values;
    std::set<std::string> knownKeys;
    std::vector<SettingProblem> *problems;
};

template<typename Number>
std::optional<Number> AnswerSection::number(const std::string &key, Number min, Number max)
{
    const auto value = this->text(key);
    if (!value) {
        return std::nullopt;
    }
    const auto number = readNumber<Number>(*value, min, max);
    if (!number) {
        this->report(key, *value, "a number from " + std::to_string(min) + " to " + std::to_string(max));
    }
    return number;
}

} // namespace parsleyvane
