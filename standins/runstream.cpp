#include "runstream.h"

namespace parsleyvane::standins {

namespace asio = boost::asio;

RunStream::RunStream(Connection &connection, const StreamFaults &faults)
    : connection(connection)
    , faults(faults)
{
}

bool RunStream::peerClosed()
{
    return this->connection.peerClosed();
}

asio::awaitable<void> RunStream::refuse(Reply reply)
{
    co_await this->connection.send(std::move(reply));
}

asio::awaitable<void> RunStream::begin()
{
    this->begun = true;
    co_await this->connection.beginEvents();
}

asio::awaitable<bool> RunStream::emit(std::string event)
{
    if (this->isCut()) {
        co_return false;
    }
    ++this->events;
    if (this->isSilent()) {
        co_return true;
    }
    if (this->faults.reorder && !this->withheldEvent) {
        this->withheldEvent = std::move(event);
        co_return true;
    }
    co_await this->sendCopies(std::move(event));
    co_await this->sendWithheldEvent();
    co_return true;
}

asio::awaitable<void> RunStream::end(bool cancelled)
{
    if (!this->begun || !this->connection.isOpen()) {
        co_return;
    }
    co_await this->sendWithheldEvent();
    if (this->isSilent()) {
        co_await this->connection.holdSilent();
    } else if (cancelled || (this->isCut() && !this->faults.cutLooksFinished)) {
        this->connection.close();
    } else {
        co_await this->connection.endEvents();
    }
}

bool RunStream::isSilent() const
{
    return this->faults.silentAfter >= 0 && this->events > this->faults.silentAfter;
}

bool RunStream::isCut() const
{
    return this->faults.cutAfter >= 0 && this->events >= this->faults.cutAfter;
}

asio::awaitable<void> RunStream::sendCopies(std::string event)
{
    if (this->faults.duplicate) {
        co_await this->connection.sendEvent(event);
    }
    co_await this->connection.sendEvent(std::move(event));
}

asio::awaitable<void> RunStream::sendWithheldEvent()
{
    if (this->withheldEvent) {
        std::string event = std::move(*this->withheldEvent);
        this->withheldEvent.reset();
        co_await this->sendCopies(std::move(event));
    }
}

} // namespace parsleyvane::standins
