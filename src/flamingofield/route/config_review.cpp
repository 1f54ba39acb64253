#include "route/config_review.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <utility>

namespace flamingofield {

namespace {

std::string inQuotes(std::string_view name)
{
    return "\"" + std::string(name) + "\"";
}

std::string numberText(double value)
{
    std::array<char, 400> digits{}; // The largest double has 309 digits in fixed notation.
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::fixed).ptr;
    return {digits.data(), end};
}

std::string durationText(milliseconds value)
{
    return std::to_string(value.count()) + " ms";
}

std::string timeLimitText(milliseconds value)
{
    return value == milliseconds::zero() ? "none" : durationText(value);
}

std::string keysText(std::size_t count)
{
    return std::to_string(count) + (count == 1 ? " key" : " keys");
}

std::string rateText(const account_limit &limit)
{
    return limit.isLimited() ? numberText(limit.ratePerSecond) + " requests per second" : "no limit";
}

std::string accountPriorityText(const std::optional<int> &priority)
{
    return priority ? std::to_string(*priority) : "the priority of the route";
}

std::string retryPolicyText(retry_policy policy)
{
    return policy == retry_policy::idempotent ? "may run more than once" : "runs at most once";
}

bool isSingleService(const forward_route &route)
{
    return route.services.size() == 1;
}

std::string servicesText(const forward_route &route)
{
    if (isSingleService(route)) {
        return "service " + inQuotes(route.services.front().service);
    }
    std::string text = "the split";
    for (const weighted_service &part : route.services) {
        text += (&part == &route.services.front() ? " " : ", ") + inQuotes(part.service) + " with weight " + numberText(part.weight);
    }
    return text;
}

bool isSplitEqual(const forward_route &a, const forward_route &b)
{
    return std::equal(a.services.begin(), a.services.end(), b.services.begin(), b.services.end(),
                      [](const weighted_service &x, const weighted_service &y) { return x.service == y.service && x.weight == y.weight; });
}

std::map<std::string_view, const forward_route *> routesByName(const forwarding_config &config)
{
    std::map<std::string_view, const forward_route *> routes;
    for (const forward_route &route : config.routes) {
        routes.emplace(route.name, &route);
    }
    return routes;
}

std::map<std::string_view, const service_traits *> servicesByName(const forwarding_config &config)
{
    std::map<std::string_view, const service_traits *> services;
    for (const auto &[name, traits] : config.services) {
        services.emplace(name, &traits);
    }
    return services;
}

/// An account with its number of keys, and how many of them the other configuration lists for it.
struct account_view
{
    const client_account *account = nullptr;
    std::size_t keys = 0;
    std::size_t sharedKeys = 0;
};

std::map<std::string_view, account_view> accountsByName(const account_directory &accounts, const account_directory &other)
{
    const std::vector<std::size_t> keys = accounts.keysSharedWith(accounts);
    const std::vector<std::size_t> sharedKeys = accounts.keysSharedWith(other);
    std::map<std::string_view, account_view> views;
    for (std::size_t i = 0; i < accounts.accounts().size(); ++i) {
        const client_account &account = accounts.accounts()[i];
        views.emplace(account.name, account_view{&account, keys[i], sharedKeys[i]});
    }
    return views;
}

/// Calls a handler for each name that occurs in any of two tables, with null for a missing entry.
template<typename Value, typename Handler>
void forEachPair(const std::map<std::string_view, Value> &before, const std::map<std::string_view, Value> &after, Handler handler)
{
    for (const auto &[name, value] : before) {
        const auto found = after.find(name);
        handler(name, &value, found == after.end() ? nullptr : &found->second);
    }
    for (const auto &[name, value] : after) {
        if (before.count(name) == 0) {
            handler(name, static_cast<const Value *>(nullptr), &value);
        }
    }
}

/// Collects findings and names fields in them.
class finding_list
{
public:
    explicit finding_list(const config_field_namer &nameOf)
        : m_nameOf(nameOf)
    {
    }

    std::string name(config_field field) const
    {
        return std::string(m_nameOf(field));
    }

