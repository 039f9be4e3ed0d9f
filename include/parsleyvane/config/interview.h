/**
 * @file
 * @brief Interactive form of the questionnaire.
 */
#pragma once

#include "parsleyvane/config/questionnaire.h"

#include <iosfwd>
#include <optional>

namespace parsleyvane {

/**
 * @brief Asks for an organisation's answers one by one; after an invalid answer, prints what is allowed and asks again.
 * @param input one answer a line; an empty line selects the default answer
 * @param output receives the questions
 * @param reason receives the failure when the result is empty: InvalidSetting, if the input ends early or the answers
 * as a whole are invalid
 *
 * @code
 * LastReason reason;
 * const auto answers = interview(std::cin, std::cerr, reason);
 * @endcode
 */
std::optional<Answers> interview(std::istream &input, std::ostream &output, LastReason &reason);

} // namespace parsleyvane
