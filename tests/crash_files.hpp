/// File system port in memory that fails, is full or loses power at a chosen
/// call.
#ifndef APRICOTLB_TESTS_CRASH_FILES_HPP
#define APRICOTLB_TESTS_CRASH_FILES_HPP

#include "ports/file_system.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotlb
{

class crash_files
{
public:
    struct file
    {
        std::string durable;
        std::string current;
    };

    std::map<std::string, std::shared_ptr<file>> names;
    std::map<std::string, std::shared_ptr<file>> durable_names;
    std::size_t calls{0};
    std::size_t waits{0}; ///< syncs that the caller waited for
    std::optional<std::size_t> fail_at;
    bool once{false}; ///< only that call fails; else the power is gone
    /// First and last call during which nothing can be added.
    std::optional<std::pair<std::size_t, std::size_t>> full;
    bool locked{false};

    auto make_folder(file_path const&) -> result<void> { return step(); }
    auto lock(file_path const& path) -> result<file_handle>
    {
        if (locked)
        {
            return fail(error_kind::data_folder_locked, "locked");
        }
        BOOST_OUTCOME_TRY(created, create(path));
        locked = true;
        lock_ = created.value();
        return created;
    }
    auto list(file_path const&) -> result<std::vector<std::string>>
    {
        BOOST_OUTCOME_TRYV(step());
        std::vector<std::string> out;
        out.reserve(names.size());
        for (auto const& [name, it] : names)
        {
            out.push_back(name.substr(name.rfind('/') + 1));
        }
        return out;
    }
    auto read(file_path const& path) -> result<std::string>
    {
        BOOST_OUTCOME_TRYV(step());
        return names.at(path.value())->current;
    }
    auto create(file_path const& path) -> result<file_handle>
    {
        BOOST_OUTCOME_TRYV(step_that_adds());
        auto& it = names[path.value()];
        if (it == nullptr)
        {
            it = std::make_shared<file>();
        }
        it->current.clear();
        return open_as(it);
    }
    auto open(file_path const& path) -> result<file_handle>
    {
        BOOST_OUTCOME_TRYV(step());
        return open_as(names.at(path.value()));
    }
    auto write(file_handle to, std::string_view bytes) -> result<void>
    {
        auto done = step_that_adds();
        // A write that fails or is cut off may have reached the file in part.
        open_.at(to.value())->current +=
            done ? bytes : bytes.substr(0, dead() ? 0 : bytes.size() / 2);
        return done;
    }
    auto sync(file_handle it) -> result<void>
    {
        ++waits;
        BOOST_OUTCOME_TRYV(step_that_adds());
        open_.at(it.value())->durable = open_.at(it.value())->current;
        return outcome::success();
    }
    auto start_append(file_handle to, std::string const& bytes,
                      std::function<void(result<void>)> done) -> void
    {
        auto const waits_before = waits;
        auto written = write(to, bytes);
        auto ended = written ? sync(to) : std::move(written);
        waits = waits_before;
        later_.push_back(
            [this, to, ended = std::move(ended), done = std::move(done)]
            {
                if (open_.contains(to.value()))
                {
                    done(ended);
                }
            });
    }
    auto start_file(file_path const& path, file_path const& folder,
                    std::string const& bytes,
                    std::function<void(result<file_handle>)> done) -> void
    {
        auto const waits_before = waits;
        auto made = create(path);
        if (made)
        {
            auto ended = write(made.value(), bytes);
            ended = ended ? sync(made.value()) : std::move(ended);
            ended = ended ? sync_folder(folder) : std::move(ended);
            if (!ended)
            {
                close(made.value());
                made = outcome::failure(ended.error());
            }
        }
        waits = waits_before;
        later_.push_back([made, done = std::move(done)] { done(made); });
    }
    auto start_rename(file_path const& from, file_path const& to,
                      file_path const& folder,
                      std::function<void(result<void>)> done) -> void
    {
        auto const waits_before = waits;
        auto ended = rename(from, to);
        ended = ended ? sync_folder(folder) : std::move(ended);
        waits = waits_before;
        later_.push_back([ended, done = std::move(done)] { done(ended); });
    }
    /// Ends what was started, as later turns of the loop do.
    auto turn() -> void
    {
        while (!later_.empty())
        {
            for (auto const& it : std::exchange(later_, {}))
            {
                it();
            }
        }
    }
    auto truncate(file_handle it, byte_count size) -> result<void>
    {
        BOOST_OUTCOME_TRYV(step());
        open_.at(it.value())
            ->current.resize(static_cast<std::size_t>(size.value()));
        return outcome::success();
    }
    auto close(file_handle it) -> void
    {
        open_.erase(it.value());
        locked = locked && it.value() != lock_;
    }
    auto rename(file_path const& from, file_path const& to) -> result<void>
    {
        BOOST_OUTCOME_TRYV(step_that_adds());
        names[to.value()] = names.extract(from.value()).mapped();
        return outcome::success();
    }
    auto remove(file_path const& path) -> result<void>
    {
        BOOST_OUTCOME_TRYV(step());
        names.erase(path.value());
        return outcome::success();
    }
    auto sync_folder(file_path const&) -> result<void>
    {
        ++waits;
        BOOST_OUTCOME_TRYV(step_that_adds());
        durable_names = names;
        return outcome::success();
    }

    /// What the disk holds after a loss of power: each unsynced name is old or
    /// new, and of unsynced bytes any part, with holes of zeros.
    auto lose_power(std::mt19937_64& random) -> void
    {
        auto all = names;
        all.insert(durable_names.begin(), durable_names.end());
        for (auto const& [name, ignored] : all)
        {
            auto const& chosen = random() % 2 == 0 ? names : durable_names;
            if (auto const it = chosen.find(name); it != chosen.end())
            {
                all[name] = it->second;
            }
            else
            {
                all[name] = nullptr;
            }
        }
        std::erase_if(all, [](auto const& it) { return it.second == nullptr; });
        for (auto const& [name, it] : all)
        {
            auto const kept = it->durable.size();
            if (!it->current.starts_with(it->durable))
            {
                it->current = random() % 2 == 0 ? it->current : it->durable;
            }
            else if (auto const n = it->current.size() - kept; n > 0)
            {
                it->current.resize(kept + random() % (n + 1));
                if (it->current.size() > kept && random() % 2 == 0)
                {
                    auto const hole =
                        kept + random() % (it->current.size() - kept);
                    auto const size =
                        random() % (it->current.size() - hole) + 1;
                    it->current.replace(hole, size, size, '\0');
                }
            }
            it->durable = it->current;
        }
        names = all;
        durable_names = all;
        open_.clear();
        later_.clear();
        locked = false;
        calls = 0;
        fail_at.reset();
        full.reset();
    }

private:
    auto step() -> result<void>
    {
        ++calls;
        if (fail_at && (once ? calls == *fail_at : calls >= *fail_at))
        {
            return fail(error_kind::disk_failed, "call failed");
        }
        return outcome::success();
    }
    auto step_that_adds() -> result<void>
    {
        BOOST_OUTCOME_TRYV(step());
        if (full && calls >= full->first && calls <= full->second)
        {
            return fail(error_kind::disk_full, "no space");
        }
        return outcome::success();
    }
    [[nodiscard]] auto dead() const -> bool
    {
        return fail_at && calls > *fail_at;
    }
    auto open_as(std::shared_ptr<file> it) -> file_handle
    {
        open_[next_] = std::move(it);
        return file_handle{next_++};
    }

    std::map<int, std::shared_ptr<file>> open_;
    std::vector<std::function<void()>> later_; ///< callbacks
    int next_{0};
    int lock_{-1};
};

static_assert(file_system_port<crash_files>);

} // namespace apricotlb

#endif
