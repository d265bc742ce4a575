#include "configuration/key_digest.h"

#include <array>

#include <sodium.h>

namespace hickorymount::configuration {

namespace {

constexpr std::size_t digest_bytes = 16;

} // namespace

key_digest digest_of_key(std::string_view key)
{
    std::array<unsigned char, digest_bytes> hash{};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(key.data()),
                       key.size(), nullptr, 0);
    std::array<char, 2 * digest_bytes + 1> text{};
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    return key_digest{text.data()};
}

} // namespace hickorymount::configuration
