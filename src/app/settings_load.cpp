#include "app/settings_load.hpp"

#include "adapters/yaml_settings.hpp"

namespace apricotlb
{

auto load_settings(file_path const& path, process_role role) -> result<settings>
{
    BOOST_OUTCOME_TRY(it, read_settings(path));
    if (auto const checked = check(it, role); checked.has_error())
    {
        return fail(error_kind::bad_settings,
                    path.value() + ": " + checked.error().detail);
    }
    if (!it.key_file.value().empty())
    {
        BOOST_OUTCOME_TRYV(read_secret(it.key_file));
    }
    return it;
}

auto settings_text(file_path const& path) -> std::string
{
    auto text = read_file(path);
    return text ? std::move(text).value() : std::string{};
}

} // namespace apricotlb
