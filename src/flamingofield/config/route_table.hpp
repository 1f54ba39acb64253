#pragma once

#include "config/operator_config.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flamingofield {

/// Prefix tree over the segments of all routes' paths.
class route_table
{
public:
    route_table() = default;
    explicit route_table(const std::vector<route_spec> &routes);

    /// Finds the route of a request. A literal segment has precedence over a "{name}" segment, and that over "**".
    /// @return index into the routes, or -1
    int match(std::string_view method, std::string_view path) const;

private:
    struct vertex
    {
        std::unordered_map<std::string, int> literals; ///< Children by segment.
        int parameter = -1; ///< Child for a "{name}" segment.
        int wildcardRoute = -1; ///< Of a final "**".
        int route = -1; ///< Of a path that ends here.
    };

    int descend(int vertexIndex, std::string_view rest) const;
    int childOf(int parent, const std::string &segment);

    std::unordered_map<std::string, int> m_roots; ///< By method.
    std::vector<vertex> m_vertices;
};

} // namespace flamingofield
