// Sends the bytes of a file on one new channel and records the heads of the answers.
// --to=IP:PORT --file=FILE --record=FILE --name=TEXT --wait-ms=N

#include "http.hh"

#include <fstream>
#include <sstream>

int main(int argc, char **argv)
{
    const rig::Flags flags(argc, argv);
    rig::Record record(flags.text("record"));
    std::ostringstream bytes;
    bytes << std::ifstream(flags.text("file"), std::ios::binary).rdbuf();
    const std::string name = flags.text("name");
    const int socket = rig::connectTo(flags.text("to"));
    if (socket < 0 || !rig::sendAll(socket, bytes.str())) {
        record.line("answer " + name + " no connection");
        return 1;
    }
    record.line("sent " + name + " bytes=" + std::to_string(bytes.str().size()));
    rig::Reader reader(socket);
    const std::int64_t until = rig::nowMs() + flags.number("wait-ms", 2000);
    while (auto answer = reader.read(until)) {
        record.line("answer " + name + " " + answer->startLine + " id=" + answer->headers["x-parsleyvane-attempt-id"]
                    + " signature=" + answer->headers["x-parsleyvane-server-signature"]
                    + (answer->isComplete ? " whole" : " cut"));
    }
    ::close(socket);
    return 0;
}
