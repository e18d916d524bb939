#include "soak/processes.hpp"

#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <sched.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace apricotlb::soak
{

namespace
{

constexpr std::size_t zones = 3;

auto read_text(std::filesystem::path const& path) -> std::string
{
    std::ifstream in{path};
    return {std::istreambuf_iterator<char>{in}, {}};
}

auto replace(std::string& text, std::string const& what,
             std::string const& with) -> void
{
    for (auto at = text.find(what); at != std::string::npos;
         at = text.find(what, at + with.size()))
    {
        text.replace(at, what.size(), with);
    }
}

/// Binds the calling process to the last cores of those that it may use, so
/// that the soak keeps others for itself.
auto bind_to_cores(int count) -> void
{
    cpu_set_t allowed;
    cpu_set_t chosen;
    CPU_ZERO(&chosen);
    if (count <= 0 || ::sched_getaffinity(0, sizeof allowed, &allowed) != 0)
    {
        return;
    }
    for (auto n = CPU_SETSIZE - 1; n >= 0 && CPU_COUNT(&chosen) < count; --n)
    {
        if (CPU_ISSET(n, &allowed))
        {
            CPU_SET(n, &chosen);
        }
    }
    (void)::sched_setaffinity(0, sizeof chosen, &chosen);
}

/// How a process ended, by its status from wait.
auto text_of(int status) -> std::string
{
    return WIFEXITED(status)
               ? "exit code " + std::to_string(WEXITSTATUS(status))
               : "signal " + std::to_string(WTERMSIG(status));
}

/// Inode of the socket that is bound to an address; empty if there is none.
auto socket_at(std::string const& address) -> std::string
{
    auto const colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return {};
    }
    std::array<char, 8> port{};
    std::snprintf(port.data(), port.size(), ":%04X",
                  static_cast<unsigned>(std::stoul(address.substr(colon + 1))) &
                      0xffffU);
    std::ifstream in{"/proc/net/tcp"};
    for (std::string line; std::getline(in, line);)
    {
        std::istringstream columns{line};
        std::vector<std::string> row{
            std::istream_iterator<std::string>{columns}, {}};
        constexpr std::size_t inode = 9;
        if (row.size() > inode && row[1].ends_with(port.data()) &&
            row[inode] != "0")
        {
            return row[inode];
        }
    }
    return {};
}

} // namespace

auto check_program(std::filesystem::path const& program) -> void
{
    auto path = program.string();
    std::string argument{"--version"};
    std::array<char*, 3> arguments{path.data(), argument.data(), nullptr};
    posix_spawn_file_actions_t files{};
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, 1, "/dev/null", O_WRONLY, 0);
    pid_t pid{-1};
    auto const error = ::posix_spawn(&pid, path.c_str(), &files, nullptr,
                                     arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&files);
    if (error != 0)
    {
        throw std::runtime_error("cannot run " + path + ": " +
                                 std::generic_category().message(error));
    }
    // A program whose libraries are missing ends only after it was executed.
    int status{0};
    if (::waitpid(pid, &status, 0) != pid || status != 0)
    {
        throw std::runtime_error("cannot run " + path +
                                 ": --version ended with " + text_of(status));
    }
}

auto claim_octet(int hint) -> int
{
    constexpr int first{16};
    constexpr int octets{200};
    constexpr std::uint16_t port{7999};
    for (auto n = 0; n < octets; ++n)
    {
        auto const octet = first + (hint + n) % octets;
        auto const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr =
            htonl(0x7f00fffeU | static_cast<unsigned>(octet) << 16U);
        if (::bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) == 0)
        {
            return octet;
        }
        ::close(fd);
    }
    throw std::runtime_error("no loopback addresses are free");
}

processes::processes(glib_clock& clock, ledger& seen, disturbances& disturbed,
                     deployment_options options)
    : clock_(clock), ledger_(seen), disturbed_(disturbed),
      options_(std::move(options))
{
    for (std::size_t n = 0; n < options_.control; ++n)
    {
        add('c');
    }
    for (std::size_t n = 0; n < options_.entries; ++n)
    {
        add('e');
    }
    for (auto const* const name : {"c0", "c1", "c2"})
    {
        seeds_ += (seeds_.empty() ? "\"" : ",\"") +
                  machines_.at(name).served_at() + "\"";
    }
}

