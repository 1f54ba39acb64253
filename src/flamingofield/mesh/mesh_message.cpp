#include "mesh/mesh_message.hpp"

#include <msgpack.hpp>

namespace flamingofield {

namespace {

/// Format version, the first element of each message; must change whenever the layout changes, except by elements at the end, which
/// older nodes ignore.
constexpr int messageFormat = 7;
/// Elements of a message that all nodes of this format send.
constexpr std::uint32_t messageElements = 10;
/// Elements of a fleet state with the contact to the registry and the confirmations, which nodes of earlier releases do not send.
constexpr std::uint32_t contactElements = 12;
/// Further elements of a fleet state after an outage of the registry.
constexpr std::uint32_t outageElements = 3;
/// Elements of the array that follows: what identifies documents whose revisions a store has given out again.
constexpr std::uint32_t eraElements = 3;
/// Further elements of that array after the return of the registry from an earlier copy.
constexpr std::uint32_t returnElements = 2;
/// Elements of a target document of earlier releases.
constexpr std::uint32_t documentElements = 2;
/// Elements of a target document with missing targets and the fleet state.
constexpr std::uint32_t missingElements = 4;
/// Elements of a target document with departures as well.
constexpr std::uint32_t departureElements = 5;

using packer = msgpack::packer<msgpack::sbuffer>;

/// Reads the elements of an array in order; throws msgpack::type_error on a missing element or one of another type.
class array_reader
{
public:
    explicit array_reader(const msgpack::object &object)
    {
        if (object.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
        m_elements = object.via.array;
    }

    std::uint32_t size() const
    {
        return m_elements.size;
    }

    const msgpack::object &next()
    {
        if (m_position >= m_elements.size) {
            throw msgpack::type_error();
        }
        return m_elements.ptr[m_position++];
    }

    template<typename T> T as()
    {
        return next().as<T>();
    }

private:
    msgpack::object_array m_elements{};
    std::uint32_t m_position = 0;
};

void pack(packer &out, const mesh_member &member)
{
    out.pack_array(8);
    out.pack(member.address).pack(member.dataCentre).pack(member.incarnation).pack(member.isReady).pack(member.capacityMillicores);
    out.pack(member.ageMs).pack(member.localHubs).pack(member.localNodes);
}

mesh_member unpackMember(const msgpack::object &object)
{
    array_reader in(object);
    mesh_member member;
    member.address = in.as<node_address>();
    member.dataCentre = in.as<std::string>();
    member.incarnation = in.as<std::uint64_t>();
    member.isReady = in.as<bool>();
    member.capacityMillicores = in.as<std::uint32_t>();
    member.ageMs = in.as<std::uint32_t>();
    member.localHubs = in.as<std::uint32_t>();
    member.localNodes = in.as<std::uint32_t>();
    return member;
}

void pack(packer &out, const fleet_state_summary &fleetState)
{
    const bool isAfterOutage = fleetState.outageStartMs != fleet_state_summary::unknownAge || fleetState.missingTargets > 0;
    out.pack_array(contactElements + (isAfterOutage ? outageElements : 0) + 1);
    out.pack(fleetState.config.version).pack(fleetState.config.revision).pack(fleetState.configBytes);
    out.pack(fleetState.targets.revision).pack(fleetState.targetsDigest);
    // Nodes of earlier releases would use the registry's list as it is; without an age they read it themselves and keep missing targets.
    out.pack(isAfterOutage ? fleet_state_summary::unknownAge : fleetState.targetsAgeMs);
    out.pack(fleetState.configAgeMs).pack(fleetState.contactStartMs);
    for (const confirmation_id &id : {fleetState.targetsConfirmation, fleetState.configConfirmation}) {
        out.pack(id.reader).pack(id.number);
    }
    if (isAfterOutage) {
        out.pack(fleetState.outageStartMs).pack(fleetState.missingTargets).pack(fleetState.targetsAgeMs);
    }
    const bool isAfterReturn = fleetState.returnMs != fleet_state_summary::unknownAge;
    out.pack_array(eraElements + (isAfterReturn ? returnElements : 0));
    out.pack(fleetState.config.era).pack(fleetState.configDigest).pack(fleetState.targets.era);
    if (isAfterReturn) {
        out.pack(fleetState.returnMs).pack(fleetState.departedTargets);
    }
}

fleet_state_summary unpackFleetState(const msgpack::object &object)
{
    array_reader in(object);
    fleet_state_summary fleetState;
    fleetState.config.version = in.as<std::uint64_t>();
    fleetState.config.revision = in.as<std::uint64_t>();
    fleetState.configBytes = in.as<std::uint32_t>();
    fleetState.targets.revision = in.as<std::uint64_t>();
    fleetState.targetsDigest = in.as<std::uint64_t>();
    fleetState.targetsAgeMs = in.as<std::uint32_t>();
    fleetState.configAgeMs = in.as<std::uint32_t>();
    if (in.size() >= contactElements) {
        fleetState.contactStartMs = in.as<std::uint32_t>();
        for (confirmation_id *id : {&fleetState.targetsConfirmation, &fleetState.configConfirmation}) {
            id->reader = in.as<std::uint16_t>();
            id->number = in.as<std::uint16_t>();
        }
    }
    if (in.size() >= contactElements + outageElements) {
        fleetState.outageStartMs = in.as<std::uint32_t>();
        fleetState.missingTargets = in.as<std::uint32_t>();
        fleetState.targetsAgeMs = in.as<std::uint32_t>();
    }
    if (in.size() == contactElements + 1 || in.size() > contactElements + outageElements) {
        array_reader eras(in.next());
        fleetState.config.era = eras.as<std::uint64_t>();
        fleetState.configDigest = eras.as<std::uint64_t>();
        fleetState.targets.era = eras.as<std::uint64_t>();
        if (eras.size() >= eraElements + returnElements) {
            fleetState.returnMs = eras.as<std::uint32_t>();
            fleetState.departedTargets = eras.as<std::uint32_t>();
        }
    }
    return fleetState;
}

void pack(packer &out, const target_report &target)
{
    out.pack_array(9);
    out.pack(target.key)
        .pack(target.inFlight)
        .pack(target.counts.successes)
        .pack(target.counts.failures)
        .pack(target.counts.overdueOrResetRequests);
    out.pack(target.counts.impairments).pack(target.counts.requestsSent).pack(target.counts.replacements).pack(target.isLeaving);
}

target_report unpackReportedTarget(const msgpack::object &object)
{
    array_reader in(object);
    target_report target;
    target.key = in.as<std::uint64_t>();
    target.inFlight = in.as<std::uint16_t>();
    target.counts.successes = in.as<std::uint32_t>();
    target.counts.failures = in.as<std::uint32_t>();
    target.counts.overdueOrResetRequests = in.as<std::uint32_t>();
    target.counts.impairments = in.as<std::uint32_t>();
    target.counts.requestsSent = in.as<std::uint32_t>();
    target.counts.replacements = in.as<std::uint32_t>();
    target.isLeaving = in.as<bool>();
    return target;
}

void pack(packer &out, const mesh_service &row)
{
    out.pack_array(5);
    out.pack(row.service)
        .pack(row.retryCounts.requests)
        .pack(row.retryCounts.retries)
        .pack(row.outcomes.served)
        .pack(row.outcomes.unserved);
}

mesh_service unpackService(const msgpack::object &object)
{
    array_reader in(object);
    mesh_service row;
    row.service = in.as<std::string>();
    row.retryCounts.requests = in.as<std::uint32_t>();
    row.retryCounts.retries = in.as<std::uint32_t>();
    row.outcomes.served = in.as<std::uint32_t>();
    row.outcomes.unserved = in.as<std::uint32_t>();
    return row;
}

void pack(packer &out, const target_entry &target)
{
    out.pack_array(9);
    out.pack(target.id).pack(target.service).pack(target.address.host).pack(target.address.port).pack(target.dataCentre);
    out.pack(target.slots).pack(target.isDraining).pack(target.startedAtMs).pack(static_cast<std::int64_t>(target.remainingWarmUp.count()));
}

target_entry unpackTarget(const msgpack::object &object)
{
    array_reader in(object);
    target_entry target;
    target.id = in.as<std::string>();
    target.service = in.as<std::string>();
    target.address.host = in.as<std::string>();
    target.address.port = in.as<std::uint16_t>();
    target.dataCentre = in.as<std::string>();
    target.slots = in.as<int>();
    target.isDraining = in.as<bool>();
    target.startedAtMs = in.as<std::int64_t>();
    target.remainingWarmUp = milliseconds(in.as<std::int64_t>());
    return target;
}

void pack(packer &out, const target_departure &departure)
{
    out.pack_array(2);
    out.pack(departure.id).pack(departure.startedAtMs);
}

target_departure unpackDeparture(const msgpack::object &object)
{
    array_reader in(object);
    target_departure departure;
    departure.id = in.as<std::string>();
    departure.startedAtMs = in.as<std::int64_t>();
    return departure;
}

template<typename Rows> void packRows(packer &out, const Rows &rows)
{
    out.pack_array(static_cast<std::uint32_t>(rows.size()));
    for (const auto &row : rows) {
        pack(out, row);
    }
}

template<typename Row> std::vector<Row> unpackRows(const msgpack::object &object, Row (*unpack)(const msgpack::object &))
{
    array_reader in(object);
    std::vector<Row> rows;
    for (std::uint32_t i = 0; i < in.size(); ++i) {
        rows.push_back(unpack(in.next()));
    }
    return rows;
}

/// Runs a decoder on the bytes and converts its exceptions to errors.
template<typename Decoder> auto decodeWith(std::string_view bytes, Decoder decoder) -> result<decltype(decoder(msgpack::object()))>
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        return decoder(handle.get());
    } catch (const std::exception &failure) { // msgpack reports malformed input by exceptions
        return error{"decode peer message", std::to_string(bytes.size()) + " bytes, not in the format of this release", failure.what()};
    }
}

} // namespace

