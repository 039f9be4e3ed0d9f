/**
 * @file
 * @brief Combines several lambdas into one visitor.
 */
#pragma once

namespace parsleyvane {

/**
 * @brief A visitor that inherits the call operator of each lambda, for use with std::visit().
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
