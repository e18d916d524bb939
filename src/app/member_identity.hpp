/// The id of a control process that uses discovery, stored in the folder of its
/// log.
#ifndef APRICOTLB_APP_MEMBER_IDENTITY_HPP
#define APRICOTLB_APP_MEMBER_IDENTITY_HPP

#include "app/settings.hpp"
#include "core/group/membership.hpp"
#include "core/random.hpp"
#include "ports/file_system.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Identity of this process. The founders are the first voters of the group;
/// the list is empty unless this process is a founder.
struct member_identity
{
    node_id id;
    std::vector<node_id> founders;
};

/// Identity for an empty folder. Only seeds at the first start of a deployment
/// found the group; all other processes join it under a new random id.
[[nodiscard]] inline auto first_identity(settings const& process_settings,
                                         random_bits random) -> member_identity
{
    auto const& seeds = process_settings.discovery.seeds;
    auto const founds_group =
        process_settings.discovery.found_group &&
        std::ranges::find(seeds, process_settings.http_at) != seeds.end();
    if (!founds_group)
    {
        std::array<char, 16> text{};
        constexpr auto hexadecimal = 16;
        auto const end = std::to_chars(text.data(), text.data() + text.size(),
                                       random.value(), hexadecimal);
        return {
            member_id(process_settings.http_at.value(), {text.data(), end.ptr}),
            {}};
    }
    member_identity identity{member_id(process_settings.http_at.value(), {}),
                             {}};
    for (auto const& seed : seeds)
    {
        identity.founders.push_back(member_id(seed.value(), {}));
    }
    return identity;
}

/// Reads the identity from the data folder, or creates one and stores it there
/// durably. The file has one id per line: the id of the process, then those of
/// the founders.
template <file_system_port Files>
[[nodiscard]] auto load_identity(Files& files, settings const& process_settings,
                                 random_bits random) -> result<member_identity>
{
    auto const folder = process_settings.data.value();
    file_path const path{folder + "/identity"};
    BOOST_OUTCOME_TRYV(files.make_folder(process_settings.data));
    BOOST_OUTCOME_TRY(names, files.list(process_settings.data));
    if (std::ranges::find(names, "identity") != names.end())
    {
        BOOST_OUTCOME_TRY(text, files.read(path));
        std::vector<node_id> ids;
        for (std::size_t offset = 0; offset < text.size();)
        {
            auto const end = std::min(text.find('\n', offset), text.size());
            ids.emplace_back(text.substr(offset, end - offset));
            offset = end + 1;
        }
        if (ids.empty() || ids.front().value().empty())
        {
            return fail(error_kind::log_damaged,
                        path.value() + ": the first line has no process id");
        }
        member_identity identity{ids.front(), {}};
        identity.founders.assign(ids.begin() + 1, ids.end());
        return identity;
    }
    auto identity = first_identity(process_settings, random);
    std::string text = identity.id.value() + "\n";
    for (auto const& founder : identity.founders)
    {
        text += founder.value() + "\n";
    }
    file_path const temporary_path{folder + "/identity.new"};
    BOOST_OUTCOME_TRY(file, files.create(temporary_path));
    BOOST_OUTCOME_TRYV(files.write(file, text));
    BOOST_OUTCOME_TRYV(files.sync(file));
    files.close(file);
    BOOST_OUTCOME_TRYV(files.rename(temporary_path, path));
    BOOST_OUTCOME_TRYV(files.sync_folder(process_settings.data));
    return identity;
}

} // namespace apricotlb

#endif