processes::~processes()
{
    for (auto& [name, it] : machines_)
    {
        if (it.watch != 0)
        {
            g_source_remove(it.watch);
        }
        if (it.pid > 0)
        {
            ::kill(it.pid, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
        }
    }
}

auto processes::add(char kind) -> std::string
{
    auto const n = count_[kind]++;
    machine it;
    it.name = kind + std::to_string(n);
    auto const zone = n % zones;
    it.zone = "z" + std::to_string(zone);
    // Control processes and entries of a zone share the third octet.
    constexpr std::size_t first_entry = 100;
    it.ip = "127." + std::to_string(options_.first_octets) + "." +
            std::to_string(zone) + "." +
            std::to_string((kind == 'c' ? 1 : first_entry) + n);
    it.data = options_.folder / it.name;
    machines_[it.name] = it;
    if (kind == 'c')
    {
        set_sync_delay(it.name, n < options_.disks.count
                                    ? options_.disks.sync_delay
                                    : std::chrono::milliseconds{0});
    }
    return it.name;
}

auto processes::set_sync_delay(std::string const& name,
                               std::chrono::milliseconds mean) -> void
{
    machines_.at(name).sync_delay = mean;
    auto const all = names('c');
    auto const slow = std::ranges::count_if(
        all, [this](auto const& it) { return at(it).sync_delay.count() > 0; });
    disturbed_.set_slow_disks(static_cast<std::size_t>(slow), all.size(),
                              clock_.now());
}

auto processes::add_control() -> std::string
{
    auto name = add('c');
    start(name);
    return name;
}

auto processes::write_settings(machine const& it, bool first) -> void
{
    auto text =
        read_text(options_.templates /
                  (it.is_control() ? "control.yaml.in" : "entry.yaml.in"));
    auto const list_begin = text.find("{{#seeds}}");
    std::string const list_end{"{{/seeds}}"};
    auto const end = text.find(list_end);
    if (list_begin != std::string::npos && end != std::string::npos)
    {
        text.replace(list_begin, end + list_end.size() - list_begin, seeds_);
    }
    replace(text, "{{node_name}}", it.name);
    replace(text, "{{region}}", "r");
    replace(text, "{{zone}}", it.zone);
    replace(text, "{{data_dir}}", it.data.string());
    replace(text, "{{ip}}", it.ip);
    replace(text, "{{port_range.0}}", "7720");
    replace(text, "{{port_range.1}}", "7735");
    replace(text, "{{listen_addrs.control}}", it.served_at());
    replace(text, "{{listen_addrs.front}}", it.served_at());
    replace(text, "{{listen_addrs.readiness_addr}}", it.ready_at());
    replace(text, "{{bootstrap}}", first ? "true" : "false");
    replace(text, "{{fault_tolerance.machines}}", "2");
    replace(text, "{{bounds.max_hold_ms}}", "10000");
    replace(text, "{{limits.disk_mb}}", "128");
    replace(text, "{{bounds.grace_s}}", "6");
    if (it.sync_delay.count() > 0)
    {
        text += "sync_delay: " + std::to_string(it.sync_delay.count()) + "ms\n";
    }
    if (it.clock_offset.count() != 0)
    {
        text +=
            "clock_offset: " + std::to_string(it.clock_offset.count()) + "ms\n";
    }
    // A program that is starting must not read half of it.
    auto const path = options_.folder / (it.name + ".yaml");
    std::ofstream{path.string() + ".new"} << text;
    std::filesystem::rename(path.string() + ".new", path);
}

auto processes::reload(std::string const& name) -> void
{
    write_settings(machines_.at(name));
    signal(name, SIGHUP);
}

auto processes::on_read(std::string const& name, call_service how,
                        time_point sent_at) -> void
{
    auto const now = clock_.now();
    ledger_.on_call(name, "GET /config", how, sent_at, now);
    auto& since = machines_.at(name).set_back_since;
    if (since && sent_at >= *since && how == call_service::served)
    {
        auto const from = *std::exchange(since, std::nullopt);
        ledger_.note(name + ", set back before its start at " +
                     ledger_.time_of(from) + ", is in the group again at " +
                     ledger_.time_of(now));
    }
}

auto processes::start(std::string const& name, bool first) -> void
{
    auto& it = machines_.at(name);
    if (it.is_running() || it.removed)
    {
        return;
    }
    write_settings(it, first);
    auto const former = std::exchange(it.born, clock_.now() + it.clock_offset);
    it.set_back_since = it.born < former && it.is_control()
                            ? std::optional{clock_.now()}
                            : std::nullopt;
    std::error_code ec;
    if (it.is_control())
    {
        std::filesystem::create_directories(it.data, ec);
    }
    auto const settings = (options_.folder / (name + ".yaml")).string();
    auto const log = (options_.folder / (name + ".log")).string();
    auto const binary = options_.binary.string();
    auto const* const role = it.is_control() ? "control" : "entry";
    std::array<int, 2> unread{-1, -1};
    if (options_.unread_logs)
    {
        (void)::pipe2(unread.data(), O_CLOEXEC);
    }
    // SIGHUP ends a program that has not begun; this one takes it later.
    sigset_t reload;
    ::sigemptyset(&reload);
    ::sigaddset(&reload, SIGHUP);
    ::sigprocmask(SIG_BLOCK, &reload, nullptr);
    auto const pid = ::fork();
    if (pid != 0)
    {
        ::sigprocmask(SIG_UNBLOCK, &reload, nullptr);
    }
    else
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        bind_to_cores(options_.cores);
        auto const out =
            options_.unread_logs
                ? unread[1]
                : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl(binary.c_str(), binary.c_str(), role, settings.c_str(),
                nullptr);
        ::_exit(127);
    }
    if (unread[1] >= 0)
    {
        // The reading end stays open, and unread.
        ::close(unread[1]);
    }
    it.pid = pid;
    it.ending = false;
    it.watch = g_child_watch_add(
        pid,
        [](GPid ended, gint status, gpointer self)
        { static_cast<processes*>(self)->reap(ended, status); },
        this);
}

