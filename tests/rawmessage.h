/**
 * @file
 * @brief Requests and answers as raw bytes, with defects and with unusual forms that are legal.
 */
#pragma once

#include <array>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace parsleyvane::test {

/// @brief A chunk of the chunked transfer coding.
inline std::string chunk(const std::string &content)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", content.size());
    return std::string(size.data()) + "\r\n" + content + "\r\n";
}

/// @brief A message whose parts can be changed one by one.
struct RawMessage
{
    std::string before; ///< bytes before the start line
    std::string startLine = "HTTP/1.1 200 OK";
    std::vector<std::string> fields; ///< lines without their ends
    std::vector<std::string> framing; ///< the field lines that tell the body's end
    std::string content;
    std::string body; ///< the content as it is sent

    /// @brief An answer with a Content-Length.
    static RawMessage withLength(std::vector<std::string> fields, const std::string &content)
    {
        RawMessage message{.fields = std::move(fields), .content = content};
        message.setBody(content);
        return message;
    }

    /// @brief Names another version of the protocol in the start line.
    void setVersion(const std::string &version)
    {
        const std::string usual = "HTTP/1.1";
        this->startLine.replace(this->startLine.find(usual), usual.size(), version);
    }

    /// @brief Sends these bytes, with a Content-Length.
    void setBody(const std::string &bytes)
    {
        this->framing = {"Content-Length: " + std::to_string(bytes.size())};
        this->body = bytes;
    }

    /// @brief Sends the content in two chunks.
    void setChunked(const std::string &ending = "0\r\n\r\n")
    {
        constexpr std::size_t firstBytes = 1;
        this->framing = {"Transfer-Encoding: chunked"};
        this->body = chunk(this->content.substr(0, firstBytes)) + chunk(this->content.substr(firstBytes)) + ending;
    }

    std::string text() const
    {
        std::string bytes = this->before + this->startLine + "\r\n";
        for (const auto *lines : {&this->fields, &this->framing}) {
            for (const std::string &line : *lines) {
                bytes.append(line).append("\r\n");
            }
        }
        return bytes.append("\r\n").append(this->body);
    }
};

/// @brief A change of a sound message.
struct MessageChange
{
    std::string name;
    std::function<void(RawMessage &)> apply;
    bool isAtEnd = false; ///< the head and the content stay as they are

    std::string changed(RawMessage message) const
    {
        this->apply(message);
        return message.text();
    }
};

/// @brief Status codes that no answer can have (RFC 9110, section 15), and 101 without a request for it.
inline std::vector<MessageChange> invalidStatusCodes()
{
    std::vector<MessageChange> changes;
    for (const std::string code : {"000", "001", "099", "101", "600", "999"}) {
        changes.push_back({"status " + code, [code](RawMessage &answer) {
                               answer.startLine = "HTTP/1.1 " + code + " Any";
                           }});
    }
    changes.push_back({"status 000 without a body", [](RawMessage &answer) {
                           answer.startLine = "HTTP/1.1 000 Any";
                           answer.setBody("");
                       }});
    changes.push_back({"status 000 before a whole answer", [](RawMessage &answer) {
                           const std::string whole = answer.text();
                           answer.startLine = "HTTP/1.1 000 Any";
                           answer.setBody(whole);
                       }});
    return changes;
}

/// @brief Malformed field lines (RFC 9112, section 5), each as the first field and as the last one.
inline std::vector<MessageChange> malformedFields()
{
    const std::vector<std::string> lines = {"X Any: 1",
                                            "X-Any : 1",
                                            "X-Any\t: 1",
                                            "X-A\tny: 1",
                                            "X-A\x01ny: 1",
                                            "X-A\x7fny: 1",
                                            std::string("X-A\0ny: 1", 9),
                                            "X-A\x80ny: 1",
                                            "X-A\nX-B: 1",
                                            "X-A\rX-B: 1",
                                            ": 1",
                                            "X-Any",
                                            "X-Any: a\x01z",
                                            std::string("X-Any: a\0z", 10),
                                            "X-Any: a\rz",
                                            "X-Any: a\nz",
                                            "Content-Length : 1",
                                            "Transfer-Encoding : chunked"};
    std::vector<MessageChange> changes;
    for (const std::string &line : lines) {
        changes.push_back({"first field " + line, [line](RawMessage &message) {
                               message.fields.insert(message.fields.begin(), line);
                           }});
        changes.push_back({"last field " + line, [line](RawMessage &message) {
                               message.framing.push_back(line);
                           }});
    }
    return changes;
}

