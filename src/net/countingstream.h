/**
 * @file
 * @brief A byte stream that counts the bytes read and written.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <kj/async-io.h>

namespace parsleyvane {

/// @brief Counters of bytes and calls; written on the event loop's thread, read on other threads.
struct PeerCounters
{
    std::atomic<std::uint64_t> callsSent = 0;
    std::atomic<std::uint64_t> callsReceived = 0;
    std::atomic<std::uint64_t> callsFailed = 0;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
};

/// @brief Forwards all operations to a wrapped stream and counts its bytes.
class CountingStream final : public kj::AsyncIoStream
{
public:
    // constructors
    CountingStream(kj::Own<kj::AsyncIoStream> inner, PeerCounters &counters)
        : inner(kj::mv(inner))
        , counters(counters)
    {
    }

    // modifiers
    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes) override
    {
        return this->inner->tryRead(buffer, minBytes, maxBytes).then([this](std::size_t count) {
            this->counters.bytesReceived += count;
            return count;
        });
    }
    kj::Promise<void> write(const void *buffer, std::size_t size) override
    {
        this->counters.bytesSent += size;
        return this->inner->write(buffer, size);
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        for (const auto &piece : pieces) {
            this->counters.bytesSent += piece.size();
        }
        return this->inner->write(pieces);
    }
    kj::Promise<void> whenWriteDisconnected() override
    {
        return this->inner->whenWriteDisconnected();
    }
    void shutdownWrite() override
    {
        this->inner->shutdownWrite();
    }
    void abortRead() override
    {
        this->inner->abortRead();
    }
    void setsockopt(int level, int option, const void *value, kj::uint length) override
    {
        this->inner->setsockopt(level, option, value, length);
    }

private:
    kj::Own<kj::AsyncIoStream> inner;
    PeerCounters &counters;
};

} // namespace parsleyvane
