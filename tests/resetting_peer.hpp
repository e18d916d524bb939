/// A peer whose connections end all the time, in processes of its own.
#ifndef APRICOTLB_TESTS_RESETTING_PEER_HPP
#define APRICOTLB_TESTS_RESETTING_PEER_HPP

#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <random>
#include <string>
#include <vector>

namespace apricotlb
{

/// Listens on loopback, answers the handshake of an nng push socket as a pull
/// socket does, reads a little and resets the connection.
class resetting_peer
{
public:
    explicit resetting_peer(unsigned processes)
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof to;
        auto* const at = reinterpret_cast<sockaddr*>(&to);
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        if (bind(listener_, at, size) != 0 || ::listen(listener_, 256) != 0 ||
            getsockname(listener_, at, &size) != 0)
        {
            return;
        }
        at_ = "tcp://127.0.0.1:" + std::to_string(ntohs(to.sin_port));
        auto const parent = getpid();
        for (unsigned n = 0; n < processes; ++n)
        {
            auto const it = fork();
            if (it == 0)
            {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                getppid() == parent ? serve(n) : _exit(0);
            }
            children_.push_back(it);
        }
    }
    resetting_peer(resetting_peer const&) = delete;
    auto operator=(resetting_peer const&) -> resetting_peer& = delete;
    ~resetting_peer()
    {
        for (auto const it : children_)
        {
            kill(it, SIGKILL);
            waitpid(it, nullptr, 0);
        }
        close(listener_);
    }

    [[nodiscard]] auto at() const -> std::string const& { return at_; }

private:
    [[noreturn]] auto serve(unsigned seed) const -> void
    {
        constexpr std::array<char, 8> header{0, 'S', 'P', 0, 0, 0x51, 0, 0};
        std::mt19937 random{seed};
        std::array<char, 4096> buf{};
        for (;;)
        {
            auto const fd = accept(listener_, nullptr, nullptr);
            (void)!write(fd, header.data(), header.size());
            timeval const patience{
                0, static_cast<suseconds_t>(500 + random() % 4000)};
            setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
            for (auto n = random() % 40; n > 0; --n)
            {
                if (read(fd, buf.data(), buf.size()) <= 0)
                {
                    break;
                }
            }
            linger const at_once{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            close(fd);
        }
    }

    int listener_{-1};
    std::string at_;
    std::vector<pid_t> children_;
};

} // namespace apricotlb

#endif
