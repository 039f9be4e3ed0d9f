/**
 * @file
 * @brief Reads files of the source tree for tests.
 */
#pragma once

#include <fstream>
#include <sstream>
#include <string>

namespace parsleyvane::test {

/// @brief The content of a file, given its path relative to the repository root; empty when it is not found. Tests run
/// in the root or in a directory directly below it.
inline std::string readSourceFile(const std::string &path)
{
    for (const char *root : {"", "../"}) {
        const std::ifstream file(root + path);
        if (file) {
            std::ostringstream text;
            text << file.rdbuf();
            return text.str();
        }
    }
    return {};
}

} // namespace parsleyvane::test
