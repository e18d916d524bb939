/// Results of operations that may fail: a value or an error.
#ifndef APRICOTLB_RESULT_HPP
#define APRICOTLB_RESULT_HPP

#include <apricotlb/error.hpp>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace apricotlb
{

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

template <class T>
using result = outcome::basic_result<T, error, outcome::policy::terminate>;

/// A failure, to be returned from a function with a result.
[[nodiscard]] inline auto fail(error_kind kind, std::string detail)
    -> outcome::failure_type<error>
{
    return outcome::failure(error{kind, std::move(detail)});
}

} // namespace apricotlb

#endif
