/**
 * @file
 * @brief Rows of the platform's store and conditional writes.
 */
#pragma once

#include "parsleyvane/core/failure.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace parsleyvane {

/// @brief A row of the table; version 0 when absent. The value is JSON text.
struct TableRow
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;

    friend bool operator==(const TableRow &, const TableRow &) = default;
};

/// @brief The name of a row within its table.
inline std::string rowName(const std::string &key)
{
    return key.substr(key.find('/') + 1);
}

/// @brief Writes all rows of `puts` atomically if each key of `checks` still has its version.
struct Transaction
{
    struct Check
    {
        std::string key;
        std::uint64_t version = 0;
    };
    struct Put
    {
        std::string key;
        std::string value;
    };
    std::vector<Check> checks;
    std::vector<Put> puts;
    std::vector<std::string> removals; ///< keys
    std::string part; ///< of all rows
};

/// @brief The transaction took effect.
struct TransactionCommitted
{
};
/// @brief The transaction did not take effect, because the checks failed at these rows.
struct TransactionConflict
{
    std::vector<TableRow> rows;
};
/// @brief The outcome is unknown: the transaction may have taken effect, or may do so later.
struct TransactionIndeterminate
{
    Failure failure;
};
/// @brief The transaction did not reach the store.
struct TransactionNotSent
{
    Failure failure;
};
using TransactionOutcome
    = std::variant<TransactionCommitted, TransactionConflict, TransactionIndeterminate, TransactionNotSent>;

} // namespace parsleyvane
