#include "mesh/node_address.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace flamingofield {

node_address toNodeAddress(const std::string &text)
{
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address_v4(text, failure);
    return failure ? 0 : address.to_uint();
}

std::vector<node_address> toNodeAddresses(const std::vector<std::string> &texts)
{
    std::vector<node_address> addresses;
    for (const auto &text : texts) {
        addresses.push_back(toNodeAddress(text));
    }
    return addresses;
}

std::string toText(node_address address)
{
    return boost::asio::ip::address_v4(address).to_string();
}

} // namespace flamingofield
