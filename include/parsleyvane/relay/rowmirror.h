/**
 * @file
 * @brief The rows of one table of the store as this instance has read them, to be passed on to other instances.
 */
#pragma once

#include "parsleyvane/store/transaction.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief What one instance tells another about a table.
struct RelayedTable
{
    std::uint64_t since = 0; ///< the version that the other one knows
    std::uint64_t version = 0; ///< the table is known up to this version
    bool isFull = false; ///< the rows are the whole table
    bool isLeftOut = false; ///< the changes are too many to be passed on: they are in the store
    std::vector<TableRow> rows;
    std::vector<std::string> removed; ///< keys
    /// When the store last answered a read of the table, on its clock; empty where the confirmation of the operator's
    /// table applies.
    std::optional<Milliseconds> confirmed;

    friend bool operator==(const RelayedTable &, const RelayedTable &) = default;
};

/// @brief Tunable values of RowMirror.
struct RowMirrorLimits
{
    std::size_t maxBytes = 16384; ///< of changes that are passed on, and of a row whose value is kept
    std::size_t maxFullBytes = 131072; ///< of a whole table that is passed on
    std::size_t maxRemoved = 1024; ///< removed rows that are remembered
};

/**
 * @brief Keeps the newest version of each row, and the removed ones. Complexity: linear in the rows unless said
 * otherwise.
 */
class RowMirror
{
public:
    // constructors
    explicit RowMirror(RowMirrorLimits limits = {});

    // modifiers
    /// @brief Applies a full read.
    void replace(const std::vector<TableRow> &newRows, std::uint64_t newVersion);
    /// @brief Applies changes. Complexity: logarithmic for each.
    void apply(const std::vector<TableRow> &changed, const std::vector<std::string> &removedKeys,
               std::uint64_t newVersion);

    // observers
    /// @brief What an instance needs that knows the table up to a version; 0 stands for nothing at all.
    RelayedTable since(std::uint64_t known) const;
    /// @brief The version of the latest change. Complexity: constant.
    std::uint64_t changedAt() const noexcept
    {
        return this->latestChange;
    }

private:
    struct Kept
    {
        TableRow row; ///< without its value when that is too long to be passed on
        std::size_t bytes = 0; ///< of its value
    };

    void keep(const TableRow &row);

    RowMirrorLimits limits;
    std::map<std::string, Kept> rows;
    std::map<std::string, std::uint64_t> removed; ///< with the version by which they were gone
    std::uint64_t base = 0; ///< removals before this version are not known
    std::uint64_t version = 0;
    std::uint64_t latestChange = 0;
};

} // namespace parsleyvane