    void add(finding_severity severity, std::string place, std::string text)
    {
        m_findings.push_back({severity, std::move(place), std::move(text)});
    }

    /// Adds a change of a field if the texts of its values differ.
    void addChange(const std::string &place, const std::string &before, const std::string &after)
    {
        if (before != after) {
            add(finding_severity::change, place, "changed from " + before + " to " + after);
        }
    }

    std::vector<config_finding> take()
    {
        return std::move(m_findings);
    }

private:
    const config_field_namer &m_nameOf;
    std::vector<config_finding> m_findings;
};

/// Looks for faults within one configuration.
class config_checker
{
public:
    config_checker(const forwarding_config &config, finding_list &findings)
        : m_config(config)
        , m_findings(findings)
    {
    }

    void check()
    {
        std::map<std::pair<std::string, std::string>, const forward_route *> matches;
        for (const forward_route &route : m_config.routes) {
            checkServices(route);
            checkHost(route);
            checkPrefix(route);
            checkAttempts(route);
            if (route.timeout > milliseconds::zero() && route.latencyObjective > route.timeout) {
                warn(placeIn(route, config_field::latencyObjective),
                     "expected at most the " + name(config_field::timeout) + " of " + durationText(route.timeout) + ", found "
                         + durationText(route.latencyObjective) + "; lower it or raise " + name(config_field::timeout));
            }
            const auto [other, isNew] = matches.try_emplace({normalizedHost(route.host), route.prefix}, &route);
            if (!isNew) {
                report(placeOf("route", route.name),
                       "expected one route for host " + inQuotes(other->first.first) + " and prefix " + inQuotes(route.prefix)
                           + ", found also route " + inQuotes(other->second->name)
                           + "; a node uses only the last one, so remove one or change its host or prefix");
            }
        }
        checkUnusedServices();
        checkLimits();
        if (m_config.accounts != nullptr) {
            checkAccounts(*m_config.accounts);
        }
    }

private:
    std::string name(config_field field) const
    {
        return m_findings.name(field);
    }

    std::string placeIn(const forward_route &route, config_field field) const
    {
        return placeOf("route", route.name, name(field));
    }

    void report(std::string place, std::string text)
    {
        m_findings.add(finding_severity::error, std::move(place), std::move(text));
    }

    void warn(std::string place, std::string text)
    {
        m_findings.add(finding_severity::warning, std::move(place), std::move(text));
    }

    void checkServices(const forward_route &route)
    {
        const std::string place = placeIn(route, isSingleService(route) ? config_field::service : config_field::services);
        const bool hasTraffic
            = std::any_of(route.services.begin(), route.services.end(), [](const weighted_service &part) { return part.weight > 0.0; });
        if (!hasTraffic) {
            report(place,
                   "expected at least one service with a weight above 0, found none, so no request could be forwarded; raise a weight");
        }
        for (const weighted_service &part : route.services) {
            if (m_config.services.count(part.service) == 0) {
                report(place,
                       "expected the name of a service of this configuration, found " + inQuotes(part.service)
                           + "; add the service or correct the name");
            }
            if (part.weight < 0.0) {
                report(place,
                       "expected a weight of at least 0 for service " + inQuotes(part.service) + ", found " + numberText(part.weight)
                           + ", which takes traffic from the other services; raise it");
            } else if (hasTraffic && !(part.weight > 0.0)) {
                warn(place,
                     "expected a weight above 0 for service " + inQuotes(part.service)
                         + ", found 0, so it receives no request of this route; raise the weight or remove the service from the split");
            }
        }
    }

    void checkHost(const forward_route &route)
    {
        const std::string normalized = normalizedHost(route.host);
        const auto isSpace = [](char c) { return c == ' ' || (c >= '\t' && c <= '\r'); };
        if (std::any_of(route.host.begin(), route.host.end(), isSpace)) {
            warn(placeIn(route, config_field::host),
                 "expected a host without spaces, found " + inQuotes(route.host) + ", which no request can match; remove the spaces");
        } else if (normalized != route.host) {
            warn(placeIn(route, config_field::host),
                 "expected a host in lower case without a port, found " + inQuotes(route.host) + "; nodes compare it as "
                     + inQuotes(normalized) + " with requests to any port, so write it like this");
        }
    }