std::string encode(const mesh_message &message)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(messageElements + (message.renewsReport ? 1 : 0));
    out.pack(messageFormat);
    pack(out, message.sender);
    out.pack(message.isLeaving).pack(message.wantsReply);
    pack(out, message.fleetState);
    packRows(out, message.members);
    out.pack(message.isPartialReport);
    packRows(out, message.targets);
    packRows(out, message.services);
    out.pack(message.healthEstimates);
    if (message.renewsReport) {
        out.pack(message.renewsReport);
    }
    return {buffer.data(), buffer.size()};
}

result<mesh_message> decodeMeshMessage(std::string_view bytes)
{
    return decodeWith(bytes, [](const msgpack::object &object) {
        array_reader in(object);
        if (in.as<int>() != messageFormat) {
            throw msgpack::type_error();
        }
        mesh_message message;
        message.sender = unpackMember(in.next());
        message.isLeaving = in.as<bool>();
        message.wantsReply = in.as<bool>();
        message.fleetState = unpackFleetState(in.next());
        message.members = unpackRows(in.next(), unpackMember);
        message.isPartialReport = in.as<bool>();
        message.targets = unpackRows(in.next(), unpackReportedTarget);
        message.services = unpackRows(in.next(), unpackService);
        message.healthEstimates = in.as<std::string>();
        message.renewsReport = in.size() > messageElements && in.as<bool>();
        return message;
    });
}

std::string encode(const fetched_targets &targets)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    const bool hasMissing = targets.document.missing && targets.fleetState;
    out.pack_array(hasMissing ? departureElements : documentElements);
    out.pack(targets.document.registered.revision);
    packRows(out, targets.document.registered.targets);
    if (hasMissing) {
        packRows(out, *targets.document.missing);
        pack(out, *targets.fleetState);
        packRows(out, targets.document.departures);
    }
    return {buffer.data(), buffer.size()};
}

result<fetched_targets> decodeFetchedTargets(std::string_view bytes)
{
    return decodeWith(bytes, [](const msgpack::object &object) {
        array_reader in(object);
        fetched_targets targets;
        targets.document.registered.revision = in.as<std::uint64_t>();
        targets.document.registered.targets = unpackRows(in.next(), unpackTarget);
        if (in.size() >= missingElements) {
            targets.document.missing = unpackRows(in.next(), unpackTarget);
            targets.fleetState = unpackFleetState(in.next());
            targets.document.registered.era = targets.fleetState->targets.era;
        }
        if (in.size() >= departureElements) {
            targets.document.departures = unpackRows(in.next(), unpackDeparture);
        }
        return targets;
    });
}

} // namespace flamingofield
