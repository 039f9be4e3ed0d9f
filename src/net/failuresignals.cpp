#include "parsleyvane/net/failuresignals.h"

#include <array>
#include <charconv>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <link.h>
#include <string_view>
#include <unistd.h>
#include <unwind.h>

namespace parsleyvane {

namespace {

// The handler may interrupt any code, so everything here is free of allocations and locks.

constexpr std::array failureSignals = {SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL};
constexpr std::size_t maxFrames = 64;
constexpr std::size_t lineBytes = 4096;
constexpr std::size_t handlerStackBytes = 64U << 10U;

/// The program's own addresses.
struct ProgramRange
{
    std::uintptr_t loadedAt = 0;
    std::uintptr_t begin = 0;
    std::uintptr_t end = 0;
};

/// Set before the handler is installed.
ProgramRange program;
alignas(std::max_align_t) std::array<char, handlerStackBytes> handlerStack;

/// A text of bounded length; what exceeds it is cut off.
class BoundedText
{
public:
    void append(std::string_view text)
    {
        const std::size_t count = text.copy(this->bytes.data() + this->size, this->bytes.size() - this->size);
        this->size += count;
    }

    template<typename Number>
    void append(Number number, int base)
    {
        constexpr std::size_t maxDigits = 64;
        std::array<char, maxDigits> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
        this->append(std::string_view(digits.data(), static_cast<std::size_t>(end - digits.data())));
    }

    void appendAddress(std::uintptr_t address)
    {
        constexpr int hexadecimal = 16;
        this->append("0x");
        this->append(address, hexadecimal);
    }

    void write()
    {
        std::size_t written = 0;
        while (written < this->size) {
            const auto count = ::write(STDERR_FILENO, this->bytes.data() + written, this->size - written);
            if (count <= 0) {
                break;
            }
            written += static_cast<std::size_t>(count);
        }
        this->size = 0;
    }

private:
    std::array<char, lineBytes> bytes;
    std::size_t size = 0;
};

struct Trace
{
    std::array<std::uintptr_t, maxFrames> addresses{};
    std::size_t count = 0;
};

_Unwind_Reason_Code addFrame(_Unwind_Context *context, void *argument)
{
    auto &trace = *static_cast<Trace *>(argument);
    int isInterrupted = 0;
    const std::uintptr_t address = _Unwind_GetIPInfo(context, &isInterrupted);
    if (isInterrupted != 0) {
        // The frames before are the handler's own.
        trace.count = 0;
    }
    if (address == 0 || trace.count == trace.addresses.size()) {
        return _URC_END_OF_STACK;
    }
    // A return address may already belong to the next line or function.
    trace.addresses[trace.count++] = isInterrupted != 0 ? address : address - 1;
    return _URC_NO_REASON;
}

std::string_view signalName(int signal)
{
    switch (signal) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGABRT:
        return "SIGABRT";
    case SIGBUS:
        return "SIGBUS";
    case SIGFPE:
        return "SIGFPE";
    default:
        return "SIGILL";
    }
}

void appendFrame(BoundedText &text, std::uintptr_t address)
{
    if (address >= program.begin && address < program.end) {
        text.appendAddress(address - program.loadedAt);
        return;
    }
    text.append("lib:");
    text.appendAddress(address);
}

void appendTime(BoundedText &text)
{
    constexpr std::int64_t msPerSecond = 1000;
    constexpr std::int64_t nsPerMs = 1000000;
    constexpr int decimal = 10;
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    text.append("at=");
    text.append(now.tv_sec * msPerSecond + now.tv_nsec / nsPerMs, decimal);
}

void reportFailure(int signal, siginfo_t *info, void *)
{
    constexpr int decimal = 10;
    BoundedText text;
    appendTime(text);
    text.append(" event=crash signal=");
    text.append(signalName(signal));
    if (info->si_code > 0) {
        text.append(" address=");
        text.appendAddress(reinterpret_cast<std::uintptr_t>(info->si_addr));
    } else {
        text.append(" sender=");
        text.append(info->si_pid, decimal);
    }
    text.append(" version=" PARSLEYVANE_VERSION " stack=\"");
    // Unwinding a damaged stack may fail itself; what is known by then is written first.
    text.write();
    Trace trace;
    _Unwind_Backtrace(addFrame, &trace);
    for (std::size_t frame = 0; frame < trace.count; ++frame) {
        text.append(frame > 0 ? " " : "");
        appendFrame(text, trace.addresses[frame]);
    }
    text.append("\"\n");
    text.write();
    // Ends the process once the handler returns, since the signal's default action is back in place.
    ::raise(signal);
}

/// The first object reported is the program.
int readProgramRange(dl_phdr_info *info, std::size_t, void *)
{
    program.loadedAt = info->dlpi_addr;
    for (std::size_t index = 0; index < info->dlpi_phnum; ++index) {
        const ElfW(Phdr) &segment = info->dlpi_phdr[index];
        if (segment.p_type != PT_LOAD) {
            continue;
        }
        const std::uintptr_t begin = info->dlpi_addr + segment.p_vaddr;
        if (program.end == 0) {
            program.begin = begin;
        }
        program.end = begin + segment.p_memsz;
    }
    return 1;
}

} // namespace

void installFailureSignalHandler()
{
    ::dl_iterate_phdr(readProgramRange, nullptr);
    stack_t stack{};
    stack.ss_sp = handlerStack.data();
    stack.ss_size = handlerStack.size();
    ::sigaltstack(&stack, nullptr);
    struct sigaction action
    {
    };
    action.sa_sigaction = reportFailure;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
    for (const int signal : failureSignals) {
        ::sigaction(signal, &action, nullptr);
    }
}

} // namespace parsleyvane
