#include "protocol/message_codec.h"

#include "codec/json_codec.h"
#include "protocol/descriptions.h"

namespace hickorymount::protocol {

std::string encode(const message& value)
{
    return codec::to_cbor(codec::encode(value));
}

std::string_view kind_of(const message& value)
{
    return std::visit(
        [](const auto& content) { return codec::description<std::decay_t<decltype(content)>>::name; }, value);
}

result<message> decode(std::string_view bytes, const std::string& peer)
{
    BOOST_LEAF_AUTO(document, codec::parse_cbor(bytes, codec::peer_input_limits, peer));
    return codec::decode<message>(document, peer);
}

} // namespace hickorymount::protocol
