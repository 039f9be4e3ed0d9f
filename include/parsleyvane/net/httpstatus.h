/**
 * @file
 * @brief HTTP status codes that the servers and clients distinguish (RFC 9110).
 */
#pragma once

namespace parsleyvane {

inline constexpr int statusOk = 200;
inline constexpr int statusMultiple = 300; ///< first code above the successful (2xx) class
inline constexpr int statusBadRequest = 400;
inline constexpr int statusNotFound = 404;
inline constexpr int statusConflict = 409;
inline constexpr int statusMisdirected = 421;
inline constexpr int statusServerError = 500; ///< first code of the server error (5xx) class
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusTimeout = 504;

} // namespace parsleyvane
