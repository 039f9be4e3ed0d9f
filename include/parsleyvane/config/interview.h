/**
 * @file
 * @brief Asks the questionnaire's questions one after the other.
 */
#pragma once

#include "parsleyvane/config/questionnaire.h"

#include <iosfwd>
#include <optional>

namespace parsleyvane {

/**
 * @brief Asks for an organisation's answers, line by line; a wrong answer is asked again with what is allowed.
 * @param input the lines that are given; an empty one takes the usual answer
 * @param output receives the questions
 * @param reason why the result is empty: InvalidSetting, when the input ends early or the answers contradict
 *
 * @code
 * LastReason reason;
 * const auto answers = interview(std::cin, std::cerr, reason);
 * @endcode
 */
std::optional<Answers> interview(std::istream &input, std::ostream &output, LastReason &reason);

} // namespace parsleyvane
