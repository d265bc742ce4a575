#include "node/event_codec.h"

#include "codec/json_codec.h"
#include "node/descriptions.h"

namespace hickorymount::node {

std::string encode(const node_event& event)
{
    return codec::encode(event).dump();
}

std::string encode(const node_effect& effect)
{
    return codec::encode(effect).dump();
}

result<node_event> decode_event(std::string_view line)
{
    BOOST_LEAF_AUTO(document, codec::parse_json(line, codec::peer_input_limits, "events"));
    return codec::decode<node_event>(document, "events");
}

result<node_effect> decode_effect(std::string_view line)
{
    BOOST_LEAF_AUTO(document, codec::parse_json(line, codec::peer_input_limits, "effects"));
    return codec::decode<node_effect>(document, "effects");
}

} // namespace hickorymount::node
