/// Port: the file operations used by storage.
#ifndef APRICOTLB_PORTS_FILE_SYSTEM_HPP
#define APRICOTLB_PORTS_FILE_SYSTEM_HPP

#include <apricotlb/result.hpp>
#include <apricotlb/strong.hpp>
#include <apricotlb/units.hpp>

#include <concepts>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotlb
{

using file_path = strong<struct file_path_tag, std::string>;
using file_handle = strong<struct file_handle_tag, int>;

/// Operations fail with disk_full or disk_failed, lock also with
/// data_folder_locked.
template <class T>
concept file_system_port =
    requires(T& it, file_path const& path, file_handle file,
             std::string_view bytes, byte_count size, std::string owned,
             std::function<void(result<void>)> done,
             std::function<void(result<file_handle>)> made) {
        // Creates the folder if it is missing.
        {
            it.make_folder(path)
        } -> std::same_as<result<void>>;
        // Creates the file and locks it against other processes until close.
        {
            it.lock(path)
        } -> std::same_as<result<file_handle>>;
        // Names of the files in a folder.
        {
            it.list(path)
        } -> std::same_as<result<std::vector<std::string>>>;
        {
            it.read(path)
        } -> std::same_as<result<std::string>>;
        // Creates or empties a file and opens it for appending.
        {
            it.create(path)
        } -> std::same_as<result<file_handle>>;
        // Opens an existing file for appending.
        {
            it.open(path)
        } -> std::same_as<result<file_handle>>;
        // Appends all of the bytes.
        {
            it.write(file, bytes)
        } -> std::same_as<result<void>>;
        // Makes the contents of the file durable.
        {
            it.sync(file)
        } -> std::same_as<result<void>>;
        // Appends all of the bytes, makes the contents durable, and calls back
        // in a later turn of the loop; one such call for a file at a time.
        // After close the call ends without calling back.
        {
            it.start_append(file, std::move(owned), std::move(done))
        } -> std::same_as<void>;
        // Creates or empties a file of a folder, appends the bytes, makes both
        // durable, and calls back in a later turn of the loop.
        {
            it.start_file(path, path, std::move(owned), std::move(made))
        } -> std::same_as<void>;
        // Renames a file of a folder, makes this durable, and calls back in a
        // later turn of the loop.
        {
            it.start_rename(path, path, path, std::move(done))
        } -> std::same_as<void>;
        {
            it.truncate(file, size)
        } -> std::same_as<result<void>>;
        {
            it.close(file)
        } -> std::same_as<void>;
        {
            it.rename(path, path)
        } -> std::same_as<result<void>>;
        {
            it.remove(path)
        } -> std::same_as<result<void>>;
        // Makes created, renamed and removed files of the folder durable.
        {
            it.sync_folder(path)
        } -> std::same_as<result<void>>;
    };

} // namespace apricotlb

#endif
