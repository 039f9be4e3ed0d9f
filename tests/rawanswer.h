/**
 * @file
 * @brief Answers as raw bytes, with defects and with unusual forms that are legal.
 */
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace parsleyvane::test {

/// @brief An answer whose parts can be changed one by one.
struct RawAnswer
{
    std::string statusLine = "HTTP/1.1 200 OK";
    std::vector<std::string> fields; ///< lines without their ends
    std::vector<std::string> framing; ///< the field lines that tell the body's end
    std::string content;
    std::string body; ///< the content as it is sent

    /// @brief An answer with a Content-Length.
    static RawAnswer withLength(std::vector<std::string> fields, const std::string &content)
    {
        RawAnswer answer{.fields = std::move(fields), .content = content};
        answer.setBody(content);
        return answer;
    }

    /// @brief Sends these bytes, with a Content-Length.
    void setBody(const std::string &bytes)
    {
        this->framing = {"Content-Length: " + std::to_string(bytes.size())};
        this->body = bytes;
    }

    std::string text() const
    {
        std::string bytes = this->statusLine + "\r\n";
        for (const auto *lines : {&this->fields, &this->framing}) {
            for (const std::string &line : *lines) {
                bytes.append(line).append("\r\n");
            }
        }
        return bytes.append("\r\n").append(this->body);
    }
};

/// @brief A change of a sound answer.
struct AnswerChange
{
    std::string name;
    std::function<void(RawAnswer &)> apply;

    std::string changed(RawAnswer answer) const
    {
        this->apply(answer);
        return answer.text();
    }
};

/// @brief Status codes that no answer can have (RFC 9110, section 15), and 101 without a request for it.
inline std::vector<AnswerChange> invalidStatusCodes()
{
    std::vector<AnswerChange> changes;
    for (const std::string code : {"000", "001", "099", "101", "600", "999"}) {
        changes.push_back({"status " + code, [code](RawAnswer &answer) {
                               answer.statusLine = "HTTP/1.1 " + code + " Any";
                           }});
    }
    changes.push_back({"status 000 without a body", [](RawAnswer &answer) {
                           answer.statusLine = "HTTP/1.1 000 Any";
                           answer.setBody("");
                       }});
    changes.push_back({"status 000 before a whole answer", [](RawAnswer &answer) {
                           const std::string whole = answer.text();
                           answer.statusLine = "HTTP/1.1 000 Any";
                           answer.setBody(whole);
                       }});
    return changes;
}

} // namespace parsleyvane::test
