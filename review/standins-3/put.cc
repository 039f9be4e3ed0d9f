// Writes or removes a row of the store as the operator or as a server.
// --store=IP:PORT --writer=operator|server --table=T --key=K --file=FILE (left out: removes the row)

#include "http.hh"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

int main(int argc, char **argv)
{
    using Json = nlohmann::json;
    const rig::Flags flags(argc, argv);
    Json entry{{"table", flags.text("table")}, {"part", ""}, {"key", flags.text("key")}};
    Json call;
    if (flags.text("file").empty()) {
        call["remove"] = Json::array({entry});
    } else {
        std::ostringstream text;
        text << std::ifstream(flags.text("file")).rdbuf();
        entry["value"] = rig::base64(Json::parse(text.str()).dump());
        call["writes"] = Json::array({entry});
    }
    const std::string body = call.dump();
    const int socket = rig::connectTo(flags.text("store"));
    const bool isSent = socket >= 0
        && rig::sendAll(socket,
                        "POST /rows-tx HTTP/1.1\r\nHost: store\r\nWriter: " + flags.text("writer", "operator")
                            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answer = isSent ? rig::Reader(socket).read(rig::nowMs() + 2000) : std::nullopt;
    return answer && answer->startLine.find(" 200 ") != std::string::npos ? 0 : 1;
}
