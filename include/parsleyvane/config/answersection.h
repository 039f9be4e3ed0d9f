/**
 * @file
 * @brief One section of an answers file: reads each answer once, and reports the wrong, missing and unknown ones.
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
    /// @brief Whether the key is answered; makes it a known key.
    bool has(const std::string &key);

    // modifiers
    /// @brief An answer, or nothing; makes it a known key.
    std::optional<std::string> text(const std::string &key);
    /// @brief A required answer that is an identifier.
    std::string identifier(const std::string &key);
    /// @brief A required answer that is IP:PORT.
    std::string address(const std::string &key);
    bool boolean(const std::string &key, bool otherwise);
    /// @brief A list; a long one goes on under "KEY-2", "KEY-3" and so on.
    std::vector<std::string> list(const std::string &key);
    /// @brief A list of MODEL@VERSION.
    std::vector<ModelVersion> versions(const std::string &key);
    std::optional<VersionState> state(const std::string &key);
    template<typename Number>
    std::optional<Number> number(const std::string &key, Number least, Number most);
    /// @brief Reports an answer that is wrong.
    void report(const std::string &key, const std::string &found, const std::string &allowed);
    /// @brief Reports each answer whose key was never asked for.
    void reportUnknown();

private:
    std::string file;
    std::string heading;
    std::map<std::string, std::string> values;
    std::set<std::string> known;
    std::vector<SettingProblem> *problems;
};

template<typename Number>
std::optional<Number> AnswerSection::number(const std::string &key, Number least, Number most)
{
    const auto value = this->text(key);
    if (!value) {
        return std::nullopt;
    }
    const auto number = readNumber<Number>(*value, least, most);
    if (!number) {
        this->report(key, *value, "a number from " + std::to_string(least) + " to " + std::to_string(most));
    }
    return number;
}

} // namespace parsleyvane
