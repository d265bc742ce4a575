#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace hickorymount::fuzzing {

/// Generates input for decoders; the same seed and words give the same input everywhere.
class byte_generator
{
public:
    /// `words` are the texts that mean something to the decoder.
    byte_generator(std::uint64_t seed, std::vector<std::string> words)
        : m_random(seed), m_words(std::move(words))
    {
    }

    /// A number below `bound`, which is not zero.
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(m_random() % bound); }

    /// True once in `period` calls on average.
    bool once_in(std::size_t period) { return below(period) == 0; }

    const std::string& choose(const std::vector<std::string>& texts) { return texts[below(texts.size())]; }

    /// A word, a byte that a decoder may treat specially, a digit, a letter, or any byte.
    std::string piece()
    {
        static const std::string special("\n\r\0 \xff\t.-+\"\\", 11);
        switch (below(5)) {
        case 0:
            return m_words.empty() ? "" : choose(m_words);
        case 1:
            return std::string(1, special[below(special.size())]);
        case 2:
            return std::string(1, static_cast<char>('0' + below(10)));
        case 3:
            return std::string(1, static_cast<char>('a' + below(26)));
        default:
            return std::string(1, static_cast<char>(below(256)));
        }
    }

    /// At most `max_pieces` pieces.
    std::string bytes(std::size_t max_pieces)
    {
        std::string text;
        for (std::size_t left = below(max_pieces + 1); left > 0; --left) {
            text += piece();
        }
        return text;
    }

    /// The text with one or a few parts removed, repeated, inserted, changed or cut off.
    std::string mutated(std::string text)
    {
        for (std::size_t left = 1 + below(3); left > 0; --left) {
            mutate(text);
        }
        return text;
    }

private:
    void mutate(std::string& text)
    {
        const std::size_t from = below(text.size() + 1);
        const std::size_t count = below(text.size() - from + 1);
        switch (below(6)) {
        case 0:
            text.erase(from, 1 + below(4));
            return;
        case 1:
            text.erase(from, count);
            return;
        case 2:
            text.insert(from, text.substr(from, count));
            return;
        case 3:
            text.insert(from, piece());
            return;
        case 4:
            text.resize(from);
            return;
        default:
            if (from < text.size()) {
                text[from] = static_cast<char>(below(256));
            }
            return;
        }
    }

    std::mt19937_64 m_random;
    std::vector<std::string> m_words;
};

} // namespace hickorymount::fuzzing