    void checkPrefix(const forward_route &route)
    {
        const std::string_view prefix = route.prefix;
        if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
            warn(placeIn(route, config_field::prefix),
                 "expected a prefix that begins and ends with /, found " + inQuotes(prefix)
                     + ", which no request can match; add the missing /");
        }
    }

    void checkAttempts(const forward_route &route)
    {
        if (route.attempts <= 1) {
            return;
        }
        const std::string place = placeIn(route, config_field::attempts);
        if (route.retryPolicy == retry_policy::atMostOnce) {
            warn(place,
                 "expected 1 where a request runs at most once, found " + std::to_string(route.attempts)
                     + "; only requests that certainly did not run are sent again, whatever this number is, so set it to 1 or change "
                     + name(config_field::retryPolicy));
        }
        if (route.timeout == milliseconds::zero()) {
            warn(place,
                 "expected a " + name(config_field::timeout) + " above 0 together with more than one attempt, found no time limit and "
                     + std::to_string(route.attempts) + " attempts; set " + name(config_field::timeout) + " or lower the attempts to 1");
        }
    }

    void checkUnusedServices()
    {
        std::map<std::string_view, const service_traits *> unused = servicesByName(m_config);
        for (const forward_route &route : m_config.routes) {
            for (const weighted_service &part : route.services) {
                unused.erase(part.service);
            }
        }
        for (const auto &entry : unused) {
            warn(placeOf("service", entry.first),
                 "expected a route that names this service, found none, so it receives no request; add a route or remove the service");
        }
    }

    void checkLimits()
    {
        const client_limits &limits = m_config.limits;
        if (limits.headerTimeout > limits.idleTimeout) {
            warn("limits, " + name(config_field::headerTimeout),
                 "expected at most the " + name(config_field::idleTimeout) + " of " + durationText(limits.idleTimeout) + ", found "
                     + durationText(limits.headerTimeout) + "; lower it or raise " + name(config_field::idleTimeout));
        }
        if (limits.headerBytes == 0 || limits.headerBytes > limits.bodyBytes) {
            warn("limits, " + name(config_field::headerBytes),
                 "expected a number from 1 to the " + name(config_field::bodyBytes) + " of " + std::to_string(limits.bodyBytes) + ", found "
                     + std::to_string(limits.headerBytes)
                     + (limits.headerBytes == 0 ? "; raise it" : "; lower it or raise " + name(config_field::bodyBytes)));
        }
    }

    void checkAccounts(const account_directory &accounts)
    {
        if (accounts.accounts().empty()) {
            warn(name(config_field::accounts),
                 "expected at least one account, found none, so requests are refused on all routes that are not public; add an account or "
                 "remove the empty table");
        }
        for (const auto &[accountName, view] : accountsByName(accounts, accounts)) {
            const account_limit &limit = view.account->limit;
            if (view.keys == 0) {
                warn(placeOf("account", accountName, name(config_field::keys)),
                     "expected at least one key, found none, so no request can use the account; add a key or remove the account");
            }
            if (limit.burst > 0.0 && !limit.isLimited()) {
                warn(placeOf("account", accountName, name(config_field::burst)),
                     "expected a burst only together with a rate, found " + numberText(limit.burst)
                         + " without a rate, which limits nothing; set " + name(config_field::rate) + " or remove the burst");
            }
            if (limit.isLimited() && limit.burst < 1.0) {
                warn(placeOf("account", accountName, name(config_field::burst)),
                     "expected at least 1 together with a rate, found " + numberText(limit.burst)
                         + ", so that no request could pass at once beyond the tolerance of the quota; raise it to at least 1");
            }
        }
    }

    const forwarding_config &m_config;
    finding_list &m_findings;
};

/// Describes the differences between two configurations.
class config_comparison
{
public:
    config_comparison(const forwarding_config &before, const forwarding_config &after, finding_list &findings)
        : m_before(before)
        , m_after(after)
        , m_findings(findings)
    {
    }

