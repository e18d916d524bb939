/// Whole HTTP requests and answers by libcurl.
///
/// The leader sends some 300 short requests a second. libsoup's session took
/// about four times the processor time for each (docs/MEASUREMENTS.md, The
/// platform, round 6), so these requests go through libcurl.
#ifndef APRICOTLB_ADAPTERS_CURL_REQUESTS_HPP
#define APRICOTLB_ADAPTERS_CURL_REQUESTS_HPP

#include "core/entry/http.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace apricotlb
{

/// A request with its body; sent at most once unless it may be repeated.
struct outgoing_request
{
    std::string method{"POST"};
    url to;
    std::vector<header> headers;
    std::string body; ///< JSON, or empty
    duration timeout{};
    /// Lets the request use an open connection. libcurl sends it again on a
    /// new one when that turns out to be closed, so the receiver must recognise
    /// a repetition. A refusal of the second one says nothing about the first:
    /// it counts as backend_failed.
    bool repeatable{false};
};

/// Keeps connections open between requests; nothing blocks.
class curl_requests
{
public:
    using callback = std::function<void(result<http_answer>)>;

    curl_requests();
    curl_requests(curl_requests const&) = delete;
    auto operator=(curl_requests const&) -> curl_requests& = delete;
    ~curl_requests();

    /// done runs once, with the answer of any status or with backend_failed
    /// or backend_timeout; not at all when this object is destroyed before.
    auto send(outgoing_request const& it, callback done) -> void;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace apricotlb

#endif
