/// Answers that report a failure.
#ifndef APRICOTLB_APP_PROBLEM_HPP
#define APRICOTLB_APP_PROBLEM_HPP

#include "core/entry/admission.hpp"
#include "core/entry/http.hpp"

#include <apricotlb/error.hpp>

namespace apricotlb
{

/// A failure as application/problem+json, by the table of error kinds.
[[nodiscard]] auto answer_for(error const& it) -> http_answer;

/// The same, with Retry-After when the refusal says when.
[[nodiscard]] auto answer_for(refusal const& it) -> http_answer;

} // namespace apricotlb

#endif
