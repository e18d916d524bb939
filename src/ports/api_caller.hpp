/// Port: requests of the operators' command-line client to the HTTP API.
#ifndef APRICOTLB_PORTS_API_CALLER_HPP
#define APRICOTLB_PORTS_API_CALLER_HPP

#include <apricotlb/error.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>

#include <concepts>
#include <string>

namespace apricotlb
{

struct api_request
{
    std::string method{"GET"};
    std::string path;
    std::string body{}; ///< JSON, or empty
    change_id change{}; ///< sent as Apricotlb-Change-Id unless empty
};

struct api_answer
{
    http_status status{};
    std::string body;
};

/// Sends a request and returns the answer, whatever its status. Fails with
/// no_leader if no answer was received; the request may still have been
/// applied.
template <class T>
concept api_caller = requires(T& it, api_request const& request, duration d) {
    {
        it.call(request)
    } -> std::same_as<result<api_answer>>;
    {
        it.pause(d)
    } -> std::same_as<void>;
    {
        it.now()
    } -> std::same_as<time_point>;
};

} // namespace apricotlb

#endif
