/// Port api_caller by libsoup, on the default main context.
#ifndef APRICOTLB_ADAPTERS_API_SOUP_HPP
#define APRICOTLB_ADAPTERS_API_SOUP_HPP

#include "ports/api_caller.hpp"

#include <memory>
#include <string>

namespace apricotlb
{

class api_soup
{
public:
    /// The server as http://host:port; the token may be empty.
    api_soup(url const& server, std::string token);
    api_soup(api_soup const&) = delete;
    auto operator=(api_soup const&) -> api_soup& = delete;
    ~api_soup();

    /// Runs the main loop until the answer is there or 10 s have passed.
    auto call(api_request const& request) -> result<api_answer>;

    /// Runs the main loop for the given time.
    auto pause(duration d) -> void;

    [[nodiscard]] auto now() const -> time_point;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

static_assert(api_caller<api_soup>);

/// A change id that no other call gets.
[[nodiscard]] auto make_change_id() -> change_id;

} // namespace apricotlb

#endif
