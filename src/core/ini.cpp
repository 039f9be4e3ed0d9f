#include "parsleyvane/config/ini.h"

#include <algorithm>
#include <ini.h>
#include <set>
#include <sstream>

namespace parsleyvane {

namespace {

constexpr int maxUnreadableLines = 20;
constexpr std::size_t maxQuotedBytes = 40;

int collectEntry(void *entries, const char *section, const char *key, const char *value)
{
    static_cast<std::vector<IniEntry> *>(entries)->push_back({section, key, value});
    return 1;
}

std::string trimmed(std::string_view text)
{
    constexpr std::string_view whitespace = " \t\r\n";
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(whitespace) - first + 1));
}

/// Quotes the start of a line, with control characters replaced, as they would garble the operator's terminal.
std::string quoted(const std::string &line)
{
    std::string text = line.substr(0, maxQuotedBytes);
    std::replace_if(
        text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; }, '?');
    return "'" + text + "'";
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

bool isComment(const std::string &line)
{
    const std::string text = trimmed(line);
    return !text.empty() && (text.front() == ';' || text.front() == '#');
}

SettingProblem lineProblem(const std::string &fileName, std::size_t index, const std::string &line, std::string allowed)
{
    return {fileName, "", "line " + std::to_string(index + 1), quoted(line), std::move(allowed)};
}

/// Empties lines that the INI parser would misread: it splits a line that is too long and stops at a NUL byte.
void clearUnsafeLines(std::vector<std::string> &lines, const std::string &fileName,
                      std::vector<SettingProblem> &problems)
{
    for (std::size_t i = 0; i < lines.size(); ++i) {
        std::string &line = lines[i];
        const bool unsafe = line.size() > maxIniLineBytes || line.find('\0') != std::string::npos;
        if (!unsafe) {
            continue;
        }
        if (!isComment(line) || line.find('\0') != std::string::npos) {
            problems.push_back(lineProblem(fileName, i, line, "text lines of at most 190 bytes"));
        }
        line.clear();
    }
}

std::vector<IniEntry> parseLines(std::vector<std::string> lines, const std::string &fileName,
                                 std::vector<SettingProblem> &problems)
{
    std::vector<IniEntry> entries;
    for (int attempt = 0; attempt <= maxUnreadableLines; ++attempt) {
        entries.clear();
        const int badLine = ini_parse_string(joinLines(lines).c_str(), collectEntry, &entries);
        const auto index = static_cast<std::size_t>(badLine) - 1;
        if (badLine <= 0 || index >= lines.size() || attempt == maxUnreadableLines) {
            break;
        }
        problems.push_back(lineProblem(fileName, index, lines[index], "[section], key = value, or a comment"));
        lines[index].clear();
    }
    return entries;
}

void reportLongNames(const std::vector<IniEntry> &entries, const std::string &fileName,
                     std::vector<SettingProblem> &problems)
{
    for (const IniEntry &entry : entries) {
        if (entry.section.size() > maxIniNameBytes || entry.key.size() > maxIniNameBytes) {
            problems.push_back({fileName, entry.section, entry.key, "(name too long)", "names of at most 48 bytes"});
        }
    }
}

std::vector<IniEntry> withoutDuplicates(const std::vector<IniEntry> &entries, const std::string &fileName,
                                        std::vector<SettingProblem> &problems)
{
    std::vector<IniEntry> unique;
    std::set<std::pair<std::string, std::string>> seen;
    for (const IniEntry &entry : entries) {
        if (!seen.emplace(entry.section, entry.key).second) {
            problems.push_back({fileName, entry.section, entry.key, quoted(entry.value) + " (a second value)",
                                "one value, on one line without indentation"});
            continue;
        }
        unique.push_back(entry);
    }
    return unique;
}

} // namespace

std::vector<IniEntry> readIni(const std::string &text, const std::string &fileName,
                              std::vector<SettingProblem> &problems)
{
    std::vector<std::string> lines = splitLines(text);
    clearUnsafeLines(lines, fileName, problems);
    const std::vector<IniEntry> entries = parseLines(std::move(lines), fileName, problems);
    reportLongNames(entries, fileName, problems);
    return withoutDuplicates(entries, fileName, problems);
}

std::string describe(const SettingProblem &problem)
{
    std::string text = problem.file + ": ";
    if (!problem.section.empty()) {
        text += "[" + problem.section + "] ";
    }
    if (!problem.key.empty()) {
        text += problem.key + ": ";
    }
    return text + "found " + problem.found + ", allowed: " + problem.allowed;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> pieces;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        std::string piece = trimmed(text.substr(0, comma));
        if (!piece.empty()) {
            pieces.push_back(std::move(piece));
        }
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return pieces;
}

} // namespace parsleyvane
