#include "parsleyvane/net/controlplane.h"

#include "controldriver.h"

namespace parsleyvane {

ControlPlane::ControlPlane(const boost::asio::any_io_executor &executor, Blackboard &blackboard,
                           ControlSettings settings)
    : driver(std::make_shared<Driver>(executor, blackboard, std::move(settings)))
{
}

ControlPlane::~ControlPlane()
{
    this->stop();
}

bool ControlPlane::start(LastReason &reason)
{
    return this->driver->start(reason);
}

void ControlPlane::onConfiguration(std::function<void(const Configuration &)> callback)
{
    this->driver->configurationCallback = std::move(callback);
}

void ControlPlane::setLeaving()
{
    this->driver->setLeaving();
}

void ControlPlane::stop()
{
    this->driver->stop();
}

PeerHandlers &ControlPlane::handlers()
{
    return this->driver->handlers;
}

void ControlPlane::setEvidence(Evidence evidence, bool urgent)
{
    this->driver->setEvidence(std::move(evidence), urgent);
}

void ControlPlane::sendBills(std::string bills, std::function<void(bool)> done)
{
    this->driver->sendBills(std::move(bills), std::move(done));
}

void ControlPlane::requestSlots(const UpstreamId &upstream, const AccountId &account, unsigned count,
                                const std::function<void(unsigned)> &onFreed)
{
    this->driver->requestSlots(upstream, account, count, onFreed);
}

ControlCounters ControlPlane::counters() const
{
    return this->driver->counters();
}

std::string ControlPlane::peersAddress() const
{
    return this->driver->peersAddress();
}

} // namespace parsleyvane
