#include "adapters/metrics.hpp"

#include "core/entry/retry_policy.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <functional>
#include <iomanip>
#include <map>
#include <sstream>
#include <tuple>
#include <utility>
#include <vector>

namespace apricotlb
{

namespace
{

namespace bh = boost::histogram;

/// Buckets from 0.5 ms to 65.536 s, each twice the one before: the error of
/// a quantile stays below a factor of two over the whole range.
auto make_axis() -> bh::axis::variable<double>
{
    std::vector<double> edges{0.0};
    constexpr auto buckets = 18;
    for (auto n = 0; n < buckets; ++n)
    {
        edges.push_back(0.0005 * static_cast<double>(1U << unsigned(n)));
    }
    return bh::axis::variable<double>(edges);
}

using histogram = decltype(bh::make_histogram_with(
    std::vector<std::uint64_t>{}, std::declval<bh::axis::variable<double>>()));

struct latency
{
    histogram buckets =
        bh::make_histogram_with(std::vector<std::uint64_t>{}, make_axis());
    std::uint64_t count{0};
    std::int64_t sum_us{0};
};

template <class Value>
using family = std::map<std::string, Value, std::less<>>;

template <class Value>
using families = std::map<std::string, family<Value>, std::less<>>;

/// The value of a label, or that of "other" once there are too many.
template <class Value>
auto slot_of(families<Value>& all, std::string_view name,
             std::string_view label) -> Value&
{
    auto it = all.find(name);
    if (it == all.end())
    {
        it = all.try_emplace(std::string{name}).first;
    }
    auto& values = it->second;
    auto found = values.find(label);
    if (found == values.end())
    {
        if (values.size() >= max_label_values)
        {
            label = "other";
        }
        found = values.try_emplace(std::string{label}).first;
    }
    return found->second;
}

auto escaped(std::string_view it) -> std::string
{
    std::string out;
    for (auto const c : it)
    {
        if (c == '\\' || c == '"')
        {
            out += '\\';
        }
        out += c == '\n' ? std::string{"\\n"} : std::string{c};
    }
    return out;
}

} // namespace

struct metrics::impl
{
    struct description
    {
        std::string label_key;
        std::string help;
    };

    families<std::uint64_t> counters;
    families<std::uint64_t> reported; ///< counters at the last increments
    families<std::int64_t> gauges;
    families<latency> latencies;
    family<description> described;
    std::function<void()> on_read = [] {};

    /// Labels in braces, with le for a bucket's bound.
    [[nodiscard]] auto labels(std::string_view name, std::string_view label,
                              std::string_view bound = {}) const -> std::string
    {
        std::string out;
        if (!label.empty())
        {
            auto const it = described.find(name);
            out += it == described.end() ? "label" : it->second.label_key;
            out += "=\"" + escaped(label) + "\"";
        }
        if (!bound.empty())
        {
            out += out.empty() ? "le=\"" : ",le=\"";
            out += std::string{bound} + "\"";
        }
        return out.empty() ? out : "{" + out + "}";
    }

    auto head(std::ostream& out, std::string_view name,
              std::string_view type) const -> void
    {
        if (auto const it = described.find(name); it != described.end())
        {
            out << "# HELP " << name << ' ' << it->second.help << '\n';
        }
        out << "# TYPE " << name << ' ' << type << '\n';
    }

    template <class Value>
    auto print(std::ostream& out, families<Value> const& all,
               std::string_view type) const -> void
    {
        for (auto const& [name, values] : all)
        {
            head(out, name, type);
            for (auto const& [label, n] : values)
            {
                out << name << labels(name, label) << ' ' << n << '\n';
            }
        }
    }

    auto print(std::ostream& out, std::string const& name,
               std::string const& label, latency const& it) const -> void
    {
        std::uint64_t below{0};
        for (auto const& cell : bh::indexed(it.buckets))
        {
            below += *cell;
            std::ostringstream bound;
            bound << cell.bin().upper();
            out << name << "_bucket" << labels(name, label, bound.str()) << ' '
                << below << '\n';
        }
        out << name << "_bucket" << labels(name, label, "+Inf") << ' '
            << it.count << '\n'
            << name << "_sum" << labels(name, label) << ' '
            << static_cast<double>(it.sum_us) / 1e6 << '\n'
            << name << "_count" << labels(name, label) << ' ' << it.count
            << '\n';
    }
};

metrics::metrics() : impl_(std::make_unique<impl>())
{
    describe(metric::refusals, "reason", "Requests refused, by reason.");
    describe(metric::retries, "reason", "Attempts repeated, by reason.");
    describe(metric::log_lines, "outcome",
             "Log lines written, and dropped since nobody read them.");
    describe(metric::log_time, "", "Time spent on writing log lines.");
    describe(metric::requests, "service", "Urgent requests accepted.");
    describe(metric::cut_answers, "service",
             "Answers that broke off after a part had been forwarded.");
    describe(metric::backend_latency, "service",
             "Time from sending a request to the first byte of its answer.");
    for (std::size_t n = 0; n < error_kind_count; ++n)
    {
        auto const name = name_of(static_cast<error_kind>(n));
        slot_of(impl_->counters, metric::refusals, name) = 0;
        slot_of(impl_->counters, metric::retries, name) = 0;
    }
    for (auto const reason : retry_reasons)
    {
        slot_of(impl_->counters, metric::retries, name_of(reason)) = 0;
    }
}

metrics::~metrics() = default;

auto metrics::describe(std::string_view name, std::string_view label_key,
                       std::string_view help) -> void
{
    impl_->described.insert_or_assign(
        std::string{name},
        impl::description{std::string{label_key}, std::string{help}});
}

auto metrics::count(std::string_view name, std::string_view label) -> void
{
    ++slot_of(impl_->counters, name, label);
}

auto metrics::set_total(std::string_view name, std::string_view label,
                        std::uint64_t n) -> void
{
    slot_of(impl_->counters, name, label) = n;
}

auto metrics::on_read(std::function<void()> run) -> void
{
    impl_->on_read = std::move(run);
}

auto metrics::set(std::string_view name, std::string_view label, std::int64_t n)
    -> void
{
    slot_of(impl_->gauges, name, label) = n;
}

auto metrics::record(std::string_view name, std::string_view label, duration d)
    -> void
{
    auto& it = slot_of(impl_->latencies, name, label);
    it.buckets(std::chrono::duration<double>{d}.count());
    ++it.count;
    it.sum_us += d.count();
}

auto metrics::refused(error_kind reason) -> void
{
    count(metric::refusals, name_of(reason));
}

auto metrics::retried(error_kind reason) -> void
{
    count(metric::retries, name_of(reason));
}

auto metrics::take_increments() -> std::vector<counter_increment>
{
    impl_->on_read();
    std::vector<counter_increment> out;
    for (auto const& [name, values] : impl_->counters)
    {
        for (auto const& [label, n] : values)
        {
            auto& before = impl_->reported[name][label];
            if (n > before)
            {
                out.push_back({name, label, n - std::exchange(before, n)});
            }
        }
    }
    return out;
}

auto metrics::text() const -> std::string
{
    impl_->on_read();
    std::ostringstream out;
    impl_->print(out, impl_->counters, "counter");
    impl_->print(out, impl_->gauges, "gauge");
    for (auto const& [name, values] : impl_->latencies)
    {
        impl_->head(out, name, "histogram");
        for (auto const& [label, it] : values)
        {
            impl_->print(out, name, label, it);
        }
    }
    return out.str();
}

} // namespace apricotlb
