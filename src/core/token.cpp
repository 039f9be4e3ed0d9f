#include "parsleyvane/session/token.h"

#include "parsleyvane/core/digest.h"
#include "parsleyvane/core/textcodec.h"

#include <array>

namespace parsleyvane {

namespace {

constexpr char separator = '.';
// Fields of a token: format, key id, session id, account, model, version, signature.
constexpr std::size_t fieldCount = 7;
constexpr std::string_view tokenFormat = "s1";
constexpr std::size_t maxTokenLength = 2048;

std::vector<std::string> split(const std::string &token)
{
    std::vector<std::string> fields(1);
    for (const char c : token) {
        if (c == separator) {
            fields.emplace_back();
            continue;
        }
        fields.back().push_back(c);
    }
    return fields;
}

std::string signedPayload(const SessionKey &key, const Session &session)
{
    std::string text(tokenFormat);
    for (const std::string &field :
         {key.id, session.id, session.account.str(), session.pinned.model.str(), session.pinned.version.str()}) {
        text.push_back(separator);
        text.append(percentEncode(field));
    }
    return text;
}

/// Finds the configured version with these encoded names; comparing encoded names needs no decoder.
std::optional<ModelVersion> findEncoded(const Configuration &configuration, const std::string &model,
                                        const std::string &version)
{
    for (const VersionEntry &entry : configuration.versions) {
        if (percentEncode(entry.id.model.str()) == model && percentEncode(entry.id.version.str()) == version) {
            return entry.id;
        }
    }
    return std::nullopt;
}

Failure invalid(std::string detail)
{
    return {.id = ErrorId::SessionInvalid, .step = Step::Authenticate, .detail = std::move(detail)};
}

} // namespace

std::optional<std::string> issueToken(const Configuration &configuration, const Session &session, LastReason &reason)
{
    if (configuration.sessionKeys.empty()) {
        return reason.fail(
            {.id = ErrorId::InvalidConfiguration, .step = Step::Reply, .detail = "no session key is configured"});
    }
    const SessionKey &key = configuration.sessionKeys.front();
    std::string token = signedPayload(key, session);
    const std::string signature = hmacHex(key.secret, token);
    token.push_back(separator);
    return token.append(signature);
}

std::optional<Session> checkToken(const Configuration &configuration, const AccountId &account,
                                  const std::string &token, LastReason &reason)
{
    if (token.size() > maxTokenLength) {
        return reason.fail(invalid("the token is too long"));
    }
    const std::vector<std::string> fields = split(token);
    if (fields.size() != fieldCount || fields[0] != tokenFormat) {
        return reason.fail(invalid("the token is malformed"));
    }
    const std::string body = token.substr(0, token.rfind(separator));
    for (const SessionKey &key : configuration.sessionKeys) {
        if (percentEncode(key.id) != fields[1]) {
            continue;
        }
        if (!constantTimeEqual(hmacHex(key.secret, body), fields[6])) {
            break;
        }
        if (percentEncode(account.str()) != fields[3]) {
            return reason.fail(invalid("the session is another client account's"));
        }
        const auto pinned = findEncoded(configuration, fields[4], fields[5]);
        if (!pinned) {
            Failure withdrawn = invalid("the session's version is no longer configured");
            withdrawn.id = ErrorId::SessionVersionWithdrawn;
            return reason.fail(withdrawn);
        }
        return Session{fields[2], account, *pinned};
    }
    return reason.fail(invalid("the token's key is unknown or its signature is wrong"));
}

std::optional<Failure> sessionRefusal(const Configuration &configuration, const Session &session)
{
    Failure failure{.step = Step::Admit};
    const Account *account = configuration.findAccount(session.account);
    if (account == nullptr || !allows(*account, session.pinned)) {
        failure.id = ErrorId::ModelNotAllowed;
        failure.detail = "the client account may no longer use the session's version";
        return failure;
    }
    const VersionEntry *entry = configuration.findVersion(session.pinned);
    if (entry == nullptr || !takesWork(*entry, true)) {
        failure.id = ErrorId::SessionVersionWithdrawn;
        failure.detail = "the session's version " + session.pinned.version.str() + " was withdrawn";
        return failure;
    }
    return std::nullopt;
}

} // namespace parsleyvane
