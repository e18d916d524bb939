/// Port: counters and latency histograms.
#ifndef APRICOTLB_PORTS_METRICS_HPP
#define APRICOTLB_PORTS_METRICS_HPP

#include <apricotlb/time.hpp>

#include <concepts>
#include <string_view>

namespace apricotlb
{

/// Names of counters and histograms; docs/API.md lists their labels.
namespace metric
{
inline constexpr std::string_view refusals = "apricotlb_refusals_total";
inline constexpr std::string_view retries = "apricotlb_retries_total";
inline constexpr std::string_view requests = "apricotlb_requests_total";
inline constexpr std::string_view cut_answers = "apricotlb_cut_answers_total";
inline constexpr std::string_view member_changes =
    "apricotlb_member_changes_total";
inline constexpr std::string_view orders = "apricotlb_worker_orders_total";
/// The pace orders among these.
inline constexpr std::string_view pace_orders = "apricotlb_pace_orders_total";
inline constexpr std::string_view order_routes = "apricotlb_order_routes_total";
inline constexpr std::string_view polls = "apricotlb_worker_polls_total";
inline constexpr std::string_view announcements =
    "apricotlb_worker_announcements_total";
inline constexpr std::string_view peer_messages =
    "apricotlb_peer_messages_total";
inline constexpr std::string_view calls_without_leader =
    "apricotlb_calls_without_leader_total";
/// Offices of this process as the leader that have ended, by the reason.
inline constexpr std::string_view office_ends = "apricotlb_office_ends_total";
/// Those of them that ended within config::short_office.
inline constexpr std::string_view short_offices =
    "apricotlb_short_offices_total";
inline constexpr std::string_view disk_events = "apricotlb_disk_events_total";
inline constexpr std::string_view run_ends = "apricotlb_run_ends_total";
inline constexpr std::string_view run_events = "apricotlb_run_events_total";
inline constexpr std::string_view contradictions =
    "apricotlb_planner_contradictions_total";
inline constexpr std::string_view admissions = "apricotlb_admissions_total";
inline constexpr std::string_view forecast_errors =
    "apricotlb_forecast_error_seconds";
inline constexpr std::string_view evacuations = "apricotlb_evacuations_total";
inline constexpr std::string_view log_lines = "apricotlb_log_lines_total";
inline constexpr std::string_view log_time =
    "apricotlb_log_write_microseconds_total";
inline constexpr std::string_view backend_latency =
    "apricotlb_backend_latency_seconds";
} // namespace metric

/// Counts events by name and label, and records durations.
template <class T>
concept metrics_port =
    requires(T& it, std::string_view name, std::string_view label, duration d) {
        {
            it.count(name, label)
        } -> std::same_as<void>;
        {
            it.record(name, label, d)
        } -> std::same_as<void>;
    };

} // namespace apricotlb

#endif
