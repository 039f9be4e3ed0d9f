/**
 * @file
 * @brief The status codes that the fronts and calls tell apart, by RFC 9110.
 */
#pragma once

namespace parsleyvane {

inline constexpr int statusOk = 200;
inline constexpr int statusMultiple = 300; ///< the first that is no success
inline constexpr int statusNotFound = 404;
inline constexpr int statusConflict = 409;
inline constexpr int statusMisdirected = 421;
inline constexpr int statusServerError = 500; ///< the first of the server's failures
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusTimeout = 504;

} // namespace parsleyvane
