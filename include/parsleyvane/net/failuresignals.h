/**
 * @file
 * @brief One line on standard error when a signal ends the process.
 */
#pragma once

namespace parsleyvane {

/**
 * @brief Writes `event=crash` with the signal and a stack trace before a fault or an abort ends the process.
 *
 * The process still ends by the signal. Addresses within the program are offsets, as addr2line expects them. glog's
 * handler isn't used: it has no stack of its own, which an overflowing stack needs, and it takes SIGTERM as a failure.
 */
void installFailureSignalHandler();

} // namespace parsleyvane