auto processes::start_all() -> void
{
    for (auto const& name : names())
    {
        start(name, true);
    }
}

auto processes::reap(pid_t pid, int status) -> void
{
    auto& [name, it] = *std::ranges::find(
        machines_, pid, [](auto const& each) { return each.second.pid; });
    it.pid = -1;
    it.watch = 0;
    if (!std::exchange(it.ending, false))
    {
        ledger_.on_process_end(name, text_of(status), clock_.now());
        disturbed_.mark(name, clock_.now());
    }
    if (on_end)
    {
        on_end(name);
    }
}

auto processes::signal(std::string const& name, int number) -> void
{
    auto& it = machines_.at(name);
    if (!it.is_running())
    {
        return;
    }
    if (number == SIGKILL || number == SIGTERM)
    {
        it.ending = true;
    }
    ::kill(it.pid, number);
}

auto processes::remove(std::string const& name) -> void
{
    machines_.at(name).removed = true;
    signal(name, SIGKILL);
}

auto processes::wipe(std::string const& name) -> void
{
    std::error_code ec;
    std::filesystem::remove_all(machines_.at(name).data, ec);
}

auto processes::names(char kind) const -> std::vector<std::string>
{
    std::vector<std::string> out;
    for (auto const& [name, it] : machines_)
    {
        if ((kind == 0 || name.front() == kind) && !it.removed)
        {
            out.push_back(name);
        }
    }
    return out;
}

auto processes::addresses(char kind) const -> std::vector<std::string>
{
    std::vector<std::string> out;
    for (auto const& name : names(kind))
    {
        out.push_back(machines_.at(name).served_at());
    }
    return out;
}

auto processes::owner_of(std::string const& address) const -> std::string
{
    auto const inode = socket_at(address);
    for (auto const& [name, it] : machines_)
    {
        std::error_code ec;
        auto const files =
            std::filesystem::path{"/proc"} / std::to_string(it.pid) / "fd";
        for (auto const& file : std::filesystem::directory_iterator{files, ec})
        {
            if (!inode.empty() && std::filesystem::read_symlink(file, ec) ==
                                      "socket:[" + inode + "]")
            {
                return name;
            }
        }
    }
    return address.empty() ? "?" : address;
}

} // namespace apricotlb::soak
