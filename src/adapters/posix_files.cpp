#include "adapters/posix_files.hpp"

#include "adapters/uv_source.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <list>
#include <optional>
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

constexpr auto create_flags =
    O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC;

auto describe_failure(std::string const& what, std::error_code ec) -> error
{
    auto const full =
        ec == std::errc::no_space_on_device || ec.value() == EDQUOT;
    return {full ? error_kind::disk_full : error_kind::disk_failed,
            what + ": " + ec.message()};
}

auto failed(std::string const& what, std::error_code ec)
{
    return outcome::failure(describe_failure(what, ec));
}

auto without_file(std::function<void(result<void>)> done)
    -> std::function<void(result<file_handle>)>
{
    return [done = std::move(done)](result<file_handle> const& it) {
        done(it ? result<void>{outcome::success()}
                : outcome::failure(it.error()));
    };
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

} // namespace

struct posix_files::operations
{
    enum class step : std::uint8_t
    {
        create,
        write,
        sync,
        rename,
        open_folder,
        sync_folder,
        close_folder,
    };

    /// Steps that the library takes one after the other.
    struct task
    {
        uv_fs_t request{};
        operations* owner{nullptr};
        std::deque<step> steps;
        file_handle file{-1};
        file_path path;
        file_path target; ///< of a rename
        file_path folder;
        file_handle opened_folder{-1};
        std::string bytes;
        std::size_t written{0};
        std::optional<error> failed;
        std::function<void(result<file_handle>)> done;
        bool is_closed{false}; ///< the file, by the user of this port
    };

    std::list<task> tasks;
    uv_source source; ///< its destructor waits for the tasks

    auto start(task it) -> void
    {
        tasks.push_back(std::move(it));
        auto& added = tasks.back();
        added.request.data = &added;
        added.owner = this;
        take_step(added);
    }

    /// The task that uses the file, if there is one.
    auto find(file_handle file) -> task*
    {
        auto const it = std::ranges::find(tasks, file, &task::file);
        return it == tasks.end() ? nullptr : &*it;
    }

    static auto take_step(task& it) -> void
    {
        if (it.steps.empty())
        {
            end(it);
            return;
        }
        auto const ec = request(it);
        if (ec != 0)
        {
            it.request.result = ec;
            end_step(it);
        }
    }

    static auto request(task& it) -> int
    {
        auto* const loop = it.owner->source.loop();
        auto* const to = &it.request;
        auto const on_end = [](uv_fs_t* ended)
        { end_step(*static_cast<task*>(ended->data)); };
        switch (it.steps.front())
        {
        case step::create:
            return uv_fs_open(loop, to, it.path.value().c_str(), create_flags,
                              file_mode, on_end);
        case step::write:
        {
            auto const buf = uv_buf_init(
                it.bytes.data() + it.written,
                static_cast<unsigned>(it.bytes.size() - it.written));
            return uv_fs_write(loop, to, it.file.value(), &buf, 1, -1, on_end);
        }
        case step::sync:
            return uv_fs_fdatasync(loop, to, it.file.value(), on_end);
        case step::rename:
            return uv_fs_rename(loop, to, it.path.value().c_str(),
                                it.target.value().c_str(), on_end);
        case step::open_folder:
            return uv_fs_open(loop, to, it.folder.value().c_str(),
                              O_RDONLY | O_DIRECTORY, 0, on_end);
        case step::sync_folder:
            return uv_fs_fsync(loop, to, it.opened_folder.value(), on_end);
        case step::close_folder:
            break;
        }
        return uv_fs_close(loop, to, it.opened_folder.value(), on_end);
    }

