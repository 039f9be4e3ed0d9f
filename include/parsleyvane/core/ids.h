/**
 * @file
 * @brief Strong types for the identifiers and units shared between modules.
 */
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace parsleyvane {

/**
 * @brief A text identifier that cannot be mixed up with identifiers of another kind.
 * @tparam Tag an empty type naming the kind
 *
 * Complexity of comparison: linear in the length.
 *
 * @code
 * const AccountId account("lumara-agents");
 * @endcode
 */
template<typename Tag>
class StrongId
{
public:
    // constructors
    StrongId() = default;
    explicit StrongId(std::string text)
        : text(std::move(text))
    {
    }

    // observers
    /// @brief The identifier as text.
    const std::string &str() const noexcept
    {
        return this->text;
    }
    /// @brief Whether no identifier was given.
    bool empty() const noexcept
    {
        return this->text.empty();
    }

    // clang-tidy reports the literal 0 of the defaulted comparison as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const StrongId &, const StrongId &) = default;
    friend std::ostream &operator<<(std::ostream &out, const StrongId &id)
    {
        return out << id.text;
    }

private:
    std::string text;
};

/**
 * @brief A number with a unit that cannot be mixed up with other numbers.
 * @tparam Tag an empty type naming the unit
 * @tparam Number the representation
 */
template<typename Tag, typename Number>
class StrongNumber
{
public:
    // constructors
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Number number) noexcept
        : number(number)
    {
    }

    // observers
    /// @brief The number without its unit.
    constexpr Number value() const noexcept
    {
        return this->number;
    }

    // modifiers
    constexpr StrongNumber &operator+=(StrongNumber other) noexcept
    {
        this->number += other.number;
        return *this;
    }

    friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) noexcept
    {
        return StrongNumber(a.number + b.number);
    }
    // clang-tidy 14 reports the literal 0 of the defaulted comparison as a null pointer.
    friend constexpr auto operator<=>(const StrongNumber &, const StrongNumber &)
        = default; // NOLINT(modernize-use-nullptr)
    friend std::ostream &operator<<(std::ostream &out, const StrongNumber &value)
    {
        return out << value.number;
    }

private:
    Number number = 0;
};

/// @brief A client account.
using AccountId = StrongId<struct AccountTag>;
/// @brief A model's name, without its version.
using ModelName = StrongId<struct ModelTag>;
/// @brief A version of a model.
using VersionName = StrongId<struct VersionTag>;
/// @brief A model engine or plain service.
using UpstreamId = StrongId<struct UpstreamTag>;
/// @brief One instance of the router.
using InstanceId = StrongId<struct InstanceTag>;
/// @brief An availability zone.
using ZoneId = StrongId<struct ZoneTag>;
/// @brief One request of a client; a repeat with the same idempotency key has the same identifier.
using RequestId = StrongId<struct RequestTag>;
/// @brief One attempt of a request at one upstream; never reused.
using AttemptId = StrongId<struct AttemptTag>;
/// @brief A kind of request that a client account defines.
using TaskName = StrongId<struct TaskTag>;
/// @brief A plain service.
using ServiceName = StrongId<struct ServiceTag>;
/// @brief A rule that maps a host and path to services.
using RouteName = StrongId<struct RouteTag>;
/// @brief The client's key that identifies repeats of the same request.
using IdempotencyKey = StrongId<struct IdempotencyTag>;

/// @brief The revision of the configuration; increases with each change.
using Revision = StrongNumber<struct RevisionTag, std::uint64_t>;
/// @brief Identifies a start of an instance's process; higher for each later start.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;
/// @brief Fencing token of an order to an engine.
using Fence = StrongNumber<struct FenceTag, std::uint64_t>;
/// @brief A count of tokens.
using Tokens = StrongNumber<struct TokensTag, std::int64_t>;
/// @brief Money in millionths of the account's currency unit.
using MicroCost = StrongNumber<struct MicroCostTag, std::int64_t>;

using Milliseconds = std::chrono::milliseconds;
/// @brief A time point of the clock in clock.h, which keeps counting while the machine or process is suspended.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::milliseconds>;

} // namespace parsleyvane

template<typename Tag>
struct std::hash<parsleyvane::StrongId<Tag>>
{
    std::size_t operator()(const parsleyvane::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.str());
    }
};
