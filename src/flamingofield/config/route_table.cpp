#include "config/route_table.hpp"

namespace flamingofield {

namespace {

/// Removes and returns the first segment of a path.
std::string_view takeSegment(std::string_view &path)
{
    if (!path.empty() && path.front() == '/') {
        path.remove_prefix(1);
    }
    const auto end = std::min(path.find('/'), path.size());
    const auto segment = path.substr(0, end);
    path.remove_prefix(end);
    return segment;
}

} // namespace

route_table::route_table(const std::vector<route_spec> &routes)
{
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const auto [root, added] = m_roots.emplace(routes[i].method, static_cast<int>(m_vertices.size()));
        if (added) {
            m_vertices.emplace_back();
        }
        int current = root->second;
        std::string_view rest = routes[i].path;
        bool hasWildcard = false;
        while (!rest.empty() && !hasWildcard) {
            const std::string segment(takeSegment(rest));
            hasWildcard = segment == "**";
            current = hasWildcard ? current : childOf(current, segment);
        }
        (hasWildcard ? m_vertices[current].wildcardRoute : m_vertices[current].route) = static_cast<int>(i);
    }
}

int route_table::childOf(int parent, const std::string &segment)
{
    const bool isParameter = segment.size() > 1 && segment.front() == '{' && segment.back() == '}';
    const int newIndex = static_cast<int>(m_vertices.size());
    if (isParameter && m_vertices[parent].parameter >= 0) {
        return m_vertices[parent].parameter;
    }
    if (isParameter) {
        m_vertices[parent].parameter = newIndex;
        m_vertices.emplace_back();
        return newIndex;
    }
    const auto [found, added] = m_vertices[parent].literals.emplace(segment, newIndex);
    const int child = found->second;
    if (added) {
        m_vertices.emplace_back();
    }
    return child;
}

int route_table::match(std::string_view method, std::string_view path) const
{
    const auto root = m_roots.find(std::string(method));
    return root == m_roots.end() ? -1 : descend(root->second, path);
}

int route_table::descend(int vertexIndex, std::string_view rest) const // NOLINT(misc-no-recursion)
{
    const vertex &current = m_vertices[vertexIndex];
    if (rest.empty()) {
        return current.route >= 0 ? current.route : current.wildcardRoute;
    }
    std::string_view remaining = rest;
    const std::string segment(takeSegment(remaining));
    const auto literal = current.literals.find(segment);
    int found = literal != current.literals.end() ? descend(literal->second, remaining) : -1;
    if (found < 0 && current.parameter >= 0 && !segment.empty()) {
        found = descend(current.parameter, remaining);
    }
    return found >= 0 ? found : current.wildcardRoute;
}

} // namespace flamingofield
