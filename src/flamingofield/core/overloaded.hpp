#pragma once

namespace flamingofield {

/// Visitor made of lambdas, one for each alternative of a variant.
template<typename... Visitors> struct overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<typename... Visitors> overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace flamingofield
