#include "adapters/yaml_settings.hpp"

#include "adapters/enum_names.hpp"
#include "adapters/unit_text.hpp"

#include <apricotlb/fields.hpp>

#include <yaml-cpp/yaml.h>

#include <sys/stat.h>

#include <charconv>
#include <chrono>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <type_traits>
#include <utility>
#include <vector>

namespace apricotlb
{

namespace
{

template <class T>
inline constexpr bool is_vector_v = false;
template <class T>
inline constexpr bool is_vector_v<std::vector<T>> = true;
template <class T>
inline constexpr bool is_map_v = false;
template <class K, class V>
inline constexpr bool is_map_v<std::map<K, V>> = true;
template <class T>
inline constexpr bool is_duration_v = false;
template <class R, class P>
inline constexpr bool is_duration_v<std::chrono::duration<R, P>> = true;

/// Longest list that is read.
constexpr std::size_t max_elements = 1024;

/// The keys of a type in YAML.
template <class T>
struct yaml_fields
{
    static constexpr auto fields() { return T::fields(); }
};

template <>
struct yaml_fields<operator_token>
{
    static constexpr auto fields()
    {
        return field_list(field("name", &operator_token::name),
                          field("hash", &operator_token::hash));
    }
};

template <>
struct yaml_fields<discovery_settings>
{
    static constexpr auto fields()
    {
        return field_list(
            field("seeds", &discovery_settings::seeds),
            field("found_group", &discovery_settings::found_group),
            field("tolerated_losses", &discovery_settings::tolerated_losses));
    }
};

template <>
struct yaml_fields<settings>
{
    static constexpr auto fields()
    {
        return field_list(
            field("node", &settings::node), field("region", &settings::region),
            field("zone", &settings::zone), field("data", &settings::data),
            field("peers_at", &settings::peers_at),
            field("peer_ports", &settings::peer_ports),
            field("http_at", &settings::http_at),
            field("health_at", &settings::health_at),
            field("announcements_at", &settings::announcements_at),
            field("discovery", &settings::discovery),
            field("interface", &settings::interface),
            field("trust", &settings::trust),
            field("run_lease", &settings::run_lease),
            field("late_work", &settings::late_work),
            field("control", &settings::control),
            field("joins", &settings::joins),
            field("key_file", &settings::key_file),
            field("operators", &settings::operators),
            field("platform_tokens", &settings::platform_tokens),
            field("guards", &settings::guards),
            field("balancer_wait", &settings::balancer_wait),
            field("shutdown_grace", &settings::shutdown_grace),
            field("max_body", &settings::max_body),
            field("queue_per_customer", &settings::queue_per_customer),
            field("max_connections", &settings::max_connections),
            field("disk_limit", &settings::disk_limit),
            field("sync_delay", &settings::sync_delay),
            field("clock_offset", &settings::clock_offset),
            field("log_level", &settings::level),
            field("log_format", &settings::format));
    }
};

/// Walks one file; errors carry the place.
class reader
{
public:
    reader(file_path name, error_kind kind)
        : name_(std::move(name)), kind_(kind)
    {
    }

    [[nodiscard]] auto at(YAML::Mark const& mark, std::string const& key,
                          std::string_view what) const -> error
    {
        return {kind_, name_.value() + ":" + std::to_string(mark.line + 1) +
                           ": " + key + (key.empty() ? "" : ": ") +
                           std::string{what}};
    }

    template <class T>
    auto read(YAML::Node const& from, T& to, std::string const& key) const
        -> result<void>
    {
        if constexpr (std::is_same_v<T, millicores>)
        {
            return with_unit(from, to, key, cores_forms, &parse_cores);
        }
        else if constexpr (std::is_same_v<T, byte_count>)
        {
            return with_unit(from, to, key, bytes_forms, &parse_bytes);
        }
        else if constexpr (std::is_same_v<T, permille>)
        {
            return with_unit(from, to, key, share_forms, &parse_share);
        }
        else if constexpr (std::is_same_v<T, wall_offset>)
        {
            return with_unit(from, to, key, offset_forms, &parse_offset);
        }
        else if constexpr (is_duration_v<T>)
        {
            return read_duration(from, to, key);
        }
        else if constexpr (named_enum<T>)
        {
            auto const it =
                from.IsScalar() ? enum_value<T>(from.Scalar()) : std::nullopt;
            if (!it)
            {
                return refuse(from, key, "one of " + allowed_names<T>());
            }
            to = *it;
            return outcome::success();
        }
        else if constexpr (strong_type<T>)
        {
            typename T::rep value{};
            BOOST_OUTCOME_TRYV(read(from, value, key));
            to = T{std::move(value)};
            return outcome::success();
        }
        else if constexpr (std::is_same_v<T, std::string>)
        {
            if (!from.IsScalar())
            {
                return refuse(from, key, "text");
            }
            to = from.Scalar();
            return outcome::success();
        }
        else if constexpr (std::is_same_v<T, bool>)
        {
            auto const text = from.IsScalar() ? from.Scalar() : std::string{};
            if (text != "true" && text != "false")
            {
                return refuse(from, key, "true or false");
            }
            to = text == "true";
            return outcome::success();
        }
        else if constexpr (std::is_integral_v<T>)
        {
            return read_integer(from, to, key);
        }
        else if constexpr (is_vector_v<T>)
        {
            return read_list(from, to, key);
        }
        else if constexpr (is_map_v<T>)
        {
            return read_map(from, to, key);
        }
        else
        {
            return read_struct(from, to, key);
        }
    }

