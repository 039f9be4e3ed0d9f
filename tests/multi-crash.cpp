#include "suite.h"

#include "parsleyvane/net/failuresignals.h"
#include "rig/fleet.h"
#include "rig/process.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <limits>
#include <optional>
#include <regex>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace parsleyvane::rig {

namespace {

/// @brief A daemon with the ingress front, whose store can't be reached.
class IngressDaemon
{
public:
    explicit IngressDaemon(const std::string &name)
        : directory(programDirectory() / "run-multi-crash" / name)
    {
        std::filesystem::remove_all(this->directory);
        std::filesystem::create_directories(this->directory);
        const std::filesystem::path settings = this->directory / "settings.ini";
        std::ofstream(settings) << "[instance]\nid = crash-1\nzone = a\nfront = ingress\n"
                                << "[listen]\ncallers = " << freeAddress() << "\noperators = " << freeAddress()
                                << "\npeers = " << freeAddress() << "\n[platform]\naddress = " << freeAddress() << "\n";
        const std::vector<std::string> command
            = {(programDirectory() / "parsleyvaned").string(), "--settings=" + settings.string()};
        this->process.emplace(command, this->directory / "log");
        CPPUNIT_ASSERT_MESSAGE(this->log(), waitUntil([this]() { return this->logs("event=start"); }));
    }

    std::string log() const
    {
        std::ostringstream text;
        text << std::ifstream(this->directory / "log").rdbuf();
        return text.str();
    }

    bool logs(const std::string &text) const
    {
        return this->log().find(text) != std::string::npos;
    }

    /// @brief Sends the signal. @return the status of waitpid()
    int endBy(int signal)
    {
        this->process->signal(signal);
        const auto status = this->process->wait();
        CPPUNIT_ASSERT_MESSAGE(this->log(), status.has_value());
        return *status;
    }

    /// @brief Sends the signals from shortly before the end of the linger time until the process ends.
    int endAmid(std::initializer_list<int> signals)
    {
        constexpr Milliseconds beforeEnd{2700};
        waitUntil([this]() { return !this->process->running(); }, beforeEnd);
        const auto limit = std::chrono::steady_clock::now() + waitBound;
        while (this->process->running() && std::chrono::steady_clock::now() < limit) {
            for (const int signal : signals) {
                this->process->signal(signal);
            }
        }
        return this->process->wait().value();
    }

    void requestStop()
    {
        this->process->terminate();
    }

private:
    std::filesystem::path directory;
    std::optional<Process> process;
};

/// @brief The lines that report a crash.
std::vector<std::string> crashLines(const std::string &log)
{
    std::vector<std::string> lines;
    std::istringstream text(log);
    for (std::string line; std::getline(text, line);) {
        if (line.find("event=crash") != std::string::npos) {
            lines.push_back(line);
        }
    }
    return lines;
}

void assertOneCrashLine(const std::string &log, const std::string &signal)
{
    const std::vector<std::string> lines = crashLines(log);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(log, std::size_t{1}, lines.size());
    const std::regex format("at=[0-9]+ event=crash signal=" + signal
                            + " (address=0x[0-9a-f]+|sender=[0-9]+) version=[0-9.]+"
                              " stack=\"(lib:)?0x[0-9a-f]+( (lib:)?0x[0-9a-f]+)*\"");
    CPPUNIT_ASSERT_MESSAGE(lines.front(), std::regex_match(lines.front(), format));
    // At least one frame is the program's own.
    CPPUNIT_ASSERT_MESSAGE(lines.front(), std::regex_search(lines.front(), std::regex("[ \"]0x[0-9a-f]+")));
}

/// @brief Recurses until the stack overflows.
int overflowStack(int depth) // NOLINT(misc-no-recursion)
{
    std::array<volatile char, 1024> frame{};
    frame[0] = static_cast<char>(depth);
    return depth == std::numeric_limits<int>::max() ? 0 : overflowStack(depth + 1) + frame[0];
}

} // namespace

/// Starts the daemon with the ingress front and ends it by signals.
class CrashTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashTest);
    CPPUNIT_TEST(aSegmentationFaultLeavesALineWithItsStack);
    CPPUNIT_TEST(anAbortLeavesALineWithItsStack);
    CPPUNIT_TEST(aStackOverflowLeavesALineWithItsStack);
    CPPUNIT_TEST(aStopRequestIsNotReportedAsACrash);
    CPPUNIT_TEST(signalsDuringTheEndOfAPlannedStopDoNotEndIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void aSegmentationFaultLeavesALineWithItsStack()
    {
        IngressDaemon daemon("segv");
        const int status = daemon.endBy(SIGSEGV);
        CPPUNIT_ASSERT(WIFSIGNALED(status));
        CPPUNIT_ASSERT_EQUAL(SIGSEGV, WTERMSIG(status));
        assertOneCrashLine(daemon.log(), "SIGSEGV");
    }

    void anAbortLeavesALineWithItsStack()
    {
        IngressDaemon daemon("abort");
        const int status = daemon.endBy(SIGABRT);
        CPPUNIT_ASSERT(WIFSIGNALED(status));
        CPPUNIT_ASSERT_EQUAL(SIGABRT, WTERMSIG(status));
        assertOneCrashLine(daemon.log(), "SIGABRT");
    }

    void aStackOverflowLeavesALineWithItsStack()
    {
        const std::filesystem::path log = programDirectory() / "run-multi-crash" / "overflow.log";
        std::filesystem::create_directories(log.parent_path());
        const pid_t child = ::fork();
        if (child == 0) {
            constexpr mode_t logMode = 0644;
            ::dup2(::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, logMode), STDERR_FILENO);
            installFailureSignalHandler();
            ::_exit(overflowStack(0));
        }
        int status = 0;
        CPPUNIT_ASSERT_EQUAL(child, ::waitpid(child, &status, 0));
        CPPUNIT_ASSERT(WIFSIGNALED(status));
        CPPUNIT_ASSERT_EQUAL(SIGSEGV, WTERMSIG(status));
        std::ostringstream text;
        text << std::ifstream(log).rdbuf();
        assertOneCrashLine(text.str(), "SIGSEGV");
    }

    void aStopRequestIsNotReportedAsACrash()
    {
        IngressDaemon daemon("stop");
        const int status = daemon.endBy(SIGTERM);
        CPPUNIT_ASSERT(WIFEXITED(status));
        CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(status));
        CPPUNIT_ASSERT_MESSAGE(daemon.log(), daemon.logs("event=stop phase=stopped"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, crashLines(daemon.log()).size());
    }

    void signalsDuringTheEndOfAPlannedStopDoNotEndIt()
    {
        IngressDaemon daemon("signals");
        daemon.requestStop();
        const int status = daemon.endAmid({SIGTERM, SIGHUP, SIGINT});
        CPPUNIT_ASSERT_MESSAGE("wait status " + std::to_string(status), WIFEXITED(status));
        CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(status));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTest);

} // namespace parsleyvane::rig
