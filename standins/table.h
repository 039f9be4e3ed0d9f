/**
 * @file
 * @brief The platform's table.
 */
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace parsleyvane::standins {

using Json = nlohmann::json;

/// @brief A row of the table; version 0 means that it is absent.
struct Row
{
    std::uint64_t version = 0;
    Json value;
};

/// @brief A row with its key.
struct KeyedRow
{
    std::string key;
    Row row;
};

/// @brief `{"key","version"}`, with `"value"` when the row is present.
Json rowJson(const KeyedRow &keyed);

/// @brief The row version that a transaction requires; 0 for an absent row.
struct RowCheck
{
    std::string key;
    std::uint64_t version = 0;
};

/// @brief A value to write.
struct RowPut
{
    std::string key;
    Json value;
};

/// @brief Writes that are applied atomically, and only if all checks hold.
struct Transaction
{
    std::vector<RowCheck> checks;
    std::vector<RowPut> puts;
    std::vector<std::string> deletes;
};

/// @brief Parses the body of a transaction request; throws nlohmann::json::exception when it is malformed.
Transaction parseTransaction(const Json &body);

/// @brief The state of a row that a read returns.
enum class ReadState {
    Current,
    BeforeLastWrite,
};

/**
 * @brief A table with row versions and transactions.
 *
 * Complexity: logarithmic in the rows for each key; linear in the rows that a scan returns.
 */
class Table
{
public:
    // observers
    Row read(const std::string &key, ReadState state = ReadState::Current) const;
    std::vector<KeyedRow> scan(const std::string &prefix, ReadState state = ReadState::Current) const;
    /// @brief The current rows of the checks that fail; empty when the transaction may commit.
    std::vector<KeyedRow> conflicts(const Transaction &transaction) const;

    // modifiers
    /// @pre conflicts() is empty. @return the new row versions
    std::map<std::string, std::uint64_t> commit(const Transaction &transaction);

private:
    struct Cell
    {
        Row current;
        Row previous;
    };

    std::map<std::string, Cell> cells;
};

} // namespace parsleyvane::standins
