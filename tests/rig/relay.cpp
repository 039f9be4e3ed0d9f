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

/// @brief One relayed connection: the accepted side and the side towards the target.
struct Link : std::enable_shared_from_this<Link>
{
    /// @brief The bytes of one direction.
    struct Direction
    {
        tcp::socket &from;
        tcp::socket &to;
        bool replies;
        std::array<char, pieceBytes> piece{};
    };

    Link(tcp::socket accepted, const RelayMode &mode)
        : caller(std::move(accepted))
        , target(this->caller.get_executor())
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
        this->caller.close(ignored);
        this->target.close(ignored);
    }

    void read(Direction &direction)
    {
        auto self = this->shared_from_this();
        direction.from.async_read_some(asio::buffer(direction.piece),
                                       [self, &direction](const boost::system::error_code &error, std::size_t size) {
                                           if (error) {
                                               self->endOf(direction);
                                               return;
                                           }
                                           self->forward(direction, size);
                                       });
    }

    /// @brief Passes the end of a direction on, so that half-closed connections work.
    void endOf(Direction &direction)
    {
        boost::system::error_code ignored;
        if (!this->loses(direction)) {
            direction.to.shutdown(tcp::socket::shutdown_send, ignored);
        }
    }

    bool loses(const Direction &direction)
    {
        const bool losesNow
            = this->mode == RelayMode::Drop || (this->mode == RelayMode::DropReplies && direction.replies);
        this->silent = this->silent || losesNow;
        return this->silent;
    }

    void forward(Direction &direction, std::size_t size)
    {
        if (this->loses(direction)) {
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

    tcp::socket caller;
    tcp::socket target;
    const RelayMode &mode;
    bool silent = false;
    Direction requests{this->caller, this->target, false};
    Direction replies{this->target, this->caller, true};
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
    void setMode(RelayMode next)
    {
        asio::dispatch(this->context, asio::use_future([this, next] {
                           this->mode = next;
                           if (next == RelayMode::Cut) {
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
                this->adopt(std::move(socket));
            }
            this->accept();
        });
    }

    void adopt(tcp::socket socket)
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
