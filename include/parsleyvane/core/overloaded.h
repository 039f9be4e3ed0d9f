/**
 * @file
 * @brief Builds one visitor out of several lambdas.
 */
#pragma once

namespace parsleyvane {

/**
 * @brief A visitor with one call operator for each alternative of a variant.
 *
 * @code
 * std::visit(Overloaded{[](const WriteIndeterminate &) { ... }, [](const auto &) { ... }}, reply);
 * @endcode
 */
template<typename... Parts>
struct Overloaded : Parts...
{
    using Parts::operator()...;
};
template<typename... Parts>
Overloaded(Parts...) -> Overloaded<Parts...>;

} // namespace parsleyvane
