/**
 * @file
 * @brief Reads INI text into a flat list of entries and reports every line that cannot be read.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane {

/// @brief One `key = value` line and its section.
struct IniEntry
{
    std::string section;
    std::string key;
    std::string value;
};

/// @brief A setting or answer that is invalid, unknown, missing or given twice.
struct SettingProblem
{
    std::string file;
    std::string section;
    std::string key;
    /// @brief The quoted value, or a short description in brackets when there is none to quote.
    std::string found;
    std::string allowed;
};

/// @brief The longest accepted line, in bytes.
constexpr std::size_t maxIniLineBytes = 190;
/// @brief The longest accepted section name or key, in bytes.
constexpr std::size_t maxIniNameBytes = 48;

/**
 * @brief Reads INI text. Malformed input is reported in `problems`, never thrown.
 * @param text sections, `key = value` lines, comments after ';' or '#'
 * @param fileName the file name to report in problems
 * @param problems receives unreadable and over-long lines and names, and keys that are given twice
 * @return the entries in file order; a key given twice appears once, with its first value
 *
 * Complexity: linear in the text, times the number of unreadable lines (parsing is retried at most 20 times).
 *
 * @code
 * std::vector<SettingProblem> problems;
 * const auto entries = readIni("[instance]\nid = a-1\n", "parsleyvaned.ini", problems);
 * @endcode
 */
std::vector<IniEntry> readIni(const std::string &text, const std::string &fileName,
                              std::vector<SettingProblem> &problems);

/// @brief Formats a problem as one line for operators: "FILE: [SECTION] KEY: found F, allowed: A".
std::string describe(const SettingProblem &problem);

/// @brief Splits text such as "a, b,c" at commas, trims whitespace and drops empty pieces. Complexity: linear.
std::vector<std::string> splitList(std::string_view text);

} // namespace parsleyvane
