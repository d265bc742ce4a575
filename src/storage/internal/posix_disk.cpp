#include "storage/posix_disk.h"

#include <cerrno>
#include <cstring>
#include <map>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace hickorymount::storage {

namespace {

constexpr mode_t folder_mode = 0750;
constexpr mode_t file_mode = 0640;
constexpr std::size_t read_block_bytes = 1 << 16;

/// Owns one file descriptor; -1 stands for none.
class file_descriptor
{
public:
    explicit file_descriptor(int value) : m_value(value) {}
    file_descriptor(file_descriptor&& other) noexcept : m_value(std::exchange(other.m_value, -1)) {}
    file_descriptor(const file_descriptor&) = delete;
    file_descriptor& operator=(const file_descriptor&) = delete;
    file_descriptor& operator=(file_descriptor&&) = delete;
    ~file_descriptor()
    {
        if (m_value >= 0) {
            ::close(m_value);
        }
    }

    [[nodiscard]] int value() const { return m_value; }
    [[nodiscard]] bool is_open() const { return m_value >= 0; }

private:
    int m_value;
};

leaf::error_id fail_with_errno(const char* step, const std::string& file)
{
    return fail(step, file, std::strerror(errno));
}

result<void> write_all(int descriptor, std::string_view bytes, const std::string& file)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return fail_with_errno("write", file);
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

class posix_disk final : public disk
{
public:
    posix_disk(std::string path, file_descriptor folder)
        : m_path(std::move(path)), m_folder(std::move(folder))
    {
    }

    result<std::optional<std::string>> read(const std::string& name) override
    {
        const file_descriptor file(::openat(m_folder.value(), name.c_str(), O_RDONLY | O_CLOEXEC));
        if (!file.is_open() && errno == ENOENT) {
            return std::optional<std::string>{};
        }
        if (!file.is_open()) {
            return fail_with_errno("open", full_path(name));
        }
        std::string bytes;
        std::string block(read_block_bytes, '\0');
        for (;;) {
            const ssize_t read_count = ::read(file.value(), block.data(), block.size());
            if (read_count < 0 && errno == EINTR) {
                continue;
            }
            if (read_count < 0) {
                return fail_with_errno("read", full_path(name));
            }
            if (read_count == 0) {
                return std::optional(std::move(bytes));
            }
            bytes.append(block, 0, static_cast<std::size_t>(read_count));
        }
    }

    result<void> append(const std::string& name, std::string_view bytes) override
    {
        BOOST_LEAF_AUTO(descriptor, open_for_append(name));
        return write_all(descriptor, bytes, full_path(name));
    }

    result<void> truncate(const std::string& name, std::uint64_t bytes) override
    {
        BOOST_LEAF_AUTO(descriptor, open_for_append(name));
        if (::ftruncate(descriptor, static_cast<off_t>(bytes)) != 0) {
            return fail_with_errno("truncate", full_path(name));
        }
        return {};
    }

    result<void> sync(const std::string& name) override
    {
        BOOST_LEAF_AUTO(descriptor, open_for_append(name));
        if (::fdatasync(descriptor) != 0) {
            return fail_with_errno("sync", full_path(name));
        }
        return {};
    }

    result<void> replace(const std::string& name, std::string_view bytes) override
    {
        const std::string temporary_name = name + ".next";
        result<void> replaced = replace_by(temporary_name, name, bytes);
        if (!replaced) {
            // An incomplete copy would take space that the next attempt needs.
            ::unlinkat(m_folder.value(), temporary_name.c_str(), 0);
        }
        return replaced;
    }

private:
    [[nodiscard]] std::string full_path(const std::string& name) const { return m_path + "/" + name; }

    result<void> replace_by(const std::string& temporary_name, const std::string& name,
                            std::string_view bytes)
    {
        const file_descriptor file(::openat(m_folder.value(), temporary_name.c_str(),
                                            O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode));
        if (!file.is_open()) {
            return fail_with_errno("open", full_path(temporary_name));
        }
        BOOST_LEAF_CHECK(write_all(file.value(), bytes, full_path(temporary_name)));
        if (::fsync(file.value()) != 0) {
            return fail_with_errno("sync", full_path(temporary_name));
        }
        if (::renameat(m_folder.value(), temporary_name.c_str(), m_folder.value(), name.c_str()) != 0) {
            return fail_with_errno("rename", full_path(name));
        }
        m_append_files.erase(name);
        return sync_folder();
    }

    result<void> sync_folder()
    {
        if (::fsync(m_folder.value()) != 0) {
            return fail_with_errno("sync", m_path);
        }
        return {};
    }

    result<int> open_for_append(const std::string& name)
    {
        const auto found = m_append_files.find(name);
        if (found != m_append_files.end()) {
            return found->second.value();
        }
        file_descriptor file(
            ::openat(m_folder.value(), name.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode));
        if (!file.is_open()) {
            return fail_with_errno("open", full_path(name));
        }
        BOOST_LEAF_CHECK(sync_folder());
        return m_append_files.emplace(name, std::move(file)).first->second.value();
    }

    std::string m_path;
    file_descriptor m_folder;
    std::map<std::string, file_descriptor> m_append_files;
};

} // namespace

result<std::unique_ptr<disk>> open_posix_disk(const std::string& folder)
{
    if (::mkdir(folder.c_str(), folder_mode) != 0 && errno != EEXIST) {
        return fail_with_errno("create", folder);
    }
    file_descriptor directory(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!directory.is_open()) {
        return fail_with_errno("open", folder);
    }
    if (::flock(directory.value(), LOCK_EX | LOCK_NB) != 0) {
        return fail("lock", folder, "another process holds the data folder");
    }
    return std::unique_ptr<disk>(std::make_unique<posix_disk>(folder, std::move(directory)));
}

} // namespace hickorymount::storage
