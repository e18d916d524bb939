/// HTTP answers that report an error as application/problem+json.
#ifndef APRICOTLB_APP_PROBLEM_HPP
#define APRICOTLB_APP_PROBLEM_HPP

#include "core/entry/admission.hpp"
#include "core/entry/http.hpp"

#include <apricotlb/error.hpp>

namespace apricotlb
{

/// The answer for an error, with the status of its kind (see answer_of()).
[[nodiscard]] auto answer_for(error const& it) -> http_answer;

/// The answer for a refusal, with a Retry-After header if the refusal gives a
/// delay.
[[nodiscard]] auto answer_for(refusal const& it) -> http_answer;

} // namespace apricotlb

#endif
