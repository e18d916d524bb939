#include "adapters/posix_files.hpp"

#include "adapters/uv_source.hpp"

#include <cerrno>
#include <filesystem>
#include <map>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <uv.h>

namespace apricotlb
{

namespace
{

constexpr mode_t file_mode = 0600;

auto failed(std::string const& what, std::error_code ec)
{
    auto const full =
        ec == std::errc::no_space_on_device || ec.value() == EDQUOT;
    return fail(full ? error_kind::disk_full : error_kind::disk_failed,
                what + ": " + ec.message());
}

auto last_error() -> std::error_code
{
    return {errno, std::generic_category()};
}

auto open_file(file_path const& path, int flags) -> result<file_handle>
{
    auto const fd = ::open(path.value().c_str(), flags | O_CLOEXEC, file_mode);
    if (fd < 0)
    {
        return failed("open " + path.value(), last_error());
    }
    return file_handle{fd};
}

auto library_error(ssize_t it) -> std::error_code
{
    return {static_cast<int>(-it), std::generic_category()};
}

} // namespace

struct posix_files::operations
{
    /// Bytes that are being appended to a file and made durable.
    struct append
    {
        uv_fs_t request{};
        operations* owner{nullptr};
        file_handle file;
        std::string bytes;
        std::size_t written{0};
        std::function<void(result<void>)> done;
        bool is_closed{false}; ///< the file, by the user of this port
    };

    std::map<file_handle, append> appends;
    uv_source source; ///< its destructor waits for the appends

    static auto owner_of(uv_fs_t* request) -> append&
    {
        return *static_cast<append*>(request->data);
    }

    static auto start_write(append& it) -> void
    {
        auto const buf =
            uv_buf_init(it.bytes.data() + it.written,
                        static_cast<unsigned>(it.bytes.size() - it.written));
        auto const ec = uv_fs_write(
            it.owner->source.loop(), &it.request, it.file.value(), &buf, 1, -1,
            [](uv_fs_t* request) { end_write(owner_of(request)); });
        if (ec != 0)
        {
            end(it, failed("write", library_error(ec)));
        }
    }

    static auto end_write(append& it) -> void
    {
        auto const n = it.request.result;
        uv_fs_req_cleanup(&it.request);
        if (n < 0)
        {
            end(it, failed("write", library_error(n)));
            return;
        }
        it.written += static_cast<std::size_t>(n);
        if (it.written < it.bytes.size())
        {
            start_write(it);
            return;
        }
        auto const ec = uv_fs_fdatasync(
            it.owner->source.loop(), &it.request, it.file.value(),
            [](uv_fs_t* request) { end_sync(owner_of(request)); });
        if (ec != 0)
        {
            end(it, failed("sync", library_error(ec)));
        }
    }

    static auto end_sync(append& it) -> void
    {
        auto const n = it.request.result;
        uv_fs_req_cleanup(&it.request);
        if (n < 0)
        {
            end(it, failed("sync", library_error(n)));
            return;
        }
        end(it, outcome::success());
    }

