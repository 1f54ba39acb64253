#include "fleet/peer_message.hpp"

#include <msgpack.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <optional>

namespace flamingofield {

namespace {

constexpr std::size_t hmacTagBytes = 16;
constexpr std::size_t maxElements = 20000;
constexpr std::size_t maxDepth = 8;

using packer = msgpack::packer<msgpack::sbuffer>;

std::string computeTag(std::string_view bytes, std::string_view secret)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
         digest, &length);
    return {reinterpret_cast<const char *>(digest), hmacTagBytes};
}

void packText(packer &out, std::string_view text)
{
    out.pack_bin(static_cast<std::uint32_t>(text.size()));
    out.pack_bin_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

void packRecord(packer &out, const node_record &record)
{
    const node_info &info = record.info;
    out.pack_array(12);
    out.pack(info.incarnation);
    packText(out, info.peerAddress.host);
    out.pack(info.peerAddress.port);
    // Most nodes use the same host for all three addresses, so it is sent only once.
    packText(out, info.gateAddress.host == info.peerAddress.host ? std::string_view() : std::string_view(info.gateAddress.host));
    out.pack(info.gateAddress.port);
    packText(out, info.adminAddress.host == info.peerAddress.host ? std::string_view() : std::string_view(info.adminAddress.host));
    out.pack(info.adminAddress.port);
    packText(out, info.dataCentre);
    out.pack(info.epoch);
    out.pack(info.isLeaving);
    out.pack(static_cast<std::uint8_t>(record.state));
    out.pack(record.recordVersion);
}

void packStamp(packer &out, const config_stamp &stamp)
{
    out.pack_array(2);
    out.pack(stamp.version);
    out.pack(stamp.revision);
}

/// Packs the body of each kind. The number of a kind on the wire is its index in message_body.
struct body_packer
{
    packer &out;

    void operator()(const heartbeat &b) const
    {
        out.pack_array(2);
        out.pack(b.sequence);
        out.pack(b.wantsAllRecords);
    }
    void operator()(const heartbeat_ack &b) const
    {
        out.pack_array(1);
        out.pack(b.sequence);
    }
    void operator()(const indirect_heartbeat &b) const
    {
        out.pack_array(2);
        out.pack(b.sequence);
        out.pack(b.target);
    }
    void operator()(const membership_update &) const
    {
        out.pack_array(0);
    }
    void operator()(const config_request &b) const
    {
        out.pack_array(1);
        packStamp(out, b.base);
    }
    void operator()(const config_reply &b) const
    {
        out.pack_array(4);
        packStamp(out, b.stamp);
        packStamp(out, b.base);
        out.pack_array(static_cast<std::uint32_t>(b.delta.pieces.size()));
        for (const auto &piece : b.delta.pieces) {
            out.pack_array(2);
            out.pack(piece.basePart);
            packText(out, piece.bytes);
        }
        out.pack(b.hash);
    }
    void operator()(const service_report &b) const
    {
        out.pack_array(4);
        out.pack(b.service);
        out.pack(b.demand);
        out.pack_array(static_cast<std::uint32_t>(b.evidence.size()));
        for (const auto &e : b.evidence) {
            out.pack_array(5);
            out.pack(e.target);
            out.pack(e.score);
            out.pack(e.bad);
            out.pack(e.total);
            out.pack(e.isWarming);
        }
        out.pack_array(static_cast<std::uint32_t>(b.leaving.size()));
        for (const auto &target : b.leaving) {
            out.pack(target);
        }
    }
};

/// Fields of a msgpack array, read in order; fields beyond the known ones are ignored.
class array_reader
{
public:
    explicit array_reader(const msgpack::object &object)
    {
        if (object.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
        m_array = object.via.array;
    }

    const msgpack::object &next()
    {
        if (m_nextIndex >= m_array.size) {
            throw msgpack::type_error();
        }
        return m_array.ptr[m_nextIndex++];
    }

    template<typename T> T value()
    {
        return next().as<T>();
    }

    std::string text()
    {
        const msgpack::object &object = next();
        if (object.type != msgpack::type::BIN) {
            throw msgpack::type_error();
        }
        return {object.via.bin.ptr, object.via.bin.size};
    }

    std::uint32_t size() const
    {
        return m_array.size;
    }

private:
    msgpack::object_array m_array{};
    std::uint32_t m_nextIndex = 0;
};

node_record readRecord(const msgpack::object &object)
{
    array_reader in(object);
    node_record record;
    node_info &info = record.info;
    info.incarnation = in.value<std::uint64_t>();
    info.peerAddress.host = in.text();
    info.peerAddress.port = in.value<std::uint16_t>();
    info.gateAddress.host = in.text();
    info.gateAddress.port = in.value<std::uint16_t>();
    info.adminAddress.host = in.text();
    info.adminAddress.port = in.value<std::uint16_t>();
    info.dataCentre = in.text();
    info.epoch = in.value<std::uint32_t>();
    info.isLeaving = in.value<bool>();
    const auto state = in.value<std::uint8_t>();
    record.recordVersion = in.value<std::uint32_t>();
    if (info.gateAddress.host.empty()) {
        info.gateAddress.host = info.peerAddress.host;
    }
    if (info.adminAddress.host.empty()) {
        info.adminAddress.host = info.peerAddress.host;
    }
    if (state > static_cast<std::uint8_t>(node_state::left) || !isIpv4(info.peerAddress.host) || !isIpv4(info.gateAddress.host)) {
        throw msgpack::type_error();
    }
    record.state = static_cast<node_state>(state);
    return record;
}

config_stamp readStamp(const msgpack::object &object)
{
    array_reader in(object);
    config_stamp stamp;
    stamp.version = in.value<std::uint64_t>();
    stamp.revision = in.value<std::uint64_t>();
    return stamp;
}

config_reply readReply(array_reader &in)
{
    config_reply reply;
    reply.stamp = readStamp(in.next());
    reply.base = readStamp(in.next());
    array_reader pieces(in.next());
    for (std::uint32_t i = 0; i < pieces.size(); ++i) {
        array_reader piece(pieces.next());
        const auto basePart = piece.value<std::int32_t>();
        reply.delta.pieces.push_back({basePart, piece.text()});
    }
    reply.hash = in.value<std::uint64_t>();
    return reply;
}

service_report readReport(array_reader &in)
{
    service_report report;
    report.service = in.value<std::uint64_t>();
    report.demand = in.value<std::vector<float>>();
    array_reader rows(in.next());
    for (std::uint32_t i = 0; i < rows.size(); ++i) {
        array_reader row(rows.next());
        target_evidence e;
        e.target = row.value<std::uint64_t>();
        e.score = row.value<float>();
        e.bad = row.value<float>();
        e.total = row.value<float>();
        e.isWarming = row.value<bool>();
        report.evidence.push_back(e);
    }
    array_reader leaving(in.next());
    for (std::uint32_t i = 0; i < leaving.size(); ++i) {
        report.leaving.push_back(leaving.value<std::uint64_t>());
    }
    return report;
}

message_body readBody(int kind, const msgpack::object &object)
{
    array_reader in(object);
    switch (kind) {
    case 0: {
        const auto sequence = in.value<std::uint64_t>();
        return heartbeat{sequence, in.value<bool>()};
    }
    case 1:
        return heartbeat_ack{in.value<std::uint64_t>()};
    case 2: {
        const auto sequence = in.value<std::uint64_t>();
        return indirect_heartbeat{sequence, in.value<std::uint64_t>()};
    }
    case 3:
        return membership_update{};
    case 4:
        return config_request{readStamp(in.next())};
    case 5:
        return readReply(in);
    case 6:
        return readReport(in);
    default:
        throw msgpack::type_error();
    }
}

peer_message readMessage(const msgpack::object &object)
{
    array_reader in(object);
    peer_message message;
    if (in.value<int>() < messageFormatVersion) {
        throw msgpack::type_error();
    }
    const int kind = in.value<int>();
    message.sender = readRecord(in.next());
    message.config = readStamp(in.next());
    message.digest = in.value<std::uint64_t>();
    array_reader records(in.next());
    for (std::uint32_t i = 0; i < records.size(); ++i) {
        message.records.push_back(readRecord(records.next()));
    }
    message.body = readBody(kind, in.next());
    return message;
}

/// @return the bytes without their tag, or none if the tag is wrong
std::optional<std::string_view> removeTag(std::string_view bytes, std::string_view secret)
{
    if (secret.empty()) {
        return bytes;
    }
    if (bytes.size() < hmacTagBytes) {
        return std::nullopt;
    }
    const auto body = bytes.substr(0, bytes.size() - hmacTagBytes);
    const std::string expected = computeTag(body, secret);
    const bool isEqual = CRYPTO_memcmp(expected.data(), bytes.data() + body.size(), hmacTagBytes) == 0;
    return isEqual ? std::optional<std::string_view>(body) : std::nullopt;
}

} // namespace

std::string encodeMessage(const peer_message &message, std::string_view secret)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(7);
    out.pack(messageFormatVersion);
    out.pack(static_cast<int>(message.body.index()));
    packRecord(out, message.sender);
    packStamp(out, message.config);
    out.pack(message.digest);
    out.pack_array(static_cast<std::uint32_t>(message.records.size()));
    for (const auto &record : message.records) {
        packRecord(out, record);
    }
    std::visit(body_packer{out}, message.body);
    std::string bytes(buffer.data(), buffer.size());
    if (!secret.empty()) {
        bytes += computeTag(bytes, secret);
    }
    return bytes;
}

result<peer_message> decodeMessage(std::string_view bytes, std::string_view secret, std::string_view peer)
{
    if (bytes.size() > maxMessageBytes) {
        return error{"decode", std::string(peer), "the message is larger than the limit of 2 MB"};
    }
    const auto body = removeTag(bytes, secret);
    if (!body) {
        return error{"decode", std::string(peer), "the message's HMAC tag is missing or wrong; the sender may use another secret"};
    }
    try {
        const msgpack::unpack_limit limit(maxElements, maxElements, maxMessageBytes, maxMessageBytes, 0, maxDepth);
        const auto handle = msgpack::unpack(body->data(), body->size(), nullptr, nullptr, limit);
        return readMessage(handle.get());
    } catch (const std::exception &failure) {
        return error{"decode", std::string(peer), std::string("malformed message: ") + failure.what()};
    }
}

} // namespace flamingofield
