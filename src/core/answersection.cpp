#include "parsleyvane/config/answersection.h"

#include "parsleyvane/config/questionnaire.h"

namespace parsleyvane {

AnswerSection::AnswerSection(std::string file, std::string heading, std::map<std::string, std::string> values,
                             std::vector<SettingProblem> &problems)
    : file(std::move(file))
    , heading(std::move(heading))
    , values(std::move(values))
    , problems(&problems)
{
}

std::string AnswerSection::kind() const
{
    return this->heading.substr(0, this->heading.find(' '));
}

std::string AnswerSection::name() const
{
    const std::size_t space = this->heading.find(' ');
    return space == std::string::npos ? std::string() : this->heading.substr(space + 1);
}

bool AnswerSection::has(const std::string &key)
{
    this->knownKeys.insert(key);
    return this->values.contains(key);
}

std::optional<std::string> AnswerSection::text(const std::string &key)
{
    if (!this->has(key)) {
        return std::nullopt;
    }
    return this->values.at(key);
}

std::string AnswerSection::identifier(const std::string &key)
{
    std::string value = this->text(key).value_or("");
    if (!isIdentifier(value)) {
        this->report(key, value, "1 to 48 letters, digits, '.', '-' or '_'");
    }
    return value;
}

std::string AnswerSection::address(const std::string &key)
{
    std::string value = this->text(key).value_or("");
    if (!isAddressWithPort(value)) {
        this->report(key, value, "IP:PORT with a port from 1 to 65535");
    }
    return value;
}

bool AnswerSection::boolean(const std::string &key, bool defaultValue)
{
    const auto value = this->text(key);
    if (!value) {
        return defaultValue;
    }
    const auto read = readBoolean(*value);
    if (!read) {
        this->report(key, *value, "yes or no");
    }
    return read.value_or(defaultValue);
}

std::vector<std::string> AnswerSection::list(const std::string &key)
{
    std::vector<std::string> pieces;
    std::string partKey = key;
    for (unsigned number = 2; this->has(partKey); ++number) {
        for (std::string &piece : splitList(this->values.at(partKey))) {
            pieces.push_back(std::move(piece));
        }
        partKey = key + "-" + std::to_string(number);
    }
    return pieces;
}

std::vector<ModelVersion> AnswerSection::versions(const std::string &key)
{
    std::vector<ModelVersion> versions;
    for (const std::string &piece : this->list(key)) {
        const auto version = readVersionText(piece);
        if (!version) {
            this->report(key, piece, "MODEL@VERSION, separated by commas");
            continue;
        }
        versions.push_back(*version);
    }
    return versions;
}

std::optional<VersionState> AnswerSection::state(const std::string &key)
{
    const auto value = this->text(key);
    if (!value) {
        return std::nullopt;
    }
    const auto state = readVersionState(*value);
    if (!state) {
        this->report(key, *value, "warming, serving, closed or withdrawn");
    }
    return state;
}

void AnswerSection::report(const std::string &key, const std::string &found, const std::string &allowed)
{
    const std::string quoted = this->values.contains(key) ? "'" + found + "'" : "(nothing; it is required)";
    this->problems->push_back({this->file, this->heading, key, quoted, allowed});
}

void AnswerSection::reportUnknown()
{
    std::string allowed;
    for (const std::string &key : this->knownKeys) {
        allowed += (allowed.empty() ? "the keys " : ", ") + key;
    }
    for (const auto &[key, value] : this->values) {
        if (!this->knownKeys.contains(key)) {
            this->problems->push_back({this->file, this->heading, key, "(an unknown answer)", allowed});
        }
    }
}

} // namespace parsleyvane
