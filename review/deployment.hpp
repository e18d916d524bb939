/// Starts the project's programs on loopback, and calls them as operators and
/// clients do.
#ifndef APRICOTLB_REVIEW_DEPLOYMENT_HPP
#define APRICOTLB_REVIEW_DEPLOYMENT_HPP

#include "http.hpp"
#include "loop.hpp"
#include "worker.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace review
{

/// A process of the system.
struct node
{
    std::string name;
    std::string role;
    std::string zone;
    std::string ip;
    pid_t pid{-1};
};

/// Three control processes, and one entry process in each of three zones.
class deployment
{
public:
    deployment(event_loop& loop, record_file& record)
        : loop_(loop), record_(record),
          folder_(std::filesystem::temp_directory_path() /
                  ("apricotlb-review-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(folder_);
        choose_ports();
        for (auto n = 1; n <= 3; ++n)
        {
            add("control", n);
        }
        for (auto n = 1; n <= 3; ++n)
        {
            add("entry", n);
        }
    }
    deployment(deployment const&) = delete;
    auto operator=(deployment const&) -> deployment& = delete;
    ~deployment()
    {
        for (auto& it : nodes_)
        {
            if (it.pid > 0)
            {
                ::kill(it.pid, SIGKILL);
                ::waitpid(it.pid, nullptr, 0);
            }
        }
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::error_code ec;
            std::filesystem::remove_all(folder_, ec);
        }
        else
        {
            std::cerr << "logs in " << folder_ << '\n';
        }
    }

    /// Starts all processes and applies the configuration. False if the
    /// deployment does not come up.
    auto start() -> bool
    {
        for (auto& it : nodes_)
        {
            spawn(it);
        }
        auto is_configured = false;
        std::function<void(std::size_t)> put = [&](std::size_t n)
        {
            send_request(loop_, control(n % 3), "PUT", "/config", {}, config(),
                         1000,
                         [&, n](http_reply const& it)
                         {
                             is_configured = it.status == 200;
                             if (!is_configured)
                             {
                                 loop_.after(100, [&, n] { put(n + 1); });
                             }
                         });
        };
        put(0);
        if (!loop_.wait(15000, [&] { return is_configured; }))
        {
            return false;
        }
        record_.line("configuration acknowledged");
        std::size_t ready{0};
        std::function<void(node const&)> probe = [&](node const& it)
        {
            send_request(loop_, it.ip + ":" + std::to_string(health_port_),
                         "GET", "/ready", {}, "", 500,
                         [&](http_reply const& got)
                         {
                             if (got.status == 200)
                             {
                                 ++ready;
                                 return;
                             }
                             loop_.after(100, [&] { probe(it); });
                         });
        };
        for (auto const& it : nodes_)
        {
            if (it.role == "entry")
            {
                probe(it);
            }
        }
        return loop_.wait(10000, [&] { return ready == 3; });
    }

    [[nodiscard]] auto control(std::size_t n) const -> std::string
    {
        return nodes_[n].ip + ":" + std::to_string(http_port_);
    }
    [[nodiscard]] auto controls() const -> std::vector<std::string>
    {
        return {control(0), control(1), control(2)};
    }
    [[nodiscard]] auto front(std::size_t n) const -> std::string
    {
        return nodes_[3 + n].ip + ":" + std::to_string(http_port_);
    }
    [[nodiscard]] auto intake(std::size_t n) const -> std::string
    {
        return nodes_[3 + n].ip + ":" + std::to_string(intake_port_);
    }
    /// Address for a stand-in worker.
    [[nodiscard]] auto worker_address(int n) const -> std::string
    {
        return ip(100 + n) + ":" + std::to_string(worker_port_);
    }
    auto entry(std::size_t n) -> node& { return nodes_[3 + n]; }
    auto control_node(std::size_t n) -> node& { return nodes_[n]; }

    /// Number of the control process that said last that it leads; 3 if none.
    auto leader() const -> std::size_t
    {
        std::size_t out{3};
        std::string latest;
        for (std::size_t n = 0; n < 3; ++n)
        {
            std::ifstream in{folder_ / (nodes_[n].name + ".log")};
            std::string line;
            while (std::getline(in, line))
            {
                auto const is_leader =
                    line.find("\"event\":\"role\",\"role\":\"leader\"") !=
                    std::string::npos;
                auto const time = line.substr(0, line.find(','));
                if (is_leader && time > latest)
                {
                    latest = time;
                    out = n;
                }
            }
        }
        return out;
    }

    auto freeze(node const& it) -> void
    {
        record_.line("freeze   " + it.name);
        ::kill(it.pid, SIGSTOP);
    }
    auto thaw(node const& it) -> void
    {
        record_.line("thaw     " + it.name);
        ::kill(it.pid, SIGCONT);
    }
    /// Kills a process without a word.
    auto kill(node& it) -> void
    {
        record_.line("kill     " + it.name);
        ::kill(it.pid, SIGKILL);
        ::waitpid(it.pid, nullptr, 0);
        it.pid = -1;
    }
    /// Empties the disk of a process that does not run, and gives it the
    /// settings of a machine that comes back without its disk.
    auto wipe(node const& it) -> void
    {
        record_.line("wipe     " + it.name);
        auto const data = folder_ / (it.name + ".data");
        std::filesystem::remove_all(data);
        std::filesystem::create_directories(data);
        auto const path = folder_ / (it.name + ".yaml");
        auto text = read(path);
        std::string const founds{"found_group: true"};
        if (auto const at = text.find(founds); at != std::string::npos)
        {
            text.replace(at, founds.size(), "found_group: false");
        }
        std::ofstream{path} << text;
    }
    auto spawn(node& it) -> void
    {
        auto const log = (folder_ / (it.name + ".log")).string();
        auto const settings = (folder_ / (it.name + ".yaml")).string();
        it.pid = ::fork();
        if (it.pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            auto const fd =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl("target/apricotlb", "target/apricotlb", it.role.c_str(),
                    settings.c_str(), nullptr);
            ::_exit(127);
        }
    }
    /// True if every process that was started and not killed still runs. The
    /// end of one is recorded.
    auto all_run() -> bool
    {
        for (auto& it : nodes_)
        {
            int status{0};
            if (it.pid > 0 && ::waitpid(it.pid, &status, WNOHANG) != 0)
            {
                record_.line(
                    "ended    " + it.name +
                    (WIFSIGNALED(status)
                         ? " by signal " + std::to_string(WTERMSIG(status))
                         : " with status " +
                               std::to_string(WEXITSTATUS(status))));
                it.pid = -1;
                has_ended_ = true;
            }
        }
        return !has_ended_;
    }

    /// Starts the processes that have ended by themselves again, as the
    /// platform does; returns how many.
    auto restart_ended() -> int
    {
        auto out = 0;
        (void)all_run();
        for (auto& it : nodes_)
        {
            if (it.pid < 0)
            {
                spawn(it);
                ++out;
            }
        }
        has_ended_ = false;
        return out;
    }

    /// Calls an entry process as a client does.
    auto call(std::size_t front_number, std::string const& method,
              std::string const& id, std::string const& body,
              std::function<void(http_reply)> done) -> void
    {
        send_request(
            loop_, front(front_number), method, "/jobs/" + id,
            {{"Host", "jobs.example"}, {"Timeout-Ms", "3000"}}, body, 3000,
            [this, front_number, method, id,
             done = std::move(done)](http_reply const& it)
            {
                record_.line(method + " " + id + " at " +
                             entry(front_number).name + ": " +
                             std::to_string(it.status) + " " + it.body);
                done(it);
            });
    }

private:
    [[nodiscard]] auto ip(int n) const -> std::string
    {
        return "127." + std::to_string(net_ / 256) + "." +
               std::to_string(net_ % 256) + "." + std::to_string(n);
    }

    /// Addresses of a network of the loopback range that nobody uses now.
    auto choose_ports() -> void
    {
        net_ = 256 + static_cast<int>(::getpid() % 60000);
        http_port_ = free_port();
        health_port_ = free_port();
        intake_port_ = free_port();
        worker_port_ = free_port();
        peer_port_ = free_port();
    }
    auto free_port() -> int
    {
        http_server probe{loop_, {}};
        if (!probe.listen(ip(1) + ":0"))
        {
            throw std::runtime_error{"no free port"};
        }
        return probe.port();
    }

    auto add(std::string const& role, int n) -> void
    {
        node it{role + "-" + std::to_string(n), role, "z" + std::to_string(n),
                ip(role == "control" ? n : 10 + n), -1};
        auto text = read("deploy/" + role + ".yaml.in");
        auto const port = [](int value) { return std::to_string(value); };
        auto const http = it.ip + ":" + port(http_port_);
        std::string const seeds =
            "\"" + ip(1) + ":" + port(http_port_) + "\", \"" + ip(2) + ":" +
            port(http_port_) + "\", \"" + ip(3) + ":" + port(http_port_) + "\"";
        for (auto const& [from, to] :
             std::vector<std::pair<std::string, std::string>>{
                 {"{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds},
                 {"{{node_name}}", it.name},
                 {"{{region}}", "r1"},
                 {"{{zone}}", it.zone},
                 {"{{data_dir}}", (folder_ / (it.name + ".data")).string()},
                 {"{{ip}}:{{port_range.0}}", it.ip + ":" + port(peer_port_)},
                 {"{{ip}}:{{port_range.1}}", it.ip + ":" + port(intake_port_)},
                 {"{{listen_addrs.control}}", http},
                 {"{{listen_addrs.front}}", http},
                 {"{{listen_addrs.readiness_addr}}",
                  it.ip + ":" + port(health_port_)},
                 {"{{bootstrap}}", "true"},
                 {"{{fault_tolerance.machines}}", "1"},
                 {"{{bounds.max_hold_ms}}", "6000"},
                 {"{{limits.disk_mb}}", "128"}})
        {
            for (auto at = text.find(from); at != std::string::npos;
                 at = text.find(from))
            {
                text.replace(at, from.size(), to);
            }
        }
        if (text.find("{{") != std::string::npos)
        {
            throw std::runtime_error{"the settings template has changed"};
        }
        std::filesystem::create_directories(folder_ / (it.name + ".data"));
        std::ofstream{folder_ / (it.name + ".yaml")} << text;
        nodes_.push_back(std::move(it));
    }

    static auto read(std::string const& path) -> std::string
    {
        std::ifstream in{path};
        std::stringstream out;
        out << in.rdbuf();
        return out.str();
    }

    static auto config() -> std::string
    {
        return json{{"version", 1},
                    {"routes",
                     {{{"name", "jobs"},
                       {"host", "jobs.example"},
                       {"path_prefix", "/jobs/"},
                       {"kind", "non_idempotent"},
                       {"timeout_ms", 3000},
                       {"target_duration_ms", 1000},
                       {"priority", 0},
                       {"service", "pool"},
                       {"max_attempts", 4},
                       {"stretch", 2.0}}}},
                    {"services",
                     {{{"name", "pool"},
                       {"health_path", "/health"},
                       {"max_conns", 64},
                       {"protocol", "h1"},
                       {"tls", false},
                       {"rejects_overload", true},
                       {"standby", false}}}},
                    {"limits",
                     {{"max_header_bytes", 16384},
                      {"max_body_bytes", 262144},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}}}}
            .dump();
    }

    event_loop& loop_;
    record_file& record_;
    std::filesystem::path folder_;
    int net_{0};
    int http_port_{0};
    int health_port_{0};
    int intake_port_{0};
    int worker_port_{0};
    int peer_port_{0};
    std::vector<node> nodes_;
    bool has_ended_{false};
};

/// Body of a job with one step of equal tasks of one core each.
inline auto job_body(int tasks, std::string const& spec, bool lasts)
    -> std::string
{
    json step{{"count", tasks},
              {"cpu", 1000},
              {"mem_mb", 100},
              {"estimate_ms", 1000}};
    if (lasts)
    {
        step["long_running"] = true;
    }
    return json{{"spec", spec}, {"steps", {step}}}.dump();
}

/// False with TROUBLE=0.
inline auto has_trouble() -> bool
{
    auto const* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

enum exit_status : int
{
    held = 0,
    broken = 1,
    could_not_run = 2,
};

/// Reports the outcome of a case for the rule TWICE.
inline auto conclude(ledger const& all, record_file& record) -> exit_status
{
    auto const verdict = all.breaks().empty()
                             ? std::string{"TWICE was kept"}
                             : "TWICE was broken " +
                                   std::to_string(all.breaks().size()) +
                                   " times";
    record.line(verdict);
    std::cout << verdict << '\n';
    if (!all.breaks().empty())
    {
        std::cout << all.breaks().front() << '\n';
    }
    return all.breaks().empty() ? held : broken;
}

} // namespace review

#endif
