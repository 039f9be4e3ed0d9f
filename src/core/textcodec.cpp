#include "parsleyvane/core/textcodec.h"

#include <openssl/evp.h>

namespace parsleyvane {

namespace {

constexpr std::string_view digits = "0123456789abcdef";
constexpr unsigned nibble = 4;
constexpr unsigned lowNibble = 0xF;

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

void appendHex(std::string &out, char c)
{
    const auto byte = static_cast<unsigned char>(c);
    out.push_back(digits[byte >> nibble]);
    out.push_back(digits[byte & lowNibble]);
}

} // namespace

std::string percentEncode(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        if (isUnreserved(c)) {
            out.push_back(c);
            continue;
        }
        out.push_back('%');
        appendHex(out, c);
    }
    return out;
}

std::string hexEncode(std::string_view bytes)
{
    std::string out;
    for (const char c : bytes) {
        appendHex(out, c);
    }
    return out;
}

std::optional<std::string> hexDecode(std::string_view text)
{
    if (text.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 2) {
        const auto high = digits.find(text[at]);
        const auto low = digits.find(text[at + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        out.push_back(static_cast<char>((high << nibble) | low));
    }
    return out;
}

std::string base64Encode(std::string_view bytes)
{
    constexpr std::size_t group = 3;
    constexpr std::size_t encodedGroup = 4;
    // EVP_EncodeBlock() appends a terminating zero byte.
    std::string text((bytes.size() + group - 1) / group * encodedGroup + 1, '\0');
    const int length
        = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                          reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> base64Decode(std::string_view text)
{
    constexpr std::size_t encodedGroup = 4;
    if (text.size() % encodedGroup != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size(), '\0');
    const int length
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                          reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    // The length that EVP_DecodeBlock() returns includes a zero byte for each padding character.
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace parsleyvane
