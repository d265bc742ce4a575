#pragma once

#include <functional>
#include <string>

#include <boost/leaf.hpp>

namespace hickorymount {

namespace leaf = boost::leaf;

/// Result of an operation that can fail; its errors carry a `failure`.
template <class T>
using result = leaf::result<T>;

/// Describes a failed operation: its step, the peer that it concerned (empty for the process itself) and the
/// reason.
struct failure
{
    std::string step;
    std::string peer;
    std::string reason;

    friend bool operator==(const failure&, const failure&) = default;
};

/// Creates an error that carries a `failure`.
inline leaf::error_id fail(std::string step, std::string peer, std::string reason)
{
    return leaf::new_error(failure{std::move(step), std::move(peer), std::move(reason)});
}

/// Formats a failure for display as `step: reason (peer)`, without the peer when that is empty.
std::string to_string(const failure& error);

/// Returns the value of `attempt`, or on an error that of `recover`, called with the failure.
template <class Attempt, class Recover>
auto handle_failure(Attempt&& attempt, Recover&& recover)
{
    return leaf::try_handle_all(
        std::forward<Attempt>(attempt), [&](const failure& error) { return recover(error); },
        [&] {
            return recover(failure{"unknown", "", "unspecified error"});
        });
}

} // namespace hickorymount
