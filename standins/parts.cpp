#include "parts.h"

#include "parsleyvane/core/digest.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

namespace parsleyvane::standins {

namespace {

constexpr std::int64_t maxAnswerTokens = 100'000;
constexpr std::int64_t minAnswerTokens = 4;
constexpr std::size_t keptEvents = 100'000;
constexpr std::size_t cachedPrefixBytes = 256;

/// @brief The finaliser of SplitMix64, which spreads each bit over the word.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::string wordOf(std::uint64_t random)
{
    constexpr std::size_t minLetters = 3;
    constexpr std::size_t letterChoices = 6;
    constexpr std::size_t alphabet = 26;
    std::string word(minLetters + random % letterChoices, 'a');
    random = ~random;
    for (char &letter : word) {
        random = mix(random);
        letter = static_cast<char>('a' + random % alphabet);
    }
    return word + " ";
}

std::int64_t tokenCount(const AnswerSource &source)
{
    constexpr std::string_view marker = "[[tokens=";
    constexpr std::int64_t shareOfMaximum = 4;
    const std::size_t found = source.prompt.find(marker);
    std::int64_t count = std::max(minAnswerTokens, source.maxTokens / shareOfMaximum);
    if (found != std::string::npos) {
        const char *first = source.prompt.data() + found + marker.size();
        std::from_chars(first, source.prompt.data() + source.prompt.size(), count);
    }
    return std::clamp<std::int64_t>(count, 1, maxAnswerTokens);
}

std::string decode(std::string_view text)
{
    constexpr std::size_t escapeLength = 3;
    constexpr int hexadecimal = 16;
    std::string decoded;
    while (!text.empty()) {
        unsigned code = 0;
        const bool escaped = text.front() == '%' && text.size() >= escapeLength;
        if (escaped
            && std::from_chars(text.data() + 1, text.data() + escapeLength, code, hexadecimal).ptr
                == text.data() + escapeLength) {
            decoded.push_back(static_cast<char>(code));
            text.remove_prefix(escapeLength);
            continue;
        }
        decoded.push_back(text.front() == '+' ? ' ' : text.front());
        text.remove_prefix(1);
    }
    return decoded;
}

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

std::int64_t bootMilliseconds()
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * millisecondsPerSecond + now.tv_nsec / nanosecondsPerMillisecond;
}

std::string dumpJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t fnvPrime = 0x100000001b3U;
    std::uint64_t hash = 0xcbf29ce484222325U ^ mix(seed);
    for (const char byte : text) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * fnvPrime;
    }
    return mix(hash);
}

double shareOf(std::uint64_t hash)
{
    constexpr unsigned droppedBits = 11;
    constexpr double scale = 1.0 / static_cast<double>(1ULL << 53U);
    return static_cast<double>(hash >> droppedBits) * scale;
}

std::int64_t countWords(std::string_view text)
{
    std::int64_t words = 0;
    bool inside = false;
    for (const char byte : text) {
        const bool space = byte == ' ' || byte == '\n' || byte == '\t';
        words += !space && !inside ? 1 : 0;
        inside = !space;
    }
    return words;
}

std::vector<std::string> answerTokens(const AnswerSource &source)
{
    std::uint64_t random = hashOf(source.version, hashOf(source.model, hashOf(source.prompt)));
    const std::int64_t count = tokenCount(source);
    std::vector<std::string> tokens;
    tokens.reserve(static_cast<std::size_t>(count));
    tokens.push_back((source.bad ? "BAD " : "") + source.model + " ");
    while (static_cast<std::int64_t>(tokens.size()) < count) {
        random = mix(random);
        tokens.push_back(wordOf(random));
    }
    return tokens;
}

Target parseTarget(std::string_view text)
{
    const std::size_t mark = text.find('?');
    Target target{.path = decode(text.substr(0, mark))};
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : text.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        const std::string_view value = pair.substr(std::min(equals + 1, pair.size()));
        target.query[decode(pair.substr(0, equals))] = decode(value);
    }
    return target;
}

std::optional<std::string> afterPrefix(const std::string &text, std::string_view prefix)
{
    if (!text.starts_with(prefix)) {
        return std::nullopt;
    }
    return text.substr(prefix.size());
}

Json rowJson(const KeyedRow &keyed)
{
    Json json{{"key", keyed.key}, {"version", keyed.row.version}};
    if (keyed.row.version > 0) {
        json["value"] = keyed.row.value;
    }
    return json;
}

