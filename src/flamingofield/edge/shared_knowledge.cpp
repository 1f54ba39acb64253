#include "edge/shared_knowledge.hpp"

#include "report/log.hpp"

#include <algorithm>
#include <charconv>

namespace flamingofield {

namespace {

constexpr milliseconds watchTime{800};

/// Documents above this many bytes are read from the store by every node.
constexpr std::uint32_t largeDocument = 48U << 10U;

constexpr auto configPath = "/mesh/config";
constexpr auto targetsPath = "/mesh/targets";
constexpr auto revisionField = "Document-Revision";

} // namespace

std::uint32_t confirmation::toldAge(instant now) const
{
    return m_at ? static_cast<std::uint32_t>(std::max<long long>(0, toMilliseconds(now - *m_at))) : mesh_knowledge::noAge;
}

shared_knowledge::shared_knowledge(store_calls store, peer_fetch fetch, config_handler onConfig, targets_handler onTargets,
                                   milliseconds heartbeat, instant startedAt, instant firstReadAt)
    : m_store(std::move(store))
    , m_fetch(std::move(fetch))
    , m_onConfig(std::move(onConfig))
    , m_onTargets(std::move(onTargets))
    , m_firstReadAt(firstReadAt)
    , m_configConfirmation(startedAt)
    , m_configReads(configReadPace)
    , m_targetsConfirmation(startedAt)
    , m_targetReads(targetReadPace)
    , m_guard(heartbeat)
{
}

duration shared_knowledge::targetsAge(instant now) const
{
    return m_targetsConfirmation.age(now);
}

duration shared_knowledge::configAge(instant now) const
{
    return m_configConfirmation.age(now);
}

void shared_knowledge::tick(std::size_t rank, instant now)
{
    if (now < m_firstReadAt) {
        return;
    }
    // Without any knowledge a node does not wait for its turn.
    m_targetReads.setRank(rank);
    m_configReads.setRank(rank);
    const std::size_t targetsRank = m_hasTargets ? rank : 0;
    const std::size_t configRank = m_config != nullptr ? rank : 0;
    if (m_targetReads.isDue(targetsRank, targetsAge(now), now)) {
        readTargets(now);
    }
    if (m_configReads.isDue(configRank, configAge(now), now)) {
        if (m_watchAfter == 0 || rank != 0) {
            readConfig(now);
        } else {
            watchConfig(now);
        }
    }
}

void shared_knowledge::storeAnswered(std::string_view call)
{
    if (m_isStoreLost) {
        m_isStoreLost = false;
        logEvent(log_level::info, "store_regained", {{"call", std::string(call)}});
    }
}

void shared_knowledge::storeFailed(std::string_view call, const error &problem)
{
    if (!m_isStoreLost) {
        m_isStoreLost = true;
        logEvent(log_level::warn, "store_lost", {{"call", std::string(call)}, {"error", describe(problem)}});
    }
}

void shared_knowledge::readTargets(instant now)
{
    m_targetReads.started(now);
    m_store.readTargets([this, asked = now](result<target_snapshot> read) {
        const instant ended = std::chrono::steady_clock::now();
        if (!read) {
            m_targetReads.failed(ended);
            storeFailed("read targets", read.error());
            return;
        }
        m_targetReads.succeeded();
        storeAnswered("read targets");
        if (read.value().revision >= m_targets.revision) {
            takeTargets(m_guard.complete(m_targets, std::move(read.value()), ended), "store", asked, ended);
        }
    });
}

void shared_knowledge::takeTargets(target_snapshot snapshot, std::string_view source, instant confirmedAt, instant now)
{
    const std::uint64_t digest = digestOf(snapshot);
    const bool isChanged = !m_hasTargets || digest != m_digest;
    m_targets = std::move(snapshot);
    m_digest = digest;
    m_hasTargets = true;
    m_targetsConfirmation.confirmedAt(confirmedAt);
    if (isChanged) {
        logEvent(log_level::info, "targets_taken_up",
                 {{"source", std::string(source)},
                  {"revision", std::to_string(m_targets.revision)},
                  {"targets", std::to_string(m_targets.targets.size())},
                  {"age_ms", std::to_string(toMilliseconds(now - confirmedAt))}});
        m_onTargets(m_targets);
    }
}

void shared_knowledge::readConfig(instant now)
{
    m_configReads.started(now);
    m_store.readConfig([this, asked = now](result<std::pair<store_document, std::uint64_t>> read) {
        const instant ended = std::chrono::steady_clock::now();
        if (!read) {
            m_configReads.failed(ended);
            storeFailed("read configuration", read.error());
            return;
        }
        m_configReads.succeeded();
        storeAnswered("read configuration");
        m_watchAfter = read.value().second;
        m_configConfirmation.confirmedAt(asked);
        takeConfig(read.value().first, "store");
    });
}

void shared_knowledge::watchConfig(instant now)
{
    m_configReads.started(now);
    m_store.watchConfig(m_watchAfter, watchTime, [this](result<store_watch_end> end) {
        const instant ended = std::chrono::steady_clock::now();
        if (!end) {
            m_configReads.failed(ended);
            // A cut watch may have missed changes, so the next call reads the whole document.
            m_watchAfter = 0;
            storeFailed("watch configuration", end.error());
            return;
        }
        m_configReads.succeeded();
        storeAnswered("watch configuration");
        if (end.value().isHistoryLost) {
            m_watchAfter = 0;
            return;
        }
        m_configConfirmation.confirmedAt(ended);
        // A watch may miss a change and still name a later revision, so the next one begins at what this node holds.
        if (end.value().change) {
            m_watchAfter = std::max(m_watchAfter, end.value().change->revision);
            takeConfig(*end.value().change, "store");
        }
    });
}

void shared_knowledge::takeConfig(const store_document &document, std::string_view source)
{
    if (m_config != nullptr && document.revision <= m_document.revision) {
        return;
    }
    auto decoded = m_store.decodeConfig(document);
    if (!decoded) {
        logEvent(log_level::error, "config_rejected",
                 {{"source", std::string(source)}, {"revision", std::to_string(document.revision)}, {"error", describe(decoded.error())}});
        return;
    }
    const config_stamp before = m_config == nullptr ? config_stamp() : m_config->config.stamp;
    if (m_config != nullptr && !(before < decoded.value().stamp)) {
        return;
    }
    auto active = std::make_shared<active_config>();
    active->config = std::move(decoded.value());
    active->router = host_router(active->config.routes);
    m_document = document;
    m_config = active;
    logEvent(log_level::info, "config_taken_up",
             {{"source", std::string(source)},
              {"version", std::to_string(active->config.stamp.version)},
              {"before", std::to_string(before.version)},
              {"revision", std::to_string(document.revision)},
              {"routes", std::to_string(active->config.routes.size())}});
    m_onConfig(m_config);
}

void shared_knowledge::heard(node_address peer, const mesh_knowledge &theirs, instant now)
{
    heardConfig(peer, theirs, now);
    heardTargets(peer, theirs, now);
}

void shared_knowledge::heardConfig(node_address peer, const mesh_knowledge &theirs, instant now)
{
    const config_stamp own = m_config == nullptr ? config_stamp() : m_config->config.stamp;
    if (theirs.config == own && m_config != nullptr && theirs.configAgeMs != mesh_knowledge::noAge) {
        m_configConfirmation.confirmedAt(now - milliseconds(theirs.configAgeMs));
    }
    if (!(own < theirs.config)) {
        return;
    }
    // Many nodes that fetch a large document from one small node would fill its link for seconds; the store's is wide.
    if (theirs.configBytes > largeDocument && !m_isStoreLost) {
        if (m_configReads.isIdle(now)) {
            readConfig(now);
        }
    } else if (!m_isFetchingConfig) {
        fetchConfig(peer);
    }
}

void shared_knowledge::fetchConfig(node_address peer)
{
    m_isFetchingConfig = true;
    m_fetch(peer, configPath, [this](result<http_exchange_answer> answer) {
        m_isFetchingConfig = false;
        if (!answer || answer.value().status != 200) {
            return; // The next message of a peer starts another fetch.
        }
        store_document document;
        const auto text = answer.value().fields.value(revisionField);
        std::from_chars(text.data(), text.data() + text.size(), document.revision);
        document.bytes = answer.value().body;
        takeConfig(document, "peer");
    });
}

void shared_knowledge::heardTargets(node_address peer, const mesh_knowledge &theirs, instant now)
{
    if (theirs.targetsAgeMs == mesh_knowledge::noAge || theirs.targetsRevision < m_targets.revision) {
        return;
    }
    const instant confirmedAt = now - milliseconds(theirs.targetsAgeMs);
    if (m_hasTargets && theirs.targetsDigest == m_digest) {
        m_targets.revision = theirs.targetsRevision;
        m_targetsConfirmation.confirmedAt(confirmedAt);
        m_guard.snapshotAdopted(now);
    } else if (!m_isFetchingTargets && (theirs.targetsRevision > m_targets.revision || !m_hasTargets)) {
        fetchTargets(peer, confirmedAt);
    }
}

void shared_knowledge::fetchTargets(node_address peer, instant confirmedAt)
{
    m_isFetchingTargets = true;
    m_fetch(peer, targetsPath, [this, confirmedAt](result<http_exchange_answer> answer) {
        m_isFetchingTargets = false;
        if (!answer || answer.value().status != 200) {
            return; // The next message of a peer starts another fetch.
        }
        const instant ended = std::chrono::steady_clock::now();
        auto decoded = decodeTargetSnapshot(answer.value().body);
        if (!decoded) {
            logEvent(log_level::error, "targets_rejected", {{"source", "peer"}, {"error", describe(decoded.error())}});
        } else if (decoded.value().revision > m_targets.revision || !m_hasTargets) {
            m_guard.snapshotAdopted(ended);
            takeTargets(std::move(decoded.value()), "peer", confirmedAt, ended);
        }
    });
}

mesh_knowledge shared_knowledge::tell(instant now) const
{
    mesh_knowledge knowledge;
    knowledge.config = m_config == nullptr ? config_stamp() : m_config->config.stamp;
    knowledge.configBytes = static_cast<std::uint32_t>(m_document.bytes.size());
    knowledge.targetsRevision = m_targets.revision;
    knowledge.targetsDigest = m_digest;
    knowledge.targetsAgeMs = m_targetsConfirmation.toldAge(now);
    knowledge.configAgeMs = m_configConfirmation.toldAge(now);
    return knowledge;
}

http_exchange_answer shared_knowledge::serve(const std::string &path) const
{
    http_exchange_answer answer;
    answer.status = 404;
    if (path == configPath && m_config != nullptr) {
        answer.status = 200;
        answer.fields.add(revisionField, std::to_string(m_document.revision));
        answer.body = m_document.bytes;
    } else if (path == targetsPath && m_hasTargets) {
        answer.status = 200;
        answer.body = encode(m_targets);
    }
    return answer;
}

} // namespace flamingofield
