#pragma once

#include <functional>
#include <string>

#include <boost/leaf.hpp>

namespace hickorymount {

namespace leaf = boost::leaf;

/// A fallible result; its errors carry a `failure`.
template <class T>
using result = leaf::result<T>;

/// What failed: the step, the peer it concerned (empty for the process itself), and the reason.
struct failure
{
    std::string step;
    std::string peer;
    std::string reason;

    friend bool operator==(const failure&, const failure&) = default;
};

/// Starts an error with its step and peer.
inline leaf::error_id fail(std::string step, std::string peer, std::string reason)
{
    return leaf::new_error(failure{std::move(step), std::move(peer), std::move(reason)});
}

/// One line for people: `step: reason (peer)`.
std::string to_string(const failure& what);

/// Runs `attempt`; on an error runs `recover` with its failure.
template <class Attempt, class Recover>
auto handle_failure(Attempt&& attempt, Recover&& recover)
{
    return leaf::try_handle_all(
        std::forward<Attempt>(attempt), [&](const failure& what) { return recover(what); },
        [&] {
            return recover(failure{"unknown", "", "an error without a description"});
        });
}

} // namespace hickorymount
