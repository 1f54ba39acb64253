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
        int at = root->second;
        std::string_view rest = routes[i].path;
        bool open = false;
        while (!rest.empty() && !open) {
            const std::string segment(takeSegment(rest));
            open = segment == "**";
            at = open ? at : childOf(at, segment);
        }
        (open ? m_vertices[at].rest : m_vertices[at].route) = static_cast<int>(i);
    }
}

int route_table::childOf(int parent, const std::string &segment)
{
    const bool isAny = segment.size() > 1 && segment.front() == '{' && segment.back() == '}';
    const int fresh = static_cast<int>(m_vertices.size());
    if (isAny && m_vertices[parent].any >= 0) {
        return m_vertices[parent].any;
    }
    if (isAny) {
        m_vertices[parent].any = fresh;
        m_vertices.emplace_back();
        return fresh;
    }
    const auto [found, added] = m_vertices[parent].literals.emplace(segment, fresh);
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
    const vertex &at = m_vertices[vertexIndex];
    if (rest.empty()) {
        return at.route >= 0 ? at.route : at.rest;
    }
    std::string_view after = rest;
    const std::string segment(takeSegment(after));
    const auto literal = at.literals.find(segment);
    int found = literal != at.literals.end() ? descend(literal->second, after) : -1;
    if (found < 0 && at.any >= 0 && !segment.empty()) {
        found = descend(at.any, after);
    }
    return found >= 0 ? found : at.rest;
}

} // namespace flamingofield
