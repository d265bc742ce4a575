#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace hickorymount {

/// An ordered map as a value: copies share their entries, and a change copies one chunk of them.
/// A change to an rvalue that shares nothing is made in place.
template <class Key, class Value>
class shared_map
{
public:
    using value_type = std::pair<Key, Value>;

private:
    static constexpr std::size_t chunk_entries = 32;

    using chunk = std::vector<value_type>;
    using chunk_pointer = std::shared_ptr<chunk>;
    using spine = std::vector<chunk_pointer>;

public:
    class const_iterator
    {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = shared_map::value_type;
        using difference_type = std::ptrdiff_t;
        using pointer = const value_type*;
        using reference = const value_type&;

        const_iterator() = default;
        const_iterator(const spine* chunks, std::size_t chunk_index, std::size_t entry_index)
            : m_chunks(chunks), m_chunk(chunk_index), m_entry(entry_index)
        {
        }

        reference operator*() const { return (*(*m_chunks)[m_chunk])[m_entry]; }
        pointer operator->() const { return &**this; }

        const_iterator& operator++()
        {
            if (++m_entry == (*m_chunks)[m_chunk]->size()) {
                ++m_chunk;
                m_entry = 0;
            }
            return *this;
        }

        const_iterator operator++(int)
        {
            const_iterator before = *this;
            ++*this;
            return before;
        }

        friend bool operator==(const const_iterator& left, const const_iterator& right)
        {
            return left.m_chunk == right.m_chunk && left.m_entry == right.m_entry;
        }

    private:
        const spine* m_chunks = nullptr;
        std::size_t m_chunk = 0;
        std::size_t m_entry = 0;
    };

    shared_map() : m_chunks(std::make_shared<spine>()) {}

    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] bool empty() const { return m_size == 0; }
    [[nodiscard]] bool contains(const Key& key) const { return find(key) != nullptr; }
    [[nodiscard]] const_iterator begin() const { return {m_chunks.get(), 0, 0}; }
    [[nodiscard]] const_iterator end() const { return {m_chunks.get(), m_chunks->size(), 0}; }

    /// The first entry whose key is not less than `key`.
    [[nodiscard]] const_iterator lower_bound(const Key& key) const
    {
        for (std::size_t at = chunk_for(key); at < m_chunks->size(); ++at) {
            const chunk& entries = *(*m_chunks)[at];
            const auto entry = lower_entry(entries, key);
            if (entry != entries.end()) {
                return {m_chunks.get(), at, static_cast<std::size_t>(entry - entries.begin())};
            }
        }
        return end();
    }

    /// The value under `key`, or null. Valid while this map, or a copy of it, lives unchanged.
    [[nodiscard]] const Value* find(const Key& key) const
    {
        if (empty()) {
            return nullptr;
        }
        const chunk& entries = *(*m_chunks)[chunk_for(key)];
        const auto entry = lower_entry(entries, key);
        return entry != entries.end() && entry->first == key ? &entry->second : nullptr;
    }

    /// This map with `value` under `key`.
    [[nodiscard]] shared_map set(Key key, Value value) const&
    {
        return shared_map(*this).set(std::move(key), std::move(value));
    }

    [[nodiscard]] shared_map set(Key key, Value value) &&
    {
        own_spine();
        if (m_chunks->empty()) {
            m_chunks->push_back(std::make_shared<chunk>(1, value_type(std::move(key), std::move(value))));
            m_size = 1;
            return std::move(*this);
        }
        const std::size_t at = chunk_for(key);
        chunk& entries = own_chunk(at);
        const auto entry = lower_entry(entries, key);
        if (entry != entries.end() && entry->first == key) {
            entry->second = std::move(value);
            return std::move(*this);
        }
        entries.emplace(entry, std::move(key), std::move(value));
        ++m_size;
        if (entries.size() > chunk_entries) {
            split(at);
        }
        return std::move(*this);
    }

    /// This map without `key`.
    [[nodiscard]] shared_map erase(const Key& key) const& { return shared_map(*this).erase(key); }

    [[nodiscard]] shared_map erase(const Key& key) &&
    {
        if (!contains(key)) {
            return std::move(*this);
        }
        own_spine();
        const std::size_t at = chunk_for(key);
        chunk& entries = own_chunk(at);
        entries.erase(lower_entry(entries, key));
        if (entries.empty()) {
            m_chunks->erase(m_chunks->begin() + static_cast<std::ptrdiff_t>(at));
        }
        --m_size;
        return std::move(*this);
    }

    friend bool operator==(const shared_map& left, const shared_map& right)
    {
        return left.m_chunks == right.m_chunks ||
               (left.m_size == right.m_size && std::equal(left.begin(), left.end(), right.begin()));
    }

private:
    template <class Entries>
    static auto lower_entry(Entries& entries, const Key& key)
    {
        return std::lower_bound(
            entries.begin(), entries.end(), key,
            [](const value_type& entry, const Key& wanted) { return entry.first < wanted; });
    }

    [[nodiscard]] std::size_t chunk_for(const Key& key) const
    {
        const auto after = std::upper_bound(
            m_chunks->begin(), m_chunks->end(), key,
            [](const Key& wanted, const chunk_pointer& entries) { return wanted < entries->front().first; });
        return after == m_chunks->begin() ? 0 : static_cast<std::size_t>(after - m_chunks->begin()) - 1;
    }

    void own_spine()
    {
        if (m_chunks.use_count() != 1) {
            m_chunks = std::make_shared<spine>(*m_chunks);
        }
    }

    chunk& own_chunk(std::size_t at)
    {
        chunk_pointer& entries = (*m_chunks)[at];
        if (entries.use_count() != 1) {
            entries = std::make_shared<chunk>(*entries);
        }
        return *entries;
    }

    void split(std::size_t at)
    {
        chunk& low = *(*m_chunks)[at];
        const auto middle = low.begin() + static_cast<std::ptrdiff_t>(low.size() / 2);
        auto high =
            std::make_shared<chunk>(std::make_move_iterator(middle), std::make_move_iterator(low.end()));
        low.erase(middle, low.end());
        m_chunks->insert(m_chunks->begin() + static_cast<std::ptrdiff_t>(at) + 1, std::move(high));
    }

    std::shared_ptr<spine> m_chunks;
    std::size_t m_size = 0;
};

} // namespace hickorymount
