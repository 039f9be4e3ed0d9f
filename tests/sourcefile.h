/**
 * @file
 * @brief Reads files of the source tree in tests.
 */
#pragma once

#include <fstream>
#include <sstream>
#include <string>

namespace parsleyvane::test {

/// @brief A file's text by its path from the root; empty when it is not there. Tests run at the root or one below it.
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