/// @brief Field lines that begin with a blank: continuations of the line before, which no sender may send
/// (RFC 9112, section 5.2), or a field whose name begins with a blank.
inline std::vector<MessageChange> foldedFields()
{
    std::vector<MessageChange> changes;
    for (const std::string line : {" X-Any: 1", "\tX-Any: 1", " more"}) {
        changes.push_back({"first field " + line, [line](RawMessage &message) {
                               message.fields.insert(message.fields.begin(), line);
                           }});
        changes.push_back({"later field " + line, [line](RawMessage &message) {
                               message.fields.push_back("X-Folded: a");
                               message.fields.push_back(line);
                           }});
    }
    changes.push_back({"hidden length", [](RawMessage &message) {
                           message.fields.push_back("X-Folded: a");
                           message.framing.front().insert(0, " ");
                       }});
    changes.push_back(
        {"folded trailer", [](RawMessage &message) { message.setChunked("0\r\nX-Late: a\r\n b\r\n\r\n"); }, true});
    return changes;
}

/// @brief Transfer codings other than chunked alone (RFC 9112, sections 6.1 and 6.3).
inline std::vector<MessageChange> unsupportedCodings()
{
    std::vector<MessageChange> changes;
    for (const std::string value :
         {"xchunked", "identity", "gzip", "gzip, chunked", "chunked, gzip", "identity, chunked", "chunked, identity",
          "chunked, chunked", "chunked;q=1", "chunked chunked", "\"chunked\"", ""}) {
        changes.push_back({"transfer coding " + value, [value](RawMessage &message) {
                               message.setChunked();
                               message.framing = {"Transfer-Encoding: " + value};
                           }});
    }
    changes.push_back({"two lines of codings", [](RawMessage &message) {
                           message.setChunked();
                           message.framing = {"Transfer-Encoding: identity", "Transfer-Encoding: chunked"};
                       }});
    changes.push_back({"length and chunked", [](RawMessage &message) {
                           message.setChunked();
                           message.framing.push_back("Content-Length: " + std::to_string(message.body.size()));
                       }});
    changes.push_back({"length and another coding", [](RawMessage &message) {
                           message.framing.push_back("Transfer-Encoding: identity");
                       }});
    changes.push_back({"chunked in HTTP/1.0", [](RawMessage &message) {
                           message.setChunked();
                           message.setVersion("HTTP/1.0");
                       }});
    return changes;
}

/// @brief Malformed status lines (RFC 9112, section 4).
inline std::vector<MessageChange> malformedStatusLines()
{
    std::vector<MessageChange> changes;
    for (const std::string line : {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 OK",
                                   "HTTP/1.1 200", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/2.0 200 OK",
                                   "HTTP/1.1 200 O\x01K", "http/1.1 200 OK", " HTTP/1.1 200 OK", "200 OK"}) {
        changes.push_back({"status line " + line, [line](RawMessage &message) {
                               message.startLine = line;
                           }});
    }
    return changes;
}

/// @brief Malformed lengths, chunks and trailers.
inline std::vector<MessageChange> malformedFraming()
{
    std::vector<MessageChange> changes;
    for (const std::string value : {"", "-1", "+5", "5x", "0x5", "5 5", "5,", "5, 6", "99999999999999999999"}) {
        changes.push_back({"length " + value, [value](RawMessage &message) {
                               message.framing = {"Content-Length: " + value};
                           }});
    }
    changes.push_back({"two lengths", [](RawMessage &message) {
                           message.framing.push_back("Content-Length: 1");
                       }});
    for (const std::string size :
         {"", "x", "-1", "0x5", " 5", "5 ", "fffffffffffffffff", "5;", "5;=a", "5;a=\"\x01\""}) {
        changes.push_back({"chunk size " + size, [size](RawMessage &message) {
                               message.setChunked();
                               message.body = size + "\r\n" + "12345\r\n0\r\n\r\n";
                           }});
    }
    for (const std::string trailer : {"X Late: 1", "X-Late : 1", "X-La\x01te: 1", "X-Late", "Content-Length: 5"}) {
        changes.push_back({"trailer " + trailer,
                           [trailer](RawMessage &message) { message.setChunked("0\r\n" + trailer + "\r\n\r\n"); },
                           true});
    }
    changes.push_back({"no end of a chunk", [](RawMessage &message) {
                           message.setChunked();
                           message.body = "5\r\n123456\r\n0\r\n\r\n";
                       }});
    return changes;
}