    template <class T>
    auto read_struct(YAML::Node const& from, T& to,
                     std::string const& key) const -> result<void>
    {
        std::string allowed;
        auto const list = [&allowed](auto const&... it) {
            ((allowed += (allowed.empty() ? "" : ", ") + std::string{it.name}),
             ...);
        };
        std::apply(list, yaml_fields<T>::fields());
        if (!from.IsMap())
        {
            return refuse(from, key, "a map with the keys " + allowed);
        }
        std::set<std::string> seen;
        for (auto const& pair : from)
        {
            auto const name =
                pair.first.IsScalar() ? pair.first.Scalar() : std::string{"?"};
            auto path = key;
            path += key.empty() ? "" : ".";
            path += name;
            if (!seen.insert(name).second)
            {
                return at(pair.first.Mark(), path, "is given twice");
            }
            auto found = false;
            result<void> done = outcome::success();
            auto const visit = [&](auto const&... it)
            {
                ((it.name == name
                      ? (found = true,
                         done = read(pair.second, to.*(it.member), path))
                      : done),
                 ...);
            };
            std::apply(visit, yaml_fields<T>::fields());
            if (!found)
            {
                return at(pair.first.Mark(), path,
                          "unknown key; allowed are " + allowed);
            }
            BOOST_OUTCOME_TRYV(std::move(done));
        }
        return outcome::success();
    }

private:
    [[nodiscard]] auto refuse(YAML::Node const& from, std::string const& key,
                              std::string const& want) const -> error
    {
        std::string got;
        if (from.IsScalar())
        {
            got = ", got \"" + from.Scalar().substr(0, 40) + "\"";
        }
        return at(from.Mark(), key, "must be " + want + got);
    }

    template <class T>
    auto with_unit(YAML::Node const& from, T& to, std::string const& key,
                   std::string_view forms,
                   result<T> (*parse)(std::string_view)) const -> result<void>
    {
        if (from.IsScalar())
        {
            if (auto it = parse(from.Scalar()); it)
            {
                to = it.value();
                return outcome::success();
            }
        }
        return refuse(from, key, std::string{forms});
    }

    template <class T>
    auto read_duration(YAML::Node const& from, T& to,
                       std::string const& key) const -> result<void>
    {
        duration exact{};
        BOOST_OUTCOME_TRYV(
            with_unit(from, exact, key, duration_forms, &parse_duration));
        to = std::chrono::duration_cast<T>(exact);
        if (to != exact)
        {
            return refuse(from, key,
                          T::period::den == 1 ? "in whole seconds"
                                              : "in whole milliseconds");
        }
        return outcome::success();
    }

    template <class T>
    auto read_integer(YAML::Node const& from, T& to,
                      std::string const& key) const -> result<void>
    {
        auto const text = from.IsScalar() ? from.Scalar() : std::string{};
        auto const* const end = text.data() + text.size();
        T value{};
        auto const [it, ec] = std::from_chars(text.data(), end, value);
        if (text.empty() || it != end || ec != std::errc{} || value < T{0})
        {
            return refuse(from, key,
                          "a whole number from 0 to " +
                              std::to_string(std::numeric_limits<T>::max()));
        }
        to = value;
        return outcome::success();
    }

    template <class T>
    auto read_list(YAML::Node const& from, T& to, std::string const& key) const
        -> result<void>
    {
        if (!from.IsSequence() || from.size() > max_elements)
        {
            return refuse(from, key, "a list of at most 1024 elements");
        }
        for (auto const& it : from)
        {
            auto const path = key + "[" + std::to_string(to.size()) + "]";
            BOOST_OUTCOME_TRYV(read(it, to.emplace_back(), path));
        }
        return outcome::success();
    }

