#include "app/entry_api.hpp"

namespace apricotlb
{

auto identify_caller(std::optional<token_hash> const& token,
                     settings const& own_settings, entry_view const& view)
    -> api_caller_identity
{
    api_caller_identity out;
    if (!token)
    {
        return out;
    }
    auto const found = std::ranges::find(own_settings.operators, *token,
                                         &operator_token::hash);
    if (found != own_settings.operators.end())
    {
        out.role = api_role::system_operator;
        out.name = found->name;
        return out;
    }
    if (std::ranges::find(own_settings.platform_tokens, *token) !=
        own_settings.platform_tokens.end())
    {
        out.role = api_role::platform;
        return out;
    }
    if (auto customer = view.customer_of(*token))
    {
        out.role = api_role::customer;
        out.customer = std::move(*customer);
    }
    return out;
}

} // namespace apricotlb