/// @brief Unusual forms that a recipient has to accept.
inline std::vector<MessageChange> unusualForms()
{
    std::vector<MessageChange> changes;
    for (const std::string line : {"x-any:1", "X-Any:", "X-Any:\t 1 \t", "X-Any: \xc3\xa9", "!#$%&'*+-.^_`|~09azAZ: 1",
                                   "X-Any: a: b, \"c\"; d=(e)", "Connection: keep-alive", "Keep-Alive: timeout=5",
                                   "Date: Mon, 07 Dec 2026 00:00:00 GMT"}) {
        changes.push_back({"first field " + line, [line](RawMessage &message) {
                               message.fields.insert(message.fields.begin(), line);
                           }});
    }
    changes.push_back({"repeated field", [](RawMessage &message) {
                           message.fields.insert(message.fields.end(), {"X-Any: 1", "x-any: 2"});
                       }});
    changes.push_back({"long field", [](RawMessage &message) {
                           message.fields.push_back("X-Any: " + std::string(4000, 'x'));
                       }});
    changes.push_back({"repeated length", [](RawMessage &message) {
                           message.framing.push_back(message.framing.front());
                       }});
    changes.push_back({"chunked", [](RawMessage &message) {
                           message.setChunked();
                       }});
    for (const std::string value : {"Chunked", "CHUNKED", "\tchunked \t", ", chunked", "chunked,", ",\t,chunked , ,"}) {
        changes.push_back({"transfer coding " + value, [value](RawMessage &message) {
                               message.setChunked();
                               message.framing = {"transfer-encoding:" + value};
                           }});
    }
    for (const std::string extension : {";a", ";a=b", ";a=\"b c\"", " ; a = b"}) {
        changes.push_back({"chunk extension " + extension, [extension](RawMessage &message) {
                               message.setChunked("000" + extension + "\r\n\r\n");
                               message.body.insert(message.body.find("\r\n"), extension);
                           }});
    }
    changes.push_back({"trailers", [](RawMessage &message) {
                           message.setChunked("0\r\nX-Late: 1\r\nX-Later:\r\n\r\n");
                       }});
    return changes;
}

/// @brief unusualForms(), and those of answers alone.
inline std::vector<MessageChange> unusualAnswers()
{
    std::vector<MessageChange> changes = unusualForms();
    for (const std::string line : {"HTTP/1.1 200 ", "HTTP/1.1 200 \xc3\xa9t\xc3\xa9\tAny", "HTTP/1.0 200 OK"}) {
        changes.push_back({"status line " + line, [line](RawMessage &message) {
                               message.startLine = line;
                           }});
    }
    changes.push_back({"first field Connection: close", [](RawMessage &message) {
                           message.fields.insert(message.fields.begin(), "Connection: close");
                       }});
    changes.push_back({"end by close", [](RawMessage &message) {
                           message.framing.clear();
                       }});
    changes.push_back({"end by close in HTTP/1.0", [](RawMessage &message) {
                           message.startLine = "HTTP/1.0 200 OK";
                           message.framing.clear();
                       }});
    changes.push_back({"one interim answer", [](RawMessage &message) {
                           message.before = "HTTP/1.1 100 Continue\r\n\r\n";
                       }});
    changes.push_back({"interim answers", [](RawMessage &message) {
                           message.before = "HTTP/1.1 102 \r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                                            "HTTP/1.1 199 Any\r\n\r\n";
                       }});
    return changes;
}

/// @brief A request to "/r/" of the host "h". @param fields lines without their ends, beside Host
inline RawMessage rawRequest(std::vector<std::string> fields, const std::string &content)
{
    fields.insert(fields.begin(), "Host: h");
    RawMessage request = RawMessage::withLength(std::move(fields), content);
    request.startLine = "POST /r/ HTTP/1.1";
    return request;
}

