#include "mesh/usage_message.hpp"

#include <msgpack.hpp>

namespace flamingofield {

namespace {

/// The only byte that MessagePack never uses; other releases take a datagram that begins with it for damaged and ignore it.
constexpr char marker = '\xc1';
/// Format version, the first element of each message; must change whenever the layout changes.
constexpr int usageFormat = 1;
constexpr std::uint32_t elementCount = 7;
constexpr std::uint32_t usageElementCount = 3;

void expectArray(const msgpack::object &object, std::uint32_t size)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != size) {
        throw msgpack::type_error();
    }
}

account_usage unpackUsage(const msgpack::object &object)
{
    expectArray(object, usageElementCount);
    const msgpack::object *elements = object.via.array.ptr;
    return {elements[0].as<std::uint64_t>(), elements[1].as<std::uint32_t>(), elements[2].as<std::uint32_t>()};
}

usage_message unpack(const msgpack::object &object)
{
    expectArray(object, elementCount);
    const msgpack::object *elements = object.via.array.ptr;
    if (elements[0].as<int>() != usageFormat) {
        throw msgpack::type_error();
    }
    usage_message message;
    message.sender = elements[1].as<node_address>();
    message.incarnation = elements[2].as<std::uint64_t>();
    message.state = {elements[3].as<bool>(), elements[4].as<bool>(), elements[5].as<bool>()};
    const msgpack::object &rows = elements[6];
    if (rows.type != msgpack::type::ARRAY) {
        throw msgpack::type_error();
    }
    for (std::uint32_t i = 0; i < rows.via.array.size; ++i) {
        message.usages.push_back(unpackUsage(rows.via.array.ptr[i]));
    }
    return message;
}

} // namespace

bool isUsageMessage(std::string_view bytes)
{
    return !bytes.empty() && bytes.front() == marker;
}

std::string encode(const usage_message &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(elementCount);
    out.pack(usageFormat).pack(message.sender).pack(message.incarnation);
    out.pack(message.state.isHub).pack(message.state.isLeaving).pack(message.state.wantsReports);
    out.pack_array(static_cast<std::uint32_t>(message.usages.size()));
    for (const account_usage &usage : message.usages) {
        out.pack_array(usageElementCount);
        out.pack(usage.account).pack(usage.generation).pack(usage.admissions);
    }
    std::string bytes(1, marker);
    bytes.append(buffer.data(), buffer.size());
    return bytes;
}

result<usage_message> decodeUsageMessage(std::string_view bytes)
{
    const std::string length = std::to_string(bytes.size()) + " bytes";
    if (!isUsageMessage(bytes)) {
        return error{"decode usage message", length, "no usage message"};
    }
    try {
        const auto handle = msgpack::unpack(bytes.data() + 1, bytes.size() - 1);
        return unpack(handle.get());
    } catch (const std::exception &failure) { // msgpack reports malformed input by exceptions
        return error{"decode usage message", length + ", not in the format of this release", failure.what()};
    }
}

} // namespace flamingofield
