#include "faults.h"

namespace parsleyvane::standins {

namespace {

/// @brief Sets one fault from its JSON value.
struct FaultSetter
{
    const Json &value;

    void operator()(bool *field) const
    {
        *field = this->value.get<bool>();
    }
    void operator()(std::int64_t *field) const
    {
        *field = this->value.get<std::int64_t>();
    }
    void operator()(double *field) const
    {
        *field = this->value.get<double>();
    }
};

} // namespace

bool applyFaults(const Json &body, const std::map<std::string, FaultField> &fields)
{
    for (const auto &[name, value] : body.items()) {
        if (!fields.contains(name)) {
            return false;
        }
    }
    for (const auto &[name, value] : body.items()) {
        std::visit(FaultSetter{value}, fields.at(name));
    }
    return true;
}

} // namespace parsleyvane::standins
