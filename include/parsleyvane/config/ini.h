/**
 * @file
 * @brief Reads INI text into a flat list of entries, with each line that cannot be read.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane {

/// @brief One `key = value` line and the section it stands in.
struct IniEntry
{
    std::string section;
    std::string key;
    std::string value;
};

/// @brief A setting or answer that is wrong, unknown, missing or given twice.
struct SettingProblem
{
    std::string file;
    std::string section;
    std::string key;
    /// @brief What stands there; a short description in brackets when nothing can be quoted.
    std::string found;
    std::string allowed;
};

/// @brief The longest line that is read, in bytes.
constexpr std::size_t maxIniLineBytes = 190;
/// @brief The longest section name or key that is read, in bytes.
constexpr std::size_t maxIniNameBytes = 48;

/**
 * @brief Reads INI text. Never throws on any bytes.
 * @param text sections, `key = value` lines, comments after ';' or '#'
 * @param fileName the name that problems carry
 * @param problems receives unreadable and over-long lines and names, and keys that are given twice
 * @return the entries in their order; a key given twice appears once, with its first value
 *
 * Complexity: linear in the text, times the number of unreadable lines (at most 20 are looked for).
 *
 * @code
 * std::vector<SettingProblem> problems;
 * const auto entries = readIni("[instance]\nid = a-1\n", "parsleyvaned.ini", problems);
 * @endcode
 */
std::vector<IniEntry> readIni(const std::string &text, const std::string &fileName,
                              std::vector<SettingProblem> &problems);

/// @brief One line for people: "FILE: [SECTION] KEY: found F, allowed A".
std::string describe(const SettingProblem &problem);

/// @brief Splits "a, b,c" at commas and trims blanks; empty pieces are kept out. Complexity: linear.
std::vector<std::string> splitList(std::string_view text);

} // namespace parsleyvane
