/**
 * @file
 * @brief Output of the bench programs: tables, CSV, and measurements checked against bounds.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <iomanip>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace parsleyvane::bench {

/// @brief Quantile of the values; 0 if there are none. Complexity: n log n.
inline double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

/// @brief Arithmetic mean; 0 if there are no values.
inline double mean(const std::vector<double> &values)
{
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

/// @brief Prints tables or CSV, then measurements with their bounds.
class Report
{
public:
    // constructors
    explicit Report(bool csv)
        : csv(csv)
    {
    }

    // modifiers
    /// @brief Prints a table header.
    void head(const std::string &title, const std::vector<std::string> &columns)
    {
        if (!this->csv) {
            std::cout << '\n' << title << '\n';
        }
        this->cells(columns, title);
    }
    /// @brief Prints one row of a table.
    void row(const std::string &name, const std::vector<double> &values)
    {
        std::vector<std::string> texts{name};
        for (const double value : values) {
            std::string text = std::to_string(value);
            texts.push_back(text.substr(0, text.find('.') + 4));
        }
        this->cells(texts, "");
    }
    /// @brief Checks a measurement against an upper bound.
    void atMost(const std::string &name, double value, const std::string &unit, double bound)
    {
        this->bounded(name, value, unit, bound, value <= bound);
    }
    /// @brief Checks a measurement against a lower bound.
    void atLeast(const std::string &name, double value, const std::string &unit, double bound)
    {
        this->bounded(name, value, unit, bound, value >= bound);
    }

    // observers
    /// @brief Process exit code: 1 if a bound was violated.
    int exitCode() const
    {
        return this->passed ? 0 : 1;
    }

private:
    void cells(const std::vector<std::string> &texts, const std::string &title)
    {
        constexpr int nameWidth = 34;
        constexpr int width = 13;
        if (this->csv) {
            const char *separator = "";
            for (const std::string &text : texts) {
                std::cout << separator << text;
                separator = ",";
            }
            std::cout << (title.empty() ? "" : "," + title) << '\n';
            return;
        }
        int columnWidth = nameWidth;
        for (const std::string &text : texts) {
            std::cout << std::left << std::setw(columnWidth) << text;
            columnWidth = width;
        }
        std::cout << '\n';
    }
    void bounded(const std::string &name, double value, const std::string &unit, double bound, bool good)
    {
        this->passed = this->passed && good;
        std::cout << name << ' ' << value << ' ' << unit << ' ' << bound << ' ' << (good ? "ok" : "PASSED-BOUND")
                  << '\n';
    }

    bool csv;
    bool passed = true;
};

} // namespace parsleyvane::bench
