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
constexpr std::size_t read_bytes = 1 << 16;

/// Owns one file descriptor.
class descriptor
{
public:
    explicit descriptor(int number) : m_number(number) {}
    descriptor(descriptor&& other) noexcept : m_number(std::exchange(other.m_number, -1)) {}
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    descriptor& operator=(descriptor&&) = delete;
    ~descriptor()
    {
        if (m_number >= 0) {
            ::close(m_number);
        }
    }

    [[nodiscard]] int number() const { return m_number; }
    [[nodiscard]] bool is_open() const { return m_number >= 0; }

private:
    int m_number;
};

leaf::error_id fail_with_errno(const char* step, const std::string& file)
{
    return fail(step, file, std::strerror(errno));
}

result<void> write_all(int number, std::string_view bytes, const std::string& file)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(number, bytes.data(), bytes.size());
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
    posix_disk(std::string path, descriptor folder) : m_path(std::move(path)), m_folder(std::move(folder)) {}

    result<std::optional<std::string>> read(const std::string& name) override
    {
        const descriptor file(::openat(m_folder.number(), name.c_str(), O_RDONLY | O_CLOEXEC));
        if (!file.is_open() && errno == ENOENT) {
            return std::optional<std::string>{};
        }
        if (!file.is_open()) {
            return fail_with_errno("open", full_name(name));
        }
        std::string bytes;
        std::string block(read_bytes, '\0');
        for (;;) {
            const ssize_t count = ::read(file.number(), block.data(), block.size());
            if (count < 0 && errno == EINTR) {
                continue;
            }
            if (count < 0) {
                return fail_with_errno("read", full_name(name));
            }
            if (count == 0) {
                return std::optional(std::move(bytes));
            }
            bytes.append(block, 0, static_cast<std::size_t>(count));
        }
    }

    result<void> append(const std::string& name, std::string_view bytes) override
    {
        BOOST_LEAF_AUTO(number, appendable(name));
        return write_all(number, bytes, full_name(name));
    }

    result<void> sync(const std::string& name) override
    {
        BOOST_LEAF_AUTO(number, appendable(name));
        if (::fdatasync(number) != 0) {
            return fail_with_errno("sync", full_name(name));
        }
        return {};
    }

    result<void> replace(const std::string& name, std::string_view bytes) override
    {
        const std::string next = name + ".next";
        const descriptor file(
            ::openat(m_folder.number(), next.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode));
        if (!file.is_open()) {
            return fail_with_errno("open", full_name(next));
        }
        BOOST_LEAF_CHECK(write_all(file.number(), bytes, full_name(next)));
        if (::fsync(file.number()) != 0) {
            return fail_with_errno("sync", full_name(next));
        }
        if (::renameat(m_folder.number(), next.c_str(), m_folder.number(), name.c_str()) != 0) {
            return fail_with_errno("rename", full_name(name));
        }
        m_appendable.erase(name);
        return sync_folder();
    }

private:
    [[nodiscard]] std::string full_name(const std::string& name) const { return m_path + "/" + name; }

    result<void> sync_folder()
    {
        if (::fsync(m_folder.number()) != 0) {
            return fail_with_errno("sync", m_path);
        }
        return {};
    }

    result<int> appendable(const std::string& name)
    {
        const auto known = m_appendable.find(name);
        if (known != m_appendable.end()) {
            return known->second.number();
        }
        descriptor file(
            ::openat(m_folder.number(), name.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode));
        if (!file.is_open()) {
            return fail_with_errno("open", full_name(name));
        }
        BOOST_LEAF_CHECK(sync_folder());
        return m_appendable.emplace(name, std::move(file)).first->second.number();
    }

    std::string m_path;
    descriptor m_folder;
    std::map<std::string, descriptor> m_appendable;
};

} // namespace

result<std::unique_ptr<disk>> open_posix_disk(const std::string& folder)
{
    if (::mkdir(folder.c_str(), folder_mode) != 0 && errno != EEXIST) {
        return fail_with_errno("create", folder);
    }
    descriptor opened(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!opened.is_open()) {
        return fail_with_errno("open", folder);
    }
    if (::flock(opened.number(), LOCK_EX | LOCK_NB) != 0) {
        return fail("lock", folder, "another process holds the data folder");
    }
    return std::unique_ptr<disk>(std::make_unique<posix_disk>(folder, std::move(opened)));
}

} // namespace hickorymount::storage
