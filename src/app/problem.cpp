#include "app/problem.hpp"

#include "adapters/json_codec.hpp"

#include <string>

namespace apricotlb
{

auto answer_for(error const& it) -> http_answer
{
    http_answer out;
    out.status = answer_of(it.kind).status;
    out.headers = {{"Content-Type", "application/problem+json"}};
    out.body = encode_problem(problem_of(it));
    return out;
}

auto answer_for(refusal const& it) -> http_answer
{
    auto out = answer_for(it.reason);
    if (it.retry_after)
    {
        out.headers.push_back(
            {"Retry-After", std::to_string(it.retry_after->count())});
    }
    return out;
}

} // namespace apricotlb
