/**
 * @file
 * @brief The parts of the stand-ins that need no socket: answers, table, records, faults.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace parsleyvane::standins {

using Json = nlohmann::json;

/// @brief Milliseconds of CLOCK_BOOTTIME, which orders the records of one machine.
std::int64_t bootMilliseconds();

/// @brief JSON text; bytes that are not UTF-8 are replaced.
std::string dumpJson(const Json &value);

/// @brief A 64-bit hash that is the same in every process.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/// @brief Maps a hash to a number in [0, 1), to be compared with a share.
double shareOf(std::uint64_t hash);

/// @brief The number of words, which the stand-ins count as tokens.
std::int64_t countWords(std::string_view text);

/// @brief What an answer depends on.
struct AnswerSource
{
    std::string prompt;
    std::string model;
    std::string version;
    std::int64_t maxTokens = 0;
    /// @brief Whether the answer starts with "BAD ".
    bool bad = false;
};

/// @brief The tokens of the whole answer, the same for the same source. Complexity: linear in the tokens.
std::vector<std::string> answerTokens(const AnswerSource &source);

/// @brief One path with its decoded query.
struct Target
{
    std::string path;
    std::map<std::string, std::string> query;
};

/// @brief Splits and decodes the target of a request.
Target parseTarget(std::string_view text);

/// @brief The text after `prefix`, or nothing when `text` starts otherwise.
std::optional<std::string> afterPrefix(const std::string &text, std::string_view prefix);

/// @brief A row of the table; version 0 means absent.
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

/// @brief `{"key","version"}`, and `"value"` where the row is present.
Json rowJson(const KeyedRow &keyed);

/// @brief The row version that a transaction expects.
struct RowCheck
{
    std::string key;
    std::uint64_t version = 0;
};

/// @brief A value to be written.
struct RowPut
{
    std::string key;
    Json value;
};

/// @brief Checks and writes that take effect together or not at all.
struct Transaction
{
    std::vector<RowCheck> checks;
    std::vector<RowPut> puts;
    std::vector<std::string> deletes;
};

/// @brief Reads the body of a transaction; throws nlohmann::json::exception when it is malformed.
Transaction parseTransaction(const Json &body);

/// @brief Which state of a row a read shows.
enum class ReadState {
    Current,
    BeforeLastWrite,
};

/**
 * @brief A table with row versions and transactions.
 *
 * Complexity: logarithmic in the rows for each key; linear in the rows that a scan shows.
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

/// @brief Keeps events and appends each as a line of JSON to a file, which survives the process.
class Recorder
{
public:
    // constructors
    /// @param path empty for no file
    explicit Recorder(const std::string &path);
    ~Recorder();
    Recorder(const Recorder &) = delete;
    Recorder &operator=(const Recorder &) = delete;

    // modifiers
    /// @brief Adds the time as `at` and records the event.
    void add(Json event);

    // observers
    /// @brief `{"events":[...]}` with the latest events, oldest first.
    std::string json() const;

private:
    int file = -1;
    std::deque<std::string> events;
};

/// @brief A setting that a fault changes.
using FaultField = std::variant<bool *, std::int64_t *, double *>;

/**
 * @brief Sets the faults named in `body`.
 * @return false, with nothing changed, when it names an unknown one
 */
bool applyFaults(const Json &body, const std::map<std::string, FaultField> &fields);

/**
 * @brief A value that is seen some time after it was set.
 * @tparam Value a copyable type
 */
template<typename Value>
class Lagging
{
public:
    // constructors
    explicit Lagging(Value first)
    {
        this->history.push_back({0, std::move(first)});
    }

    // modifiers
    void set(std::int64_t now, Value value)
    {
        while (this->history.size() > 1 && this->history[1].since + keptMilliseconds < now) {
            this->history.pop_front();
        }
        if (this->history.size() == keptEntries) {
            this->history.pop_front();
        }
        this->history.push_back({now, std::move(value)});
    }

    // observers
    /// @brief The value as it was `lag` milliseconds before `now`.
    const Value &get(std::int64_t now, std::int64_t lag) const
    {
        for (auto entry = this->history.rbegin(); entry != this->history.rend(); ++entry) {
            if (entry->since <= now - lag) {
                return entry->value;
            }
        }
        return this->history.front().value;
    }

private:
    static constexpr std::int64_t keptMilliseconds = 60'000;
    static constexpr std::size_t keptEntries = 100'000;

    struct Entry
    {
        std::int64_t since;
        Value value;
    };

    std::deque<Entry> history;
};

/// @brief Lets so many events pass in a second, with bursts of a second's worth.
class RateLimit
{
public:
    // constructors
    explicit RateLimit(double perSecond);

    // modifiers
    /// @param now in milliseconds
    bool allow(std::int64_t now);

private:
    double perSecond;
    double available;
    std::int64_t filledAt = 0;
};

/// @brief One change of a prefix cache.
struct CacheChange
{
    std::string prefix;
    bool kept = false;
};

/// @brief The result of looking a prompt up in a prefix cache.
struct CacheUse
{
    std::int64_t cachedTokens = 0;
    std::vector<CacheChange> changes;
};

/// @brief A prefix cache with a limited number of entries; the least recently used one goes first.
class PrefixCache
{
public:
    // constructors
    explicit PrefixCache(std::size_t capacity);

    // modifiers
    /// @brief Looks the start of the prompt up and keeps it.
    CacheUse use(const std::string &prompt);

private:
    std::size_t capacity;
    std::deque<std::string> prefixes;
};

} // namespace parsleyvane::standins