    template <class T>
    auto read_map(YAML::Node const& from, T& to, std::string const& key) const
        -> result<void>
    {
        if (!from.IsMap() || from.size() > max_elements)
        {
            return refuse(from, key, "a map of at most 1024 keys");
        }
        for (auto const& pair : from)
        {
            typename T::key_type name;
            typename T::mapped_type value;
            BOOST_OUTCOME_TRYV(read(pair.first, name, key));
            auto const path = key + "." + name.value();
            BOOST_OUTCOME_TRYV(read(pair.second, value, path));
            if (!to.try_emplace(std::move(name), std::move(value)).second)
            {
                return at(pair.first.Mark(), path, "is given twice");
            }
        }
        return outcome::success();
    }

    file_path name_;
    error_kind kind_;
};

/// Line of the key that a check's message starts with, or the first line.
auto mark_of(YAML::Node const& root, std::string const& detail) -> YAML::Mark
{
    auto const name = detail.substr(0, detail.find_first_of(".: "));
    for (auto const& pair : root)
    {
        if (pair.first.IsScalar() && pair.first.Scalar() == name)
        {
            return pair.first.Mark();
        }
    }
    return root.Mark();
}

template <class T, class Check>
auto parse(std::string_view text, file_path const& name, error_kind kind,
           T value, Check&& checked) -> result<T>
{
    reader const in{name, kind};
    // The library reports bad input by exceptions; they end here.
    try
    {
        auto const documents = YAML::LoadAll(std::string{text});
        if (documents.size() > 1)
        {
            return in.at(documents[1].Mark(), "",
                         "must be the only document of its file");
        }
        auto const root = documents.empty() ? YAML::Node{} : documents[0];
        BOOST_OUTCOME_TRYV(in.read_struct(root, value, ""));
        if (auto const it = checked(value); it.has_error())
        {
            return in.at(mark_of(root, it.error().detail), "",
                         it.error().detail);
        }
    }
    catch (YAML::Exception const& it)
    {
        return in.at(it.mark, "", it.msg);
    }
    return value;
}

} // namespace

auto read_file(file_path const& path) -> result<std::string>
{
    auto const refuse = [&path]
    {
        return fail(error_kind::not_found,
                    path.value() + ": cannot be read as a file");
    };
    // Opening a named pipe waits for its writer, so the type is checked first.
    struct stat info
    {
    };
    if (::stat(path.value().c_str(), &info) != 0 || !S_ISREG(info.st_mode))
    {
        return refuse();
    }
    std::ifstream in{path.value(), std::ios::binary};
    if (!in)
    {
        return refuse();
    }
    if (info.st_size > max_file_bytes.value())
    {
        return fail(error_kind::bad_request,
                    path.value() + ": must be at most 1 MiB");
    }
    return std::string{std::istreambuf_iterator<char>{in}, {}};
}

auto read_secret(file_path const& path) -> result<std::string>
{
    struct stat info
    {
    };
    constexpr mode_t others = S_IRWXG | S_IRWXO;
    if (::stat(path.value().c_str(), &info) == 0 &&
        (info.st_mode & others) != 0)
    {
        return fail(error_kind::bad_settings,
                    path.value() + ": holds a secret, so only its owner may "
                                   "have access; run chmod 600 on it");
    }
    BOOST_OUTCOME_TRY(text, read_file(path));
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
    {
        text.pop_back();
    }
    if (text.empty())
    {
        return fail(error_kind::bad_settings,
                    path.value() + ": must not be empty");
    }
    return text;
}

auto parse_settings(std::string_view text, file_path const& name)
    -> result<settings>
{
    auto const any = [](settings const&) -> result<void>
    { return outcome::success(); };
    return parse(text, name, error_kind::bad_settings, settings{}, any);
}

auto read_settings(file_path const& path) -> result<settings>
{
    BOOST_OUTCOME_TRY(text, read_file(path));
    return parse_settings(text, path);
}

auto parse_contract(std::string_view text, file_path const& name)
    -> result<contract>
{
    contract start;
    start.key_retention = config::default_key_retention;
    return parse(text, name, error_kind::bad_contract, std::move(start),
                 [](contract const& it) { return check(it); });
}

auto read_contract(file_path const& path) -> result<contract>
{
    BOOST_OUTCOME_TRY(text, read_file(path));
    return parse_contract(text, path);
}

auto parse_job(std::string_view text, file_path const& name) -> result<job_spec>
{
    return parse(text, name, error_kind::bad_request, job_spec{},
                 [](job_spec const& it) { return check(it); });
}

auto read_job(file_path const& path) -> result<job_spec>
{
    BOOST_OUTCOME_TRY(text, read_file(path));
    return parse_job(text, path);
}

} // namespace apricotlb