    static auto end_step(task& it) -> void
    {
        auto const n = it.request.result;
        uv_fs_req_cleanup(&it.request);
        auto const done = it.steps.front();
        it.steps.pop_front();
        if (n < 0)
        {
            it.failed = it.failed ? it.failed : describe(it, done, n);
            // A folder that was opened is closed all the same.
            auto const is_open = it.opened_folder != file_handle{-1} &&
                                 done != step::close_folder;
            it.steps =
                is_open ? std::deque{step::close_folder} : std::deque<step>{};
        }
        else if (done == step::create)
        {
            it.file = file_handle{static_cast<int>(n)};
        }
        else if (done == step::open_folder)
        {
            it.opened_folder = file_handle{static_cast<int>(n)};
        }
        else if (done == step::write)
        {
            it.written += static_cast<std::size_t>(n);
            if (it.written < it.bytes.size())
            {
                it.steps.push_front(step::write);
            }
        }
        take_step(it);
    }

    static auto describe(task const& it, step at, ssize_t ec) -> error
    {
        auto const what = [&]() -> std::string
        {
            switch (at)
            {
            case step::create:
                return "open " + it.path.value();
            case step::write:
                return "write";
            case step::sync:
                return "sync";
            case step::rename:
                return "rename " + it.path.value();
            case step::open_folder:
            case step::sync_folder:
            case step::close_folder:
                break;
            }
            return "sync folder " + it.folder.value();
        }();
        return describe_failure(
            what, {static_cast<int>(-ec), std::generic_category()});
    }

    static auto end(task& it) -> void
    {
        auto& tasks = it.owner->tasks;
        std::list<task> ended;
        ended.splice(ended.begin(), tasks,
                     std::ranges::find(tasks, &it,
                                       [](task const& each) { return &each; }));
        if (it.is_closed)
        {
            ::close(it.file.value());
            return;
        }
        auto const is_made_here =
            !it.path.value().empty() && it.file != file_handle{-1};
        if (is_made_here && (it.failed || !it.done))
        {
            ::close(it.file.value());
        }
        if (it.done)
        {
            it.done(it.failed
                        ? result<file_handle>{outcome::failure(*it.failed)}
                        : result<file_handle>{it.file});
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
        for (auto& it : operations_->tasks)
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
    return open_file(path, create_flags);
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

auto posix_files::open_operations() -> result<void>
{
    if (!operations_)
    {
        auto made = std::make_unique<operations>();
        BOOST_OUTCOME_TRYV(made->source.open());
        operations_ = std::move(made);
    }
    return outcome::success();
}

auto posix_files::start_append(file_handle file, std::string bytes,
                               std::function<void(result<void>)> done) -> void
{
    if (auto opened = open_operations(); !opened)
    {
        done(std::move(opened));
        return;
    }
    operations::task it;
    it.steps = {operations::step::write, operations::step::sync};
    it.file = file;
    it.bytes = std::move(bytes);
    it.done = without_file(std::move(done));
    operations_->start(std::move(it));
}

auto posix_files::start_file(file_path const& path, file_path const& folder,
                             std::string bytes,
                             std::function<void(result<file_handle>)> done)
    -> void
{
    if (auto const opened = open_operations(); !opened)
    {
        done(outcome::failure(opened.error()));
        return;
    }
    operations::task it;
    it.steps = {operations::step::create,      operations::step::write,
                operations::step::sync,        operations::step::open_folder,
                operations::step::sync_folder, operations::step::close_folder};
    it.path = path;
    it.folder = folder;
    it.bytes = std::move(bytes);
    it.done = std::move(done);
    operations_->start(std::move(it));
}

auto posix_files::start_rename(file_path const& from, file_path const& to,
                               file_path const& folder,
                               std::function<void(result<void>)> done) -> void
{
    if (auto opened = open_operations(); !opened)
    {
        done(std::move(opened));
        return;
    }
    operations::task it;
    it.steps = {operations::step::rename, operations::step::open_folder,
                operations::step::sync_folder, operations::step::close_folder};
    it.path = from;
    it.target = to;
    it.folder = folder;
    it.done = without_file(std::move(done));
    operations_->start(std::move(it));
}

auto posix_files::close(file_handle file) -> void
{
    // The library may use the descriptor on its thread, so that the number
    // must not be given to another file yet.
    if (auto* const it = operations_ ? operations_->find(file) : nullptr)
    {
        it->is_closed = true;
        return;
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
