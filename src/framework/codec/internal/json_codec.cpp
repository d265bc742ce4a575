#include "codec/json_codec.h"

#include <stdexcept>

namespace hickorymount::codec {

namespace {

/// The message of a syntax error without the text that was read last, which may be a key of a customer.
std::string without_content(const std::string& message)
{
    return message.substr(0, message.find("; last read"));
}

/// Parser callback that throws when the document nests deeper than the limit.
class depth_guard
{
public:
    explicit depth_guard(int limit) : m_limit(limit) {}

    bool operator()(int depth, json::parse_event_t /*event*/, json& /*parsed*/)
    {
        if (depth > m_limit) {
            throw std::length_error("nested deeper than the limit");
        }
        return true;
    }

private:
    int m_limit;
};

/// SAX handler that builds a document and throws when it nests deeper than the limit.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json>
{
    using base = nlohmann::detail::json_sax_dom_parser<json>;

public:
    bounded_builder(json& document, int limit) : base(document, true), m_limit(limit) {}

    bool start_object(std::size_t count) { return enter_level() && base::start_object(count); }
    bool start_array(std::size_t count) { return enter_level() && base::start_array(count); }

    bool string(string_t& text)
    {
        // The CBOR reader does not check this.
        if (!is_utf8(text)) {
            throw std::invalid_argument("a string is not UTF-8");
        }
        return base::string(text);
    }

    bool end_object()
    {
        --m_depth;
        return base::end_object();
    }

    bool end_array()
    {
        --m_depth;
        return base::end_array();
    }

private:
    bool enter_level()
    {
        if (++m_depth > m_limit) {
            throw std::length_error("nested deeper than the limit");
        }
        return true;
    }

    int m_limit;
    int m_depth = 0;
};

} // namespace

result<json> parse_json(std::string_view text, const input_limits& limits, const std::string& peer)
{
    if (text.size() > limits.bytes) {
        return fail("parse_json", peer, "larger than the limit");
    }
    try {
        return json::parse(text, depth_guard(limits.depth));
    } catch (const std::exception& error) {
        return fail("parse_json", peer, without_content(error.what()));
    }
}

result<json> parse_cbor(std::string_view bytes, const input_limits& limits, const std::string& peer)
{
    if (bytes.size() > limits.bytes) {
        return fail("parse_cbor", peer, "larger than the limit");
    }
    try {
        json document;
        bounded_builder builder(document, limits.depth);
        if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor)) {
            return fail("parse_cbor", peer, "not a CBOR document");
        }
        return document;
    } catch (const std::exception& error) {
        return fail("parse_cbor", peer, error.what());
    }
}

std::string to_text(const json& document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool is_utf8(const std::string& text)
{
    try {
        json(text).dump();
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

std::string to_cbor(const json& document)
{
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

} // namespace hickorymount::codec