    void compare()
    {
        if (m_after.stamp.version <= m_before.stamp.version) {
            m_findings.add(finding_severity::error, name(config_field::version),
                           "expected a version above " + std::to_string(m_before.stamp.version) + ", the one in force, found "
                               + std::to_string(m_after.stamp.version) + "; raise it");
        }
        forEachPair(routesByName(m_before), routesByName(m_after), [this](std::string_view, const auto *before, const auto *after) {
            compareRoute(before == nullptr ? nullptr : *before, after == nullptr ? nullptr : *after);
        });
        forEachPair(servicesByName(m_before), servicesByName(m_after),
                    [this](std::string_view service, const auto *before, const auto *after) {
                        compareService(service, before == nullptr ? nullptr : *before, after == nullptr ? nullptr : *after);
                    });
        compareLimits();
        compareAccounts();
    }

private:
    std::string name(config_field field) const
    {
        return m_findings.name(field);
    }

    void addChange(std::string place, std::string text)
    {
        m_findings.add(finding_severity::change, std::move(place), std::move(text));
    }

    static std::string matchText(const forward_route &route)
    {
        return "host " + inQuotes(route.host) + " and prefix " + inQuotes(route.prefix) + " to " + servicesText(route);
    }

    void compareRoute(const forward_route *before, const forward_route *after)
    {
        if (before == nullptr) {
            addChange(placeOf("route", after->name), "added; forwards " + matchText(*after));
            return;
        }
        if (after == nullptr) {
            addChange(placeOf("route", before->name), "removed; it forwarded " + matchText(*before));
            return;
        }
        const auto place = [&](config_field field) { return placeOf("route", after->name, name(field)); };
        m_findings.addChange(place(config_field::host), inQuotes(before->host), inQuotes(after->host));
        m_findings.addChange(place(config_field::prefix), inQuotes(before->prefix), inQuotes(after->prefix));
        compareServicesOf(*before, *after);
        m_findings.addChange(place(config_field::retryPolicy), retryPolicyText(before->retryPolicy), retryPolicyText(after->retryPolicy));
        m_findings.addChange(place(config_field::timeout), timeLimitText(before->timeout), timeLimitText(after->timeout));
        m_findings.addChange(place(config_field::latencyObjective), timeLimitText(before->latencyObjective),
                             timeLimitText(after->latencyObjective));
        m_findings.addChange(place(config_field::attempts), std::to_string(before->attempts), std::to_string(after->attempts));
        m_findings.addChange(place(config_field::priority), std::to_string(before->priority), std::to_string(after->priority));
        const auto publicText = [](bool isPublic) { return isPublic ? "public" : "not public"; };
        m_findings.addChange(place(config_field::isPublic), publicText(before->isPublic), publicText(after->isPublic));
    }

    void compareServicesOf(const forward_route &before, const forward_route &after)
    {
        if (isSingleService(before) && isSingleService(after)) {
            if (before.services.front().service != after.services.front().service) {
                addChange(placeOf("route", after.name, name(config_field::service)),
                          "moved from " + servicesText(before) + " to " + servicesText(after));
            }
        } else if (!isSplitEqual(before, after)) {
            addChange(placeOf("route", after.name, name(config_field::services)),
                      "changed from " + servicesText(before) + " to " + servicesText(after));
        }
    }

    void compareService(std::string_view service, const service_traits *before, const service_traits *after)
    {
        if (before == nullptr || after == nullptr) {
            addChange(placeOf("service", service), before == nullptr ? "added" : "removed");
            return;
        }
        m_findings.addChange(placeOf("service", service, name(config_field::healthPath)), inQuotes(before->healthPath),
                             inQuotes(after->healthPath));
        m_findings.addChange(placeOf("service", service, name(config_field::connectionLimit)), std::to_string(before->connectionLimit),
                             std::to_string(after->connectionLimit));
    }