    static auto end(append& it, result<void> ended) -> void
    {
        auto const node = it.owner->appends.extract(it.file);
        if (node.mapped().is_closed)
        {
            ::close(node.key().value());
            return;
        }
        if (node.mapped().done)
        {
            node.mapped().done(std::move(ended));
        }
    }
};

posix_files::posix_files()
{
    uv_source::limit_threads();
}

posix_files::~posix_files()
{
    if (operations_)
    {
        for (auto& [file, it] : operations_->appends)
        {
            it.done = {};
        }
    }
}

auto posix_files::make_folder(file_path const& path) -> result<void>
{
    std::error_code ec;
    std::filesystem::create_directories(path.value(), ec);
    if (ec)
    {
        return failed("create folder " + path.value(), ec);
    }
    return outcome::success();
}

auto posix_files::lock(file_path const& path) -> result<file_handle>
{
    BOOST_OUTCOME_TRY(file, open_file(path, O_RDWR | O_CREAT));
    if (::flock(file.value(), LOCK_EX | LOCK_NB) != 0)
    {
        auto const ec = last_error();
        close(file);
        if (ec.value() == EWOULDBLOCK)
        {
            return fail(error_kind::data_folder_locked,
                        "another process holds " + path.value());
        }
        return failed("lock " + path.value(), ec);
    }
    return file;
}

auto posix_files::list(file_path const& path)
    -> result<std::vector<std::string>>
{
    std::vector<std::string> out;
    std::error_code ec;
    std::filesystem::directory_iterator it{path.value(), ec};
    for (; !ec && it != std::filesystem::directory_iterator{}; it.increment(ec))
    {
        out.push_back(it->path().filename().string());
    }
    if (ec)
    {
        return failed("list " + path.value(), ec);
    }
    return out;
}

auto posix_files::read(file_path const& path) -> result<std::string>
{
    BOOST_OUTCOME_TRY(file, open_file(path, O_RDONLY));
    struct stat info
    {
    };
    std::string out;
    auto n = ::fstat(file.value(), &info);
    if (n == 0)
    {
        out.resize(static_cast<std::size_t>(info.st_size));
        std::size_t done{0};
        while (done < out.size())
        {
            auto const got =
                ::read(file.value(), out.data() + done, out.size() - done);
            if (got <= 0)
            {
                if (got < 0 && errno == EINTR)
                {
                    continue;
                }
                n = got < 0 ? -1 : 0;
                break;
            }
            done += static_cast<std::size_t>(got);
        }
        out.resize(done);
    }
    auto const ec = last_error();
    close(file);
    if (n != 0)
    {
        return failed("read " + path.value(), ec);
    }
    return out;
}

auto posix_files::create(file_path const& path) -> result<file_handle>
{
    return open_file(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
}

auto posix_files::open(file_path const& path) -> result<file_handle>
{
    return open_file(path, O_WRONLY | O_APPEND);
}

auto posix_files::write(file_handle file, std::string_view bytes)
    -> result<void>
{
    while (!bytes.empty())
    {
        auto const n = ::write(file.value(), bytes.data(), bytes.size());
        if (n < 0 && errno != EINTR)
        {
            return failed("write", last_error());
        }
        bytes.remove_prefix(n < 0 ? 0 : static_cast<std::size_t>(n));
    }
    return outcome::success();
}

auto posix_files::sync(file_handle file) -> result<void>
{
    if (::fdatasync(file.value()) != 0)
    {
        return failed("sync", last_error());
    }
    return outcome::success();
}

auto posix_files::truncate(file_handle file, byte_count size) -> result<void>
{
    if (::ftruncate(file.value(), size.value()) != 0)
    {
        return failed("truncate", last_error());
    }
    return outcome::success();
}

auto posix_files::start_append(file_handle file, std::string bytes,
                               std::function<void(result<void>)> done) -> void
{
    if (!operations_)
    {
        auto made = std::make_unique<operations>();
        if (auto opened = made->source.open(); !opened)
        {
            done(std::move(opened));
            return;
        }
        operations_ = std::move(made);
    }
    auto& it = operations_->appends[file];
    it.request.data = &it;
    it.owner = operations_.get();
    it.file = file;
    it.bytes = std::move(bytes);
    it.done = std::move(done);
    operations::start_write(it);
}

auto posix_files::close(file_handle file) -> void
{
    // The library may use the descriptor on its thread, so that the number
    // must not be given to another file yet.
    if (operations_)
    {
        auto const found = operations_->appends.find(file);
        if (found != operations_->appends.end())
        {
            found->second.is_closed = true;
            return;
        }
    }
    ::close(file.value());
}

auto posix_files::rename(file_path const& from, file_path const& to)
    -> result<void>
{
    std::error_code ec;
    std::filesystem::rename(from.value(), to.value(), ec);
    if (ec)
    {
        return failed("rename " + from.value(), ec);
    }
    return outcome::success();
}

auto posix_files::remove(file_path const& path) -> result<void>
{
    std::error_code ec;
    std::filesystem::remove(path.value(), ec);
    if (ec)
    {
        return failed("remove " + path.value(), ec);
    }
    return outcome::success();
}

auto posix_files::sync_folder(file_path const& path) -> result<void>
{
    BOOST_OUTCOME_TRY(file, open_file(path, O_RDONLY | O_DIRECTORY));
    auto const done = ::fsync(file.value());
    auto const ec = last_error();
    close(file);
    if (done != 0)
    {
        return failed("sync folder " + path.value(), ec);
    }
    return outcome::success();
}

} // namespace apricotlb
