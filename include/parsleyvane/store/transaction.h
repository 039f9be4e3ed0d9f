/**
 * @file
 * @brief Rows of the platform's store, and writes under a condition.
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
};

/// @brief Writes rows if each checked key still has its version.
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
};

/// @brief The transaction took effect.
struct TransactionCommitted
{
};
/// @brief It did not, because of these rows.
struct TransactionConflict
{
    std::vector<TableRow> rows;
};
/// @brief It may or may not have taken effect, now or later.
struct TransactionIndeterminate
{
    Failure failure;
};
/// @brief It certainly never reached the store.
struct TransactionNotSent
{
    Failure failure;
};
using TransactionOutcome
    = std::variant<TransactionCommitted, TransactionConflict, TransactionIndeterminate, TransactionNotSent>;

} // namespace parsleyvane