    void compareLimits()
    {
        const client_limits &before = m_before.limits;
        const client_limits &after = m_after.limits;
        const auto place = [&](config_field field) { return "limits, " + name(field); };
        m_findings.addChange(place(config_field::headerBytes), std::to_string(before.headerBytes), std::to_string(after.headerBytes));
        m_findings.addChange(place(config_field::bodyBytes), std::to_string(before.bodyBytes), std::to_string(after.bodyBytes));
        m_findings.addChange(place(config_field::headerTimeout), durationText(before.headerTimeout), durationText(after.headerTimeout));
        m_findings.addChange(place(config_field::idleTimeout), durationText(before.idleTimeout), durationText(after.idleTimeout));
    }

    void compareAccounts()
    {
        if ((m_before.accounts == nullptr) != (m_after.accounts == nullptr)) {
            addChange(name(config_field::accounts),
                      m_after.accounts == nullptr
                          ? "removed; requests need no key from this version on"
                          : "added; requests need the key of an account from this version on, except on public routes");
        }
        const account_directory none;
        const account_directory &before = m_before.accounts == nullptr ? none : *m_before.accounts;
        const account_directory &after = m_after.accounts == nullptr ? none : *m_after.accounts;
        forEachPair(accountsByName(before, after), accountsByName(after, before),
                    [this](std::string_view, const account_view *old, const account_view *current) { compareAccount(old, current); });
    }

    void compareAccount(const account_view *before, const account_view *after)
    {
        const client_account &shown = after == nullptr ? *before->account : *after->account;
        if (before == nullptr) {
            addChange(placeOf("account", shown.name), "added with " + keysText(after->keys) + " and " + rateText(shown.limit));
            return;
        }
        if (after == nullptr) {
            addChange(placeOf("account", shown.name), "removed with its " + keysText(before->keys));
            return;
        }
        const client_account &old = *before->account;
        const auto place = [&](config_field field) { return placeOf("account", shown.name, name(field)); };
        m_findings.addChange(place(config_field::rate), rateText(old.limit), rateText(shown.limit));
        m_findings.addChange(place(config_field::burst), numberText(old.limit.burst), numberText(shown.limit.burst));
        m_findings.addChange(place(config_field::priority), accountPriorityText(old.priority), accountPriorityText(shown.priority));
        const std::size_t added = after->keys - after->sharedKeys;
        const std::size_t removed = before->keys - before->sharedKeys;
        if (added + removed > 0) {
            addChange(place(config_field::keys), keysText(added) + " added, " + std::to_string(removed) + " removed");
        }
    }

    const forwarding_config &m_before;
    const forwarding_config &m_after;
    finding_list &m_findings;
};

} // namespace

std::string_view modelFieldName(config_field field)
{
    switch (field) {
    case config_field::version:
        return "version";
    case config_field::host:
        return "host";
    case config_field::prefix:
        return "prefix";
    case config_field::retryPolicy:
        return "retryPolicy";
    case config_field::timeout:
        return "timeout";
    case config_field::latencyObjective:
        return "latencyObjective";
    case config_field::attempts:
        return "attempts";
    case config_field::priority:
        return "priority";
    case config_field::isPublic:
        return "isPublic";
    case config_field::service:
        return "service";
    case config_field::services:
        return "services";
    case config_field::healthPath:
        return "healthPath";
    case config_field::connectionLimit:
        return "connectionLimit";
    case config_field::headerBytes:
        return "headerBytes";
    case config_field::bodyBytes:
        return "bodyBytes";
    case config_field::headerTimeout:
        return "headerTimeout";
    case config_field::idleTimeout:
        return "idleTimeout";
    case config_field::accounts:
        return "accounts";
    case config_field::keys:
        return "keys";
    case config_field::rate:
        return "ratePerSecond";
    case config_field::burst:
        return "burst";
    }
    return "";
}

std::string placeOf(std::string_view kind, std::string_view name, std::string_view field)
{
    return std::string(kind) + " " + inQuotes(name) + (field.empty() ? "" : ", " + std::string(field));
}

std::vector<config_finding> reviewConfig(const forwarding_config &config, const forwarding_config *inForce,
                                         const config_field_namer &nameOf)
{
    finding_list findings(nameOf);
    config_checker(config, findings).check();
    if (inForce != nullptr) {
        config_comparison(*inForce, config, findings).compare();
    }
    return findings.take();
}

} // namespace flamingofield
