/**
 * @file
 * @brief Session tokens, which any instance can issue and verify without access to the store.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/core/failure.h"

#include <optional>
#include <string>

namespace parsleyvane {

/// @brief The contents of a session token.
struct Session
{
    std::string id;
    AccountId account;
    ModelVersion pinned;

    friend bool operator==(const Session &, const Session &) = default;
};

/**
 * @brief Signs a session with the first of the configuration's session keys.
 * @return the token, printable ASCII without spaces; nothing when no key is configured (InvalidConfiguration)
 */
std::optional<std::string> issueToken(const Configuration &configuration, const Session &session, LastReason &reason);

/**
 * @brief Parses and verifies a token.
 * @param account the client account that presents it
 * @return the session; nothing when the token is malformed, wrongly signed or another account's (SessionInvalid), or
 * when its version is no longer configured (SessionVersionWithdrawn)
 */
std::optional<Session> checkToken(const Configuration &configuration, const AccountId &account,
                                  const std::string &token, LastReason &reason);

/**
 * @brief Checks whether the session's version may serve its next request.
 * @return SessionVersionWithdrawn or ModelNotAllowed; nothing when it may
 */
std::optional<Failure> sessionRefusal(const Configuration &configuration, const Session &session);

} // namespace parsleyvane
