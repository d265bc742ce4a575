#pragma once

#include "base/millisecond_clock.h"
#include "sessions/statement.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hickorymount::sessions {

/// The first line on a connection, which opens a session.
struct open_request
{
    /// Name of the database; towards a backend server, the name of its group.
    std::string database;
    /// Who opens the session: a caller sends its key, a proxy the name of the customer, which is empty if
    /// callers need no key.
    std::string credential{};
    /// Name of the server that a proxy expects to reach; empty when a caller sends the line.
    std::string server{};

    friend bool operator==(const open_request&, const open_request&) = default;
};

struct statement_request
{
    std::string id;
    statement body;
    /// The position that a read must have reached; only proxies send one.
    std::optional<group_position> minimum_position{};
    /// Whose statement it is, if that changes on a connection between entry hosts.
    std::optional<relayed_caller> caller{};
    /// Time left until the deadline of the statement at the entry host that relays it; nothing if it has not
    /// waited there.
    std::optional<milliseconds> remaining_time{};

    friend bool operator==(const statement_request&, const statement_request&) = default;
};

struct close_request
{
    friend bool operator==(const close_request&, const close_request&) = default;
};

/// A line that can't be decoded as any other request.
struct malformed_request
{
    friend bool operator==(const malformed_request&, const malformed_request&) = default;
};

using caller_line = std::variant<open_request, statement_request, close_request, malformed_request>;

struct row_line
{
    std::string text;

    friend bool operator==(const row_line&, const row_line&) = default;
};

struct done_line
{
    std::string signature;

    friend bool operator==(const done_line&, const done_line&) = default;
};

struct error_line
{
    response_code code = response_code::failed;
    std::string detail;

    friend bool operator==(const error_line&, const error_line&) = default;
};

struct ready_line
{
    transaction_state state = transaction_state::none;
    std::optional<group_position> position;

    friend bool operator==(const ready_line&, const ready_line&) = default;
};

struct malformed_server_line
{
    friend bool operator==(const malformed_server_line&, const malformed_server_line&) = default;
};

using server_line = std::variant<row_line, done_line, error_line, ready_line, malformed_server_line>;

/// Encodes and decodes the line-based session protocol. Lines to decode are passed without their line end.
class session_codec
{
public:
    session_codec() = default;
    session_codec(const session_codec&) = delete;
    session_codec& operator=(const session_codec&) = delete;
    virtual ~session_codec() = default;

    [[nodiscard]] virtual caller_line decode_caller_line(std::string_view line) const = 0;
    /// Decodes a line from a proxy, which may send internal statements as well. Entry hosts that run
    /// statements for others and emulated servers use it.
    [[nodiscard]] virtual caller_line decode_proxy_line(std::string_view line) const = 0;
    [[nodiscard]] virtual server_line decode_server_line(std::string_view line) const = 0;
    /// Empty when the row is not a valid status.
    [[nodiscard]] virtual std::optional<server_status> decode_status(std::string_view row) const = 0;

    /// All `encode_` functions return complete messages, including the line ends. Those that return an
    /// optional are empty for content that would be read as other messages or exceeds the protocol's limit.
    [[nodiscard]] virtual std::optional<std::string> encode_open(const open_request& request) const = 0;
    [[nodiscard]] virtual std::optional<std::string>
    encode_statement(const statement_request& request) const = 0;
    [[nodiscard]] virtual std::string encode_ready(const ready_line& ready) const = 0;
    /// Encodes a server's response to a `status` statement.
    [[nodiscard]] virtual std::string encode_status(const server_status& status) const = 0;
    /// Line ends in the detail become blanks, and its end is cut off where it exceeds the limit.
    [[nodiscard]] virtual std::string encode_refusal(const error_line& refusal) const = 0;
    [[nodiscard]] virtual std::optional<std::string>
    encode_answer(const statement_response& response) const = 0;
};

} // namespace hickorymount::sessions
