#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace flamingofield {

/// A failure with the step and the peer concerned.
struct error
{
    std::string step; ///< Operation that failed, such as "connect" or "decode".
    std::string peer; ///< Address, file or setting concerned.
    std::string reason; ///< What went wrong, in words for an operator.
};

/// Value or error; accessing the wrong one is undefined behaviour, so test it first.
template<typename T> using result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, error>;

/// One line of text: "step peer: reason".
inline std::string describe(const error &e)
{
    return e.step + " " + e.peer + ": " + e.reason;
}

} // namespace flamingofield
