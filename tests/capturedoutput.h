/**
 * @file
 * @brief Captures what the process writes to a file descriptor.
 */
#pragma once

#include <functional>
#include <string>
#include <sys/mman.h>
#include <unistd.h>

namespace parsleyvane::test {

/// @brief What the process writes to the file descriptor while the function runs.
inline std::string capturedOutput(int descriptor, const std::function<void()> &run)
{
    const int file = ::memfd_create("output", 0);
    const int before = ::dup(descriptor);
    ::dup2(file, descriptor);
    run();
    ::dup2(before, descriptor);
    std::string output(static_cast<std::size_t>(::lseek(file, 0, SEEK_END)), '\0');
    const auto count = ::pread(file, output.data(), output.size(), 0);
    output.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
    ::close(before);
    ::close(file);
    return output;
}

} // namespace parsleyvane::test
