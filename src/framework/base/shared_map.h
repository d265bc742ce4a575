#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace hickorymount {

/// Ordered copy-on-write map: copies share their chunks of entries, and a change copies only the changed
/// chunk and the list of chunks. A change to an rvalue that shares nothing is made in place.
template <class Key, class Value>
class shared_map
{
public:
    using value_type = std::pair<Key, Value>;

private:
    static constexpr std::size_t chunk_entries = 32;

    using chunk = std::vector<value_type>;
    using chunk_pointer = std::shared_ptr<chunk>;
    using chunk_list = std::vector<chunk_pointer>;

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
        const_iterator(const chunk_list* chunks, std::size_t chunk_index, std::size_t entry_index)
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
        const chunk_list* m_chunks = nullptr;
        std::size_t m_chunk = 0;
        std::size_t m_entry = 0;
    };

    shared_map() : m_chunks(std::make_shared<chunk_list>()) {}

    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] bool empty() const { return m_size == 0; }
    [[nodiscard]] bool contains(const Key& key) const { return find(key) != nullptr; }
    [[nodiscard]] const_iterator begin() const { return {m_chunks.get(), 0, 0}; }
    [[nodiscard]] const_iterator end() const { return {m_chunks.get(), m_chunks->size(), 0}; }

    /// Returns the first entry whose key is not less than `key`, or `end()`.
    [[nodiscard]] const_iterator lower_bound(const Key& key) const
    {
        for (std::size_t index = chunk_index_for(key); index < m_chunks->size(); ++index) {
            const chunk& entries = *(*m_chunks)[index];
            const auto entry = lower_bound_in_chunk(entries, key);
            if (entry != entries.end()) {
                return {m_chunks.get(), index, static_cast<std::size_t>(entry - entries.begin())};
            }
        }
        return end();
    }

    /// Returns the value for `key`, or null. The pointer is valid while this map, or a copy of it, exists
    /// unchanged.
    [[nodiscard]] const Value* find(const Key& key) const
    {
        if (empty()) {
            return nullptr;
        }
        const chunk& entries = *(*m_chunks)[chunk_index_for(key)];
        const auto entry = lower_bound_in_chunk(entries, key);
        return entry != entries.end() && entry->first == key ? &entry->second : nullptr;
    }

    /// Returns the map with `key` set to `value`.
    [[nodiscard]] shared_map set(Key key, Value value) const&
    {
        return shared_map(*this).set(std::move(key), std::move(value));
    }

    [[nodiscard]] shared_map set(Key key, Value value) &&
    {
        unshare_chunk_list();
        if (m_chunks->empty()) {
            m_chunks->push_back(std::make_shared<chunk>(1, value_type(std::move(key), std::move(value))));
            m_size = 1;
            return std::move(*this);
        }
        const std::size_t index = chunk_index_for(key);
        chunk& entries = unshare_chunk(index);
        const auto entry = lower_bound_in_chunk(entries, key);
        if (entry != entries.end() && entry->first == key) {
            entry->second = std::move(value);
            return std::move(*this);
        }
        entries.emplace(entry, std::move(key), std::move(value));
        ++m_size;
        if (entries.size() > chunk_entries) {
            split_chunk(index);
        }
        return std::move(*this);
    }

    /// Returns the map without `key`; an absent key changes nothing.
    [[nodiscard]] shared_map erase(const Key& key) const& { return shared_map(*this).erase(key); }

    [[nodiscard]] shared_map erase(const Key& key) &&
    {
        if (!contains(key)) {
            return std::move(*this);
        }
        unshare_chunk_list();
        const std::size_t index = chunk_index_for(key);
        chunk& entries = unshare_chunk(index);
        entries.erase(lower_bound_in_chunk(entries, key));
        if (entries.empty()) {
            m_chunks->erase(m_chunks->begin() + static_cast<std::ptrdiff_t>(index));
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
    static auto lower_bound_in_chunk(Entries& entries, const Key& key)
    {
        return std::lower_bound(
            entries.begin(), entries.end(), key,
            [](const value_type& entry, const Key& searched_key) { return entry.first < searched_key; });
    }

    [[nodiscard]] std::size_t chunk_index_for(const Key& key) const
    {
        const auto next_chunk = std::upper_bound(m_chunks->begin(), m_chunks->end(), key,
                                                 [](const Key& searched_key, const chunk_pointer& entries) {
                                                     return searched_key < entries->front().first;
                                                 });
        return next_chunk == m_chunks->begin() ? 0
                                               : static_cast<std::size_t>(next_chunk - m_chunks->begin()) - 1;
    }

    void unshare_chunk_list()
    {
        if (m_chunks.use_count() != 1) {
            m_chunks = std::make_shared<chunk_list>(*m_chunks);
        }
    }

    chunk& unshare_chunk(std::size_t index)
    {
        chunk_pointer& entries = (*m_chunks)[index];
        if (entries.use_count() != 1) {
            entries = std::make_shared<chunk>(*entries);
        }
        return *entries;
    }

    void split_chunk(std::size_t index)
    {
        chunk& lower_half = *(*m_chunks)[index];
        const auto middle = lower_half.begin() + static_cast<std::ptrdiff_t>(lower_half.size() / 2);
        auto upper_half = std::make_shared<chunk>(std::make_move_iterator(middle),
                                                  std::make_move_iterator(lower_half.end()));
        lower_half.erase(middle, lower_half.end());
        m_chunks->insert(m_chunks->begin() + static_cast<std::ptrdiff_t>(index) + 1, std::move(upper_half));
    }

    std::shared_ptr<chunk_list> m_chunks;
    std::size_t m_size = 0;
};

} // namespace hickorymount
