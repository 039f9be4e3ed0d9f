#include "parsleyvane/core/digest.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace parsleyvane {

namespace {

std::string toHex(const unsigned char *bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned nibble = 4;
    constexpr unsigned lowNibble = 0xF;
    std::string text;
    text.reserve(count * 2);
    for (std::size_t i = 0; i < count; ++i) {
        text.push_back(digits[bytes[i] >> nibble]);
        text.push_back(digits[bytes[i] & lowNibble]);
    }
    return text;
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned length = 0;
    if (EVP_Digest(text.data(), text.size(), hash.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("OpenSSL failed to compute SHA-256");
    }
    return toHex(hash.data(), length);
}

std::string hmacHex(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned length = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(text.data());
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, text.size(), hash.data(), &length)
        == nullptr) {
        throw std::runtime_error("OpenSSL failed to compute the HMAC");
    }
    return toHex(hash.data(), length);
}

bool constantTimeEqual(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomId()
{
    constexpr std::size_t idBytes = 16;
    std::array<unsigned char, idBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("OpenSSL returned no random bytes");
    }
    return toHex(bytes.data(), bytes.size());
}

} // namespace parsleyvane
