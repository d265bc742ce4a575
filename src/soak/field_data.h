#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace hickorymount::soak {

/// Which bytes the last fields of messages contain.
enum class field_alphabet
{
    /// The words that the caller of `field_source` passes.
    plain,
    /// Line feeds, carriage returns, zero bytes, blanks at both ends, words of the protocol and whole
    /// messages.
    any_byte
};

/// A sequence of values for the last field of a message. None is empty or contains CR LF.
class field_source
{
public:
    field_source(std::uint32_t seed, field_alphabet alphabet) : m_random(seed), m_alphabet(alphabet) {}

    /// Returns `plain` with the plain alphabet, and in some cases with the other one.
    std::string next(const std::string& plain);

private:
    std::mt19937 m_random;
    field_alphabet m_alphabet;
};

/// Replaces bytes that are not printable by `\xNN`.
std::string to_printable(std::string_view bytes);

} // namespace hickorymount::soak
