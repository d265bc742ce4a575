#pragma once

#include <memory>
#include <utility>

namespace hickorymount {

/// Immutable value whose copies share one object. Compares by content.
template <class T>
class shared_value
{
public:
    shared_value() : m_value(std::make_shared<const T>()) {}

    explicit shared_value(T value) : m_value(std::make_shared<const T>(std::move(value))) {}

    const T& operator*() const { return *m_value; }
    const T* operator->() const { return m_value.get(); }

    friend bool operator==(const shared_value& left, const shared_value& right)
    {
        return left.m_value == right.m_value || *left.m_value == *right.m_value;
    }

private:
    std::shared_ptr<const T> m_value;
};

} // namespace hickorymount
