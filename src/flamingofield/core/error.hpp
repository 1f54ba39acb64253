#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace flamingofield {

/// A failure with the step and the peer at which it arose.
struct error
{
    std::string step; ///< What was being done, such as "connect" or "decode".
    std::string peer; ///< Address, file or setting concerned.
    std::string reason; ///< What went wrong, in words for an operator.
};

/// Value or error; reading the wrong alternative is undefined, so test it first.
template<typename T> using result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, error>;

/// One line of text: "step peer: reason".
inline std::string describe(const error &e)
{
    return e.step + " " + e.peer + ": " + e.reason;
}

} // namespace flamingofield
