/// File system port over POSIX calls, and over libuv for the operations that
/// the loop does not wait for.
#ifndef APRICOTLB_ADAPTERS_POSIX_FILES_HPP
#define APRICOTLB_ADAPTERS_POSIX_FILES_HPP

#include "ports/file_system.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{

class posix_files
{
public:
    posix_files();
    posix_files(posix_files const&) = delete;
    auto operator=(posix_files const&) -> posix_files& = delete;
    /// Waits for the operations that were started, and drops their callbacks.
    ~posix_files();

    auto make_folder(file_path const& path) -> result<void>;
    auto lock(file_path const& path) -> result<file_handle>;
    auto list(file_path const& path) -> result<std::vector<std::string>>;
    auto read(file_path const& path) -> result<std::string>;
    auto create(file_path const& path) -> result<file_handle>;
    auto open(file_path const& path) -> result<file_handle>;
    auto write(file_handle file, std::string_view bytes) -> result<void>;
    auto sync(file_handle file) -> result<void>;
    auto start_append(file_handle file, std::string bytes,
                      std::function<void(result<void>)> done) -> void;
    auto start_file(file_path const& path, file_path const& folder,
                    std::string bytes,
                    std::function<void(result<file_handle>)> done) -> void;
    auto start_rename(file_path const& from, file_path const& to,
                      file_path const& folder,
                      std::function<void(result<void>)> done) -> void;
    auto truncate(file_handle file, byte_count size) -> result<void>;
    auto close(file_handle file) -> void;
    auto rename(file_path const& from, file_path const& to) -> result<void>;
    auto remove(file_path const& path) -> result<void>;
    auto sync_folder(file_path const& path) -> result<void>;

private:
    struct operations;

    auto open_operations() -> result<void>;

    std::unique_ptr<operations> operations_; ///< since the first of them
};

static_assert(file_system_port<posix_files>);

} // namespace apricotlb

#endif
