#include "app/cli_client.hpp"

#include <cstdint>

namespace apricotlb
{

auto path_segment(std::string_view text) -> std::string
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (auto const c : text)
    {
        auto const code = static_cast<unsigned char>(c);
        if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
            (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.')
        {
            out += c;
            continue;
        }
        out += '%';
        out += digits[code >> 4U];
        out += digits[code & 0xfU];
    }
    return out;
}

auto body_or_error(api_answer const& it) -> result<std::string>
{
    auto const status = static_cast<std::uint16_t>(it.status);
    constexpr auto first_error_status = 300;
    if (status < first_error_status)
    {
        return it.body;
    }
    if (auto const decoded = decode_problem(it.body); decoded)
    {
        return decoded.value().what;
    }
    return fail(error_kind::internal,
                "the server answered with status " + std::to_string(status) +
                    " and a body that is no problem document");
}

} // namespace apricotlb
