/**
 * @file
 * @brief The questionnaire: one organisation's answers, and the configuration that is generated from them.
 *
 * docs/CONFIGURATION.md describes the layout of an answers file.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/config/ini.h"
#include "parsleyvane/config/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief The answers about one version; omitted values keep what is configured.
struct VersionAnswers
{
    ModelVersion id;
    /// @brief State and weight to set even if the version is already configured.
    std::optional<VersionState> state;
    std::optional<unsigned> weight;
    /// @brief State and weight for a version that is not configured yet.
    VersionState initialState = VersionState::Warming;
    unsigned initialWeight = 0;
    std::optional<MicroCost> costPerMillionTokens;
};

/// @brief The answers of one organisation.
struct Answers
{
    std::string organisation;
    std::vector<Account> accounts;
    std::vector<VersionAnswers> versions;
    std::vector<Upstream> upstreams;
};

/**
 * @brief Reads an answers file. API keys in it are hashed while reading; the result holds only the hashes.
 * @param fileName the file name to report in problems
 * @param problems receives every invalid, unknown, missing and duplicate answer
 * @param overrides answers from the command line, as "SECTION.key" or "NAME.key", where NAME is the second word of the
 * section, such as "engine-1.address"
 * @return the answers, or nullopt when there is any problem
 *
 * Complexity: linear in the text, times the number of accounts for tasks.
 *
 * @code
 * std::vector<SettingProblem> problems;
 * const auto answers = readAnswers(text, "lumara.ini", problems, {{"engine-1.address", "127.0.0.1:9001"}});
 * const Configuration next = amend(current, *answers);
 * @endcode
 */
std::optional<Answers> readAnswers(const std::string &iniText, const std::string &fileName,
                                   std::vector<SettingProblem> &problems, const SettingOverrides &overrides = {});

/// @brief Writes answers as INI text that readAnswers() reads back unchanged.
std::string writeAnswers(const Answers &answers);

/**
 * @brief Applies an organisation's answers to a configuration.
 *
 * The organisation's accounts are replaced by those of the answers. Upstreams are added, or replaced if their
 * identifier is already configured. Versions are added; one that is already configured keeps its state, weight and cost
 * unless the answers set them, so that amending neither undoes a withdrawal nor disturbs a roll-out.
 *
 * @return the new configuration, with the revision and change of `base`
 */
Configuration amend(const Configuration &base, const Answers &answers);

/// @brief Reads "MODEL@VERSION".
std::optional<ModelVersion> readVersionText(std::string_view text);
/// @brief Reads "warming", "serving", "closed" or "withdrawn".
std::optional<VersionState> readVersionState(std::string_view text) noexcept;

} // namespace parsleyvane
