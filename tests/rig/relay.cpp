#include "rig/relay.h"

#include "parsleyvane/net/endpoint.h"
#include "rig/process.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <thread>

namespace parsleyvane::rig {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t pieceBytes = 16384;

tcp::endpoint endpointOf(const std::string &address)
{
    LastReason reason;
    return parseEndpoint(address, reason).value();
}

/// @brief A relayed connection: the accepted socket and the one to the target.
struct Link : std::enable_shared_from_this<Link>
{
    /// @brief One direction of the connection.
    struct Direction
    {
        tcp::socket &from;
        tcp::socket &to;
        bool replies;
        std::array<char, pieceBytes> piece{};
    };

    Link(tcp::socket accepted, const RelayMode &mode)
        : client(std::move(accepted))
        , target(this->client.get_executor())
        , mode(mode)
    {
    }

    void start(const tcp::endpoint &endpoint)
    {
        auto self = this->shared_from_this();
        this->target.async_connect(endpoint, [self](const boost::system::error_code &error) {
            if (error) {
                self->close();
                return;
            }
            self->read(self->requests);
            self->read(self->replies);
        });
    }

    void close()
    {
        boost::system::error_code ignored;
        this->client.close(ignored);
        this->target.close(ignored);
    }

    void read(Direction &direction)
    {
        auto self = this->shared_from_this();
        direction.from.async_read_some(asio::buffer(direction.piece),
                                       [self, &direction](const boost::system::error_code &error, std::size_t size) {
                                           if (error) {
                                               self->forwardEnd(direction);
                                               return;
                                           }
                                           self->forward(direction, size);
                                       });
    }

    /// @brief Forwards the end of one direction, so that half-closed connections work.
    void forwardEnd(Direction &direction)
    {
        boost::system::error_code ignored;
        if (!this->dropsBytes(direction)) {
            direction.to.shutdown(tcp::socket::shutdown_send, ignored);
        }
    }

    bool dropsBytes(const Direction &direction)
    {
        const bool modeDropsBytes
            = this->mode == RelayMode::Drop || (this->mode == RelayMode::DropReplies && direction.replies);
        this->isSilent = this->isSilent || modeDropsBytes;
        return this->isSilent;
    }

    void forward(Direction &direction, std::size_t size)
    {
        if (this->dropsBytes(direction)) {
            this->read(direction);
            return;
        }
        auto self = this->shared_from_this();
        asio::async_write(direction.to, asio::buffer(direction.piece.data(), size),
                          [self, &direction](const boost::system::error_code &error, std::size_t) {
                              if (error) {
                                  self->close();
                                  return;
                              }
                              self->read(direction);
                          });
    }

    tcp::socket client;
    tcp::socket target;
    const RelayMode &mode;
    bool isSilent = false;
    Direction requests{this->client, this->target, false};
    Direction replies{this->target, this->client, true};
};

} // namespace

class Relay::Hub
{
public:
    // constructors
    explicit Hub(const std::string &target)
        : listenAddress(freeAddress())
        , target(endpointOf(target))
        , acceptor(this->context, endpointOf(this->listenAddress))
    {
        this->accept();
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~Hub()
    {
        this->context.stop();
        this->thread.join();
    }
    Hub(const Hub &) = delete;
    Hub &operator=(const Hub &) = delete;

    // modifiers
    void setMode(RelayMode newMode)
    {
        asio::dispatch(this->context, asio::use_future([this, newMode] {
                           this->mode = newMode;
                           if (newMode == RelayMode::Cut) {
                               this->closeAll();
                           }
                       }))
            .get();
    }

    // observers
    const std::string &address() const noexcept
    {
        return this->listenAddress;
    }

private:
    void accept()
    {
        this->acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error) {
                return;
            }
            if (this->mode != RelayMode::Cut) {
                this->addLink(std::move(socket));
            }
            this->accept();
        });
    }

    void addLink(tcp::socket socket)
    {
        std::erase_if(this->links, [](const std::weak_ptr<Link> &link) { return link.expired(); });
        const auto link = std::make_shared<Link>(std::move(socket), this->mode);
        this->links.push_back(link);
        link->start(this->target);
    }

    void closeAll()
    {
        for (const std::weak_ptr<Link> &entry : this->links) {
            const auto link = entry.lock();
            if (!link) {
                continue;
            }
            link->close();
        }
        this->links.clear();
    }

    RelayMode mode = RelayMode::Pass;
    std::list<std::weak_ptr<Link>> links;
    std::string listenAddress;
    tcp::endpoint target;
    asio::io_context context{1};
    tcp::acceptor acceptor;
    std::thread thread;
};

Relay::Relay(const std::string &target)
    : hub(std::make_unique<Hub>(target))
{
}

Relay::~Relay() = default;

void Relay::setMode(RelayMode mode)
{
    this->hub->setMode(mode);
}

const std::string &Relay::address() const noexcept
{
    return this->hub->address();
}

} // namespace parsleyvane::rig