/// @brief Malformed request lines (RFC 9112, section 3), and a method that no route can serve.
inline std::vector<MessageChange> malformedRequestLines()
{
    std::vector<MessageChange> changes;
    for (const std::string line :
         {"POST  /r/ HTTP/1.1", "POST\t/r/ HTTP/1.1", "POST /r/  HTTP/1.1", "POST /r/ HTTP/1.1 ", " POST /r/ HTTP/1.1",
          "POST /r/", "POST HTTP/1.1", "/r/ HTTP/1.1", "PO(ST /r/ HTTP/1.1", "POST /r/ \x01 HTTP/1.1",
          "POST /r/\x7f HTTP/1.1", "POST /r/ a HTTP/1.1", "POST /r/ HTTP/2.0", "POST /r/ HTTP/0.9", "POST /r/ HTTP/1.",
          "POST /r/ http/1.1", "CONNECT /r/ HTTP/1.1", "CONNECT h:80 HTTP/1.1"}) {
        changes.push_back({"request line " + line, [line](RawMessage &request) {
                               request.startLine = line;
                           }});
    }
    return changes;
}

/// @brief Requests without one valid Host (RFC 9112, section 3.2).
inline std::vector<MessageChange> malformedHosts()
{
    std::vector<MessageChange> changes;
    changes.push_back({"no host", [](RawMessage &request) {
                           request.fields.erase(request.fields.begin());
                       }});
    for (const std::string line : {"Host: h", "host: other", "Host:"}) {
        changes.push_back({"second host " + line, [line](RawMessage &request) {
                               request.fields.push_back(line);
                           }});
    }
    for (const std::string value : {"h h", "h/r", "h?", "h#", "u@h", "h:8x", "h:80:80", "http://h", "[::1", "[h]",
                                    "h%2", "h\xc3\xa9", "h\"", "<h>"}) {
        changes.push_back({"host " + value, [value](RawMessage &request) {
                               request.fields.front() = "Host: " + value;
                           }});
    }
    return changes;
}

/// @brief Connection fields that name Host, which is for all recipients (RFC 9110, section 7.6.1).
inline std::vector<MessageChange> hostsOfOneConnection()
{
    std::vector<MessageChange> changes;
    for (const std::string value : {"Host", "host", "close, HOST", ", Host ,"}) {
        changes.push_back({"connection " + value, [value](RawMessage &request) {
                               request.fields.insert(request.fields.begin(), "Connection: " + value);
                           }});
    }
    changes.push_back({"host in the second line of options", [](RawMessage &request) {
                           request.fields.push_back("Connection: keep-alive");
                           request.fields.push_back("Connection: Host");
                       }});
    return changes;
}

/// @brief unusualForms(), and those of requests alone.
inline std::vector<MessageChange> unusualRequests()
{
    std::vector<MessageChange> changes = unusualForms();
    for (const std::string line : {"GET /r/ HTTP/1.1", "PUT /r/ HTTP/1.1", "BREW /r/ HTTP/1.1",
                                   "POST /r/?a=b%20c&d=/r/ HTTP/1.1", "POST /r/a;b:@!$'()*+,= HTTP/1.1"}) {
        changes.push_back({"request line " + line, [line](RawMessage &request) {
                               request.startLine = line;
                           }});
    }
    for (const std::string value : {"h:80", "h:", "\th\t"}) {
        changes.push_back({"host " + value, [value](RawMessage &request) {
                               request.fields.front() = "Host:" + value;
                           }});
    }
    for (const std::string value : {"TE", "Upgrade, HTTP2-Settings", "X-Any", ",keep-alive,", "Transfer-Encoding"}) {
        changes.push_back({"connection " + value, [value](RawMessage &request) {
                               request.fields.push_back("Connection: " + value);
                               request.fields.push_back("X-Any: 1");
                           }});
    }
    changes.push_back({"chunks of text with blanks after line ends", [](RawMessage &request) {
                           request.content = "a\n b\r\n\tc\r\n\r\n d";
                           request.setChunked();
                       }});
    changes.push_back({"kept connection of HTTP/1.0", [](RawMessage &request) {
                           request.setVersion("HTTP/1.0");
                           request.fields.push_back("Connection: keep-alive");
                       }});
    changes.push_back({"no length", [](RawMessage &request) {
                           request.framing.clear();
                           request.content.clear();
                           request.body.clear();
                       }});
    changes.push_back({"length 0", [](RawMessage &request) {
                           request.content.clear();
                           request.setBody("");
                       }});
    changes.push_back({"no chunk", [](RawMessage &request) {
                           request.content.clear();
                           request.framing = {"Transfer-Encoding: chunked"};
                           request.body = "0\r\n\r\n";
                       }});
    return changes;
}

} // namespace parsleyvane::test
