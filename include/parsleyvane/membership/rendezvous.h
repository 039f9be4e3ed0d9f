/**
 * @file
 * @brief Rendezvous hashing: every instance makes the same choice from the same names, without coordination.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane {

/**
 * @brief Hash weight of a candidate; the candidates with the highest weights are chosen.
 * @param purpose key of the choice, such as "reader/zone-1"
 * @param salt changes the choice, such as the number of a round
 *
 * Complexity: linear in the lengths.
 */
std::uint64_t rendezvousWeight(std::string_view purpose, std::string_view candidate, std::uint64_t salt = 0) noexcept;

/// @brief Maps a hash evenly to [0, 1); the result is never 1, as a division of all 64 bits may round to it.
double unitInterval(std::uint64_t hash) noexcept;

/**
 * @brief The `count` candidates with the highest weights, in descending order. Complexity: n log count.
 *
 * @code
 * const auto readers = chooseByRendezvous("reader/zone-1", names, 2);
 * @endcode
 */
std::vector<std::string> chooseByRendezvous(std::string_view purpose, const std::vector<std::string> &candidates,
                                            std::size_t count, std::uint64_t salt = 0);

} // namespace parsleyvane