Transaction parseTransaction(const Json &body)
{
    const Json none = Json::array();
    Transaction transaction;
    for (const Json &check : body.value("checks", none)) {
        transaction.checks.push_back({check.at("key").get<std::string>(), check.at("version").get<std::uint64_t>()});
    }
    for (const Json &put : body.value("puts", none)) {
        transaction.puts.push_back({put.at("key").get<std::string>(), put.at("value")});
    }
    for (const Json &key : body.value("deletes", none)) {
        transaction.deletes.push_back(key.get<std::string>());
    }
    return transaction;
}

Row Table::read(const std::string &key, ReadState state) const
{
    const auto found = this->cells.find(key);
    if (found == this->cells.end()) {
        return {};
    }
    return state == ReadState::Current ? found->second.current : found->second.previous;
}

std::vector<KeyedRow> Table::scan(const std::string &prefix, ReadState state) const
{
    std::vector<KeyedRow> rows;
    for (auto cell = this->cells.lower_bound(prefix); cell != this->cells.end(); ++cell) {
        if (!cell->first.starts_with(prefix)) {
            break;
        }
        const Row &row = state == ReadState::Current ? cell->second.current : cell->second.previous;
        if (row.version > 0) {
            rows.push_back({cell->first, row});
        }
    }
    return rows;
}

std::vector<KeyedRow> Table::conflicts(const Transaction &transaction) const
{
    std::vector<KeyedRow> rows;
    for (const RowCheck &check : transaction.checks) {
        const Row row = this->read(check.key);
        if (row.version != check.version) {
            rows.push_back({check.key, row});
        }
    }
    return rows;
}

std::map<std::string, std::uint64_t> Table::commit(const Transaction &transaction)
{
    std::map<std::string, std::uint64_t> versions;
    for (const RowPut &put : transaction.puts) {
        Cell &cell = this->cells[put.key];
        cell.previous = cell.current;
        cell.current = {cell.previous.version + 1, put.value};
        versions[put.key] = cell.current.version;
    }
    for (const std::string &key : transaction.deletes) {
        Cell &cell = this->cells[key];
        cell.previous = std::exchange(cell.current, Row{});
        versions[key] = 0;
    }
    return versions;
}

Recorder::Recorder(const std::string &path)
{
    constexpr mode_t ownerWritesAllRead = 0644;
    if (!path.empty()) {
        this->file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, ownerWritesAllRead);
    }
}

Recorder::~Recorder()
{
    if (this->file >= 0) {
        ::close(this->file);
    }
}

void Recorder::add(Json event)
{
    event["at"] = bootMilliseconds();
    std::string line = dumpJson(event);
    if (this->file >= 0) {
        const std::string ended = line + "\n";
        // A full disk loses records of a test; the checkers then miss them and say so.
        [[maybe_unused]] const ssize_t written = ::write(this->file, ended.data(), ended.size());
    }
    if (this->events.size() == keptEvents) {
        this->events.pop_front();
    }
    this->events.push_back(std::move(line));
}

std::string Recorder::json() const
{
    std::string text = R"({"events":[)";
    for (const std::string &event : this->events) {
        text += event;
        text += ',';
    }
    if (text.back() == ',') {
        text.pop_back();
    }
    return text + "]}";
}

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

RateLimit::RateLimit(double perSecond)
    : perSecond(perSecond)
    , available(std::max(1.0, perSecond))
{
}

bool RateLimit::allow(std::int64_t now)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const double gained = static_cast<double>(now - this->filledAt) / millisecondsPerSecond * this->perSecond;
    this->available = std::min(std::max(1.0, this->perSecond), this->available + gained);
    this->filledAt = now;
    if (this->available < 1.0) {
        return false;
    }
    this->available -= 1.0;
    return true;
}

PrefixCache::PrefixCache(std::size_t capacity)
    : capacity(capacity)
{
}

CacheUse PrefixCache::use(const std::string &prompt)
{
    const std::string start = prompt.substr(0, cachedPrefixBytes);
    const std::string prefix = sha256Hex(start);
    CacheUse result;
    const auto found = std::find(this->prefixes.begin(), this->prefixes.end(), prefix);
    if (found != this->prefixes.end()) {
        this->prefixes.erase(found);
        result.cachedTokens = countWords(start);
    } else {
        result.changes.push_back({prefix, true});
    }
    this->prefixes.push_back(prefix);
    while (this->prefixes.size() > this->capacity) {
        result.changes.push_back({this->prefixes.front(), false});
        this->prefixes.pop_front();
    }
    return result;
}

} // namespace parsleyvane::standins
